package membership_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/membership"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

const maxVMs = 6

// harness is a leader's table with the catalog that it decides for.
type harness struct {
	now         time.Time
	index       uint64
	cat         *catalog.Catalog
	table       *membership.SessionTable
	leaderStart time.Time // start of the leader's term
	vms         int
	silentSince map[string]time.Time // nodes that do not poll, with the time of their last poll
	lastPoll    map[string]time.Time // last poll of every node
	evidence    map[string]model.Evidence
	lostAt      map[model.TargetID]time.Time
}

func newHarness(t fataler, vms int) *harness {
	h := &harness{
		now: time.Unix(0, 0), cat: catalog.New(), vms: vms, silentSince: map[string]time.Time{}, lastPoll: map[string]time.Time{},
		evidence: map[string]model.Evidence{}, lostAt: map[model.TargetID]time.Time{},
	}
	h.leaderStart = h.now
	h.table = membership.New(h.now)
	var list []string
	for v := range vms {
		list = append(list, fmt.Sprintf(`{"name":"%s","zone":"z","workspace":"c","labels":{"a":"b"}}`, node(v)))
		h.evidence[node(v)] = model.Evidence{EndpointHealthy: true}
	}
	document := fmt.Sprintf(`{"inventory":{"vms":[%s]},"services":[
		{"name":"s","workspace":"c","address":"10.0.0.1:80","class":"stream","select":{"a":"b"}}]}`, strings.Join(list, ","))
	h.edit(t, catalog.Command{Kind: catalog.KindApply, Document: catalog.Compress([]byte(document))})
	h.tick(t, 0)
	return h
}

type fataler interface {
	Fatalf(format string, args ...any)
}

func node(v int) string { return fmt.Sprintf("vm%d", v) }

func (h *harness) edit(t fataler, cmd catalog.Command) {
	h.index++
	cmd.ID, cmd.Base = fmt.Sprint("cmd-", h.index), h.cat.Revision()
	cmd.Acknowledged = []string{"empties:s", "removes:s"}
	if r := h.cat.Run(h.index, &cmd); r.Code != result.OK {
		t.Fatalf("edit was refused: %+v", r)
	}
}

// tick advances the time, lets all nodes poll that are not silent, and applies the leader's decisions.
func (h *harness) tick(t fataler, d time.Duration) catalog.Batch {
	h.now = h.now.Add(d)
	for v := range h.vms {
		name := node(v)
		if _, silent := h.silentSince[name]; silent {
			continue
		}
		h.lastPoll[name] = h.now
		a := model.Announcement{
			Node: name, Role: model.RoleAgent, VM: model.VM(name), Applied: h.cat.View().Generation, Revision: h.cat.Revision(),
			Targets: []model.TargetAnnouncement{{
				Service: "s", Agent: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(v)}), 9000),
				Slots: 1, MaxConns: 1, Evidence: h.evidence[name],
			}},
		}
		h.table.Observe(h.now, []membership.Report{{Node: name, Applied: a.Applied, Revision: a.Revision, Announcement: &a}})
	}
	batch := h.table.Decide(h.now, h.cat.Targets(), h.cat.Quarantine())
	h.checkBatch(t, &batch)
	h.index++
	h.cat.Run(h.index, &catalog.Command{Kind: catalog.KindBatch, Batch: batch})
	for _, l := range batch.Liveness {
		if l.Lost {
			h.lostAt[l.Target] = h.now
		}
	}
	return batch
}

