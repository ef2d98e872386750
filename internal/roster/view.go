package roster

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/hop"
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
	Load hop.Load
	// LoadAt is the time of the newest load.
	LoadAt time.Duration
	// Listed is the last time at which a controller listed the target.
	Listed time.Duration
	// Lost is set while controllers answer and none lists the target.
	Lost bool
}

// View merges the lists of all controllers. A target is listed if any controller lists it, since a
// controller that has just started or is cut off knows fewer. Without any controller the view stays
// as it is.
type View struct {
	sources map[hop.IP]*source
	targets map[hop.IP]*Known
}

type source struct {
	digest   uint64
	list     []Target
	heard    time.Duration
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

// Answer takes in an answer of a controller. It reports whether the set of targets has changed.
func (v *View) Answer(now time.Duration, from hop.IP, a *Answer) bool {
	s := v.sources[from]
	if s == nil {
		s = &source{}
		v.sources[from] = s
	}
	switch {
	case a.Parts > 0:
		if !s.add(a) {
			return false
		}
	case a.Digest != s.digest:
		return false // the parts of the new list come with the answer to the next announcement
	}
	s.heard = now
	changed := false
	for i := range s.list {
		changed = v.list(now, &s.list[i]) || changed
	}
	if a.Parts == 0 && len(a.Loads) == len(s.list) {
		for i := range s.list {
			v.SetLoad(now, s.list[i].Relay, a.Loads[i])
		}
	}
	return v.expire(now) || changed
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

// list records that a controller lists a target. Of two controllers the one with the later start of
// the target is right; with equal starts a state of leaving is.
func (v *View) list(now time.Duration, t *Target) bool {
	k := v.targets[t.Relay]
	if k == nil {
		v.targets[t.Relay] = &Known{Target: *t, Listed: now}
		return true
	}
	changed := k.Lost
	k.Lost = false
	if k.Target != *t && (t.Born > k.Born || (t.Born == k.Born && v.newer(now, k, t))) {
		k.Target = *t
		changed = true
	}
	k.Listed = now
	return changed
}

// newer decides between two states of one incarnation: a drain never ends, every other state is
// taken as it comes.
func (v *View) newer(_ time.Duration, k *Known, t *Target) bool {
	return k.State != Draining || t.State == Draining || t.State == Down
}

// expire marks targets that no controller lists.
func (v *View) expire(now time.Duration) bool {
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
func (v *View) SetLoad(now time.Duration, relay hop.IP, load hop.Load) {
	if k := v.targets[relay]; k != nil {
		k.Load, k.LoadAt = load, now
	}
}

// Get returns the target behind a relay, or nil.
func (v *View) Get(relay hop.IP) *Known { return v.targets[relay] }

// Each calls f for every target, lost ones included, in no particular order.
func (v *View) Each(f func(*Known)) {
	for _, k := range v.targets {
		f(k)
	}
}

// Len returns the number of targets, lost ones included.
func (v *View) Len() int { return len(v.targets) }
