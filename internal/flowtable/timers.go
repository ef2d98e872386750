package flowtable

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/admission"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/result"
)

// queueCheckInterval is how often the queue is served while no other call does so: the ramp or the end of
// a suspension may free a slot, and the offer of a slot may be lost.
const queueCheckInterval = 20 * time.Millisecond

// Tick fires the timers that are due at now, serves the queues, and enforces the drain deadline.
func (t *Table) Tick(now time.Duration) []Action {
	t.begin(now)
	t.lastTick = now
	t.wheel.advance(t.nowMillis, t.fire)
	for _, ep := range t.endpoints {
		t.checkQueue(ep)
		if left, ok := t.untilDrainDeadline(ep); ok && left <= 0 {
			ep.drainExpired = true
			t.resetFlows(ep)
		}
	}
	return t.actions
}

// checkQueue serves the queue of an endpoint, or refuses it if admission is closed.
func (t *Table) checkQueue(ep *endpoint) {
	if ep.admission.QueueLength() > 0 {
		if state, code := ep.admission.State(t.now); state == admission.Closed {
			t.refuseQueue(ep, code)
			return
		}
	}
	if ep.admission.QueueLength()+len(ep.peerQueues.waiters)+len(ep.peerQueues.offerDeadlines) > 0 {
		t.serveQueue(ep)
	}
}

// untilDrainDeadline returns the time until the flows of a draining target are reset, and false if there
// is no deadline or the flows were reset already.
func (t *Table) untilDrainDeadline(ep *endpoint) (time.Duration, bool) {
	if !ep.draining || ep.drainExpired || ep.Service.DrainTimeout <= 0 {
		return 0, false
	}
	return ep.drainStart + ep.Service.DrainTimeout - t.now, true
}

// Next returns the time until Tick is due, at least zero. It reports false if Tick is not needed.
func (t *Table) Next(now time.Duration) (time.Duration, bool) {
	t.now = now
	steps, ok := t.wheel.next()
	wait := time.Duration(0)
	if ok {
		due := time.Duration((t.wheel.currentStep+steps)<<wheelStepBits) * time.Millisecond
		wait = time.Duration(int32(toMillis(due)-millis(now/time.Millisecond))) * time.Millisecond
	}
	for _, ep := range t.endpoints {
		if left := t.lastTick + queueCheckInterval - now; ep.admission.QueueLength()+len(ep.peerQueues.waiters) > 0 && (!ok || wait > left) {
			wait, ok = left, true
		}
		if left, draining := t.untilDrainDeadline(ep); draining && (!ok || wait > left) {
			wait, ok = left, true
		}
	}
	return max(wait, 0), ok
}

// fire handles the timer of a flow.
func (t *Table) fire(i uint32) {
	r := t.store.at(i)
	ep := t.endpoints[r.service]
	switch r.state {
	case stateQueued:
		t.refuseQueued(ep, i, r, result.QueueTimeout)
	case stateHalfOpen:
		t.handshakeTimeout(ep, i, r)
	case stateSynAckSeen:
		t.halfOpenTimeout(ep, i, r)
	case stateProbing:
		t.probeUnanswered(i, r)
	case stateEstablished, stateClosing:
		t.checkEstablished(ep, i, r)
	case stateClosed:
		t.linger(ep, i, r)
	case stateLingering:
		t.forget(i, r)
	}
}

// forget removes a lingering flow. In recovery the record stays while packets of the flow arrive, so that
// the target is not probed for it again.
func (t *Table) forget(i uint32, r *record) {
	if left := toMillis(LingerDuration) - (t.nowMillis - r.lastFromCaller); t.recovering && int32(left) > 0 {
		t.wheel.arm(i, t.nowMillis+left)
		return
	}
	t.remove(i, r)
}

// remove frees the record of a flow with its timer and held packets.
func (t *Table) remove(i uint32, r *record) {
	t.wheel.disarm(i)
	delete(t.heldByRecord, i)
	t.stateCounts[r.state]--
	t.store.remove(i)
}

// checkEstablished handles the timer of an established flow: it ends the flow, probes its ends, or arms
// the timer again.
func (t *Table) checkEstablished(ep *endpoint, i uint32, r *record) {
	switch {
	case r.has(flagUnconfirmed):
		t.checkUnconfirmed(i, r)
		return
	case r.has(flagTargetFIN|flagAdopted) && r.targetProbes >= maxTargetProbes:
		t.endFlow(ep, i, r)
		return
	case !ep.present && t.idleTime(r) >= toMillis(orphanIdleTimeout):
		t.endFlow(ep, i, r)
		return
	}
	if r.has(flagCheckTarget) || t.untilTargetCheck(r) <= 0 && r.has(flagTargetFIN|flagAdopted) {
		r.clear(flagCheckTarget)
		t.probeTarget(r)
	}
	if t.checkSilence(ep, i, r) {
		return
	}
	t.armCheck(ep, i, r)
}

// idleTime returns the time since the last packet of either end.
func (t *Table) idleTime(r *record) millis {
	return min(t.nowMillis-r.lastFromCaller, t.nowMillis-r.lastFromTarget)
}

// untilTargetCheck returns the time in milliseconds until a target that may have lost the connection is
// probed. It is zero or negative if that time has passed.
func (t *Table) untilTargetCheck(r *record) int32 {
	return int32(toMillis(targetCheckInterval) - min(t.nowMillis-r.lastFromTarget, t.nowMillis-r.targetProbedAt))
}

// armCheck arms the timer of an established flow for the first of its pending checks.
func (t *Table) armCheck(ep *endpoint, i uint32, r *record) {
	wait, armed := t.untilSilenceCheck(ep, r)
	consider := func(left int32) {
		// A check that is already due runs in the next step of the wheel.
		if w := millis(max(left, 1)); !armed || w < wait {
			wait, armed = w, true
		}
	}
	if r.has(flagCheckTarget) {
		consider(int32(toMillis(resetCheckDelay)))
	}
	if r.has(flagTargetFIN | flagAdopted) {
		consider(t.untilTargetCheck(r))
	}
	if !ep.present {
		consider(int32(toMillis(orphanIdleTimeout) - t.idleTime(r)))
	}
	if armed {
		t.wheel.arm(i, t.nowMillis+wait)
	}
}

// resetFlows resets the flows of an endpoint at both ends, at the drain deadline.
func (t *Table) resetFlows(ep *endpoint) {
	t.store.each(func(i uint32, r *record) {
		if r.service != ep.Service.ID {
			return
		}
		switch r.state {
		case stateEstablished, stateClosing, stateSynAckSeen:
			t.countEvent(EventBrokenDrain)
			t.resetBoth(r)
			t.release(ep, r, true)
			t.linger(ep, i, r)
		}
	})
}

// resetBoth sends a RST to both ends of a flow, each with the sequence number that the end expects.
func (t *Table) resetBoth(r *record) {
	k := r.key.unpack()
	t.resetTarget(r)
	seq := r.callerAck
	if r.state == stateSynAckSeen {
		seq = r.targetNext
	}
	t.sendToCaller(mustBuild(flow.Segment{From: k.Service, To: k.Caller, Seq: seq, RST: true}))
}
