// Package telemetry provides logs, metrics and traces to the other packages.
package telemetry

import (
	"io"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Handle is what a component needs to report what it does. Log lines are only for changes of
// state; everything that happens per packet, flow or request is a metric or a span.
type Handle struct {
	Logger  *log.Logger
	Metrics prometheus.Registerer
	Tracer  trace.Tracer
}

// Discard returns a handle with a metrics registry of its own that writes no log lines and no
// spans.
func Discard() Handle {
	return Handle{
		Logger:  &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
		Metrics: prometheus.NewRegistry(),
		Tracer:  noop.NewTracerProvider().Tracer(""),
	}
}
