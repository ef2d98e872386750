package controller

import (
	"testing"

	"github.com/greengagelock/greengagelock/internal/membership"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/node"
	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/testkit"
)

// Guards against a fault on the path of an edit: from the operator through the log to the views of
// balancers and agents, and back as the revisions that they report.
func TestEditIsInForceOnAllNodes(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	addresses := h.cluster(3).addresses()
	ctl := h.operator(addresses...)
	balancer, agent := &fakeNode{}, newFakeAgent("vm-0-0", 9000, "s0")
	h.node(model.RoleBalancer, "b1", balancer, addresses...)
	h.node(model.RoleAgent, "vm-0-0", agent, addresses...)
	reply, err := ctl.Apply(t.Context(), operator.Edit{File: "doc", Document: document(2, 1, "")})
	testkit.Check(t, err)
	testkit.Check(t, reply.Result.Err())
	testkit.Eventually(t, "the target in the views", func() bool {
		return len(balancer.lastView().Targets) == 1 && len(balancer.lastView().Services) == 2 &&
			len(agent.lastView().Targets) == 1 && len(agent.lastView().Services) == 1
	})
	wait, err := ctl.WaitInForce(t.Context(), reply.Result.Revision, testkit.WaitTimeout)
	testkit.Check(t, err)
	if wait.Nodes != 2 || wait.InForce != 2 {
		t.Fatalf("in force on %d of %d nodes, want 2 of 2", wait.InForce, wait.Nodes)
	}
	drain, err := ctl.Drain(t.Context(), operator.Edit{Base: 1, Names: []string{"vm-0-0"}})
	testkit.Check(t, err)
	if drain.Result.Code != result.AcknowledgeRequired {
		t.Fatalf("draining the only target returned code %d, want %d", drain.Result.Code, result.AcknowledgeRequired)
	}
	drain, err = ctl.Drain(t.Context(), operator.Edit{Base: 1, Names: []string{"vm-0-0"}, Acknowledged: drain.Result.Missing})
	testkit.Check(t, err)
	testkit.Check(t, drain.Result.Err())
	testkit.Eventually(t, "draining state of the target at the agent", func() bool {
		for _, target := range agent.lastView().Targets {
			return target.State == model.TargetDraining
		}
		return false
	})
}

// Guards against a target that still takes new flows after its agent is gone, and against a target that
// gets a new ID when its agent returns.
func TestReturningTargetKeepsItsID(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	addresses := h.cluster(3).addresses()
	ctl := h.operator(addresses...)
	balancer := &fakeNode{}
	h.node(model.RoleBalancer, "b1", balancer, addresses...)
	var stops []func()
	for _, vm := range []string{"vm-0-0", "vm-0-1"} {
		_, stop := h.node(model.RoleAgent, vm, newFakeAgent(vm, 9000, "s0"), addresses...)
		stops = append(stops, stop)
	}
	reply, err := ctl.Apply(t.Context(), operator.Edit{File: "doc", Document: document(1, 2, "")})
	testkit.Check(t, err)
	testkit.Check(t, reply.Result.Err())
	state := func(vm model.VM) (model.TargetID, model.TargetState) {
		for id, target := range balancer.lastView().Targets {
			if target.VM == vm {
				return id, target.State
			}
		}
		return 0, model.TargetLost
	}
	testkit.Eventually(t, "both targets", func() bool { return len(balancer.lastView().Targets) == 2 })
	before, _ := state("vm-0-1")
	stops[1]()
	testkit.Eventually(t, "lost state of the target", func() bool { _, s := state("vm-0-1"); return s == model.TargetLost })
	h.node(model.RoleAgent, "vm-0-1", newFakeAgent("vm-0-1", 9000, "s0"), addresses...)
	testkit.Eventually(t, "active state of the target", func() bool { _, s := state("vm-0-1"); return s == model.TargetActive })
	if after, _ := state("vm-0-1"); after != before {
		t.Fatalf("the target has ID %d after the restart, want %d", after, before)
	}
}

// Guards against targets that are marked lost because the controller that their agents poll stopped
// responding: the agents must reach another controller within the lease.
func TestFailoverStaysWithinTheLease(t *testing.T) {
	t.Parallel()
	if longest := node.MaxFailoverTime + minReportInterval; longest >= membership.Lease {
		t.Fatalf("a node may need %v to report through another controller, the lease is %v", longest, membership.Lease)
	}
}
