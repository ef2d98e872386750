package flowtable

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/admission"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/result"
)

// queueCheck is how often SYNs that wait here or elsewhere are looked at while nothing else happens:
// the ramp or the end of a suspension may make room, and an offer of a slot may be lost.
const queueCheck = 20 * time.Millisecond

// Tick handles what is due at now.
func (t *Table) Tick(now time.Duration) []Action {
	t.begin(now)
	t.ticked = now
	t.wheel.advance(t.millis, t.fire)
	for _, ep := range t.endpoints {
		t.checkQueue(ep)
		if left, ok := t.drainLeft(ep); ok && left <= 0 {
			ep.drained = true
			t.resetAll(ep)
		}
	}
	return t.actions
}

// checkQueue admits waiting SYNs, or refuses them if the target admits nothing any more.
func (t *Table) checkQueue(ep *endpoint) {
	if ep.admission.Queued() > 0 {
		if state, code := ep.admission.State(t.now); state == admission.Closed {
			t.refuseQueue(ep, code)
			return
		}
	}
	if ep.admission.Queued()+len(ep.pool.waiters)+len(ep.pool.offers) > 0 {
		t.serveQueue(ep)
	}
}

// drainLeft returns the time until the flows of a draining target are reset.
func (t *Table) drainLeft(ep *endpoint) (time.Duration, bool) {
	if !ep.draining || ep.drained || ep.Service.DrainTimeout <= 0 {
		return 0, false
	}
	return ep.drainedAt + ep.Service.DrainTimeout - t.now, true
}

// Next returns the time until Tick has something to do, or zero if that time has come.
func (t *Table) Next(now time.Duration) (time.Duration, bool) {
	t.now = now
	steps, ok := t.wheel.next()
	wait := time.Duration(0)
	if ok {
		due := time.Duration((t.wheel.current+steps)<<wheelStepBits) * time.Millisecond
		wait = time.Duration(int32(ms(due)-millis(now/time.Millisecond))) * time.Millisecond
	}
	for _, ep := range t.endpoints {
		if left := t.ticked + queueCheck - now; ep.admission.Queued()+len(ep.pool.waiters) > 0 && (!ok || wait > left) {
			wait, ok = left, true
		}
		if left, draining := t.drainLeft(ep); draining && (!ok || wait > left) {
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
		t.giveUp(ep, i, r, result.QueueTimeout)
	case stateHalfOpen:
		t.handshakeTimeout(ep, i, r)
	case stateSynAckSeen:
		t.halfOpenTimeout(ep, i, r)
	case stateProbing:
		t.probeUnanswered(i, r)
	case stateEstablished, stateClosing:
		t.check(ep, i, r)
	case stateClosed:
		t.linger(ep, i, r)
	case stateLingering:
		t.forget(i, r)
	}
}

// forget removes an ended flow. In recovery a flow that still passes by is remembered, so that the
// target is not asked for it again.
func (t *Table) forget(i uint32, r *record) {
	if left := ms(ClosedLinger) - (t.millis - r.lastCaller); t.recovering && int32(left) > 0 {
		t.wheel.arm(i, t.millis+left)
		return
	}
	t.remove(i, r)
}

// remove frees the record of a flow.
func (t *Table) remove(i uint32, r *record) {
	t.wheel.disarm(i)
	delete(t.pending, i)
	t.counts[r.state]--
	t.store.remove(i)
}

// check looks at an established flow whose timer has fired.
func (t *Table) check(ep *endpoint, i uint32, r *record) {
	switch {
	case r.has(flagUnconfirmed):
		t.checkUnconfirmed(i, r)
		return
	case r.has(flagTargetFIN|flagAdopted) && r.probesTarget >= targetProbes:
		t.end(ep, i, r)
		return
	case !ep.present && t.quiet(r) >= ms(orphanIdle):
		t.end(ep, i, r)
		return
	}
	if r.has(flagCheckTarget) || t.targetLeft(r) <= 0 && r.has(flagTargetFIN|flagAdopted) {
		r.clear(flagCheckTarget)
		t.probeTarget(r)
	}
	if t.checkSilence(ep, i, r) {
		return
	}
	t.watch(ep, i, r)
}

// quiet returns the time since the last packet of either end.
func (t *Table) quiet(r *record) millis {
	return min(t.millis-r.lastCaller, t.millis-r.lastTarget)
}

// targetLeft returns the time until a target whose connection may have ended is checked.
func (t *Table) targetLeft(r *record) int32 {
	return int32(ms(targetIdle) - min(t.millis-r.lastTarget, t.millis-r.probedTarget))
}

// watch arms the timer of an established flow for whatever comes first.
func (t *Table) watch(ep *endpoint, i uint32, r *record) {
	wait, armed := t.silenceWait(ep, r)
	consider := func(left int32) {
		// What is already due is handled at the next step.
		if w := millis(max(left, 1)); !armed || w < wait {
			wait, armed = w, true
		}
	}
	if r.has(flagCheckTarget) {
		consider(int32(ms(checkWait)))
	}
	if r.has(flagTargetFIN | flagAdopted) {
		consider(t.targetLeft(r))
	}
	if !ep.present {
		consider(int32(ms(orphanIdle) - t.quiet(r)))
	}
	if armed {
		t.wheel.arm(i, t.millis+wait)
	}
}

// resetAll resets the flows of an endpoint at both ends.
func (t *Table) resetAll(ep *endpoint) {
	t.store.each(func(i uint32, r *record) {
		if r.service != ep.Service.ID {
			return
		}
		switch r.state {
		case stateEstablished, stateClosing, stateSynAckSeen:
			t.note(EventBrokenDrain)
			t.resetBoth(r)
			t.release(ep, r, true)
			t.linger(ep, i, r)
		}
	})
}

// resetBoth resets a flow at both ends. Each RST has the sequence number that its end expects.
func (t *Table) resetBoth(r *record) {
	k := r.key.unpack()
	t.abortTarget(r)
	seq := r.callerAck
	if r.state == stateSynAckSeen {
		seq = r.targetNext
	}
	t.sendCaller(build(flow.Segment{From: k.Service, To: k.Caller, Seq: seq, RST: true}))
}
