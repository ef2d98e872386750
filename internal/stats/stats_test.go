package stats_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/greengagelock/greengagelock/internal/stats"
)

type counters struct {
	ToCallers   uint64
	SearchFails uint64 `metric:"FindsFailed"`
	Name        string
}

// Renaming a field must change neither the name nor the value of its metric if a tag keeps the name.
func TestTagKeepsTheNameOfAMetric(t *testing.T) {
	g := NewWithT(t)
	registry := prometheus.NewRegistry()
	read := func() counters { return counters{ToCallers: 3, SearchFails: 5, Name: "one"} }
	g.Expect(stats.Register(registry, "test", read)).To(Succeed())

	families, err := registry.Gather()
	g.Expect(err).NotTo(HaveOccurred())
	values := map[string]float64{}
	for _, family := range families {
		values[family.GetName()] = family.GetMetric()[0].GetCounter().GetValue()
	}
	g.Expect(values).To(Equal(map[string]float64{"test_to_callers_total": 3, "test_finds_failed_total": 5}))
}
