// Package agent is the process beside a target: it receives encapsulated packets, runs them
// through the flow table, and sends what the table decides.
package agent

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/fx"
	"golang.org/x/sync/errgroup"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/fabric"
	"github.com/greengagelock/greengagelock/internal/flowtable"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/target"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

// Config holds the settings and the packet ports of an agent. The agent closes the ports when Run
// returns.
type Config struct {
	Name        string
	VM          model.VM
	Zone        model.AvailabilityZone
	Incarnation uint64
	FleetKey    encap.Key

	// Data carries encapsulated packets in and out, and hints out.
	Data fabric.Conn
	// Advertise is the address of Data in announcements; the local address of Data if not valid.
	Advertise netip.AddrPort
	// Target carries packets from and to the target. A TUN device ignores TargetAddr.
	Target     fabric.Conn
	TargetAddr netip.AddrPort
	// Outbound carries packets to callers through Gateway.
	Outbound fabric.Conn
	Gateway  netip.AddrPort

	// Services are the names of the services that the target offers, each with Slots and MaxConns.
	Services []string
	Slots    int
	MaxConns int

	HealthURL, LoadURL string // empty: the target has none
	HealthInterval     time.Duration

	// Extend returns the chain extension for a view; nil: chains are not extended.
	Extend func(v *model.View) flowtable.Extend
	// SampleEvery is the share of flows that are traced, see flow.Sampled; zero traces none.
	SampleEvery uint64
}

func (c *Config) check() error {
	switch {
	case c.Name == "":
		return result.New(result.SettingsInvalid, "agent without a name")
	case c.Data == nil || c.Target == nil || c.Outbound == nil:
		return result.New(result.SettingsInvalid, "agent %s lacks a packet port", c.Name)
	case len(c.Services) == 0:
		return result.New(result.SettingsInvalid, "agent %s offers no service", c.Name)
	case c.MaxConns <= 0 || c.Slots < 0:
		return result.New(result.SettingsInvalid, "agent %s has invalid limits: %d slots, %d connections", c.Name, c.Slots, c.MaxConns)
	}
	return nil
}

// Module provides the agent.
var Module = fx.Module("agent", fx.Provide(New))

// Agent is the process beside a target.
type Agent struct {
	cfg     Config
	logger  *log.Logger
	tracer  trace.Tracer
	metrics *metrics
	watcher *target.Watcher
	start   time.Time

	fromData, fromTarget port
	commands             chan func()
	ended                chan struct{}

	snapshot   atomic.Pointer[snapshot]
	controlAge atomic.Pointer[func() time.Duration]

	// The rest belongs to the goroutine that owns the flow table.
	table  *flowtable.Table
	out    output
	spans  synTracer
	view   *model.View
	extend flowtable.Extend
	report target.Report
	local  []flowtable.Endpoint
	state  stateLog
	// ticked is when the timers of the table were handled, published when the announced state was
	// refreshed.
	ticked, published time.Duration
}

// New returns an agent that has no view and admits nothing yet.
func New(cfg Config, t telemetry.Handle) (*Agent, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if !cfg.Advertise.IsValid() {
		cfg.Advertise = cfg.Data.LocalAddr()
	}
	watcher, err := target.New(target.Config{
		HealthURL: cfg.HealthURL, LoadURL: cfg.LoadURL, Interval: cfg.HealthInterval,
	}, t)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		cfg: cfg, logger: t.Logger, tracer: t.Tracer, watcher: watcher, start: time.Now(),
		fromData: newPort(), fromTarget: newPort(),
		commands: make(chan func(), commandQueue), ended: make(chan struct{}),
		view: model.NewView(), report: target.Report{Healthy: true},
	}
	if a.metrics, err = newMetrics(t.Metrics, a.age); err != nil {
		return nil, err
	}
	a.table = flowtable.New(flowtable.Config{Extend: a.extendChain, Recovering: true})
	a.out = newOutput(a)
	a.spans = newSYNTracer(a)
	a.publish()
	return a, nil
}

// commandQueue bounds the commands that wait for the owner of the flow table.
const commandQueue = 16

// Run works until ctx is done, and closes the packet ports.
func (a *Agent) Run(ctx context.Context) error {
	defer close(a.ended)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		// Closing the ports ends the reads that block.
		<-ctx.Done()
		return errors.CombineErrors(a.cfg.Data.Close(),
			errors.CombineErrors(a.cfg.Target.Close(), a.cfg.Outbound.Close()))
	})
	group.Go(func() error { return a.fromData.read(ctx, a.cfg.Data) })
	group.Go(func() error { return a.fromTarget.read(ctx, a.cfg.Target) })
	group.Go(func() error { return a.watcher.Run(ctx) })
	group.Go(func() error { return a.own(ctx) })
	return group.Wait()
}

// SetControlAge sets the function that returns the time since a controller with a quorum was
// heard from.
func (a *Agent) SetControlAge(age func() time.Duration) {
	a.controlAge.Store(&age)
}

// age returns the control age, or false while it is not known.
func (a *Agent) age() (time.Duration, bool) {
	if age := a.controlAge.Load(); age != nil {
		return (*age)(), true
	}
	return 0, false
}

// do runs f in the goroutine that owns the flow table, and waits for it. It reports false if Run
// has returned.
func (a *Agent) do(f func()) bool {
	done := make(chan struct{})
	command := func() { f(); close(done) }
	select {
	case a.commands <- command:
	case <-a.ended:
		return false
	}
	select {
	case <-done:
		return true
	case <-a.ended:
		return false
	}
}

// now is the time of the flow table.
func (a *Agent) now() time.Duration {
	return time.Since(a.start)
}
