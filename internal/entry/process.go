package entry

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/controllerclient"
	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/decision"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/lifecycle"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/routing"
	"github.com/greengagelock/greengagelock/internal/targetpicker"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

const (
	// evictInterval is the time between evictions of idle flows.
	evictInterval = 5 * time.Second
	// startupPollInterval is the time between checks for the first configuration and list of targets.
	startupPollInterval = 10 * time.Millisecond
)

// ProcessConfig configures a Process.
type ProcessConfig struct {
	Codec packet.Codec
	Name  string
	Zone  string
	// Callers is the local address for packets of callers. Packets to callers are sent to the same port.
	Callers netip.AddrPort
	// IP and Port are the local address for datagrams of relays and controllers.
	IP    netip.Addr
	Port  uint16
	Seeds []netip.Addr
	Parse func(body []byte) (*routing.Document, error)
	// LinkBytesPerSecond is the bandwidth of the VM; zero for no limit.
	LinkBytesPerSecond float64
	// Linger is the time for which a stopping process still forwards packets, so that the fabric can stop
	// sending to it first.
	Linger time.Duration
}

// Process runs an Entry on its sockets.
type Process struct {
	cfg         ProcessConfig
	tel         telemetry.Handle
	start       time.Time
	callers     *net.UDPConn
	nodes       *controllerclient.Port
	controllers *controllerclient.Client

	instance uint64 // see roster.NewInstanceID

	decisions *decision.Log

	mu       sync.Mutex
	entry    *Entry
	timer    *time.Timer
	timerDue time.Duration // time of timer, negative if it is not set
	stopping bool
	// loadsRequestedAt is the time of the last request to a controller for the loads of all targets.
	loadsRequestedAt time.Duration
}

// NewProcess opens the sockets.
func NewProcess(cfg ProcessConfig, picker *targetpicker.Picker, t telemetry.Handle) (*Process, error) {
	p := &Process{cfg: cfg, tel: t, start: time.Now(), timerDue: -1, instance: roster.NewInstanceID(), decisions: decision.New(t.Logger)}
	metrics, err := newMetrics(t.Metrics, p)
	if err != nil {
		return nil, err
	}
	p.entry = New(Config{
		Codec: cfg.Codec, Self: cfg.IP.As4(), Zone: cfg.Zone, LinkBytesPerSecond: cfg.LinkBytesPerSecond, FirstQuery: uint32(p.instance), Decisions: p.decisions,
		OnAdmission: func(took time.Duration) { metrics.admission.Observe(took.Seconds()) },
	}, picker, p)
	p.timer = time.AfterFunc(time.Hour, p.tick)
	p.timer.Stop()
	if p.callers, err = packet.Listen(cfg.Callers); err != nil {
		return nil, err
	}
	if p.nodes, err = controllerclient.OpenPort(cfg.IP, cfg.Port, t.Logger); err != nil {
		return nil, errors.CombineErrors(err, p.callers.Close())
	}
	p.controllers = controllerclient.New(controllerclient.Config{
		Port: cfg.Port, Seeds: cfg.Seeds, Logger: t.Logger, Parse: cfg.Parse,
		Send: p.nodes.Send, Announce: p.announcement, Apply: p.setTable, Incomplete: p.listIncomplete,
		Instance: p.instance, Evacuate: p.setEvacuations,
	})
	return p, nil
}

func (p *Process) now() time.Duration { return time.Since(p.start) }

// Run serves until ctx is done, and then for the linger time.
func (p *Process) Run(ctx context.Context) error {
	defer p.timer.Stop()
	return lifecycle.Run(ctx, p.linger,
		p.receiveFromCallers,
		func(ctx context.Context) error {
			return p.nodes.Receive(ctx, controllerclient.Handlers{
				Data: p.fromNode, Answer: p.fromController, Evacuations: p.controllers.HandleEvacuations,
			})
		},
		p.controllers.Run,
		p.decisions.Run,
		lifecycle.WithoutError(p.evictIdle),
		lifecycle.WithoutError(p.replayStartupQueue),
		lifecycle.WithoutError(p.checkReach),
	)
}

func (p *Process) receiveFromCallers(ctx context.Context) error {
	return packet.Receive(ctx, p.callers, p.tel.Logger, func(_ netip.AddrPort, b []byte) {
		p.withEntry(func(now time.Duration) { p.entry.FromCaller(now, b) })
	})
}

// linger makes the process unready and lets it forward packets for the linger time.
func (p *Process) linger(ctx context.Context) {
	p.setStopping()
	ctxtime.Sleep(ctx, p.cfg.Linger)
}

func (p *Process) setStopping() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
}

// withEntry calls f with the current time, and sets the timer for the work that f has scheduled.
func (p *Process) withEntry(f func(now time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.now())
	p.armTimer(p.entry.NextDue())
}

