// Package repair decides on membership changes of the replicated log without an operator: new controllers
// are added as learners, and members whose VM or disk is lost are replaced by them. It has no clock and no
// I/O.
//
// The number of voters stays at the intended size of the group. A controller that is added to a complete group
// remains a learner until a voter is lost or leaves. If it became a voter at once, the successor of a controller
// that is still running would leave the group larger for good, with a majority that counts the stopped one.
package repair

import (
	"cmp"
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

// Group is the membership state on which a decision is based.
type Group struct {
	Members []Member
	Commit  uint64
	// Joining are the controllers with a valid join request. Those that are members already are ignored.
	Joining []Member
	// Losses is the number of voters that the group has to be able to lose at once; zero if it is not known.
	Losses int
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
)

// Change is a membership change of one member.
type Change struct {
	Kind Kind
	ID   consensus.MemberID
	Name string
	// Reason is a short explanation for the log.
	Reason string
}

// Decide returns the next change, or a change of kind None if there is nothing to do.
func Decide(g Group) Change {
	for i := range g.Members {
		if m := &g.Members[i]; !m.Voter && m.isLost() {
			return m.change(Remove, "the learner is unreachable")
		}
	}
	if c := g.addLearner(); c.Kind != None {
		return c
	}
	if c := g.promoteLearner(); c.Kind != None {
		return c
	}
	return g.removeSurplus()
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

// promoteLearner promotes a learner that has caught up if the group has too few voters, or removes the voter that the
// learner replaces, so that the next decision promotes it. As the learner already has the log by then, there is one
// voter less only between the two changes.
func (g *Group) promoteLearner() Change {
	learners := g.caughtUpLearners()
	if voters, _ := g.countMembers(); voters < consensus.MaxVoters {
		for _, learner := range learners {
			if reason := g.reasonToGrow(learner); reason != "" {
				return learner.change(Promote, reason)
			}
		}
	}
	if len(learners) > 0 {
		if learner, replaced := g.replacement(learners); replaced != nil && g.hasQuorumWithout(replaced.Name) {
			return replaced.change(Remove, learner.Name+" replaces it")
		}
	}
	return Change{}
}

// reasonToGrow returns why the group needs the learner as one more voter, or "".
func (g *Group) reasonToGrow(learner *Member) string {
	voters, _ := g.countMembers()
	needed := g.minVoters()
	switch {
	case learner.Founding:
		return "it belongs to the first members"
	case voters < needed:
		return "the group has too few voters for the losses that it has to bear"
	case needed == 0 && voters%2 == 0:
		return "one voter more than an even number bears one loss more"
	}
	return ""
}

// caughtUpLearners returns the learners that have all committed entries and are not lost.
func (g *Group) caughtUpLearners() []*Member {
	var learners []*Member
	for i := range g.Members {
		m := &g.Members[i]
		if !m.Voter && !m.isLost() && !m.Leaving && m.Match >= g.Commit {
			learners = append(learners, m)
		}
	}
	return learners
}

// replacement returns a learner and the voter that it replaces: the voter on the learner's VM, whose disk was lost, or
// else any voter that is lost or leaves. It returns nil if there is no such voter.
func (g *Group) replacement(learners []*Member) (learner, replaced *Member) {
	var lost, leaving *Member
	for i := range g.Members {
		m := &g.Members[i]
		if !m.Voter {
			continue
		}
		for _, l := range learners {
			if m.Address != "" && m.Address == l.Address {
				return l, m
			}
		}
		switch {
		case m.isLost():
			lost = m
		case m.Leaving:
			leaving = m
		}
	}
	return learners[0], cmp.Or(lost, leaving)
}

// removeSurplus removes a lost voter that the group does not need. From an even number of voters that is always so: an
// odd number that is one less has a smaller majority and tolerates as many failures. From an odd number it is so only
// above the known size of the group. A group that keeps fewer voters than its size would commit entries on so few disks
// that the losses it has to bear could take them all.
func (g *Group) removeSurplus() Change {
	voters, _ := g.countMembers()
	needed := g.minVoters()
	if needed == 0 && (voters < 4 || voters%2 != 0) || needed > 0 && voters <= max(needed, 3) {
		return Change{}
	}
	for i := range g.Members {
		m := &g.Members[i]
		if m.Voter && m.isLost() && g.hasQuorumWithout(m.Name) {
			return m.change(Remove, "it is unreachable and the group has enough other voters")
		}
	}
	return Change{}
}

// hasQuorumWithout reports whether the reachable voters are still a majority, of at least two voters, after
// the named voter is removed.
func (g *Group) hasQuorumWithout(name string) bool {
	voters, alive := g.countVoters(name)
	return voters >= consensus.MinVoters && alive >= voters/2+1
}

// countVoters counts the voters, and those that are reachable, without the named one.
func (g *Group) countVoters(without string) (voters, alive int) {
	for i := range g.Members {
		m := &g.Members[i]
		if !m.Voter || m.Name == without {
			continue
		}
		voters++
		if !m.isLost() {
			alive++
		}
	}
	return voters, alive
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
