package relay

import (
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
)

// Targets serve what they are handed in the order of its arrival. After a loss of power, or under a burst, a
// second's worth of requests then makes every later one late for as long as the backlog lasts. The relay
// therefore hands requests over only as slots get free, and chooses which one is next: those that can still
// be answered within their objective first, by the end of it, and those that cannot in a share of the turns.

const (
	// spareRequests is the number of requests that the target is handed beyond its slots, so that a slot
	// that gets free has work at once, and one request that ended without a sign does not cost a slot.
	spareRequests = 1
	// lateTurn is the turn that goes to the oldest late request, one in four: late requests are worth less to
	// their callers, and nothing if they wait until their deadline.
	lateTurn = 4
	// maxQueued bounds the requests that wait. More are handed over at once.
	maxQueued = 256
	// maxHeldPackets bounds the packets of one flow that wait; callers send no more without an answer.
	maxHeldPackets = 16
)

// waiting is a request that waits for a slot, with the packets of its flow since.
type waiting struct {
	key       packet.Key
	flow      *flow
	since     time.Duration
	objective time.Duration // after which its answer is late
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
		w = &waiting{key: key, flow: f, since: now, objective: time.Duration(m.MaxWait) * time.Millisecond}
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
	var inTime, late *waiting
	for _, w := range r.queue { // the oldest first
		switch {
		case now+r.workTime(w) > w.since+w.objective:
			if late == nil {
				late = w
			}
		case inTime == nil || w.since+w.objective < inTime.since+inTime.objective:
			inTime = w
		}
	}
	r.turn++
	if inTime == nil || (late != nil && r.turn%lateTurn == 0) {
		r.Stats.QueuedLate++
		return late
	}
	return inTime
}

// workTime is the time that the target will need for a request. It is at most half of the objective: a target
// that stood still for a moment looks slower than it is, and every request would count as late.
func (r *Relay) workTime(w *waiting) time.Duration { return min(r.load.serviceTime(), w.objective/2) }

// handOver hands the packets of a request to the target.
func (r *Relay) handOver(now time.Duration, w *waiting) {
	r.unqueue(w)
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
