package catalog_test

import (
	"bytes"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

// Sizes of generated documents and batches. They are small, so that names, addresses and targets repeat.
const (
	serviceCount = 4
	vmCount      = 5
	maxTargetID  = 12
)

// harness drives a catalog, a second one that is at times restored from its own snapshot, a follower
// that lags behind, and nodes that poll any of the three.
type harness struct {
	cat, restored, follower *catalog.Catalog
	entries                 [][]byte
	followerIndex           int
	commands                []catalog.Command
	firstResults            map[string]catalog.Result
	nodes                   map[string]*fakeNode
	seenServices            map[model.ServiceID]model.Service
	seenTargets             map[model.TargetID]model.Target
	removedIDs              map[any]bool
}

// fakeNode is a node with the view that it has applied.
type fakeNode struct {
	role model.Role
	view *model.View
}

func newHarness() *harness {
	h := &harness{
		cat: catalog.New(), restored: catalog.New(), follower: catalog.New(), firstResults: map[string]catalog.Result{},
		nodes:        map[string]*fakeNode{"b": {role: model.RoleBalancer, view: model.NewView()}},
		seenServices: map[model.ServiceID]model.Service{}, seenTargets: map[model.TargetID]model.Target{}, removedIDs: map[any]bool{},
	}
	for v := range vmCount {
		h.nodes[vmName(v)] = &fakeNode{role: model.RoleAgent, view: model.NewView()}
	}
	return h
}

func vmName(v int) string { return fmt.Sprintf("vm%d", v) }

// genDocument generates documents that are mostly valid. Services share VMs and take over addresses.
func genDocument(t *rapid.T) []byte {
	var vms, services, leaving []string
	for v := range vmCount {
		if v > 0 && rapid.IntRange(0, 5).Draw(t, "absent") == 0 {
			continue
		}
		vms = append(vms, fmt.Sprintf(`{"name":"vm%d","zone":"z%d","workspace":"c","labels":{"g":"%d","all":"y"}}`, v, v%3, v%2))
		if rapid.IntRange(0, 5).Draw(t, "leaving") == 0 {
			leaving = append(leaving, fmt.Sprintf(`"vm%d"`, v))
		}
	}
	for s := range serviceCount {
		if rapid.IntRange(0, 3).Draw(t, "without") == 0 {
			continue
		}
		sel := rapid.SampledFrom([]string{`{"all":"y"}`, `{"g":"0"}`}).Draw(t, "select")
		services = append(services, fmt.Sprintf(
			`{"name":"s%d","workspace":"c","address":"10.0.0.%d:80","class":"stream","select":%s,"ramp":"%ds"}`,
			s, 1+rapid.IntRange(s, s+1).Draw(t, "address"), sel, rapid.IntRange(1, 2).Draw(t, "ramp")))
	}
	return []byte(fmt.Sprintf("{\"inventory\":{\"vms\":[%s]},\n\"services\":[%s],\n\"leaving\":[%s]}",
		strings.Join(vms, ",\n"), strings.Join(services, ",\n"), strings.Join(leaving, ",")))
}

func allAcknowledgements() []string {
	var acks []string
	for s := range serviceCount {
		acks = append(acks, fmt.Sprintf("empties:s%d", s), fmt.Sprintf("removes:s%d", s), fmt.Sprintf("readdresses:s%d", s))
		for other := range serviceCount {
			for address := range serviceCount + 1 {
				acks = append(acks, fmt.Sprintf("moves:10.0.0.%d:80:s%d:s%d", address+1, other, s))
			}
		}
	}
	return acks
}

func genRegistration(t *rapid.T) catalog.Registration {
	v := rapid.IntRange(0, vmCount-1).Draw(t, "vm")
	node := v
	if rapid.IntRange(0, 9).Draw(t, "other node") == 0 {
		node = rapid.IntRange(0, vmCount-1).Draw(t, "node")
	}
	return catalog.Registration{
		Key: catalog.Key{
			Node: vmName(node), VM: model.VM(vmName(v)), Service: fmt.Sprintf("s%d", rapid.IntRange(0, serviceCount).Draw(t, "service")),
		},
		Agent: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(v)}), 9000),
		Slots: rapid.IntRange(0, 3).Draw(t, "slots"), MaxConns: 10, Draining: rapid.IntRange(0, 7).Draw(t, "self draining") == 0,
	}
}

