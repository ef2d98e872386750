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
	return newBenchWith(telemetry.Discard(), change)
}

func newBenchWith(handle telemetry.Handle, change func(*agent.Config)) *bench {
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
	b.agent, err = agent.New(cfg, handle)
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

// send sends a packet of a caller as a balancer does. Changes apply to its header.
func (b *bench) send(s flow.Segment, changes ...func(*encap.Header)) {
	s.To = service
	if !s.From.IsValid() {
		s.From = caller
	}
	packet, err := flow.Build(s)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	h := encap.Header{Service: 3, Generation: 7, Count: 1, BestWait: encap.NoWait, Ingress: b.balancer.LocalAddr()}
	h.Candidates[0] = encap.Candidate{Agent: b.data.LocalAddr(), Target: 5}
	for _, change := range changes {
		change(&h)
	}
	_, err = b.balancer.WriteBatch([]fabric.Datagram{{Data: h.Append(nil, &fleetKey, packet), Addr: b.data.LocalAddr()}})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// receiveRaw returns the next datagram at a socket.
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

// receive returns the next packet at a socket and its sender.
func receive(conn *fabric.UDP) (flow.Packet, netip.AddrPort) {
	datagram := receiveRaw(conn)
	var p flow.Packet
	gomega.Expect(p.Parse(datagram.Data)).To(gomega.Equal(flow.DropNone))
	return p, datagram.Addr
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

	// Guards against packets that are encoded wrongly or go to the wrong agent or balancer.
	ginkgo.It("forwards to the next candidate and sends hints to the ingress balancer", func() {
		b := newBench(nil)
		defer b.close()
		next := listen()
		defer next.Close()
		second := func(h *encap.Header) {
			h.Count = 2
			h.Candidates[1] = encap.Candidate{Agent: next.LocalAddr(), Target: 6}
		}
		b.establish()
		draining := b.view(8)
		t := draining.Targets[5]
		t.State = model.TargetDraining
		draining.Targets[5] = t
		b.agent.ApplyView(draining)
		b.send(flow.Segment{From: netip.MustParseAddrPort("10.8.0.2:40000"), SYN: true, Seq: 1}, second)
		var h encap.Header
		raw, reason := h.Decode(receiveRaw(next).Data, &fleetKey)
		gomega.Expect(reason).To(gomega.Equal(flow.DropNone))
		gomega.Expect(raw).To(gomega.HaveLen(40))
		gomega.Expect([]any{h.Hops, h.Cursor, h.Generation}).To(gomega.Equal([]any{uint8(1), uint8(1), model.Generation(7)}))
		b.send(flow.Segment{ACK: true, Seq: 106, Ack: 901, Window: 1000}, func(h *encap.Header) { h.Hops = 1 })
		var hint encap.Hint
		gomega.Expect(hint.Decode(receiveRaw(b.balancer).Data, &fleetKey)).To(gomega.Equal(flow.DropNone))
		gomega.Expect(hint).To(gomega.Equal(encap.Hint{
			Service: 3, Flow: flow.Key{Caller: caller, Service: service}, Owner: encap.Candidate{Agent: b.data.LocalAddr(), Target: 5},
		}))
	})

	// Guards against a target that leaves but is not announced as leaving, and against evidence that
	// follows the health endpoint alone.
	ginkgo.It("announces what the endpoints of the target say", func() {
		var draining atomic.Bool
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if draining.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			_, _ = fmt.Fprintf(w, `{"draining":%t}`, draining.Load())
		}))
		defer server.Close()
		b := newBench(func(c *agent.Config) { c.HealthURL, c.HealthInterval = server.URL, 5*time.Millisecond })
		defer b.close()
		gomega.Expect(b.agent.Announcement().Targets[0].Evidence.EndpointHealthy).To(gomega.BeTrue())
		draining.Store(true)
		gomega.Eventually(func() bool {
			t := b.agent.Announcement().Targets[0]
			return t.Draining && !t.Evidence.EndpointHealthy
		}, "10s").Should(gomega.BeTrue())
		b.send(flow.Segment{SYN: true, Seq: 100, Window: 1000})
		refusal, _ := receive(b.gateway)
		gomega.Expect(string(refusal.Payload)).To(gomega.HavePrefix("GGL-2004 "))
	})

	// Guards against a session that hangs on an agent that has ended.
	ginkgo.It("returns from ApplyView and Stop after Run has ended", func() {
		b := newBench(nil)
		b.close()
		b.agent.ApplyView(b.view(8))
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
