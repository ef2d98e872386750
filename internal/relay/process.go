package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/decision"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/lifecycle"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/routing"
	"github.com/greengagelock/greengagelock/internal/stats"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	"github.com/greengagelock/greengagelock/internal/uplink"
)

const (
	// sweepInterval is the time between two sweeps of the flow table.
	sweepInterval = time.Second
	// countersEvery is the number of sweeps between two log lines with the counters.
	countersEvery = 5
	// checkInterval is the time between two looks whether the target should be asked.
	checkInterval = 50 * time.Millisecond
	// checkTimeout bounds the question.
	checkTimeout = 300 * time.Millisecond
)

// ProcessConfig configures a Process.
type ProcessConfig struct {
	Codec packet.Codec
	Name  string
	Zone  string
	// Service of the target beside the process, and the address of the target.
	Service string
	Target  netip.AddrPort
	// FromTarget is the address that the target sends its packets to.
	FromTarget netip.AddrPort
	// CallerPort is the port of callers that packets are sent to.
	CallerPort uint16
	// IP and Port are the address for entry VMs, relays and controllers.
	IP    netip.Addr
	Port  uint16
	Seeds []netip.Addr
	// HeartbeatInterval is the time between two heartbeats of the target.
	HeartbeatInterval time.Duration
	// Linger is the time for which a process that is stopping still passes packets on.
	Linger time.Duration
}

// Process runs a Relay on its sockets.
type Process struct {
	cfg    ProcessConfig
	tel    telemetry.Handle
	start  time.Time
	target *net.UDPConn
	nodes  *uplink.Port
	uplink *uplink.Uplink
	number uint64 // tells this process from earlier ones

	decisions *decision.Log

	mu    sync.Mutex
	relay *Relay
	timer *time.Timer
	armed bool
	gone  bool
	state roster.State // as last announced
	sure  bool         // as last logged
}

// NewProcess opens the sockets.
func NewProcess(cfg ProcessConfig, t telemetry.Handle) (*Process, error) {
	p := &Process{cfg: cfg, tel: t, start: time.Now(), number: rand.Uint64(), decisions: decision.New(t.Logger)}
	p.relay = New(Config{
		Codec: cfg.Codec, Service: routing.IDOf(cfg.Service), Self: cfg.IP.As4(), Decisions: p.decisions,
	}, p)
	if err := stats.Register(t.Metrics, "greengagelock_relay", p.StatsNow); err != nil {
		return nil, err
	}
	p.timer = time.AfterFunc(time.Hour, p.tick)
	p.timer.Stop()
	var err error
	if p.target, err = packet.Listen(cfg.FromTarget); err != nil {
		return nil, err
	}
	if p.nodes, err = uplink.OpenPort(cfg.IP, cfg.Port, t.Logger); err != nil {
		return nil, errors.CombineErrors(err, p.target.Close())
	}
	p.uplink = uplink.New(uplink.Config{
		Port: cfg.Port, Seeds: cfg.Seeds, Logger: t.Logger, Send: p.nodes.Send, Announce: p.announcement,
	})
	return p, nil
}

func (p *Process) now() time.Duration { return time.Since(p.start) }

// Run serves until ctx is done, and then for the linger time.
func (p *Process) Run(ctx context.Context) error {
	defer p.timer.Stop()
	return lifecycle.Run(ctx, p.leave,
		p.receiveFromTarget,
		func(ctx context.Context) error { return p.nodes.Receive(ctx, p.fromNode, p.fromController) },
		p.uplink.Run,
		p.decisions.Run,
		lifecycle.WithoutError(p.sweep),
		lifecycle.WithoutError(p.watch),
	)
}

func (p *Process) receiveFromTarget(ctx context.Context) error {
	return packet.Receive(ctx, p.target, p.tel.Logger, func(_ netip.AddrPort, b []byte) {
		p.locked(func(now time.Duration) { p.relay.FromTarget(now, b) })
	})
}

// leave ends admission, passes packets on for the linger time, and says whether the target is gone.
func (p *Process) leave(ctx context.Context) {
	p.locked(func(time.Duration) { p.relay.Stop() })
	p.uplink.Announce()
	ctxtime.Sleep(ctx, p.cfg.Linger)
	p.setGone()
	p.uplink.Announce()
}

// setGone lets the last announcement say that the relay is gone, if its target is. Otherwise the target
// may still have flows, and the relay comes back.
func (p *Process) setGone() {
	p.locked(func(time.Duration) { p.gone = p.relay.TargetEnded() })
}

