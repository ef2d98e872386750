// Package daemon assembles and runs one process of the stream data path: telemetry and the roles that
// its settings name (controller, balancer, agent). It starts the components in order, stops them in the
// reverse order within the shutdown timeout, and reports how the process ended.
package daemon

import (
	"context"
	"reflect"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/settings"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

// Outcome is how a process ended. Its value is the exit status of the program.
type Outcome int

// Outcomes.
const (
	// OutcomeClean means that every request and component ended before the shutdown timeout.
	OutcomeClean Outcome = 0
	// OutcomeFailure means that a component failed to start, to run or to stop.
	OutcomeFailure Outcome = 1
	// OutcomeShutdownTimeout means that the shutdown timeout passed while requests were still open or a
	// component was still running.
	OutcomeShutdownTimeout Outcome = 3
)

// startTimeout bounds the start of all components: opening sockets, files and connections.
const startTimeout = 15 * time.Second

var errStopping = errors.New("the process is stopping")

// Process is one daemon process with the roles of its settings. It runs once.
type Process struct {
	settings     *settings.Settings
	balancerView *viewTracker // nil without the balancer role
	app          *fx.App
	stopping     atomic.Bool
	requestsOpen atomic.Bool
	failed       chan struct{} // closed when a component fails

	mu      sync.Mutex
	failure error
}

// New assembles the components of a process and opens the packet sockets of its roles.
func New(s *settings.Settings) (*Process, error) {
	p := &Process{settings: s, failed: make(chan struct{})}
	// Components start in the order of the options and stop in reverse, so that an agent finishes its
	// requests while the balancer and the controller of the same process still run.
	options := []fx.Option{
		fx.NopLogger,
		fx.Supply(p, s),
		fx.Provide(newTelemetry),
		fx.Invoke(startTelemetry),
	}
	if s.HasRole(model.RoleController) {
		options = append(options, controllerRole)
	}
	if s.HasRole(model.RoleBalancer) {
		options = append(options, balancerRole)
	}
	if s.HasRole(model.RoleAgent) {
		options = append(options, agentRole)
	}
	p.app = fx.New(options...)
	return p, unwrapFxError(p.app.Err())
}

// unwrapFxError removes the wrappers that fx puts around an error. They name Go functions, which tell an
// operator nothing about the setting at fault.
func unwrapFxError(err error) error {
	for err != nil {
		t := reflect.TypeOf(err)
		if t.Kind() == reflect.Pointer {
			t = t.Elem()
		}
		inner := errors.UnwrapOnce(err)
		if inner == nil || !strings.HasPrefix(t.PkgPath(), "go.uber.org/") {
			return err
		}
		err = inner
	}
	return nil
}

// Run starts all components, waits until ctx is done or a component fails, and stops them in reverse
// order within the shutdown timeout.
func (p *Process) Run(ctx context.Context) (Outcome, error) {
	if limit := p.settings.MemoryLimit; limit > 0 {
		debug.SetMemoryLimit(int64(limit))
	}
	startCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	defer cancel()
	if err := p.app.Start(startCtx); err != nil {
		return OutcomeFailure, err
	}
	select {
	case <-ctx.Done():
	case <-p.failed:
	}
	p.stopping.Store(true)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(p.settings.ShutdownTimeout))
	defer cancel()
	err := p.app.Stop(stopCtx)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.failure != nil:
		return OutcomeFailure, p.failure
	case p.requestsOpen.Load() || errors.Is(err, context.DeadlineExceeded):
		return OutcomeShutdownTimeout, err
	case err != nil:
		return OutcomeFailure, err
	}
	return OutcomeClean, nil
}

// RunAll runs the processes of a trial deployment inside one operating system process. If one of them
// fails, all are stopped. They stop one after the other in the given order, so the caller lists the
// processes that the others need, those with controllers, last. It returns the worst outcome.
func RunAll(ctx context.Context, processes []*Process) (Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	runCtx := ctx
	outcomes, failures := make([]Outcome, len(processes)), make([]error, len(processes))
	var group sync.WaitGroup
	for i, p := range processes {
		processCtx := runCtx
		nextRunCtx, stopNext := context.WithCancel(context.WithoutCancel(ctx))
		group.Go(func() {
			defer stopNext()
			// A process that fails stops at once, even while earlier ones are still running.
			outcomes[i], failures[i] = p.Run(processCtx)
			if failures[i] != nil {
				cancel()
			}
		})
		runCtx = nextRunCtx
	}
	group.Wait()
	worst := OutcomeClean
	for _, o := range outcomes {
		if worst != OutcomeFailure && o != OutcomeClean {
			worst = o
		}
	}
	return worst, errors.Join(failures...)
}

// BalancerView returns the view that the balancer of the process has in force. It returns an empty view
// before the first one, and without the balancer role.
func (p *Process) BalancerView() *model.View {
	if p.balancerView != nil {
		if v := p.balancerView.view.Load(); v != nil {
			return v
		}
	}
	return model.NewView()
}

// fail records the first failure of a component and ends the process.
func (p *Process) fail(name string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failure != nil {
		return
	}
	p.failure = errors.Wrap(err, name)
	close(p.failed)
}

// addComponent adds a component that runs from the start of the process until fx stops it. A component
// that returns earlier, even without an error, fails the process.
func (p *Process) addComponent(lc fx.Lifecycle, name string, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				err := run(ctx)
				if err == nil && ctx.Err() == nil {
					err = errors.New("stopped unexpectedly")
				}
				if err != nil {
					p.fail(name, err)
				}
			}()
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			cancel()
			select {
			case <-done:
				return nil
			case <-stopCtx.Done():
				return errors.Wrapf(stopCtx.Err(), "%s is still running", name)
			}
		},
	})
}

func newTelemetry(s *settings.Settings) (*telemetry.Telemetry, error) {
	trace := s.Telemetry.Trace
	return telemetry.New(telemetry.Config{
		Node: s.Name, Listen: s.Telemetry.Listen, LogLevel: s.Telemetry.LogLevel,
		Trace: telemetry.TraceConfig{Exporter: trace.Exporter, Endpoint: trace.Endpoint, SampleRatio: trace.SampleRatio},
	})
}

func startTelemetry(lc fx.Lifecycle, p *Process, t *telemetry.Telemetry) {
	t.Readiness.Add("running", func() error {
		if p.stopping.Load() {
			return errStopping
		}
		return nil
	})
	p.addComponent(lc, "telemetry", t.Run)
}

// provideTelemetryHandle provides a role's telemetry handle to that role's module only.
func provideTelemetryHandle(role model.Role) fx.Option {
	return fx.Provide(func(t *telemetry.Telemetry) telemetry.Handle { return t.Handle(string(role)) }, fx.Private)
}

// sampleOneIn converts the share of flows to trace into n, for one flow in n. It returns 0, which means
// none, for a share of 0 or without an exporter.
func sampleOneIn(t settings.Trace) uint64 {
	if t.Exporter == telemetry.ExporterNone || t.SampleRatio <= 0 {
		return 0
	}
	return uint64(1/t.SampleRatio + 0.5)
}
