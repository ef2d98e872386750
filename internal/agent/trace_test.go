package agent_test

import (
	"context"
	"net/netip"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/greengagelock/greengagelock/internal/agent"
	"github.com/greengagelock/greengagelock/internal/balancer"
	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/fabric"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/placement"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

// tracing returns a handle whose spans go to the recorder.
func tracing() (telemetry.Handle, *tracetest.SpanRecorder) {
	recorder := tracetest.NewSpanRecorder()
	handle := telemetry.Discard()
	handle.Tracer = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)).Tracer("test")
	return handle, recorder
}

func sampleAll(c *agent.Config) { c.SampleOneIn = 1 }

// attributesOf returns the values of the named attributes of a span.
func attributesOf(span sdktrace.ReadOnlySpan, names ...string) []any {
	values := map[string]any{}
	for _, a := range span.Attributes() {
		values[string(a.Key)] = a.Value.AsInterface()
	}
	var list []any
	for _, name := range names {
		list = append(list, values[name])
	}
	return list
}

// traceOf waits for n ended spans, checks that they belong to the trace of a SYN of caller, and returns
// the name, target, hops and outcome of each.
func traceOf(recorder *tracetest.SpanRecorder, isn uint32, n int) [][]any {
	gomega.Eventually(recorder.Ended, "10s").Should(gomega.HaveLen(n))
	var spans [][]any
	parent := flow.SpanContext(flow.Key{Caller: caller, Service: service}, isn)
	for _, span := range recorder.Ended() {
		gomega.Expect(span.SpanContext().TraceID()).To(gomega.Equal(parent.TraceID()))
		gomega.Expect(span.Parent().SpanID()).To(gomega.Equal(parent.SpanID()))
		spans = append(spans, append([]any{span.Name()}, attributesOf(span, "target", "hops", "outcome")...))
	}
	return spans
}

// viewOfBoth returns a view with the targets of two fixtures, both active.
func viewOfBoth(fixtures map[model.TargetID]*fixture) *model.View {
	v := fixtures[5].view(8)
	v.Targets[6] = model.Target{ID: 6, VM: "vm-1", Service: 3, Agent: fixtures[6].data.LocalAddr(), Slots: 1, MaxConns: 10}
	return v
}

// chainOf returns the order in which a SYN of caller tries the two targets.
func chainOf(v *model.View) (first, second model.TargetID) {
	table, _ := placement.Build(nil, v)
	bucket := placement.BucketOfKey(flow.Key{Caller: caller, Service: service})
	chain := table.Lookup(service).FullChain(placement.ChainOf(true), bucket)
	return chain[0].ID, chain[1].ID
}

var _ = ginkgo.Describe("the trace of a flow", func() {
	// Guards against spans of a hop that do not belong to the trace of the flow or have no outcome, and
	// against an answer of the target without a span.
	ginkgo.It("has a span for the balancer, each agent and the answer of the target", func() {
		handle, recorder := tracing()
		fixtures := map[model.TargetID]*fixture{}
		for _, id := range []model.TargetID{5, 6} {
			handle.Metrics = telemetry.Discard().Metrics
			fixtures[id] = newFixtureWith(handle, sampleAll)
			defer fixtures[id].close()
		}
		ingress, egress, source := listen(), listen(), listen()
		defer source.Close()
		handle.Metrics = telemetry.Discard().Metrics
		lb, err := balancer.New(balancer.Config{
			Name: "b1", FleetKey: fleetKey, Ingress: ingress, Egress: egress, SampleOneIn: 1,
		}, handle)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- lb.Run(ctx) }()
		defer func() { cancel(); gomega.Expect(<-done).To(gomega.Succeed()) }()

		all := viewOfBoth(fixtures)
		lb.ApplyView(all)
		// The agents have a newer view than the balancer: the target that it tries first is draining.
		first, second := chainOf(all)
		for id, f := range fixtures {
			v := all.Clone()
			if id == first {
				t := v.Targets[id]
				t.State = model.TargetDraining
				v.Targets[id] = t
			}
			f.agent.ApplyView(v)
		}
		syn, err := flow.Build(flow.Segment{From: caller, To: service, SYN: true, Seq: 100, Window: 1000})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = source.WriteBatch([]fabric.Datagram{{Data: syn, Addr: ingress.LocalAddr()}})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, port := receive(fixtures[second].target)
		fixtures[second].answer(port, flow.Segment{SYN: true, ACK: true, Seq: 900, Ack: 101, Window: 1000})
		gomega.Expect(traceOf(recorder, 100, 4)).To(gomega.ConsistOf(
			[]any{"balancer.forward", nil, int64(0), "forwarded"},
			[]any{"agent.syn", int64(first), int64(0), "passed_on"},
			[]any{"agent.syn", int64(second), int64(1), "admitted"},
			[]any{"target.answer", int64(second), int64(1), "syn_ack"},
		))
	})

	// Guards against a refusal whose result code is missing from the trace.
	ginkgo.It("shows the code of a refusal", func() {
		handle, recorder := tracing()
		f := newFixtureWith(handle, sampleAll)
		defer f.close()
		expired, cancel := context.WithCancel(context.Background())
		cancel()
		f.agent.Stop(expired)
		f.send(flow.Segment{SYN: true, Seq: 100, Window: 1000})
		receive(f.gateway)
		gomega.Expect(traceOf(recorder, 100, 1)).To(gomega.Equal([][]any{{"agent.syn", int64(5), int64(0), "refused"}}))
		gomega.Expect(attributesOf(recorder.Ended()[0], "code")).To(gomega.Equal([]any{int64(2004)}))
	})

	// Guards against a queued SYN whose time in the queue or later answer is missing from the trace.
	ginkgo.It("shows the time in the queue and a target that resets", func() {
		handle, recorder := tracing()
		f := newFixtureWith(handle, sampleAll)
		defer f.close()
		other := netip.MustParseAddrPort("10.8.0.9:40000")
		f.send(flow.Segment{From: other, SYN: true, Seq: 7, Window: 1000})
		_, port := receive(f.target)
		f.send(flow.Segment{SYN: true, Seq: 100, Window: 1000}, func(h *encap.Header) { h.Final = true })
		gomega.Eventually(recorder.Ended, "10s").Should(gomega.HaveLen(2))
		// A reset ends the first flow and releases the only slot.
		reset, err := flow.Build(flow.Segment{From: service, To: other, RST: true, ACK: true, Ack: 8})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = f.target.WriteBatch([]fabric.Datagram{{Data: reset, Addr: port}})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		receive(f.target)
		f.answer(port, flow.Segment{RST: true, ACK: true, Ack: 101})
		gomega.Eventually(recorder.Ended, "10s").Should(gomega.HaveLen(5))
		var spans [][]any
		for _, span := range recorder.Ended() {
			if span.SpanContext().TraceID() == flow.TraceID(flow.Key{Caller: caller, Service: service}, 100) {
				spans = append(spans, append([]any{span.Name()}, attributesOf(span, "outcome")...))
			}
		}
		gomega.Expect(spans).To(gomega.Equal([][]any{
			{"agent.syn", "queued"}, {"agent.queue", "admitted"}, {"target.answer", "rst"},
		}))
	})
})
