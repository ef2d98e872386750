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

// owns tells whether the target has a flow for which the caller has acknowledged ack.
func (r *Relay) owns(now time.Duration, key packet.Key, ack uint32) hop.Answer {
	r.Stats.FindsAnswered++
	f := r.flows[key]
	switch {
	case f == nil && !r.complete && !r.target.gone():
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
