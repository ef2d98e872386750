package controller

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/operator"
)

// Metrics are the counters of a controller.
type Metrics struct {
	Polls, Announcements, Deltas, Snapshots, Stale, Proposals, ReportErrors, Dropped prometheus.Counter
	Edits                                                                            *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer, c *Controller) (*Metrics, error) {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "greengagelock_controller_" + name, Help: help})
	}
	m := &Metrics{
		Polls:         counter("polls_total", "Polls of nodes."),
		Announcements: counter("announcements_total", "Announcements outside of polls."),
		Deltas:        counter("deltas_total", "Deltas sent to nodes."),
		Snapshots:     counter("views_total", "Whole views sent to nodes."),
		Stale:         counter("stale_total", "Polls refused because this controller was not current."),
		Proposals:     counter("batches_total", "Batches of observations that the leader proposed."),
		Dropped:       counter("dropped_messages_total", "Messages of the replicated log that were not delivered."),
		ReportErrors:  counter("report_errors_total", "Session reports that did not reach the leader."),
		Edits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "greengagelock_controller_edits_total", Help: "Edits that this controller decided as leader, by result code.",
		}, []string{"code"}),
	}
	collectors := []prometheus.Collector{
		m.Polls, m.Announcements, m.Deltas, m.Snapshots, m.Stale, m.Proposals, m.ReportErrors, m.Dropped, m.Edits,
		newImbalanceCollector(c),
		gauge("sessions", "Nodes that polled this controller lately.", func() float64 { return float64(c.sessions.count()) }),
		gauge("quorum_age_seconds", "Time since the last contact to a quorum.", func() float64 { return c.log.Status().QuorumAge.Seconds() }),
		gauge("generation", "Generation of the replicated state.", func() float64 {
			generation := 0.0
			c.state.read(func(cat *catalog.Catalog) { generation = float64(cat.View().Generation) })
			return generation
		}),
		gauge("losses_borne", "Controllers that may be lost now without the loss of the majority, on the leader; -1 on others.", func() float64 {
			return c.lossGauge(func(l *operator.Losses) int { return l.Borne })
		}),
		gauge("losses_wanted", "Controllers that the group should be able to lose at once, on the leader; -1 on others.", func() float64 {
			return c.lossGauge(func(l *operator.Losses) int { return l.Wanted })
		}),
		gauge("leader", "1 if this controller is the leader.", func() float64 {
			if c.log.Status().IsLeader {
				return 1
			}
			return 0
		}),
	}
	for _, collector := range collectors {
		if err := r.Register(collector); err != nil {
			return nil, errors.Wrap(err, "register metrics")
		}
	}
	return m, nil
}

func gauge(name, help string, value func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "greengagelock_controller_" + name, Help: help}, value)
}
