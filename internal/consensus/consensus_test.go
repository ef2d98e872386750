package consensus_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/testseed"
)

func TestConsensus(t *testing.T) { testseed.RunSpecs(t, "consensus") }

func haveCode(code result.Code) OmegaMatcher { return WithTransform(result.CodeOf, Equal(code)) }

// roundTrips is time for what takes no timeout.
const roundTrips = 30 * ms

func newGroup(size int) *cluster { return newCluster(GinkgoT(), 1, size, consensus.Config{}) }

// other returns a member that is not m.
func (c *cluster) other(m *member) *member {
	if m.id == c.ids[0] {
		return c.members[c.ids[1]]
	}
	return c.members[c.ids[0]]
}

// commands proposes commands to the leader.
func (c *cluster) commands(count int) {
	for range count {
		_, err := c.leader().propose("command")
		Expect(err).NotTo(HaveOccurred())
	}
	c.run(roundTrips, nil)
}

func (m *member) change(c consensus.MemberChange) error {
	_, err := m.node.ProposeMemberChange(c)
	m.pump()
	return err
}

func (m *member) age() time.Duration {
	age, known := m.node.QuorumAge(m.clock())
	Expect(known).To(BeTrue())
	return age
}

// alone returns a node whose messages the test writes itself.
func alone(r consensus.Restored) *consensus.Node {
	n, err := consensus.New(consensus.Config{ID: 1, Members: voters(3), Rand: rand.New(rand.NewPCG(1, 1))}, r)
	Expect(err).NotTo(HaveOccurred())
	return n
}

// Guards against a member that starts with settings or stored state that cannot be right.
var _ = DescribeTable("a member does not start", func(code result.Code, members int, r consensus.Restored) {
	_, err := consensus.New(consensus.Config{ID: 1, Members: voters(members), Rand: rand.New(rand.NewPCG(1, 1))}, r)
	Expect(err).To(haveCode(code))
},
	Entry("with 4 members", result.SettingsInvalid, 4, consensus.Restored{}),
	Entry("with a gap after the snapshot", result.StorageCorrupt, 3, consensus.Restored{Entries: []consensus.Entry{{Index: 2, Term: 1}}}),
	Entry("with a gap in the log", result.StorageCorrupt, 3, consensus.Restored{
		HardState: consensus.HardState{Term: 1}, Entries: []consensus.Entry{{Index: 1, Term: 1}, {Index: 3, Term: 1}},
	}),
	Entry("with a log of a later term", result.StorageCorrupt, 3, consensus.Restored{Entries: []consensus.Entry{{Index: 1, Term: 1}}}))

