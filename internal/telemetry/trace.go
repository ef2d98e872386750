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

// TraceConfig selects which spans are recorded and where they are exported.
type TraceConfig struct {
	Exporter string // one of the constants above; empty means ExporterNone
	Endpoint string // base URL of the collector, for ExporterOTLP
	// SampleRatio is the fraction, from 0 to 1, of the traces started in this process that are recorded.
	SampleRatio float64
}

// newTracerProvider returns a provider that records nothing without an exporter or at ratio 0, not even spans
// whose parent is sampled. Spans wait for their export in a bounded queue. They are dropped when it is full, so
// that a slow collector never delays packets.
func newTracerProvider(cfg Config) (*sdktrace.TracerProvider, error) {
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
			attribute.String("service.name", cfg.ServiceName),
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
