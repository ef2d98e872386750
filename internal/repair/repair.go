// Package repair decides on membership changes of the replicated log without an operator: new controllers
// are added as learners and promoted, and members whose VM or disk is lost are replaced. It has no clock
// and no I/O.
package repair

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/consensus"
)

const (
	// LostAfter is the time without contact after which a member is considered lost and may be removed. It
	// exceeds two election timeouts and is far below the 4 s within which a replaced controller must vote
	// again.
	LostAfter = 1500 * time.Millisecond
	// JoinLease is the time for which a join request is valid. It is renewed every JoinInterval.
	JoinLease = 2 * time.Second
	// JoinInterval is the time between two join requests of a controller that is not a member or has no
	// contact with a leader.
	JoinInterval = 300 * time.Millisecond
)

// Member is the leader's view of a member.
type Member struct {
	ID         consensus.MemberID // of a joining controller: the ID that it gets
	Name       string
	Address    string // of its VM; empty if unknown
	Voter      bool
	Match      uint64 // index of the last entry that it is known to have
	ContactAge time.Duration
	Self       bool
}

func (m *Member) isLost() bool { return !m.Self && m.ContactAge > LostAfter }

// Group is the membership state on which a decision is based.
type Group struct {
	Members []Member
	Commit  uint64
	// Joining are the controllers with a valid join request. Those that are members already are ignored.
	Joining []Member
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
	return g.shrinkToOdd()
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

// promoteLearner promotes a learner that has caught up. It first removes the voter that the learner
// replaces. As the learner already has the log by then, there is one voter less only between the two
// changes.
func (g *Group) promoteLearner() Change {
	learner := g.caughtUpLearner()
	if learner == nil {
		return Change{}
	}
	if replaced := g.voterToReplace(learner); replaced != nil {
		if !g.hasQuorumWithout(replaced.Name) {
			return Change{}
		}
		return replaced.change(Remove, learner.Name+" replaces it")
	}
	voters, _ := g.countMembers()
	if voters >= consensus.MaxVoters {
		return Change{}
	}
	return learner.change(Promote, "it has caught up with the log")
}

// caughtUpLearner returns a learner that has all committed entries and is not lost, or nil.
func (g *Group) caughtUpLearner() *Member {
	for i := range g.Members {
		m := &g.Members[i]
		if !m.Voter && !m.isLost() && m.Match >= g.Commit {
			return m
		}
	}
	return nil
}

// voterToReplace returns the voter on the learner's VM, whose disk was lost, or else a lost voter, or nil.
func (g *Group) voterToReplace(learner *Member) *Member {
	var lost *Member
	for i := range g.Members {
		m := &g.Members[i]
		if !m.Voter {
			continue
		}
		if m.Address != "" && m.Address == learner.Address {
			return m
		}
		if m.isLost() {
			lost = m
		}
	}
	return lost
}

// shrinkToOdd removes a lost voter from an even number of voters of at least four: an odd number that is
// one less has a smaller majority and tolerates as many failures.
func (g *Group) shrinkToOdd() Change {
	voters, _ := g.countMembers()
	if voters < 4 || voters%2 != 0 {
		return Change{}
	}
	for i := range g.Members {
		m := &g.Members[i]
		if m.Voter && m.isLost() && g.hasQuorumWithout(m.Name) {
			return m.change(Remove, "it is unreachable and the number of voters is even")
		}
	}
	return Change{}
}

// hasQuorumWithout reports whether the reachable voters are still a majority, of at least two voters, after
// the named voter is removed.
func (g *Group) hasQuorumWithout(name string) bool {
	voters, alive := 0, 0
	for i := range g.Members {
		m := &g.Members[i]
		if !m.Voter || m.Name == name {
			continue
		}
		voters++
		if !m.isLost() {
			alive++
		}
	}
	return voters >= 2 && alive >= voters/2+1
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
