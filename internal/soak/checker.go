package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// stableWindow is the time without a fault after which a process counts as undisturbed.
const stableWindow = 6 * time.Second

// configBound is the time in which an accepted configuration has to be in force at undisturbed entry VMs.
const configBound = 5 * time.Second

// maxLines bounds the violations and the notes that are kept.
const maxLines = 50

// Counts are what callers saw.
type Counts struct {
	Opened, NotOpened, Answered, Reset, Expired int
	// ResetLive are resets of open flows whose target lived, in the time of faults.
	ResetLive int
}

// checker collects what the parties see, and the violations of promises.
type checker struct {
	mu         sync.Mutex
	start      time.Time
	violations []string
	notes      []string
	counts     Counts
	runs       map[uint64]string // who has run a request
	lastFault  time.Time         // end of the last fault
	faults     int               // in progress
	window     map[int64]*windowCounts
}

// windowCounts are the requests of a second.
type windowCounts struct{ asked, answered int }

func newChecker() *checker {
	return &checker{start: time.Now(), runs: map[uint64]string{}, window: map[int64]*windowCounts{}}
}

// violate records the violation of a promise.
func (c *checker) violate(format string, args ...any) { c.record(&c.violations, format, args) }

// note records what breaks no promise but may be worth a look.
func (c *checker) note(format string, args ...any) { c.record(&c.notes, format, args) }

func (c *checker) record(list *[]string, format string, args []any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(*list) < maxLines {
		*list = append(*list, fmt.Sprintf("%s, %.3f s: ", time.Now().UTC().Format("15:04:05.000"), time.Since(c.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

// beginFault and endFault enclose a fault.
func (c *checker) beginFault() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults++
}

func (c *checker) endFault() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults--
	c.lastFault = time.Now()
}

// isStable reports whether no fault has been in progress for the stable window.
func (c *checker) isStable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults == 0 && time.Since(c.lastFault) >= stableWindow
}

// calmFor returns the time since the last fault or the start, or zero while a fault is in progress.
func (c *checker) calmFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults > 0 {
		return 0
	}
	return min(time.Since(c.lastFault), time.Since(c.start))
}

// recordRun records that a target runs a request, which no target may run again.
func (c *checker) recordRun(request uint64, target string) {
	c.mu.Lock()
	first, again := c.runs[request]
	c.runs[request] = target
	c.mu.Unlock()
	if again {
		c.violate("request %d was run by %s and again by %s", request, first, target)
	}
}

// count changes the counts.
func (c *checker) count(change func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.counts)
}

// recordRequest counts a request that began at a time.
func (c *checker) recordRequest(began time.Time, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	second := began.Unix()
	w := c.window[second]
	if w == nil {
		w = &windowCounts{}
		c.window[second] = w
	}
	w.asked++
	if answered {
		w.answered++
	}
}

// servedSince returns the requests that began at or after a time, and those of them that were answered.
func (c *checker) servedSince(at time.Time) (asked, answered int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for second, w := range c.window {
		if second >= at.Unix() {
			asked, answered = asked+w.asked, answered+w.answered
		}
	}
	return asked, answered
}

func (c *checker) result() (violations, notes []string, counts Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations), slices.Clone(c.notes), c.counts
}
