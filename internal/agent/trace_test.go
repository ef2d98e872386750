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

func sampleAll(c *agent.Config) { c.SampleEvery = 1 }

// attributesOf returns the named attributes of a span.
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

// traceOf waits for a number of spans, checks that they share the trace of a SYN of caller, and
// returns each as name, target, hops and outcome.
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

// withAgents returns the view of two benches, where the first target of the chain is draining.
func withAgents(benches map[model.TargetID]*bench) *model.View {
	v := benches[5].view(8)
	v.Targets[6] = model.Target{ID: 6, VM: "vm-1", Service: 3, Agent: benches[6].data.LocalAddr(), Slots: 1, MaxConns: 10}
	return v
}

// chainOf returns the order in which a SYN of caller tries the two targets.
func chainOf(v *model.View) (first, second model.TargetID) {
	table, _ := placement.Build(nil, v)
	bucket := placement.BucketOfKey(flow.Key{Caller: caller, Service: service})
	chain := table.Lookup(service).Full(placement.ChainOf(true), bucket)
	return chain[0].ID, chain[1].ID
}

var _ = ginkgo.Describe("the trace of a flow", func() {
	// Guards against hops that do not share the trace of the flow, that lack their outcome, and
	// against an answer of the target that is not traced.
	ginkgo.It("has a span for the balancer, each agent and the answer of the target", func() {
		handle, recorder := tracing()
		benches := map[model.TargetID]*bench{}
		for _, id := range []model.TargetID{5, 6} {
			handle.Metrics = telemetry.Discard().Metrics
			benches[id] = newBenchWith(handle, sampleAll)
			defer benches[id].close()
		}
		ingress, egress, source := listen(), listen(), listen()
		defer source.Close()
		handle.Metrics = telemetry.Discard().Metrics
		front, err := balancer.New(balancer.Config{
			Name: "b1", FleetKey: fleetKey, Ingress: ingress, Egress: egress, SampleOneIn: 1,
		}, handle)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- front.Run(ctx) }()
		defer func() { cancel(); gomega.Expect(<-done).To(gomega.Succeed()) }()

		all := withAgents(benches)
		front.ApplyView(all)
		// The agents are ahead of the balancer: the target that it tries first is draining.
		first, second := chainOf(all)
		for id, b := range benches {
			v := all.Clone()
			if id == first {
				t := v.Targets[id]
				t.State = model.TargetDraining
				v.Targets[id] = t
			}
			b.agent.ApplyView(v)
		}
		syn, err := flow.Build(flow.Segment{From: caller, To: service, SYN: true, Seq: 100, Window: 1000})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = source.WriteBatch([]fabric.Datagram{{Data: syn, Addr: ingress.LocalAddr()}})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, port := receive(benches[second].target)
		benches[second].answer(port, flow.Segment{SYN: true, ACK: true, Seq: 900, Ack: 101, Window: 1000})
		gomega.Expect(traceOf(recorder, 100, 4)).To(gomega.ConsistOf(
			[]any{"balancer.forward", nil, int64(0), "forwarded"},
			[]any{"agent.syn", int64(first), int64(0), "passed_on"},
			[]any{"agent.syn", int64(second), int64(1), "admitted"},
			[]any{"target.answer", int64(second), int64(1), "syn_ack"},
		))
	})

	// Guards against a refusal whose reason the trace does not show.
	ginkgo.It("shows the code of a refusal", func() {
		handle, recorder := tracing()
		b := newBenchWith(handle, sampleAll)
		defer b.close()
		expired, cancel := context.WithCancel(context.Background())
		cancel()
		b.agent.Stop(expired)
		b.send(flow.Segment{SYN: true, Seq: 100, Window: 1000})
		receive(b.gateway)
		gomega.Expect(traceOf(recorder, 100, 1)).To(gomega.Equal([][]any{{"agent.syn", int64(5), int64(0), "refused"}}))
		gomega.Expect(attributesOf(recorder.Ended()[0], "code")).To(gomega.Equal([]any{int64(2004)}))
	})

	// Guards against a queued SYN whose wait or later answer is missing from the trace.
	ginkgo.It("shows the time in the queue and a target that resets", func() {
		handle, recorder := tracing()
		b := newBenchWith(handle, sampleAll)
		defer b.close()
		other := netip.MustParseAddrPort("10.8.0.9:40000")
		b.send(flow.Segment{From: other, SYN: true, Seq: 7, Window: 1000})
		_, port := receive(b.target)
		b.send(flow.Segment{SYN: true, Seq: 100, Window: 1000}, func(h *encap.Header) { h.Final = true })
		gomega.Eventually(recorder.Ended, "10s").Should(gomega.HaveLen(2))
		// The end of the first flow frees the only slot.
		reset, err := flow.Build(flow.Segment{From: service, To: other, RST: true, ACK: true, Ack: 8})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = b.target.WriteBatch([]fabric.Datagram{{Data: reset, Addr: port}})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		receive(b.target)
		b.answer(port, flow.Segment{RST: true, ACK: true, Ack: 101})
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