var _ = Describe("elections", func() {
	// Guards against a member that was cut off, or does not hear the leader, and unseats it by
	// raising its term or with the votes of others.
	DescribeTable("keep the leader and the term", func(disturb func(c *cluster, l *member, lost consensus.MemberID)) {
		c := newGroup(3)
		l := c.elect()
		term, lost := l.soft.Term, c.other(l)
		disturb(c, l, lost.id)
		c.run(10*time.Second, nil)
		Expect(lost.soft.Term).To(Equal(term))
		c.heal()
		c.run(3*time.Second, nil)
		Expect(c.leader()).To(BeIdenticalTo(l))
		Expect(l.soft.Term).To(Equal(term))
	},
		Entry("when an isolated member returns", func(c *cluster, _ *member, lost consensus.MemberID) { c.isolate(lost) }),
		Entry("that a quorum hears", func(c *cluster, l *member, lost consensus.MemberID) { c.blocked[link{l.id, lost}] = true }))

	// Guards against a log without a leader for a timeout after a planned stop or removal, or while
	// the leader cannot write.
	DescribeTable("take place at once", func(cause func(l *member, to consensus.MemberID) error, halted bool) {
		c := newGroup(5)
		l := c.elect()
		Expect(cause(l, c.other(l).id)).To(Succeed())
		l.pump()
		c.run(roundTrips, nil)
		Expect(c.leader()).To(And(Not(BeNil()), Not(BeIdenticalTo(l))))
		_, known := l.node.QuorumAge(l.clock())
		Expect(known).NotTo(Equal(halted))
	},
		Entry("for a planned stop", func(l *member, to consensus.MemberID) error { return l.node.TransferLeadership(to) }, false),
		Entry("when the leader is removed", func(l *member, _ consensus.MemberID) error {
			return l.change(consensus.MemberChange{Remove: l.id})
		}, false),
		Entry("when the storage of the leader fails", func(l *member, _ consensus.MemberID) error {
			l.fs.FailNth(1, fmt.Errorf("disk error"))
			_, err := l.propose("lost")
			return err
		}, true))

	// Guards against a cut-off leader that goes on, and against members that call old state current.
	It("unseat a leader without contact to a quorum, and tell the age of the contact", func() {
		c := newGroup(3)
		l := c.elect()
		Expect(l.age()).To(BeNumerically("<=", 2*consensus.DefaultHeartbeatInterval))
		c.isolate(l.id)
		c.run(consensus.DefaultElectionTimeout+consensus.DefaultHeartbeatInterval, nil)
		Expect(l.soft.Role).NotTo(Equal(consensus.Leader))
		c.run(2*time.Second, nil)
		Expect(l.age()).To(BeNumerically(">", 2*time.Second))
		Expect(c.other(l).age()).To(BeNumerically("<=", 4*consensus.DefaultHeartbeatInterval))
	})

	// Guards against a heartbeat that was stuck in a buffer and makes old state look current.
	It("do not take a delayed heartbeat for recent contact", func() {
		c := newGroup(3)
		late := c.other(c.elect())
		var stuck []consensus.Message
		c.drop = func(m consensus.Message) bool {
			if m.To == late.id && m.Heartbeat != nil {
				stuck = append(stuck, m)
			}
			return m.To == late.id
		}
		c.run(5*time.Second, nil)
		Expect(late.node.Step(stuck[0], late.clock())).To(Succeed())
		Expect(late.age()).To(BeNumerically(">", 4*time.Second))
	})

	// Guards against a member with a newer term that nobody follows and that follows nobody.
	It("take in a member with a newer term", func() {
		c := newGroup(3)
		l := c.elect()
		late := c.other(l)
		late.store(consensus.Ready{HardState: consensus.HardState{Term: 10}})
		c.run(4*time.Second, nil)
		Expect(late.soft.Leader).To(Equal(c.leader().id))
	})

	// Guards against a term or vote that is used before it is synced.
	It("ask for a sync of term and vote before they are used", func() {
		n := alone(consensus.Restored{})
		Expect(n.Step(consensus.Message{From: 2, To: 1, Term: 1, VoteRequest: &consensus.VoteRequest{}}, 0)).To(Succeed())
		r, _ := n.Ready()
		Expect(r.MustSync).To(BeTrue())
		Expect(r.HardState).To(Equal(consensus.HardState{Term: 1, Vote: 2}))
		n.Advance(r)
		Expect(n.Step(consensus.Message{From: 3, To: 1, Term: 2, Heartbeat: &consensus.Heartbeat{}}, 0)).To(Succeed())
		r, _ = n.Ready()
		Expect(r.MustSync).To(BeTrue())
		Expect(r.HardState).To(Equal(consensus.HardState{Term: 2}))
	})
})