func (p *Process) fromNode(from hop.IP, b []byte) {
	p.withEntry(func(now time.Duration) { p.entry.FromNode(now, from, b) })
}

func (p *Process) fromController(from hop.IP, a *roster.Answer) {
	p.controllers.HandleAnswer(from, a)
	var announceTo []hop.IP
	p.withEntry(func(now time.Duration) { announceTo = p.entry.HandleAnswer(now, from, a) })
	p.controllers.AnnounceTo(announceTo)
}

// listIncomplete reports whether the list of a controller that answers has not arrived yet.
func (p *Process) listIncomplete(controller hop.IP) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entry.View.Incomplete(p.now(), controller)
}

// armTimer sets the timer to the given time, unless it is set to an earlier one.
func (p *Process) armTimer(due time.Duration) {
	if due < 0 || (p.timerDue >= 0 && p.timerDue <= due) {
		return
	}
	p.timerDue = due
	p.timer.Reset(max(due-p.now(), 0))
}

func (p *Process) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timerDue = -1
	p.armTimer(p.entry.Tick(p.now()))
}

// replayStartupQueue polls until the Entry has handled its startup queue, at the start and after each pause of the process.
func (p *Process) replayStartupQueue(ctx context.Context) {
	pause := startupPollInterval
	for ctxtime.Sleep(ctx, pause) {
		p.withEntry(func(now time.Duration) {
			pause = ReachInterval
			if p.entry.ReplayStartupQueue(now) {
				pause = startupPollInterval
			}
		})
	}
}

// checkReach checks whether the availability zone is cut off, and logs when that changes.
func (p *Process) checkReach(ctx context.Context) {
	logged := false
	for ctxtime.Sleep(ctx, ReachInterval) {
		cutOff := false
		p.withEntry(func(now time.Duration) {
			p.entry.CheckReach(now)
			cutOff = p.entry.CutOff()
		})
		if cutOff != logged {
			p.tel.Logger.Warn().Str("zone", p.cfg.Zone).Bool("cut_off", cutOff).Msg(decision.ZoneReach)
			logged = cutOff
		}
	}
}

func (p *Process) evictIdle(ctx context.Context) {
	for ctxtime.Sleep(ctx, evictInterval) {
		p.mu.Lock()
		p.entry.EvictIdle(p.now())
		stats, flows, targets := p.entry.Stats, p.entry.Flows(), p.entry.View.Len()
		p.mu.Unlock()
		p.tel.Logger.Info().Any("counters", stats).Int("flows", flows).Int("targets", targets).Msg("counters")
	}
}

// ToCaller implements Ports.
func (p *Process) ToCaller(to packet.Addr, raw []byte) {
	packet.Send(p.callers, netip.AddrPortFrom(netip.AddrFrom4(to.IP), p.cfg.Callers.Port()), raw, p.tel.Logger)
}

// ToNode implements Ports.
func (p *Process) ToNode(to hop.IP, datagram []byte) { p.nodes.ToNode(to, datagram) }

func (p *Process) announcement(to hop.IP) roster.Announcement {
	p.mu.Lock()
	defer p.mu.Unlock()
	// One controller per interval is asked for the loads, which are most of its answer.
	now := p.now()
	view := p.entry.View
	loads := view.WantsPush(now, to) && now-p.loadsRequestedAt >= roster.AnnounceInterval/2
	if loads {
		p.loadsRequestedAt = now
	}
	position, digest, answers := view.Position(now, to)
	return roster.Announcement{
		Loads: loads, Role: roster.RoleEntry, Name: p.cfg.Name, Version: p.entry.Version(),
		Position: position, Digest: digest, Answers: answers, Push: view.WantsPush(now, to), Process: p.instance,
	}
}

func (p *Process) setTable(t *routing.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entry.SetTable(t)
}

func (p *Process) setEvacuations(e *roster.Evacuations) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entry.View.SetEvacuations(*e)
}

// SetSeeds replaces the seeds after a change of the settings.
func (p *Process) SetSeeds(seeds []netip.Addr) { p.controllers.SetSeeds(seeds) }

// Ready returns why the fabric should not send packets to this process, or nil if it should.
func (p *Process) Ready() error {
	p.mu.Lock()
	stopping, ready, cutOff := p.stopping, p.entry.ready, p.entry.CutOff()
	p.mu.Unlock()
	switch {
	case stopping:
		return result.New(result.TargetDraining, "the process is stopping")
	case !p.controllers.CaughtUp():
		return result.New(result.StaleGeneration, "the newest configuration is not in force")
	case !ready:
		return result.New(result.NoTarget, "no list of targets has arrived yet")
	case cutOff:
		return result.New(result.NoTarget, "no relay outside of availability zone %s answers", p.cfg.Zone)
	}
	return nil
}

// StatsNow returns a copy of the counters.
func (p *Process) StatsNow() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entry.Stats
}
