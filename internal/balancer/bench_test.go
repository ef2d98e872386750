package balancer_test

import (
	"context"
	"encoding/binary"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagelock/greengagelock/internal/balancer"
	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/fabric"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/placement"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

// Numbers of services and targets that the capacity page requires, and of flows in a benchmark.
const (
	targetServices = 750
	targetTargets  = 4100
	benchFlows     = 1 << 14
)

// benchView returns a view of targetServices services and targetTargets targets, with all agents at one
// address.
func benchView(agent netip.AddrPort) *model.View {
	v := model.NewView()
	v.Generation = 1
	for i := range targetServices {
		id := model.ServiceID(i + 1)
		v.Services[id] = model.Service{ID: id, Generation: 1, Address: benchAddress(i)}
	}
	for i := range targetTargets {
		id := model.TargetID(i + 1)
		v.Targets[id] = model.Target{ID: id, Service: model.ServiceID(i%targetServices + 1), Agent: agent}
	}
	return v
}

func benchAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 443)
}

// benchPackets returns a buffer for each of benchFlows flows, with a packet after the headroom.
func benchPackets(tb testing.TB, headroom int) [][]byte {
	packets := make([][]byte, benchFlows)
	for i := range packets {
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), uint16(1024+i))
		raw, err := flow.Build(flow.Segment{
			From: from, To: benchAddress(i % targetServices), ACK: true, Payload: make([]byte, 100),
		})
		if err != nil {
			tb.Fatal(err)
		}
		packets[i] = append(make([]byte, headroom), raw...)
	}
	return packets
}

// BenchmarkDecision measures Decide for one packet, and reports it also as a multiple of a baseline: one
// hash of the same 5-tuple and one map lookup.
func BenchmarkDecision(b *testing.B) {
	view := benchView(netip.MustParseAddrPort("10.0.0.1:6081"))
	table, _ := placement.Build(nil, view)
	packets := benchPackets(b, encap.MaxHeaderBytes)
	services := map[uint64]*placement.Service{}
	for id := range view.Services {
		key, _ := flow.AddressKey(view.Services[id].Address)
		services[key] = table.Service(id)
	}
	var sum uint64
	var base float64
	b.Run("baseline", func(b *testing.B) {
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			raw := packets[i%benchFlows][encap.MaxHeaderBytes:]
			i++
			sum += xxhash.Sum64(raw[12:24])
			key := uint64(binary.BigEndian.Uint32(raw[16:]))<<16 | uint64(binary.BigEndian.Uint16(raw[22:]))
			sum += uint64(services[key].ID)
		}
		base = float64(b.Elapsed().Nanoseconds()) / float64(b.N)
	})
	if sum == 0 {
		b.Fatal("no lookup")
	}
	for _, hints := range []bool{false, true} {
		name := "without_hints"
		decider, err := balancer.NewDecider(fleetKey, loopback)
		if err != nil {
			b.Fatal(err)
		}
		if hints {
			name = "with_hint_per_flow"
			for _, buf := range packets {
				key := flow.KeyOf(buf[encap.MaxHeaderBytes:])
				service := table.Lookup(key.Service)
				chain := service.FullChain(placement.Owners, placement.BucketOfKey(key))
				decider.AddHint(encap.Hint{Service: service.ID, Flow: key, Owner: encap.CandidateOf(&chain[len(chain)-1])})
			}
		}
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				decider.Decide(table, packets[i%benchFlows], encap.MaxHeaderBytes, 0)
				i++
			}
			perPacket := float64(b.Elapsed().Nanoseconds()) / float64(b.N)
			b.ReportMetric(perPacket/base, "x-baseline")
		})
	}
}

// countingConn closes done when a number of datagrams has been sent.
type countingConn struct {
	fabric.Conn
	left atomic.Int64
	done chan struct{}
}

// WriteBatch implements fabric.Conn.
func (c *countingConn) WriteBatch(batch []fabric.Datagram) (int, error) {
	n, err := c.Conn.WriteBatch(batch)
	if left := c.left.Add(-int64(n)); left <= 0 && left+int64(n) > 0 {
		close(c.done)
	}
	return n, err
}

func benchListen(b *testing.B) *fabric.UDP {
	conn, err := fabric.ListenUDP(loopback)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	return conn
}

// sendUntilClosed sends packets to an address until conn is closed.
func sendUntilClosed(conn fabric.Conn, to netip.AddrPort, packets [][]byte) {
	batch := make([]fabric.Datagram, fabric.BatchSize)
	for next := 0; ; next += len(batch) {
		for i := range batch {
			batch[i] = fabric.Datagram{Data: packets[(next+i)%len(packets)], Addr: to}
		}
		if _, err := conn.WriteBatch(batch); err != nil {
			return
		}
	}
}

// discardUntilClosed reads and discards datagrams until conn is closed.
func discardUntilClosed(conn fabric.Conn) {
	batch := make([]fabric.Datagram, fabric.BatchSize)
	for i := range batch {
		batch[i].Data = make([]byte, 0, 2048)
	}
	for {
		if _, err := conn.ReadBatch(batch); err != nil {
			return
		}
	}
}

// echoUntilClosed sends the datagrams that in receives to an address through out, in the same batches, until
// one of them is closed.
func echoUntilClosed(in, out fabric.Conn, to netip.AddrPort) {
	batch := make([]fabric.Datagram, fabric.BatchSize)
	for i := range batch {
		batch[i].Data = make([]byte, 0, 2048)
	}
	for {
		n, err := in.ReadBatch(batch)
		if err != nil {
			return
		}
		for i := range n {
			batch[i].Addr = to
		}
		if _, err := out.WriteBatch(batch[:n]); err != nil {
			return
		}
	}
}

// BenchmarkLoopback measures the packets per second that one balancer forwards over loopback, and those of
// a plain UDP echo with the same batches and load for comparison.
func BenchmarkLoopback(b *testing.B) {
	packets := benchPackets(b, 0)
	b.Run("echo", func(b *testing.B) {
		benchLoopback(b, packets, func(in, out fabric.Conn, sink netip.AddrPort) { echoUntilClosed(in, out, sink) })
	})
	b.Run("balancer", func(b *testing.B) {
		benchLoopback(b, packets, func(in, out fabric.Conn, sink netip.AddrPort) {
			forwarder, err := balancer.New(balancer.Config{Name: "b1", Ingress: in, Egress: out}, telemetry.Discard())
			if err != nil {
				panic(err)
			}
			forwarder.ApplyView(benchView(sink))
			if err := forwarder.Run(context.Background()); err == nil {
				panic("balancer ended without an error")
			}
		})
	})
}

// benchLoopback runs a forwarder under the load of two senders until it has sent b.N packets.
func benchLoopback(b *testing.B, packets [][]byte, run func(in, out fabric.Conn, sink netip.AddrPort)) {
	in, sink := benchListen(b), benchListen(b)
	out := &countingConn{Conn: benchListen(b), done: make(chan struct{})}
	out.left.Store(int64(b.N))
	go discardUntilClosed(sink)
	ended := make(chan struct{})
	go func() {
		run(in, out, sink.LocalAddr())
		close(ended)
	}()
	b.ResetTimer()
	for range 2 {
		go sendUntilClosed(benchListen(b), in.LocalAddr(), packets)
	}
	<-out.done
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "packets/s")
	_ = in.Close()
	_ = out.Close()
	<-ended
}
