package agent

import (
	"context"
	"time"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/flowtable"
	"github.com/greengagelock/greengagelock/internal/target"
)

// publishInterval is the time between two refreshes of the announced state, and the longest time between
// two ticks of the flow table.
const publishInterval = 100 * time.Millisecond

// runLoop owns the flow table. It processes packets, commands, target reports and timers until ctx is
// done.
func (a *Agent) runLoop(ctx context.Context) error {
	timer := time.NewTimer(publishInterval)
	defer timer.Stop()
	for {
		// The timer is reset after every batch and would never fire under load, so a tick that is due
		// runs first.
		wait := a.untilNextTick()
		if wait <= 0 {
			a.tick()
			continue
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return nil
		case b := <-a.dataBatches.filled:
			a.handleData(b)
			a.dataBatches.free <- b
		case b := <-a.targetBatches.filled:
			a.handleTarget(b)
			a.targetBatches.free <- b
		case command := <-a.commands:
			command()
		case r := <-a.watcher.Reports():
			a.handleReport(r)
		case <-timer.C:
		}
	}
}

// tick runs the timers of the flow table, and publishes the announced state when it is due.
func (a *Agent) tick() {
	now := a.now()
	a.lastTick = now
	if age, ok := a.currentControlAge(); ok {
		a.table.SetControlAge(now, age)
	}
	a.execute(now, a.table.Tick(now))
	a.out.flush()
	if now-a.lastPublish >= publishInterval {
		a.lastPublish = now
		a.publish()
		a.spans.expire(now)
	}
}

// execute carries out the actions that the flow table has returned.
func (a *Agent) execute(now time.Duration, actions []flowtable.Action) {
	a.spans.recordQueueOutcomes(now, actions)
	a.out.add(actions)
}

// untilNextTick returns the time until the next tick is due.
func (a *Agent) untilNextTick() time.Duration {
	now := a.now()
	wait := a.lastTick + publishInterval - now
	if next, ok := a.table.Next(now); ok {
		wait = min(wait, next)
	}
	return wait
}

// handleData processes a batch of encapsulated packets and signals.
func (a *Agent) handleData(b *batch) {
	now := a.now()
	a.metrics.fromFabric.Add(float64(b.n))
	var h encap.Header
	var p flow.Packet
	for i := range b.n {
		if encap.IsSignal(b.datagrams[i].Data) {
			a.handleSignal(now, b.datagrams[i].Data)
			continue
		}
		raw, reason := h.Decode(b.datagrams[i].Data, &a.cfg.FleetKey)
		if reason == flow.DropNone {
			reason = p.Parse(raw)
		}
		if reason != flow.DropNone {
			a.metrics.drop(reason)
			continue
		}
		if a.spans.isSampled(&p) {
			a.handleTracedSYN(now, &h, &p)
			continue
		}
		a.execute(now, a.table.FromFabric(now, &h, &p))
	}
	a.out.flush()
}

// handleSignal processes a signal of another agent of a service about its queue or slots.
func (a *Agent) handleSignal(now time.Duration, datagram []byte) {
	var s encap.Signal
	if reason := s.Decode(datagram, &a.cfg.FleetKey); reason != flow.DropNone {
		a.metrics.drop(reason)
		return
	}
	a.execute(now, a.table.Signal(now, &s))
}

// handleTarget processes a batch of packets from the target.
func (a *Agent) handleTarget(b *batch) {
	now := a.now()
	a.metrics.fromTarget.Add(float64(b.n))
	var p flow.Packet
	for i := range b.n {
		if reason := p.Parse(b.datagrams[i].Data); reason != flow.DropNone {
			a.metrics.drop(reason)
			continue
		}
		a.spans.recordAnswer(now, &p)
		a.execute(now, a.table.FromTarget(now, &p))
	}
	a.out.flush()
}

// handleReport processes the state that the HTTP endpoints of the target have returned.
func (a *Agent) handleReport(r target.Report) {
	now := a.now()
	if r.Healthy != a.lastReport.Healthy {
		a.logger.Info().Str("agent", a.cfg.Name).Bool("healthy", r.Healthy).Msg("target health changed")
	}
	if r.Draining != a.lastReport.Draining {
		a.logger.Info().Str("agent", a.cfg.Name).Bool("draining", r.Draining).Msg("target draining state changed")
		a.execute(now, a.table.SetLeaving(now, r.Draining))
	}
	if r.Restarted {
		a.logger.Info().Str("agent", a.cfg.Name).Str("instance", r.Load.Instance).Msg("target restarted")
		a.execute(now, a.table.TargetRestarted(now))
	}
	if r.HasLoad {
		a.table.SetReportedLoad(r.Load.SlotsInUse, r.Load.Connections)
	}
	a.lastReport = r
	a.out.flush()
}
