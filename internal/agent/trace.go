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

// maxTracedSYNs bounds the sampled SYNs that wait in the queue or for an answer of the target. The
// later spans of a SYN beyond the bound are not recorded.
const maxTracedSYNs = 1024

// Outcomes of the spans of a SYN.
const (
	outcomeAdmitted = "admitted"
	outcomeRepeated = "repeated" // delivered again, as part of a known flow
	outcomeQueued   = "queued"
	outcomePassed   = "passed_on"
	outcomeMoved    = "moved"
	outcomeRefused  = "refused"
	outcomeReplied  = "replied" // the agent has answered with a packet other than a refusal
	outcomeDropped  = "dropped"
	outcomeSYNACK   = "syn_ack"
	outcomeRST      = "rst"
	outcomeTimeout  = "timeout"
)

// tracedSYN is a sampled SYN that waits in the queue or for an answer of the target.
type tracedSYN struct {
	isn        uint32
	since      time.Duration // when it was queued or delivered
	delivered  bool
	attributes []attribute.KeyValue
}

// synTracer records the spans of sampled SYNs. It keeps them apart from the flow table, so that a
// flow that is not sampled costs no memory. It belongs to the goroutine that owns the flow table.
type synTracer struct {
	tracer  trace.Tracer
	name    string
	start   time.Time
	oneIn   uint64
	waiting map[flow.Key]*tracedSYN
}

func newSYNTracer(a *Agent) synTracer {
	return synTracer{
		tracer: a.tracer, name: a.cfg.Name, start: a.start, oneIn: a.cfg.SampleEvery,
		waiting: map[flow.Key]*tracedSYN{},
	}
}

func (s *synTracer) samples(p *flow.Packet) bool {
	return s.oneIn != 0 && p.IsSYN() && flow.Sampled(p.Key.Hash(), s.oneIn)
}

// span records a span that began at a time of the flow table.
func (s *synTracer) span(name string, key flow.Key, isn uint32, since, now time.Duration, attributes ...attribute.KeyValue) {
	ctx := trace.ContextWithRemoteSpanContext(context.Background(), flow.SpanContext(key, isn))
	_, span := s.tracer.Start(ctx, name, trace.WithTimestamp(s.start.Add(since)), trace.WithAttributes(attributes...))
	span.End(trace.WithTimestamp(s.start.Add(now)))
}

// tracedSYN handles a SYN within a span.
func (a *Agent) tracedSYN(now time.Duration, h *encap.Header, p *flow.Packet) {
	s := &a.spans
	// The flow table changes the header of a SYN that it passes on.
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
	s.forget(p)
	s.observe(now, actions)
	outcome := synOutcome(p.Key, actions)
	s.span("agent.syn", p.Key, p.TCP.Seq, now, a.now(),
		append(append(attributes[:len(attributes):len(attributes)], attribute.Bool("final", final)), outcome...)...)
	s.keep(p, &tracedSYN{isn: p.TCP.Seq, since: now, attributes: attributes}, outcome[0].Value.AsString())
	a.out.run(actions)
}

// forget drops a queued SYN of an earlier connection with the same ports, which the flow table abandons.
func (s *synTracer) forget(p *flow.Packet) {
	if syn, ok := s.waiting[p.Key]; ok && !syn.delivered && syn.isn != p.TCP.Seq {
		delete(s.waiting, p.Key)
	}
}

// keep remembers a SYN that waits in the queue or for an answer of the target.
func (s *synTracer) keep(p *flow.Packet, syn *tracedSYN, outcome string) {
	if len(s.waiting) >= maxTracedSYNs {
		return
	}
	syn.delivered = outcome == outcomeAdmitted
	if syn.delivered || outcome == outcomeQueued {
		s.waiting[p.Key] = syn
	}
}

// synOutcome returns the attributes that say what the flow table did with a SYN.
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
			if of := actionOutcome(key, action, admitted); of != nil {
				return of
			}
		}
	}
	return outcome
}

// actionOutcome returns the outcome of an action with a packet, or nil if it belongs to another
// flow.
func actionOutcome(key flow.Key, action *flowtable.Action, admitted bool) []attribute.KeyValue {
	packetKey := flow.KeyOf(action.Packet)
	switch {
	case action.Kind == flowtable.SendToCaller && packetKey.Reverse() == key:
		return replyOutcome(action.Packet)
	case packetKey != key:
		return nil
	case action.Kind == flowtable.Forward:
		return []attribute.KeyValue{
			attribute.String("outcome", outcomePassed),
			attribute.Int64("next_target", int64(action.Header.Current().Target)),
		}
	case admitted:
		return []attribute.KeyValue{attribute.String("outcome", outcomeAdmitted)}
	}
	return []attribute.KeyValue{attribute.String("outcome", outcomeRepeated)}
}

// replyOutcome returns the outcome of a SYN that the agent answers itself. A refusal carries its
// result code in its payload.
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

// observe records what became of queued SYNs.
func (s *synTracer) observe(now time.Duration, actions []flowtable.Action) {
	if len(s.waiting) == 0 {
		return
	}
	for i := range actions {
		switch action := &actions[i]; action.Kind {
		case flowtable.Deliver, flowtable.Forward:
			s.decided(now, flow.KeyOf(action.Packet), action)
		case flowtable.SendToCaller:
			s.decided(now, flow.KeyOf(action.Packet).Reverse(), action)
		}
	}
}

// decided records the time that a SYN has spent in the queue.
func (s *synTracer) decided(now time.Duration, key flow.Key, action *flowtable.Action) {
	syn, ok := s.waiting[key]
	if !ok || syn.delivered {
		return
	}
	outcome := actionOutcome(key, action, true)
	if action.Kind == flowtable.Forward {
		outcome[0] = attribute.String("outcome", outcomeMoved)
	}
	s.end("agent.queue", key, syn, now, outcome...)
	if action.Kind == flowtable.Deliver {
		syn.delivered, syn.since = true, now
		return
	}
	delete(s.waiting, key)
}

// answered records the first answer of the target to a SYN.
func (s *synTracer) answered(now time.Duration, p *flow.Packet) {
	if len(s.waiting) == 0 || (!p.TCP.SYN && !p.TCP.RST) {
		return
	}
	key := p.Key.Reverse()
	syn, ok := s.waiting[key]
	if !ok || !syn.delivered {
		return
	}
	outcome := outcomeSYNACK
	if p.TCP.RST {
		outcome = outcomeRST
	}
	s.end("target.answer", key, syn, now, attribute.String("outcome", outcome))
	delete(s.waiting, key)
}

// expire ends the spans of SYNs that have had no answer for as long as the flow table waits for a
// handshake.
func (s *synTracer) expire(now time.Duration) {
	for key, syn := range s.waiting {
		if now-syn.since < flowtable.HalfOpenTimeout {
			continue
		}
		name := "agent.queue"
		if syn.delivered {
			name = "target.answer"
		}
		s.end(name, key, syn, now, attribute.String("outcome", outcomeTimeout))
		delete(s.waiting, key)
	}
}

func (s *synTracer) end(name string, key flow.Key, syn *tracedSYN, now time.Duration, outcome ...attribute.KeyValue) {
	s.span(name, key, syn.isn, syn.since, now, append(syn.attributes[:len(syn.attributes):len(syn.attributes)], outcome...)...)
}
