package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/greengagelock/greengagelock/internal/model"
)

// StartChangeSpan starts a span in the trace of a configuration change. All spans of the trace are children of one
// parent span, derived from the trace ID, that is never recorded itself. If id is not a whole trace ID, the
// returned span records nothing.
func StartChangeSpan(tracer trace.Tracer, id model.TraceID, name string, attributes ...attribute.KeyValue) trace.Span {
	var traceID trace.TraceID
	if copy(traceID[:], id) != len(traceID) {
		return trace.SpanFromContext(context.Background())
	}
	parent := trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: traceID, SpanID: trace.SpanID(traceID[8:]), TraceFlags: trace.FlagsSampled, Remote: true,
	})
	ctx := trace.ContextWithRemoteSpanContext(context.Background(), parent)
	_, span := tracer.Start(ctx, name, trace.WithAttributes(attributes...))
	return span
}

// EndChangeSpan ends a span with the result code and the error, which may be nil, of the step that it covers.
func EndChangeSpan(span trace.Span, code uint16, err error) {
	span.SetAttributes(attribute.Int("code", int(code)))
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}
