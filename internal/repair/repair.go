// Package repair decides on membership changes of the replicated log without an operator: new controllers
// are added as learners, and members whose VM or disk is lost are replaced by them. It has no clock and no
// I/O.
//
// The number of voters stays at the intended size of the group. A controller that is added to a complete group
// remains a learner until a voter is lost or leaves. If it became a voter at once, the successor of a controller
// that is still running would leave the group larger for good, with a majority that counts the stopped one.
//
// Two members change in one step wherever a group would bear less between two single changes: a learner takes the place of a
// voter, or two learners become voters of a group with an odd number. A single voter is added to or removed from an even
// number only, which changes none of the losses that the group bears, or removed for good when it is gone or above the size.
//
// No availability zone keeps more voters than the group can lose, if there are learners elsewhere: the loss of the zone would
// take the majority.
package repair

import (
	"cmp"
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/consensus"
)

const (
	// LostAfter is the time without contact after which a member is considered lost and may be removed. It
	// exceeds two election timeouts and is far below the 4 s within which a replaced controller must vote
	// again.
	LostAfter = 1500 * time.Millisecond
)

// Member is the leader's view of a member.
type Member struct {
	ID         consensus.MemberID // of a joining controller: the ID that it gets
	Name       string
	Address    string // of its VM; empty if unknown
	Zone       string // availability zone of its VM; empty if unknown
	Voter      bool
	Match      uint64 // index of the last entry that it is known to have
	ContactAge time.Duration
	// Heard is set if the leader has had contact with the member in its term. Without it, ContactAge is the time since the
	// member was added or the leader was elected.
	Heard bool
	Self  bool
	// Founding is set for a controller that was started together with the whole system and has not been a voter yet.
	Founding bool
	// Leaving is set for a controller whose process is stopping.
	Leaving bool
}

func (m *Member) isLost() bool { return !m.Self && m.ContactAge > LostAfter }

// isAlive reports whether the member is known to run. A member that the leader has not heard yet is neither lost nor alive.
func (m *Member) isAlive() bool { return m.Self || m.Heard && !m.isLost() }

// Group is the membership state on which a decision is based.
type Group struct {
	Members []Member
	Commit  uint64
	// Joining are the controllers with a valid join request. Those that are members already are ignored.
	Joining []Member
	// Losses is the number of voters that the group has to be able to lose at once; zero if it is not known.
	Losses int
	// Transition is the change of two voters that is in effect, or nil.
	Transition *consensus.Transition
}

// minVoters returns the number of voters that the group needs to bear its losses, or zero if that is not known.
func (g *Group) minVoters() int {
	if g.Losses == 0 {
		return 0
	}
	return min(2*g.Losses+1, consensus.MaxVoters)
}

// Kind is the kind of a membership change.
type Kind uint8

// Kinds of changes.
const (
	None       Kind = iota
	AddLearner      // add as a learner
	Promote         // turn a learner into a voter
	Remove
	Replace    // turn a learner into a voter and remove another one, in one step
	PromoteTwo // turn two learners into voters, in one step
	Finish     // end the step for good
	Revert     // undo the step
)

// String returns what is done.
func (k Kind) String() string {
	return [...]string{"none", "add", "promote", "remove", "replace with", "promote two", "finish", "revert"}[k]
}

// Change is a membership change.
type Change struct {
	Kind Kind
	ID   consensus.MemberID
	Name string
	// Other is the voter that is replaced, or the second learner that is promoted; zero for other kinds.
	Other consensus.MemberID
	// Reason is a short explanation for the log.
	Reason string
}

// ForLog returns the change as the replicated log takes it.
func (c *Change) ForLog() consensus.MemberChange {
	switch c.Kind {
	case AddLearner:
		return consensus.MemberChange{AddLearner: c.ID}
	case Promote:
		return consensus.MemberChange{Promote: c.ID}
	case Remove:
		return consensus.MemberChange{Remove: c.ID}
	case Replace:
		return consensus.MemberChange{Promote: c.ID, Remove: c.Other}
	case PromoteTwo:
		return consensus.MemberChange{Promote: c.ID, PromoteToo: c.Other}
	}
	return consensus.MemberChange{Finish: c.Kind == Finish, Revert: c.Kind == Revert}
}

// Decide returns the next change, or a change of kind None if there is nothing to do.
func Decide(g Group) Change {
	if g.Transition != nil {
		return g.endTransition()
	}
	for i := range g.Members {
		if m := &g.Members[i]; !m.Voter && m.isLost() {
			return m.change(Remove, "the learner is unreachable")
		}
	}
	for _, step := range []func() Change{g.addLearner, g.removeSurplus, g.promoteLearner} {
		if c := step(); c.Kind != None {
			return c
		}
	}
	return Change{}
}

func (m *Member) change(kind Kind, reason string) Change {
	return Change{Kind: kind, ID: m.ID, Name: m.Name, Reason: reason}
}

