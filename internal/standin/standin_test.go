package standin_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/standin"
	"github.com/greengagelock/greengagelock/internal/testseed"
)

func TestStandin(t *testing.T) { testseed.RunSpecs(t, "standin") }

// specTimeout ends a spec that hangs. The result of a spec does not depend on it otherwise.
const specTimeout = 60 * time.Second

var (
	stream  = standin.Endpoint{Service: "progress", Address: netip.MustParseAddrPort("192.0.2.10:7001")}
	request = standin.Endpoint{Service: "apply", Address: netip.MustParseAddrPort("192.0.2.10:7002")}
)

var _ = Describe("caller, fabric and target without balancers", func() {
	var (
		ctx    context.Context
		fabric *standin.Fabric
		target *standin.Target
		caller *standin.Caller
		ledger *standin.Ledger
	)

	BeforeEach(func() {
		ctx = newSpecContext()
		ledger = standin.NewLedger()
		var err error
		fabric, err = standin.NewFabric(standin.FabricConfig{Seed: 1})
		Expect(err).NotTo(HaveOccurred())
		target, err = standin.NewTarget(standin.TargetConfig{
			Instance: "1", Endpoints: []standin.Endpoint{stream, request}, Slots: 2,
			LineInterval: 5 * time.Millisecond, Agent: fabric.GatewayAddr(), Ledger: ledger,
		})
		Expect(err).NotTo(HaveOccurred())
		fabric.SetBalancers(target.Addr())
		caller, err = standin.NewCaller(standin.CallerConfig{
			Addresses: []netip.Addr{netip.MustParseAddr("198.51.100.1"), netip.MustParseAddr("198.51.100.2")},
			Fabric:    fabric.CallerAddr(),
		})
		Expect(err).NotTo(HaveOccurred())
		run(fabric.Run, target.Run, caller.Run)
	})

	// Guards against simulated hosts that lose or mix up bytes: tests would report it as a fault of the load balancer.
	DescribeTable("carries streams and requests",
		func(faults standin.Faults) {
			fabric.SetFaults(faults)
			var group errgroup.Group
			for i := range 8 {
				group.Go(func() error { return receiveLines(ctx, caller, fmt.Sprintf("s%d", i)) })
				group.Go(func() error {
					outcome, err := caller.Request(ctx, request, fmt.Sprintf("r%d", i), 20_000)
					if outcome != standin.OutcomeAnswered {
						return fmt.Errorf("request r%d, outcome %d: %w", i, outcome, err)
					}
					return nil
				})
			}
			Expect(group.Wait()).To(Succeed())
			for i := range 8 {
				Expect(ledger.Runs("apply", fmt.Sprintf("r%d", i))).To(Equal(1))
			}
			Expect(ledger.RunTwice("apply")).To(BeZero())
			Expect(ledger.WrongService("apply")).To(BeZero())
			Expect(target.Stats("apply").Accepted).To(BeNumerically(">=", 8))
		},
		Entry("on a clean fabric", standin.Faults{}),
		Entry("under loss, duplication and reordering", standin.Faults{Loss: 0.02, Duplicate: 0.05, Reorder: 0.1}),
	)

	// Guards against a lost segment that a caller never retransmits while its peer keeps sending, as happens with RACK.
	It("retransmits a lost segment while the other end keeps sending", func() {
		lossy, err := newDropFirst("lost once\n", target.Addr())
		Expect(err).NotTo(HaveOccurred())
		run(lossy.run)
		fabric.SetBalancers(lossy.addr())
		s, err := openStream(ctx, caller, "s")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Receive()).To(Succeed())
		Expect(s.Echo("lost once")).To(Succeed(), func() string {
			return fmt.Sprintf("the caller sent the segment %d times; the first copy was dropped", lossy.copies.Load())
		})
		Expect(lossy.copies.Load()).To(BeNumerically(">=", 2))
	})

	// Guards against a ledger that misses the two faults that the demonstration checks for: a request that runs
	// twice, and a connection that reaches the wrong service.
	It("counts repeated identifiers and deliveries to a wrong service", func() {
		for range 2 {
			outcome, err := caller.Request(ctx, request, "again", 10)
			Expect(err).NotTo(HaveOccurred())
			Expect(outcome).To(Equal(standin.OutcomeAnswered))
		}
		Expect(ledger.RunTwice("apply")).To(Equal(1))
		wrongEndpoint := standin.Endpoint{Service: "plans", Address: request.Address}
		outcome, err := caller.Request(ctx, wrongEndpoint, "lost", 10)
		Expect(err).To(HaveOccurred())
		Expect(outcome).To(Equal(standin.OutcomeUnknown))
		Expect(ledger.WrongService("plans")).To(Equal(1))
		Expect(ledger.Runs("plans", "lost")).To(BeZero())
	})

	// Guards against a refused request whose outcome is reported as unknown.
	It("reports a refused connection as not run", func() {
		closed := standin.Endpoint{Service: "none", Address: netip.MustParseAddrPort("192.0.2.10:9")}
		outcome, err := caller.Request(ctx, closed, "refused", 10)
		var refusal *standin.Refusal
		Expect(err).To(BeAssignableToTypeOf(refusal))
		Expect(outcome).To(Equal(standin.OutcomeNotRun))
	})

	// Guards against a stream that breaks off without the target counting it as failed.
	It("counts a stream that ends without END as failed", func() {
		for _, finish := range []func(*standin.Stream) error{(*standin.Stream).End, (*standin.Stream).Close} {
			s, err := openStream(ctx, caller, "s")
			Expect(err).NotTo(HaveOccurred())
			Expect(s.Receive()).To(Succeed())
			Expect(finish(s)).To(Succeed())
		}
		Eventually(func() int64 { return target.Stats("progress").Open }).WithTimeout(specTimeout).Should(BeZero())
		Expect(target.Stats("progress").Failed).To(Equal(int64(1)))
	})

	// Guards against a fabric that drops packets of flows that were not chosen.
	It("drops every packet of the chosen flow and of no other", func() {
		silenced, err := openStream(ctx, caller, "silenced")
		Expect(err).NotTo(HaveOccurred())
		other, err := openStream(ctx, caller, "other")
		Expect(err).NotTo(HaveOccurred())
		Expect(silenced.Echo("before")).To(Succeed())
		local := silenced.LocalAddr()
		fabric.DropFlows(func(k flow.Key) bool { return k.Caller == local })
		for range 20 {
			Expect(other.Receive()).To(Succeed())
		}
		Expect(silenced.SetDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
		Expect(silenced.Echo("after")).NotTo(Succeed())
	})

	// Guards against health and load responses that the agent cannot parse.
	It("answers the health and load endpoints", func() {
		target.SetDraining(true)
		s, err := openStream(ctx, caller, "load")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Receive()).To(Succeed())
		var health map[string]bool
		get(target.URL()+"/health", &health)
		Expect(health).To(Equal(map[string]bool{"draining": true}))
		var load map[string]any
		get(target.URL()+"/load", &load)
		Expect(load).To(Equal(map[string]any{"slots_in_use": 0.0, "connections": 1.0, "instance": "1"}))
	})
})

