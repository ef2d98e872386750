package entry

import (
	"container/heap"
	"time"

	"github.com/greengagelock/greengagelock/internal/packet"
)

// timer is the expiry of a flow's timer. It is void if the timer of the flow was set to another time since.
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

// setTimer sets the timer of a flow.
func (e *Entry) setTimer(key packet.Key, f *flow, due time.Duration) {
	f.due, f.timerSet = due, true
	heap.Push(&e.timers, timer{due, key, f})
	e.requestTick(due)
}

// requestTick makes NextDue return a time no later than at.
func (e *Entry) requestTick(at time.Duration) {
	if e.nextDue < 0 || at < e.nextDue {
		e.nextDue = at
	}
}
