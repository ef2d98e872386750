package roster

import (
	"bytes"
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/routing"
)

const (
	// ForgetAfter is the time for which a target that no controller lists any more is still asked for
	// its flows. Flows older than a minute may be discarded.
	ForgetAfter = time.Minute
	// sourceTimeout is the time after which a silent controller no longer counts; it has then missed
	// four announcements.
	sourceTimeout = 4 * AnnounceInterval
)

// Known is a target as an entry VM knows it.
type Known struct {
	Target
	// Load are the requests that a new one would find, in sixteenths.
	Load uint16
	// Listed is the last time at which a controller listed the target.
	Listed time.Duration
	// Lost is set while controllers answer and none lists the target.
	Lost bool
}

// Admits reports whether the target may be offered flows.
func (k *Known) Admits() bool { return !k.Lost && (k.State == Ready || k.State == Unknown) }

// View merges the lists of all controllers. A target is listed if any controller lists it, since a
// controller that has just started or is cut off knows fewer. Without any controller the view stays
// as it is.
type View struct {
	sources map[hop.IP]*source
	targets map[hop.IP]*Known
	// services holds the targets of each service, by relay; it is built again after a change.
	services map[routing.ServiceID][]*Known
}

type source struct {
	digest   uint64
	list     []Target // by relay
	heard    time.Duration
	fresh    bool
	building uint64 // digest of the list that arrives in parts
	parts    [][]Target
	missing  int
}

// NewView returns an empty view.
func NewView() *View {
	return &View{sources: map[hop.IP]*source{}, targets: map[hop.IP]*Known{}}
}

// Digest returns the digest of the list last received from a controller.
func (v *View) Digest(controller hop.IP) uint64 {
	if s := v.sources[controller]; s != nil {
		return s.digest
	}
	return 0
}

// Answer takes in an answer of a controller. It reports whether the targets have changed.
func (v *View) Answer(now time.Duration, from hop.IP, a *Answer) bool {
	s := v.sources[from]
	if s == nil {
		s = &source{}
		v.sources[from] = s
	}
	switch {
	case a.Base != 0:
		if a.Base != s.digest {
			return false // the whole list comes with the answer to the next announcement
		}
		s.change(a)
	case a.Parts > 0:
		if !s.add(a) {
			return false
		}
	case a.Digest != s.digest:
		return false
	}
	s.heard, s.fresh = now, a.Fresh
	changed := false
	for i := range s.list {
		changed = v.list(now, &s.list[i]) || changed
	}
	if len(a.Loads) == len(s.list) {
		for i := range s.list {
			v.SetLoad(s.list[i].Relay, a.Loads[i])
		}
	}
	changed = v.expire(now) || changed
	if changed {
		v.services = nil
	}
	return changed
}

// add takes in a part and reports whether the list is complete.
func (s *source) add(a *Answer) bool {
	if s.building != a.Digest || len(s.parts) != int(a.Parts) {
		s.building, s.parts, s.missing = a.Digest, make([][]Target, a.Parts), int(a.Parts)
	}
	if s.parts[a.Part] == nil {
		s.parts[a.Part] = append([]Target{}, a.Targets...)
		s.missing--
	}
	if s.missing > 0 {
		return false
	}
	s.list = nil
	for _, part := range s.parts {
		s.list = append(s.list, part...)
	}
	s.digest, s.building, s.parts = a.Digest, 0, nil
	return true
}

// change applies the difference to the list that the answer is based on.
func (s *source) change(a *Answer) {
	next := make([]Target, 0, len(s.list)+len(a.Targets))
	for _, t := range s.list {
		if !slices.Contains(a.Removed, t.Relay) && !containsRelay(a.Targets, t.Relay) {
			next = append(next, t)
		}
	}
	next = append(next, a.Targets...)
	sortTargets(next)
	s.list, s.digest = next, a.Digest
}

func containsRelay(list []Target, relay hop.IP) bool {
	return slices.ContainsFunc(list, func(t Target) bool { return t.Relay == relay })
}

func sortTargets(list []Target) {
	slices.SortFunc(list, func(a, b Target) int { return bytes.Compare(a.Relay[:], b.Relay[:]) })
}

// list records that a controller lists a target.
func (v *View) list(now time.Duration, t *Target) bool {
	k := v.targets[t.Relay]
	if k == nil {
		v.targets[t.Relay] = &Known{Target: *t, Listed: now}
		return true
	}
	changed := k.Lost
	k.Lost = false
	if k.Target != *t && newer(&k.Target, t) {
		k.Target = *t
		changed = true
	}
	k.Listed = now
	return changed
}

// newer decides between two lists of one relay: the later start of the target is right if both say
// it. Within one incarnation a drain never ends; every other state is taken as it comes.
func newer(old, t *Target) bool {
	if old.Born != t.Born && old.Born != 0 && t.Born != 0 {
		return t.Born > old.Born
	}
	return old.ID != t.ID || old.State != Draining || t.State == Draining || t.State == Down
}

// expire marks targets that no controller lists. That counts only if a controller that knows all of them
// is heard.
func (v *View) expire(now time.Duration) bool {
	if !v.Complete(now) {
		return false
	}
	changed := false
	listed := map[hop.IP]bool{}
	for _, s := range v.sources {
		if now-s.heard > sourceTimeout {
			continue
		}
		for i := range s.list {
			listed[s.list[i].Relay] = true
		}
	}
	for ip, k := range v.targets {
		if listed[ip] {
			continue
		}
		if now-k.Listed > ForgetAfter {
			delete(v.targets, ip)
			changed = true
		} else if !k.Lost {
			k.Lost = true
			changed = true
		}
	}
	return changed
}

// SetLoad records the load of a target.
func (v *View) SetLoad(relay hop.IP, load uint16) {
	if k := v.targets[relay]; k != nil {
		k.Load = load
	}
}

// Get returns the target behind a relay, or nil.
func (v *View) Get(relay hop.IP) *Known { return v.targets[relay] }

// Lost reports whether the relay is known to be lost.
func (v *View) Lost(relay hop.IP) bool {
	k := v.targets[relay]
	return k == nil || k.Lost
}

// Each calls f for every target, lost ones included, in no particular order.
func (v *View) Each(f func(*Known)) {
	for _, k := range v.targets {
		f(k)
	}
}

// Targets returns the targets of a service, lost ones included. The result must not be changed.
func (v *View) Targets(service routing.ServiceID) []*Known {
	if v.services == nil {
		v.services = map[routing.ServiceID][]*Known{}
		for _, k := range v.targets {
			v.services[k.Service] = append(v.services[k.Service], k)
		}
		for _, list := range v.services {
			slices.SortFunc(list, func(a, b *Known) int { return bytes.Compare(a.Relay[:], b.Relay[:]) })
		}
	}
	return v.services[service]
}

// Heard reports whether a controller has confirmed its list lately.
func (v *View) Heard(now time.Duration, controller hop.IP) bool {
	s := v.sources[controller]
	return s != nil && now-s.heard <= sourceTimeout
}

// Complete reports whether a controller is heard whose list lacks no relay that runs.
func (v *View) Complete(now time.Duration) bool {
	for _, s := range v.sources {
		if now-s.heard <= sourceTimeout && !s.fresh {
			return true
		}
	}
	return false
}

// Age returns the time since a controller last confirmed its list.
func (v *View) Age(now time.Duration) time.Duration {
	age := now
	for _, s := range v.sources {
		age = min(age, now-s.heard)
	}
	return age
}

// Len returns the number of targets, lost ones included.
func (v *View) Len() int { return len(v.targets) }
