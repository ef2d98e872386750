package flowtable

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/model"
)

// probeWindow is the receive window in a keep-alive probe. The sequence number of a probe is before the
// expected one, so its receiver answers it and ignores the window.
const probeWindow = 1024

// callerAcknowledged records that the caller has acknowledged new data.
func (t *Table) callerAcknowledged(r *record) {
	if seqAfter(r.targetNext, r.callerAck) {
		r.unackedAt = t.nowMillis
		return
	}
	r.clear(flagUnacked)
}

// silenceLimit returns the time without acknowledgement after which a flow counts as broken.
func silenceLimit(s model.Silence) millis {
	return toMillis(s.Idle + time.Duration(s.Count)*s.Interval)
}

// side is the caller or the target of a flow in the silence check.
type side struct {
	lastPacketAt, probedAt millis
	probes                 uint8
}

// untilProbe returns the time in milliseconds until the side is due for a probe or, after the last probe,
// counts as silent. It is zero or negative if that time has passed.
func (e side) untilProbe(now millis, s model.Silence) int32 {
	if e.probes == 0 {
		return int32(e.lastPacketAt + toMillis(s.Idle) - now)
	}
	// The interval starts at the last probe, not at the last packet, so that the side has time to answer
	// after a pause of the agent.
	return int32(e.probedAt + toMillis(s.Interval) - now)
}

func (r *record) callerSide() side { return side{r.lastFromCaller, r.callerProbedAt, r.callerProbes} }

func (r *record) targetSide() side { return side{r.lastFromTarget, r.targetProbedAt, r.targetProbes} }

// untilSilenceCheck returns the time until checkSilence has something to do.
func (t *Table) untilSilenceCheck(ep *endpoint, r *record) (wait millis, ok bool) {
	s := ep.Service.Silence
	if !s.Enabled {
		return 0, false
	}
	left := min(r.callerSide().untilProbe(t.nowMillis, s), r.targetSide().untilProbe(t.nowMillis, s))
	if r.has(flagUnacked) && !r.has(flagZeroWindow) {
		left = min(left, int32(r.unackedAt+silenceLimit(s)-t.nowMillis))
	}
	return millis(max(left, 1)), true
}

// checkSilence probes each side that has been silent too long. It resets the flow, and reports true, if a
// side has not answered its probes or the caller has not acknowledged data in time.
func (t *Table) checkSilence(ep *endpoint, i uint32, r *record) bool {
	s := ep.Service.Silence
	if !s.Enabled {
		return false
	}
	caller, target := r.callerSide(), r.targetSide()
	callerDue, targetDue := caller.untilProbe(t.nowMillis, s) <= 0, target.untilProbe(t.nowMillis, s) <= 0
	unacked := r.has(flagUnacked) && !r.has(flagZeroWindow) && t.nowMillis-r.unackedAt >= silenceLimit(s)
	silent := callerDue && int(caller.probes) >= s.Count || targetDue && int(target.probes) >= s.Count
	if unacked || silent {
		t.resetSilent(ep, i, r)
		return true
	}
	if callerDue {
		t.probeCaller(r)
	}
	if targetDue {
		t.probeTarget(r)
	}
	return false
}

// resetSilent resets a flow that one side or the path has lost, as the silence check found.
func (t *Table) resetSilent(ep *endpoint, i uint32, r *record) {
	t.countEvent(EventBrokenSilence)
	t.resetBoth(r)
	t.endFlow(ep, i, r)
}

// probeCaller sends a keep-alive probe to the caller.
func (t *Table) probeCaller(r *record) {
	r.callerProbes++
	r.callerProbedAt = t.nowMillis
	k := r.key.unpack()
	t.countEvent(EventSilenceProbe)
	t.sendToCaller(mustBuild(flow.Segment{
		From: k.Service, To: k.Caller, Seq: r.callerAck - 1, Ack: r.targetAck, ACK: true, Window: probeWindow,
	}))
}

// probeTarget sends a keep-alive probe to the target.
func (t *Table) probeTarget(r *record) {
	r.targetProbes++
	r.targetProbedAt = t.nowMillis
	k := r.key.unpack()
	t.countEvent(EventSilenceProbe)
	t.deliver(mustBuild(flow.Segment{
		From: k.Caller, To: k.Service, Seq: r.targetAck - 1, Ack: r.callerAck, ACK: true, Window: probeWindow,
	}))
}
