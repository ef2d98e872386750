package flowtable

import (
	"fmt"
	"time"

	"github.com/greengagelock/greengagelock/internal/admission"
	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/result"
)

// forwardToNext forwards a packet to the next candidate. If none is left, unadmittedSYN or unownedPacket
// handles the packet. The endpoint is nil if this agent does not serve the packet's service; the code says
// why a SYN was not admitted.
func (t *Table) forwardToNext(h *encap.Header, raw []byte, ep *endpoint, code result.Code) {
	p := t.parse(raw)
	if p == nil {
		t.drop(DropTCPFlags)
		return
	}
	syn := p.IsSYN()
	if !h.Final && t.advanceCandidate(h, p.Key, ep, syn) {
		if syn {
			t.countEvent(EventSYNPassed)
		}
		t.forwardToCurrent(h, raw)
		return
	}
	if syn {
		t.unadmittedSYN(h, p, ep, code)
		return
	}
	t.unownedPacket(h, p, ep)
}

// parse decodes a packet into t.scratch, and returns nil if that fails. The packet has been decoded
// before; the result is valid until the next call.
func (t *Table) parse(raw []byte) *flow.Packet {
	if t.scratch.Parse(raw) != flow.DropNone {
		return nil
	}
	return &t.scratch
}

// forwardToCurrent forwards a packet to the current candidate, or drops it at the hop limit.
func (t *Table) forwardToCurrent(h *encap.Header, raw []byte) {
	if h.Hops+1 >= encap.MaxHops {
		t.drop(encap.DropHops)
		return
	}
	h.Hops++
	t.forward(h, raw)
}

// advanceCandidate moves the cursor to the next candidate, and extends the candidate list at its end. It
// reports false if there is no further candidate.
func (t *Table) advanceCandidate(h *encap.Header, key flow.Key, ep *endpoint, syn bool) bool {
	if h.Cursor+1 < h.Count {
		h.Cursor++
		return true
	}
	if h.Count < encap.MaxCandidates || h.Extensions >= encap.MaxExtensions || t.cfg.Extend == nil {
		return false
	}
	if ep == nil || ep.Service.Generation != h.Generation {
		// A ranking of another generation may skip the owner at these positions. With generation 0 no later
		// agent resets the flow.
		h.Generation = 0
	}
	next := t.cfg.Extend(h.Service, key.Hash(), int(h.Extensions)+1, syn)
	if len(next) == 0 {
		return false
	}
	t.countEvent(EventChainExtended)
	h.Extensions++
	best := h.Candidates[h.BestIndex]
	n := copy(h.Candidates[:], next)
	h.Cursor = 0
	if syn && h.BestWait != encap.NoBestWait {
		// The candidate with the shortest queue stays in the list, as the last one.
		n = min(n, encap.MaxCandidates-1)
		h.Candidates[n] = best
		h.BestIndex = uint8(n)
		n++
	} else {
		h.BestIndex = 0
	}
	h.Count = uint8(n)
	return true
}

// unadmittedSYN handles a SYN that no candidate has admitted: it forwards the SYN to the candidate with the
// shortest queue, or refuses it.
func (t *Table) unadmittedSYN(h *encap.Header, p *flow.Packet, ep *endpoint, code result.Code) {
	if !h.Final && h.BestWait != encap.NoBestWait {
		h.Final = true
		if h.BestIndex == h.Cursor && ep != nil && code == result.NoFreeSlot {
			t.finalSYN(h, p, ep)
			return
		}
		if h.BestIndex != h.Cursor {
			h.Cursor = h.BestIndex
			t.forwardToCurrent(h, p.Raw)
			return
		}
	}
	if ep == nil {
		t.drop(DropNotServed)
		return
	}
	t.refuse(p, ep, code)
}

