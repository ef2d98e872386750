// Package repair decides how the members of the replicated log change without an operator: empty
// controllers are taken in, members whose VM or disk is gone are replaced. It has no clock and no I/O.
package repair

import "time"

const (
	// LostAfter is the time without contact after which a member may be removed. It is above two
	// elections, and far below the 4 s in which a replaced controller must count again.
	LostAfter = 1500 * time.Millisecond
	// JoinLease is the time for which a request to join holds. It is sent again every JoinInterval.
	JoinLease = 2 * time.Second
	// JoinInterval is the time between two requests of a controller that is no member or hears no
	// leader.
	JoinInterval = 300 * time.Millisecond
	// maxVoters and maxLearners are the limits of the log.
	maxVoters   = 7
	maxLearners = 2
)

// Member is a member as the leader sees it.
type Member struct {
	Name       string
	Address    string // of its VM
	Voter      bool
	Match      uint64 // last log entry that it is known to hold
	ContactAge time.Duration
	Self       bool
}

func (m *Member) lost() bool { return !m.Self && m.ContactAge > LostAfter }

// Group is the state that a decision starts from.
type Group struct {
	Members []Member
	Commit  uint64
	// Joining are controllers that asked to join and are no members.
	Joining []Member
}

// Kind is the kind of a change.
type Kind uint8

// Kinds of changes.
const (
	None    Kind = iota
	Add          // take in as a learner
	Promote      // make a learner a voter
	Remove
)

// Change is a change of one member.
type Change struct {
	Kind Kind
	Name string
	// Reason is one clause for the log.
	Reason string
}

// Decide returns the next change, or one of kind None.
func Decide(g Group) Change {
	for i := range g.Members {
		if m := &g.Members[i]; !m.Voter && m.lost() {
			return Change{Remove, m.Name, "the learner does not answer"}
		}
	}
	if c := g.admit(); c.Kind != None {
		return c
	}
	if c := g.replace(); c.Kind != None {
		return c
	}
	return g.shrink()
}

// admit takes in a controller that asks for it.
func (g *Group) admit() Change {
	voters, learners := g.count()
	if learners >= maxLearners || voters+learners >= maxVoters+maxLearners {
		return Change{}
	}
	for _, j := range g.Joining {
		if !g.contains(j.Name) {
			return Change{Add, j.Name, "it asked to join"}
		}
	}
	return Change{}
}

// replace turns a learner that has caught up into a voter, after the voter whose place it takes was
// removed. The learner holds the log by then, so that only the moment between both changes has one
// copy less.
func (g *Group) replace() Change {
	learner := g.ready()
	if learner == nil {
		return Change{}
	}
	if old := g.predecessor(learner); old != nil {
		if !g.quorumWithout(old.Name) {
			return Change{}
		}
		return Change{Remove, old.Name, learner.Name + " takes its place"}
	}
	voters, _ := g.count()
	if voters >= maxVoters {
		return Change{}
	}
	return Change{Promote, learner.Name, "it holds the log"}
}

// ready returns a learner that holds everything that is committed.
func (g *Group) ready() *Member {
	for i := range g.Members {
		m := &g.Members[i]
		if !m.Voter && !m.lost() && m.Match >= g.Commit {
			return m
		}
	}
	return nil
}

// predecessor returns the voter whose disk the learner's VM had, or else a voter that is lost.
func (g *Group) predecessor(learner *Member) *Member {
	var lost *Member
	for i := range g.Members {
		m := &g.Members[i]
		if !m.Voter {
			continue
		}
		if m.Address == learner.Address {
			return m
		}
		if m.lost() {
			lost = m
		}
	}
	return lost
}

// shrink removes a lost voter from an even number of voters: the rest has the smaller majority and
// bears the loss of as many.
func (g *Group) shrink() Change {
	voters, _ := g.count()
	if voters < 4 || voters%2 != 0 {
		return Change{}
	}
	for i := range g.Members {
		m := &g.Members[i]
		if m.Voter && m.lost() && g.quorumWithout(m.Name) {
			return Change{Remove, m.Name, "it does not answer and the number of voters is even"}
		}
	}
	return Change{}
}

// quorumWithout reports whether the voters that answer are a majority once a voter is removed.
func (g *Group) quorumWithout(name string) bool {
	voters, alive := 0, 0
	for i := range g.Members {
		m := &g.Members[i]
		if !m.Voter || m.Name == name {
			continue
		}
		voters++
		if !m.lost() {
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

func (g *Group) count() (voters, learners int) {
	for i := range g.Members {
		if g.Members[i].Voter {
			voters++
		} else {
			learners++
		}
	}
	return voters, learners
}