// addLearner adds a joining controller as a learner, if the limits allow it.
func (g *Group) addLearner() Change {
	voters, learners := g.countMembers()
	if learners >= consensus.MaxLearners || voters+learners >= consensus.MaxVoters+consensus.MaxLearners {
		return Change{}
	}
	for i := range g.Joining {
		if j := &g.Joining[i]; !g.contains(j.Name) {
			return j.change(AddLearner, "it requested to join")
		}
	}
	return Change{}
}

// endTransition finishes the change of two voters that is in effect, unless a voter that it brings is gone already and the
// group can keep all of its old ones.
func (g *Group) endTransition() Change {
	var first *Member
	kind, keepsOld := Finish, true
	for i := range g.Members {
		m := &g.Members[i]
		isGone := m.isLost() || m.Leaving
		switch isOld, isNew := slices.Contains(g.Transition.Old, m.ID), slices.Contains(g.Transition.New, m.ID); {
		case isNew && !isOld:
			if first == nil {
				first = m
			}
			if isGone {
				kind = Revert
			}
		case isOld && !isNew:
			keepsOld = keepsOld && !isGone
		}
	}
	if !keepsOld {
		kind = Finish
	}
	if first == nil {
		return Change{Kind: kind, Reason: "two voters change in one step"}
	}
	return first.change(kind, "two voters change in one step")
}

// promoteLearner promotes a learner that has caught up, if the group has too few voters, the learner replaces one, or its
// availability zone should have a voter of another one.
func (g *Group) promoteLearner() Change {
	voters, _ := g.countVoters("")
	if voters > consensus.MaxVoters {
		return Change{}
	}
	replaced := g.goneVoter()
	learner := g.bestLearner(replaced, nil)
	switch {
	case learner == nil:
	case replaced != nil:
		return g.replace(learner, replaced, "it replaces "+replaced.Name)
	case voters >= consensus.MaxVoters:
	case learner.Founding:
		return g.grow(learner, "it belongs to the first members")
	case voters < g.minVoters():
		return g.grow(learner, "the group has too few voters for the losses that it has to bear")
	case g.crowdedVoter() != nil && g.hasRoom(learner.Zone, nil):
		return g.replace(learner, g.crowdedVoter(), "the zone of "+g.crowdedVoter().Name+" has more voters than may be lost")
	}
	return Change{}
}

// replace lets a learner take the place of a voter. The voters that are alive must be a majority before and after. An even
// number of voters bears as much with the learner besides; the voter is removed then.
func (g *Group) replace(learner, replaced *Member, reason string) Change {
	voters, alive := g.countVoters("")
	_, kept := g.countVoters(replaced.Name)
	switch {
	case voters%2 == 0 && alive+1 >= majority(voters+1):
		return learner.change(Promote, reason)
	case voters%2 != 0 && alive >= majority(voters) && kept+1 >= majority(voters):
		c := learner.change(Replace, reason)
		c.Other = replaced.ID
		return c
	}
	return Change{}
}

// grow adds a voter to an even number, or two to an odd one. An odd number would bear no more with one voter, and would no
// longer bear the loss of that voter besides what it bears without. Only a single voter, which bears nothing, takes one more
// if there is no second learner, so that entries are on two disks.
func (g *Group) grow(learner *Member, reason string) Change {
	voters, alive := g.countVoters("")
	second := g.bestLearner(nil, learner)
	switch {
	case voters%2 != 0 && second != nil && voters+2 <= consensus.MaxVoters:
		if alive < majority(voters) || alive+2 < majority(voters+2) {
			return Change{}
		}
		c := learner.change(PromoteTwo, reason)
		c.Other = second.ID
		return c
	case (voters%2 == 0 || voters == 1) && alive+1 >= majority(voters+1):
		return learner.change(Promote, reason)
	}
	return Change{}
}

// bestLearner returns a learner other than another one that may become a voter in place of replaced; nil if there is none. Both
// may be nil. First members come first, then those whose availability zone has room for a voter.
func (g *Group) bestLearner(replaced, other *Member) *Member {
	var best *Member
	score := func(m *Member) int {
		switch {
		case replaced == nil && m.Founding:
			return 2
		case g.hasRoom(m.Zone, replaced):
			return 1
		}
		return 0
	}
	for i := range g.Members {
		m := &g.Members[i]
		if m == other || m.Voter || !m.isAlive() || m.Leaving || m.Match < g.Commit {
			continue
		}
		if best == nil || score(m) > score(best) {
			best = m
		}
	}
	return best
}

// hasRoom reports whether the group bears the loss of an availability zone that has one voter more. The voter without, which
// may be nil, does not count.
func (g *Group) hasRoom(zone string, without *Member) bool {
	return zone != "" && g.Losses > 0 && g.votersIn(zone, without) < g.Losses
}

func (g *Group) votersIn(zone string, without *Member) int {
	voters := 0
	for i := range g.Members {
		if m := &g.Members[i]; m.Voter && m != without && m.Zone == zone {
			voters++
		}
	}
	return voters
}

