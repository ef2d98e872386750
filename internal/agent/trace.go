package agent

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/flowtable"
)

// maxTracedSYNs is the largest number of sampled SYNs that are queued or wait for an answer of the target.
// For a SYN beyond it, only the span agent.syn is recorded.
const maxTracedSYNs = 1024

// Values of the attribute outcome in the spans of a SYN.
const (
	outcomeAdmitted = "admitted"
	outcomeRepeated = "repeated" // a retransmission, delivered as part of a known flow
	outcomeQueued   = "queued"
	outcomePassedOn = "passed_on"
	outcomeMoved    = "moved"
	outcomeRefused  = "refused"
	outcomeReplied  = "replied" // the agent sent a packet other than a refusal to the caller
	outcomeDropped  = "dropped"
	outcomeSYNACK   = "syn_ack"
	outcomeRST      = "rst"
	outcomeTimeout  = "timeout"
)

// tracedSYN is a sampled SYN that is queued or waits for an answer of the target.
type tracedSYN struct {
	isn        uint32
	startedAt  time.Duration // when it was queued or delivered
	delivered  bool
	attributes []attribute.KeyValue
}

// synTracer records the spans of sampled SYNs. Its state is separate from the flow table, so that flows
// that are not sampled need no extra memory. Only the goroutine that owns the flow table uses it.
type synTracer struct {
	tracer      trace.Tracer
	name        string
	start       time.Time
	sampleOneIn uint64
	pending     map[flow.Key]*tracedSYN
}

func newSYNTracer(a *Agent) synTracer {
	return synTracer{
		tracer: a.tracer, name: a.cfg.Name, start: a.start, sampleOneIn: a.cfg.SampleOneIn,
		pending: map[flow.Key]*tracedSYN{},
	}
}

// isSampled reports whether a packet is a SYN of a sampled flow.
func (s *synTracer) isSampled(p *flow.Packet) bool {
	return s.sampleOneIn != 0 && p.IsSYN() && flow.Sampled(p.Key.Hash(), s.sampleOneIn)
}

// recordSpan records a span from since to now, both in the time of the flow table.
func (s *synTracer) recordSpan(name string, key flow.Key, isn uint32, since, now time.Duration, attributes ...attribute.KeyValue) {
	ctx := trace.ContextWithRemoteSpanContext(context.Background(), flow.SpanContext(key, isn))
	_, span := s.tracer.Start(ctx, name, trace.WithTimestamp(s.start.Add(since)), trace.WithAttributes(attributes...))
	span.End(trace.WithTimestamp(s.start.Add(now)))
}

// handleTracedSYN processes a sampled SYN and records the span agent.syn.
func (a *Agent) handleTracedSYN(now time.Duration, h *encap.Header, p *flow.Packet) {
	s := &a.spans
	// The attributes are taken first, because the flow table changes the header of a SYN that it forwards.
	attributes := []attribute.KeyValue{
		attribute.String("node", a.cfg.Name),
		attribute.String("flow", p.Key.String()),
		attribute.Int64("service", int64(h.Service)),
		attribute.Int64("target", int64(h.Current().Target)),
		attribute.Int64("generation", int64(h.Generation)),
		attribute.Int("hops", int(h.Hops)),
	}
	final := h.Final
	actions := a.table.FromFabric(now, h, p)
	s.dropStale(p)
	s.recordQueueOutcomes(now, actions)
	outcome := synOutcome(p.Key, actions)
	s.recordSpan("agent.syn", p.Key, p.TCP.Seq, now, a.now(),
		append(append(attributes[:len(attributes):len(attributes)], attribute.Bool("final", final)), outcome...)...)
	s.track(p, &tracedSYN{isn: p.TCP.Seq, startedAt: now, attributes: attributes}, outcome[0].Value.AsString())
	a.out.add(actions)
}

// dropStale removes a queued SYN of an earlier connection with the same ports, which the flow table has
// removed from its queue.
func (s *synTracer) dropStale(p *flow.Packet) {
	if syn, ok := s.pending[p.Key]; ok && !syn.delivered && syn.isn != p.TCP.Seq {
		delete(s.pending, p.Key)
	}
}

// track adds a SYN to the pending ones if its outcome is that it is queued or waits for an answer of the
// target.
func (s *synTracer) track(p *flow.Packet, syn *tracedSYN, outcome string) {
	if len(s.pending) >= maxTracedSYNs {
		return
	}
	syn.delivered = outcome == outcomeAdmitted
	if syn.delivered || outcome == outcomeQueued {
		s.pending[p.Key] = syn
	}
}

