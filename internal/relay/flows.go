package relay

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/decision"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/result"
)

// deliver hands a packet of a flow to the target if it may own the flow.
func (r *Relay) deliver(now time.Duration, m *hop.Message, v *packet.View) {
	key := v.FromCaller()
	f := r.flows[key]
	switch {
	case f == nil && r.knowsAbsent(key):
		r.note(now, decision.Returned, key, v.Seq, 0, result.FlowUnknown)
		r.giveBack(key, m)
		return
	case f == nil:
		// The relay has started after its target, which alone knows.
		if m.Probe {
			r.probes[key] = m.Entry
		}
		r.toTarget(now, m, false)
		return
	case f.state == foreign:
		r.giveBack(key, m)
		return
	case f.state == accepted && !acknowledges(v, f.targetISN):
		// The caller has completed the handshake with another target.
		r.lose(now, f)
		r.giveBack(key, m)
		return
	}
	if f.state == accepted {
		f.state = open
		r.Stats.Opened++
	}
	if m.Probe {
		r.toNode(m.Entry, &hop.Message{Kind: hop.Owns, Key: key})
	}
	begins := r.record(now, f, v, m.Entry)
	if r.hold(now, key, f, m, v, begins) {
		return
	}
	r.toTarget(now, m, v.DataBytes > 0)
}

// acknowledges reports whether a packet answers a SYN-ACK with this sequence number. A target sends
// no data before, so the number is that of the SYN-ACK or the one after it.
func acknowledges(v *packet.View, isn uint32) bool { return v.Ack-isn <= 1 }

func (r *Relay) lose(now time.Duration, f *flow) {
	f.state = foreign
	f.seen = now
	r.finish(now, f)
}

// finish ends the request of a flow. Another one may take its slot.
func (r *Relay) finish(now time.Duration, f *flow) {
	if !f.busy {
		return
	}
	if f.waiting != nil {
		r.unqueue(f.waiting)
	}
	f.busy = false
	r.load.end(now)
	r.release(now)
}

// record keeps what a packet of the caller tells of its flow, and reports whether it begins a request.
func (r *Relay) record(now time.Duration, f *flow, v *packet.View, entry hop.IP) (begins bool) {
	f.seen, f.entry = now, entry
	if v.Flags.Has(packet.ACK) {
		f.callerAck = v.Ack
	}
	end := v.Seq + uint32(v.DataBytes)
	if v.DataBytes > 0 && int32(end-f.next) > 0 {
		f.next = end
		if !f.busy && !f.finished {
			f.busy, f.asked = true, now
			f.waited = r.load.busy >= int(r.target.Slots)
			r.load.begin(now)
			begins = true
		}
	}
	if v.Flags.Has(packet.RST) {
		f.state = closed
	}
	if v.Flags&(packet.RST|packet.FIN) != 0 {
		// The caller does not wait for an answer any more. Data that it sent before may still arrive.
		f.finished = true
		if f.waiting != nil && !v.Flags.Has(packet.RST) {
			r.handOver(now, f.waiting) // in order, before the end of the caller's data
		}
		r.finish(now, f)
	}
	return begins
}

// toTarget hands the packet of a message over and keeps what is needed if it comes back. expects
// tells that the target answers such a packet.
func (r *Relay) toTarget(now time.Duration, m *hop.Message, expects bool) {
	r.token++
	if r.token == 0 {
		r.token = 1
	}
	o := &r.pending[r.token%tokenCount]
	*o = offer{
		token: r.token, entry: m.Entry, service: m.Service, at: m.At, best: m.Best, bestLoad: m.BestLoad,
		count: uint8(len(m.Candidates)), probe: m.Probe,
	}
	copy(o.candidates[:], m.Candidates)
	r.cfg.Codec.SetToken(m.Packet, r.token)
	r.Stats.Delivered++
	if expects && !r.waiting {
		r.waiting, r.unanswered = true, now
	}
	r.ports.ToTarget(m.Packet)
}

