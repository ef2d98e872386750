package relay

import (
	"bytes"
	"context"
	"net/netip"
	"time"

	"github.com/greengagelock/greengagelock/internal/checkpoint"
	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/hop"
)

const (
	// reportInterval is the time between two reports of the open flows to controllers, if they have changed, and
	// reportRefreshInterval that between two reports of the same flows.
	reportInterval        = 250 * time.Millisecond
	reportRefreshInterval = 5 * time.Second
	// reportBytesPerSecond bounds the reports of many flows, to all controllers together.
	reportBytesPerSecond = 16 << 10
)

// flowReport is the last report of the open flows.
type flowReport struct {
	target checkpoint.Target
	packed []byte
	sentAt time.Duration
	number uint32
}

// reportFlows reports the open flows of the target to controllers until ctx is done.
func (p *Process) reportFlows(ctx context.Context) {
	if !p.cfg.ReportFlows {
		return
	}
	var last flowReport
	for pause := reportInterval; ctxtime.Sleep(ctx, pause); {
		pause = max(reportInterval, p.reportOnce(&last))
	}
}

// reportOnce reports the open flows if they have changed or the last report is too old. It returns the time for which
// the bytes sent take up the limit.
func (p *Process) reportOnce(last *flowReport) time.Duration {
	var target checkpoint.Target
	var flows []checkpoint.Flow
	p.withLock(func(time.Duration) { target, flows = p.relay.ReportedFlows() })
	packed, now := checkpoint.Pack(flows), p.now()
	unchanged := target == last.target && bytes.Equal(packed, last.packed)
	if target.ID == "" || (unchanged && now-last.sentAt < reportRefreshInterval) {
		return 0
	}
	*last = flowReport{target: target, packed: packed, sentAt: now, number: last.number + 1}
	controllers := p.controllers.Nearest(p.cfg.IP, checkpoint.Copies)
	for _, part := range checkpoint.Split(checkpoint.Part{Process: p.incarnation, Target: target, Number: last.number}, packed) {
		for _, controller := range controllers {
			p.sendToController(controller, part.Encode)
		}
	}
	return time.Duration(len(packed)*len(controllers)) * time.Second / reportBytesPerSecond
}

// handleEarlierFlows handles the answer of a controller to a request for the flows of earlier processes.
func (p *Process) handleEarlierFlows(from hop.IP, b []byte) {
	part, _, err := checkpoint.Decode(b)
	if err != nil || part == nil {
		p.tel.Logger.Debug().Str("from", netip.AddrFrom4(from).String()).Err(err).Msg("malformed list of flows dropped")
		return
	}
	p.withLock(func(now time.Duration) { p.relay.RecordEarlierFlows(now, from, part) })
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
