package entry

import (
	"container/heap"
	"time"

	"github.com/greengagelock/greengagelock/internal/packet"
)

// timer is the time at which something is due for a flow. It is void if the flow has another one by
// then.
type timer struct {
	due  time.Duration
	key  packet.Key
	flow *flow
}

// timerQueue is a heap of timers, the earliest first.
type timerQueue []timer

func (q timerQueue) Len() int           { return len(q) }
func (q timerQueue) Less(i, j int) bool { return q[i].due < q[j].due }
func (q timerQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = timer{}
	*q = (*q)[:last]
	return t
}

func (q *timerQueue) pop() timer { return heap.Pop(q).(timer) }

// wait sets the timer of a flow.
func (e *Entry) wait(key packet.Key, f *flow, due time.Duration) {
	f.due, f.waits = due, true
	heap.Push(&e.timers, timer{due, key, f})
	e.due(due)
}

// due notes that there is something to do at a time.
func (e *Entry) due(at time.Duration) {
	if e.soonest < 0 || at < e.soonest {
		e.soonest = at
	}
}
