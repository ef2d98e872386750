package agent

import (
	"context"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/fabric"
)

// batchesPerPort bounds the batches between a reader and the owner of the flow table. When all are
// full, packets wait in the socket buffer, and the kernel drops what does not fit.
const batchesPerPort = 8

// batch is a buffer for the datagrams of one read.
type batch struct {
	datagrams []fabric.Datagram
	n         int
}

// port passes batches from a reader to the owner, and empty ones back.
type port struct {
	full, empty chan *batch
}

func newPort() port {
	p := port{full: make(chan *batch, batchesPerPort), empty: make(chan *batch, batchesPerPort)}
	for range batchesPerPort {
		b := &batch{datagrams: make([]fabric.Datagram, fabric.BatchSize)}
		for i := range b.datagrams {
			// One byte more than the largest datagram shows that a datagram is too long.
			b.datagrams[i].Data = make([]byte, 0, encap.MaxDatagramBytes+1)
		}
		p.empty <- b
	}
	return p
}

// read reads batches until ctx is done.
func (p *port) read(ctx context.Context, conn fabric.Conn) error {
	for {
		var b *batch
		select {
		case <-ctx.Done():
			return nil
		case b = <-p.empty:
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
		case p.full <- b:
		}
	}
}
