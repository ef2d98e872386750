package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/routing"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

// discardPorts drops all packets.
type discardPorts struct{}

func (discardPorts) ToTarget([]byte)              {}
func (discardPorts) ToCaller(packet.Addr, []byte) {}
func (discardPorts) ToNode(hop.IP, []byte)        {}

// stubCodec writes empty packets.
type stubCodec struct{ packet.Codec }

func (stubCodec) Reset(packet.Key, uint32) []byte { return nil }

var service = routing.ServiceIDOf("service")

func newRelay() *Relay {
	return New(Config{Codec: stubCodec{}, Service: service, Self: hop.IP{10, 0, 0, 9}}, discardPorts{})
}

func sendHeartbeat(r *Relay, now time.Duration, id string, born int64, sequence uint64) error {
	return r.Heartbeat(now, &Heartbeat{ID: id, Born: born, Sequence: sequence, Service: service, Slots: 2})
}

// A delayed heartbeat of an earlier incarnation must not replace the current target.
func TestHeartbeatOfSupersededIncarnationIsRejected(t *testing.T) {
	g := NewWithT(t)
	for name, born := range map[string][2]int64{"start times known": {100, 200}, "start times unknown": {0, 0}} {
		r := newRelay()
		g.Expect(sendHeartbeat(r, 0, "old", born[0], 50)).To(Succeed(), name)
		g.Expect(sendHeartbeat(r, time.Second, "new", born[1], 1)).To(Succeed(), name)
		err := sendHeartbeat(r, 2*time.Second, "old", born[0], 51)
		g.Expect(result.CodeOf(err)).To(Equal(result.StaleGeneration), name)
		g.Expect(r.AnnouncedTarget(2*time.Second, "z").ID).To(Equal("new"), name)
	}
	r := newRelay()
	g.Expect(sendHeartbeat(r, 0, "new", 0, 7)).To(Succeed())
	// The relay started after both; the target whose sequence does not start at 1 is the earlier one.
	g.Expect(result.CodeOf(sendHeartbeat(r, time.Second, "old", 0, 90))).To(Equal(result.StaleGeneration))
}

// A target that restarts under its old ID must not be taken for the earlier incarnation: it has no flows, and
// its sequence numbers start again.
func TestRestartUnderTheSameIDResetsFlows(t *testing.T) {
	g := NewWithT(t)
	r := newRelay()
	g.Expect(sendHeartbeat(r, 0, "i", 100, 40)).To(Succeed())
	r.flows[packet.Key{}] = &flow{state: open}
	g.Expect(sendHeartbeat(r, time.Second, "i", 200, 1)).To(Succeed())
	g.Expect(r.Flows()).To(BeZero())
	g.Expect(r.Stats.FlowsReset).To(Equal(uint64(1)), "the flow is reset at its caller at once")
	g.Expect(r.AnnouncedTarget(time.Second, "z").Born).To(Equal(int64(200)))
}

// A late heartbeat must not end a drain, and a heartbeat of another service must not replace the target.
func TestLateHeartbeatDoesNotEndDrain(t *testing.T) {
	g := NewWithT(t)
	r := newRelay()
	g.Expect(sendHeartbeat(r, 0, "i", 0, 1)).To(Succeed())
	g.Expect(r.Heartbeat(0, &Heartbeat{ID: "i", Sequence: 3, Service: service, Draining: true})).To(Succeed())
	g.Expect(sendHeartbeat(r, 0, "i", 0, 2)).To(Succeed())
	g.Expect(r.State()).To(Equal(roster.Draining))
	g.Expect(sendHeartbeat(r, 0, "i", 0, 4)).To(Succeed())
	g.Expect(r.State()).To(Equal(roster.Draining))
	err := r.Heartbeat(0, &Heartbeat{ID: "x", Sequence: 1, Service: routing.ServiceIDOf("other")})
	g.Expect(result.CodeOf(err)).To(Equal(result.PeerUnknown))
	g.Expect(r.AnnouncedTarget(0, "z").ID).To(Equal("i"))
}

