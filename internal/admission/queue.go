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
	service := t.meanService
	if service == 0 {
		// Without an observation half of the bound keeps the queue in use until the first flow ends.
		service = t.MaxQueueWait() / 2
	}
	capacity := t.limits.MaxConns
	if t.limits.Class == model.ClassRequest {
		capacity = t.limits.Slots
	}
	capacity = max(1, t.allowed(now, capacity))
	return service * time.Duration(len(t.queue)+1) / time.Duration(capacity)
}

// QueueState returns OK if a SYN may wait, or why it is refused at once.
func (t *Target) QueueState(now time.Duration) result.Code {
	if wait := t.MaxQueueWait(); wait <= 0 || t.Wait(now) > wait {
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
	if len(t.queue) == 0 || t.closed != 0 || t.generation.expired(now) || t.handshakes.suspended(now) || !t.hasRoom(now) {
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
