// Package admission decides whether a target accepts a new flow now, after a wait in its queue, or not
// at all. It reads no clock: callers pass the time since the start of the agent.
package admission

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
)

// Limits and defaults.
const (
	// MaxQueue is the largest number of SYNs in the queue of one target.
	MaxQueue = 64
	// GenerationTimeout is how long packets may carry a newer generation of the service than the
	// control plane has delivered. After that the target stops admitting, because the missed view may
	// have been its own drain.
	GenerationTimeout = 2 * time.Second
	// serviceTimeWeight is the weight of one observation in the mean service time.
	serviceTimeWeight = 1.0 / 8
)

// Limits holds the capacity of one target and the admission settings of its service.
type Limits struct {
	Class        model.FlowClass
	Slots        int
	MaxConns     int
	Ramp         time.Duration // over which the capacity rises to its full value after a start
	MaxQueueWait time.Duration // zero: SYNs are never queued
}

// Target holds the admission state of one target.
type Target struct {
	limits        Limits
	rampStart     time.Duration
	usedSlots     int // of known flows
	usedConns     int
	reservedSlots int // offered to SYNs queued at other targets
	unknown       unknownLoad
	closeReasons  CloseReason

	meanServiceTime time.Duration // zero until a flow has ended
	queue           []uint32

	handshakes handshakes
	budget     retryBudget
	generation generationWatch
}

// unknownLoad is the load of flows that the target reports but the agent does not know: flows from
// before a restart of the agent.
type unknownLoad struct {
	slots, conns int
}

// CloseReason is a set of reasons why a target admits no flows.
type CloseReason uint8

// Reasons why a target admits no flows.
const (
	// ClosedByControl is set while the view lists the target as draining or ejected.
	ClosedByControl CloseReason = 1 << iota
	// ClosedByTarget is set while the target reports that it is draining.
	ClosedByTarget
	// ClosedByJoin is set while the view lists the target as joining.
	ClosedByJoin
	// ClosedByStop is set when the agent begins to stop.
	ClosedByStop
)

// New returns an idle target whose ramp starts now.
func New(now time.Duration, limits Limits) *Target {
	return &Target{limits: limits, rampStart: now, budget: newRetryBudget()}
}

// SetLimits changes the limits. Open flows beyond lower limits keep their slots.
func (t *Target) SetLimits(limits Limits) {
	t.limits = limits
}

// SetClosed sets or clears reasons why the target admits no flows.
func (t *Target) SetClosed(reason CloseReason, closed bool) {
	if closed {
		t.closeReasons |= reason
	} else {
		t.closeReasons &^= reason
	}
}

// TargetRestarted starts a new ramp after a restart of the target process and clears reported load, handshake
// failures and a suspension.
func (t *Target) TargetRestarted(now time.Duration) {
	t.rampStart = now
	t.unknown = unknownLoad{}
	t.handshakes = handshakes{ok: t.handshakes.ok}
}

// SetReportedLoad records the slots and connections in use that the target reports. Load beyond the known flows
// counts only during the ramp, since reports lag behind the flows that the agent knows.
func (t *Target) SetReportedLoad(slots, conns int) {
	t.unknown = unknownLoad{slots: max(0, slots-t.usedSlots), conns: max(0, conns-t.usedConns)}
}

// State says whether a target accepts a new flow.
type State uint8

// States of a target.
const (
	// Free means that the target accepts a flow now.
	Free State = iota
	// Busy means that all capacity is in use; a flow may wait in the queue.
	Busy
	// Closed means that the target accepts no flows.
	Closed
)

// State reports whether the target accepts a flow now, and the result code if it does not.
func (t *Target) State(now time.Duration) (State, result.Code) {
	if t.closeReasons == ClosedByJoin {
		return Closed, result.TargetJoining
	}
	if t.closeReasons != 0 {
		return Closed, result.TargetDraining
	}
	if t.generation.behindTooLong(now) {
		return Closed, result.AdmissionSuspended
	}
	if t.handshakes.suspended(now) {
		return Closed, result.AdmissionSuspended
	}
	if len(t.queue) > 0 || !t.hasCapacity(now) {
		return Busy, result.NoFreeSlot
	}
	return Free, result.OK
}

// hasCapacity reports whether the limits allow another flow.
func (t *Target) hasCapacity(now time.Duration) bool { return t.freeCapacity(now) > 0 }

// freeCapacity returns how many more flows the limits allow.
func (t *Target) freeCapacity(now time.Duration) int {
	slots, conns := t.inUse(now)
	free := t.rampedCapacity(now, t.limits.MaxConns) - conns
	if t.limits.Class == model.ClassRequest {
		free = min(free, t.rampedCapacity(now, t.limits.Slots)-slots)
	}
	return max(0, free-t.reservedSlots)
}

// CanAdmit reports whether the target accepts another flow now, regardless of its queue.
func (t *Target) CanAdmit(now time.Duration) bool {
	return t.closeReasons == 0 && !t.generation.behindTooLong(now) && !t.handshakes.suspended(now) && t.hasCapacity(now)
}

// Reserve reserves a slot that is offered to a SYN queued at another target.
func (t *Target) Reserve() { t.reservedSlots++ }

// Unreserve releases a reserved slot.
func (t *Target) Unreserve() { t.reservedSlots = max(0, t.reservedSlots-1) }

// inUse returns the slots and connections in use. During the ramp it includes reported load of flows
// that a restarted agent does not know yet.
func (t *Target) inUse(now time.Duration) (slots, conns int) {
	if t.isRamping(now) {
		return t.usedSlots + t.unknown.slots, t.usedConns + t.unknown.conns
	}
	return t.usedSlots, t.usedConns
}

// isRamping reports whether the ramp has not ended yet.
func (t *Target) isRamping(now time.Duration) bool {
	return now-t.rampStart < t.limits.Ramp
}

// rampedCapacity returns the share of a capacity that the ramp allows now, rounded up and at least 1.
func (t *Target) rampedCapacity(now time.Duration, capacity int) int {
	if !t.isRamping(now) {
		return capacity
	}
	elapsed, ramp := int64(now-t.rampStart), int64(t.limits.Ramp)
	// In microseconds the product stays below 2^63 for ramps of hours and any capacity.
	elapsed, ramp = elapsed/1e3, max(ramp/1e3, 1)
	return min(capacity, max(1, int((int64(capacity)*elapsed+ramp-1)/ramp)))
}

// Acquire adds an open flow. It does not check the limits: the target already has a recovered flow, even
// beyond them.
func (t *Target) Acquire() {
	t.usedConns++
	if t.limits.Class == model.ClassRequest {
		t.usedSlots++
	}
}

// EarnRetry adds to the retry budget. It is called for admitted flows, not for recovered ones.
func (t *Target) EarnRetry() {
	t.budget.earn()
}

// Release removes an open flow. If it was established, its duration updates the mean service time.
func (t *Target) Release(duration time.Duration, established bool) {
	t.usedConns = max(0, t.usedConns-1)
	t.usedSlots = max(0, t.usedSlots-1)
	if !established {
		return
	}
	if t.meanServiceTime == 0 {
		t.meanServiceTime = duration
		return
	}
	t.meanServiceTime += time.Duration(float64(duration-t.meanServiceTime) * serviceTimeWeight)
}

// InUse returns the slots and connections of known flows.
func (t *Target) InUse() (slots, conns int) {
	return t.usedSlots, t.usedConns
}

// MaxQueueWait returns the longest time in the queue; zero means that SYNs are never queued.
func (t *Target) MaxQueueWait() time.Duration {
	return t.limits.MaxQueueWait
}
