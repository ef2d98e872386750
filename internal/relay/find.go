package relay

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
)

// findMany answers the questions of an entry VM for the owners of flows.
func (r *Relay) findMany(now time.Duration, from hop.IP, m *hop.Message) {
	a := hop.Message{Kind: hop.FoundMany, Batch: m.Batch}
	for _, q := range m.Questions {
		a.Answers = append(a.Answers, r.owns(now, q.Key, q.Ack))
	}
	r.toNode(from, &a)
}

// knowsAbsent reports whether the target surely lacks a flow that is not in the table.
func (r *Relay) knowsAbsent(key packet.Key) bool {
	_, returned := r.disowned[key]
	return returned || r.Complete()
}

// Complete reports whether the flow table holds every flow of the target.
func (r *Relay) Complete() bool { return r.complete || r.target.gone() }

// disown keeps that the target has returned a packet of a flow. Only a SYN through this relay could
// change that, so entry VMs need not have the target asked again.
func (r *Relay) disown(key packet.Key) {
	if r.complete {
		return
	}
	if len(r.disowned) >= maxDisowned {
		clear(r.disowned)
	}
	r.disowned[key] = struct{}{}
}

// owns tells whether the target has a flow for which the caller has acknowledged ack.
func (r *Relay) owns(now time.Duration, key packet.Key, ack uint32) hop.Answer {
	r.Stats.FindsAnswered++
	f := r.flows[key]
	switch {
	case f == nil && !r.knowsAbsent(key):
		r.Stats.Unsure++
		return hop.Unsure
	case f == nil || f.state == foreign || f.state == halfOpen:
		return hop.NotOwned
	case f.state == accepted && ack-f.targetISN > 1:
		return hop.NotOwned
	}
	f.seen = now
	return hop.Owned
}
