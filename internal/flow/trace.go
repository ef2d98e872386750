package flow

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/trace"
)

// Sampled reports whether the hops of a flow are traced. It selects one flow in oneIn by the hash, so all
// hops with the same oneIn select the same flows. Zero selects none.
func Sampled(hash uint64, oneIn uint64) bool {
	// The low bits select the placement bucket, so sampling uses the high bits.
	return oneIn != 0 && (hash>>32)%oneIn == 0
}

// TraceID returns the trace ID of a connection. Every hop derives it from the key and the caller's
// initial sequence number, so packets need not carry it.
func TraceID(key Key, isn uint32) trace.TraceID {
	var buf [12]byte
	binary.BigEndian.PutUint64(buf[0:8], key.Hash())
	binary.BigEndian.PutUint32(buf[8:12], isn)
	var id trace.TraceID
	binary.BigEndian.PutUint64(id[0:8], key.Hash())
	binary.BigEndian.PutUint64(id[8:16], xxhash.Sum64(buf[:]))
	return id
}

// SpanContext returns the context of the span that is the parent of all hops of a connection. The parent
// span itself is never recorded.
func SpanContext(key Key, isn uint32) trace.SpanContext {
	id := TraceID(key, isn)
	return trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: id, SpanID: trace.SpanID(id[8:16]), TraceFlags: trace.FlagsSampled, Remote: true,
	})
}
