package entry_test

import (
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/entry"
	"github.com/greengagelock/greengagelock/internal/packet"
)

// caller holds one flow and sends a request on it from time to time.
type caller struct {
	w      *world
	addr   packet.Addr
	seq    uint32
	ack    uint32
	state  string // "opening", "open", "ended"
	target *targetVM
	life   int // of target
	asked  time.Duration
	want   uint32 // acknowledgement that ends the request
	served int
	resets int
	slow   int // requests that took over a second
	shed   int
	once   bool // sends a single request
}

// call opens a flow.
func (w *world) call() *caller {
	n := len(w.callers)
	c := &caller{w: w, addr: packet.Addr{IP: [4]byte{100, 64, byte(n >> 8), byte(n)}, Port: 1000}, state: "opening", seq: w.rand.Uint32()}
	w.callers = append(w.callers, c)
	c.syn(0)
	return c
}

// send hands a packet to the entry VM that the fabric chooses: one that is up, by the hash of the flow.
func (c *caller) send(v packet.View) {
	v.Source, v.Destination = c.addr, serviceAddr
	var up []*entryVM
	for _, e := range c.w.entries {
		if e.entry != nil {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return
	}
	key := packet.Key{Caller: c.addr, Service: serviceAddr}
	e := slices.MaxFunc(up, func(a, b *entryVM) int {
		return int(int64(key.Hash()*uint64(a.ip[3])>>1) - int64(key.Hash()*uint64(b.ip[3])>>1))
	})
	b := encode(v)
	c.w.deliver(func() { e.do(func(n *entry.Entry) { n.FromCaller(c.w.now, b) }) })
}

func (c *caller) syn(attempt uint32) {
	if c.state != "opening" {
		return
	}
	if attempt > 2 {
		c.state = "ended"
		return
	}
	c.send(packet.View{Flags: packet.SYN, Seq: c.seq, Ack: attempt})
	c.w.after([]time.Duration{200, 400, 800}[attempt]*time.Millisecond, func() { c.syn(attempt + 1) })
}

// request sends a request, and again until it is answered.
func (c *caller) request(try time.Duration) {
	if c.state != "open" {
		return
	}
	c.send(packet.View{Flags: packet.ACK, Seq: c.seq, Ack: c.ack, DataBytes: 100})
	want := c.want
	c.w.after(min(200*time.Millisecond<<try, 1600*time.Millisecond), func() {
		if c.want == want && c.want != 0 {
			c.request(try + 1)
		}
	})
}

func (c *caller) next() {
	if c.state == "open" && (!c.once || c.served+c.shed == 0) {
		c.asked, c.want = c.w.now, c.seq+100
		c.request(0)
	}
}

func (c *caller) receive(v *packet.View, by *targetVM, life int) {
	switch {
	case v.Flags.Has(packet.RST):
		c.reset()
	case v.IsSYNACK() && c.state == "opening":
		c.state, c.target, c.life = "open", by, life
		c.seq++
		c.ack = v.Seq + 1
		c.next()
	case v.DataBytes > 0 && c.state == "open" && v.Ack == c.want:
		if by != c.target {
			c.w.foreign++
		}
		if c.w.now-c.asked > time.Second {
			c.slow++
		}
		if v.DataBytes == shedBytes {
			c.shed++
		} else {
			c.served++
		}
		c.seq, c.want = c.want, 0
		c.ack = v.Seq + uint32(v.DataBytes)
		c.w.after(idleGap, c.next)
	}
}

func (c *caller) reset() {
	// A flow is open once its target has the end of the handshake. Without loss of packets it always has.
	f := c.target.flowOf(c)
	opened := c.w.loss == 0 || (f != nil && f.open)
	if c.state == "open" && c.target.alive && c.target.life == c.life && !c.target.cut && opened {
		c.w.broken = append(c.w.broken, c.addr.String())
	}
	c.resets++
	c.state = "ended"
}
