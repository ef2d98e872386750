package flowtable

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/model"
)

// probeWindow is the window in a probe. A probe lies before the expected sequence number, so that
// its receiver answers it and ignores its window.
const probeWindow = 1024

// acknowledged records that the caller has acknowledged new data.
func (t *Table) acknowledged(r *record) {
	if after(r.targetNext, r.callerAck) {
		r.unackedAt = t.millis
		return
	}
	r.clear(flagUnacked)
}

// silenceLimit is the time without acknowledgement after which a flow counts as broken.
func silenceLimit(s model.Silence) millis {
	return ms(s.Idle + time.Duration(s.Count)*s.Interval)
}

// end of a flow, as the silence check sees it.
type end struct {
	last, probed millis
	probes       uint8
}

// due returns the time until the end needs a probe, or the verdict after its last one. It is not
// positive if that time has passed.
func (e end) due(now millis, s model.Silence) int32 {
	if e.probes == 0 {
		return int32(e.last + ms(s.Idle) - now)
	}
	// The time since the last probe counts, not that since the last packet: after a pause of the
	// agent the ends must have time to answer.
	return int32(e.probed + ms(s.Interval) - now)
}

func (r *record) callerEnd() end { return end{r.lastCaller, r.probedCaller, r.probesCaller} }

func (r *record) targetEnd() end { return end{r.lastTarget, r.probedTarget, r.probesTarget} }

// silenceWait returns the time until checkSilence has something to do.
func (t *Table) silenceWait(ep *endpoint, r *record) (wait millis, ok bool) {
	s := ep.Service.Silence
	if !s.Enabled {
		return 0, false
	}
	left := min(r.callerEnd().due(t.millis, s), r.targetEnd().due(t.millis, s))
	if r.has(flagUnacked) && !r.has(flagZeroWindow) {
		left = min(left, int32(r.unackedAt+silenceLimit(s)-t.millis))
	}
	return millis(max(left, 1)), true
}

// checkSilence probes the ends that have sent nothing for too long, and resets the flow if one of
// them has not answered. It reports whether it has reset the flow.
func (t *Table) checkSilence(ep *endpoint, i uint32, r *record) bool {
	s := ep.Service.Silence
	if !s.Enabled {
		return false
	}
	caller, target := r.callerEnd(), r.targetEnd()
	callerDue, targetDue := caller.due(t.millis, s) <= 0, target.due(t.millis, s) <= 0
	unacked := r.has(flagUnacked) && !r.has(flagZeroWindow) && t.millis-r.unackedAt >= silenceLimit(s)
	silent := callerDue && int(caller.probes) >= s.Count || targetDue && int(target.probes) >= s.Count
	if unacked || silent {
		t.breakSilent(ep, i, r)
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

// breakSilent resets a flow that one end or the path has lost.
func (t *Table) breakSilent(ep *endpoint, i uint32, r *record) {
	t.note(EventBrokenSilence)
	t.resetBoth(r)
	t.end(ep, i, r)
}

// probeCaller sends a keep-alive probe to the caller.
func (t *Table) probeCaller(r *record) {
	r.probesCaller++
	r.probedCaller = t.millis
	k := r.key.unpack()
	t.note(EventSilenceProbe)
	t.sendCaller(build(flow.Segment{
		From: k.Service, To: k.Caller, Seq: r.callerAck - 1, Ack: r.targetAck, ACK: true, Window: probeWindow,
	}))
}

// probeTarget sends a keep-alive probe to the target.
func (t *Table) probeTarget(r *record) {
	r.probesTarget++
	r.probedTarget = t.millis
	k := r.key.unpack()
	t.note(EventSilenceProbe)
	t.deliver(build(flow.Segment{
		From: k.Caller, To: k.Service, Seq: r.targetAck - 1, Ack: r.callerAck, ACK: true, Window: probeWindow,
	}))
}
