package consensus_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/result"
)

func haveCode(code result.Code) OmegaMatcher { return WithTransform(result.CodeOf, Equal(code)) }

var _ = Describe("elections", func() {
	// Guards against a cut-off member that raises its term and unseats the leader on its return.
	It("keep the leader and the term when an isolated member returns", func() {
		g := newGroup(3)
		id, _ := g.elect()
		term := g.status(id).Term
		lost := g.other(id)
		g.cut[lost] = true
		g.pass(10 * time.Second)
		Expect(g.status(lost).Term).To(Equal(term))
		delete(g.cut, lost)
		g.pass(3 * time.Second)
		Expect(g.status(id).Role).To(Equal(consensus.Leader))
		Expect(g.status(id).Term).To(Equal(term))
	})

	// Guards against a cut-off leader that goes on, and against members that call old state current.
	It("unseat a leader without contact to a quorum, and tell the age of the contact", func() {
		g := newGroup(3)
		id, l := g.elect()
		age, known := l.QuorumAge(g.now)
		Expect(known).To(BeTrue())
		Expect(age).To(BeNumerically("<=", 2*consensus.DefaultHeartbeatInterval))
		g.cut[id] = true
		g.pass(consensus.DefaultElectionTimeout + consensus.DefaultHeartbeatInterval)
		Expect(g.status(id).Role).NotTo(Equal(consensus.Leader))
		g.pass(2 * time.Second)
		age, _ = l.QuorumAge(g.now)
		Expect(age).To(BeNumerically(">", 2*time.Second))
		for _, other := range g.order {
			if other != id {
				age, known = g.nodes[other].QuorumAge(g.now)
				Expect(known).To(BeTrue())
				Expect(age).To(BeNumerically("<=", 4*consensus.DefaultHeartbeatInterval))
			}
		}
	})

	// Guards against a heartbeat that was stuck in a buffer and makes old state look current.
	It("do not take a delayed heartbeat for recent contact", func() {
		g := newGroup(3)
		id, _ := g.elect()
		late := g.other(id)
		var stuck []consensus.Message
		g.drop = func(m consensus.Message) bool {
			if m.To == late && m.Heartbeat != nil {
				stuck = append(stuck, m)
			}
			return m.To == late
		}
		g.pass(5 * time.Second)
		Expect(g.nodes[late].Step(stuck[0], g.now)).To(Succeed())
		age, _ := g.nodes[late].QuorumAge(g.now)
		Expect(age).To(BeNumerically(">", 4*time.Second))
	})

	// Guards against a planned stop that leaves the log without a leader until a timeout.
	It("pass the leadership on at once", func() {
		g := newGroup(5)
		id, l := g.elect()
		to := g.other(id)
		Expect(l.TransferLeadership(to)).To(Succeed())
		g.settle()
		Expect(g.leader()).To(Equal(to))
	})

	// Guards against a leader that cannot write and holds up all edits until someone notices.
	It("replace a leader whose storage fails at once", func() {
		g := newGroup(3)
		id, l := g.elect()
		_, err := l.Propose([]byte("lost"))
		Expect(err).NotTo(HaveOccurred())
		_, ok := l.Ready()
		Expect(ok).To(BeTrue())
		g.queue = append(g.queue, l.PersistFailed()...)
		g.settle()
		Expect(g.leader()).NotTo(Equal(id))
		_, err = l.Propose(nil)
		Expect(err).To(haveCode(result.StorageFailed))
		_, known := l.QuorumAge(g.now)
		Expect(known).To(BeFalse())
	})
})

