package relay

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/checkpoint"
	"github.com/greengagelock/greengagelock/internal/controllerclient"
	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/decision"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/lifecycle"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/routing"
	"github.com/greengagelock/greengagelock/internal/stats"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

const (
	// expiryInterval is the time between two passes over the flow table.
	expiryInterval = time.Second
	// expiriesPerCountersLine is the number of such passes between two log lines with the counters.
	expiriesPerCountersLine = 5
	// checkPollInterval is the time between two tests whether a check of the target is due.
	checkPollInterval = 50 * time.Millisecond
	// checkTimeout bounds a check of the target.
	checkTimeout = 300 * time.Millisecond
)

// ProcessConfig configures a Process.
type ProcessConfig struct {
	Codec packet.Codec
	Name  string
	Zone  string
	// Service is the service of the target beside this process, Target the target's address.
	Service string
	Target  netip.AddrPort
	// FromTarget is the local address to which the target sends its packets.
	FromTarget netip.AddrPort
	// CallerPort is the port at which callers receive packets.
	CallerPort uint16
	// IP and Port are the local address for entry VMs, relays and controllers.
	IP    netip.Addr
	Port  uint16
	Seeds []netip.Addr
	// HeartbeatInterval is the time between two heartbeats of the target.
	HeartbeatInterval time.Duration
	// Linger is the time for which a stopping process still passes packets on.
	Linger time.Duration
	// ReportFlows says that the open flows of the target are reported to controllers, see package checkpoint.
	ReportFlows bool
}

// Process runs a Relay: it owns the sockets, timers and log lines.
type Process struct {
	cfg         ProcessConfig
	tel         telemetry.Handle
	start       time.Time
	target      *net.UDPConn
	nodes       *controllerclient.Port
	controllers *controllerclient.Client
	incarnation uint64 // see roster.NewInstanceID; differs from that of earlier processes of this relay

	decisions *decision.Log

	mu             sync.Mutex
	relay          *Relay
	reporter       *checkpoint.Reporter
	timer          *time.Timer
	timerSet       bool
	targetGone     bool         // the target has ended; part of the last announcement
	announcedState roster.State // as last announced
	loggedKnowsAll bool         // KnowsAllFlows as last logged
	// confirmedTargets are the digests of the target as the controllers have last confirmed it.
	confirmedTargets map[hop.IP]uint64
}

// NewProcess opens the sockets and registers the metrics.
func NewProcess(cfg ProcessConfig, t telemetry.Handle) (*Process, error) {
	p := &Process{cfg: cfg, tel: t, start: time.Now(), incarnation: roster.NewInstanceID(), decisions: decision.New(t.Logger), confirmedTargets: map[hop.IP]uint64{}}
	p.relay = New(Config{
		Codec: cfg.Codec, Service: routing.ServiceIDOf(cfg.Service), Self: cfg.IP.As4(), FirstFanout: uint32(p.incarnation), Decisions: p.decisions,
	}, p)
	p.reporter = checkpoint.NewReporter(p.incarnation)
	if err := errors.CombineErrors(stats.Register(t.Metrics, "greengagelock_relay", p.StatsNow), telemetry.RegisterBuild(t.Metrics, roster.Level)); err != nil {
		return nil, err
	}
	p.timer = time.AfterFunc(time.Hour, p.onTimer)
	p.timer.Stop()
	var err error
	if p.target, err = packet.Listen(cfg.FromTarget); err != nil {
		return nil, err
	}
	if p.nodes, err = controllerclient.OpenPort(cfg.IP, cfg.Port, t.Logger); err != nil {
		return nil, errors.CombineErrors(err, p.target.Close())
	}
	p.controllers = controllerclient.New(controllerclient.Config{
		Port: cfg.Port, Seeds: cfg.Seeds, Logger: t.Logger, Send: p.nodes.Send, Announce: p.announcement,
		Instance: p.incarnation, Evacuate: p.setEvacuations,
	})
	return p, nil
}

func (p *Process) now() time.Duration { return time.Since(p.start) }

