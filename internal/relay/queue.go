package relay

import (
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/decision"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/result"
)

// A target serves requests in the order in which they arrive. After a loss of power or a burst, a backlog of
// one second would make every later request late for as long as it lasts. The relay therefore hands over a
// request only when a slot is free, and chooses the next one. While the backlog is longer than half of the
// objective, the newest request goes first: in order of deadlines, all would be answered at their deadline or
// just after it. Requests that have waited for a large part of their timeout get every second turn, so that
// they are late rather than lost.

const (
	// prefetchRequests is the number of requests that the target gets beyond its slots. A freed slot then has
	// work at once, and one request that ended unnoticed does not cost a slot.
	prefetchRequests = 1
	// agedFraction is the part of the route's timeout after which a queued request counts as aged and gets a
	// share of the turns. The relay does not see the time of earlier tries, which callers count too.
	agedFraction = 0.4
	// Every agedTurn-th turn goes to an aged request while other requests can still be answered in time.
	agedTurn = 2
	// maxQueuedRequests bounds the queue, to about 0.4 MB with one packet a request. Further requests go to
	// the target at once.
	maxQueuedRequests = 256
	// maxQueuedPackets bounds the queued packets of one flow; callers send no more without an answer.
	maxQueuedPackets = 16
)

// queuedRequest is a request that waits for a slot, with the packets of its flow that arrived meanwhile.
type queuedRequest struct {
	key          packet.Key
	flow         *flow
	waitingSince time.Duration // start of the wait, time spent in earlier queues included
	objective    time.Duration // longest useful time to the answer
	timeout      time.Duration // of the route
	packets      []queuedPacket
}

// queuedPacket is a packet of a queued request, with what is needed to send it to the target.
type queuedPacket struct {
	entry   hop.IP
	service uint64
	seq     uint32
	hasData bool
	raw     []byte
}

// enqueue queues a packet if its request is queued or has to be, and reports whether it did. startsRequest
// says that the packet starts a request.
func (r *Relay) enqueue(now time.Duration, key packet.Key, f *flow, m *hop.Message, v *packet.View, startsRequest bool) bool {
	w := f.queued
	if w == nil {
		if !startsRequest || !f.hasRequest || m.MaxWait == 0 || r.target.Slots == 0 || len(r.queue) >= maxQueuedRequests ||
			r.requestsAtTarget() <= int(r.target.Slots)+prefetchRequests {
			return false
		}
		ms := func(n uint16) time.Duration { return time.Duration(n) * time.Millisecond }
		w = &queuedRequest{key: key, flow: f, waitingSince: now - ms(m.Waited), objective: ms(m.MaxWait), timeout: ms(m.Timeout)}
		f.queued = w
		r.queue = append(r.queue, w)
		r.Stats.Queued++
	}
	isCopy := func(p queuedPacket) bool { return p.hasData && v.DataBytes > 0 && p.seq == v.Seq }
	if len(w.packets) >= maxQueuedPackets || slices.ContainsFunc(w.packets, isCopy) {
		r.Stats.QueuedCopies++
		return true
	}
	w.packets = append(w.packets, queuedPacket{
		entry: m.Entry, service: m.Service, seq: v.Seq, hasData: v.DataBytes > 0, raw: slices.Clone(m.Packet),
	})
	return true
}

// requestsAtTarget returns the number of requests at the target, with one that is just starting.
func (r *Relay) requestsAtTarget() int { return r.load.busy - len(r.queue) }

// dispatchReady hands queued requests to the target while it has free slots.
func (r *Relay) dispatchReady(now time.Duration) {
	for len(r.queue) > 0 && r.requestsAtTarget() < int(r.target.Slots)+prefetchRequests {
		r.dispatch(now, r.pickNext(now))
	}
}

// pickNext returns the queued request whose turn it is.
func (r *Relay) pickNext(now time.Duration) *queuedRequest {
	var oldest, newest, overdue *queuedRequest // overdue is the oldest that cannot be answered within its objective
	for _, w := range r.queue {
		switch {
		case now-w.waitingSince+r.expectedServiceTime(w) > w.objective:
			overdue = older(overdue, w)
		case newest == nil || w.waitingSince >= newest.waitingSince:
			newest = w
			oldest = older(oldest, w)
		default:
			oldest = older(oldest, w)
		}
	}
	r.picks++
	aged := overdue != nil && now-overdue.waitingSince > time.Duration(float64(overdue.timeout)*agedFraction)
	switch {
	case newest == nil, aged && r.picks%agedTurn == 0:
		return overdue
	case r.backlogTime() > newest.objective/2:
		return newest
	}
	return oldest
}

// older returns the request that has waited longer; a may be nil.
func older(a, b *queuedRequest) *queuedRequest {
	if a == nil || b.waitingSince < a.waitingSince {
		return b
	}
	return a
}

// backlogTime returns the time that the target needs for all queued requests.
func (r *Relay) backlogTime() time.Duration {
	return time.Duration(len(r.queue)) * r.load.serviceTime() / time.Duration(max(r.target.Slots, 1))
}

// expectedServiceTime returns the time that the target will need for a request, at most half of the
// objective: after a short stall of the target the estimate is too high, and every request would count as
// overdue.
func (r *Relay) expectedServiceTime(w *queuedRequest) time.Duration {
	return min(r.load.serviceTime(), w.objective/2)
}

// dispatch hands the packets of a queued request to the target.
func (r *Relay) dispatch(now time.Duration, w *queuedRequest) {
	r.dequeue(w)
	if now-w.waitingSince > w.objective {
		r.Stats.QueuedLate++
	}
	if r.cfg.Decisions != nil {
		r.cfg.Decisions.Record(now, decision.Decision{
			Kind: decision.Queued, Flow: w.key, Seq: w.flow.callerISN, Target: r.cfg.Self, Busy: uint16(r.busyRequests(now)), Slots: r.target.Slots,
			Took: now - w.waitingSince, Code: result.NoFreeSlot,
		})
	}
	for _, p := range w.packets {
		m := hop.Message{Kind: hop.Forward, Service: p.service, Entry: p.entry, Packet: p.raw}
		r.sendToTarget(now, &m, p.hasData)
	}
}

// DispatchAll hands all queued requests to the target, because the process ends and nobody else has them.
func (r *Relay) DispatchAll(now time.Duration) {
	for len(r.queue) > 0 {
		r.dispatch(now, r.queue[0])
	}
}

// dequeue removes a request from the queue.
func (r *Relay) dequeue(w *queuedRequest) {
	w.flow.queued = nil
	r.queue = slices.DeleteFunc(r.queue, func(other *queuedRequest) bool { return other == w })
}
