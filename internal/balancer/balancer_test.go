package balancer_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/gopacket/gopacket/layers"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.uber.org/goleak"

	"github.com/greengagelock/greengagelock/internal/balancer"
	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/fabric"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/placement"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	"github.com/greengagelock/greengagelock/internal/testseed"
)

func TestBalancer(t *testing.T) {
	testseed.RunSpecs(t, "balancer")
}

var (
	fleetKey = encap.Key{1, 2, 3}
	caller   = netip.MustParseAddrPort("10.1.0.1:40000")
	service  = netip.MustParseAddrPort("10.9.0.1:443")
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
)

// viewOf returns a view with one service and a target for each state.
func viewOf(generation model.Generation, states ...model.TargetState) *model.View {
	v := model.NewView()
	v.Generation = generation
	v.Services[3] = model.Service{ID: 3, Generation: generation, Address: service}
	for i, state := range states {
		id := model.TargetID(i + 1)
		agent := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 6081)
		v.Targets[id] = model.Target{ID: id, Service: 3, Agent: agent, State: state}
	}
	return v
}

func packet(s flow.Segment) []byte {
	if !s.From.IsValid() {
		s.From = caller
	}
	if !s.To.IsValid() {
		s.To = service
	}
	raw, err := flow.Build(s)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return raw
}

// decide runs Decide for a packet and decodes the datagram.
func decide(d *balancer.Decider, t *placement.Table, raw []byte) (balancer.Decision, encap.Header) {
	buf := append(make([]byte, encap.MaxHeaderBytes), raw...)
	decision := d.Decide(t, buf, encap.MaxHeaderBytes, 7)
	var h encap.Header
	if decision.Drop == flow.DropNone {
		inner, drop := h.Decode(decision.Datagram, &fleetKey)
		gomega.Expect(drop).To(gomega.Equal(flow.DropNone))
		gomega.Expect(inner).To(gomega.Equal(raw))
	}
	return decision, h
}

