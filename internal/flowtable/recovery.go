package flowtable

import (
	"bytes"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/result"
)

// unknownPacket handles a packet without SYN of a flow that has no record of this service. A recovering
// agent delivers it to the target, whose answer shows whether the target has the flow.
func (t *Table) unknownPacket(h *encap.Header, p *flow.Packet, ep *endpoint, r *record) {
	if !t.recovering || r != nil || p.TCP.RST || !p.TCP.ACK {
		t.forwardToNext(h, p.Raw, ep, result.OK)
		return
	}
	i, r := t.adopt(p.Key, ep, stateProbing)
	r.callerAck, r.targetNext = p.TCP.Ack, p.TCP.Ack
	r.targetAck, r.callerNext = p.TCP.Seq, p.TCP.Seq+p.SegmentLength()
	t.heldByRecord[i] = &heldPackets{header: *h, packets: [][]byte{bytes.Clone(p.Raw)}}
	t.deliver(p.Raw)
	t.wheel.arm(i, t.nowMillis+toMillis(RecoveryProbeTimeout))
}

// adopt adds a record in state s for a flow without one, from a packet that is not its first SYN.
func (t *Table) adopt(k flow.Key, ep *endpoint, s state) (uint32, *record) {
	i, r := t.store.add(packKey(k))
	t.stateCounts[stateFree]++
	t.setState(r, s)
	r.service = ep.Service.ID
	r.lastFromCaller, r.lastFromTarget = t.nowMillis, t.nowMillis
	return i, r
}

// probingPacket handles a further packet of the caller during a recovery probe.
func (t *Table) probingPacket(p *flow.Packet, i uint32, r *record) {
	held := t.heldByRecord[i]
	if len(held.packets) >= maxProbePackets {
		t.drop(DropProbeCopies)
		return
	}
	held.packets = append(held.packets, bytes.Clone(p.Raw))
	advanceSeq(&r.callerNext, p.TCP.Seq+p.SegmentLength())
	t.deliver(p.Raw)
}

// probeAnswer handles the answer of the target to a recovery probe.
func (t *Table) probeAnswer(p *flow.Packet, ep *endpoint, i uint32, r *record) {
	r.set(flagUnconfirmed)
	if t.confirm(p, ep, i, r) {
		t.setState(r, stateEstablished)
		t.establishedAnswer(p, ep, i, r)
	}
}

// probeUnanswered adopts the flow unconfirmed after RecoveryProbeTimeout. A target need not answer an ACK,
// so it gets a keep-alive probe, which it has to answer. The packets stay held until the flow is confirmed: a
// target that is slow to refuse them must not cost the caller a retransmission for each recovering agent.
func (t *Table) probeUnanswered(i uint32, r *record) {
	t.setState(r, stateEstablished)
	r.set(flagUnconfirmed)
	t.probeTarget(r)
	t.wheel.arm(i, t.nowMillis+toMillis(unconfirmedProbeInterval))
}

// checkUnconfirmed probes the target again, and removes the flow after maxUnconfirmedProbes.
func (t *Table) checkUnconfirmed(i uint32, r *record) {
	if r.targetProbes >= maxUnconfirmedProbes {
		t.remove(i, r)
		return
	}
	t.probeTarget(r)
	t.wheel.arm(i, t.nowMillis+toMillis(unconfirmedProbeInterval))
}

// probeFailed forwards the held packets, because the target does not have the flow. The target's RST must
// not reach the caller, which would accept it and break the flow at its owner.
func (t *Table) probeFailed(ep *endpoint, i uint32, r *record) {
	t.countEvent(EventProbeFailed)
	t.drop(DropProbeReset)
	held := t.heldByRecord[i]
	t.linger(ep, i, r)
	if held == nil {
		return
	}
	for _, packet := range held.packets {
		h := held.header
		t.forwardToNext(&h, packet, ep, result.OK)
	}
}

// confirm handles the first packet of the target for an unconfirmed flow. It reports false if the target
// does not have the flow.
func (t *Table) confirm(p *flow.Packet, ep *endpoint, i uint32, r *record) bool {
	if p.TCP.SYN {
		// The target has accepted a SYN as a new flow, which was not admitted.
		r.targetAck = p.TCP.Ack
		t.resetTarget(r)
	}
	if p.TCP.RST || p.TCP.SYN {
		t.probeFailed(ep, i, r)
		return false
	}
	// The caller's packet that started the probe may be a late one of an earlier flow, so the sequence
	// numbers come from the target.
	r.setSequenceNumbers(p)
	r.clear(flagUnconfirmed)
	r.set(flagAdopted)
	delete(t.heldByRecord, i)
	t.acquire(ep, r)
	t.countEvent(EventAdopted)
	t.wheel.disarm(i)
	t.armCheck(ep, i, r)
	return true
}

// setSequenceNumbers sets the sequence numbers of a flow from a packet of its target.
func (r *record) setSequenceNumbers(p *flow.Packet) {
	r.callerAck, r.targetNext = p.TCP.Seq, p.TCP.Seq
	r.callerNext, r.targetAck = p.TCP.Ack, p.TCP.Ack
}

// adoptHalfOpen adopts a flow whose SYN the target has answered with neither SYN-ACK nor RST: the target
// has the flow from before the agent's restart, and the SYN was a late duplicate.
func (t *Table) adoptHalfOpen(p *flow.Packet, ep *endpoint, i uint32, r *record) {
	delete(t.heldByRecord, i)
	t.setState(r, stateEstablished)
	r.setSequenceNumbers(p)
	r.set(flagAdopted)
	t.countEvent(EventAdopted)
	t.wheel.disarm(i)
	t.armCheck(ep, i, r)
	t.establishedAnswer(p, ep, i, r)
}

// unknownAnswer handles a packet of the target for a flow without a record. It is a late answer, or in
// recovery the flow is from before the start of the agent.
func (t *Table) unknownAnswer(p *flow.Packet) {
	ep := t.endpointOf(p)
	if !t.recovering || ep == nil || p.TCP.RST || !p.TCP.ACK {
		t.drop(DropLateAnswer)
		return
	}
	if p.TCP.SYN {
		i, r := t.adopt(p.Key.Reverse(), ep, stateSynAckSeen)
		r.callerNext, r.targetAck = p.TCP.Ack, p.TCP.Ack
		t.acquire(ep, r)
		t.wheel.arm(i, t.nowMillis+toMillis(HalfOpenTimeout))
		t.synAckAnswer(p, ep, i, r)
		return
	}
	i, r := t.adopt(p.Key.Reverse(), ep, stateEstablished)
	r.set(flagUnconfirmed)
	t.establishedAnswer(p, ep, i, r)
}