// checkBatch checks a batch against the limits of the policy, given the states before it.
func (h *harness) checkBatch(t fataler, b *catalog.Batch) {
	targets := map[model.TargetID]catalog.TargetStatus{}
	members := 0
	for _, target := range h.cat.Targets() {
		targets[target.Model.ID] = target
		if target.DrainingSince == 0 {
			members++
		}
	}
	newlyLost, newlyEjected := 0, 0
	for _, l := range b.Liveness {
		target := targets[l.Target]
		if target.Lost = l.Lost; l.Lost {
			h.checkLost(t, &target)
			if target.DrainingSince == 0 {
				newlyLost++
			}
		}
		targets[l.Target] = target
	}
	for _, e := range b.Ejections {
		target := targets[e.Target]
		if target.Ejected = e.Ejected; e.Ejected {
			newlyEjected++
			h.checkEjected(t, &target)
		}
		targets[e.Target] = target
	}
	lost, ejected, admitting := countStates(targets)
	if newlyLost > 0 && lost*2 > members {
		t.Fatalf("%d of %d targets are lost after a batch", lost, members)
	}
	if newlyEjected > 0 && ejected*10 > members*3 {
		t.Fatalf("%d of %d targets are ejected after a batch", ejected, members)
	}
	if newlyLost+newlyEjected > 0 && admitting == 0 {
		t.Fatalf("a batch leaves no target that admits flows")
	}
	for _, id := range b.Removals {
		h.checkRemoved(t, targets[id])
	}
}

func (h *harness) silentFor(target *catalog.TargetStatus) (time.Duration, bool) {
	since, silent := h.silentSince[target.Registration.Node]
	return h.now.Sub(since), silent
}

// countStates counts the lost, ejected and admitting ones among the targets that are not draining.
func countStates(targets map[model.TargetID]catalog.TargetStatus) (lost, ejected, admitting int) {
	for _, target := range targets {
		if target.DrainingSince != 0 {
			continue
		}
		if target.Lost {
			lost++
		}
		if target.Ejected {
			ejected++
		}
		if !target.Lost && !target.Ejected && !target.Joining {
			admitting++
		}
	}
	return lost, ejected, admitting
}

func (h *harness) checkLost(t fataler, target *catalog.TargetStatus) {
	quiet, silent := h.silentFor(target)
	if !silent || quiet < membership.Lease || h.now.Sub(h.leaderStart) < membership.Lease {
		t.Fatalf("%s is marked lost after %v of silence, %v after the leader started", target.Model.Name, quiet, h.now.Sub(h.leaderStart))
	}
}

func (h *harness) checkEjected(t fataler, target *catalog.TargetStatus) {
	e := h.evidence[target.Registration.Node]
	if e.HandshakeFailures < membership.FailuresToEject && e.EndpointHealthy {
		t.Fatalf("%s is ejected without evidence: %+v", target.Model.Name, e)
	}
}

func (h *harness) checkRemoved(t fataler, target catalog.TargetStatus) {
	flows := h.evidence[target.Registration.Node].OpenFlows
	drained := target.DrainingSince != 0 && flows == 0
	expired := target.Lost && h.now.Sub(h.lostAt[target.Model.ID]) >= membership.RemoveLostAfter
	if !drained && !expired {
		t.Fatalf("%s is removed with %d flows, lost: %v", target.Model.Name, flows, target.Lost)
	}
}

// Guards against a leader that marks as lost or ejects more targets than the limits allow, expires leases too
// early, or removes a target that still has flows.
func TestDecisionsStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, rapid.IntRange(1, maxVMs).Draw(t, "vms"))
		anyNode := func(t *rapid.T) string { return node(rapid.IntRange(0, h.vms-1).Draw(t, "vm")) }
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) { h.tick(t, time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms"))*time.Millisecond) },
			"long": func(t *rapid.T) { h.tick(t, time.Duration(rapid.IntRange(0, 11).Draw(t, "minutes"))*time.Minute) },
			"silent": func(t *rapid.T) {
				if name := anyNode(t); h.silentSince[name].IsZero() {
					// The node may have been silent before without a poll in between.
					h.silentSince[name] = h.lastPoll[name]
				}
			},
			"back": func(t *rapid.T) { delete(h.silentSince, anyNode(t)) },
			"evidence": func(t *rapid.T) {
				name := anyNode(t)
				if _, silent := h.silentSince[name]; !silent {
					h.evidence[name] = model.Evidence{
						OpenFlows: rapid.IntRange(0, 1).Draw(t, "flows"), HandshakeFailures: rapid.IntRange(0, 5).Draw(t, "failures"),
						EndpointHealthy: rapid.Bool().Draw(t, "healthy"),
					}
					h.tick(t, 0)
				}
			},
			"new leader": func(t *rapid.T) { h.table, h.leaderStart = membership.New(h.now), h.now },
			"drain": func(t *rapid.T) {
				kind := rapid.SampledFrom([]catalog.Kind{catalog.KindDrain, catalog.KindUndrain}).Draw(t, "kind")
				h.edit(t, catalog.Command{Kind: kind, Names: []string{anyNode(t)}})
			},
		})
		h.silentSince = map[string]time.Time{}
		for range 4 {
			h.tick(t, time.Second)
		}
		checkRecovered(t, h)
	})
}

