package daemon

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/greengagelock/greengagelock/internal/agent"
	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/node"
)

const (
	// withdrawTimeout bounds the wait until the controllers have withdrawn the targets of a stopping
	// agent. A change normally reaches the nodes within 2 s.
	withdrawTimeout = 4 * time.Second
	// withdrawGrace gives the other nodes time to apply the view that this agent already has.
	withdrawGrace        = 500 * time.Millisecond
	withdrawPollInterval = 100 * time.Millisecond
	// reservedDivisor reserves the last 1/reservedDivisor of the shutdown timeout for the components that
	// stop after the agent.
	reservedDivisor = 4
)

// viewTracker passes the views of a session on to its node and remembers the latest one that the node
// has applied.
type viewTracker struct {
	node.Handler
	view atomic.Pointer[model.View]
}

// ApplyView implements node.Handler.
func (t *viewTracker) ApplyView(v *model.View) {
	t.Handler.ApplyView(v)
	t.view.Store(v)
}

// drainer drains an agent before it stops.
type drainer struct {
	agent       *agent.Agent
	session     *node.Session
	address     netip.AddrPort
	viewTracker *viewTracker
	process     *Process
}

// drain stops the admission of new flows. It then waits until the requests in flight have ended and the
// controllers have withdrawn the agent's targets, so that balancers send new flows elsewhere. If requests
// are still open at the deadline, the process ends with OutcomeShutdownTimeout.
func (d *drainer) drain(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)*(reservedDivisor-1)/reservedDivisor)
		defer cancel()
	}
	results := make(chan agent.StopResult, 1)
	go func() { results <- d.agent.Stop(ctx) }()
	d.awaitWithdrawal(ctx)
	if r := <-results; r.RequestsOpen {
		d.process.requestsOpen.Store(true)
	}
}

// awaitWithdrawal waits until no target of the agent is active in the agent's own view, and then for
// withdrawGrace.
func (d *drainer) awaitWithdrawal(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	for d.admitsInView() {
		d.session.AnnounceNow()
		if !ctxtime.Sleep(ctx, withdrawPollInterval) {
			return
		}
	}
	ctxtime.Sleep(ctx, withdrawGrace)
}

// admitsInView reports whether a target of this agent is active in the agent's view, so that balancers
// may still send new flows to it.
func (d *drainer) admitsInView() bool {
	v := d.viewTracker.view.Load()
	if v == nil {
		return false
	}
	for _, t := range v.Targets {
		if t.Agent == d.address && t.State == model.TargetActive {
			return true
		}
	}
	return false
}
