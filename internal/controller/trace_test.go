package controller

import (
	"slices"
	"testing"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/testkit"
)

// Guards against spans of a configuration change that are missing or belong to another trace.
func TestEditThroughFollowerIsOneTrace(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	recorder := tracetest.NewSpanRecorder()
	h.tracer = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)).Tracer("test")
	c := h.cluster(3)
	balancer := &fakeNode{}
	h.node(model.RoleBalancer, "b1", balancer, c.addresses()...)
	revision := model.Revision(0)
	for _, id := range []string{"first", "second"} {
		// An election during an edit adds spans of a second leader, so the edit is then repeated.
		for traced := false; !traced; id += "+" {
			traced = c.traceEdit(recorder, id, revision)
			revision++
		}
	}
}

// traceEdit sends an edit to a follower and compares its trace. It returns false without a check if the
// leader changed meanwhile.
func (c *cluster) traceEdit(recorder *tracetest.SpanRecorder, id string, base model.Revision) bool {
	c.h.t.Helper()
	testkit.Eventually(c.h.t, "leader", func() bool { return c.leader() != "" })
	leader := c.leader()
	term := c.controllers[leader].log.Status().Term
	follower := "c1"
	if leader == follower {
		follower = "c2"
	}
	// If the follower did not know the leader yet, the client would retry and record a second receive span.
	testkit.Eventually(c.h.t, "follower knows the leader", func() bool { return c.controllers[follower].log.Status().Leader == leader })
	reply, err := c.h.operator(c.members[follower]).Apply(c.h.t.Context(), operator.Edit{
		CommandID: id, Base: base, File: "doc", Document: document(int(base)+1, 1, ""),
	})
	testkit.Check(c.h.t, err)
	testkit.Check(c.h.t, reply.Result.Err())
	want := []string{"controller.commit " + leader, "controller.receive " + follower, "node.apply b1", "operator.command "}
	sameLeader := func() bool {
		status := c.controllers[leader].log.Status()
		return status.IsLeader && status.Term == term
	}
	testkit.Eventually(c.h.t, id+" in one trace", func() bool { return !sameLeader() || slices.Equal(spansOf(recorder, id), want) })
	return sameLeader()
}

// spansOf returns the name and the node of each span in the trace of a command, sorted.
func spansOf(recorder *tracetest.SpanRecorder, commandID string) []string {
	var spans []string
	for _, span := range recorder.Ended() {
		if id := span.SpanContext().TraceID(); string(id[:]) != string(model.TraceOf(commandID)) {
			continue
		}
		node := ""
		for _, a := range span.Attributes() {
			if a.Key == "node" {
				node = a.Value.AsString()
			}
		}
		spans = append(spans, span.Name()+" "+node)
	}
	slices.Sort(spans)
	return spans
}
