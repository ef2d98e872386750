package balancer

import (
	"net/netip"
	"testing"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/greengagelock/greengagelock/internal/fabric"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

// unusedConn is a connection that is neither read nor written.
type unusedConn struct{ fabric.Conn }

var benchAddr = netip.MustParseAddrPort("127.0.0.1:7000")

func (unusedConn) LocalAddr() netip.AddrPort { return benchAddr }

// synBatches returns SYNs of so many flows that sampling 1 in 1000 selects some.
func synBatches(b *testing.B, to netip.AddrPort) [][][]byte {
	batches := make([][][]byte, 1<<14/fabric.BatchSize)
	for i := range batches {
		for j := range fabric.BatchSize {
			n := i*fabric.BatchSize + j
			from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 8, byte(n >> 8), byte(n)}), 40000)
			syn, err := flow.Build(flow.Segment{From: from, To: to, SYN: true, Seq: 100, Window: 1000})
			if err != nil {
				b.Fatal(err)
			}
			batches[i] = append(batches[i], syn)
		}
	}
	return batches
}

// BenchmarkSYN measures the time of a balancer per SYN at several sampling rates, also as a multiple of the
// time without sampling. The time in sockets is not included.
func BenchmarkSYN(b *testing.B) {
	service := netip.MustParseAddrPort("10.9.0.1:443")
	batches := synBatches(b, service)
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
			balancer, err := New(Config{Name: "b1", Ingress: unusedConn{}, Egress: unusedConn{}, SampleOneIn: rate.oneIn}, handle)
			if err != nil {
				b.Fatal(err)
			}
			v := model.NewView()
			v.Generation = 1
			v.Services[3] = model.Service{ID: 3, Generation: 1, Address: service}
			v.Targets[5] = model.Target{ID: 5, Service: 3, Agent: benchAddr}
			balancer.ApplyView(v)
			buffers := newBatch()
			next := 0
			for b.Loop() {
				buffers.reset()
				for i, syn := range batches[next%len(batches)] {
					buffers.in[i].Data = append(buffers.in[i].Data, syn...)
				}
				balancer.decideBatch(buffers, fabric.BatchSize)
				next++
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