// Run serves until ctx is done, and then for the linger time.
func (p *Process) Run(ctx context.Context) error {
	defer p.timer.Stop()
	return lifecycle.Run(ctx, p.shutDown,
		p.receiveFromTarget,
		func(ctx context.Context) error {
			return p.nodes.Receive(ctx, controllerclient.Handlers{
				Data: p.handleDatagram, Answer: p.handleAnswer, Evacuations: p.controllers.HandleEvacuations,
			})
		},
		p.controllers.Run,
		p.decisions.Run,
		lifecycle.WithoutError(p.expireLoop),
		lifecycle.WithoutError(p.monitorTarget),
		lifecycle.WithoutError(p.reportFlows),
	)
}

func (p *Process) receiveFromTarget(ctx context.Context) error {
	return packet.Receive(ctx, p.target, p.tel.Logger, func(_ netip.AddrPort, b []byte) {
		p.withLock(func(now time.Duration) { p.relay.FromTarget(now, b) })
	})
}

// shutDown ends admission, passes packets on for the linger time, and announces whether the target is gone.
func (p *Process) shutDown(ctx context.Context) {
	p.withLock(func(time.Duration) { p.relay.Stop() })
	p.controllers.Announce()
	ctxtime.Sleep(ctx, p.cfg.Linger)
	p.withLock(p.relay.DispatchAll)
	p.markTargetGone()
	p.controllers.Announce()
}

// markTargetGone marks the last announcement as final if the target has ended. Otherwise the target may still
// have flows, and a new process of the relay will follow.
func (p *Process) markTargetGone() {
	p.withLock(func(time.Duration) { p.targetGone = p.relay.TargetEnded() })
}

func (p *Process) withLock(f func(now time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.now())
}

// onTimer runs when the timer fires.
func (p *Process) onTimer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timerSet = false
	p.runDueTimers()
}

// runDueTimers does the work that is due and sets the timer for the next time, unless it is set already.
func (p *Process) runDueTimers() {
	if p.timerSet {
		return
	}
	if due := p.relay.Tick(p.now()); due >= 0 {
		p.timerSet = true
		p.timer.Reset(max(due-p.now(), 0))
	}
}

func (p *Process) handleDatagram(from hop.IP, b []byte) {
	if checkpoint.IsMessage(b) {
		p.handleCheckpointDatagram(from, b)
		return
	}
	p.withLock(func(now time.Duration) {
		p.relay.FromNode(now, from, b)
		p.runDueTimers()
	})
}

func (p *Process) handleAnswer(from hop.IP, a *roster.Answer) {
	p.controllers.HandleAnswer(from, a)
	wantsFlows, forgotten := false, false
	var members []hop.IP
	if a.Current {
		members = a.Controllers // one that is no member yet knows only itself
	}
	p.withLock(func(now time.Duration) {
		forgotten = p.confirmedTargets[from] != 0 && a.TargetDigest == 0
		p.confirmedTargets[from] = a.TargetDigest
		if len(members) > 0 {
			p.relay.SetControllers(members)
		}
		wantsFlows = p.cfg.ReportFlows && p.relay.WantsEarlierFlows(now, from)
	})
	if forgotten {
		p.controllers.AnnounceTo([]hop.IP{from})
	}
	if wantsFlows {
		request := checkpoint.Request{Process: p.incarnation}
		p.sendToController(from, request.Encode)
	}
}

// logFlowKnowledge logs when the relay starts or stops knowing all flows of its target.
func (p *Process) logFlowKnowledge(why string) {
	p.mu.Lock()
	knowsAll, flows := p.relay.KnowsAllFlows(), p.relay.Flows()
	changed := knowsAll != p.loggedKnowsAll
	p.loggedKnowsAll = knowsAll
	p.mu.Unlock()
	if changed {
		p.tel.Logger.Info().Bool("sure", knowsAll).Int("flows", flows).Str("why", why).Msg(decision.FlowsKnown)
	}
}

// ToTarget implements Ports.
func (p *Process) ToTarget(raw []byte) { packet.Send(p.target, p.cfg.Target, raw, p.tel.Logger) }

