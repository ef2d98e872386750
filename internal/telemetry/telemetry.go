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
	// tracerName is the instrumentation scope of the spans.
	tracerName = "github.com/greengagelock/greengagelock"
	// DefaultServiceName is the service name in the spans of the daemon.
	DefaultServiceName = "greengagelockd"
	// requestTimeout bounds the reading of an HTTP request and the writing of the response.
	requestTimeout = 10 * time.Second
	// flushTimeout bounds the export of the remaining spans when the process stops.
	flushTimeout = 2 * time.Second
)

// Config configures the telemetry of a process.
type Config struct {
	Node string // name of the process
	// ServiceName is the service name of the spans; DefaultServiceName if empty.
	ServiceName string
	// Listen is the TCP address of the HTTP endpoints. Without a valid address there are none.
	Listen   netip.AddrPort
	LogLevel string
	Trace    TraceConfig
	// Logs receives the log lines, Spans the spans of ExporterStdout. They default to standard error and
	// standard output.
	Logs, Spans io.Writer
}

// Telemetry owns the logger, metrics registry, tracer and HTTP endpoints of a process.
type Telemetry struct {
	Readiness Readiness

	cfg            Config
	registry       *prometheus.Registry
	tracerProvider *sdktrace.TracerProvider
	listener       net.Listener
}

// New opens the HTTP listener and the trace exporter. Run closes both.
func New(cfg Config) (*Telemetry, error) {
	if cfg.ServiceName == "" {
		cfg.ServiceName = DefaultServiceName
	}
	if cfg.Logs == nil {
		cfg.Logs = os.Stderr
	}
	if cfg.Spans == nil {
		cfg.Spans = os.Stdout
	}
	tracerProvider, err := newTracerProvider(cfg)
	if err != nil {
		return nil, err
	}
	t := &Telemetry{cfg: cfg, registry: prometheus.NewRegistry(), tracerProvider: tracerProvider}
	t.registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	if cfg.Listen.IsValid() {
		t.listener, err = net.Listen("tcp", cfg.Listen.String())
		if err != nil {
			return nil, errors.Join(err, t.flushSpans())
		}
	}
	return t, nil
}

// Handle returns the handle of a component. The component name labels its log lines and metrics, so that
// several components of a process may register the same metric.
func (t *Telemetry) Handle(component string) Handle {
	return Handle{
		Logger: &log.Logger{
			Level:   log.ParseLevel(t.cfg.LogLevel),
			Context: log.NewContext(nil).Str("process", t.cfg.Node).Str("component", component).Value(),
			Writer:  log.IOWriter{Writer: t.cfg.Logs},
		},
		Metrics: prometheus.WrapRegistererWith(prometheus.Labels{"component": component}, t.registry),
		Tracer:  t.tracerProvider.Tracer(tracerName),
	}
}

// Gatherer returns the source of the metrics of all components.
func (t *Telemetry) Gatherer() prometheus.Gatherer { return t.registry }

// Addr returns the address of the HTTP endpoints, or the zero value if there are none.
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
	return errors.Join(err, t.flushSpans())
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

func (t *Telemetry) flushSpans() error {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	return t.tracerProvider.Shutdown(ctx)
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
