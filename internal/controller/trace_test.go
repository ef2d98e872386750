package controller

import (
	"maps"
	"testing"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/testkit"
)

// Guards against a part of a configuration change that is missing from its trace, and against
// spans of one change in different traces.
func TestEditThroughFollowerIsOneTrace(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	recorder := tracetest.NewSpanRecorder()
	h.tracer = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)).Tracer("test")
	c := h.cluster(3)
	testkit.Eventually(t, "leader", func() bool { return c.leader() != "" })
	leader := c.leader()
	follower := "c1"
	if leader == follower {
		follower = "c2"
	}
	balancer := &standin{}
	h.node(model.RoleBalancer, "b1", balancer, c.addresses()...)
	ctl := h.operator(c.members[follower])
	// The node gets the first change as a whole view, the second one as a delta.
	for base, id := range []string{"first", "second"} {
		reply, err := ctl.Apply(t.Context(), operator.Edit{
			CommandID: id, Base: model.Revision(base), File: "doc", Document: document(base+1, 1, ""),
		})
		testkit.Check(t, err)
		testkit.Check(t, reply.Result.Err())
		want := map[string]string{
			"operator.command": "", "controller.receive": follower, "controller.commit": leader, "node.apply": "b1",
		}
		testkit.Eventually(t, id+" in one trace", func() bool { return maps.Equal(nodesIn(recorder, id), want) })
	}
	if n := len(recorder.Ended()); n != 8 {
		t.Fatalf("got %d spans, want 4 for each of 2 changes", n)
	}
}

// nodesIn returns the node of each span in the trace of a command.
func nodesIn(recorder *tracetest.SpanRecorder, commandID string) map[string]string {
	nodes := map[string]string{}
	for _, span := range recorder.Ended() {
		if id := span.SpanContext().TraceID(); string(id[:]) != string(model.TraceOf(commandID)) {
			continue
		}
		nodes[span.Name()] = ""
		for _, a := range span.Attributes() {
			if a.Key == "node" {
				nodes[span.Name()] = a.Value.AsString()
			}
		}
	}
	return nodes
}
