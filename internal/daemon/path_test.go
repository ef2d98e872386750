package daemon_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/greengagelock/greengagelock/internal/agent"
	"github.com/greengagelock/greengagelock/internal/balancer"
	"github.com/greengagelock/greengagelock/internal/daemon"
	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/fabric"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/node"
	"github.com/greengagelock/greengagelock/internal/standin"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

const (
	pathTargets   = 3
	pathBalancers = 3
)

var (
	progress = standin.Endpoint{Service: "progress", Address: netip.MustParseAddrPort("192.0.2.10:7001")}
	apply    = standin.Endpoint{Service: "apply", Address: netip.MustParseAddrPort("192.0.2.10:7002")}
	pathKey  = encap.Key{7}
	anyPort  = netip.MustParseAddrPort("127.0.0.1:0")
)

// path is a data path without control: its view is set by the test.
type path struct {
	fabric  *standin.Fabric
	caller  *standin.Caller
	ledger  *standin.Ledger
	targets []*standin.Target
	agents  []netip.AddrPort // data addresses
	inner   []netip.AddrPort // where agents receive packets of their targets
	stop    []func()         // of the agents
	nodes   []node.Handler
	view    *model.View
	ingress []netip.AddrPort
}

var _ = Describe("the data path", func() {
	// Guards against flows that break or reach the wrong place when packets of one flow arrive at
	// different balancers.
	It("carries streams and requests through three balancers", func(ctx SpecContext) {
		p := newPath()
		Expect(p.exchange(ctx, "a")).To(Succeed())
		p.expectSound("a")
	}, SpecTimeout(time.Minute))

	// Guards against established streams that break when targets and balancers change at once.
	It("keeps streams through a drain, a new target and uneven balancers", func(ctx SpecContext) {
		p := newPath()
		streams := p.openStreams(ctx, 24)
		receiveAll(streams)
		p.setState(1, model.TargetDraining)
		// One agent and one balancer are ahead of the others.
		p.push(p.nodes[0], p.nodes[pathTargets])
		receiveAll(streams)
		p.push(p.nodes...)
		receiveAll(streams)
		p.fabric.SetBalancers(p.ingress[:2]...)
		before := p.targets[1].Stats("apply").Accepted
		Expect(p.exchange(ctx, "b")).To(Succeed())
		Expect(p.targets[1].Stats("apply").Accepted).To(Equal(before))
		receiveAll(streams)
		p.expectSound("b")
	}, SpecTimeout(time.Minute))
})

var _ = Describe("an agent that is restarted", func() {
	// Guards against a planned restart of an agent that breaks the streams of its target, of which
	// the new agent knows nothing, or those of others, whose packets pass through it.
	It("recovers the streams of its target", func(ctx SpecContext) {
		p := newPath()
		streams := p.openStreams(ctx, 24)
		receiveAll(streams)
		for i := range pathTargets {
			p.restartAgent(i)
			receiveAll(streams)
		}
		Expect(p.exchange(ctx, "c")).To(Succeed())
		p.expectSound("c")
		for _, t := range p.targets {
			Expect(t.Stats("progress").Failed).To(BeZero())
		}
	}, SpecTimeout(time.Minute))
})

func receiveAll(streams []*standin.Stream) {
	GinkgoHelper()
	for _, s := range streams {
		for range 3 {
			Expect(s.Receive()).To(Succeed())
		}
		Expect(s.Echo("alive")).To(Succeed())
	}
}

// newPath starts a data path that runs until the spec ends.
func newPath() *path {
	p := &path{ledger: standin.NewLedger(), view: model.NewView()}
	var err error
	p.fabric, err = standin.NewFabric(standin.FabricConfig{Seed: 7})
	Expect(err).NotTo(HaveOccurred())
	p.caller, err = standin.NewCaller(standin.CallerConfig{
		Addresses: []netip.Addr{netip.MustParseAddr("198.51.100.1")}, Fabric: p.fabric.CallerAddr(),
	})
	Expect(err).NotTo(HaveOccurred())
	runs := []func(context.Context) error{p.fabric.Run, p.caller.Run}
	for i := range pathTargets {
		runs = append(runs, p.addTarget(i)...)
	}
	for i := range pathBalancers {
		runs = append(runs, p.addBalancer(i))
	}
	p.fabric.SetBalancers(p.ingress...)
	runUntilEnd(runs...)
	p.fillView()
	p.push(p.nodes...)
	return p
}

func (p *path) openStreams(ctx context.Context, count int) []*standin.Stream {
	GinkgoHelper()
	var streams []*standin.Stream
	for i := range count {
		s, err := p.caller.OpenStream(ctx, progress, fmt.Sprintf("held-%d", i))
		Expect(err).NotTo(HaveOccurred())
		streams = append(streams, s)
	}
	return streams
}

func (p *path) addTarget(i int) []func(context.Context) error {
	t, err := standin.NewTarget(standin.TargetConfig{
		Instance: "1", Endpoints: []standin.Endpoint{progress, apply}, Slots: 2,
		ServiceTime: 10 * time.Millisecond, LineInterval: 10 * time.Millisecond, Ledger: p.ledger,
	})
	Expect(err).NotTo(HaveOccurred())
	inner := listen(anyPort)
	t.SetAgent(inner.LocalAddr())
	p.inner = append(p.inner, inner.LocalAddr())
	p.targets, p.stop = append(p.targets, t), append(p.stop, nil)
	p.nodes, p.agents = append(p.nodes, nil), append(p.agents, netip.AddrPort{})
	p.startAgent(i, listen(anyPort), inner)
	return []func(context.Context) error{t.Run}
}