// refuse answers a SYN with a RST whose payload has the result code and a retry-after time in
// milliseconds.
func (t *Table) refuse(p *flow.Packet, ep *endpoint, code result.Code) {
	retry := ep.admission.RetryAfter(t.now)
	text := fmt.Sprintf("%v retry-after-ms=%d", code, retry.Milliseconds())
	packet, err := flow.Refusal(p, []byte(text))
	if err != nil {
		panic("flowtable: " + err.Error())
	}
	ep.refusedSYNs++
	t.actions = append(t.actions, Action{Kind: CountEvent, Event: EventRefused, Code: code})
	t.sendToCaller(packet)
}

// unownedPacket handles a packet of a flow that no candidate owns.
func (t *Table) unownedPacket(h *encap.Header, p *flow.Packet, ep *endpoint) {
	switch {
	case ep == nil:
		t.drop(DropNotServed)
	case p.TCP.RST:
		t.drop(DropUnknownReset)
	case h.Generation != ep.Service.Generation:
		// The list of another generation may lack the owner.
		t.drop(DropGeneration)
	case !t.viewsFresh(h):
		// Both views may be old, and lack the owner.
		t.drop(DropControlAge)
	case !t.unknownGraceElapsed(p, ep):
		t.drop(DropUnknownHeld)
	default:
		t.resetUnknown(p)
	}
}

// viewsFresh reports whether the control ages of the balancer and of this agent are at most
// FreshControlAge.
func (t *Table) viewsFresh(h *encap.Header) bool {
	return time.Duration(h.ControlAge)*encap.ControlAgeUnit <= FreshControlAge &&
		t.hasControlContact && t.now-t.lastControlContact <= FreshControlAge
}

// unknownGraceElapsed reports whether no candidate has owned a flow for UnknownFlowGrace. Until then the
// flow may belong to a target that has just joined and is missing from the views of the balancer and of
// this agent.
func (t *Table) unknownGraceElapsed(p *flow.Packet, ep *endpoint) bool {
	i, r := t.store.find(packKey(p.Key))
	if r == nil {
		if t.stateCounts[stateLingering] >= maxLingering {
			return false
		}
		i, r = t.adopt(p.Key, ep, stateLingering)
	} else if r.state != stateLingering {
		return false
	}
	// If the caller's acknowledgements advance, some target owns the flow: the time starts again.
	if !r.has(flagUnknown) || r.callerAck != p.TCP.Ack {
		r.set(flagUnknown)
		r.callerAck = p.TCP.Ack
		r.startedAt = t.nowMillis
		t.wheel.arm(i, t.nowMillis+toMillis(LingerDuration))
		return false
	}
	return t.nowMillis-r.startedAt >= toMillis(UnknownFlowGrace)
}

// resetUnknown answers a packet of an unowned flow with a RST.
func (t *Table) resetUnknown(p *flow.Packet) {
	packet, err := flow.Reset(p)
	if err != nil {
		panic("flowtable: " + err.Error())
	}
	t.countEvent(EventUnknownReset)
	t.sendToCaller(packet)
}

// recordQueue adds the queue of this target to the header, and names this target as the best candidate if
// its wait is the shortest so far.
func (t *Table) recordQueue(h *encap.Header, ep *endpoint) {
	h.Waiting += uint16(min(ep.admission.QueueLength(), encap.NoBestWait-int(h.Waiting)))
	wait := min(ep.admission.EstimatedWait(t.now).Milliseconds(), encap.NoBestWait-1)
	if uint16(wait) < h.BestWait {
		h.BestWait = uint16(wait)
		h.BestIndex = h.Cursor
	}
}

// finalSYN handles a SYN that every candidate has passed on: it is admitted, queued or refused here.
func (t *Table) finalSYN(h *encap.Header, p *flow.Packet, ep *endpoint) {
	state, code := ep.admission.State(t.now)
	switch state {
	case admission.Free:
		t.admit(h, p, ep)
	case admission.Busy:
		t.enqueue(h, p, ep)
	default:
		t.refuse(p, ep, code)
	}
}
