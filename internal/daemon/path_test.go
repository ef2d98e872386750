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

// dataPath is a data path of agents and balancers without controllers: the test sets the view of each node.
type dataPath struct {
	fabric      *standin.Fabric
	caller      *standin.Caller
	ledger      *standin.Ledger
	targets     []*standin.Target
	agents      []netip.AddrPort // data addresses by target
	targetPorts []netip.AddrPort // addresses at which agents receive packets from their targets
	stopAgent   []func()         // stops an agent, by target
	nodes       []node.Handler
	view        *model.View
	ingress     []netip.AddrPort
}

var _ = Describe("the data path", func() {
	// The fabric spreads the packets of one flow over all balancers. Balancers that rank targets
	// differently would break the flow or send it to the wrong target.
	It("carries streams and requests through three balancers", func(ctx SpecContext) {
		p := newDataPath()
		Expect(p.runRequests(ctx, "a")).To(Succeed())
		p.expectServedOnce("a")
	}, SpecTimeout(time.Minute))

	// Targets and balancers change together, and the nodes do not apply the new view at the same moment.
	// Balancers and agents that disagree must not break established streams, and a draining target must
	// take no new request.
	It("keeps streams open through a drain, a lost balancer and different views", func(ctx SpecContext) {
		p := newDataPath()
		streams := p.openStreams(ctx, 24)
		expectStreamsAlive(streams)
		p.setState(1, model.TargetDraining)
		// One agent and one balancer apply the new view before the others.
		p.applyView(p.nodes[0], p.nodes[pathTargets])
		expectStreamsAlive(streams)
		p.applyView(p.nodes...)
		expectStreamsAlive(streams)
		p.fabric.SetBalancers(p.ingress[:2]...)
		before := p.targets[1].Stats("apply").Accepted
		Expect(p.runRequests(ctx, "b")).To(Succeed())
		Expect(p.targets[1].Stats("apply").Accepted).To(Equal(before))
		expectStreamsAlive(streams)
		p.expectServedOnce("b")
	}, SpecTimeout(time.Minute))
})

var _ = Describe("an agent that is restarted", func() {
	// A new agent has an empty flow table. It must recover the streams of its target from their packets,
	// and must not reset streams of other targets whose packets pass through it.
	It("recovers the streams of its target", func(ctx SpecContext) {
		p := newDataPath()
		streams := p.openStreams(ctx, 24)
		expectStreamsAlive(streams)
		for i := range pathTargets {
			p.restartAgent(i)
			expectStreamsAlive(streams)
		}
		Expect(p.runRequests(ctx, "c")).To(Succeed())
		p.expectServedOnce("c")
		for _, t := range p.targets {
			Expect(t.Stats("progress").Failed).To(BeZero())
		}
	}, SpecTimeout(time.Minute))
})

// expectStreamsAlive receives lines on every stream and expects an echo, which tests both directions.
func expectStreamsAlive(streams []*standin.Stream) {
	GinkgoHelper()
	for _, s := range streams {
		for range 3 {
			Expect(s.Receive()).To(Succeed())
		}
		Expect(s.Echo("alive")).To(Succeed())
	}
}

// newDataPath starts a data path that runs until the spec ends, with one view applied by every node.
func newDataPath() *dataPath {
	p := &dataPath{ledger: standin.NewLedger(), view: model.NewView()}
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
	runUntilSpecEnds(runs...)
	p.fillView()
	p.applyView(p.nodes...)
	return p
}

func (p *dataPath) openStreams(ctx context.Context, count int) []*standin.Stream {
	GinkgoHelper()
	var streams []*standin.Stream
	for i := range count {
		s, err := p.caller.OpenStream(ctx, progress, fmt.Sprintf("held-%d", i))
		Expect(err).NotTo(HaveOccurred())
		streams = append(streams, s)
	}
	return streams
}

