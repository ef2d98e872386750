package consensus

import (
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/result"
)

// Transition is a change of two voters in one step: a learner takes the place of a voter, or two learners become voters.
// While it is in effect, everything that needs a majority needs one of Old and one of New (joint consensus). The group then
// bears every loss that both groups bear. Two single changes do not: with a learner more, the loss of that learner counts
// against a larger majority, and with a voter less, entries are on fewer disks.
//
// Builds that do not know transitions read from the entry the member lists alone, as the promotion of one learner. Old has an
// odd number of voters, so that each majority of those lists is one of Old and of New: whoever counts by the lists overlaps
// with whoever counts by the transition. A leader of such a build may change the members from the lists, though. A transition
// is therefore in effect only until the log has an entry of another term: every leader that knows it restates it with its
// first entry, and after the first entry of any other leader the lists alone count for everybody.
type Transition struct {
	Old []MemberID // voters before, in ascending order
	New []MemberID // voters after, in ascending order
}

// isWithin reports whether the transition has voters, and all of them are members.
func (t *Transition) isWithin(m Members) bool {
	isUnknown := func(id MemberID) bool { return !m.Contains(id) }
	return len(t.Old) > 0 && len(t.New) > 0 && !slices.ContainsFunc(t.Old, isUnknown) && !slices.ContainsFunc(t.New, isUnknown)
}

// transition returns the transition that is in effect, or nil.
func (n *Node) transition() *Transition {
	current := n.memberships[len(n.memberships)-1]
	if current.transition == nil || n.log.last().Term != current.Term {
		return nil
	}
	return current.transition
}

// withTransition promotes c.Promote, and removes c.Remove or promotes c.PromoteToo in the same step.
func (n *Node) withTransition(m Members, c MemberChange) (Members, *Transition, error) {
	if len(m.Voters)%2 == 0 {
		return m, nil, result.New(result.ConfigInvalid, "two of %d voters cannot change in one step, the number is even", len(m.Voters))
	}
	t := &Transition{Old: slices.Clone(m.Voters)}
	after, err := n.withPromoted(m.Clone(), c.Promote)
	if err != nil {
		return m, nil, err
	}
	both := after.Clone()
	switch {
	case c.Remove == 0:
		both, err = n.withPromoted(both, c.PromoteToo)
	case !m.IsVoter(c.Remove):
		err = result.New(result.PeerUnknown, "member %d is not a voter", c.Remove)
	default:
		both.Voters = slices.DeleteFunc(both.Voters, func(id MemberID) bool { return id == c.Remove })
	}
	if err == nil && len(both.Voters) > MaxVoters {
		err = result.New(result.ConfigInvalid, "there are already %d voters", len(m.Voters))
	}
	if err != nil {
		return m, nil, err
	}
	t.New = both.Voters
	return after, t, nil
}

// end returns the members after the transition, with the given voters. Those that are new become learners again if they are
// none of them.
func (t *Transition) end(m Members, voters []MemberID) Members {
	ended := Members{Voters: slices.Clone(voters)}
	for _, id := range m.all() {
		if !slices.Contains(voters, id) && !slices.Contains(t.Old, id) {
			ended.Learners = append(ended.Learners, id)
		}
	}
	return ended
}

// voterGroups returns the groups of voters of each of which a majority is needed.
func (n *Node) voterGroups() [][]MemberID { return VoterGroups(n.Members(), n.transition()) }

// VoterGroups returns the groups of voters of each of which a majority is needed: one, or two while a transition is in effect.
// t is nil if none is.
func VoterGroups(m Members, t *Transition) [][]MemberID {
	if t == nil {
		return [][]MemberID{m.Voters}
	}
	return [][]MemberID{t.Old, t.New}
}

// HasMajorities reports whether a majority of each group has a property.
func HasMajorities(groups [][]MemberID, has func(MemberID) bool) bool {
	for _, voters := range groups {
		count := 0
		for _, id := range voters {
			if has(id) {
				count++
			}
		}
		if count < majority(voters) {
			return false
		}
	}
	return true
}

func majority(voters []MemberID) int { return len(voters)/2 + 1 }

// majorityValue returns the largest value that a majority of each group reaches.
func majorityValue[T uint64 | time.Duration](groups [][]MemberID, value func(MemberID) T) T {
	var lowest T
	for i, voters := range groups {
		values := make([]T, 0, len(voters))
		for _, id := range voters {
			values = append(values, value(id))
		}
		slices.Sort(values)
		if v := values[len(values)-majority(voters)]; i == 0 || v < lowest {
			lowest = v
		}
	}
	return lowest
}

// electorate returns the members whose votes count.
func (n *Node) electorate() []MemberID {
	ids := slices.Concat(n.voterGroups()...)
	slices.Sort(ids)
	return slices.Compact(ids)
}
