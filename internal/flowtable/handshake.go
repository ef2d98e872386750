package flowtable

import (
	"bytes"
	"time"

	"github.com/greengagelock/greengagelock/internal/admission"
	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/result"
)

// syn handles a SYN: a request for admission, or the retransmission of one.
func (t *Table) syn(h *encap.Header, p *flow.Packet, ep *endpoint, i uint32, r *record) {
	if len(p.Payload) > 0 {
		t.drop(DropSYNData)
		return
	}
	if r != nil {
		if r.service == h.Service && t.abortedAttempt(p, r) {
			t.passOn(h, p.Raw, ep, result.HandshakeFailed)
			return
		}
		if r.service == h.Service && t.repeatedSYN(p, r) {
			return
		}
		t.abandon(i, r)
	}
	if t.takesOffer(h, ep) {
		t.open(h, p, ep)
		return
	}
	if h.Final {
		t.finalSYN(h, p, ep)
		return
	}
	state, code := ep.admission.State(t.now)
	switch state {
	case admission.Free:
		t.open(h, p, ep)
	case admission.Busy:
		t.stamp(h, ep)
		t.passOn(h, p.Raw, ep, code)
	default:
		t.passOn(h, p.Raw, ep, code)
	}
}

// abortedAttempt reports whether a SYN repeats an attempt that was aborted here. A slow target may
// still answer the first SYN. The caller would take that answer, and the target would end the
// connection when it comes to the RST.
func (t *Table) abortedAttempt(p *flow.Packet, r *record) bool {
	return r.state == stateLingering && r.has(flagAborted) && p.TCP.Seq+1 == r.callerNext
}

// repeatedSYN handles a SYN of a flow that this agent has already, and reports false for a SYN that
// starts a new flow with the same ports.
func (t *Table) repeatedSYN(p *flow.Packet, r *record) bool {
	same := p.TCP.Seq+1 == r.callerNext
	switch r.state {
	case stateQueued:
		if same {
			t.drop(DropSYNQueued)
		}
		return same
	case stateHalfOpen, stateSynAckSeen, stateProbing, stateEstablished, stateClosing:
		// A SYN with another sequence number may be a late duplicate of an earlier flow. The target
		// answers it with a challenge ACK, and a caller that has lost the flow resets it.
		t.deliver(p.Raw)
		return true
	default:
		return false
	}
}

// abandon ends what is left of an earlier flow with the same ports.
func (t *Table) abandon(i uint32, r *record) {
	if r.state == stateLingering {
		return
	}
	old := t.endpoints[r.service]
	switch r.state {
	case stateQueued:
		t.leaveQueue(old, i, r)
		return
	case stateClosed:
	default:
		t.abortTarget(r)
	}
	t.linger(old, i, r)
}

// abortTarget resets the connection at the target.
func (t *Table) abortTarget(r *record) {
	k := r.key.unpack()
	seq := r.targetAck
	t.deliver(build(flow.Segment{From: k.Caller, To: k.Service, Seq: seq, RST: true}))
}

// abort ends an attempt whose handshake is not complete.
func (t *Table) abort(ep *endpoint, i uint32, r *record) {
	t.abortTarget(r)
	t.linger(ep, i, r)
	r.set(flagAborted)
}

// open sends a SYN to the target and takes its slot.
func (t *Table) open(h *encap.Header, p *flow.Packet, ep *endpoint) {
	i, r := t.hold(h, p, ep, stateHalfOpen)
	t.connect(ep, i, r)
}

// connect delivers the SYN of a flow that is held.
func (t *Table) connect(ep *endpoint, i uint32, r *record) {
	t.take(ep, r)
	ep.admission.Admitted()
	t.note(EventAdmitted)
	t.deliver(t.pending[i].packets[0])
	t.wheel.arm(i, t.millis+ms(HandshakeTimeout))
}

// enqueue lets a SYN wait for a slot, or refuses it at once.
func (t *Table) enqueue(h *encap.Header, p *flow.Packet, ep *endpoint) {
	left := ep.admission.MaxQueueWait() - time.Duration(h.Waited)*encap.WaitedUnit
	if code := ep.admission.QueueState(t.expectedWait(h, ep)); code != result.OK {
		t.refuse(p, ep, code)
		return
	}
	if left <= 0 {
		t.refuse(p, ep, result.QueueTimeout)
		return
	}
	i, _ := t.hold(h, p, ep, stateQueued)
	ep.admission.Enqueue(i)
	t.note(EventQueued)
	t.wheel.arm(i, t.millis+ms(left))
	t.signalPeers(ep, encap.SignalWaiting)
}

// hold keeps a copy of a SYN with its header.
func (t *Table) hold(h *encap.Header, p *flow.Packet, ep *endpoint, s state) (uint32, *record) {
	k := pack(p.Key)
	i, r := t.store.find(k)
	if r == nil {
		i, r = t.store.add(k)
		t.counts[stateFree]++
	}
	t.setState(r, s)
	r.service = ep.Service.ID
	r.flags = 0
	r.callerNext = p.TCP.Seq + 1
	r.targetAck = p.TCP.Seq + 1
	r.lastCaller, r.lastTarget = t.millis, t.millis
	t.pending[i] = &pending{header: *h, packets: [][]byte{bytes.Clone(p.Raw)}}
	return i, r
}

// serveQueue gives free slots to the SYNs that have waited longest, here or at other agents.
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
		t.connect(ep, i, r)
	}
}

// refuseQueue refuses every waiting SYN, because none of them can be admitted in time.
func (t *Table) refuseQueue(ep *endpoint, code result.Code) {
	for {
		i, ok := ep.admission.Waiting()
		if !ok {
			return
		}
		t.giveUp(ep, i, t.store.at(i), code)
	}
}

