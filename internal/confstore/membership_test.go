package confstore

import (
	"bytes"
	"context"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/greengagelock/greengagelock/internal/repair"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/testkit"
)

// Guards against controllers that were replaced as planned and stay voters for good: the successors of two of five
// became voters while these were running, so that seven voters were left of which two were gone, and the next two
// losses took the majority.
func TestPlannedReplacementsKeepTheSizeOfTheGroup(t *testing.T) {
	g := newTestGroup(t)
	first := g.found(5, 3)
	seeds := first[0].cfg.Seeds
	successors := []*testController{g.add(Config{Seeds: seeds}), g.add(Config{Seeds: seeds})}
	for _, c := range successors {
		g.start(c)
	}
	g.waitForMembers(7)
	// Learners serve operators as well.
	g.replace(successors[0], 7)
	g.expectVersion(successors[1], 7)
	g.stop(first[3])
	g.stop(first[4])
	g.waitForVoters(first[0], first[1], first[2], successors[0], successors[1])

	g.replace(first[0], 8)
	for _, c := range successors {
		g.stop(c)
		g.loseDisk(c)
	}
	for _, c := range successors {
		g.restart(c)
	}
	g.expectVersion(first[0], 8)
	g.waitForVoters(first[0], first[1], first[2], successors[0], successors[1])
}

// Guards against a new controller that never becomes a member because the leader is none of its seeds.
func TestControllerJoinsIfItsSeedsDoNotLead(t *testing.T) {
	g := newTestGroup(t)
	first := g.found(3, 3)
	leader := g.leader()
	var seeds []netip.Addr
	var replaced, kept *testController
	for _, c := range first {
		switch {
		case c == leader:
		case kept == nil:
			kept = c
			seeds = append(seeds, c.cfg.IP)
		default:
			replaced = c
		}
	}
	g.stop(replaced)
	successor := g.add(Config{Seeds: seeds})
	g.start(successor)
	g.waitForVoters(leader, kept, successor)
}

// Guards against a lost member that cannot be removed: the others had restarted while it was off, and did not know its
// name any more, because the members had not changed since the first start.
func TestLostMemberIsRemovedAfterARestartOfTheOthers(t *testing.T) {
	g := newTestGroup(t)
	first := g.found(3, 3)
	for _, c := range first {
		g.stop(c)
	}
	g.loseDisk(first[0])
	g.restart(first[1])
	g.restart(first[2])
	g.restart(first[0])
	g.waitForVoters(first...)
}

// Guards against a time after a planned replacement in which the group bears one loss less: the successor had caught up,
// but became a voter only when the stopped controller counted as lost.
func TestStoppingControllerIsReplacedWhileItRuns(t *testing.T) {
	g := newTestGroup(t)
	first := g.found(3, 3)
	successor := g.add(Config{Seeds: first[0].cfg.Seeds})
	g.start(successor)
	g.waitForMembers(4)
	first[0].mu.Lock()
	first[0].joiner.Stop()
	first[0].mu.Unlock()
	NewWithT(t).Eventually(func() []string {
		first[0].transferLeadership(context.Background())
		first[0].leave(context.Background())
		return g.voters()
	}).WithTimeout(testkit.WaitTimeout).Should(ConsistOf(first[1].name, first[2].name, successor.name))
}

// Guards against a stopping controller that ends once its successor votes: until its removal is committed the group has one voter
// more, of which one is gone, and the two losses that it has to bear took the majority for good.
func TestStoppingControllerStaysUntilItsRemovalIsCommitted(t *testing.T) {
	g := newTestGroup(t)
	first := g.found(5, 3)
	successor := g.add(Config{Seeds: first[0].cfg.Seeds})
	g.start(successor)
	g.waitForMembers(6)
	NewWithT(t).Eventually(first[4].Members).WithTimeout(testkit.WaitTimeout).Should(HaveLen(6))
	g.stop(first[4])
	committed := 0
	for _, c := range g.running() {
		status := c.log.Status()
		removed := !slices.ContainsFunc(status.Members, func(m replica.Member) bool { return m.Name == first[4].name })
		if removed && status.MembersCommitted && c.isVoter(status) {
			committed++
		}
	}
	NewWithT(t).Expect(committed).To(BeNumerically(">", 0), "no running voter knows that the removal is committed")
}

// Guards against a stopping controller that ends as a voter because the leader ends at the same moment and cannot be told.
func TestStoppingControllerIsReplacedAlthoughTheLeaderEnds(t *testing.T) {
	g := newTestGroup(t)
	first := g.found(5, 3)
	successor := g.add(Config{Seeds: first[0].cfg.Seeds})
	g.start(successor)
	g.waitForMembers(6)
	leader := g.leader()
	stopped := first[0]
	if stopped == leader {
		stopped = first[1]
	}
	NewWithT(t).Eventually(stopped.Members).WithTimeout(testkit.WaitTimeout).Should(HaveLen(6))
	leader.kill()
	g.stop(stopped)
	voters := 0
	for _, c := range g.running() {
		if slices.ContainsFunc(c.Members(), func(m replica.Member) bool { return m.Name == stopped.name && !m.Learner }) {
			voters++
		}
	}
	NewWithT(t).Expect(voters).To(BeNumerically("<=", 1), "one member may not know yet that it has been removed")
}

