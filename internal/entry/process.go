package entry

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/decision"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/lifecycle"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/place"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/routing"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	"github.com/greengagelock/greengagelock/internal/uplink"
)

const (
	// sweepInterval is the time between two sweeps of the flow cache.
	sweepInterval = 5 * time.Second
	// settleInterval is the time between two looks whether the first configuration and targets are there.
	settleInterval = 10 * time.Millisecond
)

// ProcessConfig configures a Process.
type ProcessConfig struct {
	Codec packet.Codec
	Name  string
	Zone  string
	// Callers is the address that receives packets of callers; packets for callers go to the same port
	// of theirs.
	Callers netip.AddrPort
	// IP and Port are the address for relays and controllers.
	IP    netip.Addr
	Port  uint16
	Seeds []netip.Addr
	Parse func(body []byte) (*routing.Document, error)
	// LinkBytes is the bandwidth of the VM in bytes a second; zero for no limit.
	LinkBytes float64
	// Linger is the time for which a process that is stopping still forwards, so that the fabric can
	// take it out first.
	Linger time.Duration
}

// Process runs an Entry on its sockets.
type Process struct {
	cfg     ProcessConfig
	tel     telemetry.Handle
	start   time.Time
	callers *net.UDPConn
	nodes   *uplink.Port
	uplink  *uplink.Uplink

	decisions *decision.Log

	mu       sync.Mutex
	entry    *Entry
	timer    *time.Timer
	armed    time.Duration // of timer, negative if it does not run
	stopping bool
	// loadsAsked is the time at which a controller was last asked for the loads of all targets.
	loadsAsked time.Duration
}

// NewProcess opens the sockets.
func NewProcess(cfg ProcessConfig, picker *place.Picker, t telemetry.Handle) (*Process, error) {
	p := &Process{cfg: cfg, tel: t, start: time.Now(), armed: -1, decisions: decision.New(t.Logger)}
	metrics, err := newMetrics(t.Metrics, p)
	if err != nil {
		return nil, err
	}
	p.entry = New(Config{
		Codec: cfg.Codec, Self: cfg.IP.As4(), LinkBytes: cfg.LinkBytes, Decisions: p.decisions,
		Admission: func(took time.Duration) { metrics.admission.Observe(took.Seconds()) },
	}, picker, p)
	p.timer = time.AfterFunc(time.Hour, p.tick)
	p.timer.Stop()
	if p.callers, err = packet.Listen(cfg.Callers); err != nil {
		return nil, err
	}
	if p.nodes, err = uplink.OpenPort(cfg.IP, cfg.Port, t.Logger); err != nil {
		return nil, errors.CombineErrors(err, p.callers.Close())
	}
	p.uplink = uplink.New(uplink.Config{
		Port: cfg.Port, Seeds: cfg.Seeds, Logger: t.Logger, Parse: cfg.Parse,
		Send: p.nodes.Send, Announce: p.announcement, Apply: p.setTable,
	})
	return p, nil
}

func (p *Process) now() time.Duration { return time.Since(p.start) }

// Run serves until ctx is done, and then for the linger time.
func (p *Process) Run(ctx context.Context) error {
	defer p.timer.Stop()
	return lifecycle.Run(ctx, p.leave,
		p.receiveFromCallers,
		func(ctx context.Context) error { return p.nodes.Receive(ctx, p.fromNode, p.fromController) },
		p.uplink.Run,
		p.decisions.Run,
		lifecycle.WithoutError(p.sweep),
		lifecycle.WithoutError(p.settle),
	)
}

func (p *Process) receiveFromCallers(ctx context.Context) error {
	return packet.Receive(ctx, p.callers, p.tel.Logger, func(_ netip.AddrPort, b []byte) {
		p.locked(func(now time.Duration) { p.entry.FromCaller(now, b) })
	})
}

// leave is not ready any more, and forwards packets for the linger time.
func (p *Process) leave(ctx context.Context) {
	p.setStopping()
	ctxtime.Sleep(ctx, p.cfg.Linger)
}

func (p *Process) setStopping() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
}

// locked runs f, and arms the timer for what it has set in motion.
func (p *Process) locked(f func(now time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.now())
	p.arm(p.entry.NextDue())
}

func (p *Process) fromNode(from hop.IP, b []byte) {
	p.locked(func(now time.Duration) { p.entry.FromNode(now, from, b) })
}

func (p *Process) fromController(from hop.IP, a *roster.Answer) {
	p.uplink.HandleAnswer(from, a)
	p.locked(func(now time.Duration) { p.entry.View.HandleAnswer(now, from, a) })
}

// arm lets the timer run at the given time, unless it runs earlier.
func (p *Process) arm(due time.Duration) {
	if due < 0 || (p.armed >= 0 && p.armed <= due) {
		return
	}
	p.armed = due
	p.timer.Reset(max(due-p.now(), 0))
}

func (p *Process) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed = -1
	p.arm(p.entry.Tick(p.now()))
}

// settle lets the entry handle what waits for the first configuration and targets.
func (p *Process) settle(ctx context.Context) {
	again := true
	for again && ctxtime.Sleep(ctx, settleInterval) {
		p.locked(func(now time.Duration) { again = p.entry.Settle(now) })
	}
}

func (p *Process) sweep(ctx context.Context) {
	for ctxtime.Sleep(ctx, sweepInterval) {
		p.mu.Lock()
		p.entry.Sweep(p.now())
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
	// One controller a round is asked for the loads, which are the bulk of its answer.
	now := p.now()
	loads := p.entry.View.HeardFrom(now, to) && now-p.loadsAsked >= roster.AnnounceInterval/2
	if loads {
		p.loadsAsked = now
	}
	return roster.Announcement{
		Loads: loads, Role: roster.RoleEntry, Name: p.cfg.Name, Version: p.entry.Version(), Digest: p.entry.View.Digest(to),
	}
}

func (p *Process) setTable(t *routing.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entry.SetTable(t)
}

// SetSeeds replaces the seeds after a change of the settings.
func (p *Process) SetSeeds(seeds []netip.Addr) { p.uplink.SetSeeds(seeds) }

// Ready returns the reason for which the fabric should not send packets here, or nil.
func (p *Process) Ready() error {
	p.mu.Lock()
	stopping, settled := p.stopping, p.entry.settled
	p.mu.Unlock()
	switch {
	case stopping:
		return result.New(result.TargetDraining, "the process is stopping")
	case !p.uplink.CaughtUp():
		return result.New(result.StaleGeneration, "the newest configuration is not in force")
	case !settled:
		return result.New(result.NoTarget, "the targets are not known")
	}
	return nil
}

// StatsNow returns the counters.
func (p *Process) StatsNow() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entry.Stats
}
