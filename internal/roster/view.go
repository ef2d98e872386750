package roster

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/routing"
)

const (
	// lostTargetTTL is the time for which a target that no controller lists is still asked for its flows.
	// Flows that are idle for a minute may be discarded.
	lostTargetTTL = time.Minute
	// controllerTimeout is the time after which a controller without answers no longer counts: four
	// announcements.
	controllerTimeout = 4 * AnnounceInterval
	// lostCheckInterval is the time between two passes over all targets for lost ones.
	lostCheckInterval = AnnounceInterval
)

// KnownTarget is a target as an entry VM knows it.
type KnownTarget struct {
	Target
	// Load is the number of requests that a new one would find, in sixteenths.
	Load uint16
	// Listed is the last time at which a controller was known to list the target.
	Listed time.Duration
	// Lost says that a controller with a complete list answers and no controller lists the target.
	Lost bool
}

// Admits reports whether the target may be offered new flows.
func (k *KnownTarget) Admits() bool { return !k.Lost && (k.State == Ready || k.State == Unknown) }

// View merges the lists of all controllers. A target is listed if any controller lists it, because a
// controller that has just started or is cut off knows fewer targets. While no controller answers, the view
// stays as it is.
//
// Usually the list is transferred from one controller only, see transfer.go.
type View struct {
	self    hop.IP
	lists   map[hop.IP]*controllerList
	members []hop.IP // controllers by the last answer of one in contact with a majority
	targets map[hop.IP]*KnownTarget
	// services holds the targets of each service, sorted by relay; nil after a change until the next use.
	services map[routing.ServiceID][]*KnownTarget
	// lostCheckedAt is the time of the last check for lost targets; lostCheckDue says that targets were removed since.
	lostCheckedAt time.Duration
	lostCheckDue  bool
	source        transferSource
	evacuations   Evacuations

	Stats ViewStats
}

// NewView returns an empty view of an entry VM with an address.
func NewView(self hop.IP) *View {
	return &View{self: self, lists: map[hop.IP]*controllerList{}, targets: map[hop.IP]*KnownTarget{}}
}

// HandleAnswer handles an answer of a controller. It returns the controllers to announce to at once: that one if it has
// more changes or is to send them as they occur from now on, and those whose lists may be equal to one that has just
// arrived.
func (v *View) HandleAnswer(now time.Duration, from hop.IP, a *Answer) (announceTo []hop.IP) {
	if a.Current && len(a.Controllers) > 0 {
		v.members = a.Controllers // also in an answer without a list; later ones may leave them out
	}
	if a.Run == 0 {
		return nil
	}
	l := v.lists[from]
	if l == nil {
		l = &controllerList{}
		v.lists[from] = l
	}
	l.lastHeard, l.fresh = now, a.Fresh
	before := l.established
	v.follow(now, from, l, a)
	if l.established && l.position.Seq == a.Head {
		v.applyLoads(l, a)
	}
	if v.lostCheckDue || now-v.lostCheckedAt >= lostCheckInterval {
		v.checkLost(now)
	}
	if v.wantsMore(now, from, l, a) {
		return []hop.IP{from}
	}
	if !l.established || before {
		return nil
	}
	announceTo = v.incompleteLists(now)
	if v.WantsPush(now, from) {
		announceTo = append(announceTo, from)
	}
	return announceTo
}

// markListed records that a controller lists a target.
func (v *View) markListed(now time.Duration, t *Target) {
	k := v.targets[t.Relay]
	if k == nil {
		v.targets[t.Relay] = &KnownTarget{Target: *t, Listed: now}
		v.services = nil
		return
	}
	if k.Lost {
		k.Lost = false
		v.services = nil
	}
	if k.Target != *t && supersedes(&k.Target, t) {
		k.Target = *t
		v.services = nil
	}
	k.Listed = now
}

// supersedes reports whether t is newer than old, a target of the same relay. The later start wins if both
// are known. Within one incarnation a draining target can only go down; all other states are taken as they
// come.
func supersedes(old, t *Target) bool {
	if old.Born != t.Born && old.Born != 0 && t.Born != 0 {
		return t.Born > old.Born
	}
	return old.ID != t.ID || old.State != Draining || t.State == Draining || t.State == Down
}

// applyLoads records the loads in an answer that refers to exactly this list.
func (v *View) applyLoads(l *controllerList, a *Answer) {
	relays := l.targets.relays()
	for i := range 2 * len(a.Loads) {
		if at := int(a.LoadsFrom) + i; at < len(relays) {
			v.SetLoad(relays[at], unpackLoad(a.Loads, i))
		}
	}
}

