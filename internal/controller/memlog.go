package controller

import (
	"context"
	"sync"

	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/result"
)

// committedQueue bounds the entries that are committed and not applied yet.
const committedQueue = 1024

// memoryLog is a log with a single member that keeps nothing.
type memoryLog struct {
	name      string
	committed chan Committed

	mu      sync.Mutex
	last    uint64
	members []operator.Member
}

func newMemoryLog(name, address string) *memoryLog {
	return &memoryLog{
		name: name, committed: make(chan Committed, committedQueue),
		members: []operator.Member{{Name: name, Address: address, Leader: true}},
	}
}

// Run implements Log.
func (l *memoryLog) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Propose implements Log.
func (l *memoryLog) Propose(_ context.Context, data []byte) (Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := Position{Index: l.last + 1, Term: 1}
	select {
	case l.committed <- Committed{Position: p, Data: data}:
		l.last++
		return p, nil
	default:
		return Position{}, result.New(result.Overloaded, "the queue of committed entries is full")
	}
}

// Committed implements Log.
func (l *memoryLog) Committed() <-chan Committed { return l.committed }

// Compact implements Log.
func (l *memoryLog) Compact(uint64, []byte) error { return nil }

// ReadBarrier implements Log.
func (l *memoryLog) ReadBarrier(context.Context) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last, nil
}

// Status implements Log.
func (l *memoryLog) Status() LogStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LogStatus{Leader: l.name, IsLeader: true, Term: 1, Commit: l.last, Members: l.members}
}

// AddMember implements Log.
func (l *memoryLog) AddMember(context.Context, string, string) error {
	return result.New(result.MemberChangeBusy, "a log in memory has one member")
}

// RemoveMember implements Log.
func (l *memoryLog) RemoveMember(context.Context, string) error {
	return result.New(result.MemberChangeBusy, "a log in memory has one member")
}

// Transfer implements Log.
func (l *memoryLog) Transfer(context.Context) error { return nil }