// Guards against a zone with three of five voters for good: a controller of a zone with two is added, and takes the place of one of
// another zone that is off for a while.
func TestReturningControllerRelievesACrowdedZone(t *testing.T) {
	g := newTestGroup(t)
	zones := []string{"a", "a", "b", "c", "d"}
	var first []*testController
	for _, zone := range zones {
		first = append(first, g.add(Config{Bootstrap: true, Zone: zone, FaultTolerance: 2}))
	}
	for _, c := range first {
		for _, s := range first[:3] {
			c.cfg.Seeds = append(c.cfg.Seeds, s.cfg.IP)
		}
		g.start(c)
	}
	g.waitForVoters(first...)
	added := g.add(Config{Seeds: first[0].cfg.Seeds, Zone: "a", FaultTolerance: 2})
	g.start(added)
	g.waitForMembers(6)
	g.stop(first[4])
	g.waitForVoters(first[0], first[1], first[2], first[3], added)
	g.restart(first[4])
	NewWithT(t).Eventually(func() map[string]int {
		voters := map[string]int{}
		for _, name := range g.voters() {
			for _, c := range g.all {
				if c.name == name {
					voters[c.cfg.Zone]++
				}
			}
		}
		return voters
	}).WithTimeout(testkit.WaitTimeout).Should(Equal(map[string]int{"a": 2, "b": 1, "c": 1, "d": 1}))
}

// Guards against members that an operator takes for old builds: a controller that does not lead may never have been called
// by the others, and showed them as below its protocol level.
func TestStatusOfAFollowerKnowsTheLevelsOfAllMembers(t *testing.T) {
	g := newTestGroup(t)
	first := g.found(3, 3)
	for _, c := range first {
		if c == g.leader() {
			continue
		}
		c.mu.Lock()
		clear(c.peers)
		c.mu.Unlock()
		NewWithT(t).Eventually(func() ([]string, error) {
			status, err := FetchStatus(context.Background(), netip.AddrPortFrom(c.cfg.IP, groupPort))
			if err != nil {
				return nil, err
			}
			return status.Below, nil
		}).WithTimeout(testkit.WaitTimeout).Should(BeEmpty())
	}
}

// Guards against a store that bears fewer losses than it should without any sign of it: every controller shows it, with the
// member that is lost, until a successor has taken its place.
func TestStatusShowsTheLossesThatTheStoreBears(t *testing.T) {
	g := newTestGroup(t)
	first := g.found(3, 3)
	g.stop(first[2])
	for _, c := range first[:2] {
		NewWithT(t).Eventually(func() (*RepairStatus, error) { return c.repairStatus() }).WithTimeout(testkit.WaitTimeout).Should(And(
			HaveField("Borne", 0), HaveField("Wanted", 1), HaveField("Lost", ConsistOf(HaveField("Name", first[2].name)))))
	}
	successor := g.add(Config{Seeds: first[0].cfg.Seeds})
	g.start(successor)
	NewWithT(t).Eventually(func() (*RepairStatus, error) { return successor.repairStatus() }).WithTimeout(testkit.WaitTimeout).Should(And(
		HaveField("Borne", 1), HaveField("Wanted", 1), HaveField("Lost", BeEmpty()), HaveField("Change", "")))
}

func (c *testController) repairStatus() (*RepairStatus, error) {
	status, err := FetchStatus(context.Background(), netip.AddrPortFrom(c.cfg.IP, groupPort))
	if err != nil || status.Repair == nil {
		return nil, err
	}
	return status.Repair, nil
}

// Guards against a change of the members that fails again and again and fills the log.
func TestFailedChangeIsLoggedOnceAndCounted(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	r := repairReport{logger: &log.Logger{Writer: &log.IOWriter{Writer: &out}}}
	group := &repair.Group{Members: []repair.Member{{Name: "a", Voter: true, Self: true}, {Name: "b", Voter: true}, {Name: "c", Voter: true, ContactAge: time.Hour}}}
	due := &repair.Change{Kind: repair.Remove, Name: "c", Reason: "it is gone"}
	for range 30 {
		r.observe(group, due)
		r.finish(due, result.New(result.PeerUnknown, "member 3 does not exist"))
	}
	g.Expect(strings.Count(out.String(), "store membership change")).To(Equal(1))
	g.Expect(strings.Count(out.String(), "the store bears fewer losses than it should")).To(Equal(1))
	g.Expect(out.String()).To(ContainSubstring("GGL-"))
	s := r.current()
	g.Expect(s.Failures).To(Equal(uint64(30)))
	g.Expect(s.Error).To(ContainSubstring("does not exist"))
	g.Expect(r.failureCount()).To(Equal(uint64(30)))

	group.Members[2].ContactAge = 0
	r.observe(group, &repair.Change{})
	g.Expect(out.String()).To(ContainSubstring("the store bears its losses again"))
	g.Expect(r.current().Failures).To(BeZero())
}
