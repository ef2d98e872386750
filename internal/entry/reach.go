package entry

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/roster"
)

// An entry VM whose availability zone is cut off admits flows for the targets of its own zone only, and its packets for
// flows of all other targets are lost. Callers are better off with the entry VMs of other zones, so it reports itself as
// not ready. It concludes that from relays: those of its own zone answer, and those of at least two other zones do not.
// The loss of one other zone never looks like that, and that of several is beyond what deployments are built for.

const (
	// ReachInterval is the time between two calls of CheckReach.
	ReachInterval = 100 * time.Millisecond
	// quietTime is the time without a datagram from outside the zone after which relays there are probed.
	quietTime = 200 * time.Millisecond
	// cutOffRounds is the number of rounds of probes without an answer after which the zone counts as cut off. Each round
	// probes a relay in every other zone, so that lost datagrams do not look like a cut.
	cutOffRounds = 3
	// minOtherZones is the number of other zones that must be silent.
	minOtherZones = 2
)

// reach tracks whether relays in other availability zones answer.
type reach struct {
	heardOutside time.Duration // last datagram of a relay in another zone
	heardInside  time.Duration // last datagram of a relay in the own zone
	everOutside  bool
	rounds       int // of probes since heardOutside
	firstRound   time.Duration
	next         int // rotates the probed relays
	cutOff       bool
}

// record records a datagram from a relay in a zone.
func (r *reach) record(now time.Duration, inside bool) {
	if inside {
		r.heardInside = now
		return
	}
	r.heardOutside, r.everOutside, r.rounds, r.cutOff = now, true, 0, false
}

// CutOff reports whether no relay outside the availability zone answers, while those inside do.
func (e *Entry) CutOff() bool { return e.reach.cutOff }

// recordReach records where a datagram came from.
func (e *Entry) recordReach(now time.Duration, from hop.IP) {
	if k := e.View.Get(from); k != nil {
		e.reach.record(now, k.Zone == e.cfg.Zone)
	}
}

// CheckReach probes relays in other zones if none has been heard for quietTime. It is called every ReachInterval.
func (e *Entry) CheckReach(now time.Duration) {
	e.refreshesAfterPause(now)
	e.lastCheck = now
	r := &e.reach
	if !r.everOutside || now-r.heardOutside < quietTime {
		return
	}
	inside, outside := e.relaysByZone()
	if len(outside) < minOtherZones {
		r.cutOff = false
		return
	}
	if r.rounds == 0 {
		r.firstRound = now
	}
	if r.rounds >= cutOffRounds && len(inside) > 0 && r.heardInside > r.firstRound {
		r.cutOff = true
	}
	r.rounds++
	r.next++
	for _, relays := range append(outside, inside) {
		if len(relays) > 0 {
			e.Stats.ReachProbes++
			// A query for no flow; its reply shows that the relay is reached and that it reaches this VM.
			e.sendMessage(relays[r.next%len(relays)], &hop.Message{Kind: hop.OwnerQuery})
		}
	}
}

// relaysByZone returns the relays of the own zone and those of each other zone whose relays run.
func (e *Entry) relaysByZone() (inside []hop.IP, outside [][]hop.IP) {
	zones := map[string]int{}
	for _, k := range e.View.All() {
		switch at, known := zones[k.Zone]; {
		case k.Lost || k.State == roster.Down:
		case k.Zone == e.cfg.Zone:
			inside = append(inside, k.Relay)
		case known:
			outside[at] = append(outside[at], k.Relay)
		default:
			zones[k.Zone] = len(outside)
			outside = append(outside, []hop.IP{k.Relay})
		}
	}
	return inside, outside
}