// ToCaller implements Ports.
func (p *Process) ToCaller(to packet.Addr, raw []byte) {
	packet.Send(p.target, netip.AddrPortFrom(netip.AddrFrom4(to.IP), p.cfg.CallerPort), raw, p.tel.Logger)
}

// ToNode implements Ports.
func (p *Process) ToNode(to hop.IP, datagram []byte) { p.nodes.ToNode(to, datagram) }

// announcement returns the announcement for a controller, without what the controller has confirmed.
func (p *Process) announcement(to hop.IP) roster.Announcement {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	t := p.relay.AnnouncedTarget(now, p.cfg.Zone)
	a := roster.Announcement{
		Role: roster.RoleRelay, TargetDigest: t.AnnouncedDigest(p.incarnation), Load: p.relay.Load(now), Gone: p.targetGone,
	}
	if p.targetGone || p.confirmedTargets[to] != a.TargetDigest {
		a.Name, a.Target, a.Process = p.cfg.Name, &t, p.incarnation
	}
	return a
}

// Heartbeat handles a heartbeat of the target.
func (p *Process) Heartbeat(h *Heartbeat) error {
	var err error
	p.withLock(func(now time.Duration) { err = p.relay.Heartbeat(now, h) })
	p.announceStateChange("heartbeat of the target")
	return err
}

// Leave handles the target's notice that it ends.
func (p *Process) Leave(id string, born int64) error {
	var err error
	p.withLock(func(now time.Duration) { err = p.relay.Leave(now, id, born) })
	p.announceStateChange("the target announced its end")
	return err
}

// announceStateChange logs and announces a change of the target's state at once.
func (p *Process) announceStateChange(why string) {
	p.logFlowKnowledge(why)
	p.mu.Lock()
	t := p.relay.AnnouncedTarget(p.now(), p.cfg.Zone)
	before := p.announcedState
	p.announcedState = t.State
	p.mu.Unlock()
	if before == t.State {
		return
	}
	p.tel.Logger.Info().Str("target", t.ID).Int64("born", t.Born).Str("before", before.String()).
		Str("state", t.State.String()).Str("why", why).Msg(decision.TargetState)
	p.controllers.Announce()
}

func (p *Process) expireLoop(ctx context.Context) {
	rounds := 0
	for ctxtime.Sleep(ctx, expiryInterval) {
		p.withLock(p.relay.ExpireFlows)
		p.logFlowKnowledge("all flows opened before this process have expired")
		if rounds++; rounds%expiriesPerCountersLine == 0 {
			p.tel.Logger.Info().Any("counters", p.StatsNow()).Msg("counters")
		}
	}
}

// monitorTarget checks whether the target still listens when it has not answered for a while.
func (p *Process) monitorTarget(ctx context.Context) {
	for ctxtime.Sleep(ctx, checkPollInterval) {
		due := false
		p.withLock(func(now time.Duration) {
			p.relay.ResetEarlierFlows(now)
			due = p.relay.StartCheckIfDue(now, p.cfg.HeartbeatInterval)
		})
		if !due {
			continue
		}
		outcome := p.checkTarget(ctx)
		p.withLock(func(now time.Duration) { p.relay.RecordCheck(now, outcome, p.cfg.HeartbeatInterval) })
		p.announceStateChange("connection check of the target")
	}
}

// checkTarget opens a TCP connection to the target. Unlike a request for its health, this takes no slot.
func (p *Process) checkTarget(ctx context.Context) CheckResult {
	dialer := net.Dialer{Timeout: checkTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.cfg.Target.String())
	switch {
	case err == nil:
		if err := conn.Close(); err != nil {
			p.tel.Logger.Debug().Err(err).Msg("closing the check connection to the target failed")
		}
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return ConnectionRefused
	default:
		return NoAnswer
	}
}

func (p *Process) setEvacuations(e *roster.Evacuations) {
	p.withLock(func(time.Duration) { p.relay.SetEvacuated(e.Includes(p.cfg.Zone)) })
}

// SetSeeds replaces the seed controllers after a change of the settings.
func (p *Process) SetSeeds(seeds []netip.Addr) { p.controllers.SetSeeds(seeds) }

// StatsNow returns the counters.
func (p *Process) StatsNow() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relay.Stats
}