func receiveLines(ctx context.Context, caller *standin.Caller, id string) error {
	s, err := openStream(ctx, caller, id)
	if err != nil {
		return err
	}
	for i := range 20 {
		if err := s.Receive(); err != nil {
			return fmt.Errorf("stream %s: receive line %d: %w", id, i, err)
		}
	}
	if err := s.Echo("echo " + id); err != nil {
		return fmt.Errorf("stream %s: echo: %w", id, err)
	}
	return s.End()
}

// openStream opens a stream whose reads and writes end at the deadline of ctx.
func openStream(ctx context.Context, caller *standin.Caller, id string) (*standin.Stream, error) {
	s, err := caller.OpenStream(ctx, stream, id)
	if err != nil {
		return nil, fmt.Errorf("open stream %s: %w", id, err)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, errors.Join(fmt.Errorf("stream %s: the context has no deadline", id), s.Close())
	}
	return s, s.SetDeadline(deadline)
}

// dropFirst forwards packets to a target, except the first one with a given payload.
type dropFirst struct {
	conn    *net.UDPConn
	payload string
	target  netip.AddrPort
	copies  atomic.Int64 // packets with the payload, the dropped one included
}

func newDropFirst(payload string, target netip.AddrPort) (*dropFirst, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	return &dropFirst{conn: conn, payload: payload, target: target}, nil
}

func (d *dropFirst) addr() netip.AddrPort {
	return d.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (d *dropFirst) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = d.conn.Close() })
	defer stop()
	buffer := make([]byte, flow.MaxPacketBytes)
	for {
		n, err := d.conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		var p flow.Packet
		if p.Parse(buffer[:n]) == flow.DropNone && string(p.Payload) == d.payload && d.copies.Add(1) == 1 {
			continue
		}
		if _, err := d.conn.WriteToUDPAddrPort(buffer[:n], d.target); err != nil && !errors.Is(err, net.ErrClosed) {
			return err
		}
	}
}

func newSpecContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), specTimeout)
	DeferCleanup(cancel)
	return ctx
}

// run runs the simulated hosts and the fabric until the spec ends, and waits for them to stop.
func run(components ...func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	for _, component := range components {
		group.Go(func() error { return component(ctx) })
	}
	DeferCleanup(func() {
		cancel()
		Expect(group.Wait()).To(Succeed())
	})
}

func get(url string, into any) {
	response, err := http.Get(url)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(json.NewDecoder(response.Body).Decode(into)).To(Succeed())
}
