package relay

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/decision"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/result"
)

// deliver hands a packet of a flow to the target unless the target is known not to own the flow.
func (r *Relay) deliver(now time.Duration, m *hop.Message, v *packet.View) {
	key := v.KeyFromCaller()
	f := r.flows[key]
	switch {
	case f == nil && r.targetLacksFlow(key):
		r.logDecision(now, decision.Returned, key, v.Seq, 0, result.FlowUnknown)
		r.returnPacket(key, m)
		return
	case f == nil:
		// The relay started after its target, so only the target knows whether the flow exists.
		if m.Probe {
			r.probes[key] = m.Entry
		}
		r.sendToTarget(now, m, false)
		return
	case f.state == ownedElsewhere:
		r.returnPacket(key, m)
		return
	case f.state == accepted && !acksSYNACK(v, f.targetISN):
		// The caller completed the handshake with another target.
		r.markOwnedElsewhere(now, f)
		r.returnPacket(key, m)
		return
	}
	if f.state == accepted {
		f.state = open
		r.Stats.Opened++
	}
	if m.Probe {
		r.sendToNode(m.Entry, &hop.Message{Kind: hop.ProbeOwned, Key: key})
	}
	startsRequest := r.observeCallerPacket(now, f, v, m.Entry)
	if r.enqueue(now, key, f, m, v, startsRequest) {
		return
	}
	r.sendToTarget(now, m, v.DataBytes > 0)
}

// acksSYNACK reports whether a packet acknowledges a SYN-ACK with this sequence number. A target sends no
// data before that, so the acknowledged number is that of the SYN-ACK or the next one.
func acksSYNACK(v *packet.View, isn uint32) bool { return v.Ack-isn <= 1 }

// markOwnedElsewhere records that another target won the handshake of a flow.
func (r *Relay) markOwnedElsewhere(now time.Duration, f *flow) {
	f.state = ownedElsewhere
	f.lastSeen = now
	r.endRequest(now, f)
}

// endRequest ends the request in progress of a flow, if there is one, and gives its slot to a queued request.
func (r *Relay) endRequest(now time.Duration, f *flow) {
	if !f.hasRequest {
		return
	}
	if f.queued != nil {
		r.dequeue(f.queued)
	}
	f.hasRequest = false
	r.load.endRequest(now)
	r.dispatchReady(now)
}

// observeCallerPacket updates the flow from a packet of its caller, and reports whether the packet starts a
// request.
func (r *Relay) observeCallerPacket(now time.Duration, f *flow, v *packet.View, entry hop.IP) (startsRequest bool) {
	f.lastSeen, f.entry = now, entry
	if v.Flags.Has(packet.ACK) {
		f.lastAck = v.Ack
	}
	end := v.Seq + uint32(v.DataBytes)
	if v.DataBytes > 0 && int32(end-f.nextSeq) > 0 {
		f.nextSeq = end
		if !f.hasRequest && !f.callerDone {
			f.hasRequest, f.requestStart = true, now
			f.foundNoSlot = r.load.busy >= int(r.target.Slots)
			r.load.startRequest(now)
			startsRequest = true
		}
	}
	if v.Flags.Has(packet.RST) {
		f.state = closed
	}
	if v.Flags&(packet.RST|packet.FIN) != 0 {
		// The caller no longer waits for an answer. Data that it sent before may still arrive.
		f.callerDone = true
		if f.queued != nil && !v.Flags.Has(packet.RST) {
			r.dispatch(now, f.queued) // before the FIN, to keep the caller's packets in order
		}
		r.endRequest(now, f)
	}
	return startsRequest
}

// sendToTarget sends the packet of a message to the target and remembers the message in case the target
// returns the packet. expectsReply says that a running target answers such a packet.
func (r *Relay) sendToTarget(now time.Duration, m *hop.Message, expectsReply bool) {
	r.lastToken++
	if r.lastToken == 0 {
		r.lastToken = 1
	}
	o := &r.inflight[r.lastToken%maxInflight]
	*o = inflightPacket{
		token: r.lastToken, entry: m.Entry, service: m.Service, at: m.At, best: m.Best, bestLoad: m.BestLoad,
		count: uint8(len(m.Candidates)), probe: m.Probe, sentAt: now,
	}
	copy(o.candidates[:], m.Candidates)
	r.cfg.Codec.SetToken(m.Packet, r.lastToken)
	r.Stats.Delivered++
	if expectsReply && !r.awaitingTarget {
		r.awaitingTarget, r.awaitingSince = true, now
	}
	r.ports.ToTarget(m.Packet)
}

// returnPacket tells the entry VM that the target does not own the flow. A probe goes on to the next relay of
// its chain instead of back to the entry VM.
func (r *Relay) returnPacket(key packet.Key, m *hop.Message) {
	r.Stats.Returned++
	if m.Probe {
		r.sendToNode(m.Entry, &hop.Message{Kind: hop.ProbeNotOwned, Key: key})
		if next := int(m.At) + 1; next < len(m.Candidates) {
			m.Kind, m.At, m.Best = hop.Forward, uint8(next), 0
			r.sendToNode(m.Candidates[next], m)
		}
		return
	}
	m.Kind, m.Candidates, m.At, m.Best = hop.Returned, m.Candidates[:0], 0, 0
	r.sendToNode(m.Entry, m)
}

