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

// world is a leader's policy with the catalog that it decides for.
type world struct {
	now      time.Time
	index    uint64
	cat      *catalog.Catalog
	table    *membership.Table
	started  time.Time // of the leader
	vms      int
	silent   map[string]time.Time // nodes that do not poll, with the time of the last poll
	polled   map[string]time.Time // last poll of every node
	evidence map[string]model.Evidence
	lostAt   map[model.TargetID]time.Time
}

func newWorld(t fataler, vms int) *world {
	w := &world{
		now: time.Unix(0, 0), cat: catalog.New(), vms: vms, silent: map[string]time.Time{}, polled: map[string]time.Time{},
		evidence: map[string]model.Evidence{}, lostAt: map[model.TargetID]time.Time{},
	}
	w.started = w.now
	w.table = membership.New(w.now)
	var list []string
	for v := range vms {
		list = append(list, fmt.Sprintf(`{"name":"%s","zone":"z","workspace":"c","labels":{"a":"b"}}`, node(v)))
		w.evidence[node(v)] = model.Evidence{EndpointHealthy: true}
	}
	document := fmt.Sprintf(`{"inventory":{"vms":[%s]},"services":[
		{"name":"s","workspace":"c","address":"10.0.0.1:80","class":"stream","select":{"a":"b"}}]}`, strings.Join(list, ","))
	w.edit(t, catalog.Command{Kind: catalog.KindApply, Document: catalog.Compress([]byte(document))})
	w.tick(t, 0)
	return w
}

type fataler interface {
	Fatalf(format string, args ...any)
}

func node(v int) string { return fmt.Sprintf("vm%d", v) }

func (w *world) edit(t fataler, cmd catalog.Command) {
	w.index++
	cmd.ID, cmd.Base = fmt.Sprint("cmd-", w.index), w.cat.Revision()
	cmd.Acknowledged = []string{"empties:s", "removes:s"}
	if r := w.cat.Run(w.index, &cmd); r.Code != result.OK {
		t.Fatalf("edit was refused: %+v", r)
	}
}

// tick lets time pass, the nodes that are not silent poll, and the leader decide.
func (w *world) tick(t fataler, d time.Duration) catalog.Batch {
	w.now = w.now.Add(d)
	for v := range w.vms {
		name := node(v)
		if _, silent := w.silent[name]; silent {
			continue
		}
		w.polled[name] = w.now
		a := model.Announcement{
			Node: name, Role: model.RoleAgent, VM: model.VM(name), Applied: w.cat.View().Generation, Revision: w.cat.Revision(),
			Targets: []model.TargetAnnouncement{{
				Service: "s", Agent: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(v)}), 9000),
				Slots: 1, MaxConns: 1, Evidence: w.evidence[name],
			}},
		}
		w.table.Observe(w.now, []membership.Report{{Node: name, Applied: a.Applied, Revision: a.Revision, Announcement: &a}})
	}
	batch := w.table.Decide(w.now, w.cat.Targets(), w.cat.Quarantine())
	w.check(t, &batch)
	w.index++
	w.cat.Run(w.index, &catalog.Command{Kind: catalog.KindBatch, Batch: batch})
	for _, l := range batch.Liveness {
		if l.Lost {
			w.lostAt[l.Target] = w.now
		}
	}
	return batch
}

