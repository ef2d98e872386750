package confstore

import (
	"context"
	"net/netip"
	"time"

	"github.com/greengagelock/greengagelock/internal/checkpoint"
	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/decision"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/roster"
)

const (
	// expireInterval is the time between two checks for expired leases.
	expireInterval = 200 * time.Millisecond
	// minCallInterval is the time between two calls of the processes that have not announced themselves since the start,
	// if they are few; callCost is the part of that time for each of them, which bounds the calls to 40,000 a second.
	minCallInterval = 20 * time.Millisecond
	callCost        = 25 * time.Microsecond
	// listUpdateDelay is how long changes of the list are collected before they are sent to entry VMs. After a burst it
	// grows with the changed targets, by listUpdateCost for each, so that changes of the next burst are merged and leave
	// half of a link of 2 Mbit/s free.
	listUpdateDelay = 15 * time.Millisecond
	listUpdateCost  = 500 * time.Microsecond
)

// serveAnnouncements receives and answers the announcements of all processes, and the flows that relays report and
// request, until ctx is done.
func (c *Controller) serveAnnouncements(ctx context.Context) error {
	return packet.Receive(ctx, c.udp, c.tel.Logger, func(from netip.AddrPort, b []byte) {
		addr, ok := packet.AddrOf(from)
		if !ok {
			return
		}
		if err := c.handleDatagram(from, addr.IP, b); err != nil {
			c.tel.Logger.Debug().Str("from", from.String()).Err(err).Msg("malformed datagram of a process dropped")
		}
	})
}

// handleDatagram handles a datagram of an entry VM or a relay, and answers it.
func (c *Controller) handleDatagram(to netip.AddrPort, from hop.IP, b []byte) error {
	if checkpoint.IsMessage(b) {
		return c.handleCheckpointDatagram(to, from, b)
	}
	if roster.IsEvacuationsHeld(b) {
		held, err := roster.DecodeEvacuationsHeld(b)
		if err == nil {
			c.mu.Lock()
			c.registry.ConfirmEvacuations(from, held)
			c.mu.Unlock()
		}
		return err
	}
	a, err := roster.DecodeAnnouncement(b)
	if err != nil {
		return err
	}
	c.handleAnnouncement(to, from, a)
	return nil
}

// handleCheckpointDatagram records a report of flows, or answers a request for them.
func (c *Controller) handleCheckpointDatagram(to netip.AddrPort, from hop.IP, b []byte) error {
	message, err := checkpoint.Decode(b)
	if err != nil {
		return err
	}
	switch m := message.(type) {
	case *checkpoint.Part:
		if c.flows.RecordPart(c.now(), from, m) {
			resync := checkpoint.Resync{Process: m.Process}
			return c.sendEncoded(to, resync.Encode)
		}
	case *checkpoint.Request:
		for _, p := range c.flows.Earlier(from, m.Process) {
			if err := c.sendEncoded(to, p.Encode); err != nil {
				return err
			}
		}
	}
	return nil
}

// sendEncoded sends the datagram that encode returns.
func (c *Controller) sendEncoded(to netip.AddrPort, encode func() ([]byte, error)) error {
	datagram, err := encode()
	if err != nil {
		return err
	}
	packet.Send(c.udp, to, datagram, c.tel.Logger)
	return nil
}

// handleAnnouncement records an announcement, answers it, and schedules an update of the entry VMs if the
// list of targets has changed.
func (c *Controller) handleAnnouncement(to netip.AddrPort, from hop.IP, a *roster.Announcement) {
	base := c.baseAnswer()
	c.mu.Lock()
	changed := c.registry.RecordAnnouncement(c.now(), from, a)
	if a.Role == roster.RoleRelay && a.Target != nil {
		base.Previous = c.incarnations.record(from, a.Process, a.Target.ID)
		if a.Gone {
			c.incarnations.markLeft(from)
		}
	}
	if a.Role == roster.RoleEntry {
		c.incarnations.recordEntry(from)
	}
	answers := c.registry.AnswersFor(c.now(), base, from, a)
	c.mu.Unlock()
	for i := range answers {
		c.sendAnswer(to, &answers[i])
	}
	c.sendEvacuationsIfLacking(from)
	if changed {
		line := c.tel.Logger.Info().Str("relay", a.Name)
		if t := a.Target; t != nil { // nil once an entry VM has taken the address of a relay
			line = line.Str("target", t.ID).Str("state", t.State.String()).Bool("cold", t.Cold)
		}
		line.Msg("a target changed")
		c.scheduleListUpdate()
	}
}