// startAgent starts the agent of a target on sockets of its own.
func (p *path) startAgent(i int, data, inner fabric.Conn) {
	t := p.targets[i]
	a, err := agent.New(agent.Config{
		Name: fmt.Sprintf("agent-%d", i), VM: vmOf(i), FleetKey: pathKey,
		Data: data, Target: inner, TargetAddr: t.Addr(), Outbound: listen(anyPort), Gateway: p.fabric.GatewayAddr(),
		Services: []string{progress.Service, apply.Service}, Slots: 2, MaxConns: 100,
		HealthURL: t.URL() + "/health", LoadURL: t.URL() + "/load", Extend: daemon.Extend,
	}, telemetry.Discard())
	Expect(err).NotTo(HaveOccurred())
	a.SetControlAge(func() time.Duration { return 0 })
	p.agents[i], p.nodes[i] = data.LocalAddr(), a
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	p.stop[i] = sync.OnceFunc(func() {
		cancel()
		Expect(<-done).To(Succeed())
	})
	DeferCleanup(p.stop[i])
}

// restartAgent replaces an agent by one that knows nothing, on the same addresses.
func (p *path) restartAgent(i int) {
	GinkgoHelper()
	data, inner := p.agents[i], p.inner[i]
	p.stop[i]()
	p.startAgent(i, listen(data), listen(inner))
	p.push(p.nodes[i])
}

func (p *path) addBalancer(i int) func(context.Context) error {
	ingress := listen(anyPort)
	p.ingress = append(p.ingress, ingress.LocalAddr())
	b, err := balancer.New(balancer.Config{
		Name: fmt.Sprintf("balancer-%d", i), FleetKey: pathKey, Ingress: ingress, Egress: listen(anyPort),
	}, telemetry.Discard())
	Expect(err).NotTo(HaveOccurred())
	b.SetControlAge(func() time.Duration { return 0 })
	p.nodes = append(p.nodes, b)
	return b.Run
}

// fillView registers every target for both services.
func (p *path) fillView() {
	p.view.Generation = 1
	for id, e := range map[model.ServiceID]standin.Endpoint{1: progress, 2: apply} {
		s := model.Service{ID: id, Generation: 1, Name: e.Service, Address: e.Address, MaxQueueWait: 500 * time.Millisecond}
		if e == apply {
			s.Class = model.ClassRequest
		}
		p.view.Services[id] = s
		for i := range pathTargets {
			t := model.Target{
				ID: model.TargetID(10*int(id) + i), VM: vmOf(i), Service: id, Agent: p.agents[i], Slots: 2, MaxConns: 100,
			}
			p.view.Targets[t.ID] = t
		}
	}
}

func (p *path) setState(target int, state model.TargetState) {
	p.view = p.view.Clone()
	p.view.Generation++
	for id, s := range p.view.Services {
		s.Generation = p.view.Generation
		p.view.Services[id] = s
	}
	for id, t := range p.view.Targets {
		if t.VM == vmOf(target) {
			t.State = state
			p.view.Targets[id] = t
		}
	}
}

func (p *path) push(nodes ...node.Handler) {
	for _, n := range nodes {
		n.ApplyView(p.view)
	}
}

// exchange runs 40 requests, 4 at a time, each on a connection of its own.
func (p *path) exchange(ctx context.Context, name string) error {
	var group errgroup.Group
	group.SetLimit(4)
	for i := range 40 {
		group.Go(func() error {
			outcome, err := p.caller.Request(ctx, apply, fmt.Sprintf("%s-%d", name, i), 5000)
			if outcome != standin.OutcomeAnswered {
				return fmt.Errorf("request %d has outcome %d: %w", i, outcome, err)
			}
			return nil
		})
	}
	return group.Wait()
}

func (p *path) expectSound(name string) {
	GinkgoHelper()
	for i := range 40 {
		Expect(p.ledger.Runs("apply", fmt.Sprintf("%s-%d", name, i))).To(Equal(1))
	}
	Expect(p.ledger.WrongService("apply")).To(BeZero())
	Expect(p.ledger.WrongService("progress")).To(BeZero())
	for _, t := range p.targets {
		Expect(t.Stats("apply").Overloaded).To(BeZero())
	}
}

func vmOf(i int) model.VM { return model.VM(fmt.Sprintf("vm-%d", i)) }

func listen(addr netip.AddrPort) fabric.Conn {
	GinkgoHelper()
	conn, err := fabric.ListenUDP(addr)
	Expect(err).NotTo(HaveOccurred())
	return conn
}

// runUntilEnd runs components until the spec ends, and waits for them.
func runUntilEnd(runs ...func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	for _, run := range runs {
		group.Go(func() error { return run(ctx) })
	}
	DeferCleanup(func() {
		cancel()
		Expect(group.Wait()).To(Succeed())
	})
}
