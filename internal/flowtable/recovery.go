package flowtable

import (
	"bytes"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/result"
)

// unknown handles a packet without SYN of a flow that has no record of this service. In recovery
// the target is asked whether the flow is its own.
func (t *Table) unknown(h *encap.Header, p *flow.Packet, ep *endpoint, r *record) {
	if !t.recovering || r != nil || p.TCP.RST || !p.TCP.ACK {
		t.passOn(h, p.Raw, ep, result.OK)
		return
	}
	i, r := t.adopt(p.Key, ep, stateProbing)
	r.callerAck, r.targetNext = p.TCP.Ack, p.TCP.Ack
	r.targetAck, r.callerNext = p.TCP.Seq, p.TCP.Seq+p.SegmentLength()
	t.pending[i] = &pending{header: *h, packets: [][]byte{bytes.Clone(p.Raw)}}
	t.deliver(p.Raw)
	t.wheel.arm(i, t.millis+ms(ProbeWait))
}

// adopt adds a record for a flow from before the start of the agent.
func (t *Table) adopt(k flow.Key, ep *endpoint, s state) (uint32, *record) {
	i, r := t.store.add(pack(k))
	t.counts[stateFree]++
	t.setState(r, s)
	r.service = ep.Service.ID
	r.lastCaller, r.lastTarget = t.millis, t.millis
	return i, r
}

// probingPacket handles a further packet of the caller while the target is being asked.
func (t *Table) probingPacket(p *flow.Packet, i uint32, r *record) {
	held := t.pending[i]
	if len(held.packets) >= probeCopies {
		t.drop(DropProbeCopies)
		return
	}
	held.packets = append(held.packets, bytes.Clone(p.Raw))
	advance(&r.callerNext, p.TCP.Seq+p.SegmentLength())
	t.deliver(p.Raw)
}

// probeAnswer handles the answer of the target to a probe.
func (t *Table) probeAnswer(p *flow.Packet, ep *endpoint, i uint32, r *record) {
	r.set(flagUnconfirmed)
	if t.confirm(p, ep, i, r) {
		delete(t.pending, i)
		t.setState(r, stateEstablished)
		t.fromTarget(p, ep, i, r)
	}
}

// probeUnanswered adopts the flow. The target need not answer an ACK, so it gets a keep-alive
// probe, which it does answer.
func (t *Table) probeUnanswered(i uint32, r *record) {
	delete(t.pending, i)
	t.setState(r, stateEstablished)
	r.set(flagUnconfirmed)
	t.probeTarget(r)
	t.wheel.arm(i, t.millis+ms(unconfirmedWait))
}

// checkUnconfirmed probes the target again, and forgets a flow that the target is silent about.
func (t *Table) checkUnconfirmed(i uint32, r *record) {
	if r.probesTarget >= unconfirmedProbes {
		t.remove(i, r)
		return
	}
	t.probeTarget(r)
	t.wheel.arm(i, t.millis+ms(unconfirmedWait))
}

// probeFailed passes the copies on: the target does not have the flow. Its RST must not reach the
// caller, which would accept it and break the flow at its owner.
func (t *Table) probeFailed(ep *endpoint, i uint32, r *record) {
	t.note(EventProbeFailed)
	t.drop(DropProbeReset)
	held := t.pending[i]
	t.linger(ep, i, r)
	if held == nil {
		return
	}
	for _, packet := range held.packets {
		h := held.header
		t.passOn(&h, packet, ep, result.OK)
	}
}

// confirm handles the first packet of the target for an adopted flow. It reports false if the
// target does not have the flow.
func (t *Table) confirm(p *flow.Packet, ep *endpoint, i uint32, r *record) bool {
	if p.TCP.SYN {
		// The target has taken a SYN for a new flow, which was not admitted.
		r.targetAck = p.TCP.Ack
		t.abortTarget(r)
	}
	if p.TCP.RST || p.TCP.SYN {
		t.probeFailed(ep, i, r)
		return false
	}
	// The packet of the caller that started the probe may have been a late one of an earlier flow.
	r.learn(p)
	r.clear(flagUnconfirmed)
	r.set(flagAdopted)
	t.take(ep, r)
	t.note(EventAdopted)
	t.wheel.disarm(i)
	t.watch(ep, i, r)
	return true
}

// learn takes the sequence numbers of a flow from a packet of its target.
func (r *record) learn(p *flow.Packet) {
	r.callerAck, r.targetNext = p.TCP.Seq, p.TCP.Seq
	r.callerNext, r.targetAck = p.TCP.Ack, p.TCP.Ack
}

// adoptHalfOpen adopts a flow whose SYN the target has answered with something else than SYN-ACK or
// RST: the target has the flow from before the restart, and the SYN was a late duplicate.
func (t *Table) adoptHalfOpen(p *flow.Packet, ep *endpoint, i uint32, r *record) {
	delete(t.pending, i)
	t.setState(r, stateEstablished)
	r.learn(p)
	r.set(flagAdopted)
	t.note(EventAdopted)
	t.wheel.disarm(i)
	t.watch(ep, i, r)
	t.fromTarget(p, ep, i, r)
}

// unknownAnswer handles a packet of the target for an unknown flow: a late answer, or in recovery a
// flow from before the start of the agent.
func (t *Table) unknownAnswer(p *flow.Packet) {
	ep := t.endpointAt(p)
	if !t.recovering || ep == nil || p.TCP.RST || !p.TCP.ACK {
		t.drop(DropLateAnswer)
		return
	}
	if p.TCP.SYN {
		i, r := t.adopt(p.Key.Reverse(), ep, stateSynAckSeen)
		r.callerNext, r.targetAck = p.TCP.Ack, p.TCP.Ack
		t.take(ep, r)
		t.wheel.arm(i, t.millis+ms(HalfOpenTimeout))
		t.synAck(p, ep, i, r)
		return
	}
	i, r := t.adopt(p.Key.Reverse(), ep, stateEstablished)
	r.set(flagUnconfirmed)
	t.fromTarget(p, ep, i, r)
}