// synOutcome returns the attributes for the outcome of a SYN, given the actions of the flow table.
func synOutcome(key flow.Key, actions []flowtable.Action) []attribute.KeyValue {
	outcome := []attribute.KeyValue{attribute.String("outcome", outcomeDropped)}
	admitted := false
	for i := range actions {
		action := &actions[i]
		switch action.Kind {
		case flowtable.CountEvent:
			admitted = admitted || action.Event == flowtable.EventAdmitted
			if action.Event == flowtable.EventQueued {
				outcome[0] = attribute.String("outcome", outcomeQueued)
			}
		case flowtable.Drop:
			outcome = append(outcome, attribute.String("reason", string(action.Reason)))
		case flowtable.Deliver, flowtable.Forward, flowtable.SendToCaller:
			if attributes := actionOutcome(key, action, admitted); attributes != nil {
				return attributes
			}
		}
	}
	return outcome
}

// actionOutcome returns the attributes for the outcome of an action with a packet, or nil if the packet
// belongs to another flow.
func actionOutcome(key flow.Key, action *flowtable.Action, admitted bool) []attribute.KeyValue {
	packetKey := flow.KeyOf(action.Packet)
	switch {
	case action.Kind == flowtable.SendToCaller && packetKey.Reverse() == key:
		return replyOutcome(action.Packet)
	case packetKey != key:
		return nil
	case action.Kind == flowtable.Forward:
		return []attribute.KeyValue{
			attribute.String("outcome", outcomePassedOn),
			attribute.Int64("next_target", int64(action.Header.Current().Target)),
		}
	case admitted:
		return []attribute.KeyValue{attribute.String("outcome", outcomeAdmitted)}
	}
	return []attribute.KeyValue{attribute.String("outcome", outcomeRepeated)}
}

// replyOutcome returns the attributes for the outcome of a SYN that the agent answers itself. A refusal is
// an RST with the result code in its payload.
func replyOutcome(raw []byte) []attribute.KeyValue {
	var p flow.Packet
	code := 0
	if p.Parse(raw) != flow.DropNone || !p.TCP.RST {
		return []attribute.KeyValue{attribute.String("outcome", outcomeReplied)}
	}
	if _, err := fmt.Sscanf(string(p.Payload), "GGL-%d", &code); err != nil {
		return []attribute.KeyValue{attribute.String("outcome", outcomeReplied)}
	}
	return []attribute.KeyValue{attribute.String("outcome", outcomeRefused), attribute.Int("code", code)}
}

// recordQueueOutcomes ends the span agent.queue of each queued SYN that the actions concern.
func (s *synTracer) recordQueueOutcomes(now time.Duration, actions []flowtable.Action) {
	if len(s.pending) == 0 {
		return
	}
	for i := range actions {
		switch action := &actions[i]; action.Kind {
		case flowtable.Deliver, flowtable.Forward:
			s.recordQueueOutcome(now, flow.KeyOf(action.Packet), action)
		case flowtable.SendToCaller:
			s.recordQueueOutcome(now, flow.KeyOf(action.Packet).Reverse(), action)
		}
	}
}

// recordQueueOutcome ends the span agent.queue of a SYN, if it is queued.
func (s *synTracer) recordQueueOutcome(now time.Duration, key flow.Key, action *flowtable.Action) {
	syn, ok := s.pending[key]
	if !ok || syn.delivered {
		return
	}
	outcome := actionOutcome(key, action, true)
	if action.Kind == flowtable.Forward {
		outcome[0] = attribute.String("outcome", outcomeMoved)
	}
	s.endSpan("agent.queue", key, syn, now, outcome...)
	if action.Kind == flowtable.Deliver {
		syn.delivered, syn.startedAt = true, now
		return
	}
	delete(s.pending, key)
}

// recordAnswer ends the span target.answer at the first answer of the target to a SYN.
func (s *synTracer) recordAnswer(now time.Duration, p *flow.Packet) {
	if len(s.pending) == 0 || (!p.TCP.SYN && !p.TCP.RST) {
		return
	}
	key := p.Key.Reverse()
	syn, ok := s.pending[key]
	if !ok || !syn.delivered {
		return
	}
	outcome := outcomeSYNACK
	if p.TCP.RST {
		outcome = outcomeRST
	}
	s.endSpan("target.answer", key, syn, now, attribute.String("outcome", outcome))
	delete(s.pending, key)
}

// expire ends the spans of SYNs that have been pending for the handshake timeout of the flow table.
func (s *synTracer) expire(now time.Duration) {
	for key, syn := range s.pending {
		if now-syn.startedAt < flowtable.HalfOpenTimeout {
			continue
		}
		name := "agent.queue"
		if syn.delivered {
			name = "target.answer"
		}
		s.endSpan(name, key, syn, now, attribute.String("outcome", outcomeTimeout))
		delete(s.pending, key)
	}
}

// endSpan records a span of a pending SYN from its start time to now.
func (s *synTracer) endSpan(name string, key flow.Key, syn *tracedSYN, now time.Duration, outcome ...attribute.KeyValue) {
	s.recordSpan(name, key, syn.isn, syn.startedAt, now, append(syn.attributes[:len(syn.attributes):len(syn.attributes)], outcome...)...)
}
