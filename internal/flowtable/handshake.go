package flowtable

import (
	"bytes"
	"time"

	"github.com/greengagelock/greengagelock/internal/admission"
	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/result"
)

// synPacket handles a SYN, which asks for admission or retransmits an earlier SYN.
func (t *Table) synPacket(h *encap.Header, p *flow.Packet, ep *endpoint, i uint32, r *record) {
	if len(p.Payload) > 0 {
		t.drop(DropSYNData)
		return
	}
	if r != nil {
		if r.service == h.Service && t.abortedAttempt(p, r) {
			t.forwardToNext(h, p.Raw, ep, result.HandshakeFailed)
			return
		}
		if r.service == h.Service && t.repeatedSYN(p, r) {
			return
		}
		t.endPreviousFlow(i, r)
	}
	if t.claimsOffer(h, ep) {
		t.admit(h, p, ep)
		return
	}
	if h.Final {
		t.finalSYN(h, p, ep)
		return
	}
	state, code := ep.admission.State(t.now)
	switch state {
	case admission.Free:
		t.admit(h, p, ep)
	case admission.Busy:
		t.recordQueue(h, ep)
		t.forwardToNext(h, p.Raw, ep, code)
	default:
		t.forwardToNext(h, p.Raw, ep, code)
	}
}

// abortedAttempt reports whether a SYN retransmits that of a handshake which was aborted here. A slow
// target may still answer the first SYN. The caller would accept that answer, and the target would end
// the connection when it processes the RST.
func (t *Table) abortedAttempt(p *flow.Packet, r *record) bool {
	return r.state == stateLingering && r.has(flagAborted) && p.TCP.Seq+1 == r.callerNext
}

// repeatedSYN handles a SYN for a flow that already has a record. It reports false, without handling it,
// if the SYN starts a new flow with the same ports.
func (t *Table) repeatedSYN(p *flow.Packet, r *record) bool {
	sameAttempt := p.TCP.Seq+1 == r.callerNext
	switch r.state {
	case stateQueued:
		if sameAttempt {
			t.drop(DropSYNQueued)
		}
		return sameAttempt
	case stateHalfOpen, stateSynAckSeen, stateProbing, stateEstablished, stateClosing:
		// A SYN with another sequence number may be a late duplicate of an earlier flow. The target answers
		// it with a challenge ACK, which a caller that has lost the flow answers with a RST.
		t.deliver(p.Raw)
		return true
	default:
		return false
	}
}

// endPreviousFlow ends an earlier flow with the same ports.
func (t *Table) endPreviousFlow(i uint32, r *record) {
	if r.state == stateLingering {
		return
	}
	old := t.endpoints[r.service]
	switch r.state {
	case stateQueued:
		t.removeQueued(old, i, r)
		return
	case stateClosed:
	default:
		t.resetTarget(r)
	}
	t.linger(old, i, r)
}

// resetTarget sends the target a RST for the connection.
func (t *Table) resetTarget(r *record) {
	k := r.key.unpack()
	seq := r.targetAck
	t.deliver(mustBuild(flow.Segment{From: k.Caller, To: k.Service, Seq: seq, RST: true}))
}

// abortHandshake resets an incomplete handshake at the target.
func (t *Table) abortHandshake(ep *endpoint, i uint32, r *record) {
	t.resetTarget(r)
	t.linger(ep, i, r)
	r.set(flagAborted)
}

// admit admits a SYN: it takes a slot or a connection of the target and delivers the SYN.
func (t *Table) admit(h *encap.Header, p *flow.Packet, ep *endpoint) {
	i, r := t.holdSYN(h, p, ep, stateHalfOpen)
	t.admitHeld(ep, i, r)
}

// admitHeld admits the SYN that is held for a flow.
func (t *Table) admitHeld(ep *endpoint, i uint32, r *record) {
	t.acquire(ep, r)
	ep.admission.EarnRetry()
	t.countEvent(EventAdmitted)
	t.deliver(t.heldByRecord[i].packets[0])
	t.wheel.arm(i, t.nowMillis+toMillis(HandshakeTimeout))
}

