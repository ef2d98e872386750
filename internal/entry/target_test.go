package entry_test

import (
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/relay"
	"github.com/greengagelock/greengagelock/internal/routing"
)

// targetVM is a target with its relay.
type targetVM struct {
	w        *world
	ip       hop.IP
	service  routing.ServiceID
	relay    *relay.Relay
	cut      bool // its relay reaches nobody
	unlisted bool // its relay has not announced itself
	hung     bool // its relay takes no datagrams of other processes
	alive    bool
	draining bool
	slots    int
	life     int
	sequence uint64
	flows    map[packet.Key]*targetFlow
	opened   int // SYNs accepted
	openedAt time.Duration
	busy     int
	// queueLimit is the number of requests that wait for a slot; zero for no limit. free are the times at
	// which the slots are free.
	queueLimit int
	free       []time.Duration
	shed       int
}

// shedBytes marks the answer to a request that the target rejected.
const shedBytes = 11

type targetFlow struct {
	last uint32 // sequence number of the last request
	isn  uint32
	open bool
	seq  uint32
	// reply is the answer to the last request, nil while the target works on it. It is sent again for a copy
	// of the request, since the first one may be lost.
	reply *packet.View
}

// flowOf returns the flow of a caller, nil if the target does not have it.
func (t *targetVM) flowOf(c *caller) *targetFlow {
	if t == nil {
		return nil
	}
	return t.flows[packet.Key{Caller: c.addr, Service: serviceAddr}]
}

func (t *targetVM) startRelay() {
	t.relay = relay.New(relay.Config{Codec: plainCodec{}, Service: t.service, Self: t.ip, Decisions: t.w.logs.open("relay", t.ip)}, t)
}

func (t *targetVM) arm() {
	of := t.relay
	if due := of.Tick(t.w.now); due >= 0 {
		t.w.after(max(due-t.w.now, 0), func() {
			if t.relay == of {
				t.arm()
			}
		})
	}
}

func (t *targetVM) startTarget() {
	t.alive, t.draining = true, false
	t.life++
	t.sequence = 0
	t.flows = map[packet.Key]*targetFlow{}
	t.busy = 0
	t.free = make([]time.Duration, t.slots)
	t.beat(t.life)
}

func (t *targetVM) beat(life int) {
	if !t.alive || t.life != life {
		return
	}
	t.sequence++
	if t.relay != nil {
		h := relay.Heartbeat{
			ID: string(rune('a' + t.life)), Sequence: t.sequence, Service: t.service, Draining: t.draining, Slots: t.slots,
		}
		if err := t.relay.Heartbeat(t.w.now, &h); err != nil {
			panic(err)
		}
	}
	t.w.after(beatPeriod, func() { t.beat(life) })
}

func (t *targetVM) crash() {
	t.alive = false
	t.flows = nil
}

func (t *targetVM) ToNode(to hop.IP, datagram []byte) { t.w.toNode(t.ip, to, datagram) }

func (t *targetVM) ToCaller(to packet.Addr, raw []byte) {
	if !t.cut {
		t.w.toCaller(to, raw, t)
	}
}

// ToTarget hands a packet to the target, which answers a moment later.
func (t *targetVM) ToTarget(raw []byte) {
	b := slices.Clone(raw)
	life := t.life
	t.w.after(100*time.Microsecond, func() {
		if t.alive && t.life == life {
			t.take(b)
		}
	})
}

func (t *targetVM) take(raw []byte) {
	v, err := plainCodec{}.Parse(raw)
	if err != nil {
		return
	}
	key := v.KeyFromCaller()
	f := t.flows[key]
	switch {
	case v.IsSYN() && f == nil:
		f = &targetFlow{isn: t.w.rand.Uint32()}
		t.flows[key] = f
		t.opened++
		t.openedAt = t.w.now
		t.answer(key, packet.View{Flags: packet.SYN | packet.ACK, Seq: f.isn, Ack: v.Seq + 1})
	case v.IsSYN():
		t.answer(key, packet.View{Flags: packet.SYN | packet.ACK, Seq: f.isn, Ack: v.Seq + 1})
	case f == nil || (!f.open && v.Ack != f.isn+1):
		raw[12] |= byte(packet.Returned)
		t.send(raw)
	default:
		f.open = true
		switch {
		case v.DataBytes > 0 && v.Seq != f.last:
			f.last, f.reply = v.Seq, nil
			t.work(key, f, &v)
		case v.DataBytes > 0 && f.reply != nil:
			t.answer(key, *f.reply)
		}
	}
}

// work queues a request, or rejects it if the queue is full.
func (t *targetVM) work(key packet.Key, f *targetFlow, v *packet.View) {
	done := packet.View{Flags: packet.ACK, Ack: v.Seq + uint32(v.DataBytes), DataBytes: 10}
	if t.queueLimit > 0 && t.busy >= t.slots+t.queueLimit {
		t.shed++
		f.seq++
		done.Seq, done.DataBytes = f.isn+f.seq, shedBytes
		f.reply = &done
		t.answer(key, done)
		return
	}
	t.busy++
	// With unlimited queues every request has a slot of its own.
	start := t.w.now
	if t.queueLimit > 0 {
		slices.Sort(t.free)
		start = max(start, t.free[0])
		t.free[0] = start + workTime
	}
	life := t.life
	t.w.after(start+workTime-t.w.now, func() {
		if t.life != life {
			return
		}
		t.busy--
		if t.flows[key] == f {
			f.seq++
			done.Seq = f.isn + f.seq
			f.reply = &done
			t.answer(key, done)
		}
	})
}

func (t *targetVM) answer(key packet.Key, v packet.View) {
	v.Source, v.Destination = key.Service, key.Caller
	t.send(encode(v))
}

func (t *targetVM) send(raw []byte) {
	if t.relay != nil {
		t.relay.FromTarget(t.w.now, raw)
	}
}
