// Package agent implements the process that runs next to a target. It receives encapsulated packets from
// balancers and other agents and packets from the target, passes them to the flow table, and sends the
// packets and messages that the flow table returns. One goroutine owns the flow table.
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

// Config holds the settings and the packet connections of an agent. The agent closes the connections
// before Run returns.
type Config struct {
	Name        string
	VM          model.VM
	Zone        model.AvailabilityZone
	Incarnation uint64
	FleetKey    encap.Key

	// Data receives and sends encapsulated packets and signals, and sends hints.
	Data fabric.Conn
	// Advertise is the address of Data in announcements. If it is not valid, the local address of Data is
	// announced.
	Advertise netip.AddrPort
	// Target exchanges packets with the target. A TUN device ignores TargetAddr.
	Target     fabric.Conn
	TargetAddr netip.AddrPort
	// Outbound sends packets to callers through Gateway.
	Outbound fabric.Conn
	Gateway  netip.AddrPort

	// Services names the services that the target offers, each with Slots and MaxConns.
	Services []string
	Slots    int
	MaxConns int

	HealthURL, LoadURL string // empty if the target has none
	HealthInterval     time.Duration

	// Extend returns the function that extends chains by a view. If it is nil, chains are not extended.
	Extend func(v *model.View) flowtable.Extend
	// SampleOneIn traces one in this many flows, see flow.Sampled; zero traces none.
	SampleOneIn uint64
}

// check validates the settings.
func (c *Config) check() error {
	switch {
	case c.Name == "":
		return result.New(result.SettingsInvalid, "the agent has no name")
	case c.Data == nil || c.Target == nil || c.Outbound == nil:
		return result.New(result.SettingsInvalid, "agent %s: a packet connection (data, target or outbound) is missing", c.Name)
	case len(c.Services) == 0:
		return result.New(result.SettingsInvalid, "agent %s offers no service", c.Name)
	case c.MaxConns <= 0 || c.Slots < 0:
		return result.New(result.SettingsInvalid, "agent %s has invalid limits: %d slots, %d connections", c.Name, c.Slots, c.MaxConns)
	}
	return nil
}

// Module provides the agent.
var Module = fx.Module("agent", fx.Provide(New))

// Agent forwards packets between balancers, a target and callers, and decides on admission to the target.
type Agent struct {
	cfg     Config
	logger  *log.Logger
	tracer  trace.Tracer
	metrics *metrics
	watcher *target.Watcher
	start   time.Time

	dataBatches, targetBatches batchQueue
	commands                   chan func()
	runEnded                   chan struct{}

	snapshot   atomic.Pointer[snapshot]
	controlAge atomic.Pointer[func() time.Duration]

	// Only the goroutine that owns the flow table uses the fields below.
	table          *flowtable.Table
	out            output
	spans          synTracer
	view           *model.View
	extend         flowtable.Extend
	lastReport     target.Report
	localEndpoints []flowtable.Endpoint
	loggedStatus   statusByService
	// lastTick is the time of the last tick of the flow table, lastPublish that of the last refresh of the
	// announced state.
	lastTick, lastPublish time.Duration
}

// New returns an agent without a view. It admits no flows until ApplyView is called.
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
		dataBatches: newBatchQueue(), targetBatches: newBatchQueue(),
		commands: make(chan func(), maxQueuedCommands), runEnded: make(chan struct{}),
		view: model.NewView(), lastReport: target.Report{Healthy: true},
	}
	if a.metrics, err = newMetrics(t.Metrics, a.currentControlAge); err != nil {
		return nil, err
	}
	a.table = flowtable.New(flowtable.Config{Extend: a.extendChain, Recovering: true})
	a.out = newOutput(a)
	a.spans = newSYNTracer(a)
	a.publish()
	return a, nil
}

// maxQueuedCommands is the capacity of the queue of commands for the goroutine that owns the flow table.
const maxQueuedCommands = 16

// Run runs the agent until ctx is done or a connection fails, and closes the packet connections.
func (a *Agent) Run(ctx context.Context) error {
	defer close(a.runEnded)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		// Closing the connections ends blocked reads.
		<-ctx.Done()
		return errors.CombineErrors(a.cfg.Data.Close(),
			errors.CombineErrors(a.cfg.Target.Close(), a.cfg.Outbound.Close()))
	})
	group.Go(func() error { return a.dataBatches.read(ctx, a.cfg.Data) })
	group.Go(func() error { return a.targetBatches.read(ctx, a.cfg.Target) })
	group.Go(func() error { return a.watcher.Run(ctx) })
	group.Go(func() error { return a.runLoop(ctx) })
	return group.Wait()
}

// SetControlAge sets the function that returns the time since the last contact to a controller with a
// quorum.
func (a *Agent) SetControlAge(age func() time.Duration) {
	a.controlAge.Store(&age)
}

// currentControlAge returns the time since the last contact to a controller with a quorum, or false
// while it is not known.
func (a *Agent) currentControlAge() (time.Duration, bool) {
	if age := a.controlAge.Load(); age != nil {
		return (*age)(), true
	}
	return 0, false
}

// runInLoop runs f in the goroutine that owns the flow table and waits until it has returned. It returns
// false if Run has ended before.
func (a *Agent) runInLoop(f func()) bool {
	done := make(chan struct{})
	command := func() { f(); close(done) }
	select {
	case a.commands <- command:
	case <-a.runEnded:
		return false
	}
	select {
	case <-done:
		return true
	case <-a.runEnded:
		return false
	}
}

// now returns the time since the start of the agent, which is the clock of the flow table.
func (a *Agent) now() time.Duration {
	return time.Since(a.start)
}