func genBatch(t *rapid.T) catalog.Batch {
	b := catalog.Batch{Registrations: rapid.SliceOfN(rapid.Custom(genRegistration), 0, 4).Draw(t, "registrations")}
	id := rapid.Custom(func(t *rapid.T) model.TargetID { return model.TargetID(rapid.IntRange(1, maxTargetID).Draw(t, "id")) })
	for _, target := range rapid.SliceOfN(id, 0, 2).Draw(t, "liveness") {
		b.Liveness = append(b.Liveness, catalog.LivenessChange{Target: target, Lost: rapid.Bool().Draw(t, "lost")})
	}
	for _, target := range rapid.SliceOfN(id, 0, 1).Draw(t, "ejections") {
		b.Ejections = append(b.Ejections, catalog.EjectionChange{Target: target, Ejected: rapid.Bool().Draw(t, "ejected")})
	}
	b.Removals = rapid.SliceOfN(id, 0, 2).Draw(t, "removals")
	return b
}

// run applies a command to the catalog and to the restored one.
func (h *harness) run(t *rapid.T, cmd catalog.Command) catalog.Result {
	data, err := catalog.Encode(&cmd)
	if err != nil {
		t.Fatal(err)
	}
	h.entries = append(h.entries, data)
	before := h.cat.View()
	r := h.cat.Apply(uint64(len(h.entries)), data)
	if other := h.restored.Apply(uint64(len(h.entries)), data); !reflect.DeepEqual(r, other) {
		t.Fatalf("the restored catalog returned %+v, the original one %+v", other, r)
	}
	h.checkStep(t, before, &cmd, r)
	return r
}

func (h *harness) edit(t *rapid.T, cmd catalog.Command) {
	cmd.ID = fmt.Sprintf("cmd-%d", len(h.firstResults))
	cmd.Base = h.cat.Revision()
	if rapid.IntRange(0, 4).Draw(t, "old base") == 0 && cmd.Base > 0 {
		cmd.Base--
	}
	if rapid.Bool().Draw(t, "acknowledged") {
		cmd.Acknowledged = allAcknowledgements()
	}
	revision := h.cat.Revision()
	r := h.run(t, cmd)
	h.firstResults[cmd.ID] = r
	h.commands = append(h.commands, cmd)
	accepted := r.Code == result.OK
	if accepted != (h.cat.Revision() == revision+1) || (!accepted && h.cat.Revision() != revision) {
		t.Fatalf("result %+v, but the revision went from %d to %d", r, revision, h.cat.Revision())
	}
	if accepted && cmd.Base != revision {
		t.Fatalf("an edit based on revision %d was accepted at revision %d", cmd.Base, revision)
	}
}

// checkStep checks invariants over the views before and after a command.
func (h *harness) checkStep(t *rapid.T, before *model.View, cmd *catalog.Command, r catalog.Result) {
	after := h.cat.View()
	if after.Generation < before.Generation || after.Revision < before.Revision {
		t.Fatalf("view went from generation %d to %d", before.Generation, after.Generation)
	}
	if after.Generation == before.Generation && after.Digest() != before.Digest() {
		t.Fatalf("the view changed within generation %d", after.Generation)
	}
	h.checkIDs(t, before, after)
	h.checkReferences(t, after)
	checkServiceGenerations(t, before, after)
	if cmd.Kind == catalog.KindBatch || r.Code != result.OK {
		return
	}
	if len(cmd.Acknowledged) == 0 {
		checkAcknowledgements(t, before, after)
	}
}

