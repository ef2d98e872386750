package relay

import (
	"context"
	"net/netip"
	"time"

	"github.com/greengagelock/greengagelock/internal/checkpoint"
	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/hop"
)

const (
	// reportInterval is the time between two reports of the open flows to controllers.
	reportInterval = 250 * time.Millisecond
	// reportBytesPerSecond bounds the reports of many flows, to all controllers together.
	reportBytesPerSecond = 16 << 10
)

// reportFlows reports the open flows of the target to controllers until ctx is done.
func (p *Process) reportFlows(ctx context.Context) {
	if !p.cfg.ReportFlows {
		return
	}
	for pause := reportInterval; ctxtime.Sleep(ctx, pause); {
		pause = max(reportInterval, p.reportOnce())
	}
}

// reportOnce reports what has changed in the open flows. It returns the time for which the bytes sent take up the
// limit.
func (p *Process) reportOnce() time.Duration {
	controllers := p.controllers.Nearest(p.cfg.IP, checkpoint.Copies)
	var reports []checkpoint.Report
	p.withLock(func(now time.Duration) {
		target, flows := p.relay.ReportedFlows()
		if target.ID != "" {
			reports = p.reporter.Reports(now, target, flows, controllers)
		}
	})
	size := 0
	for i := range reports {
		part := &reports[i].Part
		p.sendToController(reports[i].To, part.Encode)
		size += len(part.Packed) + len(part.Closed)
	}
	return time.Duration(size) * time.Second / reportBytesPerSecond
}

// handleCheckpointDatagram handles a message of a controller: flows of earlier processes, or that it lacks a report.
func (p *Process) handleCheckpointDatagram(from hop.IP, b []byte) {
	message, err := checkpoint.Decode(b)
	switch m := message.(type) {
	case *checkpoint.Part:
		p.withLock(func(now time.Duration) { p.relay.RecordEarlierFlows(now, from, m) })
	case *checkpoint.Resync:
		if m.Process == p.incarnation {
			p.withLock(func(time.Duration) { p.reporter.Resync(from) })
		}
	default:
		p.tel.Logger.Debug().Str("from", netip.AddrFrom4(from).String()).Err(err).Msg("unexpected flow checkpoint message dropped")
	}
}

// sendToController sends a message that encode returns.
func (p *Process) sendToController(to hop.IP, encode func() ([]byte, error)) {
	datagram, err := encode()
	if err != nil {
		p.tel.Logger.Error().Err(err).Msg("encoding a message to a controller failed")
		return
	}
	p.nodes.ToNode(to, datagram)
}