// giveUp refuses a SYN that is held.
func (t *Table) giveUp(ep *endpoint, i uint32, r *record, code result.Code) {
	p := t.parse(t.pending[i].packets[0])
	t.leaveQueue(ep, i, r)
	if p != nil {
		t.refuse(p, ep, code)
	}
}

// leaveQueue forgets a flow whose SYN has not reached the target. It does not linger: a recovering
// agent takes a lingering flow as one that the target does not have.
func (t *Table) leaveQueue(ep *endpoint, i uint32, r *record) {
	ep.admission.Abandon(i)
	t.remove(i, r)
}

// queuedPacket handles a packet of a flow whose SYN waits here: the flow belongs to another target,
// or in recovery to this one from before the restart.
func (t *Table) queuedPacket(h *encap.Header, p *flow.Packet, ep *endpoint, i uint32, r *record) {
	if p.TCP.Seq-r.callerNext >= attemptWindow {
		t.passOn(h, p.Raw, ep, result.OK)
		return
	}
	t.note(EventISNMismatch)
	t.leaveQueue(ep, i, r)
	t.unknown(h, p, ep, nil)
}

// handshakePacket handles a packet of the caller while the handshake is not complete.
func (t *Table) handshakePacket(h *encap.Header, p *flow.Packet, ep *endpoint, i uint32, r *record) {
	ours := r.state == stateSynAckSeen && p.TCP.ACK && p.TCP.Ack == r.targetNext
	switch {
	case ours && p.TCP.RST:
		t.deliver(p.Raw)
		t.linger(ep, i, r)
		t.serveQueue(ep)
	case ours:
		t.establish(h, p, ep, i, r)
	case t.recovering && r.state == stateHalfOpen:
		// The target may have the flow from before the restart. Its answer to the SYN will tell.
		t.drop(DropSYNPending)
	case p.TCP.ACK:
		t.foreign(h, p, ep, i, r)
	case p.TCP.RST:
		t.resetAttempt(h, p, ep, i, r)
	default:
		t.drop(DropMalformed)
	}
}

// establish completes the handshake.
func (t *Table) establish(h *encap.Header, p *flow.Packet, ep *endpoint, i uint32, r *record) {
	delete(t.pending, i)
	t.setState(r, stateEstablished)
	r.callerAck = p.TCP.Ack
	r.lastTarget = t.millis
	t.note(EventEstablished)
	t.wheel.disarm(i)
	t.watch(ep, i, r)
	t.fromCaller(h, p, ep, i, r)
}

// foreign passes on a packet that acknowledges the ISN of another target. A packet of the same
// connection attempt shows that the caller has chosen that target, so the connection here is
// aborted before the target can answer the caller with a RST.
func (t *Table) foreign(h *encap.Header, p *flow.Packet, ep *endpoint, i uint32, r *record) {
	if p.TCP.Seq-r.callerNext < attemptWindow {
		t.note(EventISNMismatch)
		t.abort(ep, i, r)
		t.serveQueue(ep)
	}
	t.passOn(h, p.Raw, ep, result.OK)
}

// resetAttempt handles a RST without ACK: the caller has no such connection. The attempt here ends,
// and later candidates may hold a connection as well.
func (t *Table) resetAttempt(h *encap.Header, p *flow.Packet, ep *endpoint, i uint32, r *record) {
	t.deliver(p.Raw)
	if p.TCP.Seq == r.callerNext {
		t.linger(ep, i, r)
		t.serveQueue(ep)
	}
	t.passOn(h, p.Raw, ep, result.OK)
}

// synAck handles the SYN-ACK of the target.
func (t *Table) synAck(p *flow.Packet, ep *endpoint, i uint32, r *record) {
	if p.TCP.Ack != r.callerNext {
		t.drop(DropLateAnswer)
		return
	}
	if r.state == stateHalfOpen {
		ep.admission.HandshakeOK()
		t.setState(r, stateSynAckSeen)
		t.wheel.arm(i, r.takenAt+ms(HalfOpenTimeout))
	}
	// The SYN is not passed on any more: the target may run the request from here on.
	delete(t.pending, i)
	r.targetNext = p.TCP.Seq + 1
	r.lastTarget = t.millis
	flow.ClampMSS(p, ClampMSS)
	t.sendCaller(p.Raw)
}

// handshakeRefused passes a SYN on that the target has refused.
func (t *Table) handshakeRefused(ep *endpoint, i uint32, r *record) {
	held := t.pending[i]
	t.linger(ep, i, r)
	t.handshakeFailed(held, ep)
}

// handshakeTimeout passes a SYN on that the target has not answered in time.
func (t *Table) handshakeTimeout(ep *endpoint, i uint32, r *record) {
	held := t.pending[i]
	t.abort(ep, i, r)
	t.handshakeFailed(held, ep)
}

func (t *Table) handshakeFailed(held *pending, ep *endpoint) {
	t.note(EventHandshakeFailed)
	suspended := ep.admission.HandshakeFailed(t.now)
	p := t.parse(held.packets[0])
	switch {
	case p == nil:
		t.drop(DropMalformed)
	case !ep.admission.SpendRetry():
		t.refuse(p, ep, result.RetryBudgetSpent)
	default:
		t.passOn(&held.header, held.packets[0], ep, result.HandshakeFailed)
	}
	if suspended {
		t.note(EventSuspended)
		t.refuseQueue(ep, result.AdmissionSuspended)
		return
	}
	t.serveQueue(ep)
}

// halfOpenTimeout aborts a flow whose caller has not completed the handshake.
func (t *Table) halfOpenTimeout(ep *endpoint, i uint32, r *record) {
	t.note(EventHalfOpenTimeout)
	t.abort(ep, i, r)
	t.serveQueue(ep)
}
