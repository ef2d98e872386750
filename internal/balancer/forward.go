package balancer

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/fabric"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/placement"
)

// Layout of a packet buffer: room for the header, then for a packet. The packet part is larger than
// flow.MaxPacketBytes so that oversized packets are noticed rather than cut.
const (
	headroom    = encap.MaxHeaderBytes
	bufferBytes = 2048
)

// batch holds the buffers of one batched read and write.
type batch struct {
	buffers [fabric.BatchSize][]byte
	in      [fabric.BatchSize]fabric.Datagram
	out     []fabric.Datagram
}

func newBatch() *batch {
	b := &batch{out: make([]fabric.Datagram, 0, fabric.BatchSize)}
	for i := range b.buffers {
		b.buffers[i] = make([]byte, bufferBytes)
	}
	return b
}

// prepare points the read buffers behind the headroom.
func (b *batch) prepare() {
	for i := range b.in {
		b.in[i].Data = b.buffers[i][headroom:headroom]
	}
	b.out = b.out[:0]
}

// batchCount is the number of batches between reading and writing. Four keep both sides busy when
// one of them is not scheduled for a moment.
const batchCount = 4

// pipeline passes batches from the reading to the writing goroutine and back. Both channels have
// room for every batch, so only a lack of batches blocks, and that only the reader.
type pipeline struct {
	free, filled chan *batch
}

func newPipeline() *pipeline {
	p := &pipeline{free: make(chan *batch, batchCount), filled: make(chan *batch, batchCount)}
	for range batchCount {
		p.free <- newBatch()
	}
	return p
}

// forward reads packets from the fabric and decides on them. It closes the channel of filled
// batches at its end.
func (b *Balancer) forward(ctx context.Context, p *pipeline) error {
	defer close(p.filled)
	var failed readErrors
	for {
		buffers := <-p.free
		buffers.prepare()
		n, err := b.cfg.Ingress.ReadBatch(buffers.in[:])
		if n > 0 {
			failed = 0
			b.takeHints()
			b.decideBatch(buffers, n)
		}
		p.filled <- buffers
		if err == nil {
			continue
		}
		b.metrics.ReadErrors.Inc()
		if ended, err := failed.ended(ctx, err); ended {
			return err
		}
	}
}

// write sends the filled batches to agents until their channel is closed.
func (b *Balancer) write(p *pipeline) {
	for buffers := range p.filled {
		b.writeAll(buffers.out)
		p.free <- buffers
	}
}

// decideBatch puts the datagrams for the first n packets of a batch into its output.
func (b *Balancer) decideBatch(buffers *batch, n int) {
	table := b.table.Load()
	age := b.currentControlAge()
	syns, hinted, bytes := 0, 0, 0
	for i := range n {
		buf := buffers.buffers[i][:headroom+len(buffers.in[i].Data)]
		d := b.decider.Decide(table, buf, headroom, age)
		if d.Drop != flow.DropNone {
			b.metrics.drop(d.Drop)
			continue
		}
		if d.SYN {
			syns++
			b.trace(&d, buf[headroom:], table)
		}
		if d.Hinted {
			hinted++
		}
		bytes += len(d.Datagram)
		buffers.out = append(buffers.out, fabric.Datagram{Data: d.Datagram, Addr: d.To})
	}
	b.metrics.SYNs.Add(float64(syns))
	b.metrics.Hinted.Add(float64(hinted))
	b.metrics.Bytes.Add(float64(bytes))
}

// writeAll sends datagrams. One that the socket does not take is dropped, and the rest is still
// sent.
func (b *Balancer) writeAll(out []fabric.Datagram) {
	sent := 0
	for len(out) > 0 {
		n, err := b.cfg.Egress.WriteBatch(out)
		sent += n
		out = out[n:]
		if (err != nil || n == 0) && len(out) > 0 {
			b.metrics.drop(DropWrite)
			out = out[1:]
		}
	}
	b.metrics.Packets.Add(float64(sent))
}

func (b *Balancer) currentControlAge() uint8 {
	age := b.controlAge.Load()
	if age == nil {
		return encap.MaxControlAge
	}
	return ControlAge((*age)())
}

// trace records the span of a sampled SYN.
func (b *Balancer) trace(d *Decision, packet []byte, table *placement.Table) {
	if !flow.Sampled(d.Hash, b.cfg.SampleOneIn) {
		return
	}
	key := flow.KeyOf(packet)
	service := table.Lookup(key.Service)
	ctx := trace.ContextWithRemoteSpanContext(context.Background(), flow.SpanContext(key, d.ISN))
	_, span := b.telemetry.Tracer.Start(ctx, "balancer.forward", trace.WithSpanKind(trace.SpanKindProducer),
		trace.WithAttributes(
			attribute.String("node", b.cfg.Name),
			attribute.String("flow", key.String()),
			attribute.Int64("service", int64(service.ID)),
			attribute.Int64("generation", int64(service.Generation)),
			attribute.Int("bucket", int(placement.BucketOf(d.Hash))),
			attribute.Int("hops", 0),
			attribute.String("agent", d.To.String()),
			attribute.Bool("hinted", d.Hinted),
			attribute.String("outcome", "forwarded"),
		))
	span.End()
}

// takeHints applies the hints that have arrived since the last batch.
func (b *Balancer) takeHints() {
	for range len(b.hints) {
		b.decider.AddHint(<-b.hints)
	}
}

// readHints reads hints from agents and queues them for the forwarding goroutine.
func (b *Balancer) readHints(ctx context.Context) error {
	var in [fabric.BatchSize]fabric.Datagram
	for i := range in {
		in[i].Data = make([]byte, 0, encap.HintBytes+1)
	}
	var failed readErrors
	for {
		n, err := b.cfg.Egress.ReadBatch(in[:])
		for i := range n {
			failed = 0
			b.queueHint(in[i].Data)
		}
		if err == nil {
			continue
		}
		b.metrics.ReadErrors.Inc()
		if ended, err := failed.ended(ctx, err); ended {
			return err
		}
	}
}

// queueHint decodes a hint and hands it to the forwarding goroutine.
func (b *Balancer) queueHint(datagram []byte) {
	var hint encap.Hint
	if drop := hint.Decode(datagram, &b.cfg.FleetKey); drop != flow.DropNone {
		b.metrics.drop(drop)
		return
	}
	b.metrics.Hints.Inc()
	select {
	case b.hints <- hint:
	default:
		b.metrics.drop(DropHintQueue)
	}
}
