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

// settleTime is enough for several round trips and shorter than any timeout.
const settleTime = 30 * ms

func newDefaultCluster(size int) *cluster { return newCluster(GinkgoT(), 1, size, consensus.Config{}) }

// other returns a member other than m.
func (c *cluster) other(m *member) *member {
	if m.id == c.ids[0] {
		return c.members[c.ids[1]]
	}
	return c.members[c.ids[0]]
}

// proposeCommands proposes count commands to the leader and lets them commit.
func (c *cluster) proposeCommands(count int) {
	for range count {
		_, err := c.leader().propose("command")
		Expect(err).NotTo(HaveOccurred())
	}
	c.run(settleTime, nil)
}

func (m *member) proposeMemberChange(c consensus.MemberChange) error {
	_, err := m.node.ProposeMemberChange(c)
	m.processReady()
	return err
}

func (m *member) quorumAge() time.Duration {
	age, known := m.node.QuorumAge(m.clock())
	Expect(known).To(BeTrue())
	return age
}

// newTestNode returns member 1 of three without a cluster. The test passes in messages itself.
func newTestNode(r consensus.Restored) *consensus.Node {
	n, err := consensus.New(consensus.Config{ID: 1, Members: voters(3), Rand: rand.New(rand.NewPCG(1, 1))}, r)
	Expect(err).NotTo(HaveOccurred())
	return n
}

// Guards against a member that starts with invalid settings or inconsistent stored state.
var _ = DescribeTable("New returns an error", func(code result.Code, members int, r consensus.Restored) {
	_, err := consensus.New(consensus.Config{ID: 1, Members: voters(members), Rand: rand.New(rand.NewPCG(1, 1))}, r)
	Expect(err).To(haveCode(code))
},
	Entry("with 4 members", result.SettingsInvalid, 4, consensus.Restored{}),
	Entry("with a gap after the snapshot", result.StorageCorrupt, 3, consensus.Restored{Entries: []consensus.Entry{{Index: 2, Term: 1}}}),
	Entry("with a gap in the log", result.StorageCorrupt, 3, consensus.Restored{
		HardState: consensus.HardState{Term: 1}, Entries: []consensus.Entry{{Index: 1, Term: 1}, {Index: 3, Term: 1}},
	}),
	Entry("with a log whose term is newer than the hard state", result.StorageCorrupt, 3, consensus.Restored{Entries: []consensus.Entry{{Index: 1, Term: 1}}}))

