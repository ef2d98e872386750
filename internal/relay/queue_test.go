package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/roster"
)

// recordingPorts records the packets sent to the target.
type recordingPorts struct {
	discardPorts
	toTarget []string
}

func (p *recordingPorts) ToTarget(raw []byte) { p.toTarget = append(p.toTarget, string(raw)) }

func (stubCodec) SetToken([]byte, uint32) {}

// queueFixture is a relay with a target of one slot and open flows that are numbered from 0.
type queueFixture struct {
	*Relay
	port *recordingPorts
}

func newQueueFixture(flows int) *queueFixture {
	q := &queueFixture{port: &recordingPorts{}}
	q.Relay = New(Config{Codec: stubCodec{}, Service: service}, q.port)
	q.target.Slots = 1
	for n := range flows {
		q.flows[keyOf(n)] = &flow{state: open, nextSeq: 1}
	}
	return q
}

func keyOf(n int) packet.Key { return packet.Key{Caller: packet.Addr{Port: uint16(n)}} }

// send delivers a packet of a flow whose route has an objective of 100 ms and a timeout of 1 s.
func (q *queueFixture) send(now time.Duration, n int, name string, v packet.View) {
	v.Source = keyOf(n).Caller
	v.Flags |= packet.ACK
	q.deliver(now, &hop.Message{Kind: hop.Forward, MaxWait: 100, Timeout: 1000, Packet: []byte(name)}, &v)
}

func (q *queueFixture) sendRequest(now time.Duration, n int, name string) {
	q.send(now, n, name, packet.View{Seq: 1, DataBytes: 10})
}

// completeRequest ends the request of a flow.
func (q *queueFixture) completeRequest(now time.Duration, n int) {
	q.endRequest(now, q.flows[keyOf(n)])
}

// Packets of a queued flow must not overtake each other, and a request that its caller repeated while it was
// queued must not reach the target twice.
func TestQueuedPacketsKeepTheirOrder(t *testing.T) {
	g := NewWithT(t)
	q := newQueueFixture(3)
	for n, name := range []string{"a", "b", "c"} {
		q.sendRequest(0, n, name)
	}
	q.send(0, 2, "c2", packet.View{Seq: 11, DataBytes: 10})
	q.sendRequest(0, 2, "c again")
	g.Expect(q.port.toTarget).To(Equal([]string{"a", "b"}))
	q.completeRequest(time.Millisecond, 0)
	g.Expect(q.port.toTarget).To(Equal([]string{"a", "b", "c", "c2"}))
	g.Expect(q.Stats.QueuedCopies).To(Equal(uint64(1)))
}

// A request whose caller reset the flow while it was queued must not take a slot, and a FIN must not reach
// the target before the data that it follows.
func TestFlowEndsWhileItsRequestIsQueued(t *testing.T) {
	g := NewWithT(t)
	q := newQueueFixture(4)
	for n, name := range []string{"a", "b", "c", "d"} {
		q.sendRequest(0, n, name)
	}
	q.send(0, 2, "c rst", packet.View{Flags: packet.RST})
	q.send(0, 3, "d fin", packet.View{Seq: 11, Flags: packet.FIN})
	g.Expect(q.port.toTarget).To(Equal([]string{"a", "b", "c rst", "d", "d fin"}))
	g.Expect(q.queue).To(BeEmpty())
	g.Expect(q.busyRequests(0)).To(Equal(2))
}

// Requests must not starve: aged ones get every second turn, and all turns once no other request is queued.
func TestOrderOfQueuedRequests(t *testing.T) {
	g := NewWithT(t)
	q := newQueueFixture(8)
	q.sendRequest(0, 0, "a")
	q.sendRequest(0, 1, "b")
	q.sendRequest(0, 2, "old")
	q.sendRequest(10*time.Millisecond, 3, "less old")
	now := 600 * time.Millisecond
	q.sendRequest(now, 4, "new")
	q.sendRequest(now+time.Millisecond, 5, "newer")
	q.sendRequest(now+2*time.Millisecond, 6, "newest")
	now += 3 * time.Millisecond
	for _, n := range []int{0, 1, 6, 2, 5} {
		q.completeRequest(now, n)
	}
	g.Expect(q.port.toTarget[2:]).To(Equal([]string{"newest", "old", "newer", "less old", "new"}))
}

// Requests must not stay queued when the target restarts or its answers get lost.
func TestQueueIsEmptiedByTimeoutAndReset(t *testing.T) {
	g := NewWithT(t)
	q := newQueueFixture(4)
	for n, name := range []string{"a", "b", "c", "d"} {
		q.sendRequest(0, n, name)
	}
	q.ExpireFlows(maxRequestAge + time.Millisecond)
	g.Expect(q.port.toTarget).To(ConsistOf("a", "b", "c", "d"))
	q = newQueueFixture(4)
	for n, name := range []string{"a", "b", "c", "d"} {
		q.sendRequest(0, n, name)
	}
	q.resetFlows(time.Second, func(*flow) bool { return false })
	g.Expect(q.queue).To(BeEmpty())
	g.Expect(q.busyRequests(time.Second)).To(BeZero())
}

// Guards against requests that wait at a relay when it stops as planned: nobody else has them, and their callers would
// wait until they send them again.
func TestQueuedRequestsAreHandedOverAtTheStop(t *testing.T) {
	g := NewWithT(t)
	q := newQueueFixture(4)
	for n, name := range []string{"a", "b", "c", "d"} {
		q.sendRequest(0, n, name)
	}
	g.Expect(q.port.toTarget).To(Equal([]string{"a", "b"}))
	q.Stop()
	q.DispatchAll(time.Second)
	g.Expect(q.port.toTarget).To(Equal([]string{"a", "b", "c", "d"}))
}

// Guards against a second copy of an answer that a target sends late, on an earlier flow, and that would reach the caller
// on a new flow from the same port.
func TestLateAnswerOfAnEarlierFlowIsDropped(t *testing.T) {
	g := NewWithT(t)
	q := newQueueFixture(1)
	earlier := q.flows[keyOf(0)]
	answer := &packet.View{Flags: packet.ACK, DataBytes: 10}
	g.Expect(q.observeTargetPacket(0, earlier, answer)).To(BeTrue())

	q.target.State = roster.Ready
	syn := &packet.View{Flags: packet.SYN, Seq: 5000, Source: keyOf(0).Caller}
	q.handleSYN(time.Second, &hop.Message{Kind: hop.Forward, Service: uint64(service)}, syn)
	later := q.flows[keyOf(0)]
	g.Expect(later).NotTo(BeIdenticalTo(earlier))
	g.Expect(q.observeTargetPacket(time.Second, later, answer)).To(BeFalse(), "before the SYN-ACK")
	g.Expect(q.observeTargetPacket(time.Second, later, &packet.View{Flags: packet.SYN | packet.ACK, Seq: 9})).To(BeTrue())
	g.Expect(q.observeTargetPacket(time.Second, later, answer)).To(BeFalse(), "before the caller's next packet")
	q.send(time.Second, 0, "request", packet.View{Seq: 5001, Ack: 10, DataBytes: 10})
	g.Expect(q.observeTargetPacket(time.Second, later, answer)).To(BeTrue())
}