// crowdedVoter returns a voter, other than the leader, of an availability zone with more voters than the group can lose, or nil.
func (g *Group) crowdedVoter() *Member {
	for i := range g.Members {
		m := &g.Members[i]
		if m.Voter && !m.Self && m.Zone != "" && g.Losses > 0 && g.votersIn(m.Zone, nil) > g.Losses {
			return m
		}
	}
	return nil
}

// goneVoter returns a voter that is lost, whose VM has another member now because its disk was lost, or whose process is
// stopping, or nil. The first of these is preferred.
func (g *Group) goneVoter() *Member {
	var replaced, leaving *Member
	for i := range g.Members {
		m := &g.Members[i]
		switch {
		case !m.Voter:
		case m.isLost():
			return m
		case g.successorOnVM(m) != nil:
			replaced = m
		case m.Leaving:
			leaving = m
		}
	}
	return cmp.Or(replaced, leaving)
}

// successorOnVM returns another member on the same VM that has been heard later, or nil. A VM runs one controller, so the
// disk of m was lost.
func (g *Group) successorOnVM(m *Member) *Member {
	for i := range g.Members {
		o := &g.Members[i]
		if o != m && m.Address != "" && o.Address == m.Address && !m.Self && o.isAlive() && (!m.Heard || o.ContactAge < m.ContactAge) {
			return o
		}
	}
	return nil
}

// removeSurplus removes a voter that is gone, or whose availability zone has too many, if the group does not need it. That is
// so in an even number if its disk was lost and another voter has taken its place on the VM, and above the known size of the
// group.
// If the size is not known, it is so from an even number of voters on: an odd number that is one less has a smaller majority
// and tolerates as many failures. A group that kept fewer voters than its size would commit entries on so few disks that
// the losses it has to bear could take them all.
func (g *Group) removeSurplus() Change {
	voters, _ := g.countVoters("")
	for i := range g.Members {
		m := &g.Members[i]
		if s := g.successorOnVM(m); m.Voter && s != nil && s.Voter && voters%2 == 0 && g.hasQuorumWithout(m.Name) {
			return m.change(Remove, s.Name+" has replaced it on its VM")
		}
	}
	needed := g.minVoters()
	if needed == 0 && (voters < 4 || voters%2 != 0) || needed > 0 && voters <= max(needed, 3) {
		return Change{}
	}
	if m := g.goneVoter(); m != nil && g.hasQuorumWithout(m.Name) {
		return m.change(Remove, "it is gone and the group has enough other voters")
	}
	if m := g.crowdedVoter(); m != nil && g.hasQuorumWithout(m.Name) {
		return m.change(Remove, "its zone has more voters than may be lost")
	}
	return Change{}
}

// majority returns the number of voters that form a majority.
func majority(voters int) int { return voters/2 + 1 }

// hasQuorumWithout reports whether the voters that are alive are a majority after the named voter is removed.
func (g *Group) hasQuorumWithout(name string) bool {
	voters, alive := g.countVoters(name)
	return voters >= consensus.MinVoters && alive >= majority(voters)
}

// countVoters counts the voters, and those that are alive, without the named one.
func (g *Group) countVoters(without string) (voters, alive int) {
	for i := range g.Members {
		m := &g.Members[i]
		if !m.Voter || m.Name == without {
			continue
		}
		voters++
		if m.isAlive() {
			alive++
		}
	}
	return voters, alive
}

// Tolerance returns how many of the voters that are not lost the group can lose now without the loss of its majority, and
// how many it should be able to lose.
func (g *Group) Tolerance() (now, wanted int) {
	var voters []consensus.MemberID
	lost := map[consensus.MemberID]bool{}
	for i := range g.Members {
		m := &g.Members[i]
		lost[m.ID] = m.isLost()
		if m.Voter {
			voters = append(voters, m.ID)
		}
	}
	now = len(voters)
	for _, group := range consensus.VoterGroups(consensus.Members{Voters: voters}, g.Transition) {
		running := 0
		for _, id := range group {
			if !lost[id] {
				running++
			}
		}
		now = min(now, max(running-majority(len(group)), 0))
	}
	wanted = g.Losses
	if wanted == 0 {
		wanted = (len(voters) - 1) / 2
	}
	return now, wanted
}

// Lost returns the members that are lost.
func (g *Group) Lost() []Member {
	var lost []Member
	for i := range g.Members {
		if m := &g.Members[i]; m.isLost() {
			lost = append(lost, *m)
		}
	}
	return lost
}

func (g *Group) contains(name string) bool {
	for i := range g.Members {
		if g.Members[i].Name == name {
			return true
		}
	}
	return false
}

func (g *Group) countMembers() (voters, learners int) {
	for i := range g.Members {
		if g.Members[i].Voter {
			voters++
		} else {
			learners++
		}
	}
	return voters, learners
}
