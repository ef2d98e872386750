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

// Layout of a packet buffer: headroom for the header, then the packet. The part for the packet is larger
// than flow.MaxPacketBytes, so that oversized packets are detected and not truncated.
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

// reset empties the batch and sets the read buffers to start after the headroom.
func (b *batch) reset() {
	for i := range b.in {
		b.in[i].Data = b.buffers[i][headroom:headroom]
	}
	b.out = b.out[:0]
}

// batchesInPipeline is the number of batches between reading and writing. With four, both goroutines stay
// busy if one of them is briefly not scheduled.
const batchesInPipeline = 4

// pipeline passes filled batches from the reading to the writing goroutine, and free ones back. Each channel
// can hold all batches, so sends never block. The reader blocks while no batch is free.
type pipeline struct {
	free, filled chan *batch
}

func newPipeline() *pipeline {
	p := &pipeline{free: make(chan *batch, batchesInPipeline), filled: make(chan *batch, batchesInPipeline)}
	for range batchesInPipeline {
		p.free <- newBatch()
	}
	return p
}

// readPackets reads packets of callers and encapsulates them. It closes the channel of filled batches when
// it returns.
func (b *Balancer) readPackets(ctx context.Context, p *pipeline) error {
	defer close(p.filled)
	var readErrors readErrorCount
	for {
		buffers := <-p.free
		buffers.reset()
		n, err := b.cfg.Ingress.ReadBatch(buffers.in[:])
		if n > 0 {
			readErrors = 0
			b.applyQueuedHints()
			b.decideBatch(buffers, n)
		}
		p.filled <- buffers
		if err == nil {
			continue
		}
		b.metrics.ReadErrors.Inc()
		if ended, err := readErrors.shouldStop(ctx, err); ended {
			return err
		}
	}
}

// writeBatches sends the filled batches to agents until their channel is closed.
func (b *Balancer) writeBatches(p *pipeline) {
	for buffers := range p.filled {
		b.writeDatagrams(buffers.out)
		p.free <- buffers
	}
}

// decideBatch encapsulates the first n packets of a batch and adds the datagrams to its output.
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
			b.recordSpan(&d, buf[headroom:], table)
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

// writeDatagrams sends datagrams. It drops a datagram that cannot be sent and continues with the rest.
func (b *Balancer) writeDatagrams(out []fabric.Datagram) {
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

// currentControlAge returns the control age for encap.Header, in encap.ControlAgeUnit.
func (b *Balancer) currentControlAge() uint8 {
	age := b.controlAge.Load()
	if age == nil {
		return encap.MaxControlAge
	}
	return EncodeControlAge((*age)())
}

// recordSpan records a span for a SYN if its flow is sampled.
func (b *Balancer) recordSpan(d *Decision, packet []byte, table *placement.Table) {
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

// applyQueuedHints adds the queued hints to the decider.
func (b *Balancer) applyQueuedHints() {
	for range len(b.hints) {
		b.decider.AddHint(<-b.hints)
	}
}

// readHints reads hints from agents and queues them for readPackets.
func (b *Balancer) readHints(ctx context.Context) error {
	var in [fabric.BatchSize]fabric.Datagram
	for i := range in {
		in[i].Data = make([]byte, 0, encap.HintBytes+1)
	}
	var readErrors readErrorCount
	for {
		n, err := b.cfg.Egress.ReadBatch(in[:])
		for i := range n {
			readErrors = 0
			b.queueHint(in[i].Data)
		}
		if err == nil {
			continue
		}
		b.metrics.ReadErrors.Inc()
		if ended, err := readErrors.shouldStop(ctx, err); ended {
			return err
		}
	}
}

// queueHint decodes a hint and queues it. If the queue is full, it drops the hint.
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
