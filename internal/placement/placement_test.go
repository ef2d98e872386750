package placement_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/placement"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

const serviceID model.ServiceID = 7

var chainKinds = []placement.Chain{placement.Admitting, placement.Owners}

// view returns a view with one service at a generation.
func view(generation model.Generation, targets ...model.Target) *model.View {
	v := model.NewView()
	v.Generation = generation
	v.Services[serviceID] = model.Service{
		ID: serviceID, Generation: generation, Address: netip.MustParseAddrPort("10.9.0.1:443"),
	}
	for _, t := range targets {
		v.Targets[t.ID] = t
	}
	return v
}

func build(targets ...model.Target) *placement.Service {
	table, _ := placement.Build(nil, view(1, targets...))
	return table.Service(serviceID)
}

func target(id model.TargetID, state model.TargetState) model.Target {
	agent := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(id >> 8), byte(id)}), 6081)
	return model.Target{ID: id, Service: serviceID, Agent: agent, Slots: 2, State: state}
}

// targets draws up to limit targets with unique IDs.
func targets(t *rapid.T, limit int) []model.Target {
	ids := rapid.SliceOfNDistinct(rapid.Uint32Range(1, 1<<15), 1, limit, rapid.ID[uint32]).Draw(t, "ids")
	members := make([]model.Target, 0, len(ids))
	for _, id := range ids {
		state := model.TargetState(rapid.IntRange(0, 4).Draw(t, "state"))
		members = append(members, target(model.TargetID(id), state))
	}
	return members
}

func bucket(t *rapid.T) placement.Bucket {
	return placement.Bucket(rapid.IntRange(0, placement.BucketCount-1).Draw(t, "bucket"))
}

func idsOf(chain []model.Target) []model.TargetID {
	ids := make([]model.TargetID, 0, len(chain))
	for _, member := range chain {
		ids = append(ids, member.ID)
	}
	return ids
}

// Guards against a join or departure that changes the order of the other targets. Packets of
// established flows would then try targets in another order than their SYN did.
func TestJoinAndLeaveKeepTheOrderOfOtherTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := targets(t, model.MaxTargetsPerService)
		changed := rapid.IntRange(0, len(members)-1).Draw(t, "changed")
		without := slices.Delete(slices.Clone(members), changed, changed+1)
		b := bucket(t)
		idsWith := idsOf(build(members...).FullChain(placement.Owners, b))
		idsWithout := idsOf(build(without...).FullChain(placement.Owners, b))
		idsWith = slices.DeleteFunc(idsWith, func(id model.TargetID) bool { return id == members[changed].ID })
		if !slices.Equal(idsWith, idsWithout) {
			t.Fatalf("with the target %v, without it %v", idsWith, idsWithout)
		}
	})
}

// Guards against four faults: an established flow whose owner is missing from the chain, a lost target
// that comes before live ones and delays their packets, a SYN offered to a target that does not admit
// while another one does, and a change of state that reorders the other targets.
func TestChainsAreTheRankingFilteredByState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := targets(t, model.MaxTargetsPerService)
		states := map[model.TargetID]model.TargetState{}
		active := slices.Clone(members)
		for i := range active {
			states[active[i].ID] = active[i].State
			active[i].State = model.TargetActive
		}
		b := bucket(t)
		ranking := idsOf(build(active...).FullChain(placement.Owners, b))
		filter := func(wanted ...model.TargetState) []model.TargetID {
			return slices.DeleteFunc(slices.Clone(ranking), func(id model.TargetID) bool {
				return !slices.Contains(wanted, states[id])
			})
		}
		alive := filter(model.TargetActive, model.TargetDraining, model.TargetEjected, model.TargetJoining)
		admitting := filter(model.TargetActive)
		if len(admitting) == 0 {
			admitting = alive
		}
		want := [][]model.TargetID{admitting, append(alive, filter(model.TargetLost)...)}
		for i, kind := range chainKinds {
			if got := idsOf(build(members...).FullChain(kind, b)); !slices.Equal(got, want[i]) {
				t.Fatalf("chain %d holds %v, want %v of %v", kind, got, want[i], ranking)
			}
		}
		if len(ranking) != len(members) {
			t.Fatalf("ranking holds %d of %d targets", len(ranking), len(members))
		}
	})
}

// Guards against chains that depend on the iteration order of the targets in a view, and against first
// positions and extensions that differ from the full chain.
func TestStoredPositionsMatchTheFullChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := targets(t, model.MaxTargetsPerService)
		shuffled := rapid.Permutation(members).Draw(t, "shuffled")
		one, other := build(members...), build(shuffled...)
		b := bucket(t)
		for _, kind := range chainKinds {
			full := one.FullChain(kind, b)
			var stored [encap.MaxCandidates]encap.EncodedCandidate
			var extended [encap.MaxCandidates]encap.Candidate
			for k := range encap.MaxExtensions + 1 {
				want := full[min(len(full), 8*k):min(len(full), 8*k+8)]
				n := other.Extension(kind, b, k, &extended)
				if n != len(want) {
					t.Fatalf("extension %d has %d positions, want %d", k, n, len(want))
				}
				for i := range want {
					if extended[i] != encap.CandidateOf(&want[i]) {
						t.Fatalf("extension %d differs at %d", k, i)
					}
				}
			}
			n := other.Candidates(kind, b, &stored)
			if n != min(len(full), encap.MaxCandidates) {
				t.Fatalf("%d positions are stored of a chain of %d", n, len(full))
			}
			for i := range n {
				if stored[i] != encap.CandidateOf(&full[i]).Encode() {
					t.Fatalf("stored position %d differs", i)
				}
			}
		}
	})
}