var _ = Describe("elections", func() {
	// Guards against a member that was partitioned, or that does not receive the leader's messages, and
	// that deposes the leader by raising the term or by winning votes.
	DescribeTable("keep leader and term", func(disturb func(c *cluster, l *member, lost consensus.MemberID)) {
		c := newDefaultCluster(3)
		l := c.waitForLeader()
		term, lost := l.softState.Term, c.other(l)
		disturb(c, l, lost.id)
		c.run(10*time.Second, nil)
		Expect(lost.softState.Term).To(Equal(term))
		c.heal()
		c.run(3*time.Second, nil)
		Expect(c.leader()).To(BeIdenticalTo(l))
		Expect(l.softState.Term).To(Equal(term))
	},
		Entry("when an isolated member reconnects", func(c *cluster, _ *member, lost consensus.MemberID) { c.isolate(lost) }),
		Entry("when one member does not receive the leader's messages", func(c *cluster, l *member, lost consensus.MemberID) { c.blocked[link{l.id, lost}] = true }))

	// Guards against an election timeout without a leader after a planned shutdown, after the removal of
	// the leader, or after a storage failure of the leader.
	DescribeTable("do not wait for an election timeout", func(cause func(l *member, to consensus.MemberID) error, halted bool) {
		c := newDefaultCluster(5)
		l := c.waitForLeader()
		Expect(cause(l, c.other(l).id)).To(Succeed())
		l.processReady()
		c.run(settleTime, nil)
		Expect(c.leader()).To(And(Not(BeNil()), Not(BeIdenticalTo(l))))
		_, known := l.node.QuorumAge(l.clock())
		Expect(known).NotTo(Equal(halted))
	},
		Entry("when the leader transfers its leadership", func(l *member, to consensus.MemberID) error { return l.node.TransferLeadership(to) }, false),
		Entry("when the leader is removed", func(l *member, _ consensus.MemberID) error {
			return l.proposeMemberChange(consensus.MemberChange{Remove: l.id})
		}, false),
		Entry("when the storage of the leader fails", func(l *member, _ consensus.MemberID) error {
			l.fs.FailNth(1, fmt.Errorf("disk error"))
			_, err := l.propose("lost")
			return err
		}, true))

	// Guards against a partitioned leader that stays leader, and against members that report a stale state
	// as current.
	It("depose a leader without contact with a quorum, and the quorum age grows", func() {
		c := newDefaultCluster(3)
		l := c.waitForLeader()
		Expect(l.quorumAge()).To(BeNumerically("<=", 2*consensus.DefaultHeartbeatInterval))
		c.isolate(l.id)
		c.run(consensus.DefaultElectionTimeout+consensus.DefaultHeartbeatInterval, nil)
		Expect(l.softState.Role).NotTo(Equal(consensus.Leader))
		c.run(2*time.Second, nil)
		Expect(l.quorumAge()).To(BeNumerically(">", 2*time.Second))
		Expect(c.other(l).quorumAge()).To(BeNumerically("<=", 4*consensus.DefaultHeartbeatInterval))
	})

	// Guards against a heartbeat that was delayed in a buffer and makes a stale state look current.
	It("do not count a delayed heartbeat as recent contact", func() {
		c := newDefaultCluster(3)
		late := c.other(c.waitForLeader())
		var stuck []consensus.Message
		c.drop = func(m consensus.Message) bool {
			if m.To == late.id && m.Heartbeat != nil {
				stuck = append(stuck, m)
			}
			return m.To == late.id
		}
		c.run(5*time.Second, nil)
		Expect(late.node.Step(stuck[0], late.clock())).To(Succeed())
		Expect(late.quorumAge()).To(BeNumerically(">", 4*time.Second))
	})

	// Guards against a member with a newer term that cannot follow the leader and cannot become leader.
	It("reintegrate a member with a newer term", func() {
		c := newDefaultCluster(3)
		l := c.waitForLeader()
		late := c.other(l)
		late.restartWithState(consensus.Ready{HardState: consensus.HardState{Term: 10}})
		c.run(4*time.Second, nil)
		Expect(late.softState.Leader).To(Equal(c.leader().id))
	})

	// Guards against a term or vote that is used before it is synced.
	It("require a sync of term and vote before they are used", func() {
		n := newTestNode(consensus.Restored{})
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
	// Guards against committing an entry of an older term by counting replicas: it can still be
	// overwritten.
	It("commits entries of older terms only through an entry of the current term", func() {
		c := newCluster(GinkgoT(), 1, 3, smallSizes)
		for id, count := range map[consensus.MemberID]int{1: 5, 2: 1, 3: 1} {
			r := consensus.Ready{HardState: consensus.HardState{Term: 2}}
			for i := range count {
				r.Entries = append(r.Entries, consensus.Entry{Index: uint64(i + 1), Term: uint64(min(i+1, 2))})
			}
			c.members[id].restartWithState(r)
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

	// Guards against a follower that commits entries beyond those the leader has confirmed to match.
	It("commits on a follower only entries that match the leader", func() {
		n := newTestNode(consensus.Restored{
			HardState: consensus.HardState{Term: 1}, Entries: []consensus.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}},
		})
		a := &consensus.Append{Previous: consensus.Position{Index: 1, Term: 1}, Commit: 2}
		Expect(n.Step(consensus.Message{From: 2, To: 1, Term: 2, Append: a}, 0)).To(Succeed())
		Expect(n.Status(0).Commit).To(BeEquivalentTo(1))
	})

	// Guards against an entry that overwrites one whose write is in progress, and is then considered
	// synced when that write completes.
	It("persists an entry that overwrites one whose write is in progress", func() {
		n := newTestNode(consensus.Restored{})
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

	// Guards against one round trip per conflicting entry, and against a membership change that stays
	// effective after its entry was overwritten.
	It("resolves a long conflict in few messages", func() {
		c := newDefaultCluster(5)
		first := c.waitForLeader()
		c.isolate(first.id)
		for range 500 {
			_, err := first.propose("never committed")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(first.proposeMemberChange(consensus.MemberChange{AddLearner: 9})).To(Succeed())
		second := c.waitForLeader()
		c.proposeCommands(500)
		second.crash()
		third := c.waitForLeader()
		c.heal()
		c.delivered = 0
		c.run(2*consensus.DefaultHeartbeatInterval, nil)
		Expect(first.status().Commit).To(Equal(third.status().Commit))
		Expect(first.status().Members.Learners).To(BeEmpty())
		Expect(c.delivered).To(BeNumerically("<", 80))
	})

	// Guards against a member that lags behind the compacted log and never receives the state or the
	// members, and against an unlimited number of messages to a member that does not answer.
	It("sends a snapshot in chunks to a member that lags behind the compacted log", func() {
		c := newCluster(GinkgoT(), 1, 3, smallSizes)
		l := c.waitForLeader()
		lost, windows := c.other(l), 0
		c.drop = func(m consensus.Message) bool {
			if m.To == lost.id && m.Append != nil && len(m.Append.Entries) > 0 {
				windows++
			}
			return m.To == lost.id
		}
		c.proposeCommands(50)
		Expect(windows).To(Equal(smallSizes.MaxInflight))
		Expect(l.proposeMemberChange(consensus.MemberChange{AddLearner: 9})).To(Succeed())
		c.run(settleTime, nil)
		l.compact(0)
		c.drop = nil
		c.run(consensus.DefaultElectionTimeout, nil)
		Expect(lost.status().SnapshotIndex).To(Equal(l.status().SnapshotIndex))
		Expect(l.status().Counters.SnapshotsSent).To(BeEquivalentTo(1))
		Expect(lost.status().Counters.SnapshotsInstalled).To(BeEquivalentTo(1))
		Expect(lost.commands).To(Equal(l.commands))
		Expect(lost.status().Members).To(Equal(l.node.Members()))
	})

	// Guards against unlimited memory use by a leader without a quorum, and against oversized entries.
	It("rejects proposals that exceed the limits", func() {
		c := newDefaultCluster(3)
		l := c.waitForLeader()
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

	// Guards against message fields that are lost in the gob encoding used by the host.
	It("has messages that gob encodes and decodes unchanged", func() {
		c := newDefaultCluster(3)
		count := 0
		c.drop = func(m consensus.Message) bool {
			var b bytes.Buffer
			var got consensus.Message
			Expect(gob.NewEncoder(&b).Encode(m)).To(Succeed())
			Expect(gob.NewDecoder(&b).Decode(&got)).To(Succeed())
			if m.Append == nil { // gob decodes empty slices as nil
				Expect(got).To(Equal(m))
				count++
			}
			return false
		}
		c.waitForLeader()
		Expect(count).To(BeNumerically(">", 20))
	})
})

var _ = Describe("reads", func() {
	// Guards against a partitioned leader that answers a read from a stale state.
	It("are answered only after a quorum has confirmed the leader", func() {
		c := newDefaultCluster(5)
		l := c.waitForLeader()
		c.proposeCommands(3)
		commit, follower := l.status().Commit, c.other(l)
		Expect(l.node.ReadIndex(1)).To(Succeed())
		Expect(follower.node.ReadIndex(2)).To(Succeed())
		l.processReady()
		follower.processReady()
		c.run(settleTime, nil)
		Expect(l.readStates).To(HaveKeyWithValue(uint64(1), consensus.ReadState{ID: 1, Index: commit}))
		Expect(follower.readStates).To(HaveKeyWithValue(uint64(2), consensus.ReadState{ID: 2, Index: commit}))
		c.isolate(l.id, follower.id)
		Expect(l.node.ReadIndex(3)).To(Succeed())
		c.run(2*time.Second, nil)
		Expect(l.readStates).To(HaveKeyWithValue(uint64(3), consensus.ReadState{ID: 3, Index: commit, Failed: true}))
	})

	// Guards against a reply to a read that the process sent with the same ID before it restarted: its
	// index is too low for the new read.
	It("are not answered by a reply from before a restart", func() {
		n := newTestNode(consensus.Restored{})
		Expect(n.Step(consensus.Message{From: 2, To: 1, Term: 1, Heartbeat: &consensus.Heartbeat{}}, 0)).To(Succeed())
		Expect(n.ReadIndex(1)).To(Succeed())
		late := consensus.Message{From: 2, To: 1, Term: 1, ReadReply: &consensus.ReadReply{ID: 1}}
		late.Contact.Echo.Boot = 42
		Expect(n.Step(late, 0)).To(Succeed())
		r, _ := n.Ready()
		Expect(r.Reads).To(BeEmpty())
	})

	// Guards against a read that misses entries committed by the previous leader, and against a
	// membership change on top of one that the new leader does not know to be committed.
	It("and membership changes wait until a new leader has committed an entry", func() {
		c := newDefaultCluster(3)
		old := c.waitForLeader()
		c.drop = func(m consensus.Message) bool {
			return m.Heartbeat != nil || m.Append != nil && len(m.Append.Entries) == 0
		}
		c.proposeCommands(5)
		commit := old.status().Commit
		old.crash()
		c.drop = func(m consensus.Message) bool { return m.AppendReply != nil }
		l := c.waitForLeader()
		Expect(l.status().Commit).To(BeNumerically("<", commit))
		Expect(l.node.ReadIndex(1)).To(Succeed())
		Expect(l.proposeMemberChange(consensus.MemberChange{AddLearner: 9})).To(haveCode(result.MemberChangeBusy))
		c.drop = nil
		c.run(consensus.DefaultElectionTimeout, nil)
		Expect(l.readStates[1].Failed).To(BeFalse())
		Expect(l.readStates[1].Index).To(BeNumerically(">=", commit))
	})
})

var _ = Describe("members", func() {
	// Guards against two concurrent changes, whose quorums may not overlap, and against a new member that
	// votes before it has the log.
	It("change one at a time, and a learner is promoted only after it has caught up", func() {
		c := newDefaultCluster(3)
		l := c.waitForLeader()
		c.proposeCommands(20)
		Expect(l.proposeMemberChange(consensus.MemberChange{AddLearner: 4})).To(Succeed())
		Expect(l.proposeMemberChange(consensus.MemberChange{AddLearner: 5})).To(haveCode(result.MemberChangeBusy))
		c.run(settleTime, nil)
		Expect(l.proposeMemberChange(consensus.MemberChange{Promote: 4})).To(haveCode(result.MemberChangeBusy))
		learner := c.addMember(4, nil)
		c.run(time.Second, nil)
		Expect(l.proposeMemberChange(consensus.MemberChange{Promote: 4})).To(Succeed())
		c.run(settleTime, nil)
		Expect(learner.status().Members).To(Equal(consensus.Members{Voters: voters(4), Learners: []consensus.MemberID{}}))
	})

	// Guards against a group that has a majority and never a leader again: the only one left with the entry of a removal is
	// the removed voter, which grants the others no vote because its log is longer.
	It("elect a removed voter until its removal is committed", func() {
		c := newDefaultCluster(3)
		l := c.waitForLeader()
		Expect(l.proposeMemberChange(consensus.MemberChange{AddLearner: 4})).To(Succeed())
		c.addMember(4, nil)
		c.run(time.Second, nil)
		Expect(l.proposeMemberChange(consensus.MemberChange{Promote: 4})).To(Succeed())
		c.run(settleTime, nil)
		removed := c.other(l)
		c.drop = func(m consensus.Message) bool { return m.From == l.id && m.To != removed.id }
		Expect(l.proposeMemberChange(consensus.MemberChange{Remove: removed.id})).To(Succeed())
		c.run(settleTime, nil)
		Expect(removed.status().Members.Contains(removed.id)).To(BeFalse())
		l.crash()
		committed := c.lastCommitted
		c.run(5*time.Second, nil)
		Expect(c.lastCommitted).To(BeNumerically(">", committed))
		Expect(c.leader()).NotTo(Or(BeNil(), BeIdenticalTo(removed)))
		Expect(c.leader().status().Members.Voters).To(HaveLen(3))
	})

	// Guards against a removed member that requests votes and deposes the leader, whether or not it knows
	// of its removal.
	DescribeTable("are not disrupted by a removed member", func(knows bool) {
		c := newDefaultCluster(5)
		l := c.waitForLeader()
		removed := c.other(l)
		if !knows {
			c.isolate(removed.id)
		}
		Expect(l.proposeMemberChange(consensus.MemberChange{Remove: removed.id})).To(Succeed())
		c.run(10*time.Second, nil) // longer than the leader keeps sending to a removed member
		c.heal()
		term := l.softState.Term
		c.run(20*time.Second, nil)
		Expect(c.leader()).To(BeIdenticalTo(l))
		Expect(l.softState.Term).To(Equal(term))
		Expect(removed.status().Members.Contains(removed.id)).To(Equal(!knows))
	}, Entry("that knows of its removal", true), Entry("that was partitioned", false))
})
