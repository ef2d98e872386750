package agent_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/greengagelock/greengagelock/internal/agent"
	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/fabric"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	"github.com/greengagelock/greengagelock/internal/testseed"
)

func TestAgent(t *testing.T) {
	testseed.RunSpecs(t, "agent")
}

var (
	fleetKey = encap.Key{1, 2, 3}
	service  = netip.MustParseAddrPort("10.9.0.1:443")
	caller   = netip.MustParseAddrPort("10.8.0.1:40000")
)

// bench is an agent with sockets in the place of a balancer, a target and a gateway.
type bench struct {
	agent                     *agent.Agent
	balancer, target, gateway *fabric.UDP
	data                      *fabric.UDP
	cancel                    context.CancelFunc
	done                      chan error
}

func listen() *fabric.UDP {
	conn, err := fabric.ListenUDP(netip.MustParseAddrPort("127.0.0.1:0"))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return conn
}

func newBench(change func(*agent.Config)) *bench {
	b := &bench{balancer: listen(), target: listen(), gateway: listen(), data: listen(), done: make(chan error, 1)}
	cfg := agent.Config{
		Name: "agent-1", VM: "vm-1", Zone: "bogota-a", FleetKey: fleetKey,
		Data: b.data, Target: listen(), TargetAddr: b.target.LocalAddr(),
		Outbound: listen(), Gateway: b.gateway.LocalAddr(),
		Services: []string{"execution"}, Slots: 1, MaxConns: 10,
	}
	if change != nil {
		change(&cfg)
	}
	var err error
	b.agent, err = agent.New(cfg, telemetry.Discard())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	go func() { b.done <- b.agent.Run(ctx) }()
	b.agent.ApplyView(b.view(7))
	return b
}

func (b *bench) close() {
	b.cancel()
	gomega.Eventually(b.done, "10s").Should(gomega.Receive(gomega.BeNil()))
	for _, conn := range []*fabric.UDP{b.balancer, b.target, b.gateway} {
		gomega.Expect(conn.Close()).To(gomega.Succeed())
	}
}

func (b *bench) view(generation model.Generation) *model.View {
	v := model.NewView()
	v.Generation = generation
	v.Services[3] = model.Service{
		ID: 3, Generation: generation, Name: "execution", Address: service, Class: model.ClassRequest, MaxQueueWait: 500 * time.Millisecond,
	}
	v.Targets[5] = model.Target{ID: 5, VM: "vm-1", Service: 3, Agent: b.data.LocalAddr(), Slots: 1, MaxConns: 10}
	return v
}

// send sends a packet of a caller as a balancer does.
func (b *bench) send(s flow.Segment) {
	s.To = service
	if !s.From.IsValid() {
		s.From = caller
	}
	packet, err := flow.Build(s)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	h := encap.Header{Service: 3, Generation: 7, Count: 1, BestWait: encap.NoWait, Ingress: b.balancer.LocalAddr()}
	h.Candidates[0] = encap.Candidate{Agent: b.data.LocalAddr(), Target: 5}
	_, err = b.balancer.WriteBatch([]fabric.Datagram{{Data: h.Append(nil, &fleetKey, packet), Addr: b.data.LocalAddr()}})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// receive returns the next packet at a socket and its sender.
func receive(conn *fabric.UDP) (flow.Packet, netip.AddrPort) {
	batch := []fabric.Datagram{{Data: make([]byte, 0, encap.MaxDatagramBytes)}}
	received := make(chan error, 1)
	go func() {
		_, err := conn.ReadBatch(batch)
		received <- err
	}()
	gomega.Eventually(received, "10s").Should(gomega.Receive(gomega.BeNil()))
	var p flow.Packet
	gomega.Expect(p.Parse(batch[0].Data)).To(gomega.Equal(flow.DropNone))
	return p, batch[0].Addr
}

// answer sends a packet of the target to the agent.
func (b *bench) answer(agentPort netip.AddrPort, s flow.Segment) {
	s.From, s.To = service, caller
	packet, err := flow.Build(s)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = b.target.WriteBatch([]fabric.Datagram{{Data: packet, Addr: agentPort}})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// establish opens the flow of caller and returns the agent's port towards the target.
func (b *bench) establish() netip.AddrPort {
	b.send(flow.Segment{SYN: true, Seq: 100, Window: 1000})
	syn, port := receive(b.target)
	gomega.Expect(syn.IsSYN()).To(gomega.BeTrue())
	b.answer(port, flow.Segment{SYN: true, ACK: true, Seq: 900, Ack: 101, Window: 1000})
	synAck, _ := receive(b.gateway)
	gomega.Expect(synAck.TCP.Ack).To(gomega.Equal(uint32(101)))
	b.send(flow.Segment{ACK: true, Seq: 101, Ack: 901, Window: 1000, Payload: []byte("apply")})
	data, _ := receive(b.target)
	gomega.Expect(string(data.Payload)).To(gomega.Equal("apply"))
	return port
}

var _ = ginkgo.Describe("the agent", func() {
	// Guards against packets that are lost between the ports and the flow table.
	ginkgo.It("carries a handshake and data between balancer, target and caller", func() {
		b := newBench(nil)
		defer b.close()
		port := b.establish()
		b.answer(port, flow.Segment{ACK: true, Seq: 901, Ack: 106, Window: 1000, Payload: []byte("done")})
		answer, _ := receive(b.gateway)
		gomega.Expect(string(answer.Payload)).To(gomega.Equal("done"))
		gomega.Eventually(func() int { return b.agent.Announcement().Targets[0].Evidence.BusySlots }, "10s").Should(gomega.Equal(1))
	})

	// Guards against a planned stop that reports success while a request is open, or admits.
	ginkgo.It("stops admitting, waits for the request and reports whether it was cut", func() {
		b := newBench(nil)
		defer b.close()
		port := b.establish()
		expired, cancel := context.WithCancel(context.Background())
		cancel()
		gomega.Expect(b.agent.Stop(expired)).To(gomega.Equal(agent.Result{Cut: true, Requests: 1, Flows: 1}))
		gomega.Expect(b.agent.Announcement().Targets[0].Draining).To(gomega.BeTrue())
		b.send(flow.Segment{From: netip.MustParseAddrPort("10.8.0.2:40000"), SYN: true, Seq: 1, Window: 1000})
		refusal, _ := receive(b.gateway)
		gomega.Expect(string(refusal.Payload)).To(gomega.ContainSubstring("GGL-2004 retry-after-ms="))
		b.answer(port, flow.Segment{RST: true, ACK: true, Seq: 901, Ack: 106})
		gomega.Expect(b.agent.Stop(context.Background())).To(gomega.Equal(agent.Result{}))
	})

	// Guards against goroutines that outlive Run.
	ginkgo.It("ends every goroutine when its context is done", func() {
		ignore := goleak.IgnoreCurrent()
		b := newBench(nil)
		b.close()
		gomega.Expect(goleak.Find(ignore)).To(gomega.Succeed())
	})
})
