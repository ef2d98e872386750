package agent

import (
	"context"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/fabric"
)

// batchesPerQueue is the number of batches between a reading goroutine and the one that owns the flow
// table. When all are filled, packets wait in the socket buffer, and the kernel drops those that do not fit.
const batchesPerQueue = 8

// batch holds the datagrams of one read, of which the first n are filled.
type batch struct {
	datagrams []fabric.Datagram
	n         int
}

// batchQueue passes filled batches from a reading goroutine to the one that owns the flow table, and free
// batches back.
type batchQueue struct {
	filled, free chan *batch
}

func newBatchQueue() batchQueue {
	q := batchQueue{filled: make(chan *batch, batchesPerQueue), free: make(chan *batch, batchesPerQueue)}
	for range batchesPerQueue {
		b := &batch{datagrams: make([]fabric.Datagram, fabric.BatchSize)}
		for i := range b.datagrams {
			// The extra byte lets Decode detect datagrams that exceed the limit.
			b.datagrams[i].Data = make([]byte, 0, encap.MaxDatagramBytes+1)
		}
		q.free <- b
	}
	return q
}

// read fills batches from conn until ctx is done or a read fails.
func (q *batchQueue) read(ctx context.Context, conn fabric.Conn) error {
	for {
		var b *batch
		select {
		case <-ctx.Done():
			return nil
		case b = <-q.free:
		}
		n, err := conn.ReadBatch(b.datagrams)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		b.n = n
		select {
		case <-ctx.Done():
			return nil
		case q.filled <- b:
		}
	}
}
