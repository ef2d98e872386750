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

// Guards against a silent target that leaves no span, and against traced SYNs that are kept for ever or
// get the outcome of a later connection with the same ports.
func TestAnswerTimesOut(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	s := synTracer{
		tracer:  sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)).Tracer("test"),
		waiting: map[flow.Key]*tracedSYN{},
	}
	p := flow.Packet{Key: flow.Key{Caller: netip.MustParseAddrPort("10.8.0.1:1"), Service: netip.MustParseAddrPort("10.9.0.1:2")}}
	s.keep(&p, &tracedSYN{since: time.Second}, outcomeAdmitted)
	s.expire(time.Second + flowtable.HalfOpenTimeout - 1)
	if n := len(recorder.Ended()); n != 0 {
		t.Fatalf("%d spans before the timeout", n)
	}
	s.expire(time.Second + flowtable.HalfOpenTimeout)
	spans := recorder.Ended()
	if len(spans) != 1 || spans[0].Name() != "target.answer" || spans[0].Attributes()[0].Value.AsString() != outcomeTimeout {
		t.Fatalf("got spans %v, want one target.answer with outcome timeout", spans)
	}
	if took := spans[0].EndTime().Sub(spans[0].StartTime()); took != flowtable.HalfOpenTimeout {
		t.Fatalf("span takes %v, want %v", took, flowtable.HalfOpenTimeout)
	}
	s.keep(&p, &tracedSYN{isn: p.TCP.Seq + 1}, outcomeQueued)
	s.forget(&p)
	if len(s.waiting) != 0 {
		t.Fatal("the SYN is still kept")
	}
}
