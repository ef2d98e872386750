package relay

import (
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/decision"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/result"
)

// Targets serve what they are handed in the order of its arrival. After a loss of power, or under a burst, a
// second's worth of requests then makes every later one late for as long as the backlog lasts. The relay
// therefore hands requests over only as slots get free, and chooses which one is next. While more wait than
// can be answered in time, the newest goes first: in the order of their ends all would be answered at
// their end or just after it. Requests that have waited for a good part of their timeout get every second turn,
// so that they are late and not lost.

const (
	// spareRequests is the number of requests that the target is handed beyond its slots, so that a slot
	// that gets free has work at once, and one request that ended without a sign does not cost a slot.
	spareRequests = 1
	// lastCall is the part of its route's timeout after which a request gets a share of the turns. Callers count
	// the time of earlier tries too, which the relay does not see.
	lastCall = 0.4
	// lastCallTurn is the turn that goes to such a request while others can still be answered in time.
	lastCallTurn = 2
	// maxQueued bounds the requests that wait, and their memory to about 0.4 MB with one packet each. More are
	// handed over at once.
	maxQueued = 256
	// maxHeldPackets bounds the packets of one flow that wait; callers send no more without an answer.
	maxHeldPackets = 16
)

// waiting is a request that waits for a slot, with the packets of its flow since.
type waiting struct {
	key       packet.Key
	flow      *flow
	since     time.Duration // with the time that it has waited before
	objective time.Duration // after which its answer is late
	timeout   time.Duration // of its route
	packets   []heldPacket
}

type heldPacket struct {
	entry   hop.IP
	service uint64
	seq     uint32
	data    bool
	raw     []byte
}

// hold keeps a packet while its request waits, and reports whether it did. begins tells that the packet
// begins a request.
func (r *Relay) hold(now time.Duration, key packet.Key, f *flow, m *hop.Message, v *packet.View, begins bool) bool {
	w := f.waiting
	if w == nil {
		if !begins || !f.busy || m.MaxWait == 0 || r.target.Slots == 0 || len(r.queue) >= maxQueued ||
			r.atTarget() <= int(r.target.Slots)+spareRequests {
			return false
		}
		ms := func(n uint16) time.Duration { return time.Duration(n) * time.Millisecond }
		w = &waiting{key: key, flow: f, since: now - ms(m.Waited), objective: ms(m.MaxWait), timeout: ms(m.Timeout)}
		f.waiting = w
		r.queue = append(r.queue, w)
		r.Stats.Queued++
	}
	copied := func(p heldPacket) bool { return p.data && v.DataBytes > 0 && p.seq == v.Seq }
	if len(w.packets) >= maxHeldPackets || slices.ContainsFunc(w.packets, copied) {
		r.Stats.QueuedCopies++
		return true
	}
	w.packets = append(w.packets, heldPacket{
		entry: m.Entry, service: m.Service, seq: v.Seq, data: v.DataBytes > 0, raw: slices.Clone(m.Packet),
	})
	return true
}

// atTarget returns the requests that the target works on or queues, with one that has just begun.
func (r *Relay) atTarget() int { return r.load.busy - len(r.queue) }

// release hands over the next requests as far as slots are free.
func (r *Relay) release(now time.Duration) {
	for len(r.queue) > 0 && r.atTarget() < int(r.target.Slots)+spareRequests {
		r.handOver(now, r.next(now))
	}
}

// next returns the request whose turn it is.
func (r *Relay) next(now time.Duration) *waiting {
	var oldest, newest, late *waiting // late is the oldest that cannot be answered in time any more
	for _, w := range r.queue {
		switch {
		case now-w.since+r.workTime(w) > w.objective:
			late = older(late, w)
		case newest == nil || w.since >= newest.since:
			newest = w
			oldest = older(oldest, w)
		default:
			oldest = older(oldest, w)
		}
	}
	r.turn++
	called := late != nil && now-late.since > time.Duration(float64(late.timeout)*lastCall)
	switch {
	case newest == nil, called && r.turn%lastCallTurn == 0:
		return late
	case r.backlog() > newest.objective/2:
		return newest
	}
	return oldest
}

// older returns the request that has waited longer; a may be nil.
func older(a, b *waiting) *waiting {
	if a == nil || b.since < a.since {
		return b
	}
	return a
}

// backlog is the time that the target needs for all waiting requests.
func (r *Relay) backlog() time.Duration {
	return time.Duration(len(r.queue)) * r.load.serviceTime() / time.Duration(max(r.target.Slots, 1))
}

// workTime is the time that the target will need for a request. It is at most half of the objective: a target
// that stood still for a moment looks slower than it is, and every request would count as late.
func (r *Relay) workTime(w *waiting) time.Duration { return min(r.load.serviceTime(), w.objective/2) }

// handOver hands the packets of a request to the target.
func (r *Relay) handOver(now time.Duration, w *waiting) {
	r.unqueue(w)
	if now-w.since > w.objective {
		r.Stats.QueuedLate++
	}
	if r.cfg.Decisions != nil {
		r.cfg.Decisions.Note(now, decision.Decision{
			Kind: decision.Queued, Flow: w.key, Seq: w.flow.callerISN, Target: r.cfg.Self, Busy: uint16(r.busy(now)), Slots: r.target.Slots,
			Took: now - w.since, Code: result.NoFreeSlot,
		})
	}
	for _, p := range w.packets {
		m := hop.Message{Kind: hop.Forward, Service: p.service, Entry: p.entry, Packet: p.raw}
		r.toTarget(now, &m, p.data)
	}
}

// unqueue ends the wait of a request.
func (r *Relay) unqueue(w *waiting) {
	w.flow.waiting = nil
	r.queue = slices.DeleteFunc(r.queue, func(other *waiting) bool { return other == w })
}
