// Package repair decides on membership changes of the replicated log without an operator: new controllers
// are added as learners, and members whose VM or disk is lost are replaced by them. It has no clock and no
// I/O.
//
// The number of voters stays at the intended size of the group. A controller that is added to a complete group
// remains a learner until a voter is lost or leaves. If it became a voter at once, the successor of a controller
// that is still running would leave the group larger for good, with a majority that counts the stopped one.
//
// No availability zone keeps more voters than the group can lose, if there are learners elsewhere: the loss of the zone would
// take the majority.
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

// String returns what is done.
func (k Kind) String() string { return [...]string{"none", "add", "promote", "remove"}[k] }

// Change is a membership change of one member.
type Change struct {
	Kind Kind
	ID   consensus.MemberID
	Name string
	// Reason is a short explanation for the log.
	Reason string
}

// Decide returns the next change, or a change of kind None if there is nothing to do.
//
// A learner that replaces a voter is promoted before that is removed. In the other order an entry would be committed on
// fewer disks in between, and a group that loses one of these for good while the removed voter was only cut off would never
// have a majority again.
func Decide(g Group) Change {
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

// promoteLearner promotes a learner that has caught up, if the group has too few voters, the learner replaces one, or its
// availability zone should have a voter of another one. The voters that are alive and the learner must be a majority
// afterwards.
func (g *Group) promoteLearner() Change {
	voters, alive := g.countVoters("")
	if alive+1 < majority(voters+1) || voters > consensus.MaxVoters {
		return Change{}
	}
	replaced := g.goneVoter()
	learner := g.bestLearner(replaced)
	switch {
	case learner == nil:
	case replaced != nil:
		return learner.change(Promote, "it replaces "+replaced.Name)
	case voters >= consensus.MaxVoters:
	case learner.Founding:
		return learner.change(Promote, "it belongs to the first members")
	case voters < g.minVoters():
		return learner.change(Promote, "the group has too few voters for the losses that it has to bear")
	case g.crowdedVoter() != nil && g.hasRoom(learner.Zone, nil):
		return learner.change(Promote, "the zone of "+g.crowdedVoter().Name+" has more voters than may be lost")
	}
	return Change{}
}

// bestLearner returns a learner that may become a voter in place of replaced, which may be nil; nil if there is none. First
// members come first, then those whose availability zone has room for a voter.
func (g *Group) bestLearner(replaced *Member) *Member {
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
		if m.Voter || !m.isAlive() || m.Leaving || m.Match < g.Commit {
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
// so if its disk was lost and another voter has taken its place on the VM, and above the known size of the group.
// If the size is not known, it is so from an even number of voters on: an odd number that is one less has a smaller majority
// and tolerates as many failures. A group that kept fewer voters than its size would commit entries on so few disks that
// the losses it has to bear could take them all.
func (g *Group) removeSurplus() Change {
	for i := range g.Members {
		m := &g.Members[i]
		if s := g.successorOnVM(m); m.Voter && s != nil && s.Voter && g.hasQuorumWithout(m.Name) {
			return m.change(Remove, s.Name+" has replaced it on its VM")
		}
	}
	voters, _ := g.countVoters("")
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
	voters, _ := g.countVoters("")
	lost := 0
	for i := range g.Members {
		if m := &g.Members[i]; m.Voter && m.isLost() {
			lost++
		}
	}
	wanted = g.Losses
	if wanted == 0 {
		wanted = (voters - 1) / 2
	}
	return max(voters-lost-majority(voters), 0), wanted
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
