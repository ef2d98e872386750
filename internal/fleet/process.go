package fleet

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
	"github.com/greengagelock/greengagelock/internal/place"
	"github.com/greengagelock/greengagelock/internal/relay"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/routing"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

const (
	// startTimeout bounds opening sockets and files.
	startTimeout = 15 * time.Second
	// stopTimeout bounds stopping, the linger time included. The platform kills a process after 6 s.
	stopTimeout = 5 * time.Second
	// reloadInterval is the time between two looks at the settings file, which may change without a
	// signal.
	reloadInterval = 5 * time.Second
	// callTimeout bounds reading and answering a call.
	callTimeout = 5 * time.Second
	// gcPercent trades processor time, of which the roles use little, for memory.
	gcPercent = 50
)

// processStart is taken before main runs.
var processStart = time.Now()

// Protocol is how callers, targets and operators speak.
type Protocol struct {
	Codec        packet.Codec
	ParseConfig  func(body []byte) (*routing.Document, error)
	CheckConfig  func(body []byte) (uint64, error)
	Operators    func(s *confstore.Controller, logger *log.Logger) http.Handler
	TargetCalls  func(r *relay.Process, at netip.AddrPort, logger *log.Logger) http.Handler
	ReadinessFor func(ready func() error) http.Handler
}

// role is the part of a process that its role decides.
type role interface {
	Run(ctx context.Context) error
	SetSeeds(seeds []netip.Addr)
}

// process is one running process.
type process struct {
	settings *Settings
	path     string
	tel      telemetry.Handle
	role     role
	servers  []*server
	failed   chan error
}

type server struct {
	listener net.Listener
	http     *http.Server
}

// Run runs the process that a settings file describes until ctx is done or a part fails.
func Run(ctx context.Context, path string, protocol Protocol) error {
	s, err := Load(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if limit := s.memoryLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	failed := make(chan error, 1)
	app := fx.New(
		fx.NopLogger,
		fx.Supply(s, protocol),
		fx.Provide(newTelemetry, newHandle, newProcess),
		fx.Invoke(func(lc fx.Lifecycle, t *telemetry.Telemetry, p *process) {
			p.path, p.failed = path, failed
			p.run(lc, t.Run)
			p.run(lc, p.role.Run)
			p.run(lc, p.watchSettings)
			for _, s := range p.servers {
				p.run(lc, s.run)
			}
			p.logLifecycle(lc)
		}),
	)
	if err := app.Err(); err != nil {
		return err
	}
	return runApp(ctx, app, failed)
}

func runApp(ctx context.Context, app *fx.App, failed <-chan error) error {
	starting, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	defer cancel()
	if err := app.Start(starting); err != nil {
		return err
	}
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-failed:
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return errors.CombineErrors(failure, app.Stop(stopping))
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

func newProcess(s *Settings, protocol Protocol, t telemetry.Handle) (*process, error) {
	p := &process{settings: s, tel: t}
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

func (p *process) buildEntry(protocol Protocol) error {
	s := p.settings
	picker := place.NewPicker(s.Zone, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	e, err := entry.NewProcess(entry.ProcessConfig{
		Codec: protocol.Codec, Name: s.Name, Zone: s.Zone, Callers: s.Callers, IP: s.IP, Port: s.Port,
		Seeds: s.ControllerIPs(), Parse: protocol.ParseConfig, Linger: DefaultLinger,
		LinkBytes: s.linkBytes(),
	}, picker, p.tel)
	if err != nil {
		return err
	}
	p.role = e
	return p.serve(s.Readiness, protocol.ReadinessFor(e.Ready))
}

func (p *process) buildRelay(protocol Protocol) error {
	s := p.settings
	r, err := relay.NewProcess(relay.ProcessConfig{
		Codec: protocol.Codec, Name: s.Name, Zone: s.Zone, Service: s.Service, Target: s.Target,
		FromTarget: s.FromTarget, CallerPort: s.Callers.Port(), IP: s.IP, Port: s.Port, Seeds: s.ControllerIPs(),
		HeartbeatInterval: time.Duration(s.HeartbeatMS) * time.Millisecond, Linger: DefaultLinger,
	}, p.tel)
	if err != nil {
		return err
	}
	p.role = r
	if s.Readiness.IsValid() {
		if err := p.serve(s.Readiness, protocol.ReadinessFor(func() error { return nil })); err != nil {
			return err
		}
	}
	return p.serve(s.Heartbeats, protocol.TargetCalls(r, s.Target, p.tel.Logger))
}

func (p *process) buildStore(protocol Protocol) error {
	s := p.settings
	c, err := confstore.New(confstore.Config{
		IP: s.IP, Port: s.Port, DataDir: s.DataDir, Seeds: s.ControllerIPs(), Bootstrap: s.FirstStart,
		Check: protocol.CheckConfig,
	}, p.tel)
	if err != nil {
		return err
	}
	p.role = c
	return p.serve(s.Operators, protocol.Operators(c, p.tel.Logger))
}

func (p *process) serve(at netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", at.String())
	if err != nil {
		return errors.Wrapf(err, "serve calls at %s", at)
	}
	p.servers = append(p.servers, &server{listener, &http.Server{
		Handler: handler, ReadTimeout: callTimeout, WriteTimeout: callTimeout, IdleTimeout: callTimeout,
	}})
	return nil
}

func (s *server) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// run adds a part that runs from the start of the process until its turn to stop.
func (p *process) run(lc fx.Lifecycle, part func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				if err := part(ctx); err != nil {
					select {
					case p.failed <- err:
					default:
					}
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
				return errors.Wrap(stopping.Err(), "a part of the process is still running")
			}
		},
	})
}

func (p *process) logLifecycle(lc fx.Lifecycle) {
	s := p.settings
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			p.tel.Logger.Info().Str("role", string(s.Role)).Str("ip", s.IP.String()).Str("zone", s.Zone).
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

// watchSettings reads the settings again after a SIGHUP and when the file has changed. Only the
// controllers can change while the process runs.
func (p *process) watchSettings(ctx context.Context) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	modified := p.modified()
	for {
		forced := false
		timer := time.NewTimer(reloadInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-hangup:
			forced = true
		case <-timer.C:
		}
		timer.Stop()
		if at := p.modified(); forced || !at.Equal(modified) {
			modified = at
			p.reload()
		}
	}
}

func (p *process) modified() time.Time {
	info, err := os.Stat(p.path)
	if err != nil {
		p.tel.Logger.Warn().Err(err).Msg("the settings file cannot be read, the settings stay")
		return time.Time{}
	}
	return info.ModTime()
}

func (p *process) reload() {
	next, err := Load(p.path)
	if err != nil {
		p.tel.Logger.Error().Err(err).Msg("the changed settings are refused, those in force stay")
		return
	}
	p.role.SetSeeds(next.ControllerIPs())
	current := *p.settings
	current.Controllers = next.Controllers
	if !reflect.DeepEqual(current, *next) {
		p.tel.Logger.Warn().Str("code", result.SettingsInvalid.String()).
			Msg("settings other than the controllers have changed, they take effect at the next start")
	}
	p.settings.Controllers = next.Controllers
	p.tel.Logger.Info().Int("controllers", len(next.Controllers)).Msg("settings reloaded")
}
