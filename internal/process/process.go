package process

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"go.uber.org/fx"

	"github.com/greengagelock/greengagelock/internal/confstore"
	"github.com/greengagelock/greengagelock/internal/decision"
	"github.com/greengagelock/greengagelock/internal/entry"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/relay"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/routing"
	"github.com/greengagelock/greengagelock/internal/targetpicker"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

const (
	// startTimeout bounds opening sockets and files.
	startTimeout = 15 * time.Second
	// stopTimeout bounds stopping, DefaultLinger included. The platform kills a process after 6 s.
	stopTimeout = 5 * time.Second
	// settingsCheckInterval is the time between two checks whether the settings file has changed, since a
	// change may come without a SIGHUP.
	settingsCheckInterval = 5 * time.Second
	// httpTimeout bounds reading an HTTP request, writing the response, and an idle connection.
	httpTimeout = 5 * time.Second
	// httpStopTimeout bounds the time in which a stopping process answers the HTTP requests that it has accepted. An edit
	// takes at most 0.9 s.
	httpStopTimeout = time.Second
	// gcPercent is below Go's default of 100, which saves memory at the cost of processor time. All roles
	// use little processor time.
	gcPercent = 50
)

// processStart is set before main runs.
var processStart = time.Now()

// Protocol is what depends on the protocol of callers, targets and operators.
type Protocol struct {
	Codec        packet.Codec
	ParseConfig  func(body []byte) (*routing.Document, error)
	CheckConfig  func(body []byte) (uint64, error)
	Operators    func(s *confstore.Controller, logger *log.Logger) http.Handler
	TargetCalls  func(r *relay.Process, at netip.AddrPort, logger *log.Logger) http.Handler
	ReadinessFor func(ready func() error) http.Handler
}

// runner is the component of a process that depends on its role: an entry process, a relay process, or a
// controller.
type runner interface {
	Run(ctx context.Context) error
	SetSeeds(seeds []netip.Addr)
}

// instance holds the components of the running process.
type instance struct {
	settings *Settings
	path     string
	tel      telemetry.Handle
	runner   runner
	servers  []*server
	failures chan error
	hangups  <-chan os.Signal // SIGHUP
}

// server is an HTTP server with its listener.
type server struct {
	listener net.Listener
	http     *http.Server
}

// Run runs the process that a settings file describes until ctx is done or a task fails.
func Run(ctx context.Context, path string, protocol Protocol) error {
	// From here on SIGHUP does not end the process. The settings may change while it starts.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	s, err := Load(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if limit := s.memoryLimitBytes(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	failures := make(chan error, 1)
	app := fx.New(
		fx.NopLogger,
		fx.Supply(s, protocol),
		fx.Provide(newTelemetry, newHandle, newInstance),
		fx.Invoke(func(lc fx.Lifecycle, t *telemetry.Telemetry, p *instance) {
			p.path, p.failures, p.hangups = path, failures, hangups
			p.addTask(lc, t.Run)
			p.addTask(lc, p.runner.Run)
			p.addTask(lc, p.watchSettings)
			for _, s := range p.servers {
				p.addTask(lc, s.run)
			}
			p.logLifecycle(lc)
		}),
	)
	if err := app.Err(); err != nil {
		return err
	}
	return runApp(ctx, app, failures)
}

// runApp starts the app and stops it when ctx is done or a task has failed.
func runApp(ctx context.Context, app *fx.App, failures <-chan error) error {
	startCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return err
	}
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-failures:
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return errors.CombineErrors(failure, app.Stop(stopCtx))
}

func newTelemetry(s *Settings) (*telemetry.Telemetry, error) {
	cfg := telemetry.Config{
		Node: s.Name, LogLevel: s.LogLevel, Logs: os.Stdout, Trace: telemetry.TraceConfig{Exporter: telemetry.ExporterNone},
	}
	if s.MetricsPort != 0 {
		cfg.Listen = netip.AddrPortFrom(s.IP, s.MetricsPort)
	}
	return telemetry.New(cfg)
}

func newHandle(s *Settings, t *telemetry.Telemetry) telemetry.Handle { return t.Handle(string(s.Role)) }

func newInstance(s *Settings, protocol Protocol, t telemetry.Handle) (*instance, error) {
	p := &instance{settings: s, tel: t}
	var err error
	switch s.Role {
	case RoleEntry:
		err = p.buildEntry(protocol)
	case RoleRelay:
		err = p.buildRelay(protocol)
	default:
		err = p.buildStore(protocol)
	}
	return p, err
}

