package soak

import (
	"bytes"
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/platform/standin"
)

// requestBytes is the size of a request: its number, and padding.
const requestBytes = 40

// Callers send copies of a SYN and of a request at these times, and give up.
var (
	synCopies     = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	requestCopies = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
)

const (
	synTimeout     = 1400 * time.Millisecond
	requestTimeout = 3 * time.Second
	// maxThinkTime is the longest time between two requests on a flow, and maxRequests the largest number of requests.
	maxThinkTime = 600 * time.Millisecond
	maxRequests  = 30
	// failurePause is the time before another flow after a failure.
	failurePause = 20 * time.Millisecond
	firstPort    = 30000
)

// runCaller opens one flow after the other and sends requests until the run ends. Callers use an open flow until it
// fails, also while processes stop.
func (r *run) runCaller(ctx context.Context, index int) {
	socket := r.d.address(callerGroup, index, callerPort)
	var caller *standin.Caller
	caller, err := standin.NewCaller(socket, firstPort, func() (netip.AddrPort, bool) { return r.router.route(caller.Key().Hash()) })
	if err != nil {
		r.check.violate("%v", err)
		return
	}
	defer func() { _ = caller.Close() }()
	for ctx.Err() == nil && !r.router.stop.Load() {
		if !r.useFlow(ctx, caller) {
			ctxtime.Sleep(ctx, failurePause)
		}
		caller.NextFlow()
	}
}

// useFlow opens a flow and sends requests on it. It reports whether all were answered.
func (r *run) useFlow(ctx context.Context, caller *standin.Caller) bool {
	began := time.Now()
	number, outcome := caller.Open(synCopies, synTimeout)
	if outcome != standin.Answered {
		r.check.count(func(c *Counts) { c.NotOpened++ })
		r.check.recordRequest(began, false)
		return false
	}
	r.check.count(func(c *Counts) { c.Opened++ })
	if number < 1 || number > relayCount || serviceOf(number-1) != "x" {
		r.check.violate("flow %v was opened at target %d of another service", caller.Key(), number)
		return false
	}
	target, _ := r.targets[number-1].current()
	for range 1 + rand.IntN(maxRequests) {
		request := make([]byte, requestBytes)
		id := r.lastID.Add(1)
		binary.BigEndian.PutUint64(request, id)
		began := time.Now()
		answer, outcome := caller.Request(request, requestCopies, requestTimeout)
		r.check.recordRequest(began, outcome == standin.Answered)
		switch outcome {
		case standin.Answered:
			r.check.count(func(c *Counts) { c.Answered++ })
			if !bytes.Equal(answer, request) {
				r.check.violate("request %d on flow %v got the answer of another one", id, caller.Key())
			}
		case standin.Reset:
			r.check.count(func(c *Counts) { c.Reset++ })
			r.checkReset(caller, number, target)
			return false
		default:
			r.check.count(func(c *Counts) { c.Expired++ })
			return false
		}
		if r.router.stop.Load() || !ctxtime.Sleep(ctx, rand.N(maxThinkTime)) {
			return true
		}
	}
	return true
}

// checkReset checks the reset of an open flow: its target must have ended, or a fault have happened lately.
func (r *run) checkReset(caller *standin.Caller, number int, target *standin.Target) {
	current, leaving := r.targets[number-1].current()
	if current != target || leaving || !target.HasOpen(caller.Key()) {
		return
	}
	if r.check.isStable() {
		r.check.violate("open flow %v was reset although its target %s serves it", caller.Key(), target.ID())
		return
	}
	r.check.count(func(c *Counts) { c.ResetLive++ })
	r.check.note("flow %v was reset in the time of a fault although its target %s lives", caller.Key(), target.ID())
}