// giveBack tells the entry VM that the flow is not here. A packet that looks for its target goes on to the
// next relay of its chain.
func (r *Relay) giveBack(key packet.Key, m *hop.Message) {
	r.Stats.Returned++
	if m.Probe {
		r.toNode(m.Entry, &hop.Message{Kind: hop.Disowned, Key: key})
		if next := int(m.At) + 1; next < len(m.Candidates) {
			m.Kind, m.At, m.Best = hop.Forward, uint8(next), 0
			r.toNode(m.Candidates[next], m)
		}
		return
	}
	m.Kind, m.Candidates, m.At, m.Best = hop.Returned, m.Candidates[:0], 0, 0
	r.toNode(m.Entry, m)
}

// FromTarget takes in a packet that the target has sent or returned.
func (r *Relay) FromTarget(now time.Duration, raw []byte) {
	v, err := r.cfg.Codec.Parse(raw)
	if err != nil {
		r.Stats.Malformed++
		return
	}
	r.waiting = false
	if v.Flags.Has(packet.Returned) {
		r.returned(now, raw, &v)
		return
	}
	key := v.FromTarget()
	f := r.flows[key]
	if f == nil {
		switch {
		case v.Accepts():
			// An answer to a SYN of before this process started. No entry VM can be told of it, and the one
			// that offered the SYN may refuse it; the caller's copy gets another answer.
			r.Stats.StaleAnswers++
			return
		case v.Flags.Has(packet.RST):
			r.send(key, raw)
			return
		}
		f = r.adopt(now, key)
	}
	if !r.answer(now, f, &v) {
		r.Stats.StaleAnswers++
		return
	}
	r.send(key, raw)
	if v.Accepts() {
		r.confirm(now, key, f)
	}
}

// adopt records a flow that the target had before this process started.
func (r *Relay) adopt(now time.Duration, key packet.Key) *flow {
	f := &flow{state: open, began: now, seen: now}
	delete(r.disowned, key)
	if entry, ok := r.probes[key]; ok {
		delete(r.probes, key)
		r.toNode(entry, &hop.Message{Kind: hop.Owns, Key: key})
	}
	if len(r.flows) < maxFlows {
		r.flows[key] = f
	}
	return f
}

// answer records a packet of the target. It reports whether the caller may get it.
func (r *Relay) answer(now time.Duration, f *flow, v *packet.View) bool {
	switch {
	case f.state == foreign:
		return false
	case f.state <= accepted && now-f.began > handshakeTimeout:
		return false // the caller has given up, and may use its port for another flow
	case v.Accepts():
		if f.state == halfOpen {
			f.state, f.targetISN = accepted, v.Seq
		}
	case v.Flags.Has(packet.RST):
		if f.state <= accepted {
			f.state = closed
			return false // the caller's flow may be open at another target
		}
		f.state = closed
		r.finish(now, f)
	}
	if v.DataBytes > 0 {
		if f.busy && !f.waited {
			r.load.served(now - f.asked)
		}
		r.finish(now, f)
	}
	f.seen = now
	return true
}

// confirm tells the entry VM who has accepted the SYN.
func (r *Relay) confirm(now time.Duration, key packet.Key, f *flow) {
	r.Stats.Admitted++
	r.load.expect(now)
	r.toNode(f.entry, &hop.Message{Kind: hop.Admitted, Key: key, Seq: f.callerISN, Load: r.Load(now)})
}

func (r *Relay) send(key packet.Key, raw []byte) {
	r.Stats.ToCallers++
	r.ports.ToCaller(key.Caller, raw)
}

// returned handles a packet that the target did not take.
func (r *Relay) returned(now time.Duration, raw []byte, v *packet.View) {
	r.Stats.Bounced++
	o := r.pending[v.Token%tokenCount]
	if v.Token == 0 || o.token != v.Token {
		r.Stats.Malformed++
		return
	}
	key := v.FromCaller()
	f := r.flows[key]
	r.cfg.Codec.SetToken(raw, 0)
	m := hop.Message{
		Kind: hop.Forward, Service: o.service, Entry: o.entry, At: o.at, Best: o.best, BestLoad: o.bestLoad,
		Candidates: o.candidates[:o.count], Packet: raw, Probe: o.probe,
	}
	if v.Opens() {
		if f != nil && f.callerISN == v.Seq && f.state == halfOpen {
			delete(r.flows, key)
		}
		r.pass(&m)
		return
	}
	if f != nil && f.state != foreign {
		r.finish(now, f)
		delete(r.flows, key)
	}
	r.disown(key)
	r.giveBack(key, &m)
}
