package admission

import (
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
)

// Bounds of the retry-after time in a refusal. The lower one keeps callers from retrying within
// the time that a refusal takes, the upper one is the longest suspension.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Wait estimates how long one more SYN would wait. Flows end one after another, on average one
// every mean service time divided by the capacity.
func (t *Target) Wait(now time.Duration) time.Duration {
	capacity := t.limits.MaxConns
	if t.limits.Class == model.ClassRequest {
		capacity = t.limits.Slots
	}
	capacity = max(1, t.allowed(now, capacity))
	return t.service() * time.Duration(len(t.queue)+1) / time.Duration(capacity)
}

// service returns the mean service time. Without an observation half of the bound keeps the queue
// in use until the first flow ends.
func (t *Target) service() time.Duration {
	if t.meanService == 0 {
		return t.MaxQueueWait() / 2
	}
	return t.meanService
}

// PooledWait estimates how long one more SYN would wait behind others if all slots of the service
// served one queue. The capacity is that of all targets.
func (t *Target) PooledWait(waiting, capacity int) time.Duration {
	return t.service() * time.Duration(waiting+1) / time.Duration(max(1, capacity))
}

// QueueState returns OK if a SYN with this estimated wait may wait, or why it is refused at once.
func (t *Target) QueueState(wait time.Duration) result.Code {
	if limit := t.MaxQueueWait(); limit <= 0 || wait > limit {
		return result.NoFreeSlot
	}
	if len(t.queue) >= MaxQueue {
		return result.QueueFull
	}
	return result.OK
}

// Enqueue adds a flow to the queue after QueueState has allowed it.
func (t *Target) Enqueue(id uint32) {
	t.queue = append(t.queue, id)
}

// Dequeue returns the first waiting flow if the target takes a flow now.
func (t *Target) Dequeue(now time.Duration) (id uint32, ok bool) {
	if len(t.queue) == 0 || !t.CanTake(now) {
		return 0, false
	}
	id = t.queue[0]
	t.queue = slices.Delete(t.queue, 0, 1)
	return id, true
}

// Abandon removes a flow from the queue.
func (t *Target) Abandon(id uint32) {
	if i := slices.Index(t.queue, id); i >= 0 {
		t.queue = slices.Delete(t.queue, i, i+1)
	}
}

// Queued returns the number of waiting flows.
func (t *Target) Queued() int {
	return len(t.queue)
}

// Waiting returns the first waiting flow.
func (t *Target) Waiting() (id uint32, ok bool) {
	if len(t.queue) == 0 {
		return 0, false
	}
	return t.queue[0], true
}

// RetryAfter returns when a refused caller should try again.
func (t *Target) RetryAfter(now time.Duration) time.Duration {
	wait := max(t.Wait(now), t.handshakes.until-now)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
