// Package telemetry provides logging, metrics and tracing to the components of a process, and the HTTP endpoints
// /metrics, /healthz and /readyz.
package telemetry

import (
	"io"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Handle holds the logger, metrics registerer and tracer of a component. Log lines are for state changes only;
// what happens per packet, flow or request is counted in metrics or traced.
type Handle struct {
	Logger  *log.Logger
	Metrics prometheus.Registerer
	Tracer  trace.Tracer
}

// Discard returns a handle that writes no log lines and no spans, and has a metrics registry of its own.
func Discard() Handle {
	return Handle{
		Logger:  &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
		Metrics: prometheus.NewRegistry(),
		Tracer:  noop.NewTracerProvider().Tracer(""),
	}
}