// Guards against an incremental build whose result differs from that of a full build.
func TestIncrementalBuildEqualsFullBuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := model.NewView()
		var table *placement.Table
		steps := rapid.IntRange(1, 6).Draw(t, "steps")
		for step := range steps {
			v = v.Clone()
			v.Generation++
			for i := range rapid.IntRange(1, 3).Draw(t, "changes") {
				change(t, v, fmt.Sprintf("%d.%d", step, i))
			}
			table, _ = placement.Build(table, v)
		}
		full, rebuilt := placement.Build(nil, v)
		if rebuilt != len(v.Services) || table.Len() != full.Len() {
			t.Fatalf("%d services rebuilt, %d and %d present, want %d", rebuilt, table.Len(), full.Len(), len(v.Services))
		}
		b := bucket(t)
		for id := range v.Services {
			for _, kind := range chainKinds {
				if !slices.Equal(table.Service(id).FullChain(kind, b), full.Service(id).FullChain(kind, b)) {
					t.Fatalf("service %d differs", id)
				}
			}
			if table.Lookup(v.Services[id].Address) != table.Service(id) {
				t.Fatalf("service %d is not found by its address", id)
			}
		}
	})
}

// change makes a random change to one service or one of its targets.
func change(t *rapid.T, v *model.View, label string) {
	id := model.ServiceID(rapid.IntRange(1, 3).Draw(t, "service"+label))
	if rapid.IntRange(0, 9).Draw(t, "remove"+label) == 0 {
		delete(v.Services, id)
		return
	}
	service := v.Services[id]
	service.ID, service.Generation = id, v.Generation
	service.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(id)}), 443)
	v.Services[id] = service
	index := rapid.IntRange(1, 4).Draw(t, "target"+label)
	targetID := model.TargetID(int(id)*10 + index)
	if rapid.Bool().Draw(t, "leave"+label) {
		delete(v.Targets, targetID)
		return
	}
	member := target(targetID, model.TargetState(rapid.IntRange(0, 4).Draw(t, "state"+label)))
	member.Service = id
	v.Targets[targetID] = member
}

// Guards against a rebuild of unchanged services. With 750 services it would delay the forwarding of
// packets and exceed the processor time allowed for control.
func TestOnlyChangedServicesAreRebuilt(t *testing.T) {
	v := view(1, target(1, model.TargetActive), target(2, model.TargetActive))
	other := v.Services[serviceID]
	other.ID, other.Address = 8, netip.MustParseAddrPort("10.9.0.2:443")
	v.Services[8] = other
	table, rebuilt := placement.Build(nil, v)
	if rebuilt != 2 {
		t.Fatalf("first build made %d services, want 2", rebuilt)
	}
	v = v.Clone()
	v.Generation, other.Generation = 2, 2
	v.Services[8] = other
	next, rebuilt := placement.Build(table, v)
	if rebuilt != 1 || next.Service(serviceID) != table.Service(serviceID) {
		t.Fatalf("%d services were rebuilt, want only the changed one", rebuilt)
	}
}

// Guards against a hash that spreads the buckets unevenly. With 1,024 buckets over 8 targets, a uniform
// hash gives 128 each with a standard deviation of 10.6; the bound is five standard deviations.
func TestBucketsAreSpreadOverTargets(t *testing.T) {
	members := make([]model.Target, 0, 8)
	for id := range model.TargetID(8) {
		members = append(members, target(id+1, model.TargetActive))
	}
	service := build(members...)
	firstCount := map[model.TargetID]int{}
	for b := range placement.Bucket(placement.BucketCount) {
		firstCount[service.FullChain(placement.Admitting, b)[0].ID]++
	}
	for id := range model.TargetID(8) {
		if n := firstCount[id+1]; n < 128-53 || n > 128+53 {
			t.Errorf("target %d is first in %d buckets, want 128 ± 53", id+1, n)
		}
	}
}

// Guards against a panic or an overflow of the 8-bit index if a view has more targets than allowed.
func TestTargetsBeyondTheLimitAreOmitted(t *testing.T) {
	var members []model.Target
	for id := range model.TargetID(300) {
		members = append(members, target(id+1, model.TargetActive))
	}
	table, _ := placement.Build(nil, view(1, members...))
	service := table.Service(serviceID)
	if table.Omitted() != service.Omitted || service.Omitted != 300-model.MaxTargetsPerService {
		t.Fatalf("%d targets omitted", service.Omitted)
	}
	if n := len(service.FullChain(placement.Owners, 5)); n != model.MaxTargetsPerService {
		t.Fatalf("chain holds %d targets", n)
	}
}

// Guards against nodes that disagree on the service of an address while a view holds several services
// with it. The one created last is used, whatever the iteration order of the map.
func TestNewestServiceOwnsASharedAddress(t *testing.T) {
	v := view(1, target(1, model.TargetActive))
	for id := range model.ServiceID(20) {
		other := v.Services[serviceID]
		other.ID = id + 1
		v.Services[id+1] = other
	}
	for range 20 {
		table, _ := placement.Build(nil, v)
		if got := table.Lookup(v.Services[serviceID].Address); got.ID != 20 {
			t.Fatalf("address belongs to service %d, want 20", got.ID)
		}
	}
	table, _ := placement.Build(nil, v)
	if got := table.Lookup(netip.MustParseAddrPort("[::1]:443")); got != nil {
		t.Fatalf("found service %d by an IPv6 address", got.ID)
	}
}