var _ = ginkgo.Describe("Decider", func() {
	const active, draining, lost = model.TargetActive, model.TargetDraining, model.TargetLost
	var decider *balancer.Decider
	syn := flow.Segment{SYN: true, Seq: 77}
	data := flow.Segment{ACK: true, PSH: true, Payload: []byte("step")}

	ginkgo.BeforeEach(func() {
		var err error
		decider, err = balancer.NewDecider(fleetKey, netip.MustParseAddrPort("10.2.0.1:6082"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	})

	// Guards against headers with wrong values of fields that agents use: service, generation, control age
	// and ingress address.
	ginkgo.It("sends a SYN to the first admitting candidate", func() {
		table, _ := placement.Build(nil, viewOf(9, active, draining, lost, active))
		decision, h := decide(decider, table, packet(syn))
		gomega.Expect(decision.SYN).To(gomega.BeTrue())
		gomega.Expect(decision.ISN).To(gomega.Equal(uint32(77)))
		gomega.Expect(decision.To).To(gomega.Equal(h.Current().Agent))
		gomega.Expect(h.Count).To(gomega.Equal(uint8(2)))
		gomega.Expect(h.Service).To(gomega.Equal(model.ServiceID(3)))
		gomega.Expect(h.Generation).To(gomega.Equal(model.Generation(9)))
		gomega.Expect(h.BestWait).To(gomega.Equal(uint16(encap.NoBestWait)))
		gomega.Expect(h.ControlAge).To(gomega.Equal(uint8(7)))
		gomega.Expect(h.Hops).To(gomega.BeZero())
		gomega.Expect(h.Ingress.String()).To(gomega.Equal("10.2.0.1:6082"))
	})

	// Guards against established flows whose owner is not a candidate because it is draining or lost.
	ginkgo.It("offers other packets to every target", func() {
		table, _ := placement.Build(nil, viewOf(9, active, draining, lost, active))
		_, h := decide(decider, table, packet(data))
		gomega.Expect(h.Count).To(gomega.Equal(uint8(4)))
		gomega.Expect(h.Candidates[3].Target).To(gomega.Equal(uint16(3)))
	})

	// Guards against a hint that removes candidates, and against applying a hint that names another
	// service, another flow or an unknown target.
	ginkgo.It("moves a hinted owner to the front and keeps the order of the others", func() {
		table, _ := placement.Build(nil, viewOf(9, active, active, active, active))
		_, plain := decide(decider, table, packet(data))
		key := flow.Key{Caller: caller, Service: service}
		unknownTarget := encap.Candidate{Agent: service, Target: 99}
		for _, ignored := range []encap.Hint{
			{Service: 3, Flow: key, Owner: unknownTarget},
			{Service: 4, Flow: key, Owner: plain.Candidates[2]},
			{Service: 3, Flow: key.Reverse(), Owner: plain.Candidates[2]},
		} {
			decider.AddHint(ignored)
			decision, h := decide(decider, table, packet(data))
			gomega.Expect(decision.Hinted).To(gomega.BeFalse())
			gomega.Expect(h.Candidates).To(gomega.Equal(plain.Candidates))
		}
		decider.AddHint(encap.Hint{Service: 3, Flow: key, Owner: plain.Candidates[2]})
		decision, h := decide(decider, table, packet(data))
		gomega.Expect(decision.Hinted).To(gomega.BeTrue())
		p := plain.Candidates
		gomega.Expect(h.Candidates[:4]).To(gomega.Equal([]encap.Candidate{p[2], p[0], p[1], p[3]}))
	})

	ginkgo.DescribeTable("drops", func(make func() []byte, want flow.DropReason) {
		// Guards against packets that reach an agent of another service, and against drops that are
		// counted under a wrong reason.
		table, _ := placement.Build(nil, viewOf(9, active))
		decision, _ := decide(decider, table, make())
		gomega.Expect(decision.Drop).To(gomega.Equal(want))
		gomega.Expect(decision.Datagram).To(gomega.BeNil())
	},
		ginkgo.Entry("another port", func() []byte {
			return packet(flow.Segment{SYN: true, To: netip.AddrPortFrom(service.Addr(), 444)})
		}, balancer.DropNoService),
		ginkgo.Entry("data in a SYN", func() []byte {
			return packet(flow.Segment{SYN: true, Payload: []byte("early")})
		}, balancer.DropSYNData),
		ginkgo.Entry("a truncated packet", func() []byte { return packet(data)[:30] }, flow.DropTruncated),
		ginkgo.Entry("an empty packet", func() []byte { return nil }, flow.DropTruncated),
	)

	// Guards against a panic before the first view and while a service has no targets.
	ginkgo.It("drops packets without a view and without targets", func() {
		decision, _ := decide(decider, nil, packet(syn))
		gomega.Expect(decision.Drop).To(gomega.Equal(balancer.DropNoService))
		table, _ := placement.Build(nil, viewOf(9))
		decision, _ = decide(decider, table, packet(syn))
		gomega.Expect(decision.Drop).To(gomega.Equal(balancer.DropNoTarget))
	})

	// Guards against heap allocations per packet, also with the TCP options that operating systems send.
	ginkgo.It("allocates nothing", func() {
		table, _ := placement.Build(nil, viewOf(9, active, active, active, active))
		raw := packet(flow.Segment{SYN: true, Options: []layers.TCPOption{
			{OptionType: layers.TCPOptionKindMSS, OptionLength: 4, OptionData: []byte{5, 180}},
			{OptionType: layers.TCPOptionKindSACKPermitted, OptionLength: 2},
			{OptionType: layers.TCPOptionKindTimestamps, OptionLength: 10, OptionData: make([]byte, 8)},
			{OptionType: layers.TCPOptionKindNop, OptionLength: 1},
			{OptionType: layers.TCPOptionKindWindowScale, OptionLength: 3, OptionData: []byte{7}},
		}})
		buf := append(make([]byte, encap.MaxHeaderBytes), raw...)
		decider.AddHint(encap.Hint{Service: 3, Flow: flow.Key{Caller: caller, Service: service}})
		gomega.Expect(testing.AllocsPerRun(100, func() {
			decider.Decide(table, buf, encap.MaxHeaderBytes, 0)
		})).To(gomega.BeZero())
	})

	ginkgo.It("encodes the control age", func() {
		// Guards against a long or negative time that overflows to a small control age.
		gomega.Expect(balancer.EncodeControlAge(250 * time.Millisecond)).To(gomega.Equal(uint8(2)))
		gomega.Expect(balancer.EncodeControlAge(time.Hour)).To(gomega.Equal(uint8(encap.MaxControlAge)))
		gomega.Expect(balancer.EncodeControlAge(-time.Second)).To(gomega.Equal(uint8(encap.MaxControlAge)))
	})
})

// listen opens a UDP socket that is closed after the spec, if the balancer has not closed it.
func listen() *fabric.UDP {
	conn, err := fabric.ListenUDP(loopback)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = conn.Close() })
	return conn
}

