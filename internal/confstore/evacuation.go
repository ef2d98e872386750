package confstore

import (
	"context"
	"maps"
	"slices"

	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/decision"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/rpc"
)

// zoneRecord is the replicated state of an availability zone that was evacuated once.
type zoneRecord struct {
	Evacuated bool
	// ChangedAt is the index of the entry that has changed Evacuated last, zero for none.
	ChangedAt uint64
}

// evacuationOrder evacuates or restores an availability zone. It is void if the zone has changed since Base, which was
// its ChangedAt when the operator's call arrived. A call that is delayed between controllers therefore does not undo a
// later one.
type evacuationOrder struct {
	Zone     string
	Evacuate bool
	Base     uint64
}

// applyZones applies the evacuations of a snapshot or an entry. It returns the new evacuations, nil if they stay.
func (s *stateMachine) applyZones(index uint64, change *committedChange) *roster.Evacuations {
	before := evacuationsOf(s.zones)
	if change.zones != nil {
		s.zones = change.zones
	}
	if o := change.evacuate; o != nil {
		if z := s.zones[o.Zone]; z.ChangedAt <= o.Base && z.Evacuated != o.Evacuate {
			s.zones[o.Zone] = zoneRecord{Evacuated: o.Evacuate, ChangedAt: index}
		}
	}
	after := evacuationsOf(s.zones)
	if after.Revision == before.Revision {
		return nil
	}
	return &after
}

// evacuationsOf returns the evacuated zones.
func evacuationsOf(zones map[string]zoneRecord) roster.Evacuations {
	e := roster.Evacuations{}
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		e.Revision = max(e.Revision, zones[name].ChangedAt)
		if zones[name].Evacuated {
			e.Zones = append(e.Zones, name)
		}
	}
	return e
}

// zone returns the record of a zone.
func (s *stateMachine) zone(name string) zoneRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.zones[name]
}

// protocolLevel returns the level that the log requires of its members.
func (s *stateMachine) protocolLevel() uint8 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.level
}

// evacuations returns the evacuated zones.
func (s *stateMachine) evacuations() roster.Evacuations {
	s.mu.Lock()
	defer s.mu.Unlock()
	return evacuationsOf(s.zones)
}

// SetEvacuated makes the evacuation of an availability zone, or its restoration, durable on a majority. An order that
// changes nothing is no error. It fails with ZoneNotFound if the settings name no such zone, and with UpgradePending
// while a member of the log would not understand the entry.
func (c *Controller) SetEvacuated(ctx context.Context, zone string, evacuate bool) error {
	if len(c.cfg.Zones) > 0 && !slices.Contains(c.cfg.Zones, zone) {
		return result.New(result.ZoneNotFound, "availability zone %q is not one of %q", zone, c.cfg.Zones)
	}
	ctx, cancel := context.WithTimeout(ctx, replaceTimeout)
	defer cancel()
	order := evacuationOrder{Zone: zone, Evacuate: evacuate, Base: c.state.zone(zone).ChangedAt}
	for {
		reply, err := c.evacuateOnce(ctx, &order)
		if err == nil && reply.Accepted {
			return nil
		}
		if err == nil {
			order.Base = reply.ChangedAt // this controller was behind, or another order came first
		} else if code := result.CodeOf(err); code != result.NotLeader && code != result.NoQuorum && code != result.UpgradePending {
			return err
		}
		if !ctxtime.Sleep(ctx, leaderRetryInterval) {
			if err == nil {
				err = result.New(result.OutcomeUnknown, "other orders for zone %q came first until the time was up", zone)
			}
			return err
		}
	}
}

// evacuateOnce commits an order if this controller is the leader, and otherwise forwards it to the leader.
func (c *Controller) evacuateOnce(ctx context.Context, order *evacuationOrder) (*EvacuateReply, error) {
	if c.log.Status().IsLeader {
		return c.commitEvacuation(ctx, order)
	}
	client, err := c.leaderClient()
	if err != nil {
		return nil, err
	}
	if below := c.leaderBelow(roster.LevelEvacuation); below != "" {
		return nil, result.New(result.UpgradePending, "the leader %s runs a build without evacuations", below)
	}
	request := EvacuateRequest{Zone: order.Zone, Evacuate: order.Evacuate, Base: order.Base}
	return rpc.Call[EvacuateReply](ctx, client, peerService+".Evacuate", &request)
}

// leaderBelow returns the name of the leader if it has not announced a protocol level, and "" otherwise.
func (c *Controller) leaderBelow(level uint8) string {
	if leader := c.log.Status().Leader; slices.Contains(c.membersBelow(level), leader) {
		return leader
	}
	return ""
}

// commitEvacuation commits an order to the log of this leader.
func (c *Controller) commitEvacuation(ctx context.Context, order *evacuationOrder) (*EvacuateReply, error) {
	if below := c.membersBelow(roster.LevelEvacuation); c.state.protocolLevel() < roster.LevelEvacuation && len(below) > 0 {
		return nil, result.New(result.UpgradePending, "zones can be evacuated once the controllers %q run a build that knows evacuations", below)
	}
	data, err := encodeLeveled(roster.LevelEvacuation, command{Evacuate: order})
	if err != nil {
		return nil, err
	}
	position, err := c.commit(ctx, data)
	if err != nil {
		return nil, err
	}
	z := c.state.zone(order.Zone)
	// If the zone has changed after the order, both were under way at the same time, and the later one counts.
	accepted := z.ChangedAt >= position.Index || z.Evacuated == order.Evacuate
	return &EvacuateReply{Accepted: accepted, ChangedAt: z.ChangedAt}, nil
}

// putEvacuationsInForce shows the targets of evacuated zones as not admitting, and sends the evacuations to all processes
// that understand them. What was committed before the start is not logged again.
func (c *Controller) putEvacuationsInForce(e roster.Evacuations, replayed bool) {
	if !replayed {
		c.tel.Logger.Info().Uint64("revision", e.Revision).Strs("zones", e.Zones).Msg(decision.EvacuationsCommitted)
	}
	c.mu.Lock()
	changed := c.registry.SetEvacuations(e)
	processes := c.registry.ProcessesWithoutEvacuations()
	c.mu.Unlock()
	if changed {
		c.scheduleListUpdate()
	}
	c.sendEncodedToAll(processes, e.Encode)
}

// sendEvacuationsIfLacking sends the evacuations to a process that has not confirmed the newest ones.
func (c *Controller) sendEvacuationsIfLacking(ip hop.IP) {
	c.mu.Lock()
	lacks, e := c.registry.LacksEvacuations(ip), *c.registry.Evacuations()
	c.mu.Unlock()
	if lacks {
		c.sendEncodedToAll([]hop.IP{ip}, e.Encode)
	}
}