// checkIDs checks that no ID is used for two services or targets, or again after its removal.
func (h *harness) checkIDs(t *rapid.T, before, after *model.View) {
	for id, s := range after.Services {
		if old, ok := h.seenServices[id]; h.removedIDs[id] || (ok && old.Name != s.Name) {
			t.Fatalf("service ID %d is reused: %q, before %q", id, s.Name, old.Name)
		}
		h.seenServices[id] = s
	}
	for id, target := range after.Targets {
		if old, ok := h.seenTargets[id]; h.removedIDs[id] || (ok && (old.Name != target.Name || old.Service != target.Service)) {
			t.Fatalf("target ID %d is reused: %q, before %q", id, target.Name, old.Name)
		}
		h.seenTargets[id] = target
	}
	for id := range before.Services {
		if _, ok := after.Services[id]; !ok {
			h.removedIDs[id] = true
		}
	}
	for id, target := range before.Targets {
		if _, ok := after.Targets[id]; ok {
			continue
		}
		h.removedIDs[id] = true
		_, stays := after.Services[target.Service]
		if stays && (target.State == model.TargetActive || target.State == model.TargetEjected) {
			t.Fatalf("target %s was removed in state %s", target.Name, target.State)
		}
	}
}

// checkServiceGenerations checks that a service's generation advances exactly when the service or one of
// its targets changed. Agents rely on it to detect that they missed a change and to stop admitting.
func checkServiceGenerations(t *rapid.T, before, after *model.View) {
	for id, s := range after.Services {
		old, had := before.Services[id]
		changed := !had || !reflect.DeepEqual(before.TargetsOf(id), after.TargetsOf(id))
		old.Generation = s.Generation
		changed = changed || old != s
		if changed != (s.Generation == after.Generation && after.Generation != before.Generation) {
			t.Fatalf("service %s has generation %d in view %d, changed: %v", s.Name, s.Generation, after.Generation, changed)
		}
	}
}

func (h *harness) checkReferences(t *rapid.T, v *model.View) {
	addresses := map[netip.AddrPort]string{}
	names := map[string]bool{}
	for _, s := range v.Services {
		if other, taken := addresses[s.Address]; taken {
			t.Fatalf("services %s and %s share %v", s.Name, other, s.Address)
		}
		addresses[s.Address] = s.Name
	}
	for _, target := range v.Targets {
		if _, ok := v.Services[target.Service]; !ok {
			t.Fatalf("target %s has no service", target.Name)
		}
		if names[target.Name] {
			t.Fatalf("target %s is listed twice", target.Name)
		}
		names[target.Name] = true
	}
}

// checkAcknowledgements checks from the views that an edit without acknowledgements needed none.
func checkAcknowledgements(t *rapid.T, before, after *model.View) {
	for id, s := range before.Services {
		admittingBefore, admittingAfter, withdrawn, notDraining := 0, 0, 0, 0
		for _, old := range before.TargetsOf(id) {
			if old.State == model.TargetActive {
				admittingBefore++
			}
			if old.State == model.TargetActive || old.State == model.TargetEjected {
				notDraining++
				if now, ok := after.Targets[old.ID]; !ok || now.State == model.TargetDraining {
					withdrawn++
				}
			}
		}
		for _, now := range after.TargetsOf(id) {
			if now.State == model.TargetActive {
				admittingAfter++
			}
		}
		if admittingBefore > 0 && admittingAfter == 0 {
			t.Fatalf("an edit emptied %s without an acknowledgement", s.Name)
		}
		// config.Plan counts lost targets too, so this limit is checked only for services without any.
		if countLost(before, id) == 0 && withdrawn*100 > 30*notDraining {
			t.Fatalf("an edit took %d of %d targets from %s without an acknowledgement", withdrawn, notDraining, s.Name)
		}
		for other, now := range after.Services {
			if other != id && now.Address == s.Address {
				t.Fatalf("%v moved from %s to %s without an acknowledgement", s.Address, s.Name, now.Name)
			}
		}
		if now, ok := after.Services[id]; ok && now.Address != s.Address {
			t.Fatalf("%s moved to %v without an acknowledgement", s.Name, now.Address)
		}
	}
}

func countLost(v *model.View, id model.ServiceID) int {
	count := 0
	for _, target := range v.TargetsOf(id) {
		if target.State == model.TargetLost {
			count++
		}
	}
	return count
}

