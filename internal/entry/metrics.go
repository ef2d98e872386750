package entry

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/stats"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

// metrics are those besides the counters of Stats.
type metrics struct {
	admission prometheus.Histogram
}

func newMetrics(r prometheus.Registerer, p *Process) (*metrics, error) {
	m := &metrics{admission: prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "greengagelock_entry_admission_seconds", Help: "Time from the first packet of a flow to its admission.",
		Buckets: []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2},
	})}
	gauges := []struct {
		name, help string
		read       func() float64
	}{
		{"flows", "Flows in the cache.", func() float64 { return float64(p.entry.Flows()) }},
		{"targets", "Known targets, lost ones included.", func() float64 { return float64(p.entry.View.Len()) }},
		{"config_version", "Version of the configuration in force.", func() float64 { return float64(p.entry.Version()) }},
		{"list_age_seconds", "Time since a controller confirmed its list of targets.", func() float64 {
			return p.entry.View.Age(p.now()).Seconds()
		}},
		{"cut_off", "1 while no relay outside the availability zone answers.", func() float64 {
			if p.entry.CutOff() {
				return 1
			}
			return 0
		}},
	}
	err := errors.CombineErrors(r.Register(m.admission), telemetry.RegisterBuild(r, roster.Level))
	for _, g := range gauges {
		err = errors.CombineErrors(err, r.Register(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Name: "greengagelock_entry_" + g.name, Help: g.help},
			func() float64 {
				p.mu.Lock()
				defer p.mu.Unlock()
				return g.read()
			})))
	}
	if err != nil {
		return nil, errors.Wrap(err, "register metrics")
	}
	err = stats.Register(r, "greengagelock_entry", p.StatsNow)
	return m, errors.CombineErrors(err, stats.Register(r, "greengagelock_entry", func() roster.ViewStats {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.entry.View.Stats
	}))
}
