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

	// Guards against a member that does not hear the leader and unseats it with the votes of others.
	It("keep a leader that a quorum hears", func() {
		g := newGroup(3)
		id, _ := g.elect()
		term, deaf := g.status(id).Term, g.other(id)
		g.drop = func(m consensus.Message) bool { return m.From == id && m.To == deaf }
		g.pass(5 * time.Second)
		Expect(g.status(id).Role).To(Equal(consensus.Leader))
		Expect(g.status(id).Term).To(Equal(term))
	})

	// Guards against a member with a newer term that nobody follows and that follows nobody.
	It("take in a member with a newer term", func() {
		g := newGroup(0)
		for id, term := range []uint64{1, 1, 10} {
			g.add(consensus.MemberID(id+1), []consensus.MemberID{1, 2, 3}, consensus.Restored{HardState: consensus.HardState{Term: term}})
		}
		g.cut[3] = true
		g.elect()
		delete(g.cut, 3)
		g.pass(4 * time.Second)
		Expect(g.status(3).Leader).To(Equal(g.leader()))
		Expect(g.leader()).NotTo(BeZero())
	})

	// Guards against a term or vote that is used before it is synced.
	It("ask for a sync of term and vote before they are used", func() {
		g := newGroup(3)
		vote := consensus.Message{From: 2, To: 1, Term: 1, VoteRequest: &consensus.VoteRequest{}}
		Expect(g.nodes[1].Step(vote, g.now)).To(Succeed())
		r, _ := g.nodes[1].Ready()
		Expect(r.MustSync).To(BeTrue())
		Expect(r.HardState).To(Equal(consensus.HardState{Term: 1, Vote: 2}))
		g.nodes[1].Advance(r)
		beat := consensus.Message{From: 3, To: 1, Term: 2, Heartbeat: &consensus.Heartbeat{}}
		Expect(g.nodes[1].Step(beat, g.now)).To(Succeed())
		r, _ = g.nodes[1].Ready()
		Expect(r.MustSync).To(BeTrue())
		Expect(r.HardState).To(Equal(consensus.HardState{Term: 2}))
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
		Expect(g.leader()).NotTo(BeElementOf(consensus.MemberID(0), id))
		_, err = l.Propose(nil)
		Expect(err).To(haveCode(result.StorageFailed))
		_, known := l.QuorumAge(g.now)
		Expect(known).To(BeFalse())
	})
})

