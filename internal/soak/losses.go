package soak

import (
	"context"
	"sync"
	"time"

	"github.com/greengagelock/greengagelock/internal/ctxtime"
)

// lossBudget keeps the controllers that are lost at the same time within what the deployment has to bear. A controller is
// lost while it is down or paused, and for the sync time after it is back. One that is replaced is lost until its successor
// has run for that time. Times are those of the run, which may lag behind the plan on a busy machine.
//
// Kills of all controllers at once, which keep their disks, are allowed beside.
type lossBudget struct {
	layout layout
	mu     sync.Mutex
	lost   map[int]lostStore // by index of events
	// allBack is the time at which all controllers were last started after they were killed at once.
	allBack time.Time
}

type lostStore struct {
	down bool
	disk bool      // its disk is lost
	till time.Time // if it is not down
}

func newLossBudget(l layout) *lossBudget { return &lossBudget{layout: l, lost: map[int]lostStore{}} }

// begin waits until a controller may be lost, and counts it as lost.
func (b *lossBudget) begin(ctx context.Context, index int, disk bool) {
	for !b.tryBegin(index, disk) && ctxtime.Sleep(ctx, lossPollInterval) {
	}
}

// lossPollInterval is the time between two attempts to begin an event of a controller.
const lossPollInterval = 20 * time.Millisecond

func (b *lossBudget) tryBegin(index int, disk bool) bool {
	if b.layout.losses == 0 {
		return true // the plan keeps the events apart
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire()
	s, found := b.lost[index]
	if s.down || !found && len(b.lost) >= b.layout.losses {
		return false
	}
	b.lost[index] = lostStore{down: true, disk: s.disk || disk}
	return true
}

// end counts a controller as back since a time.
func (b *lossBudget) end(index int, since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.lost[index]
	if since.Before(b.allBack) {
		since = b.allBack
	}
	s.down, s.till = false, since.Add(b.layout.syncTime)
	b.lost[index] = s
}

// restartSync is called after all controllers were killed: those that had not caught up before have to begin again.
func (b *lossBudget) restartSync() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.allBack = time.Now()
	till := b.allBack.Add(b.layout.syncTime)
	for i, s := range b.lost {
		s.till = till
		b.lost[i] = s
	}
}

// lostDisks returns the controllers whose disks count as lost.
func (b *lossBudget) lostDisks() map[int]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire()
	disks := map[int]bool{}
	for i, s := range b.lost {
		if s.disk {
			disks[i] = true
		}
	}
	return disks
}

// awaitDisk waits until another disk may be lost, and returns the controllers whose disks count as lost.
func (b *lossBudget) awaitDisk(ctx context.Context) map[int]bool {
	disks := b.lostDisks()
	for len(disks) >= b.layout.losses && ctxtime.Sleep(ctx, lossPollInterval) {
		disks = b.lostDisks()
	}
	return disks
}

// awaitNone waits until no controller counts as lost.
func (b *lossBudget) awaitNone(ctx context.Context) {
	for ctx.Err() == nil {
		b.mu.Lock()
		b.expire()
		left := len(b.lost)
		b.mu.Unlock()
		if left == 0 {
			return
		}
		ctxtime.Sleep(ctx, lossPollInterval)
	}
}

// expire drops the controllers that are back for long enough. mu is held.
func (b *lossBudget) expire() {
	for i, s := range b.lost {
		if !s.down && time.Now().After(s.till) {
			delete(b.lost, i)
		}
	}
}
