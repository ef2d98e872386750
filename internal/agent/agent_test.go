package agent_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
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

// fixture is a running agent with sockets that stand in for a balancer, a target and a gateway.
type fixture struct {
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

func newFixture(change func(*agent.Config)) *fixture {
	return newFixtureWith(telemetry.Discard(), change)
}

func newFixtureWith(handle telemetry.Handle, change func(*agent.Config)) *fixture {
	f := &fixture{balancer: listen(), target: listen(), gateway: listen(), data: listen(), done: make(chan error, 1)}
	cfg := agent.Config{
		Name: "agent-1", VM: "vm-1", Zone: "bogota-a", FleetKey: fleetKey,
		Data: f.data, Target: listen(), TargetAddr: f.target.LocalAddr(),
		Outbound: listen(), Gateway: f.gateway.LocalAddr(),
		Services: []string{"execution"}, Slots: 1, MaxConns: 10,
	}
	if change != nil {
		change(&cfg)
	}
	var err error
	f.agent, err = agent.New(cfg, handle)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go func() { f.done <- f.agent.Run(ctx) }()
	f.agent.ApplyView(f.view(7))
	return f
}

func (f *fixture) close() {
	f.cancel()
	gomega.Eventually(f.done, "10s").Should(gomega.Receive(gomega.BeNil()))
	for _, conn := range []*fabric.UDP{f.balancer, f.target, f.gateway} {
		gomega.Expect(conn.Close()).To(gomega.Succeed())
	}
}

func (f *fixture) view(generation model.Generation) *model.View {
	v := model.NewView()
	v.Generation = generation
	v.Services[3] = model.Service{
		ID: 3, Generation: generation, Name: "execution", Address: service, Class: model.ClassRequest, MaxQueueWait: 500 * time.Millisecond,
	}
	v.Targets[5] = model.Target{ID: 5, VM: "vm-1", Service: 3, Agent: f.data.LocalAddr(), Slots: 1, MaxConns: 10}
	return v
}

// send sends a packet of a caller to the agent as a balancer does, after applying changes to its header.
func (f *fixture) send(s flow.Segment, changes ...func(*encap.Header)) {
	s.To = service
	if !s.From.IsValid() {
		s.From = caller
	}
	packet, err := flow.Build(s)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	h := encap.Header{Service: 3, Generation: 7, Count: 1, BestWait: encap.NoBestWait, Ingress: f.balancer.LocalAddr()}
	h.Candidates[0] = encap.Candidate{Agent: f.data.LocalAddr(), Target: 5}
	for _, change := range changes {
		change(&h)
	}
	_, err = f.balancer.WriteBatch([]fabric.Datagram{{Data: h.Append(nil, &fleetKey, packet), Addr: f.data.LocalAddr()}})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// receiveRaw returns the next datagram that a socket receives.
func receiveRaw(conn *fabric.UDP) fabric.Datagram {
	batch := []fabric.Datagram{{Data: make([]byte, 0, encap.MaxDatagramBytes)}}
	received := make(chan error, 1)
	go func() {
		_, err := conn.ReadBatch(batch)
		received <- err
	}()
	gomega.Eventually(received, "10s").Should(gomega.Receive(gomega.BeNil()))
	return batch[0]
}

// receive returns the next packet that a socket receives, and its sender.
func receive(conn *fabric.UDP) (flow.Packet, netip.AddrPort) {
	datagram := receiveRaw(conn)
	var p flow.Packet
	gomega.Expect(p.Parse(datagram.Data)).To(gomega.Equal(flow.DropNone))
	return p, datagram.Addr
}

// answer sends a packet of the target to the agent at agentPort.
func (f *fixture) answer(agentPort netip.AddrPort, s flow.Segment) {
	s.From, s.To = service, caller
	packet, err := flow.Build(s)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = f.target.WriteBatch([]fabric.Datagram{{Data: packet, Addr: agentPort}})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// establish opens the flow of caller and returns the address of the agent's socket for the target.
func (f *fixture) establish() netip.AddrPort {
	f.send(flow.Segment{SYN: true, Seq: 100, Window: 1000})
	syn, port := receive(f.target)
	gomega.Expect(syn.IsSYN()).To(gomega.BeTrue())
	f.answer(port, flow.Segment{SYN: true, ACK: true, Seq: 900, Ack: 101, Window: 1000})
	synAck, _ := receive(f.gateway)
	gomega.Expect(synAck.TCP.Ack).To(gomega.Equal(uint32(101)))
	f.send(flow.Segment{ACK: true, Seq: 101, Ack: 901, Window: 1000, Payload: []byte("apply")})
	data, _ := receive(f.target)
	gomega.Expect(string(data.Payload)).To(gomega.Equal("apply"))
	return port
}

var _ = ginkgo.Describe("the agent", func() {
	// Guards against packets that are lost between the packet connections and the flow table.
	ginkgo.It("carries a handshake and data between balancer, target and caller", func() {
		f := newFixture(nil)
		defer f.close()
		port := f.establish()
		f.answer(port, flow.Segment{ACK: true, Seq: 901, Ack: 106, Window: 1000, Payload: []byte("done")})
		answer, _ := receive(f.gateway)
		gomega.Expect(string(answer.Payload)).To(gomega.Equal("done"))
		gomega.Eventually(func() int { return f.agent.Announcement().Targets[0].Evidence.BusySlots }, "10s").Should(gomega.Equal(1))
	})

	// Guards against a Stop that reports success while a request is open, or an agent that still admits
	// after Stop.
	ginkgo.It("stops admitting, waits for the request and reports whether it was still open", func() {
		f := newFixture(nil)
		defer f.close()
		port := f.establish()
		expired, cancel := context.WithCancel(context.Background())
		cancel()
		gomega.Expect(f.agent.Stop(expired)).To(gomega.Equal(agent.StopResult{RequestsOpen: true, Requests: 1, Flows: 1}))
		gomega.Expect(f.agent.Announcement().Targets[0].Draining).To(gomega.BeTrue())
		f.send(flow.Segment{From: netip.MustParseAddrPort("10.8.0.2:40000"), SYN: true, Seq: 1, Window: 1000})
		refusal, _ := receive(f.gateway)
		gomega.Expect(string(refusal.Payload)).To(gomega.ContainSubstring("GGL-2004 retry-after-ms="))
		f.answer(port, flow.Segment{RST: true, ACK: true, Seq: 901, Ack: 106})
		gomega.Expect(f.agent.Stop(context.Background())).To(gomega.Equal(agent.StopResult{}))
	})

	// Guards against forwarded packets and hints with a wrong encoding or destination.
	ginkgo.It("forwards to the next candidate and sends hints to the ingress balancer", func() {
		f := newFixture(nil)
		defer f.close()
		next := listen()
		defer next.Close()
		second := func(h *encap.Header) {
			h.Count = 2
			h.Candidates[1] = encap.Candidate{Agent: next.LocalAddr(), Target: 6}
		}
		f.establish()
		draining := f.view(8)
		t := draining.Targets[5]
		t.State = model.TargetDraining
		draining.Targets[5] = t
		f.agent.ApplyView(draining)
		f.send(flow.Segment{From: netip.MustParseAddrPort("10.8.0.2:40000"), SYN: true, Seq: 1}, second)
		var h encap.Header
		raw, reason := h.Decode(receiveRaw(next).Data, &fleetKey)
		gomega.Expect(reason).To(gomega.Equal(flow.DropNone))
		gomega.Expect(raw).To(gomega.HaveLen(40))
		gomega.Expect([]any{h.Hops, h.Cursor, h.Generation}).To(gomega.Equal([]any{uint8(1), uint8(1), model.Generation(7)}))
		f.send(flow.Segment{ACK: true, Seq: 106, Ack: 901, Window: 1000}, func(h *encap.Header) { h.Hops = 1 })
		var hint encap.Hint
		gomega.Expect(hint.Decode(receiveRaw(f.balancer).Data, &fleetKey)).To(gomega.Equal(flow.DropNone))
		gomega.Expect(hint).To(gomega.Equal(encap.Hint{
			Service: 3, Flow: flow.Key{Caller: caller, Service: service}, Owner: encap.Candidate{Agent: f.data.LocalAddr(), Target: 5},
		}))
	})

	// Guards against a draining target that is not announced as draining, and against an announcement of
	// health that does not follow the health endpoint.
	ginkgo.It("announces the state that the endpoints of the target return", func() {
		var draining atomic.Bool
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if draining.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			_, _ = fmt.Fprintf(w, `{"draining":%t}`, draining.Load())
		}))
		defer server.Close()
		f := newFixture(func(c *agent.Config) { c.HealthURL, c.HealthInterval = server.URL, 5*time.Millisecond })
		defer f.close()
		gomega.Expect(f.agent.Announcement().Targets[0].Evidence.EndpointHealthy).To(gomega.BeTrue())
		draining.Store(true)
		gomega.Eventually(func() bool {
			t := f.agent.Announcement().Targets[0]
			return t.Draining && !t.Evidence.EndpointHealthy
		}, "10s").Should(gomega.BeTrue())
		f.send(flow.Segment{SYN: true, Seq: 100, Window: 1000})
		refusal, _ := receive(f.gateway)
		gomega.Expect(string(refusal.Payload)).To(gomega.HavePrefix("GGL-2004 "))
	})

	// Guards against a session with a controller that blocks forever because the agent has ended.
	ginkgo.It("returns from ApplyView and Stop after Run has ended", func() {
		f := newFixture(nil)
		f.close()
		f.agent.ApplyView(f.view(8))
		gomega.Expect(f.agent.Stop(context.Background())).To(gomega.Equal(agent.StopResult{}))
	})

	// Guards against goroutines that are still running after Run has returned.
	ginkgo.It("ends every goroutine when its context is done", func() {
		ignore := goleak.IgnoreCurrent()
		f := newFixture(nil)
		f.close()
		gomega.Expect(goleak.Find(ignore)).To(gomega.Succeed())
	})
})