func (p *dataPath) addTarget(i int) []func(context.Context) error {
	t, err := standin.NewTarget(standin.TargetConfig{
		Instance: "1", Endpoints: []standin.Endpoint{progress, apply}, Slots: 2,
		ServiceTime: 10 * time.Millisecond, LineInterval: 10 * time.Millisecond, Ledger: p.ledger,
	})
	Expect(err).NotTo(HaveOccurred())
	targetPort := listenUDP(anyPort)
	t.SetAgent(targetPort.LocalAddr())
	p.targetPorts = append(p.targetPorts, targetPort.LocalAddr())
	p.targets, p.stopAgent = append(p.targets, t), append(p.stopAgent, nil)
	p.nodes, p.agents = append(p.nodes, nil), append(p.agents, netip.AddrPort{})
	p.startAgent(i, listenUDP(anyPort), targetPort)
	return []func(context.Context) error{t.Run}
}

// startAgent starts the agent of target i on the given sockets.
func (p *dataPath) startAgent(i int, data, targetPort fabric.Conn) {
	t := p.targets[i]
	a, err := agent.New(agent.Config{
		Name: fmt.Sprintf("agent-%d", i), VM: vmOf(i), FleetKey: pathKey,
		Data: data, Target: targetPort, TargetAddr: t.Addr(), Outbound: listenUDP(anyPort), Gateway: p.fabric.GatewayAddr(),
		Services: []string{progress.Service, apply.Service}, Slots: 2, MaxConns: 100,
		HealthURL: t.URL() + "/health", LoadURL: t.URL() + "/load", Extend: daemon.Extend,
	}, telemetry.Discard())
	Expect(err).NotTo(HaveOccurred())
	a.SetControlAge(func() time.Duration { return 0 })
	p.agents[i], p.nodes[i] = data.LocalAddr(), a
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	p.stopAgent[i] = sync.OnceFunc(func() {
		cancel()
		Expect(<-done).To(Succeed())
	})
	DeferCleanup(p.stopAgent[i])
}

// restartAgent replaces an agent by one with an empty flow table on the same addresses.
func (p *dataPath) restartAgent(i int) {
	GinkgoHelper()
	data, targetPort := p.agents[i], p.targetPorts[i]
	p.stopAgent[i]()
	p.startAgent(i, listenUDP(data), listenUDP(targetPort))
	p.applyView(p.nodes[i])
}

func (p *dataPath) addBalancer(i int) func(context.Context) error {
	ingress := listenUDP(anyPort)
	p.ingress = append(p.ingress, ingress.LocalAddr())
	b, err := balancer.New(balancer.Config{
		Name: fmt.Sprintf("balancer-%d", i), FleetKey: pathKey, Ingress: ingress, Egress: listenUDP(anyPort),
	}, telemetry.Discard())
	Expect(err).NotTo(HaveOccurred())
	b.SetControlAge(func() time.Duration { return 0 })
	p.nodes = append(p.nodes, b)
	return b.Run
}

// fillView registers every target for both services.
func (p *dataPath) fillView() {
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

// setState makes a new view in which both targets of a VM have the state. Nodes get it by applyView.
func (p *dataPath) setState(target int, state model.TargetState) {
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

func (p *dataPath) applyView(nodes ...node.Handler) {
	for _, n := range nodes {
		n.ApplyView(p.view)
	}
}

// runRequests sends 40 requests, 4 at a time, each on its own connection, and fails unless all are answered.
func (p *dataPath) runRequests(ctx context.Context, name string) error {
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

// expectServedOnce expects that each request of runRequests ran once, that nothing reached a wrong service,
// and that no target was overloaded.
func (p *dataPath) expectServedOnce(name string) {
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

func listenUDP(addr netip.AddrPort) fabric.Conn {
	GinkgoHelper()
	conn, err := fabric.ListenUDP(addr)
	Expect(err).NotTo(HaveOccurred())
	return conn
}

// runUntilSpecEnds runs components until the spec ends, and then waits until they have stopped.
func runUntilSpecEnds(runs ...func(context.Context) error) {
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
