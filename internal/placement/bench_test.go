package placement_test

import (
	"net/netip"
	"runtime"
	"testing"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/placement"
)

// Numbers of services and targets that the capacity page requires.
const (
	targetServices = 750
	targetTargets  = 4100
)

// largeView returns a view with targetServices services and targetTargets targets. Every tenth target
// is draining, so that the two chains differ in half of the services.
func largeView() *model.View {
	v := model.NewView()
	v.Generation = 1
	for i := range targetServices {
		id := model.ServiceID(i + 1)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 443)
		v.Services[id] = model.Service{ID: id, Generation: 1, Address: address}
	}
	for i := range targetTargets {
		member := target(model.TargetID(i+1), model.TargetActive)
		if i%10 == 0 {
			member.State = model.TargetDraining
		}
		member.Service = model.ServiceID(i%targetServices + 1)
		v.Targets[member.ID] = member
	}
	return v
}

// BenchmarkBuild measures a full build, and the rebuild after a change to one service.
func BenchmarkBuild(b *testing.B) {
	v := largeView()
	table, _ := placement.Build(nil, v)
	changed := v.Clone()
	service := changed.Services[5]
	service.Generation, changed.Generation = 2, 2
	changed.Services[5] = service

	b.Run("all", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			placement.Build(nil, v)
		}
	})
	b.Run("one_change", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			placement.Build(table, changed)
		}
	})
}

// BenchmarkExtension measures the extension of a chain in an agent.
func BenchmarkExtension(b *testing.B) {
	var members []model.Target
	for id := range model.TargetID(model.MaxTargetsPerService) {
		members = append(members, target(id+1, model.TargetActive))
	}
	service := build(members...)
	var candidates [encap.MaxCandidates]encap.Candidate
	b.ReportAllocs()
	for b.Loop() {
		service.Extension(placement.Owners, 17, 1, &candidates)
	}
}

// Guards against tables that exceed the control memory of a node. The limit is 32 MB for the view, the
// table and the table that it replaces, so one table may take at most half.
func TestTablesAtTargetSizeFitIntoMemory(t *testing.T) {
	v := largeView()
	before := heapBytes()
	table, _ := placement.Build(nil, v)
	used := heapBytes() - before
	runtime.KeepAlive(table)
	runtime.KeepAlive(v)
	t.Logf("tables of %d services and %d targets: %.1f MB", targetServices, targetTargets, float64(used)/1e6)
	if used > 32e6/2 {
		t.Fatalf("tables take %d bytes", used)
	}
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