// enqueue queues a SYN until a slot is free, or refuses it if it would wait too long.
func (t *Table) enqueue(h *encap.Header, p *flow.Packet, ep *endpoint) {
	left := ep.admission.MaxQueueWait() - time.Duration(h.Waited)*encap.WaitedUnit
	if code := ep.admission.CheckQueue(t.expectedWait(h, ep)); code != result.OK {
		t.refuse(p, ep, code)
		return
	}
	if left <= 0 {
		t.refuse(p, ep, result.QueueTimeout)
		return
	}
	i, _ := t.holdSYN(h, p, ep, stateQueued)
	ep.admission.Enqueue(i)
	t.countEvent(EventQueued)
	t.wheel.arm(i, t.nowMillis+toMillis(left))
	t.signalPeers(ep, encap.SignalWaiting)
}

// holdSYN keeps a copy of a SYN and its header in the flow's record, which it adds if there is none.
func (t *Table) holdSYN(h *encap.Header, p *flow.Packet, ep *endpoint, s state) (uint32, *record) {
	k := packKey(p.Key)
	i, r := t.store.find(k)
	if r == nil {
		i, r = t.store.add(k)
		t.stateCounts[stateFree]++
	}
	t.setState(r, s)
	r.service = ep.Service.ID
	r.flags = 0
	r.callerNext = p.TCP.Seq + 1
	r.targetAck = p.TCP.Seq + 1
	r.lastFromCaller, r.lastFromTarget = t.nowMillis, t.nowMillis
	t.heldByRecord[i] = &heldPackets{header: *h, packets: [][]byte{bytes.Clone(p.Raw)}}
	return i, r
}

// serveQueue gives free slots to the SYNs that have waited longest, here or at the agents of peers.
func (t *Table) serveQueue(ep *endpoint) {
	for {
		if t.offerSlot(ep) {
			continue
		}
		i, ok := ep.admission.Dequeue(t.now)
		if !ok {
			return
		}
		r := t.store.at(i)
		t.setState(r, stateHalfOpen)
		t.admitHeld(ep, i, r)
	}
}

// refuseQueue refuses every queued SYN with code.
func (t *Table) refuseQueue(ep *endpoint, code result.Code) {
	for {
		i, ok := ep.admission.FirstQueued()
		if !ok {
			return
		}
		t.refuseQueued(ep, i, t.store.at(i), code)
	}
}

// refuseQueued refuses a queued SYN with code.
func (t *Table) refuseQueued(ep *endpoint, i uint32, r *record, code result.Code) {
	p := t.parse(t.heldByRecord[i].packets[0])
	t.removeQueued(ep, i, r)
	if p != nil {
		t.refuse(p, ep, code)
	}
}

// removeQueued removes a flow whose SYN has not reached the target. The flow does not linger, because a
// recovering agent would conclude from a lingering record that the target does not have the flow.
func (t *Table) removeQueued(ep *endpoint, i uint32, r *record) {
	ep.admission.RemoveQueued(i)
	t.remove(i, r)
}

// queuedPacket handles a packet of a flow whose SYN is queued here: another target has the flow, or in
// recovery this one has it from before the agent's restart.
func (t *Table) queuedPacket(h *encap.Header, p *flow.Packet, ep *endpoint, i uint32, r *record) {
	if p.TCP.Seq-r.callerNext >= attemptWindow {
		t.forwardToNext(h, p.Raw, ep, result.OK)
		return
	}
	t.countEvent(EventISNMismatch)
	t.removeQueued(ep, i, r)
	t.unknownPacket(h, p, ep, nil)
}

// handshakePacket handles a packet of the caller during the handshake.
func (t *Table) handshakePacket(h *encap.Header, p *flow.Packet, ep *endpoint, i uint32, r *record) {
	acksISN := r.state == stateSynAckSeen && p.TCP.ACK && p.TCP.Ack == r.targetNext
	switch {
	case acksISN && p.TCP.RST:
		t.deliver(p.Raw)
		t.linger(ep, i, r)
		t.serveQueue(ep)
	case acksISN:
		t.establish(h, p, ep, i, r)
	case t.recovering && r.state == stateHalfOpen:
		// The target may have the flow from before the agent's restart. Its answer to the SYN will show.
		t.drop(DropSYNPending)
	case p.TCP.ACK:
		t.foreignPacket(h, p, ep, i, r)
	case p.TCP.RST:
		t.handshakeReset(h, p, ep, i, r)
	default:
		t.drop(DropTCPFlags)
	}
}