// checkRecovered checks that every VM has a target that is not lost once all nodes poll again.
func checkRecovered(t *rapid.T, h *harness) {
	names := map[model.VM]bool{}
	for _, target := range h.cat.Targets() {
		if target.Lost {
			t.Fatalf("%s stays lost although its node polls", target.Model.Name)
		}
		names[target.Model.VM] = true
	}
	if len(names) != h.vms {
		t.Fatalf("%d of %d VMs have a target although all nodes poll", len(names), h.vms)
	}
}

// join advances the time by JoinDelay, so that new targets become active.
func (h *harness) join(t fataler) {
	for passed := time.Duration(0); passed <= membership.JoinDelay; passed += time.Second {
		h.tick(t, time.Second)
	}
}

// Guards against a flow at a target that some nodes do not have in their view yet: other agents reset the flow,
// because none of the candidates that they know owns it.
func TestNewTargetTakesNoFlowsBeforeEveryNodeKnowsIt(t *testing.T) {
	h := newHarness(t, 2)
	for passed := time.Duration(0); passed < membership.JoinDelay; passed += time.Second {
		for _, target := range h.cat.Targets() {
			if target.Model.State != model.TargetJoining {
				t.Fatalf("%s is %s %v after it was registered", target.Model.Name, target.Model.State, passed)
			}
		}
		h.tick(t, time.Second)
	}
	h.tick(t, time.Second)
	for _, target := range h.cat.Targets() {
		if target.Model.State != model.TargetActive {
			t.Fatalf("%s is still %s", target.Model.Name, target.Model.State)
		}
	}
}

// Guards against a failing target that is never ejected, or never readmitted.
func TestFailingTargetIsEjectedAndTriedAgain(t *testing.T) {
	h := newHarness(t, 4)
	h.join(t)
	h.evidence[node(0)] = model.Evidence{HandshakeFailures: membership.FailuresToEject, EndpointHealthy: true}
	if b := h.tick(t, time.Second); len(b.Ejections) != 1 || !b.Ejections[0].Ejected {
		t.Fatalf("batch %+v, want one ejection", b)
	}
	released := time.Duration(0)
	for ; released < 2*membership.MinEjection; released += time.Second {
		if b := h.tick(t, time.Second); len(b.Ejections) == 1 && !b.Ejections[0].Ejected {
			break
		}
	}
	if released >= 2*membership.MinEjection {
		t.Fatalf("the target is still ejected after %v", released)
	}
}

// Guards against a wait for a revision that ends before a node without a session has applied it.
func TestLaggingNodesAreNamed(t *testing.T) {
	h := newHarness(t, 3)
	h.tick(t, time.Second)
	h.silentSince[node(1)] = h.now
	h.edit(t, catalog.Command{Kind: catalog.KindDrain, Names: []string{node(2)}})
	for range 10 {
		h.tick(t, time.Second)
	}
	lagging, nodes := h.table.Lagging(h.now, h.cat.Revision())
	if nodes != 3 || len(lagging) != 1 || lagging[0].Node != node(1) {
		t.Fatalf("%d nodes, lagging %+v, want %s", nodes, lagging, node(1))
	}
}
