package testkit

import (
	"cmp"
	"container/heap"
	"time"
)

// Timeline is the clock of a simulation. Its zero value starts at zero and has no events.
type Timeline struct {
	Now    time.Duration
	events eventQueue
	order  int
}

// event is a function to run at a time. Events at the same time run in the order in which they were added.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), q[i].order-q[j].order) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// After runs a function when the clock has advanced by d.
func (t *Timeline) After(d time.Duration, run func()) {
	t.order++
	heap.Push(&t.events, event{t.Now + d, t.order, run})
}

// RunNext advances the clock to the next event that is due at end or before, and runs it. Without one it advances the
// clock to end and returns false.
func (t *Timeline) RunNext(end time.Duration) bool {
	if len(t.events) == 0 || t.events[0].at > end {
		t.Now = end
		return false
	}
	e := heap.Pop(&t.events).(event)
	t.Now = e.at
	e.run()
	return true
}