// establish completes the handshake.
func (t *Table) establish(h *encap.Header, p *flow.Packet, ep *endpoint, i uint32, r *record) {
	delete(t.heldByRecord, i)
	t.setState(r, stateEstablished)
	r.callerAck = p.TCP.Ack
	r.lastFromTarget = t.nowMillis
	t.countEvent(EventEstablished)
	t.wheel.disarm(i)
	t.armCheck(ep, i, r)
	t.establishedPacket(h, p, ep, i, r)
}

// foreignPacket forwards a packet that acknowledges the ISN of another target. If it belongs to the same
// connection attempt, the caller has accepted the SYN-ACK of that target. The handshake here is then
// aborted before this target can answer the caller with a RST.
func (t *Table) foreignPacket(h *encap.Header, p *flow.Packet, ep *endpoint, i uint32, r *record) {
	if p.TCP.Seq-r.callerNext < attemptWindow {
		t.countEvent(EventISNMismatch)
		t.abortHandshake(ep, i, r)
		t.serveQueue(ep)
	}
	t.forwardToNext(h, p.Raw, ep, result.OK)
}

// handshakeReset handles a RST without ACK during the handshake: the caller has no such connection. The
// handshake here ends, and the RST is forwarded because later candidates may have a connection as well.
func (t *Table) handshakeReset(h *encap.Header, p *flow.Packet, ep *endpoint, i uint32, r *record) {
	t.deliver(p.Raw)
	if p.TCP.Seq == r.callerNext {
		t.linger(ep, i, r)
		t.serveQueue(ep)
	}
	t.forwardToNext(h, p.Raw, ep, result.OK)
}

// synAckAnswer handles a SYN-ACK of the target.
func (t *Table) synAckAnswer(p *flow.Packet, ep *endpoint, i uint32, r *record) {
	if p.TCP.Ack != r.callerNext {
		t.drop(DropLateAnswer)
		return
	}
	if r.state == stateHalfOpen {
		ep.admission.HandshakeSucceeded()
		t.setState(r, stateSynAckSeen)
		t.wheel.arm(i, r.startedAt+toMillis(HalfOpenTimeout))
	}
	// The SYN must not go to another candidate any more: from here on the target may run the request.
	delete(t.heldByRecord, i)
	r.targetNext = p.TCP.Seq + 1
	r.lastFromTarget = t.nowMillis
	flow.ClampMSS(p, MaxMSS)
	t.sendToCaller(p.Raw)
}

// handshakeRefused forwards a SYN that the target has answered with a RST.
func (t *Table) handshakeRefused(ep *endpoint, i uint32, r *record) {
	held := t.heldByRecord[i]
	t.linger(ep, i, r)
	t.handshakeFailed(held, ep)
}

// handshakeTimeout forwards a SYN that the target has not answered within HandshakeTimeout.
func (t *Table) handshakeTimeout(ep *endpoint, i uint32, r *record) {
	held := t.heldByRecord[i]
	t.abortHandshake(ep, i, r)
	t.handshakeFailed(held, ep)
}

// handshakeFailed forwards a held SYN if the retry budget allows it, and otherwise refuses it.
func (t *Table) handshakeFailed(held *heldPackets, ep *endpoint) {
	t.countEvent(EventHandshakeFailed)
	suspended := ep.admission.HandshakeFailed(t.now)
	p := t.parse(held.packets[0])
	switch {
	case p == nil:
		t.drop(DropTCPFlags)
	case !ep.admission.SpendRetry():
		t.refuse(p, ep, result.RetryBudgetSpent)
	default:
		t.forwardToNext(&held.header, held.packets[0], ep, result.HandshakeFailed)
	}
	if suspended {
		t.countEvent(EventSuspended)
		t.refuseQueue(ep, result.AdmissionSuspended)
		return
	}
	t.serveQueue(ep)
}

// halfOpenTimeout aborts a handshake that the caller has not completed within HalfOpenTimeout.
func (t *Table) halfOpenTimeout(ep *endpoint, i uint32, r *record) {
	t.countEvent(EventHalfOpenTimeout)
	t.abortHandshake(ep, i, r)
	t.serveQueue(ep)
}