// Guards against live flows that are reported as absent: an earlier process of the relay may have offered them to the target
// before the first heartbeat that this process receives, whichever target it knew then.
func TestFlowKnowledgeAfterRelayRestart(t *testing.T) {
	const interval = 500 * time.Millisecond
	for name, c := range map[string]struct {
		prepare func(r *Relay)
		want    hop.Answer
	}{
		"a heartbeat":           {func(r *Relay) { _ = sendHeartbeat(r, 0, "i", 0, 20) }, hop.Unsure},
		"the first heartbeat":   {func(r *Relay) { _ = sendHeartbeat(r, 0, "i", 0, 1) }, hop.Unsure},
		"the notice of the end": {func(r *Relay) { _ = r.Leave(0, "i", 0) }, hop.Unsure},
		"the same target twice": {func(r *Relay) { _ = sendHeartbeat(r, 0, "i", 0, 1); _ = sendHeartbeat(r, interval, "i", 0, 2) }, hop.Unsure},
		"the target listens":    {func(r *Relay) { r.StartCheckIfDue(interval, interval); r.RecordCheck(interval, Listening, interval) }, hop.Unsure},
		"nothing listens": {func(r *Relay) {
			r.StartCheckIfDue(interval, interval)
			r.RecordCheck(interval, ConnectionRefused, interval)
		}, hop.NotOwned},
		"another target before this one": {func(r *Relay) { _ = sendHeartbeat(r, 0, "h", 0, 8); _ = sendHeartbeat(r, interval, "i", 0, 1) }, hop.NotOwned},
		"the end of another one":         {func(r *Relay) { _ = r.Leave(0, "h", 0); _ = sendHeartbeat(r, interval, "i", 0, 1) }, hop.NotOwned},
		"a request may be at work":       {func(r *Relay) { r.ExpireFlows(flowIdleTimeout + time.Millisecond) }, hop.Unsure},
		"all flows have expired":         {func(r *Relay) { r.ExpireFlows(flowIdleTimeout + maxRequestAge + time.Millisecond) }, hop.NotOwned},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRelay()
			c.prepare(r)
			NewWithT(t).Expect(r.lookup(0, packet.Key{}, 0)).To(Equal(c.want))
		})
	}
}

// Guards against the result of a check that arrives late: the target has started meanwhile, and its flows were reset.
func TestLateResultOfACheckKeepsLaterFlows(t *testing.T) {
	g := NewWithT(t)
	const interval = 500 * time.Millisecond
	before, offered, later := packet.Key{Caller: packet.Addr{Port: 1}}, packet.Key{Caller: packet.Addr{Port: 2}}, packet.Key{Caller: packet.Addr{Port: 3}}
	r := newRelay()
	g.Expect(sendHeartbeat(r, 0, "i", 0, 1)).To(Succeed())
	r.flows[before] = &flow{state: open, createdAt: time.Second}
	g.Expect(r.StartCheckIfDue(2*time.Second, interval)).To(BeTrue())
	r.flows[offered] = &flow{state: halfOpen, createdAt: 2100 * time.Millisecond}
	r.flows[later] = &flow{state: open, createdAt: 2100 * time.Millisecond}
	r.RecordCheck(2200*time.Millisecond, ConnectionRefused, interval)
	g.Expect(r.lookup(0, before, 0)).To(Equal(hop.NotOwned))
	g.Expect(r.flows).To(HaveKey(later))
	g.Expect(r.flows).NotTo(HaveKey(offered), "a copy of the SYN goes to another target")
	g.Expect(r.Stats.FlowsReset).To(Equal(uint64(1)))
	g.Expect(r.State()).To(Equal(roster.Ready))
	g.Expect(r.StartCheckIfDue(4*time.Second, interval)).To(BeTrue())
	r.flows = map[packet.Key]*flow{}
	g.Expect(sendHeartbeat(r, 4100*time.Millisecond, "j", 0, 1)).To(Succeed())
	r.RecordCheck(4200*time.Millisecond, ConnectionRefused, interval)
	g.Expect(r.State()).To(Equal(roster.Ready), "a heartbeat has arrived since the start of the check")
}

