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
	// withdrawLimit bounds the wait until control has withdrawn the targets of a stopping agent. It
	// is above the 2 s in which a change reaches the nodes.
	withdrawLimit = 4 * time.Second
	// withdrawGrace lets the other nodes catch up with the view that this agent has.
	withdrawGrace = 500 * time.Millisecond
	withdrawCheck = 100 * time.Millisecond
	// reservedShare is the part of the shutdown timeout that is left for what stops after the agent.
	reservedShare = 4
)

// observer sits between a node and its session and keeps the view that is in force.
type observer struct {
	node.Handler
	view atomic.Pointer[model.View]
}

// ApplyView implements node.Handler.
func (o *observer) ApplyView(v *model.View) {
	o.Handler.ApplyView(v)
	o.view.Store(v)
}

// drainer ends the work of an agent before it stops.
type drainer struct {
	agent    *agent.Agent
	session  *node.Session
	address  netip.AddrPort
	observer *observer
	process  *Process
}

// drain stops admitting, waits until the requests in flight have ended, and until control has told
// balancers to send new flows elsewhere. It notes whether a request was cut.
func (d *drainer) drain(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)*(reservedShare-1)/reservedShare)
		defer cancel()
	}
	results := make(chan agent.StopResult, 1)
	go func() { results <- d.agent.Stop(ctx) }()
	d.awaitWithdrawal(ctx)
	if r := <-results; r.RequestsOpen {
		d.process.cut.Store(true)
	}
}

func (d *drainer) awaitWithdrawal(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, withdrawLimit)
	defer cancel()
	for d.admitsInView() {
		d.session.AnnounceNow()
		if !ctxtime.Sleep(ctx, withdrawCheck) {
			return
		}
	}
	ctxtime.Sleep(ctx, withdrawGrace)
}

// admitsInView reports whether balancers may still send new flows to this agent.
func (d *drainer) admitsInView() bool {
	v := d.observer.view.Load()
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
