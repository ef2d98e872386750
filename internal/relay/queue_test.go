package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
)

// targetPort records what the target gets.
type targetPort struct {
	noPorts
	got []string
}

func (p *targetPort) ToTarget(raw []byte) { p.got = append(p.got, string(raw)) }

func (noCodec) SetToken([]byte, uint32) {}

// queueing is a relay with a target of one slot, and open flows that are known by their number.
type queueing struct {
	*Relay
	port *targetPort
}

func newQueueing(flows int) *queueing {
	q := &queueing{port: &targetPort{}}
	q.Relay = New(Config{Codec: noCodec{}, Service: service}, q.port)
	q.target.Slots = 1
	for n := range flows {
		q.flows[keyOf(n)] = &flow{state: open, next: 1}
	}
	return q
}

func keyOf(n int) packet.Key { return packet.Key{Caller: packet.Addr{Port: uint16(n)}} }

// send lets a packet of a flow arrive whose route has an objective of 100 ms and a timeout of 1 s.
func (q *queueing) send(now time.Duration, n int, name string, v packet.View) {
	v.Source = keyOf(n).Caller
	v.Flags |= packet.ACK
	q.deliver(now, &hop.Message{Kind: hop.Forward, MaxWait: 100, Timeout: 1000, Packet: []byte(name)}, &v)
}

func (q *queueing) ask(now time.Duration, n int, name string) {
	q.send(now, n, name, packet.View{Seq: 1, DataBytes: 10})
}

// answer ends the request of a flow.
func (q *queueing) answer(now time.Duration, n int) { q.finish(now, q.flows[keyOf(n)]) }

// Guards against packets of a flow that overtake each other at the relay, and against a request that the
// target gets twice because its caller repeated it while it waited.
func TestWaitingPacketsKeepTheirOrder(t *testing.T) {
	g := NewWithT(t)
	q := newQueueing(3)
	for n, name := range []string{"a", "b", "c"} {
		q.ask(0, n, name)
	}
	q.send(0, 2, "c2", packet.View{Seq: 11, DataBytes: 10})
	q.ask(0, 2, "c again")
	g.Expect(q.port.got).To(Equal([]string{"a", "b"}))
	q.answer(time.Millisecond, 0)
	g.Expect(q.port.got).To(Equal([]string{"a", "b", "c", "c2"}))
	g.Expect(q.Stats.QueuedCopies).To(Equal(uint64(1)))
}

// Guards against a request whose caller has reset the flow and that takes a slot all the same, and against the
// end of a caller's data that arrives before the data.
func TestEndOfAFlowWhoseRequestWaits(t *testing.T) {
	g := NewWithT(t)
	q := newQueueing(4)
	for n, name := range []string{"a", "b", "c", "d"} {
		q.ask(0, n, name)
	}
	q.send(0, 2, "c rst", packet.View{Flags: packet.RST})
	q.send(0, 3, "d fin", packet.View{Seq: 11, Flags: packet.FIN})
	g.Expect(q.port.got).To(Equal([]string{"a", "b", "c rst", "d", "d fin"}))
	g.Expect(q.queue).To(BeEmpty())
	g.Expect(q.busy(0)).To(Equal(2))
}

// Guards against requests that starve: those that have waited long get every second turn, and without
// others all.
func TestTurnsOfWaitingRequests(t *testing.T) {
	g := NewWithT(t)
	q := newQueueing(8)
	q.ask(0, 0, "a")
	q.ask(0, 1, "b")
	q.ask(0, 2, "old")
	q.ask(10*time.Millisecond, 3, "less old")
	now := 600 * time.Millisecond
	q.ask(now, 4, "new")
	q.ask(now+time.Millisecond, 5, "newer")
	q.ask(now+2*time.Millisecond, 6, "newest")
	now += 3 * time.Millisecond
	for _, n := range []int{0, 1, 6, 2, 5} {
		q.answer(now, n)
	}
	g.Expect(q.port.got[2:]).To(Equal([]string{"newest", "old", "newer", "less old", "new"}))
}

// Guards against requests that wait at the relay of a target that was restarted or whose answers got lost.
func TestWaitingRequestsAreNotForgotten(t *testing.T) {
	g := NewWithT(t)
	q := newQueueing(4)
	for n, name := range []string{"a", "b", "c", "d"} {
		q.ask(0, n, name)
	}
	q.Sweep(staleRequest + time.Millisecond)
	g.Expect(q.port.got).To(ConsistOf("a", "b", "c", "d"))
	q = newQueueing(4)
	for n, name := range []string{"a", "b", "c", "d"} {
		q.ask(0, n, name)
	}
	q.resetAll(time.Second)
	g.Expect(q.queue).To(BeEmpty())
	g.Expect(q.busy(time.Second)).To(BeZero())
}