// Guards against flows that are reported as those of a target that has restarted without a heartbeat yet: the next process of the
// relay resets the flows of a target that is gone.
func TestReportedFlowsAreOlderThanAHeartbeat(t *testing.T) {
	g := NewWithT(t)
	r := newRelay()
	g.Expect(sendHeartbeat(r, time.Second, "i", 0, 1)).To(Succeed())
	r.flows[packet.Key{}] = &flow{state: open, createdAt: 2 * time.Second, lastAck: 1}
	_, flows := r.ReportedFlows()
	g.Expect(flows).To(BeEmpty())
	g.Expect(sendHeartbeat(r, 3*time.Second, "i", 0, 2)).To(Succeed())
	_, flows = r.ReportedFlows()
	g.Expect(flows).To(HaveLen(1))
}

// A target whose VM refuses connections must get no flows until it sends heartbeats again. One that sends no
// heartbeats and does not answer a check counts as silent.
func TestUnresponsiveTarget(t *testing.T) {
	g := NewWithT(t)
	const interval = 500 * time.Millisecond
	r := newRelay()
	g.Expect(sendHeartbeat(r, 0, "i", 0, 1)).To(Succeed())
	g.Expect(r.StartCheckIfDue(time.Second, interval)).To(BeFalse())
	r.awaitingTarget, r.awaitingSince = true, time.Second
	g.Expect(r.StartCheckIfDue(time.Second+answerTimeout, interval)).To(BeFalse())
	g.Expect(r.StartCheckIfDue(time.Second+answerTimeout+1, interval)).To(BeTrue())
	r.RecordCheck(time.Second, ConnectionRefused, interval)
	g.Expect(r.State()).To(Equal(roster.Down))
	g.Expect(r.lookup(0, packet.Key{}, 0)).To(Equal(hop.NotOwned))
	g.Expect(sendHeartbeat(r, 2*time.Second, "j", 0, 1)).To(Succeed())
	g.Expect(r.State()).To(Equal(roster.Ready))
	g.Expect(r.StartCheckIfDue(5*time.Second, interval)).To(BeTrue(), "heartbeats are missing")
	r.RecordCheck(5*time.Second, NoAnswer, interval)
	g.Expect(r.State()).To(Equal(roster.Silent))
}

// The load must not grow for ever: a request whose caller gave up, with data arriving after the FIN, stayed
// in progress and blocked new flows.
func TestAbandonedRequestsDoNotCount(t *testing.T) {
	g := NewWithT(t)
	r := newRelay()
	f := &flow{state: open}
	r.flows[packet.Key{}] = f
	r.observeCallerPacket(0, f, &packet.View{Flags: packet.ACK | packet.FIN, Seq: 101}, hop.IP{})
	r.observeCallerPacket(0, f, &packet.View{Flags: packet.ACK, Seq: 1, DataBytes: 100}, hop.IP{})
	g.Expect(r.busyRequests(0)).To(BeZero())

	f = &flow{state: open}
	r.flows[packet.Key{}] = f
	r.observeCallerPacket(time.Second, f, &packet.View{Flags: packet.ACK, Seq: 1, DataBytes: 100}, hop.IP{})
	g.Expect(r.busyRequests(time.Second)).To(Equal(1))
	r.ExpireFlows(time.Second + maxRequestAge + 1)
	g.Expect(r.busyRequests(time.Second + maxRequestAge + 1)).To(BeZero())
}

// If the target ended before the relay started, it sends no heartbeat, and entry VMs counted the relay as
// unsure of its flows for a minute.
func TestTargetWithoutHeartbeats(t *testing.T) {
	g := NewWithT(t)
	const interval = 500 * time.Millisecond
	r := newRelay()
	g.Expect(r.lookup(0, packet.Key{}, 0)).To(Equal(hop.Unsure))
	g.Expect(r.StartCheckIfDue(minCheckInterval, interval)).To(BeTrue())
	r.RecordCheck(minCheckInterval, Listening, interval)
	g.Expect(r.lookup(0, packet.Key{}, 0)).To(Equal(hop.Unsure))
	g.Expect(r.StartCheckIfDue(2*minCheckInterval, interval)).To(BeTrue())
	r.RecordCheck(2*minCheckInterval, ConnectionRefused, interval)
	g.Expect(r.lookup(0, packet.Key{}, 0)).To(Equal(hop.NotOwned))
	g.Expect(r.StartCheckIfDue(4*minCheckInterval, interval)).To(BeFalse())
	g.Expect(sendHeartbeat(r, 5*minCheckInterval, "i", 0, 7)).To(Succeed())
	g.Expect(r.lookup(0, packet.Key{}, 0)).To(Equal(hop.NotOwned), "all its flows were opened through this process")
}

