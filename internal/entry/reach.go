package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/roster"
)

// Relays answer queries, so that a zone whose relays run and do not answer is out of reach: it is cut off, or nothing gets
// out of it. Two conclusions follow.
//
// An entry VM that reaches no other zone, while relays of its own answer, is not ready. It could admit flows for its own
// zone only, and would lose the packets of all others; callers are better off with the entry VMs of other zones. The loss
// of one other zone does not look like that, and that of several is beyond what deployments are built for.
//
// New flows are offered to targets in a silent zone after all others: if packets get in but not out, the target accepts a
// flow and its caller never hears of it.

const (
	// ReachInterval is the time between two calls of CheckReach.
	ReachInterval = 100 * time.Millisecond
	// quietTime is the time without a datagram from a zone after which a relay there is probed in every round.
	quietTime = 200 * time.Millisecond
	// silentRounds is the number of rounds of probes without an answer after which a zone counts as silent, so that a few
	// lost datagrams do not look like a cut.
	silentRounds = 3
	// minOtherZones is the number of other zones that must be silent for this one to count as cut off.
	minOtherZones = 2
)

// reach tracks which availability zones answer.
type reach struct {
	zones  map[string]*zoneReach // those that were heard once
	rounds uint64                // rotates the probed relays
	cutOff bool
}

// zoneReach is what is known of a zone.
type zoneReach struct {
	heard  time.Duration // last datagram of a relay there
	rounds int           // of probes since then
}

func (z *zoneReach) silent() bool { return z != nil && z.rounds > silentRounds }

// record records a datagram from a relay in a zone.
func (r *reach) record(now time.Duration, zone string) {
	z := r.zones[zone]
	if z == nil {
		z = &zoneReach{}
		r.zones[zone] = z
	}
	*z = zoneReach{heard: now}
}

// CutOff reports whether no relay outside the availability zone answers, while those inside do.
func (e *Entry) CutOff() bool { return e.reach.cutOff }

// recordReach records where a datagram came from.
func (e *Entry) recordReach(now time.Duration, from hop.IP) {
	if k := e.View.Get(from); k != nil {
		e.reach.record(now, k.Zone)
		e.reach.cutOff = e.reach.cutOff && k.Zone == e.cfg.Zone // back with the first reply
	}
}

// CheckReach probes a relay in each zone that was not heard for quietTime. It is called every ReachInterval, so that a
// longer time between two calls shows that the process was paused.
func (e *Entry) CheckReach(now time.Duration) {
	e.refreshesAfterPause(now)
	e.lastCheck = now
	r := &e.reach
	r.rounds++
	var relays map[string]hop.IP
	silent, answering, insideAnswers := 0, 0, false
	for zone, z := range r.zones {
		runs := true
		if now-z.heard >= quietTime {
			if relays == nil {
				relays = e.relayOfEachZone()
			}
			runs = e.probeZone(z, relays[zone])
		}
		switch {
		case zone == e.cfg.Zone:
			insideAnswers = runs && z.rounds <= 1 // one reply may be under way
		case !runs:
		case z.silent():
			silent++
			e.suspectZone(now, zone)
		default:
			answering++
		}
	}
	r.cutOff = insideAnswers && answering == 0 && silent >= minOtherZones
}

// probeZone sends a query for no flow to a relay in a quiet zone. Its reply shows that the relay is reached and that it
// reaches this VM. It returns false if no relay runs there, whose address is then zero.
func (e *Entry) probeZone(z *zoneReach, relay hop.IP) (runs bool) {
	if relay == (hop.IP{}) {
		z.rounds = 0
		return false
	}
	z.rounds++
	e.Stats.ReachProbes++
	e.sendMessage(relay, &hop.Message{Kind: hop.OwnerQuery})
	return true
}

// relayOfEachZone returns a running relay of each zone, usually another one in each round.
func (e *Entry) relayOfEachZone() map[string]hop.IP {
	chosen, ranks := map[string]hop.IP{}, map[string]uint64{}
	e.View.Each(func(k *roster.KnownTarget) {
		if k.Lost || k.State == roster.Down {
			return
		}
		rank := xxhash.Sum64(append(k.Relay[:], byte(e.reach.rounds)))
		if _, known := chosen[k.Zone]; !known || rank > ranks[k.Zone] {
			chosen[k.Zone], ranks[k.Zone] = k.Relay, rank
		}
	})
	return chosen
}

// suspectZone makes the targets of a zone the last choice for new flows.
func (e *Entry) suspectZone(now time.Duration, zone string) {
	e.View.Each(func(k *roster.KnownTarget) {
		if k.Zone == zone {
			e.picker.Suspect(now, k.Relay)
		}
	})
}