func (p *Process) locked(f func(now time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.now())
}

// tick runs at the timer.
func (p *Process) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed = false
	p.arm()
}

// arm does what is due and sets the timer for the next time, unless it is set.
func (p *Process) arm() {
	if p.armed {
		return
	}
	if due := p.relay.Tick(p.now()); due >= 0 {
		p.armed = true
		p.timer.Reset(max(due-p.now(), 0))
	}
}

func (p *Process) fromNode(from hop.IP, b []byte) {
	p.locked(func(now time.Duration) {
		p.relay.FromNode(now, from, b)
		p.arm()
	})
}

func (p *Process) fromController(from hop.IP, a *roster.Answer) {
	p.uplink.Answer(from, a)
	p.locked(func(time.Duration) { p.relay.Previous(from, a.Previous, len(a.Controllers)) })
	p.noteSure("a majority of the controllers")
}

// noteSure logs a change of whether the relay knows all flows of its target.
func (p *Process) noteSure(why string) {
	p.mu.Lock()
	sure, flows := p.relay.Complete(), p.relay.Flows()
	changed := sure != p.sure
	p.sure = sure
	p.mu.Unlock()
	if changed {
		p.tel.Logger.Info().Bool("sure", sure).Int("flows", flows).Str("why", why).Msg(decision.FlowsKnown)
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

func (p *Process) announcement(hop.IP) roster.Announcement {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	t := p.relay.Announced(now, p.cfg.Zone)
	return roster.Announcement{Role: roster.RoleRelay, Name: p.cfg.Name, Target: &t, Load: p.relay.Load(now), Process: p.number, Gone: p.gone}
}

// Heartbeat takes in a heartbeat of the target.
func (p *Process) Heartbeat(h *Heartbeat) error {
	var err error
	p.locked(func(now time.Duration) { err = p.relay.Heartbeat(now, h) })
	p.announceChange("heartbeat of the target")
	return err
}

// Leave takes in that the target ends.
func (p *Process) Leave(id string, born int64) error {
	var err error
	p.locked(func(now time.Duration) { err = p.relay.Leave(now, id, born) })
	p.announceChange("the target said that it ends")
	return err
}

// announceChange tells the controllers at once if the state of the target has changed.
func (p *Process) announceChange(why string) {
	p.noteSure(why)
	p.mu.Lock()
	t := p.relay.Announced(p.now(), p.cfg.Zone)
	before := p.state
	p.state = t.State
	p.mu.Unlock()
	if before == t.State {
		return
	}
	p.tel.Logger.Info().Str("target", t.ID).Int64("born", t.Born).Str("before", before.String()).
		Str("state", t.State.String()).Str("why", why).Msg(decision.TargetState)
	p.uplink.Announce()
}

func (p *Process) sweep(ctx context.Context) {
	turn := 0
	for ctxtime.Sleep(ctx, sweepInterval) {
		p.locked(p.relay.Sweep)
		p.noteSure("flows of before this process would be too old")
		if turn++; turn%countersEvery == 0 {
			p.tel.Logger.Info().Any("counters", p.StatsNow()).Msg("counters")
		}
	}
}

// watch asks the target whether it still listens when it has not answered for a while.
func (p *Process) watch(ctx context.Context) {
	for ctxtime.Sleep(ctx, checkInterval) {
		due := false
		p.locked(func(now time.Duration) { due = p.relay.CheckDue(now, p.cfg.HeartbeatInterval) })
		if !due {
			continue
		}
		outcome := p.check(ctx)
		p.locked(func(now time.Duration) { p.relay.Checked(now, outcome, p.cfg.HeartbeatInterval) })
		p.announceChange("the target was asked whether it listens")
	}
}

// check opens a connection to the target. It takes no slot, as a request for its health would.
func (p *Process) check(ctx context.Context) CheckResult {
	dialer := net.Dialer{Timeout: checkTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.cfg.Target.String())
	switch {
	case err == nil:
		if err := conn.Close(); err != nil {
			p.tel.Logger.Debug().Err(err).Msg("the connection to the target could not be closed")
		}
		return Listens
	case errors.Is(err, syscall.ECONNREFUSED):
		return NoProcess
	default:
		return NoAnswer
	}
}

// SetSeeds replaces the seeds after a change of the settings.
func (p *Process) SetSeeds(seeds []netip.Addr) { p.uplink.SetSeeds(seeds) }

// StatsNow returns the counters.
func (p *Process) StatsNow() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relay.Stats
}
