package relay

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
)

// answerLookup answers an owner lookup of an entry VM, which asks for one or more flows.
func (r *Relay) answerLookup(now time.Duration, from hop.IP, m *hop.Message) {
	a := hop.Message{Kind: hop.OwnerReply, Batch: m.Batch}
	for _, q := range m.Questions {
		a.Answers = append(a.Answers, r.lookup(now, q.Key, q.Ack))
	}
	r.sendToNode(from, &a)
}

// targetLacksFlow reports whether the target is known not to have a flow that is missing in the table.
func (r *Relay) targetLacksFlow(key packet.Key) bool {
	_, returned := r.returnedFlows[key]
	return returned || r.KnowsAllFlows()
}

// KnowsAllFlows reports whether the flow table holds every flow of the target.
func (r *Relay) KnowsAllFlows() bool { return r.knowsAllFlows || r.target.isDown() }

// recordReturnedFlow remembers that the target has returned a packet of a flow, so that later lookups need
// not hand it another packet. Only a SYN that passes through this relay can create the flow again.
func (r *Relay) recordReturnedFlow(key packet.Key) {
	if r.knowsAllFlows {
		return
	}
	if len(r.returnedFlows) >= maxReturnedFlows {
		clear(r.returnedFlows)
	}
	r.returnedFlows[key] = struct{}{}
}

// lookup returns whether the target owns a flow. ack is the last acknowledgement number of its caller: one
// beyond the SYN-ACK of this target shows that the caller completed the handshake with another target.
func (r *Relay) lookup(now time.Duration, key packet.Key, ack uint32) hop.Answer {
	r.Stats.FindsAnswered++
	f := r.flows[key]
	switch {
	case f == nil && !r.targetLacksFlow(key):
		r.Stats.Unsure++
		return hop.Unsure
	case f == nil || f.state == ownedElsewhere || f.state == halfOpen:
		return hop.NotOwned
	case f.state == accepted && ack-f.targetISN > 1:
		return hop.NotOwned
	}
	f.lastSeen = now
	return hop.Owned
}
