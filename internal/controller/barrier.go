package controller

import (
	"context"
	"sync"
	"time"

	"github.com/greengagelock/greengagelock/internal/result"
)

// barrierTimeout bounds a read barrier: one round trip to a quorum.
const barrierTimeout = time.Second

// barrier merges read barriers that are asked for at the same time, as by 460 nodes after a
// failure of power. A caller that comes while one is under way takes part in the next one,
// because the one under way may have read the commit index before.
type barrier struct {
	pass func(ctx context.Context) error
	wake chan struct{}

	mu   sync.Mutex
	next *round
}

// round is one barrier and those who wait for it.
type round struct {
	done chan struct{}
	err  error
}

func newBarrier(pass func(ctx context.Context) error) *barrier {
	return &barrier{pass: pass, wake: make(chan struct{}, 1)}
}

// wait returns after a barrier that began after the call.
func (b *barrier) wait(ctx context.Context) error {
	b.mu.Lock()
	if b.next == nil {
		b.next = &round{done: make(chan struct{})}
	}
	r := b.next
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return result.New(result.NoQuorum, "no read barrier in time")
	}
}

// run carries out rounds until ctx is done.
func (b *barrier) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		}
		b.mu.Lock()
		r := b.next
		b.next = nil
		b.mu.Unlock()
		if r == nil {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, barrierTimeout)
		r.err = b.pass(limited)
		cancel()
		close(r.done)
	}
}
