package agent

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/flowtable"
)

// metrics are the counters and gauges of an agent.
type metrics struct {
	fromFabric, fromTarget       prometheus.Counter
	toFabric, toTarget, toCaller sendCounters
	drops, events, refusals      *prometheus.CounterVec
	flows, requests, records     prometheus.Gauge

	// Counters by label value, which saves the packet path a lookup in the vector.
	dropCounters  map[flow.DropReason]prometheus.Counter
	eventCounters map[flowtable.Event]prometheus.Counter
}

// sendCounters counts the datagrams that one packet connection has sent or failed to send.
type sendCounters struct {
	sent, failed prometheus.Counter
}

// newMetrics registers the metrics. The function age returns the control age, or false while unknown.
func newMetrics(registry prometheus.Registerer, age func() (time.Duration, bool)) (*metrics, error) {
	counters := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "greengagelock_agent_" + name, Help: help}, []string{label})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: "greengagelock_agent_" + name, Help: help})
	}
	received := counters("packets_received_total", "Packets received.", "port")
	sent := counters("packets_sent_total", "Packets sent.", "port")
	failed := counters("send_failures_total", "Packets that could not be sent.", "port")
	controlAge := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "greengagelock_agent_control_age_seconds",
		Help: "Time since a controller with a quorum was heard from; -1 while unknown.",
	}, func() float64 {
		if d, ok := age(); ok {
			return d.Seconds()
		}
		return -1
	})
	m := &metrics{
		fromFabric: received.WithLabelValues("fabric"), fromTarget: received.WithLabelValues("target"),
		drops:         counters("drops_total", "Packets dropped.", "reason"),
		events:        counters("events_total", "Events of flows.", "event"),
		refusals:      counters("refusals_total", "Refused SYNs.", "code"),
		flows:         gauge("flows", "Open flows."),
		requests:      gauge("request_flows", "Open flows that hold a slot."),
		records:       gauge("flow_records", "Records in the flow table, ended flows included."),
		dropCounters:  map[flow.DropReason]prometheus.Counter{},
		eventCounters: map[flowtable.Event]prometheus.Counter{},
	}
	for name, c := range map[string]*sendCounters{"fabric": &m.toFabric, "target": &m.toTarget, "caller": &m.toCaller} {
		*c = sendCounters{sent: sent.WithLabelValues(name), failed: failed.WithLabelValues(name)}
	}
	for _, c := range []prometheus.Collector{
		received, sent, failed, controlAge, m.drops, m.events, m.refusals, m.flows, m.requests, m.records,
	} {
		if err := registry.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// drop counts a dropped packet.
func (m *metrics) drop(reason flow.DropReason) {
	c, ok := m.dropCounters[reason]
	if !ok {
		c = m.drops.WithLabelValues(string(reason))
		m.dropCounters[reason] = c
	}
	c.Inc()
}

// event counts an event of a flow.
func (m *metrics) event(event flowtable.Event) {
	c, ok := m.eventCounters[event]
	if !ok {
		c = m.events.WithLabelValues(string(event))
		m.eventCounters[event] = c
	}
	c.Inc()
}
