package consensus_test

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/result"
)

var _ = Describe("members that change two voters in one step", func() {
	// Guards against a step of a replacement in which the loss of the new voter and of one more takes the majority for good,
	// because the voter that it replaces is gone and still counts.
	It("bear what both groups bear", func() {
		c := newDefaultCluster(5)
		l := c.waitForLeader()
		gone := c.other(l)
		gone.crash()
		c.addCaughtUpLearner(l, 6)
		c.drop = func(m consensus.Message) bool { return m.From == 6 }
		Expect(l.proposeMemberChange(consensus.MemberChange{Promote: 6, Remove: gone.id})).To(Succeed())
		c.run(settleTime, nil)
		Expect(l.status().Transition).NotTo(BeNil())
		read := consensus.Members{} // what an older build reads
		Expect(json.Unmarshal(l.durable.Entries[len(l.durable.Entries)-1].Data, &read)).To(Succeed())
		Expect(read).To(Equal(consensus.Members{Voters: voters(6), Learners: []consensus.MemberID{}}))
		l.crash()
		c.members[6].crash()
		next := c.waitForLeader()
		Expect(next.status().Transition).NotTo(BeNil())
		Expect(next.proposeMemberChange(consensus.MemberChange{Finish: true})).To(Succeed())
		c.run(settleTime, nil)
		Expect(next.status().Commit).To(Equal(next.status().Last))
		Expect(next.status().Members.Contains(gone.id)).To(BeFalse())
	})

	// Guards against a group that grows by one voter, which bears the loss of that voter and of one more no longer.
	It("grow by two voters at once, and bear the loss of one of them besides another one", func() {
		c := newDefaultCluster(3)
		l := c.waitForLeader()
		c.addCaughtUpLearner(l, 4)
		c.addCaughtUpLearner(l, 5)
		Expect(l.proposeMemberChange(consensus.MemberChange{Promote: 4, PromoteToo: 5})).To(Succeed())
		c.run(settleTime, nil)
		l.crash()
		c.members[4].crash()
		next := c.waitForLeader()
		Expect(next.proposeMemberChange(consensus.MemberChange{Revert: true})).To(Succeed())
		c.run(settleTime, nil)
		Expect(next.status().Members).To(Equal(consensus.Members{Voters: voters(3), Learners: []consensus.MemberID{4, 5}}))
	})

	// Guards against an older build that changes the members from the lists that it reads, while others still count by the
	// transition: their majorities would not overlap.
	It("count by the lists alone after an entry of a leader that does not know transitions", func() {
		c := newDefaultCluster(5)
		l := c.waitForLeader()
		c.addCaughtUpLearner(l, 6)
		Expect(l.proposeMemberChange(consensus.MemberChange{Promote: 6, Remove: c.other(l).id})).To(Succeed())
		c.run(settleTime, nil)
		old := c.members[6]
		old.isOld = true
		old.crash()
		old.restart()
		c.run(time.Second, nil)
		Expect(l.node.TransferLeadership(old.id)).To(Succeed())
		l.processReady()
		c.run(settleTime, nil)
		Expect(c.leader()).To(BeIdenticalTo(old))
		for _, id := range voters(5) {
			Expect(c.members[id].status().Transition).To(BeNil())
			Expect(c.members[id].status().Members.Voters).To(HaveLen(6))
		}
	})

	// Guards against a change of two voters of an even number, whose lists older builds could not count safely, and against other
	// changes before the end of the first.
	It("refuse changes of two voters that do not fit", func() {
		c := newDefaultCluster(3)
		l := c.waitForLeader()
		c.addCaughtUpLearner(l, 4)
		Expect(l.proposeMemberChange(consensus.MemberChange{Promote: 4, Remove: 9})).To(haveCode(result.PeerUnknown))
		Expect(l.proposeMemberChange(consensus.MemberChange{Promote: 4, PromoteToo: 4})).To(haveCode(result.PeerUnknown))
		Expect(l.proposeMemberChange(consensus.MemberChange{Finish: true})).To(haveCode(result.ConfigInvalid))
		Expect(l.proposeMemberChange(consensus.MemberChange{Promote: 4})).To(Succeed())
		c.run(settleTime, nil)
		c.addCaughtUpLearner(l, 5)
		Expect(l.proposeMemberChange(consensus.MemberChange{Promote: 5, Remove: l.id})).To(haveCode(result.ConfigInvalid))
		Expect(l.proposeMemberChange(consensus.MemberChange{Remove: c.other(l).id})).To(Succeed())
		c.run(settleTime, nil)
		Expect(l.proposeMemberChange(consensus.MemberChange{Promote: 5, Remove: l.id})).To(Succeed())
		c.run(settleTime, nil)
		Expect(l.proposeMemberChange(consensus.MemberChange{AddLearner: 9})).To(haveCode(result.MemberChangeBusy))
		Expect(l.proposeMemberChange(consensus.MemberChange{Finish: true})).To(Succeed())
		c.run(settleTime, nil)
		Expect(c.leader()).NotTo(BeIdenticalTo(l))
	})
})