// FromTarget handles a packet that the target sent or returned.
func (r *Relay) FromTarget(now time.Duration, raw []byte) {
	v, err := r.cfg.Codec.Parse(raw)
	if err != nil {
		r.Stats.Malformed++
		return
	}
	r.awaitingTarget = false
	if v.Flags.Has(packet.Returned) {
		r.handleReturned(now, raw, &v)
		return
	}
	key := v.KeyFromTarget()
	f := r.flows[key]
	if f == nil {
		switch {
		case v.IsSYNACK():
			// The answer to a SYN that was sent before this process started. The entry VM that offered the
			// SYN is unknown and may refuse it meanwhile; the caller's copy of the SYN gets another answer.
			r.Stats.StaleAnswers++
			return
		case v.Flags.Has(packet.RST):
			r.sendToCaller(key, raw)
			return
		}
		f = r.adopt(now, key)
	}
	if !r.observeTargetPacket(now, f, &v) {
		r.Stats.StaleAnswers++
		return
	}
	r.sendToCaller(key, raw)
	if v.IsSYNACK() {
		r.sendAdmitted(now, key, f)
	}
}

// adopt records a flow that was opened before this process started.
func (r *Relay) adopt(now time.Duration, key packet.Key) *flow {
	f := &flow{state: open, createdAt: now, lastSeen: now}
	delete(r.returnedFlows, key)
	if entry, ok := r.probes[key]; ok {
		delete(r.probes, key)
		r.sendToNode(entry, &hop.Message{Kind: hop.ProbeOwned, Key: key})
	}
	if len(r.flows) < maxFlows {
		r.flows[key] = f
	}
	return f
}

// observeTargetPacket updates the flow from a packet of the target, and reports whether the caller may get
// it.
func (r *Relay) observeTargetPacket(now time.Duration, f *flow, v *packet.View) bool {
	switch {
	case f.state == ownedElsewhere:
		return false
	case f.state <= accepted && now-f.createdAt > handshakeTimeout:
		return false // the caller has given up and may use its port for another flow
	case v.IsSYNACK():
		if f.state == halfOpen {
			f.state, f.targetISN = accepted, v.Seq
		}
	case v.Flags.Has(packet.RST):
		if f.state <= accepted {
			f.state = closed
			return false // the flow of the caller may be open at another target
		}
		f.state = closed
		r.endRequest(now, f)
	case f.state == accepted, f.state == halfOpen && f.reusedPort:
		// A target sends nothing else before the caller has completed the handshake, so this is a late packet of an
		// earlier flow from the same port.
		return false
	}
	if v.DataBytes > 0 {
		if f.hasRequest && !f.foundNoSlot {
			r.load.recordServiceTime(now - f.requestStart)
		}
		r.endRequest(now, f)
	}
	f.lastSeen = now
	return true
}

// sendAdmitted tells the entry VM that this target has accepted the SYN.
func (r *Relay) sendAdmitted(now time.Duration, key packet.Key, f *flow) {
	r.Stats.Admitted++
	r.load.expectRequest(now)
	r.sendToNode(f.entry, &hop.Message{Kind: hop.Admitted, Key: key, Seq: f.callerISN, Load: r.Load(now)})
}

// sendToCaller sends a packet of the target to the caller.
func (r *Relay) sendToCaller(key packet.Key, raw []byte) {
	r.Stats.ToCallers++
	r.ports.ToCaller(key.Caller, raw)
}

// handleReturned handles a packet that the target did not take: a SYN, or a packet of a flow that it does not
// have.
func (r *Relay) handleReturned(now time.Duration, raw []byte, v *packet.View) {
	r.Stats.Bounced++
	o := r.inflight[v.Token%maxInflight]
	if v.Token == 0 || o.token != v.Token {
		r.Stats.Malformed++
		return
	}
	key := v.KeyFromCaller()
	f := r.flows[key]
	r.cfg.Codec.SetToken(raw, 0)
	m := hop.Message{
		Kind: hop.Forward, Service: o.service, Entry: o.entry, At: o.at, Best: o.best, BestLoad: o.bestLoad,
		Candidates: o.candidates[:o.count], Packet: raw, Probe: o.probe,
	}
	if v.IsSYN() {
		if f != nil && f.callerISN == v.Seq && f.state == halfOpen {
			delete(r.flows, key)
		}
		r.passOn(&m)
		return
	}
	if f == nil || o.sentAt >= f.createdAt { // else it is of an earlier flow from the same port
		if f != nil && f.state != ownedElsewhere {
			r.endRequest(now, f)
			delete(r.flows, key)
		}
		r.recordReturnedFlow(key)
	}
	r.returnPacket(key, &m)
}