// read returns the next datagram of a connection. Only the timeout of the suite limits the wait.
func read(conn fabric.Conn) []byte {
	batch := []fabric.Datagram{{Data: make([]byte, 0, 2048)}}
	n, err := conn.ReadBatch(batch)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(n).To(gomega.Equal(1))
	return batch[0].Data
}

func send(conn fabric.Conn, to netip.AddrPort, data []byte) {
	_, err := conn.WriteBatch([]fabric.Datagram{{Data: data, Addr: to}})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// metricValues returns the values of the counters and gauges of a registry, by name and label value.
func metricValues(registry *prometheus.Registry) map[string]float64 {
	families, err := registry.Gather()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	values := map[string]float64{}
	for _, family := range families {
		for _, m := range family.GetMetric() {
			name := family.GetName()
			for _, label := range m.GetLabel() {
				name += "/" + label.GetValue()
			}
			values[name] = m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return values
}

var _ = ginkgo.Describe("Balancer", func() {
	// Guards in each spec against goroutines that are still running after Run has returned.
	ginkgo.BeforeEach(func() {
		before := goleak.IgnoreCurrent()
		ginkgo.DeferCleanup(func() { gomega.Expect(goleak.Find(before)).To(gomega.Succeed()) })
	})

	// Guards against lost packets, hints, spans or counts, and against a Run that does not return after
	// its context is done.
	ginkgo.It("forwards packets, applies hints and stops", func() {
		recorder := tracetest.NewSpanRecorder()
		handle := telemetry.Discard()
		handle.Tracer = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)).Tracer("test")
		registry := prometheus.NewRegistry()
		handle.Metrics = registry
		ingress, egress := listen(), listen()
		b, err := balancer.New(balancer.Config{
			Name: "b1", FleetKey: fleetKey, Ingress: ingress, Egress: egress, SampleOneIn: 1,
		}, handle)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- b.Run(ctx) }()

		agents := []*fabric.UDP{listen(), listen()}
		view := viewOf(5, model.TargetActive, model.TargetActive)
		for i, agent := range agents {
			target := view.Targets[model.TargetID(i+1)]
			target.Agent = agent.LocalAddr()
			view.Targets[target.ID] = target
		}
		b.ApplyView(view)
		b.ApplyView(viewOf(4)) // older than the view in force, must be ignored
		b.SetControlAge(func() time.Duration { return time.Second })

		table, _ := placement.Build(nil, view)
		key := flow.Key{Caller: caller, Service: service}
		chain := table.Lookup(service).FullChain(placement.Owners, placement.BucketOfKey(key))
		first, second := agents[chain[0].ID-1], agents[chain[1].ID-1]
		source := listen()
		syn := packet(flow.Segment{SYN: true, Seq: 5})
		send(source, ingress.LocalAddr(), syn)
		var h encap.Header
		inner, drop := h.Decode(read(first), &fleetKey)
		gomega.Expect(drop).To(gomega.Equal(flow.DropNone))
		gomega.Expect(inner).To(gomega.Equal(syn))
		gomega.Expect(h.ControlAge).To(gomega.Equal(uint8(10)))
		gomega.Expect(h.Ingress).To(gomega.Equal(egress.LocalAddr()))

		hint := encap.Hint{Service: 3, Flow: key, Owner: h.Candidates[1]}
		send(first, h.Ingress, []byte("not a hint"))
		send(first, h.Ingress, hint.Append(nil, &fleetKey))
		gomega.Eventually(func() float64 {
			return metricValues(registry)["greengagelock_balancer_hints_total"]
		}).WithTimeout(time.Minute).Should(gomega.Equal(1.0))
		send(source, ingress.LocalAddr(), []byte("junk"))
		send(source, ingress.LocalAddr(), packet(flow.Segment{ACK: true}))
		_, drop = h.Decode(read(second), &fleetKey)
		gomega.Expect(drop).To(gomega.Equal(flow.DropNone))

		cancel()
		gomega.Expect(<-done).To(gomega.Succeed())
		values := metricValues(registry)
		gomega.Expect(values).To(gomega.HaveKeyWithValue("greengagelock_balancer_packets_total", 2.0))
		gomega.Expect(values).To(gomega.HaveKeyWithValue("greengagelock_balancer_syns_total", 1.0))
		gomega.Expect(values).To(gomega.HaveKeyWithValue("greengagelock_balancer_hinted_total", 1.0))
		gomega.Expect(values).To(gomega.HaveKeyWithValue("greengagelock_balancer_generation", 5.0))
		gomega.Expect(values).To(gomega.HaveKeyWithValue("greengagelock_balancer_drops_total/truncated", 1.0))
		gomega.Expect(values).To(gomega.HaveKeyWithValue("greengagelock_balancer_drops_total/datagram_truncated", 1.0))
		spans := recorder.Ended()
		gomega.Expect(spans).To(gomega.HaveLen(1))
		gomega.Expect(spans[0].SpanContext().TraceID()).To(gomega.Equal(flow.TraceID(key, 5)))
	})

	// Guards against a balancer that keeps running without receiving anything after a socket has failed.
	ginkgo.It("returns an error when one of its sockets is closed", func() {
		for _, broken := range []int{0, 1} {
			ports := []*fabric.UDP{listen(), listen()}
			b, err := balancer.New(balancer.Config{
				Name: "b1", Ingress: ports[0], Egress: ports[1],
			}, telemetry.Discard())
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(ports[broken].Close()).To(gomega.Succeed())
			gomega.Expect(b.Run(context.Background())).To(gomega.MatchError(gomega.ContainSubstring("read packets")))
		}
	})

	// Guards against a target with an invalid address that causes the rest of the batch to be dropped.
	ginkgo.It("sends the rest of a batch after a datagram that cannot be sent", func() {
		registry := prometheus.NewRegistry()
		handle := telemetry.Discard()
		handle.Metrics = registry
		ingress, egress, agent, source := listen(), listen(), listen(), listen()
		b, err := balancer.New(balancer.Config{Name: "b1", Ingress: ingress, Egress: egress}, handle)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		view := viewOf(5, model.TargetActive)
		other := netip.MustParseAddrPort("10.9.0.2:443")
		view.Services[4] = model.Service{ID: 4, Generation: 5, Address: other}
		view.Targets[9] = model.Target{ID: 9, Service: 4, Agent: agent.LocalAddr()}
		view.Targets[1] = model.Target{ID: 1, Service: 3, Agent: netip.AddrPort{}}
		b.ApplyView(view)
		for range 3 {
			send(source, ingress.LocalAddr(), packet(flow.Segment{SYN: true}))
			send(source, ingress.LocalAddr(), packet(flow.Segment{SYN: true, To: other}))
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- b.Run(ctx) }()
		for range 3 {
			read(agent)
		}
		cancel()
		gomega.Expect(<-done).To(gomega.Succeed())
		gomega.Expect(metricValues(registry)).To(
			gomega.HaveKeyWithValue("greengagelock_balancer_drops_total/write", 3.0))
	})
})
