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

// Outcome is how a process ended. Its value is the exit status.
type Outcome int

// Outcomes.
const (
	// OutcomeClean means that the process stopped and cut nothing.
	OutcomeClean Outcome = 0
	// OutcomeFailure means that a part of the process failed.
	OutcomeFailure Outcome = 1
	// OutcomeCut means that requests were still open, or a part still running, at the end of the
	// shutdown timeout.
	OutcomeCut Outcome = 3
)

// startTimeout bounds opening sockets, files and connections.
const startTimeout = 15 * time.Second

var errStopping = errors.New("the process is stopping")

// Process is a daemon with the roles of its settings.
type Process struct {
	settings *settings.Settings
	balancer *observer // nil unless the process has the role
	app      *fx.App
	stopping atomic.Bool
	cut      atomic.Bool
	failed   chan struct{} // closed when a part fails

	mu      sync.Mutex
	failure error
}

// New puts the parts of a process together and opens its sockets.
func New(s *settings.Settings) (*Process, error) {
	p := &Process{settings: s, failed: make(chan struct{})}
	// The order of the options is that of starting; stopping goes the other way, so that an agent
	// ends its requests while balancer and controller of the same process still work.
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
	return p, cause(p.app.Err())
}

// cause removes the layers of the container from an error, which name functions of this program
// and no setting.
func cause(err error) error {
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

// Run starts all parts, waits until ctx is done or a part fails, and stops them in order within
// the shutdown timeout.
func (p *Process) Run(ctx context.Context) (Outcome, error) {
	if limit := p.settings.MemoryLimit; limit > 0 {
		debug.SetMemoryLimit(int64(limit))
	}
	starting, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	defer cancel()
	if err := p.app.Start(starting); err != nil {
		return OutcomeFailure, err
	}
	select {
	case <-ctx.Done():
	case <-p.failed:
	}
	p.stopping.Store(true)
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(p.settings.ShutdownTimeout))
	defer cancel()
	err := p.app.Stop(stopping)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.failure != nil:
		return OutcomeFailure, p.failure
	case p.cut.Load() || errors.Is(err, context.DeadlineExceeded):
		return OutcomeCut, err
	case err != nil:
		return OutcomeFailure, err
	}
	return OutcomeClean, nil
}

// RunAll runs processes of one trial deployment inside one operating system process. If one of them
// fails, all are stopped. They stop one after the other in the given order, so that the processes
// with controllers go last.
func RunAll(ctx context.Context, processes []*Process) (Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	turn := ctx
	outcomes, failures := make([]Outcome, len(processes)), make([]error, len(processes))
	var group sync.WaitGroup
	for i, p := range processes {
		own := turn
		next, ended := context.WithCancel(context.WithoutCancel(ctx))
		group.Go(func() {
			defer ended()
			// A process whose turn has not come still stops if it fails itself.
			outcomes[i], failures[i] = p.Run(own)
			if failures[i] != nil {
				cancel()
			}
		})
		turn = next
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

// BalancerView returns the view that the balancer of the process has in force, and an empty one
// before the first.
func (p *Process) BalancerView() *model.View {
	if p.balancer != nil {
		if v := p.balancer.view.Load(); v != nil {
			return v
		}
	}
	return model.NewView()
}

// fail ends the process because a part has failed.
func (p *Process) fail(name string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failure != nil {
		return
	}
	p.failure = errors.Wrap(err, name)
	close(p.failed)
}

// run adds a part that runs from the start of the process until its turn to stop.
func (p *Process) run(lc fx.Lifecycle, name string, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				err := run(ctx)
				if err == nil && ctx.Err() == nil {
					err = errors.New("ended without being asked to")
				}
				if err != nil {
					p.fail(name, err)
				}
			}()
			return nil
		},
		OnStop: func(stopping context.Context) error {
			cancel()
			select {
			case <-done:
				return nil
			case <-stopping.Done():
				return errors.Wrapf(stopping.Err(), "%s is still running", name)
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
	p.run(lc, "telemetry", t.Run)
}

// handle provides the telemetry handle of a role inside the role's module.
func handle(role model.Role) fx.Option {
	return fx.Provide(func(t *telemetry.Telemetry) telemetry.Handle { return t.Handle(string(role)) }, fx.Private)
}

// sampleOneIn converts the share of traced flows. It returns 0, which means none, without an
// exporter.
func sampleOneIn(t settings.Trace) uint64 {
	if t.Exporter == telemetry.ExporterNone || t.SampleRatio <= 0 {
		return 0
	}
	return uint64(1/t.SampleRatio + 0.5)
}
