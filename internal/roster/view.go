package roster

import (
	"bytes"
	"slices"
	"time"

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
)

// KnownTarget is a target as an entry VM knows it.
type KnownTarget struct {
	Target
	// Load is the number of requests that a new one would find, in sixteenths.
	Load uint16
	// Listed is the last time at which a controller listed the target.
	Listed time.Duration
	// Lost says that a controller with a complete list answers and no controller lists the target.
	Lost bool
}

// Admits reports whether the target may be offered new flows.
func (k *KnownTarget) Admits() bool { return !k.Lost && (k.State == Ready || k.State == Unknown) }

// View merges the lists of all controllers. A target is listed if any controller lists it, because a
// controller that has just started or is cut off knows fewer targets. While no controller answers, the view
// stays as it is.
type View struct {
	lists   map[hop.IP]*controllerList
	targets map[hop.IP]*KnownTarget
	// services holds the targets of each service, sorted by relay; nil after a change until the next use.
	services map[routing.ServiceID][]*KnownTarget
}

// controllerList is the last list of targets from one controller.
type controllerList struct {
	digest       uint64
	list         []Target // sorted by relay
	lastHeard    time.Duration
	fresh        bool
	partsDigest  uint64 // digest of the list that is arriving in parts
	parts        [][]Target
	missingParts int
}

// NewView returns an empty view.
func NewView() *View {
	return &View{lists: map[hop.IP]*controllerList{}, targets: map[hop.IP]*KnownTarget{}}
}

// Digest returns the digest of the last list from a controller; zero if there is none.
func (v *View) Digest(controller hop.IP) uint64 {
	if l := v.lists[controller]; l != nil {
		return l.digest
	}
	return 0
}

// HandleAnswer handles an answer of a controller. It reports whether the targets have changed.
func (v *View) HandleAnswer(now time.Duration, from hop.IP, a *Answer) bool {
	l := v.lists[from]
	if l == nil {
		l = &controllerList{}
		v.lists[from] = l
	}
	switch {
	case a.Base != 0:
		if a.Base != l.digest {
			return false // the answer to the next announcement brings the whole list
		}
		l.applyDelta(a)
	case a.Parts > 0:
		if !l.addPart(a) {
			return false
		}
	case a.Digest != l.digest:
		return false
	}
	l.lastHeard, l.fresh = now, a.Fresh
	changed := false
	for i := range l.list {
		changed = v.markListed(now, &l.list[i]) || changed
	}
	if len(a.Loads) == len(l.list) {
		for i := range l.list {
			v.SetLoad(l.list[i].Relay, a.Loads[i])
		}
	}
	changed = v.updateLost(now) || changed
	if changed {
		v.services = nil
	}
	return changed
}

// addPart stores one part of a list. It reports whether the list is complete.
func (l *controllerList) addPart(a *Answer) bool {
	if l.partsDigest != a.Digest || len(l.parts) != int(a.Parts) {
		l.partsDigest, l.parts, l.missingParts = a.Digest, make([][]Target, a.Parts), int(a.Parts)
	}
	if l.parts[a.Part] == nil {
		l.parts[a.Part] = append([]Target{}, a.Targets...)
		l.missingParts--
	}
	if l.missingParts > 0 {
		return false
	}
	l.list = nil
	for _, part := range l.parts {
		l.list = append(l.list, part...)
	}
	l.digest, l.partsDigest, l.parts = a.Digest, 0, nil
	return true
}

// applyDelta applies the changes in an answer to the list.
func (l *controllerList) applyDelta(a *Answer) {
	next := make([]Target, 0, len(l.list)+len(a.Targets))
	for _, t := range l.list {
		if !slices.Contains(a.Removed, t.Relay) && !containsRelay(a.Targets, t.Relay) {
			next = append(next, t)
		}
	}
	next = append(next, a.Targets...)
	sortTargets(next)
	l.list, l.digest = next, a.Digest
}

func containsRelay(list []Target, relay hop.IP) bool {
	return slices.ContainsFunc(list, func(t Target) bool { return t.Relay == relay })
}

func sortTargets(list []Target) {
	slices.SortFunc(list, func(a, b Target) int { return bytes.Compare(a.Relay[:], b.Relay[:]) })
}

// markListed records that a controller lists a target. It reports whether that changed the view.
func (v *View) markListed(now time.Duration, t *Target) bool {
	k := v.targets[t.Relay]
	if k == nil {
		v.targets[t.Relay] = &KnownTarget{Target: *t, Listed: now}
		return true
	}
	changed := k.Lost
	k.Lost = false
	if k.Target != *t && supersedes(&k.Target, t) {
		k.Target = *t
		changed = true
	}
	k.Listed = now
	return changed
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

// updateLost marks targets as lost that no controller lists, and removes them after lostTargetTTL. It does
// nothing unless a controller with a complete list answers.
func (v *View) updateLost(now time.Duration) bool {
	if !v.HasCompleteList(now) {
		return false
	}
	changed := false
	listed := map[hop.IP]bool{}
	for _, l := range v.lists {
		if now-l.lastHeard > controllerTimeout {
			continue
		}
		for i := range l.list {
			listed[l.list[i].Relay] = true
		}
	}
	for ip, k := range v.targets {
		if listed[ip] {
			continue
		}
		if now-k.Listed > lostTargetTTL {
			delete(v.targets, ip)
			changed = true
		} else if !k.Lost {
			k.Lost = true
			changed = true
		}
	}
	return changed
}

// SetLoad records the load of a target, in sixteenths of a request.
func (v *View) SetLoad(relay hop.IP, load uint16) {
	if k := v.targets[relay]; k != nil {
		k.Load = load
	}
}

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

// HeardFrom reports whether a controller has confirmed its list within the last four announcement intervals.
func (v *View) HeardFrom(now time.Duration, controller hop.IP) bool {
	l := v.lists[controller]
	return l != nil && now-l.lastHeard <= controllerTimeout
}

// HasCompleteList reports whether some controller that answers has a list that lacks no running relay.
func (v *View) HasCompleteList(now time.Duration) bool {
	for _, l := range v.lists {
		if now-l.lastHeard <= controllerTimeout && !l.fresh {
			return true
		}
	}
	return false
}

// Age returns the time since any controller last confirmed its list.
func (v *View) Age(now time.Duration) time.Duration {
	age := now
	for _, l := range v.lists {
		age = min(age, now-l.lastHeard)
	}
	return age
}

// Len returns the number of targets, lost ones included.
func (v *View) Len() int { return len(v.targets) }
