package flowtable_test

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"github.com/gopacket/gopacket/layers"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/flowtable"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/testseed"
)

func TestFlowTable(t *testing.T) {
	testseed.RunSpecs(t, "flow table")
}

var (
	serviceAddr = addressOf[requestService]
	callerAddr  = netip.MustParseAddrPort("10.8.0.9:5000")
)

// fixture is a table with one endpoint of a request service with one slot.
type fixture struct {
	*flowtable.Table
	now      time.Duration
	endpoint flowtable.Endpoint
}

func newFixture(cfg flowtable.Config, change func(*flowtable.Endpoint)) *fixture {
	f := &fixture{Table: flowtable.New(cfg)}
	f.endpoint = flowtable.Endpoint{
		Service: model.Service{
			ID: requestService, Generation: 4, Address: serviceAddr, Class: model.ClassRequest, MaxQueueWait: 500 * time.Millisecond,
		},
		Target: model.Target{ID: 1, Slots: 1, MaxConns: 10},
	}
	if change != nil {
		change(&f.endpoint)
	}
	f.SetEndpoints(0, []flowtable.Endpoint{f.endpoint})
	return f
}

// header returns the header of a packet at the first of n candidates.
func header(n int) *encap.Header {
	h := &encap.Header{Service: requestService, Generation: 4, BestWait: encap.NoBestWait, Count: uint8(n)}
	for i := range n {
		h.Candidates[i].Target = uint16(i + 1)
	}
	return h
}

func parsed(s flow.Segment) *flow.Packet {
	raw, err := flow.Build(s)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	p := &flow.Packet{}
	gomega.Expect(p.Parse(raw)).To(gomega.Equal(flow.DropNone))
	return p
}

// fromCaller passes a packet of a caller to the table. The default caller is callerAddr.
func (f *fixture) fromCaller(h *encap.Header, s flow.Segment) []flowtable.Action {
	if !s.From.IsValid() {
		s.From = callerAddr
	}
	s.To = serviceAddr
	return withoutEvents(f.FromFabric(f.now, h, parsed(s)))
}

// fromTarget passes a packet of the target to the table.
func (f *fixture) fromTarget(s flow.Segment) []flowtable.Action {
	s.From, s.To = serviceAddr, callerAddr
	return withoutEvents(f.FromTarget(f.now, parsed(s)))
}

// advance moves the time forward, and calls Tick whenever the table asks for it.
func (f *fixture) advance(d time.Duration) []flowtable.Action {
	var all []flowtable.Action
	for end := f.now + d; f.now < end; {
		step, ok := f.Next(f.now)
		if !ok || f.now+step > end {
			step = end - f.now
		}
		f.now += step
		all = append(all, withoutEvents(f.Tick(f.now))...)
	}
	return all
}

// withoutEvents returns the actions except those that count events.
func withoutEvents(actions []flowtable.Action) []flowtable.Action {
	var rest []flowtable.Action
	for _, a := range actions {
		if a.Kind != flowtable.CountEvent {
			rest = append(rest, a)
		}
	}
	return rest
}

// establish opens the flow of callerAddr.
func (f *fixture) establish() {
	f.fromCaller(header(1), flow.Segment{SYN: true, Seq: 100, Window: 1000})
	f.fromTarget(flow.Segment{SYN: true, ACK: true, Seq: 900, Ack: 101, Window: 1000})
	f.fromCaller(header(1), flow.Segment{ACK: true, Seq: 101, Ack: 901, Window: 1000})
}

func kinds(actions []flowtable.Action) []flowtable.Kind {
	list := []flowtable.Kind{}
	for _, a := range actions {
		list = append(list, a.Kind)
	}
	return list
}

func expectDrop(actions []flowtable.Action, reason flow.DropReason) {
	ginkgo.GinkgoHelper()
	gomega.Expect(kinds(actions)).To(gomega.Equal([]flowtable.Kind{flowtable.Drop}))
	gomega.Expect(actions[0].Reason).To(gomega.Equal(reason))
}