// checkLost marks targets as lost that no controller lists, and removes them after lostTargetTTL. It does
// nothing unless all running relays are known.
func (v *View) checkLost(now time.Duration) {
	if !v.KnowsAllRelays(now) {
		return
	}
	v.lostCheckedAt, v.lostCheckDue = now, false
	for controller, l := range v.lists {
		if now-l.lastHeard > lostTargetTTL {
			delete(v.lists, controller) // it has been replaced
		}
	}
	for ip, k := range v.targets {
		switch {
		case v.isListed(now, ip):
			k.Listed = now
			if k.Lost {
				k.Lost, v.services = false, nil
			}
		case now-k.Listed > lostTargetTTL:
			delete(v.targets, ip)
			v.services = nil
		case !k.Lost:
			k.Lost, v.services = true, nil
		}
	}
}

// isListed reports whether a controller that answers lists the target of a relay.
func (v *View) isListed(now time.Duration, relay hop.IP) bool {
	for _, l := range v.lists {
		if _, listed := l.targets.byRelay[relay]; listed && now-l.lastHeard <= controllerTimeout {
			return true
		}
	}
	return false
}

// SetLoad records the load of a target, in sixteenths of a request.
func (v *View) SetLoad(relay hop.IP, load uint16) {
	if k := v.targets[relay]; k != nil {
		k.Load = load
	}
}

// SetEvacuations puts evacuations in force, unless they are not newer than those that are.
func (v *View) SetEvacuations(e Evacuations) {
	if e.Revision > v.evacuations.Revision {
		v.evacuations = e
	}
}

// Evacuated reports whether the zone of a target is evacuated.
func (v *View) Evacuated(k *KnownTarget) bool { return v.evacuations.Includes(k.Zone) }

// Get returns the target beside a relay, or nil.
func (v *View) Get(relay hop.IP) *KnownTarget { return v.targets[relay] }

// Lost reports whether the target beside a relay is lost or not known.
func (v *View) Lost(relay hop.IP) bool {
	k := v.targets[relay]
	return k == nil || k.Lost
}

// Each calls f for every target, lost ones included, in no particular order.
func (v *View) Each(f func(*KnownTarget)) {
	for _, k := range v.targets {
		f(k)
	}
}

// All returns all targets in the order of their relays, lost ones included.
func (v *View) All() []*KnownTarget {
	return slices.SortedFunc(maps.Values(v.targets), func(a, b *KnownTarget) int { return compareIPs(a.Relay, b.Relay) })
}

// Targets returns the targets of a service, lost ones included. The result must not be changed.
func (v *View) Targets(service routing.ServiceID) []*KnownTarget {
	if v.services == nil {
		v.services = map[routing.ServiceID][]*KnownTarget{}
		for _, k := range v.targets {
			v.services[k.Service] = append(v.services[k.Service], k)
		}
		for _, list := range v.services {
			slices.SortFunc(list, func(a, b *KnownTarget) int { return bytes.Compare(a.Relay[:], b.Relay[:]) })
		}
	}
	return v.services[service]
}

// HasCompleteList reports whether some controller that answers has a list that lacks no running relay.
func (v *View) HasCompleteList(now time.Duration) bool {
	for _, l := range v.lists {
		if l.established && !l.fresh && now-l.lastHeard <= controllerTimeout {
			return true
		}
	}
	return false
}

// KnowsAllRelays reports whether a relay that is in no list is known not to run: the complete lists of a majority of the
// controllers have arrived, and no controller that answers has a complete list that has not. A single list is not enough:
// the controller may be cut off from the relay, or run without being a member yet and be known to few relays.
func (v *View) KnowsAllRelays(now time.Duration) bool {
	complete := 0
	for ip, l := range v.lists {
		switch {
		case l.fresh || now-l.lastHeard > controllerTimeout:
		case !l.established:
			return false
		case slices.Contains(v.members, ip):
			complete++
		}
	}
	return complete > len(v.members)/2
}

// Age returns the time since any controller last confirmed its list.
func (v *View) Age(now time.Duration) time.Duration {
	age := now
	for _, l := range v.lists {
		age = min(age, now-l.lastHeard)
	}
	return age
}

// AnsweredSince reports whether a controller has answered at or after a time.
func (v *View) AnsweredSince(at time.Duration) bool {
	for _, l := range v.lists {
		if l.lastHeard >= at {
			return true
		}
	}
	return false
}

// Len returns the number of targets, lost ones included.
func (v *View) Len() int { return len(v.targets) }

// rank orders controllers for this entry VM; the order differs among entry VMs.
func (v *View) rank(controller hop.IP) uint64 {
	return xxhash.Sum64(append(slices.Clone(v.self[:]), controller[:]...))
}

func (v *View) compareRanks(a, b hop.IP) int { return cmp.Compare(v.rank(b), v.rank(a)) }
