package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/checkpoint"
	"github.com/greengagelock/greengagelock/internal/decision"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/result"
)

// Earlier flows are those that earlier processes of this relay have reported to the controllers (package
// checkpoint). Once the target that had them is known to be gone, their callers get a reset at once, so that they
// need not find out with their next request.

const (
	// earlierFlowsWindow is the time after the first answer of a controller in which earlier flows are requested and
	// reset.
	earlierFlowsWindow = 10 * time.Second
	// maxResetsAtOnce bounds the resets of one call of ResetEarlierFlows, which is made every 50 ms. Callers connect
	// again right after a reset.
	maxResetsAtOnce = 100
)

// earlierFlows collects what the controllers return.
type earlierFlows struct {
	firstAnswerAt time.Duration // of any controller; valid if answered is set
	answered      bool
	received      map[hop.IP]*receivedParts // by controller
	flows         map[earlierFlow]*confirmation
	// settled are the flows that were reset or spared. Other controllers may return them again later.
	settled map[earlierFlow]struct{}
}

// receivedParts are the parts that a controller has returned.
type receivedParts struct {
	seen    map[uint16]bool
	missing int
}

// earlierFlow is a flow of a target that an earlier process of the relay reported.
type earlierFlow struct {
	key    packet.Key
	target checkpoint.Target
}

// confirmation says which controllers have returned a flow, and the highest acknowledgement number among them.
type confirmation struct {
	by  []hop.IP
	ack uint32
}

// WantsEarlierFlows reports whether the earlier flows are to be requested from a controller that has answered: it has
// not returned all parts, and the window is open.
func (r *Relay) WantsEarlierFlows(now time.Duration, controller hop.IP) bool {
	e := &r.earlier
	if !e.answered {
		e.answered, e.firstAnswerAt = true, now
	}
	if now-e.firstAnswerAt > earlierFlowsWindow {
		return false
	}
	received := e.received[controller]
	return received == nil || received.missing > 0
}

// RecordEarlierFlows handles a part of the answer of a controller to a request for earlier flows.
func (r *Relay) RecordEarlierFlows(now time.Duration, from hop.IP, p *checkpoint.Part) {
	e := &r.earlier
	if !e.answered || now-e.firstAnswerAt > earlierFlowsWindow {
		return
	}
	received := e.received[from]
	if received == nil {
		received = &receivedParts{seen: map[uint16]bool{}, missing: int(p.Parts)}
		e.received[from] = received
	}
	if received.missing > 0 && !received.seen[p.Part] {
		received.seen[p.Part] = true
		received.missing--
	}
	for _, f := range p.Flows() {
		if len(e.flows) >= maxFlows {
			break
		}
		id := earlierFlow{key: f.Key, target: p.Target}
		if _, settled := e.settled[id]; settled {
			continue
		}
		c := e.flows[id]
		if c == nil {
			c = &confirmation{ack: f.Ack}
			e.flows[id] = c
		}
		if !slices.Contains(c.by, from) {
			c.by = append(c.by, from)
		}
		if int32(f.Ack-c.ack) > 0 {
			c.ack = f.Ack
		}
	}
	r.ResetEarlierFlows(now)
}

// ResetEarlierFlows resets earlier flows at their callers, as far as their target is known to be gone. It is called
// every 50 ms.
func (r *Relay) ResetEarlierFlows(now time.Duration) {
	e := &r.earlier
	if len(e.flows) == 0 {
		return
	}
	if now-e.firstAnswerAt > earlierFlowsWindow {
		r.Stats.EarlierSpared += uint64(len(e.flows))
		clear(e.flows)
		clear(e.settled)
		return
	}
	left := maxResetsAtOnce
	// In a fixed order, to make tests repeatable.
	for _, id := range slices.SortedFunc(maps.Keys(e.flows), earlierFlow.compare) {
		c := e.flows[id]
		switch {
		case !r.hasEnded(id.target) || len(c.by) < r.confirmationsNeeded() || left == 0:
		case r.flows[id.key] != nil: // the caller has opened another flow from the same port
			r.Stats.EarlierSpared++
			e.settle(id)
		default:
			left--
			r.Stats.EarlierReset++
			e.settle(id)
			r.logDecision(now, decision.Reset, id.key, 0, 0, result.TargetReplaced)
			r.ports.ToCaller(id.key.Caller, r.cfg.Codec.Reset(id.key, c.ack))
		}
	}
}

// settle ends the handling of a flow.
func (e *earlierFlows) settle(id earlierFlow) {
	delete(e.flows, id)
	e.settled[id] = struct{}{}
}

func (f earlierFlow) compare(other earlierFlow) int { return f.key.Compare(other.key) }

// hasEnded reports whether a target that an earlier process of the relay had beside it has ended: nothing listens
// at its address, or another target has taken the address and sends heartbeats.
func (r *Relay) hasEnded(t checkpoint.Target) bool {
	return r.target.isDown() || (r.target.ID != "" && t != checkpoint.Target{ID: r.target.ID, Born: r.target.Born})
}

// confirmationsNeeded is the number of controllers that have to return a flow.
func (r *Relay) confirmationsNeeded() int {
	if len(r.controllers) == 0 {
		return checkpoint.Confirmations
	}
	return min(len(r.controllers), checkpoint.Confirmations)
}

// ReportedFlows returns the open flows of the target for the controllers. A flow that was offered after the last heartbeat
// may be one of another incarnation, which has started since.
func (r *Relay) ReportedFlows() (checkpoint.Target, []checkpoint.Flow) {
	var flows []checkpoint.Flow
	for key, f := range r.flows {
		if f.state == open && !f.callerDone && f.lastAck != 0 && f.createdAt <= r.target.lastHeartbeat {
			flows = append(flows, checkpoint.Flow{Key: key, Ack: f.lastAck})
		}
	}
	slices.SortFunc(flows, func(a, b checkpoint.Flow) int { return a.Key.Compare(b.Key) })
	return checkpoint.Target{ID: r.target.ID, Born: r.target.Born}, flows
}