var _ = Describe("replication", func() {
	// Guards against a commit that counts an entry of an older term, which can still be replaced.
	It("commits entries of older terms only through one of its own", func() {
		c := newCluster(GinkgoT(), 1, 3, smallSizes)
		for id, count := range map[consensus.MemberID]int{1: 5, 2: 1, 3: 1} {
			r := consensus.Ready{HardState: consensus.HardState{Term: 2}}
			for i := range count {
				r.Entries = append(r.Entries, consensus.Entry{Index: uint64(i + 1), Term: uint64(min(i+1, 2))})
			}
			c.members[id].store(r)
		}
		c.drop = func(m consensus.Message) bool {
			own := m.Append != nil && m.Append.Previous.Index+uint64(len(m.Append.Entries)) > 5
			return own && c.members[m.To].status().Last >= 5 || m.VoteRequest != nil && m.From != 1
		}
		c.run(5*time.Second, nil)
		Expect(c.leader().id).To(BeEquivalentTo(1))
		Expect(c.members[2].status().Last).To(BeEquivalentTo(5))
		Expect(c.leader().status().Commit).To(BeZero())
	})

	// Guards against a follower that commits entries which the leader has not confirmed.
	It("commits at a follower only what agrees with the leader", func() {
		n := alone(consensus.Restored{
			HardState: consensus.HardState{Term: 1}, Entries: []consensus.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}},
		})
		a := &consensus.Append{Previous: consensus.Position{Index: 1, Term: 1}, Commit: 2}
		Expect(n.Step(consensus.Message{From: 2, To: 1, Term: 2, Append: a}, 0)).To(Succeed())
		Expect(n.Status(0).Commit).To(BeEquivalentTo(1))
	})

	// Guards against an entry that takes the place of one which is being written, and is taken for
	// synced with it.
	It("writes an entry that replaces one on its way to storage", func() {
		n := alone(consensus.Restored{})
		send := func(from consensus.MemberID, term uint64) {
			a := &consensus.Append{Entries: []consensus.Entry{{Index: 1, Term: term}}}
			Expect(n.Step(consensus.Message{From: from, To: 1, Term: term, Append: a}, 0)).To(Succeed())
		}
		send(2, 1)
		r, _ := n.Ready()
		send(3, 2)
		n.Advance(r)
		r, _ = n.Ready()
		Expect(r.Entries).To(Equal([]consensus.Entry{{Index: 1, Term: 2}}))
	})

	// Guards against a repair that takes one round trip for each entry, and against members in
	// force through an entry that was replaced.
	It("repairs a long conflict in few messages", func() {
		c := newGroup(5)
		first := c.elect()
		c.isolate(first.id)
		for range 500 {
			_, err := first.propose("never committed")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(first.change(consensus.MemberChange{AddLearner: 9})).To(Succeed())
		second := c.elect()
		c.commands(500)
		second.crash()
		third := c.elect()
		c.heal()
		c.arrived = 0
		c.run(2*consensus.DefaultHeartbeatInterval, nil)
		Expect(first.status().Commit).To(Equal(third.status().Commit))
		Expect(first.status().Members.Learners).To(BeEmpty())
		Expect(c.arrived).To(BeNumerically("<", 80))
	})

	// Guards against a member that is too far behind and never gets the state or the members, and
	// against messages without bound to a member that does not answer.
	It("sends a snapshot in chunks to a member that is too far behind", func() {
		c := newCluster(GinkgoT(), 1, 3, smallSizes)
		l := c.elect()
		lost, windows := c.other(l), 0
		c.drop = func(m consensus.Message) bool {
			if m.To == lost.id && m.Append != nil && len(m.Append.Entries) > 0 {
				windows++
			}
			return m.To == lost.id
		}
		c.commands(50)
		Expect(windows).To(Equal(smallSizes.MaxInflight))
		Expect(l.change(consensus.MemberChange{AddLearner: 9})).To(Succeed())
		c.run(roundTrips, nil)
		l.compact(0)
		c.drop = nil
		c.run(consensus.DefaultElectionTimeout, nil)
		Expect(lost.status().SnapshotIndex).To(Equal(l.status().SnapshotIndex))
		Expect(l.status().Counters.SnapshotsSent).To(BeEquivalentTo(1))
		Expect(lost.status().Counters.SnapshotsInstalled).To(BeEquivalentTo(1))
		Expect(lost.state).To(Equal(l.state))
		Expect(lost.status().Members).To(Equal(l.node.Members()))
	})

	// Guards against memory without bound at a leader without a quorum, and against large entries.
	It("refuses what exceeds its bounds", func() {
		c := newGroup(3)
		l := c.elect()
		large := strings.Repeat("x", consensus.MaxEntrySize)
		_, err := l.propose(large + "x")
		Expect(err).To(HaveOccurred())
		c.isolate(l.id)
		for range consensus.DefaultMaxUncommitted / consensus.MaxEntrySize {
			_, err = l.propose(large)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err = l.propose(large)
		Expect(err).To(haveCode(result.Overloaded))
		_, err = c.other(l).propose("")
		Expect(err).To(haveCode(result.NotLeader))
	})

	// Guards against messages that lose a part in the codec of the shell.
	It("has messages that survive gob", func() {
		c := newGroup(3)
		count := 0
		c.drop = func(m consensus.Message) bool {
			var b bytes.Buffer
			var got consensus.Message
			Expect(gob.NewEncoder(&b).Encode(m)).To(Succeed())
			Expect(gob.NewDecoder(&b).Decode(&got)).To(Succeed())
			if m.Append == nil { // gob makes empty lists nil
				Expect(got).To(Equal(m))
				count++
			}
			return false
		}
		c.elect()
		Expect(count).To(BeNumerically(">", 20))
	})
})

