package controller

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/config"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/node"
	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/rpc"
	"github.com/greengagelock/greengagelock/internal/testkit"
)

func (h *harness) client(role model.Role, name, address string) *rpc.Client {
	h.t.Helper()
	credentials := testkit.LoadCredentials(h.t, h.files(role, name))
	client := rpc.NewClient(rpc.ClientConfig{Address: address, Role: model.RoleController, Credentials: credentials, CallTimeout: testkit.WaitTimeout})
	h.t.Cleanup(client.Close)
	return client
}

// Guards against a peer that acts in the name of another, or calls methods that its role may not call.
func TestPeersCannotImpersonateOthers(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	c := h.cluster(3)
	address := c.members["c1"]
	poll := &node.PollRequest{Announcement: model.Announcement{Node: "vm-2", Role: model.RoleAgent}}
	if _, err := rpc.Call[node.PollReply](t.Context(), h.client(model.RoleAgent, "vm-1", address), "Node.Poll", poll); result.CodeOf(err) != result.PeerUnknown {
		t.Errorf("a poll in the name of another node returned %v, want code %d", err, result.PeerUnknown)
	}
	edit := &operator.Edit{Kind: catalog.KindApply, CommandID: "x", Document: document(1, 1, "")}
	if _, err := rpc.Call[operator.EditReply](t.Context(), h.client(model.RoleBalancer, "b1", address), "Operator.Edit", edit); err == nil {
		t.Error("a balancer could edit the configuration")
	}
	if _, err := rpc.Call[StepReply](t.Context(), h.client(model.RoleOperator, "ana", address), "Peer.Step", &StepRequest{}); err == nil {
		t.Error("an operator could send messages of the replicated log")
	}
	ctl := h.operator(c.addresses()...)
	forged := operator.Edit{Origin: operator.Origin{Author: "someone", Forwarded: true}, File: "doc", Document: document(1, 1, "")}
	reply, err := ctl.Apply(t.Context(), forged)
	testkit.Check(t, err)
	testkit.Check(t, reply.Result.Err())
	history, err := ctl.History(t.Context())
	testkit.Check(t, err)
	if len(history) != 1 || history[0].Author != "ana" {
		t.Errorf("history %+v, want one revision by ana", history)
	}
}

// Guards against a controller that serves its state as current although it has no contact with a quorum,
// and against a node that drops its view in that case.
func TestControllerWithoutQuorumRefusesPolls(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	c := h.cluster(3)
	balancer := &fakeNode{}
	session, _ := h.node(model.RoleBalancer, "b1", balancer, c.addresses()...)
	apply(t, h.operator(c.addresses()...), 0, document(1, 1, ""))
	testkit.Eventually(t, "revision 1", func() bool { return session.Revision() == 1 })
	c.stop("c2")
	c.stop("c3")
	testkit.Eventually(t, "a control age above the limit", func() bool { return session.ControlAge() > MaxQuorumAge })
	var status *operator.StatusReply
	ctl := h.operator(c.members["c1"])
	testkit.Eventually(t, "status without a quorum", func() bool {
		var err error
		status, err = ctl.Status(t.Context())
		return err == nil && !status.Current && status.Age > MaxQuorumAge
	})
	if status.Controller != "c1" || status.Revision != 1 || session.Revision() != 1 {
		t.Fatalf("status %+v and revision %d at the node, want revision 1 from c1", status, session.Revision())
	}
	for _, applied := range []model.Generation{0, session.Generation()} {
		_, err := rpc.Call[node.PollReply](t.Context(), h.client(model.RoleAgent, "vm-1", c.members["c1"]), "Node.Poll",
			&node.PollRequest{Announcement: model.Announcement{Node: "vm-1", Role: model.RoleAgent, Applied: applied}})
		if result.CodeOf(err) != result.NoQuorum {
			t.Fatalf("a poll at generation %d returned %v, want code %d", applied, err, result.NoQuorum)
		}
	}
}

// Guards against established flows that are cut when their service is removed.
func TestRemovedServiceStaysUntilItsFlowsEnd(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	c := h.cluster(3)
	ctl := h.operator(c.addresses()...)
	balancer, agent := &fakeNode{}, newFakeAgent("vm-0-0", 9000, "s0")
	agent.Announced.Targets[0].Evidence.OpenFlows = 3
	h.node(model.RoleBalancer, "b1", balancer, c.addresses()...)
	session, _ := h.node(model.RoleAgent, "vm-0-0", agent, c.addresses()...)
	apply(t, ctl, 0, document(2, 1, ""))
	testkit.Eventually(t, "the target", func() bool { return len(balancer.lastView().Targets) == 1 })
	explained, err := ctl.Explain(t.Context(), operator.ExplainRequest{
		Caller: netip.MustParseAddrPort("10.9.0.1:4000"), Service: netip.MustParseAddrPort("10.10.0.1:7001"),
	})
	testkit.Check(t, err)
	if !explained.Found || len(explained.New) != 1 || explained.New[0].Name != "vm-0-0/s0" {
		t.Fatalf("explained %+v, want the target vm-0-0/s0", explained)
	}
	without := operator.Edit{Base: 1, File: "doc", Document: documentFrom(1, 2, 1)}
	var plan *operator.EditReply
	testkit.Eventually(t, "a plan with open flows", func() bool {
		plan, err = ctl.Plan(t.Context(), &operator.Edit{Kind: catalog.KindApply, Base: 1, File: "doc", Document: without.Document})
		testkit.Check(t, err)
		return slices.ContainsFunc(plan.Effects, func(e config.Effect) bool { return e.OpenFlows == 3 })
	})
	if len(plan.Result.Missing) != 1 || plan.Result.Missing[0] != "empties:s0" {
		t.Fatalf("plan %+v, want the acknowledgement empties:s0", plan)
	}
	without.Acknowledged = plan.Result.Missing
	reply, err := ctl.Apply(t.Context(), without)
	testkit.Check(t, err)
	testkit.Check(t, reply.Result.Err())
	testkit.Eventually(t, "draining state of the target", func() bool {
		for _, target := range balancer.lastView().Targets {
			return target.State == model.TargetDraining
		}
		return false
	})
	time.Sleep(3 * decideInterval)
	if v := balancer.lastView(); len(v.Services) != 2 || len(v.Targets) != 1 {
		t.Fatalf("%d services and %d targets are left while flows are open, want 2 and 1", len(v.Services), len(v.Targets))
	}
	agent.Lock()
	agent.Announced.Targets = []model.TargetAnnouncement{agent.Announced.Targets[0]}
	agent.Announced.Targets[0].Evidence.OpenFlows = 0
	agent.Unlock()
	session.AnnounceNow()
	testkit.Eventually(t, "removal of the service", func() bool { v := balancer.lastView(); return len(v.Services) == 1 && len(v.Targets) == 0 })
	testkit.Eventually(t, "the announcement in quarantine", func() bool {
		targets, err := ctl.Targets(t.Context())
		return err == nil && len(targets.Quarantine) == 1
	})
}