var _ = Describe("replication", func() {
	// Guards against a commit that counts an entry of an older term, which can still be replaced.
	It("commits entries of older terms only through one of its own", func() {
		g := newGroup(0)
		g.batch = 1
		entries := []consensus.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 2}}
		for id := range consensus.MemberID(3) {
			g.add(id+1, []consensus.MemberID{1, 2, 3}, consensus.Restored{
				HardState: consensus.HardState{Term: 2}, Entries: entries[:2-min(id, 1)],
			})
		}
		g.drop = func(m consensus.Message) bool {
			return m.Append != nil && len(m.Append.Entries) > 0 && m.Append.Previous.Index >= 2 && g.status(m.To).Last >= 2
		}
		for range 20 { // the others do not tick, so member 1 leads
			g.now += 100 * ms
			g.nodes[1].Tick(g.now)
			g.settle()
		}
		Expect(g.leader()).To(BeEquivalentTo(1))
		Expect(g.status(2).Last).To(BeEquivalentTo(2))
		Expect(g.status(1).Commit).To(BeZero())
		g.drop = nil
		g.pass(time.Second)
		Expect(g.status(2).Commit).To(BeEquivalentTo(3))
	})

	// Guards against a follower that commits entries which the leader has not confirmed.
	It("commits at a follower only what agrees with the leader", func() {
		g := newGroup(0)
		g.add(1, []consensus.MemberID{1, 2, 3}, consensus.Restored{
			HardState: consensus.HardState{Term: 1},
			Entries:   []consensus.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1}},
		})
		Expect(g.nodes[1].Step(consensus.Message{
			From: 2, To: 1, Term: 2, Append: &consensus.Append{Previous: consensus.Position{Index: 1, Term: 1}, Commit: 3},
		}, g.now)).To(Succeed())
		Expect(g.status(1).Commit).To(BeEquivalentTo(1))
	})

	// Guards against an entry that takes the place of one which is being written, and is taken for
	// synced with it.
	It("writes an entry that replaces one on its way to storage", func() {
		g := newGroup(3)
		send := func(from consensus.MemberID, term uint64) {
			Expect(g.nodes[1].Step(consensus.Message{
				From: from, To: 1, Term: term, Append: &consensus.Append{Entries: []consensus.Entry{{Index: 1, Term: term}}},
			}, g.now)).To(Succeed())
		}
		send(2, 1)
		r, _ := g.nodes[1].Ready()
		send(3, 2)
		_, ok := g.nodes[1].Ready()
		Expect(ok).To(BeFalse())
		g.nodes[1].Advance(r)
		r, _ = g.nodes[1].Ready()
		Expect(r.Entries).To(Equal([]consensus.Entry{{Index: 1, Term: 2}}))
	})

	// Guards against a repair that takes one round trip for each entry, and against members in
	// force through an entry that was replaced.
	It("repairs a long conflict in few messages", func() {
		g := newGroup(5)
		id, l := g.elect()
		g.cut[id] = true
		for range 500 {
			_, err := l.Propose([]byte("never committed"))
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := l.ProposeMemberChange(consensus.MemberChange{AddLearner: 9})
		Expect(err).NotTo(HaveOccurred())
		g.handle(id)
		Expect(g.status(id).Members.Learners).NotTo(BeEmpty())
		second, _ := g.elect()
		g.propose(500)
		g.cut[second] = true
		third, _ := g.elect()
		delete(g.cut, id)
		g.sent = 0
		g.pass(2 * consensus.DefaultHeartbeatInterval)
		Expect(g.status(id).Commit).To(Equal(g.status(third).Commit))
		Expect(g.status(id).Members.Learners).To(BeEmpty())
		Expect(g.sent).To(BeNumerically("<", 60))
	})

	// Guards against a member that is too far behind and never gets the state.
	It("sends a snapshot in chunks to a member that is too far behind", func() {
		g := newGroup(3)
		id, l := g.elect()
		lost := g.other(id)
		g.cut[lost] = true
		g.propose(50)
		_, err := l.ProposeMemberChange(consensus.MemberChange{AddLearner: 9})
		Expect(err).NotTo(HaveOccurred())
		g.settle()
		s, err := l.NewSnapshot(bytes.Repeat([]byte("x"), 1050))
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Compact(s.Index, s)).To(Succeed())
		delete(g.cut, lost)
		g.pass(consensus.DefaultElectionTimeout)
		Expect(g.status(lost).SnapshotIndex).To(Equal(s.Index))
		Expect(g.status(lost).Commit).To(Equal(g.status(id).Commit))
		Expect(g.status(lost).Members).To(Equal(l.Members()))
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
		g := newGroup(5)
		id, l := g.elect()
		g.propose(3)
		Expect(l.ReadIndex(1)).To(Succeed())
		Expect(g.nodes[g.other(id)].ReadIndex(2)).To(Succeed())
		g.settle()
		commit := g.status(id).Commit
		Expect(g.reads).To(ConsistOf(
			consensus.ReadState{ID: 1, Index: commit}, consensus.ReadState{ID: 2, Index: commit}))
		g.reads = nil
		for _, other := range g.order { // one member stays with the leader
			g.cut[other] = other != id && other != g.other(id)
		}
		Expect(l.ReadIndex(3)).To(Succeed())
		g.pass(2 * time.Second)
		Expect(g.reads).To(ConsistOf(consensus.ReadState{ID: 3, Index: commit, Failed: true}))
	})
})

var _ = Describe("a new leader", func() {
	// Guards against a read that misses entries which the old leader has committed, and against a
	// change of members on top of one that the new leader does not know to be committed.
	It("reads and changes members only after it has committed an entry", func() {
		g := newGroup(3)
		id, _ := g.elect()
		g.drop = func(m consensus.Message) bool {
			return m.Heartbeat != nil || m.Append != nil && len(m.Append.Entries) == 0
		}
		g.propose(5)
		commit := g.status(id).Commit
		g.cut[id] = true
		g.drop = func(m consensus.Message) bool { return m.AppendReply != nil }
		next, l := g.elect()
		Expect(g.status(next).Commit).To(BeNumerically("<", commit))
		Expect(l.ReadIndex(1)).To(Succeed())
		_, err := l.ProposeMemberChange(consensus.MemberChange{AddLearner: 9})
		Expect(err).To(haveCode(result.MemberChangeBusy))
		Expect(g.reads).To(BeEmpty())
		g.drop = nil
		g.pass(time.Second)
		Expect(g.reads).To(HaveLen(1))
		Expect(g.reads[0].Failed).To(BeFalse())
		Expect(g.reads[0].Index).To(BeNumerically(">=", commit))
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
