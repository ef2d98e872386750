package agent

import (
	"context"
	"time"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/flowtable"
	"github.com/greengagelock/greengagelock/internal/target"
)

// publishInterval is how often the announced state is refreshed, and the longest time between two
// ticks of the flow table.
const publishInterval = 100 * time.Millisecond

// own is the goroutine that owns the flow table.
func (a *Agent) own(ctx context.Context) error {
	timer := time.NewTimer(publishInterval)
	defer timer.Stop()
	for {
		// A timer alone would be set back by every packet and never fire under load.
		wait := a.untilTick()
		if wait <= 0 {
			a.tick()
			continue
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return nil
		case b := <-a.fromData.full:
			a.handleData(b)
			a.fromData.empty <- b
		case b := <-a.fromTarget.full:
			a.handleTarget(b)
			a.fromTarget.empty <- b
		case command := <-a.commands:
			command()
		case r := <-a.watcher.Reports():
			a.handleReport(r)
		case <-timer.C:
		}
	}
}

// tick handles the timers of the flow table.
func (a *Agent) tick() {
	now := a.now()
	a.ticked = now
	if age, ok := a.age(); ok {
		a.table.SetControlAge(now, age)
	}
	a.run(now, a.table.Tick(now))
	a.out.flush()
	if now-a.published >= publishInterval {
		a.published = now
		a.publish()
		a.spans.expire(now)
	}
}

// run does what the flow table has decided.
func (a *Agent) run(now time.Duration, actions []flowtable.Action) {
	a.spans.observe(now, actions)
	a.out.run(actions)
}

// untilTick returns the time until the flow table has something to do.
func (a *Agent) untilTick() time.Duration {
	now := a.now()
	wait := a.ticked + publishInterval - now
	if next, ok := a.table.Next(now); ok {
		wait = min(wait, next)
	}
	return wait
}

// handleData handles a batch of encapsulated packets.
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
		if a.spans.samples(&p) {
			a.tracedSYN(now, &h, &p)
			continue
		}
		a.run(now, a.table.FromFabric(now, &h, &p))
	}
	a.out.flush()
}

// handleSignal handles what another agent of a service says about its slots.
func (a *Agent) handleSignal(now time.Duration, datagram []byte) {
	var s encap.Signal
	if reason := s.Decode(datagram, &a.cfg.FleetKey); reason != flow.DropNone {
		a.metrics.drop(reason)
		return
	}
	a.run(now, a.table.Signal(now, &s))
}

// handleTarget handles a batch of packets that the target has sent.
func (a *Agent) handleTarget(b *batch) {
	now := a.now()
	a.metrics.fromTarget.Add(float64(b.n))
	var p flow.Packet
	for i := range b.n {
		if reason := p.Parse(b.datagrams[i].Data); reason != flow.DropNone {
			a.metrics.drop(reason)
			continue
		}
		a.spans.answered(now, &p)
		a.run(now, a.table.FromTarget(now, &p))
	}
	a.out.flush()
}

// handleReport handles what the endpoints of the target have said.
func (a *Agent) handleReport(r target.Report) {
	now := a.now()
	if r.Healthy != a.report.Healthy {
		a.logger.Info().Str("agent", a.cfg.Name).Bool("healthy", r.Healthy).Msg("target health endpoint changed")
	}
	if r.Draining != a.report.Draining {
		a.logger.Info().Str("agent", a.cfg.Name).Bool("draining", r.Draining).Msg("target announces drain")
		a.run(now, a.table.SetLeaving(now, r.Draining))
	}
	if r.Restarted {
		a.logger.Info().Str("agent", a.cfg.Name).Str("instance", r.Load.Instance).Msg("target restarted")
		a.run(now, a.table.TargetRestarted(now))
	}
	if r.HasLoad {
		a.table.SetReportedLoad(r.Load.SlotsInUse, r.Load.Connections)
	}
	a.report = r
	a.out.flush()
}
