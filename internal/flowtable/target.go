package flowtable

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/flow"
)

// FromTarget handles a packet that the target has sent.
func (t *Table) FromTarget(now time.Duration, p *flow.Packet) []Action {
	t.begin(now)
	i, r := t.store.find(packKey(p.Key.Reverse()))
	if r == nil {
		t.unknownAnswer(p)
		return t.actions
	}
	ep := t.endpoints[r.service]
	switch r.state {
	case stateEstablished, stateClosing:
		t.establishedAnswer(p, ep, i, r)
	case stateHalfOpen:
		t.halfOpenAnswer(p, ep, i, r)
	case stateSynAckSeen:
		t.synAckSeenAnswer(p, ep, i, r)
	case stateProbing:
		t.probeAnswer(p, ep, i, r)
	case stateClosed:
		t.closedAnswer(p)
	default:
		t.drop(DropLateAnswer)
	}
	return t.actions
}

// establishedAnswer handles a packet of the target for an established or closing flow.
func (t *Table) establishedAnswer(p *flow.Packet, ep *endpoint, i uint32, r *record) {
	r.lastFromTarget = t.nowMillis
	r.targetProbes = 0
	if r.has(flagUnconfirmed) && !t.confirm(p, ep, i, r) {
		return
	}
	if p.TCP.ACK {
		// The target's packets arrive in order, so the last acknowledgement is the highest.
		r.targetAck = p.TCP.Ack
	}
	end := p.TCP.Seq + p.SegmentLength()
	if advanceSeq(&r.targetNext, end) && !r.has(flagUnacked) {
		r.set(flagUnacked)
		r.unackedAt = t.nowMillis
	}
	t.sendToCaller(p.Raw)
	if p.TCP.RST {
		t.endFlow(ep, i, r)
		return
	}
	if p.TCP.FIN && end == r.targetNext {
		t.recordFIN(ep, i, r, flagTargetFIN)
	}
	t.closeIfDone(ep, i, r)
}

// closedAnswer handles a packet of the target for a closed flow. It drops a RST, which answers a late
// duplicate and would end the TIME-WAIT state of the caller (RFC 1337).
func (t *Table) closedAnswer(p *flow.Packet) {
	if p.TCP.RST {
		t.drop(DropLateAnswer)
		return
	}
	t.sendToCaller(p.Raw)
}

// halfOpenAnswer handles the answer of the target to a SYN.
func (t *Table) halfOpenAnswer(p *flow.Packet, ep *endpoint, i uint32, r *record) {
	switch {
	case p.TCP.SYN && p.TCP.ACK:
		t.synAckAnswer(p, ep, i, r)
	case p.TCP.RST && p.TCP.ACK && p.TCP.Ack == r.callerNext:
		// The RST is not sent to the caller: another candidate may still accept the SYN.
		t.handshakeRefused(ep, i, r)
	case t.recovering && p.TCP.ACK && !p.TCP.RST && !p.TCP.SYN:
		t.adoptHalfOpen(p, ep, i, r)
	case p.TCP.ACK && !p.TCP.RST && !p.TCP.FIN && len(p.Payload) == 0:
		// The target has an older connection with the same ports. Its challenge ACK makes the caller reset it.
		t.sendToCaller(p.Raw)
	default:
		t.drop(DropLateAnswer)
	}
}

// synAckSeenAnswer handles a packet of the target between its SYN-ACK and the ACK of the caller.
func (t *Table) synAckSeenAnswer(p *flow.Packet, ep *endpoint, i uint32, r *record) {
	switch {
	case p.TCP.SYN && p.TCP.ACK:
		t.synAckAnswer(p, ep, i, r)
	case p.TCP.RST:
		t.sendToCaller(p.Raw)
		t.linger(ep, i, r)
		t.serveQueue(ep)
	case len(p.Payload) == 0 && !p.TCP.FIN:
		t.sendToCaller(p.Raw)
	default:
		t.drop(DropEarlyAnswer)
	}
}

// endpointOf returns the endpoint whose address a packet of the target comes from, or nil. Keys of such
// packets have the service as Caller.
func (t *Table) endpointOf(p *flow.Packet) *endpoint {
	for _, ep := range t.endpoints {
		if ep.present && ep.Service.Address == p.Key.Caller {
			return ep
		}
	}
	return nil
}