func (p *instance) buildEntry(protocol Protocol) error {
	s := p.settings
	picker := targetpicker.NewPicker(s.Zone, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	e, err := entry.NewProcess(entry.ProcessConfig{
		Codec: protocol.Codec, Name: s.Name, Zone: s.Zone, Callers: s.Callers, IP: s.IP, Port: s.Port,
		Seeds: s.ControllerIPs(), Parse: protocol.ParseConfig, Linger: DefaultLinger,
		LinkBytesPerSecond: s.linkBytesPerSecond(),
	}, picker, p.tel)
	if err != nil {
		return err
	}
	p.runner = e
	return p.addServer(s.Readiness, protocol.ReadinessFor(e.Ready))
}

func (p *instance) buildRelay(protocol Protocol) error {
	s := p.settings
	r, err := relay.NewProcess(relay.ProcessConfig{
		Codec: protocol.Codec, Name: s.Name, Zone: s.Zone, Service: s.Service, Target: s.Target,
		FromTarget: s.FromTarget, CallerPort: s.Callers.Port(), IP: s.IP, Port: s.Port, Seeds: s.ControllerIPs(),
		HeartbeatInterval: time.Duration(s.HeartbeatMS) * time.Millisecond, Linger: DefaultLinger, ReportFlows: s.ReportFlows,
	}, p.tel)
	if err != nil {
		return err
	}
	p.runner = r
	if s.Readiness.IsValid() {
		if err := p.addServer(s.Readiness, protocol.ReadinessFor(func() error { return nil })); err != nil {
			return err
		}
	}
	return p.addServer(s.Heartbeats, protocol.TargetCalls(r, s.Target, p.tel.Logger))
}

func (p *instance) buildStore(protocol Protocol) error {
	s := p.settings
	c, err := confstore.New(confstore.Config{
		IP: s.IP, Port: s.Port, DataDir: s.DataDir, Seeds: s.ControllerIPs(), Bootstrap: s.FirstStart,
		FaultTolerance: s.FaultTolerance, Check: protocol.CheckConfig, Zone: s.Zone, Zones: s.Zones,
	}, p.tel)
	if err != nil {
		return err
	}
	p.runner = c
	return p.addServer(s.Operators, protocol.Operators(c, p.tel.Logger))
}

// addServer opens the listener of an HTTP server that Run serves.
func (p *instance) addServer(address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return errors.Wrapf(err, "listen for HTTP requests at %s", address)
	}
	p.servers = append(p.servers, &server{listener, &http.Server{
		Handler: handler, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout, IdleTimeout: httpTimeout,
	}})
	return nil
}

// run serves requests until ctx is done, and then answers those that it has accepted.
func (s *server) run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(s.listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	finish, cancel := context.WithTimeout(context.WithoutCancel(ctx), httpStopTimeout)
	defer cancel()
	if err := s.http.Shutdown(finish); err != nil {
		_ = s.http.Close() // callers that do not read their answer
	}
	return nil
}

// addTask adds a task to the lifecycle. Tasks are stopped in the reverse order. The first error of a task
// is sent to p.failures.
func (p *instance) addTask(lc fx.Lifecycle, task func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				if err := task(ctx); err != nil {
					select {
					case p.failures <- err:
					default:
					}
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
				return errors.Wrap(stopCtx.Err(), "a task of the process did not stop in time")
			}
		},
	})
}

// logLifecycle logs the start and the stop of the process.
func (p *instance) logLifecycle(lc fx.Lifecycle) {
	s := p.settings
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			p.tel.Logger.Info().Str("build", telemetry.Build()).Uint8("level", roster.Level).Str("role", string(s.Role)).Str("ip", s.IP.String()).Str("zone", s.Zone).
				Bool("first_start", s.FirstStart).Int("controllers", len(s.Controllers)).
				Dur("startup_ms", time.Since(processStart)).Msg(decision.Started)
			return nil
		},
		OnStop: func(context.Context) error {
			p.tel.Logger.Info().Str("role", string(s.Role)).Msg(decision.Stopping)
			return nil
		},
	})
}

// watchSettings reloads the settings after a SIGHUP and when the modification time of the file has
// changed. Only the controllers can change while the process runs.
func (p *instance) watchSettings(ctx context.Context) error {
	lastModTime := p.settingsModTime()
	for {
		reloadRequested := false
		timer := time.NewTimer(settingsCheckInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-p.hangups:
			reloadRequested = true
		case <-timer.C:
		}
		timer.Stop()
		if modTime := p.settingsModTime(); reloadRequested || !modTime.Equal(lastModTime) {
			lastModTime = modTime
			p.reload()
		}
	}
}

// settingsModTime returns the modification time of the settings file, zero if the file cannot be read.
func (p *instance) settingsModTime() time.Time {
	info, err := os.Stat(p.path)
	if err != nil {
		p.tel.Logger.Warn().Err(err).Msg("cannot read the settings file; the current settings stay in force")
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the controllers of the settings file and warns about other changes.
func (p *instance) reload() {
	reloaded, err := Load(p.path)
	if err != nil {
		p.tel.Logger.Error().Err(err).Msg("the changed settings are invalid; the current settings stay in force")
		return
	}
	p.runner.SetSeeds(reloaded.ControllerIPs())
	current := *p.settings
	current.Controllers = reloaded.Controllers
	if !reflect.DeepEqual(current, *reloaded) {
		p.tel.Logger.Warn().Str("code", result.SettingsInvalid.String()).
			Msg("settings other than the controllers have changed; they take effect at the next start")
	}
	p.settings.Controllers = reloaded.Controllers
	p.tel.Logger.Info().Int("controllers", len(reloaded.Controllers)).Msg("settings reloaded")
}
