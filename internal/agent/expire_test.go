package agent

import (
	"net/netip"
	"testing"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/flowtable"
)

// Guards against three faults: a SYN that the target never answers has no span, a traced SYN is never
// removed, or it gets the outcome of a later connection with the same ports.
func TestSpanOfUnansweredSYNTimesOut(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	s := synTracer{
		tracer:  sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)).Tracer("test"),
		pending: map[flow.Key]*tracedSYN{},
	}
	p := flow.Packet{Key: flow.Key{Caller: netip.MustParseAddrPort("10.8.0.1:1"), Service: netip.MustParseAddrPort("10.9.0.1:2")}}
	s.track(&p, &tracedSYN{startedAt: time.Second}, outcomeAdmitted)
	s.expire(time.Second + flowtable.HalfOpenTimeout - 1)
	if n := len(recorder.Ended()); n != 0 {
		t.Fatalf("%d spans ended before the timeout, want none", n)
	}
	s.expire(time.Second + flowtable.HalfOpenTimeout)
	spans := recorder.Ended()
	if len(spans) != 1 || spans[0].Name() != "target.answer" || spans[0].Attributes()[0].Value.AsString() != outcomeTimeout {
		t.Fatalf("got spans %v, want one target.answer with outcome timeout", spans)
	}
	if took := spans[0].EndTime().Sub(spans[0].StartTime()); took != flowtable.HalfOpenTimeout {
		t.Fatalf("span lasts %v, want %v", took, flowtable.HalfOpenTimeout)
	}
	s.track(&p, &tracedSYN{isn: p.TCP.Seq + 1}, outcomeQueued)
	s.dropStale(&p)
	if len(s.pending) != 0 {
		t.Fatal("the SYN of the earlier connection is still pending")
	}
}
