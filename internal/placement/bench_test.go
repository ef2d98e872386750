package placement_test

import (
	"net/netip"
	"runtime"
	"testing"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/placement"
)

// Size to reach, see the capacity page.
const (
	targetServices = 750
	targetTargets  = 4100
)

// largeView returns a view of the target size. Every tenth target drains, so that half of the
// services have two different chains.
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

// BenchmarkBuild measures the build of all tables beside the rebuild after one change.
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

// BenchmarkExtension measures what an agent pays when it extends a chain.
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

// Guards against tables that take the memory that a node may spend on control, 32 MB together with
// the view and the table that a change replaces.
func TestTablesOfTheTargetSizeFitIntoMemory(t *testing.T) {
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
