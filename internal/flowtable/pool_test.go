package flowtable_test

import (
	"net/netip"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/flowtable"
)

var _ = ginkgo.Describe("the queue of a service", func() {
	peer := encap.Candidate{Agent: netip.MustParseAddrPort("10.1.0.2:7000"), Target: 2}
	other := netip.MustParseAddrPort("10.8.0.9:6000")
	withPeer := func(e *flowtable.Endpoint) {
		e.Peers, e.Capacity = []encap.Candidate{peer}, 2
	}
	signal := func(f *fixture, kind encap.SignalKind) []flowtable.Action {
		return withoutEvents(f.Signal(f.now, &encap.Signal{Kind: kind, Service: requestService, From: peer}))
	}

	// Guards against a SYN that is refused at one target while another target has a free slot.
	ginkgo.It("moves a queued SYN to the offered slot, with the time that it has waited", func() {
		f := newFixture(flowtable.Config{}, withPeer)
		f.establish()
		final := header(2)
		final.Final = true
		actions := f.fromCaller(final, flow.Segment{From: other, SYN: true, Seq: 7})
		gomega.Expect(kinds(actions)).To(gomega.Equal([]flowtable.Kind{flowtable.SendSignal}))
		gomega.Expect([]any{actions[0].Signal.Kind, actions[0].To}).To(gomega.Equal([]any{encap.SignalWaiting, peer.Agent}))
		f.advance(95 * time.Millisecond)
		actions = signal(f, encap.SignalOffer)
		gomega.Expect(kinds(actions)).To(gomega.Equal([]flowtable.Kind{forward}))
		h := actions[0].Header
		gomega.Expect(h.Current()).To(gomega.Equal(peer))
		gomega.Expect([]any{h.Waited, h.Final, h.Count}).To(gomega.Equal([]any{uint8(10), false, uint8(2)}))
		actions = signal(f, encap.SignalOffer)
		gomega.Expect(kinds(actions)).To(gomega.Equal([]flowtable.Kind{flowtable.SendSignal}))
		gomega.Expect(actions[0].Signal.Kind).To(gomega.Equal(encap.SignalDecline))
		gomega.Expect(f.advance(time.Second)).To(gomega.BeEmpty(), "the moved SYN is not refused here")
	})

	// Guards against a new SYN that takes the slot offered to one that has waited, and against an offered
	// slot that stays reserved for a SYN that never arrives.
	ginkgo.It("reserves an offered slot for the moved SYN for 50 ms", func() {
		f := newFixture(flowtable.Config{}, withPeer)
		gomega.Expect(kinds(signal(f, encap.SignalWaiting))).To(gomega.Equal([]flowtable.Kind{flowtable.SendSignal}))
		gomega.Expect(kinds(f.fromCaller(header(2), flow.Segment{SYN: true, Seq: 100}))).To(gomega.Equal([]flowtable.Kind{forward}))
		moved := header(2)
		moved.Waited = 3
		gomega.Expect(kinds(f.fromCaller(moved, flow.Segment{From: other, SYN: true, Seq: 7}))).To(gomega.Equal([]flowtable.Kind{deliver}))

		f = newFixture(flowtable.Config{}, withPeer)
		signal(f, encap.SignalWaiting)
		f.advance(60 * time.Millisecond)
		gomega.Expect(kinds(f.fromCaller(header(2), flow.Segment{SYN: true, Seq: 100}))).To(gomega.Equal([]flowtable.Kind{deliver}))
	})

	// Guards against a moved SYN that waits longer than the bound and meets its own retransmission.
	ginkgo.It("counts the time that a SYN has waited in other queues", func() {
		f := newFixture(flowtable.Config{}, withPeer)
		f.establish()
		final := header(2)
		final.Final, final.Waited = true, 45
		f.fromCaller(final, flow.Segment{From: other, SYN: true, Seq: 7})
		gomega.Expect(kinds(f.advance(70 * time.Millisecond))).To(gomega.Equal([]flowtable.Kind{sendToCaller}))
	})
})

var _ = ginkgo.Describe("a known flow", func() {
	// Guards against an old connection that receives the packets of a new one with the same ports: its
	// target, which retransmitted its last FIN, and the caller answered each other without end.
	ginkgo.It("forwards packets whose sequence numbers belong to another connection", func() {
		f := newFixture(flowtable.Config{}, nil)
		f.establish()
		own := flow.Segment{ACK: true, Seq: 101, Ack: 901}
		foreign := flow.Segment{ACK: true, Seq: 101, Ack: 901 + 1<<27}
		gomega.Expect(kinds(f.fromCaller(header(2), own))).To(gomega.Equal([]flowtable.Kind{deliver}))
		gomega.Expect(kinds(f.fromCaller(header(2), foreign))).To(gomega.Equal([]flowtable.Kind{forward}))
		foreign = flow.Segment{RST: true, Seq: 101 + 1<<27}
		gomega.Expect(kinds(f.fromCaller(header(2), foreign))).To(gomega.Equal([]flowtable.Kind{forward}))
	})
})
