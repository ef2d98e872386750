package agent

import (
	"net/netip"
	"testing"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/fabric"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

// discardConn is a packet connection that counts and discards sent datagrams and receives none.
type discardConn struct{ sent int }

var (
	benchAddr    = netip.MustParseAddrPort("127.0.0.1:7000")
	benchService = netip.MustParseAddrPort("10.9.0.1:443")
)

func (s *discardConn) ReadBatch([]fabric.Datagram) (int, error) { return 0, nil }
func (s *discardConn) LocalAddr() netip.AddrPort                { return benchAddr }
func (s *discardConn) Close() error                             { return nil }

func (s *discardConn) WriteBatch(batch []fabric.Datagram) (int, error) {
	s.sent += len(batch)
	return len(batch), nil
}

// benchFlows is a multiple of the batch size, and large enough that sampling 1 in 1000 selects some flows.
const benchFlows = 1 << 14

// benchBatches returns encapsulated SYNs of benchFlows flows in full batches.
func benchBatches(b *testing.B, key *encap.Key) []*batch {
	header := encap.Header{Service: 3, Generation: 7, Count: 1, BestWait: encap.NoBestWait, Ingress: benchAddr}
	header.Candidates[0] = encap.Candidate{Agent: benchAddr, Target: 5}
	var batches []*batch
	for i := range benchFlows {
		if i%fabric.BatchSize == 0 {
			batches = append(batches, &batch{datagrams: make([]fabric.Datagram, fabric.BatchSize), n: fabric.BatchSize})
		}
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 8, byte(i >> 8), byte(i)}), 40000)
		syn, err := flow.Build(flow.Segment{From: from, To: benchService, SYN: true, Seq: 100, Window: 1000})
		if err != nil {
			b.Fatal(err)
		}
		batches[len(batches)-1].datagrams[i%fabric.BatchSize].Data = header.Append(nil, key, syn)
	}
	return batches
}

// BenchmarkSYN measures the time of an agent per refused SYN at several sampling rates, also as a multiple
// of the time without sampling. SYNs are refused so that the flow table stays empty.
func BenchmarkSYN(b *testing.B) {
	key := encap.Key{1, 2, 3}
	batches := benchBatches(b, &key)
	base := 0.0
	for _, rate := range []struct {
		name  string
		oneIn uint64
	}{{"warmup", 0}, {"off", 0}, {"0.001", 1000}, {"1", 1}} {
		b.Run(rate.name, func(b *testing.B) {
			handle := telemetry.Discard()
			provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(tracetest.NewNoopExporter()))
			b.Cleanup(func() { _ = provider.Shutdown(b.Context()) })
			handle.Tracer = provider.Tracer("bench")
			refusals := &discardConn{}
			a, err := New(Config{
				Name: "agent-1", VM: "vm-1", FleetKey: key, Data: &discardConn{}, Target: &discardConn{}, Outbound: refusals,
				Services: []string{"execution"}, Slots: 1, MaxConns: 10, SampleOneIn: rate.oneIn,
			}, handle)
			if err != nil {
				b.Fatal(err)
			}
			v := model.NewView()
			v.Generation = 7
			v.Services[3] = model.Service{ID: 3, Generation: 7, Name: "execution", Address: benchService, Class: model.ClassRequest, MaxQueueWait: time.Second}
			v.Targets[5] = model.Target{ID: 5, VM: "vm-1", Service: 3, Agent: benchAddr, Slots: 1, MaxConns: 10, State: model.TargetDraining}
			a.applyView(v)
			next := 0
			for b.Loop() {
				a.handleData(batches[next%len(batches)])
				next++
			}
			if want := next * fabric.BatchSize; refusals.sent != want {
				b.Fatalf("%d SYNs refused, want %d", refusals.sent, want)
			}
			perSYN := float64(b.Elapsed().Nanoseconds()) / float64(b.N) / fabric.BatchSize
			if rate.name == "off" {
				base = perSYN
			}
			b.ReportMetric(perSYN, "ns/SYN")
			if base > 0 {
				b.ReportMetric(perSYN/base, "x-off")
			}
		})
	}
}
