package flow

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/trace"
)

// DefaultSampleOneIn is the share of flows whose hops are traced.
const DefaultSampleOneIn = 1024

// Sampled reports whether the hops of a flow with this hash are traced, for one flow in oneIn. All
// hops with the same setting decide alike. Zero samples none.
func Sampled(hash uint64, oneIn uint64) bool {
	// The low bits select the bucket, so the high bits decide here.
	return oneIn != 0 && (hash>>32)%oneIn == 0
}

// TraceID returns the trace ID of a connection. Every hop derives it from the key and the initial
// sequence number of the caller, so it need not travel in the packet.
func TraceID(key Key, isn uint32) trace.TraceID {
	var buf [12]byte
	binary.BigEndian.PutUint64(buf[0:8], key.Hash())
	binary.BigEndian.PutUint32(buf[8:12], isn)
	var id trace.TraceID
	binary.BigEndian.PutUint64(id[0:8], key.Hash())
	binary.BigEndian.PutUint64(id[8:16], xxhash.Sum64(buf[:]))
	return id
}

// SpanContext returns the parent of the spans of a connection. All hops are children of one parent
// that is never recorded itself.
func SpanContext(key Key, isn uint32) trace.SpanContext {
	id := TraceID(key, isn)
	return trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: id, SpanID: trace.SpanID(id[8:16]), TraceFlags: trace.FlagsSampled, Remote: true,
	})
}