var _ = Describe("reads", func() {
	// Guards against a cut-off leader that answers a read with old state.
	It("are answered only after a quorum has confirmed the leader", func() {
		c := newGroup(5)
		l := c.elect()
		c.commands(3)
		commit, follower := l.status().Commit, c.other(l)
		Expect(l.node.ReadIndex(1)).To(Succeed())
		Expect(follower.node.ReadIndex(2)).To(Succeed())
		l.pump()
		follower.pump()
		c.run(roundTrips, nil)
		Expect(l.answers).To(HaveKeyWithValue(uint64(1), consensus.ReadState{ID: 1, Index: commit}))
		Expect(follower.answers).To(HaveKeyWithValue(uint64(2), consensus.ReadState{ID: 2, Index: commit}))
		c.isolate(l.id, follower.id)
		Expect(l.node.ReadIndex(3)).To(Succeed())
		c.run(2*time.Second, nil)
		Expect(l.answers).To(HaveKeyWithValue(uint64(3), consensus.ReadState{ID: 3, Index: commit, Failed: true}))
	})

	// Guards against an answer to a read of an earlier life of the process, which used the same ID
	// and is answered by an index that is too low now.
	It("are not answered by a reply to an earlier life", func() {
		n := alone(consensus.Restored{})
		Expect(n.Step(consensus.Message{From: 2, To: 1, Term: 1, Heartbeat: &consensus.Heartbeat{}}, 0)).To(Succeed())
		Expect(n.ReadIndex(1)).To(Succeed())
		late := consensus.Message{From: 2, To: 1, Term: 1, ReadReply: &consensus.ReadReply{ID: 1}}
		late.Contact.Echo.Boot = 42
		Expect(n.Step(late, 0)).To(Succeed())
		r, _ := n.Ready()
		Expect(r.Reads).To(BeEmpty())
	})

	// Guards against a read that misses entries which the old leader has committed, and against a
	// change of members on top of one that the new leader does not know to be committed.
	It("and member changes wait until a new leader has committed an entry", func() {
		c := newGroup(3)
		old := c.elect()
		c.drop = func(m consensus.Message) bool {
			return m.Heartbeat != nil || m.Append != nil && len(m.Append.Entries) == 0
		}
		c.commands(5)
		commit := old.status().Commit
		old.crash()
		c.drop = func(m consensus.Message) bool { return m.AppendReply != nil }
		l := c.elect()
		Expect(l.status().Commit).To(BeNumerically("<", commit))
		Expect(l.node.ReadIndex(1)).To(Succeed())
		Expect(l.change(consensus.MemberChange{AddLearner: 9})).To(haveCode(result.MemberChangeBusy))
		c.drop = nil
		c.run(consensus.DefaultElectionTimeout, nil)
		Expect(l.answers[1].Failed).To(BeFalse())
		Expect(l.answers[1].Index).To(BeNumerically(">=", commit))
	})
})

var _ = Describe("members", func() {
	// Guards against two changes at a time, whose majorities may not overlap, and against a new
	// member that counts before it has the log.
	It("change one at a time, and a learner votes only after it has caught up", func() {
		c := newGroup(3)
		l := c.elect()
		c.commands(20)
		Expect(l.change(consensus.MemberChange{AddLearner: 4})).To(Succeed())
		Expect(l.change(consensus.MemberChange{AddLearner: 5})).To(haveCode(result.MemberChangeBusy))
		c.run(roundTrips, nil)
		Expect(l.change(consensus.MemberChange{Promote: 4})).To(haveCode(result.MemberChangeBusy))
		learner := c.addMember(4, nil)
		c.run(time.Second, nil)
		Expect(l.change(consensus.MemberChange{Promote: 4})).To(Succeed())
		c.run(roundTrips, nil)
		Expect(learner.status().Members).To(Equal(consensus.Members{Voters: voters(4), Learners: []consensus.MemberID{}}))
	})

	// Guards against a removed member that asks for votes and unseats the leader, whether it knows
	// of its removal or not.
	DescribeTable("are not disturbed by a removed one", func(knows bool) {
		c := newGroup(5)
		l := c.elect()
		removed := c.other(l)
		if !knows {
			c.isolate(removed.id)
		}
		Expect(l.change(consensus.MemberChange{Remove: removed.id})).To(Succeed())
		c.run(10*time.Second, nil) // longer than the leader tries to tell a removed member
		c.heal()
		term := l.soft.Term
		c.run(20*time.Second, nil)
		Expect(c.leader()).To(BeIdenticalTo(l))
		Expect(l.soft.Term).To(Equal(term))
		Expect(removed.status().Members.Contains(removed.id)).To(Equal(!knows))
	}, Entry("that knows", true), Entry("that was cut off", false))
})
