package balancer

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
)

// Drop reasons of the Balancer.
const (
	// DropWrite counts packets that could not be sent to an agent.
	DropWrite flow.DropReason = "write"
	// DropHintQueue counts hints that did not fit into the queue.
	DropHintQueue flow.DropReason = "hint_queue"
)

// dropReasons lists the values of the label "reason", so that every series exists from the start.
var dropReasons = [...]flow.DropReason{
	flow.DropTruncated, flow.DropNotIPv4, flow.DropNotTCP, flow.DropFragment, flow.DropMalformed, flow.DropOversized,
	encap.DropVersion, encap.DropType, encap.DropTag, encap.DropDatagramTruncated,
	DropNoService, DropNoTarget, DropSYNData, DropWrite, DropHintQueue,
}

// Metrics holds the counters and gauges of a balancer.
type Metrics struct {
	Packets    prometheus.Counter
	Bytes      prometheus.Counter
	SYNs       prometheus.Counter
	Hinted     prometheus.Counter
	Hints      prometheus.Counter
	Drops      *prometheus.CounterVec
	ReadErrors prometheus.Counter
	Rebuilt    prometheus.Counter
	Generation prometheus.Gauge
	Services   prometheus.Gauge
	Omitted    prometheus.Gauge

	drops map[flow.DropReason]prometheus.Counter
}

// newMetrics registers the metrics of a balancer.
func newMetrics(registerer prometheus.Registerer) (*Metrics, error) {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "greengagelock", Subsystem: "balancer", Name: name, Help: help,
		})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "greengagelock", Subsystem: "balancer", Name: name, Help: help,
		})
	}
	m := &Metrics{
		Packets:    counter("packets_total", "Packets forwarded to agents."),
		Bytes:      counter("bytes_total", "Bytes sent to agents, with the encapsulation header."),
		SYNs:       counter("syns_total", "Forwarded packets that open a connection."),
		Hinted:     counter("hinted_total", "Forwarded packets whose chain was reordered by a hint."),
		Hints:      counter("hints_total", "Hints received."),
		ReadErrors: counter("read_errors_total", "Failed reads from a socket."),
		Rebuilt:    counter("services_rebuilt_total", "Services whose chains were rebuilt."),
		Generation: gauge("generation", "Generation of the view in force."),
		Services:   gauge("services", "Services in the view in force."),
		Omitted:    gauge("targets_omitted", "Targets left out because their service has too many."),
		Drops: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "greengagelock", Subsystem: "balancer", Name: "drops_total",
			Help: "Dropped packets and hints by reason.",
		}, []string{"reason"}),
		drops: map[flow.DropReason]prometheus.Counter{},
	}
	for _, reason := range dropReasons {
		m.drops[reason] = m.Drops.WithLabelValues(string(reason))
	}
	for _, c := range []prometheus.Collector{
		m.Packets, m.Bytes, m.SYNs, m.Hinted, m.Hints, m.Drops, m.ReadErrors, m.Rebuilt, m.Generation, m.Services, m.Omitted,
	} {
		if err := registerer.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// drop counts a dropped packet or hint.
func (m *Metrics) drop(reason flow.DropReason) {
	if c, ok := m.drops[reason]; ok {
		c.Inc()
		return
	}
	m.Drops.WithLabelValues(string(reason)).Inc()
}