func decode(a flowtable.Action) *flow.Packet {
	p := &flow.Packet{}
	gomega.Expect(p.Parse(a.Packet)).To(gomega.Equal(flow.DropNone))
	return p
}

const (
	deliver      = flowtable.Deliver
	forward      = flowtable.Forward
	sendToCaller = flowtable.SendToCaller
)

var _ = ginkgo.Describe("the flow table", func() {
	other := netip.MustParseAddrPort("10.8.0.9:6000")
	syn := flow.Segment{SYN: true, Seq: 100, Window: 1000}

	// Guards against a SYN that is lost, or answered to the caller, if the target does not accept it.
	ginkgo.It("forwards a SYN that its target refuses or does not answer within 250 ms", func() {
		f := newFixture(flowtable.Config{}, nil)
		f.fromCaller(header(2), syn)
		actions := f.fromTarget(flow.Segment{RST: true, ACK: true, Ack: 101})
		gomega.Expect(kinds(actions)).To(gomega.Equal([]flowtable.Kind{forward}))
		gomega.Expect(actions[0].Header.Cursor).To(gomega.Equal(uint8(1)))
		f.fromCaller(header(2), syn)
		gomega.Expect(f.advance(240 * time.Millisecond)).To(gomega.BeEmpty())
		actions = f.advance(20 * time.Millisecond)
		gomega.Expect(kinds(actions)).To(gomega.Equal([]flowtable.Kind{deliver, forward}))
		gomega.Expect(decode(actions[0]).TCP.RST).To(gomega.BeTrue())
		gomega.Expect(decode(actions[1]).IsSYN()).To(gomega.BeTrue())
		expectDrop(f.fromTarget(flow.Segment{SYN: true, ACK: true, Seq: 900, Ack: 101}), flowtable.DropLateAnswer)
	})

	// Guards against a slow target whose SYN-ACK for an aborted SYN answers the retransmitted one: the caller
	// would accept it, and the target would end the connection when it processes the RST.
	ginkgo.It("does not admit a retransmitted SYN after aborting its handshake", func() {
		f := newFixture(flowtable.Config{}, nil)
		f.fromCaller(header(2), syn)
		f.advance(260 * time.Millisecond)
		gomega.Expect(kinds(f.fromCaller(header(2), syn))).To(gomega.Equal([]flowtable.Kind{forward}))
		expectDrop(f.fromTarget(flow.Segment{SYN: true, ACK: true, Seq: 900, Ack: 101}), flowtable.DropLateAnswer)
		gomega.Expect(kinds(f.fromCaller(header(2), flow.Segment{SYN: true, Seq: 5000}))).To(gomega.Equal([]flowtable.Kind{deliver}))
	})

	// Guards against data that a target might process before the handshake has selected the target.
	ginkgo.It("drops a SYN with data", func() {
		f := newFixture(flowtable.Config{}, nil)
		expectDrop(f.fromCaller(header(1), flow.Segment{SYN: true, Seq: 1, Payload: []byte("apply")}), flowtable.DropSYNData)
	})

	// Guards against a queue that loses SYNs, or refuses them without a result code and a retry-after time.
	ginkgo.It("advertises its queue, serves it when a slot is free, and refuses after 500 ms", func() {
		f := newFixture(flowtable.Config{}, nil)
		f.establish()
		actions := f.fromCaller(header(2), flow.Segment{From: other, SYN: true, Seq: 7})
		gomega.Expect(kinds(actions)).To(gomega.Equal([]flowtable.Kind{forward}))
		gomega.Expect(actions[0].Header.BestWait).To(gomega.Equal(uint16(250)), "half of the bound until a flow has ended")
		gomega.Expect(actions[0].Header.BestIndex).To(gomega.Equal(uint8(0)))
		final := header(2)
		final.Final = true
		gomega.Expect(f.fromCaller(final, flow.Segment{From: other, SYN: true, Seq: 7})).To(gomega.BeEmpty())
		refused := f.advance(520 * time.Millisecond)
		gomega.Expect(kinds(refused)).To(gomega.Equal([]flowtable.Kind{sendToCaller}))
		rst := decode(refused[0])
		gomega.Expect(rst.TCP.RST).To(gomega.BeTrue())
		gomega.Expect(rst.TCP.Ack).To(gomega.Equal(uint32(8)))
		gomega.Expect(string(rst.Payload)).To(gomega.Equal("GGL-2003 retry-after-ms=250"))
		f.fromCaller(final, flow.Segment{From: other, SYN: true, Seq: 7})
		actions = f.fromCaller(header(1), flow.Segment{RST: true, Seq: 101, Ack: 901})
		gomega.Expect(kinds(actions)).To(gomega.Equal([]flowtable.Kind{deliver, deliver}))
		gomega.Expect(decode(actions[1]).IsSYN()).To(gomega.BeTrue())
	})

	// Guards against a SYN that is forwarded without end, or to a candidate that has advertised no queue.
	ginkgo.It("forwards a SYN from the last candidate to the shortest queue, or refuses it", func() {
		f := newFixture(flowtable.Config{}, func(e *flowtable.Endpoint) { e.Target.State = model.TargetDraining })
		h := header(3)
		h.Cursor, h.BestIndex, h.BestWait = 2, 1, 40
		actions := f.fromCaller(h, syn)
		gomega.Expect(kinds(actions)).To(gomega.Equal([]flowtable.Kind{forward}))
		gomega.Expect([]any{actions[0].Header.Final, actions[0].Header.Cursor}).To(gomega.Equal([]any{true, uint8(1)}))
		actions = f.fromCaller(header(1), syn)
		gomega.Expect(string(decode(actions[0]).Payload)).To(gomega.HavePrefix("GGL-2004 "))
	})

	// Guards against one hint for every packet.
	ginkgo.It("sends a hint at most once a second, and only after the first hop", func() {
		f := newFixture(flowtable.Config{}, nil)
		f.establish()
		hints := 0
		for range 30 {
			h := header(2)
			h.Cursor, h.Hops = 1, 1
			for _, a := range f.fromCaller(h, flow.Segment{ACK: true, Seq: 101, Ack: 901, Window: 9}) {
				if a.Kind == flowtable.SendHint {
					hints++
					gomega.Expect(a.Hint.Owner.Target).To(gomega.Equal(uint16(2)))
				}
			}
			f.advance(100 * time.Millisecond)
		}
		gomega.Expect(hints).To(gomega.Equal(3))
		gomega.Expect(kinds(f.fromCaller(header(1), flow.Segment{ACK: true, Seq: 101, Ack: 901, Window: 9}))).To(gomega.Equal([]flowtable.Kind{deliver}))
	})

	// Guards against packets that exceed the path MTU after encapsulation.
	ginkgo.It("clamps the MSS of SYN and SYN-ACK to 1,328", func() {
		mss := layers.TCPOption{OptionType: layers.TCPOptionKindMSS, OptionLength: 4, OptionData: binary.BigEndian.AppendUint16(nil, 1460)}
		f := newFixture(flowtable.Config{}, nil)
		for _, actions := range [][]flowtable.Action{
			f.fromCaller(header(1), flow.Segment{SYN: true, Seq: 100, Options: []layers.TCPOption{mss}}),
			f.fromTarget(flow.Segment{SYN: true, ACK: true, Seq: 900, Ack: 101, Options: []layers.TCPOption{mss}}),
		} {
			gomega.Expect(binary.BigEndian.Uint16(decode(actions[0]).TCP.Options[0].OptionData)).To(gomega.Equal(uint16(1328)))
		}
	})

	// Guards against packets that are forwarded without end if candidate lists are wrong.
	ginkgo.It("drops a packet at the hop limit", func() {
		f := newFixture(flowtable.Config{}, nil)
		h := header(2)
		h.Hops = encap.MaxHops - 1
		expectDrop(f.fromCaller(h, flow.Segment{ACK: true, Seq: 1, Ack: 1}), encap.DropHops)
	})

	// Guards against a half-open flow that keeps its slot without end.
	ginkgo.It("aborts a half-open flow after 10 s", func() {
		f := newFixture(flowtable.Config{}, nil)
		f.fromCaller(header(1), syn)
		f.fromTarget(flow.Segment{SYN: true, ACK: true, Seq: 900, Ack: 101})
		gomega.Expect(f.advance(9990 * time.Millisecond)).To(gomega.BeEmpty())
		gomega.Expect(f.OpenRequests()).To(gomega.Equal(1))
		gomega.Expect(kinds(f.advance(20 * time.Millisecond))).To(gomega.Equal([]flowtable.Kind{deliver}))
		gomega.Expect(f.OpenRequests()).To(gomega.BeZero())
	})

	// Guards against resets of flows whose owner is missing from an outdated candidate list.
	ginkgo.It("resets an unknown flow only after 5 s, with equal generations and fresh views", func() {
		f := newFixture(flowtable.Config{}, nil)
		ack := flow.Segment{ACK: true, Seq: 5, Ack: 77}
		send := func(generation model.Generation, age uint8) []flowtable.Action {
			h := header(1)
			h.Generation, h.ControlAge = generation, age
			return f.fromCaller(h, ack)
		}
		expectDrop(send(4, 0), flowtable.DropControlAge)
		f.SetControlAge(f.now, 0)
		expectDrop(send(3, 0), flowtable.DropGeneration)
		expectDrop(send(4, 41), flowtable.DropControlAge)
		expectDrop(send(4, 40), flowtable.DropUnknownHeld)
		f.advance(4900 * time.Millisecond)
		f.SetControlAge(f.now, 0)
		expectDrop(send(4, 0), flowtable.DropUnknownHeld)
		f.advance(100 * time.Millisecond)
		ack.Ack++
		expectDrop(send(4, 0), flowtable.DropUnknownHeld)
		f.advance(5 * time.Second)
		f.SetControlAge(f.now, 0)
		actions := send(4, 0)
		gomega.Expect(kinds(actions)).To(gomega.Equal([]flowtable.Kind{sendToCaller}))
		gomega.Expect(decode(actions[0]).TCP.Seq).To(gomega.Equal(uint32(78)))
	})

	// Guards against flows that outlive the drain deadline, and against resets if there is no deadline.
	ginkgo.It("resets the flows of a draining target only at the drain deadline", func() {
		for _, timeout := range []time.Duration{0, time.Minute} {
			f := newFixture(flowtable.Config{}, nil)
			f.establish()
			f.endpoint.Target.State = model.TargetDraining
			f.endpoint.Service.DrainTimeout = timeout
			f.SetEndpoints(f.now, []flowtable.Endpoint{f.endpoint})
			gomega.Expect(f.advance(59 * time.Second)).To(gomega.BeEmpty())
			actions := f.advance(2 * time.Second)
			if timeout == 0 {
				gomega.Expect(actions).To(gomega.BeEmpty())
				continue
			}
			gomega.Expect(kinds(actions)).To(gomega.Equal([]flowtable.Kind{deliver, sendToCaller}))
			gomega.Expect(decode(actions[0]).TCP.Seq).To(gomega.Equal(uint32(101)))
			gomega.Expect(decode(actions[1]).TCP.Seq).To(gomega.Equal(uint32(901)))
		}
	})

	// Guards against services with more than 8 targets where the owner or the shortest queue is never reached.
	ginkgo.It("extends a full candidate list and keeps the candidate with the shortest queue", func() {
		extend := func(_ model.ServiceID, _ uint64, k int, _ bool) []encap.Candidate {
			list := make([]encap.Candidate, 8)
			for i := range list {
				list[i].Target = uint16(8*k + i + 1)
			}
			return list
		}
		f := newFixture(flowtable.Config{Extend: extend}, func(e *flowtable.Endpoint) { e.Target.State = model.TargetDraining })
		h := header(8)
		h.Cursor, h.BestIndex, h.BestWait = 7, 2, 40
		got := f.fromCaller(h, syn)[0].Header
		gomega.Expect([]any{got.Count, got.Cursor, got.Extensions, got.BestIndex}).To(gomega.Equal([]any{uint8(8), uint8(0), uint8(1), uint8(7)}))
		gomega.Expect(got.Candidates[7].Target).To(gomega.Equal(uint16(3)))
		h = header(8)
		h.Cursor, h.Extensions = 7, 1
		got = f.fromCaller(h, flow.Segment{ACK: true, Seq: 1, Ack: 1})[0].Header
		gomega.Expect(got.Current().Target).To(gomega.Equal(uint16(17)))
		h = header(8)
		h.Cursor, h.Generation = 7, 3
		got = f.fromCaller(h, flow.Segment{ACK: true, Seq: 1, Ack: 1})[0].Header
		gomega.Expect(got.Generation).To(gomega.BeZero(), "the ranking of another generation may skip the owner")
	})

	// Guards against a restarted agent that loses the flows of its target or captures those of others.
	ginkgo.It("probes its target in recovery, and forwards the packets of flows that the target does not have", func() {
		f := newFixture(flowtable.Config{Recovering: true}, nil)
		data := flow.Segment{ACK: true, Seq: 500, Ack: 800, Window: 9, Payload: []byte("x")}
		gomega.Expect(kinds(f.fromCaller(header(2), data))).To(gomega.Equal([]flowtable.Kind{deliver}))
		gomega.Expect(kinds(f.fromTarget(flow.Segment{RST: true, Seq: 800}))).To(gomega.Equal([]flowtable.Kind{flowtable.Drop, forward}))
		gomega.Expect(kinds(f.fromCaller(header(2), data))).To(gomega.Equal([]flowtable.Kind{forward}), "the target is probed only once")

		f = newFixture(flowtable.Config{Recovering: true}, nil)
		f.fromCaller(header(2), data)
		actions := f.advance(30 * time.Millisecond)
		gomega.Expect(kinds(actions)).To(gomega.Equal([]flowtable.Kind{deliver}), "a target need not answer an ACK, but has to answer a keep-alive probe")
		gomega.Expect(decode(actions[0]).TCP.Seq).To(gomega.Equal(uint32(499)))
		gomega.Expect(kinds(f.fromTarget(flow.Segment{ACK: true, Seq: 800, Ack: 501}))).To(gomega.Equal([]flowtable.Kind{sendToCaller}))
		gomega.Expect(f.OpenRequests()).To(gomega.Equal(1))
	})

	// Guards against a caller that needs a retransmission for each recovering agent before its owner, because the
	// targets answer more slowly than the agents wait.
	ginkgo.It("forwards the packets of a flow that the target refuses late", func() {
		f := newFixture(flowtable.Config{Recovering: true}, nil)
		f.fromCaller(header(2), flow.Segment{ACK: true, Seq: 500, Ack: 800, Window: 9, Payload: []byte("x")})
		f.advance(10 * flowtable.RecoveryProbeTimeout)
		actions := f.fromTarget(flow.Segment{RST: true, Seq: 800})
		gomega.Expect(kinds(actions)).To(gomega.Equal([]flowtable.Kind{flowtable.Drop, forward}))
		gomega.Expect(decode(actions[1]).Payload).To(gomega.Equal([]byte("x")))
	})

	// Guards against flows that stay open after the path has failed in one direction, and against resets of a
	// caller that does not read for a while.
	ginkgo.It("resets a flow whose data is unacknowledged for 45 s, unless the caller's window is closed", func() {
		for _, window := range []uint16{1000, 0} {
			f := newFixture(flowtable.Config{}, func(e *flowtable.Endpoint) { e.Service.Silence = silencePolicy })
			f.establish()
			var sent []flowtable.Action
			for range 9 {
				f.fromTarget(flow.Segment{ACK: true, Seq: 901, Ack: 101, Payload: []byte("push")})
				f.fromCaller(header(1), flow.Segment{ACK: true, Seq: 101, Ack: 901, Window: window})
				sent = append(sent, f.advance(5*time.Second)...)
			}
			if window == 0 {
				gomega.Expect(sent).To(gomega.BeEmpty())
				continue
			}
			gomega.Expect(kinds(sent)).To(gomega.Equal([]flowtable.Kind{deliver, sendToCaller}))
			gomega.Expect(decode(sent[1]).TCP.RST).To(gomega.BeTrue())
		}
	})
})