var _ = Describe("replication", func() {
	// Guards against a commit that counts an entry of an older term, which can still be replaced.
	It("commits entries of older terms only through one of its own", func() {
		old := consensus.Restored{
			HardState: consensus.HardState{Term: 2},
			Entries:   []consensus.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 2}},
		}
		g := &group{
			nodes: map[consensus.MemberID]*consensus.Node{}, cut: map[consensus.MemberID]bool{},
			applied: map[consensus.MemberID][]consensus.Entry{},
		}
		for id := range consensus.MemberID(3) {
			g.add(id+1, []consensus.MemberID{1, 2, 3}, old)
		}
		held := 0
		g.drop = func(m consensus.Message) bool {
			if a := m.Append; a != nil && len(a.Entries) > 0 {
				held++
				return true // the entry of the own term does not arrive
			}
			return false
		}
		g.pass(5 * time.Second)
		Expect(held).NotTo(BeZero())
		for _, id := range g.order {
			Expect(g.status(id).Commit).To(BeZero())
		}
	})

	// Guards against a repair that takes one round trip for each entry.
	It("repairs a long conflict in few messages", func() {
		g := newGroup(3)
		id, l := g.elect()
		g.cut[id] = true
		for range 500 {
			_, err := l.Propose([]byte("never committed"))
			Expect(err).NotTo(HaveOccurred())
		}
		g.handle(id)
		g.pass(3 * time.Second)
		g.propose(500)
		delete(g.cut, id)
		g.sent = 0
		g.pass(consensus.DefaultHeartbeatInterval)
		Expect(g.status(id).Commit).To(Equal(g.status(g.leader()).Commit))
		Expect(g.sent).To(BeNumerically("<", 30))
	})

	// Guards against a member that is too far behind and never gets the state.
	It("sends a snapshot in chunks to a member that is too far behind", func() {
		g := newGroup(3)
		id, l := g.elect()
		lost := g.other(id)
		g.cut[lost] = true
		g.propose(50)
		s, err := l.NewSnapshot(bytes.Repeat([]byte("x"), 1050))
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Compact(s.Index, s)).To(Succeed())
		delete(g.cut, lost)
		g.pass(consensus.DefaultElectionTimeout)
		Expect(g.status(lost).SnapshotIndex).To(Equal(s.Index))
		Expect(g.status(lost).Commit).To(Equal(g.status(id).Commit))
	})

	// Guards against memory without bound at a leader without a quorum, and against large entries.
	It("refuses what exceeds its bounds", func() {
		g := newGroup(3)
		id, l := g.elect()
		_, err := l.Propose(make([]byte, consensus.MaxEntrySize+1))
		Expect(err).To(HaveOccurred())
		g.cut[id] = true
		for range consensus.DefaultMaxUncommitted / consensus.MaxEntrySize {
			_, err = l.Propose(make([]byte, consensus.MaxEntrySize))
			Expect(err).NotTo(HaveOccurred())
		}
		_, err = l.Propose(make([]byte, consensus.MaxEntrySize))
		Expect(err).To(haveCode(result.Overloaded))
		_, err = g.nodes[g.other(id)].Propose(nil)
		Expect(err).To(haveCode(result.NotLeader))
	})

	// Guards against messages that lose a part in the codec of the shell.
	It("has messages that survive gob", func() {
		g := newGroup(3)
		seen := map[string]bool{}
		g.drop = func(m consensus.Message) bool {
			var b bytes.Buffer
			var got consensus.Message
			Expect(gob.NewEncoder(&b).Encode(m)).To(Succeed())
			Expect(gob.NewDecoder(&b).Decode(&got)).To(Succeed())
			Expect(fmt.Sprintf("%+v", got.VoteReply)).To(Equal(fmt.Sprintf("%+v", m.VoteReply)))
			Expect(got.Heartbeat != nil).To(Equal(m.Heartbeat != nil))
			Expect(got.Append != nil).To(Equal(m.Append != nil))
			Expect(got.AppendReply).To(Equal(m.AppendReply))
			Expect(got.Contact).To(Equal(m.Contact))
			for name, is := range map[string]bool{"vote": m.VoteReply != nil, "append": m.AppendReply != nil, "heartbeat": m.HeartbeatReply != nil} {
				seen[name] = seen[name] || is
			}
			return false
		}
		g.elect()
		Expect(seen).To(Equal(map[string]bool{"vote": true, "append": true, "heartbeat": true}))
	})
})

var _ = Describe("reads", func() {
	// Guards against a cut-off leader that answers a read with old state.
	It("are answered only after a quorum has confirmed the leader", func() {
		g := newGroup(3)
		id, l := g.elect()
		g.propose(3)
		Expect(l.ReadIndex(1)).To(Succeed())
		Expect(g.nodes[g.other(id)].ReadIndex(2)).To(Succeed())
		g.settle()
		commit := g.status(id).Commit
		Expect(g.reads).To(ConsistOf(
			consensus.ReadState{ID: 1, Index: commit}, consensus.ReadState{ID: 2, Index: commit}))
		g.reads = nil
		g.cut[id] = true
		Expect(l.ReadIndex(3)).To(Succeed())
		g.pass(2 * time.Second)
		Expect(g.reads).To(ConsistOf(consensus.ReadState{ID: 3, Index: commit, Failed: true}))
	})
})

var _ = Describe("members", func() {
	change := func(g *group, c consensus.MemberChange) error {
		_, err := g.nodes[g.leader()].ProposeMemberChange(c)
		g.settle()
		return err
	}

	// Guards against two changes at a time, whose majorities may not overlap, and against a new
	// member that counts before it has the log.
	It("change one at a time, and a learner votes only after it has caught up", func() {
		g := newGroup(3)
		id, l := g.elect()
		g.propose(20)
		Expect(change(g, consensus.MemberChange{AddLearner: 4})).To(Succeed())
		Expect(change(g, consensus.MemberChange{Promote: 4})).To(haveCode(result.MemberChangeBusy))
		_, err := l.ProposeMemberChange(consensus.MemberChange{Remove: g.other(id)})
		Expect(err).NotTo(HaveOccurred())
		_, err = l.ProposeMemberChange(consensus.MemberChange{AddLearner: 5})
		Expect(err).To(haveCode(result.MemberChangeBusy))
		g.settle()
		g.add(4, nil, consensus.Restored{})
		g.pass(time.Second)
		Expect(change(g, consensus.MemberChange{Promote: 4})).To(Succeed())
		Expect(g.status(4).Members.Voters).To(HaveLen(3))
		Expect(g.status(4).Members.IsVoter(4)).To(BeTrue())
	})

	// Guards against a removed member that asks for votes and unseats the leader, whether it knows
	// of its removal or not.
	DescribeTable("are not disturbed by a removed one", func(knows bool) {
		g := newGroup(5)
		id, _ := g.elect()
		removed := g.other(id)
		g.cut[removed] = !knows
		Expect(change(g, consensus.MemberChange{Remove: removed})).To(Succeed())
		g.pass(10 * time.Second) // longer than the leader tries to tell a removed member
		delete(g.cut, removed)
		term := g.status(id).Term
		g.pass(20 * time.Second)
		Expect(g.status(id).Role).To(Equal(consensus.Leader))
		Expect(g.status(id).Term).To(Equal(term))
		Expect(g.status(removed).Members.Contains(removed)).To(Equal(!knows))
	}, Entry("that knows", true), Entry("that was cut off", false))

	// Guards against a leader that goes on after its own removal.
	It("get a new leader at once when the leader is removed", func() {
		g := newGroup(3)
		id, _ := g.elect()
		Expect(change(g, consensus.MemberChange{Remove: id})).To(Succeed())
		Expect(g.leader()).NotTo(Equal(id))
		Expect(g.leader()).NotTo(BeZero())
	})
})
