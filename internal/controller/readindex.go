package controller

import (
	"context"
	"sync"
	"time"

	"github.com/greengagelock/greengagelock/internal/result"
)

// readIndexTimeout limits a read index request, which takes one round trip to a quorum.
const readIndexTimeout = time.Second

// readBatcher merges concurrent read index requests, for instance those of 460 nodes that restart after
// a power failure. A call that comes during a request waits for the next one, because the running request
// may have read the commit index before the call.
type readBatcher struct {
	readIndex func(ctx context.Context) error
	wakeup    chan struct{}

	mu      sync.Mutex
	pending *readBatch
}

// readBatch is one read index request and its result.
type readBatch struct {
	done chan struct{} // closed when the request has ended
	err  error
}

func newReadBatcher(readIndex func(ctx context.Context) error) *readBatcher {
	return &readBatcher{readIndex: readIndex, wakeup: make(chan struct{}, 1)}
}

// wait waits for a read index request that starts after the call, and returns its error.
func (b *readBatcher) wait(ctx context.Context) error {
	b.mu.Lock()
	if b.pending == nil {
		b.pending = &readBatch{done: make(chan struct{})}
	}
	r := b.pending
	b.mu.Unlock()
	select {
	case b.wakeup <- struct{}{}:
	default:
	}
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return result.New(result.NoQuorum, "the read index was not confirmed in time")
	}
}

// run executes pending requests until ctx is done.
func (b *readBatcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wakeup:
		}
		b.mu.Lock()
		r := b.pending
		b.pending = nil
		b.mu.Unlock()
		if r == nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, readIndexTimeout)
		r.err = b.readIndex(callCtx)
		cancel()
		close(r.done)
	}
}
