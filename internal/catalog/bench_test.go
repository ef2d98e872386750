package catalog_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
)

// The maximum supported size: 4,100 targets behind 750 service addresses.
const (
	benchServices = 750
	benchTargets  = 4100
	// benchRevisions is less than catalog.MaxRevisions, because every revision has to be parsed and planned.
	benchRevisions = 100
)

func benchDocument(change int) []byte {
	var vms, services []string
	for v := range benchTargets {
		vms = append(vms, fmt.Sprintf(`{"name": "vm-%04d", "zone": "zone-%d", "workspace": "andinas", "labels": {"service": "s%d"}}`,
			v, v%6, v%benchServices))
	}
	for s := range benchServices {
		services = append(services, fmt.Sprintf(`{"name": "s%d", "workspace": "andinas", "address": "10.10.%d.%d:7001", "class": "stream",
  "select": {"service": "s%d"}, "ramp": "%ds"}`, s, s/250, s%250+1, s, 1+(change+s)%7/6*(change%60)))
	}
	return []byte(fmt.Sprintf("{\"inventory\": {\"vms\": [\n%s]},\n\"services\": [\n%s]}", strings.Join(vms, ",\n"), strings.Join(services, ",\n")))
}

func benchCatalog(b *testing.B) (c *catalog.Catalog, index uint64) {
	b.Helper()
	c = catalog.New()
	run := func(cmd *catalog.Command) {
		index++
		if r := c.Run(index, cmd); r.Code != result.OK {
			b.Fatalf("command was refused: %+v", r)
		}
	}
	run(&catalog.Command{Kind: catalog.KindApply, ID: "first", Document: catalog.Compress(benchDocument(0))})
	var batch catalog.Batch
	for v := range benchTargets {
		vm := fmt.Sprintf("vm-%04d", v)
		batch.Registrations = append(batch.Registrations, catalog.Registration{
			Key:   catalog.Key{Node: vm, VM: model.VM(vm), Service: fmt.Sprintf("s%d", v%benchServices)},
			Agent: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(v / 250), byte(v % 250)}), 9000), Slots: 2, MaxConns: 2000,
		})
	}
	run(&catalog.Command{Kind: catalog.KindBatch, Batch: batch})
	if len(c.View().Targets) != benchTargets {
		b.Fatalf("%d targets, want %d", len(c.View().Targets), benchTargets)
	}
	return c, index
}

// toggleLiveness marks target 1 as lost on even indexes and as alive on odd ones.
func toggleLiveness(c *catalog.Catalog, index uint64) {
	c.Run(index, &catalog.Command{Kind: catalog.KindBatch, Batch: catalog.Batch{
		Liveness: []catalog.LivenessChange{{Target: 1, Lost: index%2 == 0}},
	}})
}

// BenchmarkBatch measures a batch that changes the liveness of one target.
func BenchmarkBatch(b *testing.B) {
	c, index := benchCatalog(b)
	for b.Loop() {
		index++
		toggleLiveness(c, index)
	}
}

// BenchmarkEdit measures an edit that replaces the whole document.
func BenchmarkEdit(b *testing.B) {
	c, index := benchCatalog(b)
	documents := [][]byte{catalog.Compress(benchDocument(1)), catalog.Compress(benchDocument(2))}
	b.ReportMetric(float64(len(documents[0])), "entry-bytes")
	for b.Loop() {
		index++
		r := c.Run(index, &catalog.Command{Kind: catalog.KindApply, ID: fmt.Sprint(index), Base: c.Revision(), Document: documents[index%2]})
		if r.Code != result.OK {
			b.Fatalf("edit was refused: %+v", r)
		}
	}
	b.ReportMetric(float64(len(documents[0])), "entry-bytes")
}

// BenchmarkUpdate measures computing a delta for a poll after one change.
func BenchmarkUpdate(b *testing.B) {
	for name, role := range map[string]model.Role{"balancer": model.RoleBalancer, "agent": model.RoleAgent} {
		b.Run(name, func(b *testing.B) {
			c, index := benchCatalog(b)
			from := c.View().Generation
			toggleLiveness(c, index+index%2+2)
			for b.Loop() {
				if u := c.Update(role, "vm-0000", from, 0); u.Delta == nil {
					b.Fatal("no delta")
				}
			}
		})
	}
}

// BenchmarkSnapshot measures a snapshot with benchRevisions revisions in its history.
func BenchmarkSnapshot(b *testing.B) {
	c, index := benchCatalog(b)
	for revision := range benchRevisions {
		index++
		kind := catalog.KindDrain
		if revision%2 == 1 {
			kind = catalog.KindUndrain
		}
		c.Run(index, &catalog.Command{
			Kind: kind, ID: fmt.Sprint(index), Base: c.Revision(), Names: []string{"vm-0000"}, Acknowledged: []string{"empties:s0", "removes:s0"},
		})
	}
	if c.Revision() != benchRevisions+1 {
		b.Fatalf("revision %d, want %d", c.Revision(), benchRevisions+1)
	}
	size := 0
	for b.Loop() {
		data, err := c.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "snapshot-bytes")
}