// check compares a batch with the bounds of the policy, from the states before it.
func (w *world) check(t fataler, b *catalog.Batch) {
	targets := map[model.TargetID]catalog.TargetStatus{}
	members := 0
	for _, target := range w.cat.Targets() {
		targets[target.Model.ID] = target
		if target.DrainingSince == 0 {
			members++
		}
	}
	newlyLost, newlyEjected := 0, 0
	for _, l := range b.Liveness {
		target := targets[l.Target]
		if target.Lost = l.Lost; l.Lost {
			w.checkLost(t, &target)
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
			w.checkEjected(t, &target)
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
		t.Fatalf("a batch takes the last target")
	}
	for _, id := range b.Removals {
		w.checkRemoved(t, targets[id])
	}
}

func (w *world) silence(target *catalog.TargetStatus) (time.Duration, bool) {
	since, silent := w.silent[target.Registration.Node]
	return w.now.Sub(since), silent
}

// countStates counts the targets that are not draining by what a batch may do to them.
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

func (w *world) checkLost(t fataler, target *catalog.TargetStatus) {
	quiet, silent := w.silence(target)
	if !silent || quiet < membership.Lease || w.now.Sub(w.started) < membership.Lease {
		t.Fatalf("%s is marked lost after %v of silence, %v after the leader started", target.Model.Name, quiet, w.now.Sub(w.started))
	}
}

func (w *world) checkEjected(t fataler, target *catalog.TargetStatus) {
	e := w.evidence[target.Registration.Node]
	if e.HandshakeFailures < membership.FailuresToEject && e.EndpointHealthy {
		t.Fatalf("%s is ejected without evidence: %+v", target.Model.Name, e)
	}
}

func (w *world) checkRemoved(t fataler, target catalog.TargetStatus) {
	flows := w.evidence[target.Registration.Node].OpenFlows
	drained := target.DrainingSince != 0 && flows == 0
	expired := target.Lost && w.now.Sub(w.lostAt[target.Model.ID]) >= membership.RemoveAfter
	if !drained && !expired {
		t.Fatalf("%s is removed with %d flows, lost: %v", target.Model.Name, flows, target.Lost)
	}
}

// Guards against a leader that takes more than the bounds allow, expires leases too early, or
// removes a target that still has flows.
func TestPolicyKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(1, maxVMs).Draw(t, "vms"))
		anyNode := func(t *rapid.T) string { return node(rapid.IntRange(0, w.vms-1).Draw(t, "vm")) }
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) { w.tick(t, time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms"))*time.Millisecond) },
			"long": func(t *rapid.T) { w.tick(t, time.Duration(rapid.IntRange(0, 11).Draw(t, "minutes"))*time.Minute) },
			"silent": func(t *rapid.T) {
				if name := anyNode(t); w.silent[name].IsZero() {
					// A node that was silent until now has not polled in between.
					w.silent[name] = w.polled[name]
				}
			},
			"back": func(t *rapid.T) { delete(w.silent, anyNode(t)) },
			"evidence": func(t *rapid.T) {
				name := anyNode(t)
				if _, silent := w.silent[name]; !silent {
					w.evidence[name] = model.Evidence{
						OpenFlows: rapid.IntRange(0, 1).Draw(t, "flows"), HandshakeFailures: rapid.IntRange(0, 5).Draw(t, "failures"),
						EndpointHealthy: rapid.Bool().Draw(t, "healthy"),
					}
					w.tick(t, 0)
				}
			},
			"new leader": func(t *rapid.T) { w.table, w.started = membership.New(w.now), w.now },
			"drain": func(t *rapid.T) {
				kind := rapid.SampledFrom([]catalog.Kind{catalog.KindDrain, catalog.KindUndrain}).Draw(t, "kind")
				w.edit(t, catalog.Command{Kind: kind, Names: []string{anyNode(t)}})
			},
		})
		w.silent = map[string]time.Time{}
		for range 4 {
			w.tick(t, time.Second)
		}
		checkRecovered(t, w)
	})
}

// checkRecovered expects every VM to have its target again once all nodes poll.
func checkRecovered(t *rapid.T, w *world) {
	names := map[model.VM]bool{}
	for _, target := range w.cat.Targets() {
		if target.Lost {
			t.Fatalf("%s stays lost although its node polls", target.Model.Name)
		}
		names[target.Model.VM] = true
	}
	if len(names) != w.vms {
		t.Fatalf("%d of %d VMs have a target although all nodes poll", len(names), w.vms)
	}
}

// join lets enough time pass for new targets to take flows.
func (w *world) join(t fataler) {
	for passed := time.Duration(0); passed <= membership.JoinDelay; passed += time.Second {
		w.tick(t, time.Second)
	}
}

// Guards against a flow at a target that some nodes do not know yet: agents that lack the target
// reset the flow, because no candidate owns it.
func TestNewTargetTakesNoFlowsBeforeEveryNodeKnowsIt(t *testing.T) {
	w := newWorld(t, 2)
	for passed := time.Duration(0); passed < membership.JoinDelay; passed += time.Second {
		for _, target := range w.cat.Targets() {
			if target.Model.State != model.TargetJoining {
				t.Fatalf("%s is %s %v after it was registered", target.Model.Name, target.Model.State, passed)
			}
		}
		w.tick(t, time.Second)
	}
	w.tick(t, time.Second)
	for _, target := range w.cat.Targets() {
		if target.Model.State != model.TargetActive {
			t.Fatalf("%s is still %s", target.Model.Name, target.Model.State)
		}
	}
}

// Guards against an ejection that never happens or never ends.
func TestFailingTargetIsEjectedAndTriedAgain(t *testing.T) {
	w := newWorld(t, 4)
	w.join(t)
	w.evidence[node(0)] = model.Evidence{HandshakeFailures: membership.FailuresToEject, EndpointHealthy: true}
	if b := w.tick(t, time.Second); len(b.Ejections) != 1 || !b.Ejections[0].Ejected {
		t.Fatalf("batch %+v, want one ejection", b)
	}
	released := time.Duration(0)
	for ; released < 2*membership.MinEjection; released += time.Second {
		if b := w.tick(t, time.Second); len(b.Ejections) == 1 && !b.Ejections[0].Ejected {
			break
		}
	}
	if released >= 2*membership.MinEjection {
		t.Fatalf("the target is still ejected after %v", released)
	}
}

// Guards against a wait for a revision that ends before a silent node has it.
func TestLaggingNodesAreNamed(t *testing.T) {
	w := newWorld(t, 3)
	w.tick(t, time.Second)
	w.silent[node(1)] = w.now
	w.edit(t, catalog.Command{Kind: catalog.KindDrain, Names: []string{node(2)}})
	for range 10 {
		w.tick(t, time.Second)
	}
	lagging, nodes := w.table.Lagging(w.now, w.cat.Revision())
	if nodes != 3 || len(lagging) != 1 || lagging[0].Node != node(1) {
		t.Fatalf("%d nodes, lagging %+v, want %s", nodes, lagging, node(1))
	}
}
