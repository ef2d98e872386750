package telemetry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

const (
	// instrumentation names the source of the spans.
	instrumentation = "github.com/greengagelock/greengagelock"
	// DefaultService is the service name in the spans of the daemon.
	DefaultService = "greengagelockd"
	// requestTimeout bounds reading and answering a request for metrics or health.
	requestTimeout = 10 * time.Second
	// flushTimeout bounds the export of the last spans when the process stops.
	flushTimeout = 2 * time.Second
)

// Config configures the telemetry of a process.
type Config struct {
	Node string // name of the process
	// Service is the service name of the spans; DefaultService if empty.
	Service string
	// Listen is the TCP address of the HTTP endpoints. Without it there are none.
	Listen   netip.AddrPort
	LogLevel string
	Trace    TraceConfig
	// Logs and Spans receive log lines and the spans of ExporterStdout. They default to the standard
	// error and standard output of the process.
	Logs, Spans io.Writer
}

// Telemetry owns the logger, metrics registry, tracer and HTTP endpoints of a process.
type Telemetry struct {
	Readiness Readiness

	cfg      Config
	registry *prometheus.Registry
	tracers  *sdktrace.TracerProvider
	listener net.Listener
}

// New opens the HTTP listener and the trace exporter.
func New(cfg Config) (*Telemetry, error) {
	if cfg.Service == "" {
		cfg.Service = DefaultService
	}
	if cfg.Logs == nil {
		cfg.Logs = os.Stderr
	}
	if cfg.Spans == nil {
		cfg.Spans = os.Stdout
	}
	tracers, err := newTracers(cfg)
	if err != nil {
		return nil, err
	}
	t := &Telemetry{cfg: cfg, registry: prometheus.NewRegistry(), tracers: tracers}
	t.registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	if cfg.Listen.IsValid() {
		t.listener, err = net.Listen("tcp", cfg.Listen.String())
		if err != nil {
			return nil, errors.Join(err, t.flush())
		}
	}
	return t, nil
}

// Handle returns the handle of a component of the process. The component name labels its log lines
// and metrics, so that components of one process may register the same metric.
func (t *Telemetry) Handle(component string) Handle {
	return Handle{
		Logger: &log.Logger{
			Level:   log.ParseLevel(t.cfg.LogLevel),
			Context: log.NewContext(nil).Str("process", t.cfg.Node).Str("component", component).Value(),
			Writer:  log.IOWriter{Writer: t.cfg.Logs},
		},
		Metrics: prometheus.WrapRegistererWith(prometheus.Labels{"component": component}, t.registry),
		Tracer:  t.tracers.Tracer(instrumentation),
	}
}

// Gatherer returns the metrics of all components.
func (t *Telemetry) Gatherer() prometheus.Gatherer { return t.registry }

// Addr returns the address of the HTTP endpoints; it is not valid without Config.Listen.
func (t *Telemetry) Addr() netip.AddrPort {
	if t.listener == nil {
		return netip.AddrPort{}
	}
	addr, ok := t.listener.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return addr.AddrPort()
}

// Run serves the HTTP endpoints until ctx is done, and then exports the remaining spans.
func (t *Telemetry) Run(ctx context.Context) error {
	err := t.serve(ctx)
	return errors.Join(err, t.flush())
}

func (t *Telemetry) serve(ctx context.Context) error {
	if t.listener == nil {
		<-ctx.Done()
		return nil
	}
	server := &http.Server{Handler: t.handler(), ReadTimeout: requestTimeout, WriteTimeout: requestTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(t.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (t *Telemetry) flush() error {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	return t.tracers.Shutdown(ctx)
}

func (t *Telemetry) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{Registry: t.registry}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("GET /readyz", t.Readiness.serve)
	return mux
}
