package telemetry

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// Trace exporters.
const (
	ExporterNone   = "none"
	ExporterStdout = "stdout"
	ExporterOTLP   = "otlp"
)

// TraceConfig says which spans go where.
type TraceConfig struct {
	Exporter string
	Endpoint string // base URL of the collector, for ExporterOTLP
	// SampleRatio is the share of traces that start in this process and are recorded.
	SampleRatio float64
}

// newTracers returns a provider that records nothing without an exporter or at ratio 0, not even spans
// whose parent is sampled. Spans wait in a bounded
// queue and are dropped when it is full, so that a slow collector never delays packets.
func newTracers(cfg Config) (*sdktrace.TracerProvider, error) {
	exporter, err := newExporter(cfg)
	if err != nil {
		return nil, err
	}
	if exporter == nil || cfg.Trace.SampleRatio <= 0 {
		return sdktrace.NewTracerProvider(sdktrace.WithSampler(sdktrace.NeverSample())), nil
	}
	return sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.Trace.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", cfg.Service),
			attribute.String("service.instance.id", cfg.Node),
		)),
	), nil
}

func newExporter(cfg Config) (sdktrace.SpanExporter, error) {
	switch cfg.Trace.Exporter {
	case ExporterNone, "":
		return nil, nil
	case ExporterStdout:
		return stdouttrace.New(stdouttrace.WithWriter(cfg.Spans))
	case ExporterOTLP:
		return otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(cfg.Trace.Endpoint+"/v1/traces"))
	}
	return nil, fmt.Errorf("unknown trace exporter %q", cfg.Trace.Exporter)
}
