package confstore

import (
	"context"
	"net/netip"
	"time"

	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/decision"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/roster"
)

const (
	// expireInterval is the time between two looks for leases that have ended.
	expireInterval = 200 * time.Millisecond
	// tellDelay collects changes of the list before it is sent to all entry VMs.
	tellDelay = 15 * time.Millisecond
)

// serveAnnouncements answers the announcements of all processes.
func (c *Controller) serveAnnouncements(ctx context.Context) error {
	return packet.Receive(ctx, c.udp, c.tel.Logger, func(from netip.AddrPort, b []byte) {
		a, err := roster.DecodeAnnouncement(b)
		addr, ok := packet.AddrOf(from)
		if err != nil || !ok {
			c.tel.Logger.Debug().Str("from", from.String()).Err(err).Msg("a datagram was no announcement")
			return
		}
		c.answer(from, addr.IP, a)
	})
}

func (c *Controller) answer(to netip.AddrPort, from hop.IP, a *roster.Announcement) {
	base := c.baseAnswer()
	c.mu.Lock()
	changed := c.registry.Announce(time.Since(c.start), from, a)
	if a.Role == roster.RoleRelay && a.Target != nil {
		base.Previous = c.incarnations.note(from, a.Process, a.Target.ID)
		if a.Gone {
			c.incarnations.leave(from)
		}
	}
	answers := c.registry.Answers(base, a.Role, a.Digest, a.Loads)
	c.mu.Unlock()
	for i := range answers {
		c.sendAnswer(to, &answers[i])
	}
	if changed {
		t := a.Target
		c.tel.Logger.Info().Str("target", t.ID).Str("relay", a.Name).Str("state", t.State.String()).
			Bool("cold", t.Cold).Msg("a target changed")
		c.listChanged()
	}
}

// listChanged lets the entry VMs be told of the list soon.
func (c *Controller) listChanged() {
	select {
	case c.tell <- struct{}{}:
	default:
	}
}

// tellChanges sends the list to the entry VMs after it has changed.
func (c *Controller) tellChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.tell:
		}
		ctxtime.Sleep(ctx, tellDelay)
		c.tellEntries()
	}
}

func (c *Controller) baseAnswer() roster.Answer {
	return roster.Answer{
		Version: c.state.version(), Current: c.Current(), Controllers: c.addresses(), Fresh: c.fresh(),
	}
}

// fresh reports whether the list may lack relays that run and have not announced themselves yet.
func (c *Controller) fresh() bool {
	return time.Since(c.start) < roster.Lease && !c.incarnations.complete()
}

func (c *Controller) sendAnswer(to netip.AddrPort, a *roster.Answer) {
	datagram, err := a.Encode()
	if err != nil {
		c.tel.Logger.Error().Err(err).Msg("an answer could not be encoded")
		return
	}
	packet.Send(c.udp, to, datagram, c.tel.Logger)
}

// expire forgets processes that do not announce themselves any more.
func (c *Controller) expire(ctx context.Context) {
	for ctxtime.Sleep(ctx, expireInterval) {
		c.mu.Lock()
		expired := c.registry.Expire(time.Since(c.start))
		c.mu.Unlock()
		for i := range expired {
			c.incarnations.leave(expired[i].Target.Relay)
			c.tel.Logger.Info().Str("relay", expired[i].Name).Str("target", expired[i].Target.ID).Str("state", expired[i].Target.State.String()).
				Msg("a target's relay stopped announcing itself")
		}
		if len(expired) > 0 {
			c.listChanged()
		}
	}
}

// tellEntries sends what has changed in the list to all entry VMs.
func (c *Controller) tellEntries() {
	base := c.baseAnswer()
	c.mu.Lock()
	entries := c.registry.Nodes(roster.RoleEntry)
	answers := c.registry.Change(base)
	c.mu.Unlock()
	for _, ip := range entries {
		for i := range answers {
			c.sendAnswer(netip.AddrPortFrom(netip.AddrFrom4(ip), c.cfg.Port), &answers[i])
		}
	}
}

// committed tells all entry VMs that a configuration was committed. One that is replayed at the start is
// not logged again, since the time of the line tells when it was committed.
func (c *Controller) committed(version uint64, replayed bool) {
	if !replayed {
		c.tel.Logger.Info().Uint64("version", version).Msg(decision.ConfigCommitted)
	}
	base := c.baseAnswer()
	c.mu.Lock()
	entries := c.registry.Nodes(roster.RoleEntry)
	_, base.Digest = c.registry.Targets()
	c.mu.Unlock()
	for _, ip := range entries {
		c.sendAnswer(netip.AddrPortFrom(netip.AddrFrom4(ip), c.cfg.Port), &base)
	}
}
