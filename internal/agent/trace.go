package agent

import (
	"context"
	"encoding/binary"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/flowtable"
)

// sampled reports whether the flow is traced. The decision depends on the flow alone, so that every
// hop takes the same one.
func (a *Agent) sampled(k flow.Key) bool {
	return a.cfg.SampleEvery > 0 && k.Hash()%a.cfg.SampleEvery == 0
}

// traceContext returns a context in which spans belong to the trace of the flow.
func traceContext(k flow.Key) context.Context {
	var id trace.TraceID
	var parent trace.SpanID
	hash := k.Hash()
	binary.BigEndian.PutUint64(id[:8], hash)
	binary.BigEndian.PutUint64(id[8:], ^hash)
	binary.BigEndian.PutUint64(parent[:], hash|1)
	return trace.ContextWithRemoteSpanContext(context.Background(), trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: id, SpanID: parent, TraceFlags: trace.FlagsSampled, Remote: true,
	}))
}

// tracedSYN handles a SYN within a span.
func (a *Agent) tracedSYN(now time.Duration, h *encap.Header, p *flow.Packet) {
	_, span := a.tracer.Start(traceContext(p.Key), "agent.syn", trace.WithAttributes(
		attribute.String("agent", a.cfg.Name),
		attribute.String("flow", p.Key.String()),
		attribute.Int64("service", int64(h.Service)),
		attribute.Int("hops", int(h.Hops)),
		attribute.Bool("final", h.Final),
	))
	defer span.End()
	actions := a.table.FromFabric(now, h, p)
	for i := range actions {
		switch actions[i].Kind {
		case flowtable.Note:
			span.AddEvent(string(actions[i].Event))
		case flowtable.Drop:
			span.AddEvent("dropped", trace.WithAttributes(attribute.String("reason", string(actions[i].Reason))))
		}
	}
	a.out.run(actions)
}
