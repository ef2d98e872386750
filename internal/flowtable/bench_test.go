package flowtable_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/flowtable"
	"github.com/greengagelock/greengagelock/internal/model"
)

// heapBytes returns the bytes of live objects.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func callerOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 8, byte(i >> 14), byte(i >> 6)}), uint16(1024+i%64))
}

func benchHeader() *encap.Header {
	return &encap.Header{Service: streamService, Generation: 1, Count: 1, BestWait: encap.NoBestWait}
}

// filledTable returns a table with n established stream flows and the silence check enabled.
func filledTable(b *testing.B, n int) *flowtable.Table {
	table := flowtable.New(flowtable.Config{})
	service := model.Service{ID: streamService, Generation: 1, Address: addressOf[streamService], Silence: silencePolicy}
	table.SetEndpoints(0, []flowtable.Endpoint{{Service: service, Target: model.Target{ID: 1, MaxConns: n}}})
	var p flow.Packet
	parse := func(s flow.Segment) *flow.Packet {
		raw, err := flow.Build(s)
		if err != nil || p.Parse(raw) != flow.DropNone {
			b.Fatal("malformed packet")
		}
		return &p
	}
	for i := range n {
		caller := callerOf(i)
		table.FromFabric(0, benchHeader(), parse(flow.Segment{From: caller, To: service.Address, SYN: true, Seq: 1}))
		table.FromTarget(0, parse(flow.Segment{From: service.Address, To: caller, SYN: true, ACK: true, Seq: 9, Ack: 2}))
		table.FromFabric(0, benchHeader(), parse(flow.Segment{From: caller, To: service.Address, ACK: true, Seq: 2, Ack: 10, Window: 9}))
	}
	if table.OpenFlows() != n {
		b.Fatalf("%d flows are open, want %d", table.OpenFlows(), n)
	}
	return table
}

// BenchmarkMemory reports the heap bytes per established flow. The goal is at most 300.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{2_000, 200_000} {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				table := filledTable(b, n)
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "bytes/flow")
				runtime.KeepAlive(table)
			}
		})
	}
}

// benchPackets returns parsed packets of established flows, in an order that defeats the processor cache.
func benchPackets(b *testing.B, n int) []*flow.Packet {
	packets := make([]*flow.Packet, 4096)
	for i := range packets {
		raw, err := flow.Build(flow.Segment{From: callerOf(i * 7919 % n), To: addressOf[streamService], ACK: true, Seq: 2, Ack: 10, Window: 9})
		if err != nil {
			b.Fatal(err)
		}
		packets[i] = &flow.Packet{}
		packets[i].Parse(raw)
	}
	return packets
}

// BenchmarkPacket measures handling a packet of an established flow. A lookup of the same keys in a plain
// Go map is the baseline.
func BenchmarkPacket(b *testing.B) {
	for _, n := range []int{2_000, 200_000} {
		packets := benchPackets(b, n)
		b.Run(fmt.Sprintf("table/flows=%d", n), func(b *testing.B) {
			table, h, i := filledTable(b, n), benchHeader(), 0
			for b.Loop() {
				i++
				if actions := table.FromFabric(time.Second, h, packets[i%len(packets)]); actions[0].Kind != flowtable.Deliver {
					b.Fatal("a packet was not delivered")
				}
			}
		})
		b.Run(fmt.Sprintf("map/flows=%d", n), func(b *testing.B) {
			flows, i, found := map[flow.Key]int{}, 0, 0
			for f := range n {
				flows[flow.Key{Caller: callerOf(f), Service: addressOf[streamService]}] = f
			}
			for b.Loop() {
				i++
				if _, ok := flows[packets[i%len(packets)].Key]; ok {
					found++
				}
			}
			if found == 0 {
				b.Fatal("no flow was found")
			}
		})
	}
}
