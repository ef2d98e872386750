// Package admission decides whether a target takes a new flow now, after a short wait, or not at
// all. It contains no clock: time comes in as the duration since the start of the agent.
package admission

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
)

// Limits and defaults.
const (
	// MaxQueue bounds the SYNs that wait at one target.
	MaxQueue = 64
	// GenerationPatience is how long packets may show a newer generation of the service before
	// the target stops admitting: it may have missed its own drain.
	GenerationPatience = 2 * time.Second
	// serviceTimeWeight is the weight of one observation in the mean service time.
	serviceTimeWeight = 1.0 / 8
)

// Limits are the capacity and the policy of one target.
type Limits struct {
	Class        model.FlowClass
	Slots        int
	MaxConns     int
	Ramp         time.Duration
	MaxQueueWait time.Duration
}

// Target is the admission state of one target.
type Target struct {
	limits    Limits
	rampStart time.Duration
	slots     int // taken by known flows
	conns     int
	reserved  int // offered to SYNs that wait at other targets
	reported  report
	closed    Closure

	meanService time.Duration // zero until a flow has ended
	queue       []uint32

	handshakes handshakes
	budget     retryBudget
	generation generationWatch
}

// report is what the last load report of the target says beyond the flows that were known then:
// flows from before a restart of the agent.
type report struct {
	slots, conns int
}

// Closure is a set of reasons for which a target admits nothing.
type Closure uint8

// Reasons for which a target admits nothing.
const (
	// ClosedByControl is set while control lists the target as draining or ejected.
	ClosedByControl Closure = 1 << iota
	// ClosedByTarget is set while the target itself says that it is leaving.
	ClosedByTarget
	// ClosedByJoin is set while control lists the target as joining.
	ClosedByJoin
	// ClosedByStop is set once the agent is stopping.
	ClosedByStop
)

// New returns the state of a target whose ramp starts now.
func New(now time.Duration, limits Limits) *Target {
	return &Target{limits: limits, rampStart: now, budget: newRetryBudget()}
}

// SetLimits changes the limits. Flows beyond new limits keep their slots.
func (t *Target) SetLimits(limits Limits) {
	t.limits = limits
}

// Close sets or clears reasons for which the target admits nothing.
func (t *Target) Close(reason Closure, closed bool) {
	if closed {
		t.closed |= reason
	} else {
		t.closed &^= reason
	}
}

// Restart begins a new ramp because the target process was restarted.
func (t *Target) Restart(now time.Duration) {
	t.rampStart = now
	t.reported = report{}
	t.handshakes = handshakes{ok: t.handshakes.ok}
}

// Report records a load report of the target. It counts only until the ramp has ended, since
// reports lag behind the flows that the agent knows.
func (t *Target) Report(slots, conns int) {
	t.reported = report{slots: max(0, slots-t.slots), conns: max(0, conns-t.conns)}
}

// State is the answer to a request for admission.
type State uint8

// Answers to a request for admission.
const (
	// Free means that the target takes the flow now.
	Free State = iota
	// Busy means that the flow may wait in the queue.
	Busy
	// Closed means that the target takes no flows.
	Closed
)

// State returns whether the target takes a flow now, and the reason if it does not.
func (t *Target) State(now time.Duration) (State, result.Code) {
	if t.closed == ClosedByJoin {
		return Closed, result.TargetJoining
	}
	if t.closed != 0 {
		return Closed, result.TargetDraining
	}
	if t.generation.expired(now) {
		return Closed, result.AdmissionSuspended
	}
	if t.handshakes.suspended(now) {
		return Closed, result.AdmissionSuspended
	}
	if len(t.queue) > 0 || !t.hasRoom(now) {
		return Busy, result.NoFreeSlot
	}
	return Free, result.OK
}

// hasRoom reports whether the limits allow one more flow.
func (t *Target) hasRoom(now time.Duration) bool { return t.room(now) > 0 }

// room returns how many more flows the limits allow.
func (t *Target) room(now time.Duration) int {
	slots, conns := t.inUse(now)
	room := t.allowed(now, t.limits.MaxConns) - conns
	if t.limits.Class == model.ClassRequest {
		room = min(room, t.allowed(now, t.limits.Slots)-slots)
	}
	return max(0, room-t.reserved)
}

// CanTake reports whether the target takes one more flow now, whatever waits in its queue.
func (t *Target) CanTake(now time.Duration) bool {
	return t.closed == 0 && !t.generation.expired(now) && !t.handshakes.suspended(now) && t.hasRoom(now)
}

// Reserve keeps a slot for a flow that has been offered it.
func (t *Target) Reserve() { t.reserved++ }

// Unreserve frees a slot that was kept.
func (t *Target) Unreserve() { t.reserved = max(0, t.reserved-1) }

// inUse returns slots and connections in use. Until the ramp has ended, the target may hold flows
// that a restarted agent does not know yet.
func (t *Target) inUse(now time.Duration) (slots, conns int) {
	if t.ramping(now) {
		return t.slots + t.reported.slots, t.conns + t.reported.conns
	}
	return t.slots, t.conns
}

func (t *Target) ramping(now time.Duration) bool {
	return now-t.rampStart < t.limits.Ramp
}

// allowed returns the part of a capacity that the ramp allows, rounded up.
func (t *Target) allowed(now time.Duration, capacity int) int {
	if !t.ramping(now) {
		return capacity
	}
	elapsed, ramp := int64(now-t.rampStart), int64(t.limits.Ramp)
	// Microseconds keep the product below 2^63 for ramps of hours and any capacity.
	elapsed, ramp = elapsed/1e3, max(ramp/1e3, 1)
	return min(capacity, max(1, int((int64(capacity)*elapsed+ramp-1)/ramp)))
}

// Take counts a flow. A recovered flow counts even beyond the limits, since the target has it.
func (t *Target) Take() {
	t.conns++
	if t.limits.Class == model.ClassRequest {
		t.slots++
	}
}

// Admitted adds to the retry budget for a flow that was admitted rather than recovered.
func (t *Target) Admitted() {
	t.budget.earn()
}

// Release ends a flow. Its duration is part of the mean service time if it was established.
func (t *Target) Release(duration time.Duration, established bool) {
	t.conns = max(0, t.conns-1)
	t.slots = max(0, t.slots-1)
	if !established {
		return
	}
	if t.meanService == 0 {
		t.meanService = duration
		return
	}
	t.meanService += time.Duration(float64(duration-t.meanService) * serviceTimeWeight)
}

// InUse returns the slots and connections that known flows take.
func (t *Target) InUse() (slots, conns int) {
	return t.slots, t.conns
}

// MaxQueueWait returns the bound of the time in the queue; zero means that no SYN waits.
func (t *Target) MaxQueueWait() time.Duration {
	return t.limits.MaxQueueWait
}
