package entry_test

import (
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/relay"
	"github.com/greengagelock/greengagelock/internal/routing"
)

// targetVM is a VM with a target and its relay.
type targetVM struct {
	w              *world
	ip             hop.IP
	service        routing.ServiceID
	relay          *relay.Relay
	partitioned    bool // the relay reaches no other process
	unlisted       bool // the controllers do not list the relay
	zone           string
	mute           bool // datagrams of the relay to other zones are lost
	hung           bool // the relay receives no datagrams of other processes
	alive          bool
	draining       bool
	slots          int
	incarnation    int
	sequence       uint64
	firstHeartbeat time.Duration // time from the start of the target to its first heartbeat
	flows          map[packet.Key]*targetFlow
	acceptedSYNs   int // SYNs of new flows
	lastAcceptedAt time.Duration
	acceptedAt     []time.Duration // times of all SYNs of new flows
	warmUp         time.Duration   // time for which the target is cold after a start
	warmAt         time.Duration
	busy           int
	// queueLimit is the number of requests that may wait for a slot, zero for no limit. slotFreeAt holds
	// the time at which each slot becomes free.
	queueLimit int
	slotFreeAt []time.Duration
	rejected   int
}

// rejectionBytes is the size of the answer to a rejected request.
const rejectionBytes = 11

type targetFlow struct {
	lastRequest uint32 // sequence number of the last request
	isn         uint32
	open        bool
	seq         uint32
	// reply is the answer to the last request, nil while the target processes it. It is sent again for a
	// retransmitted request, because the first answer may be lost.
	reply *packet.View
}

// flowOf returns the flow of a caller, or nil if the target does not have it.
func (t *targetVM) flowOf(c *caller) *targetFlow {
	if t == nil {
		return nil
	}
	return t.flows[packet.Key{Caller: c.addr, Service: serviceAddr}]
}

func (t *targetVM) startRelay() {
	t.relay = relay.New(relay.Config{Codec: testCodec{}, Service: t.service, Self: t.ip, Decisions: t.w.logs.newDecisionLog("relay", t.ip)}, t)
	t.runFlowReports()
}

func (t *targetVM) armTimer() {
	current := t.relay
	if due := current.Tick(t.w.Now); due >= 0 {
		t.w.After(max(due-t.w.Now, 0), func() {
			if t.relay == current {
				t.armTimer()
			}
		})
	}
}

func (t *targetVM) startTarget() {
	t.alive, t.draining = true, false
	t.incarnation++
	t.sequence = 0
	t.flows = map[packet.Key]*targetFlow{}
	t.warmAt = t.w.Now + t.warmUp
	t.busy = 0
	t.slotFreeAt = make([]time.Duration, t.slots)
	incarnation := t.incarnation
	if t.firstHeartbeat == 0 {
		t.sendHeartbeats(incarnation)
		return
	}
	t.w.After(t.firstHeartbeat, func() { t.sendHeartbeats(incarnation) })
}

func (t *targetVM) sendHeartbeats(incarnation int) {
	if !t.alive || t.incarnation != incarnation {
		return
	}
	t.sequence++
	if t.relay != nil {
		h := relay.Heartbeat{
			ID: string(rune('a' + t.incarnation)), Sequence: t.sequence, Service: t.service, Draining: t.draining, Slots: t.slots,
			WarmupLeft: max(t.warmAt-t.w.Now, 0),
		}
		if err := t.relay.Heartbeat(t.w.Now, &h); err != nil {
			panic(err)
		}
	}
	t.w.After(heartbeatInterval, func() { t.sendHeartbeats(incarnation) })
}

func (t *targetVM) crash() {
	t.alive = false
	t.flows = nil
}

func (t *targetVM) ToNode(to hop.IP, datagram []byte) {
	if other := t.w.targetAt(to); t.mute && (other == nil || other.zone != t.zone) {
		return
	}
	t.w.toNode(t.ip, to, datagram)
}

func (t *targetVM) ToCaller(to packet.Addr, raw []byte) {
	if !t.partitioned {
		t.w.toCaller(to, raw, t)
	}
}

// ToTarget passes a packet to the target after a short delay.
func (t *targetVM) ToTarget(raw []byte) {
	b := slices.Clone(raw)
	incarnation := t.incarnation
	t.w.After(100*time.Microsecond, func() {
		if t.alive && t.incarnation == incarnation {
			t.handle(b)
		}
	})
}

func (t *targetVM) handle(raw []byte) {
	v, err := testCodec{}.Parse(raw)
	if err != nil {
		return
	}
	key := v.KeyFromCaller()
	f := t.flows[key]
	switch {
	case v.IsSYN() && f == nil:
		f = &targetFlow{isn: t.w.rand.Uint32()}
		t.flows[key] = f
		t.acceptedSYNs++
		t.lastAcceptedAt = t.w.Now
		t.acceptedAt = append(t.acceptedAt, t.w.Now)
		t.sendReply(key, packet.View{Flags: packet.SYN | packet.ACK, Seq: f.isn, Ack: v.Seq + 1})
	case v.IsSYN():
		t.sendReply(key, packet.View{Flags: packet.SYN | packet.ACK, Seq: f.isn, Ack: v.Seq + 1})
	case f == nil || (!f.open && v.Ack != f.isn+1):
		raw[12] |= byte(packet.Returned)
		t.send(raw)
	default:
		f.open = true
		switch {
		case v.DataBytes > 0 && v.Seq != f.lastRequest:
			f.lastRequest, f.reply = v.Seq, nil
			t.serve(key, f, &v)
		case v.DataBytes > 0 && f.reply != nil:
			t.sendReply(key, *f.reply)
		}
	}
}

// serve processes a request, queues it, or rejects it if the queue is full.
func (t *targetVM) serve(key packet.Key, f *targetFlow, v *packet.View) {
	done := packet.View{Flags: packet.ACK, Ack: v.Seq + uint32(v.DataBytes), DataBytes: 10}
	if t.queueLimit > 0 && t.busy >= t.slots+t.queueLimit {
		t.rejected++
		f.seq++
		done.Seq, done.DataBytes = f.isn+f.seq, rejectionBytes
		f.reply = &done
		t.sendReply(key, done)
		return
	}
	t.busy++
	// Without a queue limit, every request has its own slot.
	start := t.w.Now
	if t.queueLimit > 0 {
		slices.Sort(t.slotFreeAt)
		start = max(start, t.slotFreeAt[0])
		t.slotFreeAt[0] = start + serviceTime
	}
	incarnation := t.incarnation
	t.w.After(start+serviceTime-t.w.Now, func() {
		if t.incarnation != incarnation {
			return
		}
		t.busy--
		if t.flows[key] == f {
			f.seq++
			done.Seq = f.isn + f.seq
			f.reply = &done
			t.sendReply(key, done)
		}
	})
}

func (t *targetVM) sendReply(key packet.Key, v packet.View) {
	v.Source, v.Destination = key.Service, key.Caller
	t.send(encode(v))
}

func (t *targetVM) send(raw []byte) {
	if t.relay != nil {
		t.relay.FromTarget(t.w.Now, raw)
	}
}
