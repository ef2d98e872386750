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

// Guards against a break anywhere on the way of an edit: from the operator through the log to the
// views of balancers and agents, and back as applied revisions.
func TestEditComesInForceOnAllNodes(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	addresses := h.cluster(3).addresses()
	ctl := h.operator(addresses...)
	balancer, agent := &standin{}, agentStandin("vm-0-0", 9000, "s0")
	h.node(model.RoleBalancer, "b1", balancer, addresses...)
	h.node(model.RoleAgent, "vm-0-0", agent, addresses...)
	reply, err := ctl.Apply(t.Context(), operator.Edit{File: "doc", Document: document(2, 1, "")})
	testkit.Check(t, err)
	testkit.Check(t, reply.Result.Err())
	testkit.Eventually(t, "target in the views", func() bool {
		return len(balancer.last().Targets) == 1 && len(balancer.last().Services) == 2 &&
			len(agent.last().Targets) == 1 && len(agent.last().Services) == 1
	})
	wait, err := ctl.WaitInForce(t.Context(), reply.Result.Revision, testkit.Patience)
	testkit.Check(t, err)
	if wait.Nodes != 2 || wait.InForce != 2 {
		t.Fatalf("in force on %d of %d nodes, want 2 of 2", wait.InForce, wait.Nodes)
	}
	drain, err := ctl.Drain(t.Context(), operator.Edit{Base: 1, Names: []string{"vm-0-0"}})
	testkit.Check(t, err)
	if drain.Result.Code != result.AcknowledgeRequired {
		t.Fatalf("draining the only target: got code %d, want %d", drain.Result.Code, result.AcknowledgeRequired)
	}
	drain, err = ctl.Drain(t.Context(), operator.Edit{Base: 1, Names: []string{"vm-0-0"}, Acknowledged: drain.Result.Missing})
	testkit.Check(t, err)
	testkit.Check(t, drain.Result.Err())
	testkit.Eventually(t, "draining state at the agent", func() bool {
		for _, target := range agent.last().Targets {
			return target.State == model.TargetDraining
		}
		return false
	})
}

// Guards against a target that stays admitting after its agent is gone, and against the loss of
// its number when the agent is back.
func TestLostTargetComesBackUnderItsNumber(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	addresses := h.cluster(3).addresses()
	ctl := h.operator(addresses...)
	balancer := &standin{}
	h.node(model.RoleBalancer, "b1", balancer, addresses...)
	var stops []func()
	for _, vm := range []string{"vm-0-0", "vm-0-1"} {
		_, stop := h.node(model.RoleAgent, vm, agentStandin(vm, 9000, "s0"), addresses...)
		stops = append(stops, stop)
	}
	reply, err := ctl.Apply(t.Context(), operator.Edit{File: "doc", Document: document(1, 2, "")})
	testkit.Check(t, err)
	testkit.Check(t, reply.Result.Err())
	state := func(vm model.VM) (model.TargetID, model.TargetState) {
		for id, target := range balancer.last().Targets {
			if target.VM == vm {
				return id, target.State
			}
		}
		return 0, model.TargetLost
	}
	testkit.Eventually(t, "both targets", func() bool { return len(balancer.last().Targets) == 2 })
	before, _ := state("vm-0-1")
	stops[1]()
	testkit.Eventually(t, "lost state", func() bool { _, s := state("vm-0-1"); return s == model.TargetLost })
	h.node(model.RoleAgent, "vm-0-1", agentStandin("vm-0-1", 9000, "s0"), addresses...)
	testkit.Eventually(t, "active state", func() bool { _, s := state("vm-0-1"); return s == model.TargetActive })
	if after, _ := state("vm-0-1"); after != before {
		t.Fatalf("target has number %d after the restart, want %d", after, before)
	}
}

// Guards against targets that are marked lost because the controller of their agents went silent:
// the agents must reach another one within the lease.
func TestFailoverStaysWithinTheLease(t *testing.T) {
	t.Parallel()
	if longest := node.FailoverTime + reportPause; longest >= membership.Lease {
		t.Fatalf("a node can take %v to be heard through another controller, the lease is %v", longest, membership.Lease)
	}
}