// After a loss of power, each entry VM that got a packet of a flow had it probed at every unsure target
// again, which kept targets and relays busy.
func TestReturnedFlowIsRemembered(t *testing.T) {
	g := NewWithT(t)
	r := newRelay()
	key := packet.Key{Caller: packet.Addr{IP: [4]byte{10, 0, 0, 1}, Port: 7}}
	r.recordReturnedFlow(key)
	g.Expect(r.lookup(0, key, 0)).To(Equal(hop.NotOwned))
	g.Expect(r.lookup(0, packet.Key{}, 0)).To(Equal(hop.Unsure), "another flow")
	r.adopt(0, key)
	g.Expect(r.lookup(0, key, 0)).To(Equal(hop.Owned), "the target has sent a packet of it")
	delete(r.flows, key)
	g.Expect(r.lookup(0, key, 0)).To(Equal(hop.Unsure))
	for port := range maxReturnedFlows + 1 {
		r.recordReturnedFlow(packet.Key{Caller: packet.Addr{Port: uint16(port)}})
	}
	g.Expect(len(r.returnedFlows)).To(BeNumerically("<=", maxReturnedFlows))
}

// Guards against a flow that reaches an evacuated zone through an entry VM that was paused, and offers the flow by its
// list from before. Flows that are open stay.
func TestRelayInEvacuatedZoneTakesNoNewFlows(t *testing.T) {
	g := NewWithT(t)
	r := newRelay()
	g.Expect(sendHeartbeat(r, 0, "i", 0, 1)).To(Succeed())
	offer := &hop.Message{Kind: hop.Forward, Service: uint64(service)}
	g.Expect(r.admits(0, offer)).To(BeTrue())
	r.SetEvacuated(true)
	g.Expect(r.admits(0, offer)).To(BeFalse())
	g.Expect(r.passReason(0)).To(Equal(result.ZoneEvacuated))
	r.SetEvacuated(false)
	g.Expect(r.admits(0, offer)).To(BeTrue())
}

// Guards against a target whose relay has restarted and that leaves before its next heartbeat: its notice was refused, so
// that it repeated it until it gave up. A target that follows is taken at once, whatever its sequence number.
func TestNoticeOfTheEndAfterARestartOfTheRelay(t *testing.T) {
	g := NewWithT(t)
	r := newRelay()
	g.Expect(r.Leave(time.Second, "a", 0)).To(Succeed())
	g.Expect(r.TargetEnded()).To(BeTrue())
	g.Expect(r.State()).To(Equal(roster.Draining))
	g.Expect(result.CodeOf(r.Leave(time.Second, "other", 0))).To(Equal(result.StaleGeneration))
	g.Expect(sendHeartbeat(r, 2*time.Second, "b", 0, 7)).To(Succeed())
	g.Expect(r.State()).To(Equal(roster.Ready))
}

// Guards against an open flow that is forgotten because the target returns a late packet of an earlier flow from the same port.
func TestReturnedPacketOfAnEarlierFlowKeepsTheFlow(t *testing.T) {
	g := NewWithT(t)
	r := newRelay()
	v := packet.View{Token: 1, Flags: packet.ACK}
	r.flows[v.KeyFromCaller()] = &flow{state: open, createdAt: 2 * time.Second}
	r.inflight[1] = inflightPacket{token: 1, sentAt: time.Second}
	r.handleReturned(3*time.Second, nil, &v)
	g.Expect(r.lookup(3*time.Second, v.KeyFromCaller(), 0)).To(Equal(hop.Owned))
	r.inflight[1].sentAt = 3 * time.Second
	r.handleReturned(3*time.Second, nil, &v)
	g.Expect(r.lookup(3*time.Second, v.KeyFromCaller(), 0)).To(Equal(hop.NotOwned))
}
