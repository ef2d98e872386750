package admission

import (
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
)

// Bounds of the retry-after time in a refusal.
const (
	// minRetryAfter keeps callers from retrying faster than a refusal takes.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter is the longest suspension.
	maxRetryAfter = 30 * time.Second
)

// EstimatedWait estimates how long another SYN would wait in the queue. It assumes that one flow ends per mean
// service time divided by the capacity.
func (t *Target) EstimatedWait(now time.Duration) time.Duration {
	capacity := t.limits.MaxConns
	if t.limits.Class == model.ClassRequest {
		capacity = t.limits.Slots
	}
	capacity = max(1, t.rampedCapacity(now, capacity))
	return t.serviceTime() * time.Duration(len(t.queue)+1) / time.Duration(capacity)
}

// serviceTime returns the mean service time. Until the first flow has ended, it returns half of
// MaxQueueWait, so that SYNs can be queued.
func (t *Target) serviceTime() time.Duration {
	if t.meanServiceTime == 0 {
		return t.MaxQueueWait() / 2
	}
	return t.meanServiceTime
}

// EstimatedPooledWait estimates how long another SYN would wait behind the waiting ones if all targets of the
// service shared one queue. The capacity is the sum over all targets.
func (t *Target) EstimatedPooledWait(waiting, capacity int) time.Duration {
	return t.serviceTime() * time.Duration(waiting+1) / time.Duration(max(1, capacity))
}

// CheckQueue returns OK if a SYN with this estimated wait may be queued, or the code of its refusal.
func (t *Target) CheckQueue(wait time.Duration) result.Code {
	if limit := t.MaxQueueWait(); limit <= 0 || wait > limit {
		return result.NoFreeSlot
	}
	if len(t.queue) >= MaxQueue {
		return result.QueueFull
	}
	return result.OK
}

// Enqueue appends a flow to the queue, after CheckQueue has returned OK.
func (t *Target) Enqueue(id uint32) {
	t.queue = append(t.queue, id)
}

// Dequeue removes and returns the first queued flow if the target can take a flow now.
func (t *Target) Dequeue(now time.Duration) (id uint32, ok bool) {
	if len(t.queue) == 0 || !t.CanAdmit(now) {
		return 0, false
	}
	id = t.queue[0]
	t.queue = slices.Delete(t.queue, 0, 1)
	return id, true
}

// RemoveQueued removes a flow from the queue.
func (t *Target) RemoveQueued(id uint32) {
	if i := slices.Index(t.queue, id); i >= 0 {
		t.queue = slices.Delete(t.queue, i, i+1)
	}
}

// QueueLength returns the number of queued flows.
func (t *Target) QueueLength() int {
	return len(t.queue)
}

// FirstQueued returns the first queued flow without removing it.
func (t *Target) FirstQueued() (id uint32, ok bool) {
	if len(t.queue) == 0 {
		return 0, false
	}
	return t.queue[0], true
}

// RetryAfter returns the time after which a refused caller should retry.
func (t *Target) RetryAfter(now time.Duration) time.Duration {
	wait := max(t.EstimatedWait(now), t.handshakes.suspendedUntil-now)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
