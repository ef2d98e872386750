package entry_test

import (
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/entry"
	"github.com/greengagelock/greengagelock/internal/packet"
)

// caller holds one flow, and sends requests on it with pauses.
type caller struct {
	w             *world
	addr          packet.Addr
	seq           uint32
	ack           uint32
	state         string // "opening", "open", "ended"
	target        *targetVM
	incarnation   int // incarnation of target that accepted the flow
	requestedAt   time.Duration
	awaitedAck    uint32 // acknowledgement that completes the request, zero for none
	served        int
	resets        int
	slow          int // requests that took more than a second
	rejected      int
	singleRequest bool // ends with its first request
}

// openFlow adds a caller, which opens a flow.
func (w *world) openFlow() *caller {
	n := len(w.callers)
	c := &caller{w: w, addr: packet.Addr{IP: [4]byte{100, 64, byte(n >> 8), byte(n)}, Port: 1000}, state: "opening", seq: w.rand.Uint32()}
	w.callers = append(w.callers, c)
	c.sendSYN(0)
	return c
}

// send sends a packet to one of the running entry VMs, selected by the hash of the flow.
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
	c.w.deliver(func() { e.withEntry(func(n *entry.Entry) { n.FromCaller(c.w.Now, b) }) })
}

func (c *caller) sendSYN(attempt uint32) {
	if c.state != "opening" {
		return
	}
	if attempt > 2 {
		c.state = "ended"
		return
	}
	c.send(packet.View{Flags: packet.SYN, Seq: c.seq, Ack: attempt})
	c.w.After([]time.Duration{200, 400, 800}[attempt]*time.Millisecond, func() { c.sendSYN(attempt + 1) })
}

// sendRequest sends the current request, and retransmits it until it is answered.
func (c *caller) sendRequest(attempt time.Duration) {
	if c.state != "open" {
		return
	}
	c.send(packet.View{Flags: packet.ACK, Seq: c.seq, Ack: c.ack, DataBytes: 100})
	want := c.awaitedAck
	c.w.After(min(200*time.Millisecond<<attempt, 1600*time.Millisecond), func() {
		if c.awaitedAck == want && c.awaitedAck != 0 {
			c.sendRequest(attempt + 1)
		}
	})
}

func (c *caller) startRequest() {
	if c.state == "open" && (!c.singleRequest || c.served+c.rejected == 0) {
		c.requestedAt, c.awaitedAck = c.w.Now, c.seq+100
		c.sendRequest(0)
	}
}

func (c *caller) receive(v *packet.View, by *targetVM, incarnation int) {
	switch {
	case v.Flags.Has(packet.RST):
		c.receiveReset()
	case v.IsSYNACK() && c.state == "opening":
		c.state, c.target, c.incarnation = "open", by, incarnation
		c.seq++
		c.ack = v.Seq + 1
		c.startRequest()
	case v.DataBytes > 0 && c.state == "open" && v.Ack == c.awaitedAck:
		if by != c.target {
			c.w.wrongReplies++
		}
		if c.w.Now-c.requestedAt > time.Second {
			c.slow++
		}
		if v.DataBytes == rejectionBytes {
			c.rejected++
		} else {
			c.served++
		}
		c.seq, c.awaitedAck = c.awaitedAck, 0
		c.ack = v.Seq + uint32(v.DataBytes)
		c.w.After(idleTime, c.startRequest)
	}
}

func (c *caller) receiveReset() {
	// A flow is open once its target has received the end of the handshake, which is certain only without
	// packet loss.
	f := c.target.flowOf(c)
	opened := c.w.loss == 0 || (f != nil && f.open)
	if c.state == "open" && c.target.alive && c.target.incarnation == c.incarnation && !c.target.partitioned && opened {
		c.w.wrongResets = append(c.w.wrongResets, c.addr.String())
	}
	c.resets++
	c.state = "ended"
}