// poll brings a node up to date from one of the catalogs, as the session does.
func (h *harness) poll(t *rapid.T) {
	name := rapid.SampledFrom([]string{"b", "vm0", "vm1", "vm2", "vm3", "vm4"}).Draw(t, "node")
	from := rapid.SampledFrom([]*catalog.Catalog{h.cat, h.restored, h.follower}).Draw(t, "controller")
	n := h.nodes[name]
	u := from.Update(n.role, name, n.view.Generation, n.view.Digest())
	next := n.view
	switch {
	case u.View != nil:
		next = u.View.Clone()
	case u.Delta != nil:
		next = n.view.Clone()
		if !next.Apply(u.Delta) {
			t.Fatalf("%s at generation %d got a delta from %d to %d", name, n.view.Generation, u.Delta.From, u.Delta.To)
		}
		if next.Digest() != u.Delta.Digest {
			t.Fatalf("%s has another digest after a delta from %d to %d than expected", name, u.Delta.From, u.Delta.To)
		}
	}
	if next.Generation < n.view.Generation || next.Revision < n.view.Revision {
		t.Fatalf("%s went back from generation %d to %d", name, n.view.Generation, next.Generation)
	}
	if from.View().Generation >= n.view.Generation {
		if want := from.ViewFor(n.role, name); !reflect.DeepEqual(want, next) {
			t.Fatalf("%s has %+v after its poll, want %+v", name, next, want)
		}
	}
	n.view = next
}

// Runs random commands and polls. Guards against reused IDs, commands that run twice, nodes that go back to
// an older generation, deltas that do not lead to the view, state that differs after a restore, and edits
// that need an acknowledgement and run without one.
func TestCatalogStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness()
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(t *rapid.T) {
				h.edit(t, catalog.Command{Kind: catalog.KindApply, Document: catalog.Compress(genDocument(t))})
			},
			"rollback": func(t *rapid.T) {
				h.edit(t, catalog.Command{Kind: catalog.KindRollback, Revision: model.Revision(rapid.IntRange(0, 5).Draw(t, "to"))})
			},
			"drain": func(t *rapid.T) {
				kind := rapid.SampledFrom([]catalog.Kind{catalog.KindDrain, catalog.KindUndrain}).Draw(t, "kind")
				h.edit(t, catalog.Command{Kind: kind, Names: []string{vmName(rapid.IntRange(0, vmCount-1).Draw(t, "vm"))}})
			},
			"batch":  func(t *rapid.T) { h.run(t, catalog.Command{Kind: catalog.KindBatch, Batch: genBatch(t)}) },
			"batch2": func(t *rapid.T) { h.run(t, catalog.Command{Kind: catalog.KindBatch, Batch: genBatch(t)}) },
			"resend": func(t *rapid.T) {
				if len(h.commands) == 0 {
					t.Skip("no command")
				}
				cmd := rapid.SampledFrom(h.commands).Draw(t, "command")
				if r := h.run(t, cmd); !reflect.DeepEqual(r, h.firstResults[cmd.ID]) {
					t.Fatalf("command %s got %+v when it was resent, first %+v", cmd.ID, r, h.firstResults[cmd.ID])
				}
			},
			"restore": func(t *rapid.T) { h.restored = restoreFromSnapshot(t, h.restored) },
			"follow": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "entries") {
					if h.followerIndex < len(h.entries) {
						h.followerIndex++
						h.follower.Apply(uint64(h.followerIndex), h.entries[h.followerIndex-1])
					}
				}
			},
			"poll": h.poll,
			"":     h.checkRestored,
		})
	})
}

func restoreFromSnapshot(t *rapid.T, c *catalog.Catalog) *catalog.Catalog {
	data, err := c.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	next := catalog.New()
	if err := next.Restore(data); err != nil {
		t.Fatal(err)
	}
	return next
}

func (h *harness) checkRestored(t *rapid.T) {
	a, err := h.cat.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	b, err := h.restored.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(a, b) {
		t.Fatal("the restored catalog has another snapshot after the same commands")
	}
}