// callProcesses asks the processes that were running when this controller stopped to announce themselves. After a loss
// of power they know only their seeds, which may start later than this controller. It ends after a lease.
func (c *Controller) callProcesses(ctx context.Context) {
	pause := minCallInterval
	for c.now() < roster.Lease && ctxtime.Sleep(ctx, pause) {
		call := c.baseAnswer()
		call.Call = true
		processes := c.incarnations.notHeard()
		c.sendToAll(processes, &call)
		pause = max(minCallInterval, time.Duration(len(processes))*callCost)
	}
}

// scheduleListUpdate makes runListUpdates send the changes of the list to the entry VMs.
func (c *Controller) scheduleListUpdate() {
	select {
	case c.listDirty <- struct{}{}:
	default:
	}
}

// runListUpdates sends the changes of the list of targets to entry VMs until ctx is done.
func (c *Controller) runListUpdates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.listDirty:
		}
		ctxtime.Sleep(ctx, listUpdateDelay)
		ctxtime.Sleep(ctx, time.Duration(c.sendListUpdate())*listUpdateCost)
	}
}

// baseAnswer returns an answer without the list of targets.
func (c *Controller) baseAnswer() roster.Answer {
	return roster.Answer{
		Version: c.state.version(), Current: c.IsCurrent(), Controllers: c.controllerIPs(), Fresh: c.listMayBeIncomplete(),
	}
}

// listMayBeIncomplete reports whether the list may lack running relays: the controller has run for less than
// a lease, and some relays have not announced themselves to it since.
func (c *Controller) listMayBeIncomplete() bool {
	return c.now() < roster.Lease && !c.incarnations.allHeard()
}

func (c *Controller) sendAnswer(to netip.AddrPort, a *roster.Answer) {
	if err := c.sendEncoded(to, a.Encode); err != nil {
		c.tel.Logger.Error().Err(err).Msg("cannot encode an answer")
	}
}

// expireLeases removes processes whose lease has expired, because they stopped announcing themselves. Time in which this
// process did not run does not count: announcements that arrived in it have not been read.
func (c *Controller) expireLeases(ctx context.Context) {
	for ctxtime.Sleep(ctx, expireInterval) {
		now := c.now()
		c.mu.Lock()
		c.registry.ExtendAfterPause(now)
		expired := c.registry.Expire(now)
		c.mu.Unlock()
		for _, e := range expired {
			c.incarnations.markLeft(e.IP)
			if e.Target == nil {
				c.tel.Logger.Info().Str("entry", e.Name).Msg("an entry VM stopped announcing itself")
				continue
			}
			c.tel.Logger.Info().Str("relay", e.Name).Str("target", e.Target.ID).Str("state", e.Target.State.String()).
				Msg("a target's relay stopped announcing itself")
			c.scheduleListUpdate()
		}
	}
}

// sendListUpdate sends the changes of the list since the last update to the entry VMs that have asked for them. It
// returns the number of changed targets.
func (c *Controller) sendListUpdate() int {
	base := c.baseAnswer()
	base.Controllers = nil
	c.mu.Lock()
	entries := c.registry.PushedEntries()
	answers, changed := c.registry.PushAnswers(base)
	c.mu.Unlock()
	for i := range answers {
		c.sendToAll(entries, &answers[i])
	}
	return changed
}

// sendToAll sends an answer to several processes.
func (c *Controller) sendToAll(processes []hop.IP, a *roster.Answer) {
	c.sendEncodedToAll(processes, a.Encode)
}

// sendEncodedToAll sends the datagram that encode returns to several processes.
func (c *Controller) sendEncodedToAll(processes []hop.IP, encode func() ([]byte, error)) {
	datagram, err := encode()
	if err != nil {
		c.tel.Logger.Error().Err(err).Msg("cannot encode a message to processes")
		return
	}
	for _, ip := range processes {
		packet.Send(c.udp, netip.AddrPortFrom(netip.AddrFrom4(ip), c.cfg.Port), datagram, c.tel.Logger)
	}
}

// notifyCommit tells all entry VMs the version of a committed configuration. A configuration that is replayed
// at the start is not logged again: the time of the log line is the time of the commit.
func (c *Controller) notifyCommit(version uint64, replayed bool) {
	if !replayed {
		c.tel.Logger.Info().Uint64("version", version).Msg(decision.ConfigCommitted)
	}
	base := c.baseAnswer()
	c.mu.Lock()
	entries := c.registry.Entries()
	c.mu.Unlock()
	c.sendToAll(entries, &base)
}
