package model

import (
	"cmp"
	"encoding/binary"
	"maps"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// NewView returns an empty view at generation 0.
func NewView() *View {
	return &View{Services: map[ServiceID]Service{}, Targets: map[TargetID]Target{}}
}

// Clone returns a copy that shares no maps with v.
func (v *View) Clone() *View {
	return &View{
		Generation: v.Generation,
		Revision:   v.Revision,
		Trace:      v.Trace,
		Services:   maps.Clone(v.Services),
		Targets:    maps.Clone(v.Targets),
	}
}

// Apply applies a delta to v. It returns false and leaves v unchanged if the delta starts after the generation
// of v or does not end after it.
func (v *View) Apply(d *Delta) bool {
	if d.From > v.Generation || d.To <= v.Generation {
		return false
	}
	for _, s := range d.Services {
		v.Services[s.ID] = s
	}
	for _, t := range d.Targets {
		v.Targets[t.ID] = t
	}
	for _, id := range d.RemovedServices {
		delete(v.Services, id)
	}
	for _, id := range d.RemovedTargets {
		delete(v.Targets, id)
	}
	v.Generation = d.To
	v.Revision = d.Revision
	if d.Trace != "" {
		v.Trace = d.Trace
	}
	return true
}

// TargetsOf returns the targets of a service, ordered by ID.
func (v *View) TargetsOf(id ServiceID) []Target {
	var targets []Target
	for _, t := range v.Targets {
		if t.Service == id {
			targets = append(targets, t)
		}
	}
	slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return targets
}

// CountAdmitting returns the number of targets that admit new flows.
func (v *View) CountAdmitting() int {
	n := 0
	for _, t := range v.Targets {
		if t.State == TargetActive {
			n++
		}
	}
	return n
}

// Digest returns a hash of the services and targets. Views with equal services and targets have equal digests.
func (v *View) Digest() uint64 {
	h := xxhash.New()
	for _, id := range slices.Sorted(maps.Keys(v.Services)) {
		hashService(h, v.Services[id])
	}
	for _, id := range slices.Sorted(maps.Keys(v.Targets)) {
		hashTarget(h, v.Targets[id])
	}
	return h.Sum64()
}

func hashService(h *xxhash.Digest, s Service) {
	hashString(h, s.Name)
	hashString(h, string(s.Workspace))
	hashAddrPort(h, s.Address)
	enabled := uint64(0)
	if s.Silence.Enabled {
		enabled = 1
	}
	hashUint(h, uint64(s.ID), uint64(s.Generation), uint64(s.Class), uint64(s.MaxQueueWait), uint64(s.Ramp), uint64(s.DrainTimeout),
		enabled, uint64(s.Silence.Idle), uint64(s.Silence.Interval), uint64(s.Silence.Count))
}

func hashTarget(h *xxhash.Digest, t Target) {
	hashString(h, t.Name)
	hashString(h, string(t.VM))
	hashString(h, string(t.Zone))
	hashAddrPort(h, t.Agent)
	hashUint(h, uint64(t.ID), uint64(t.Service), uint64(t.Slots), uint64(t.MaxConns), uint64(t.State))
}

// The functions below ignore errors, because the write methods of xxhash.Digest never return one.

func hashString(h *xxhash.Digest, s string) {
	hashUint(h, uint64(len(s)))
	_, _ = h.WriteString(s)
}

func hashAddrPort(h *xxhash.Digest, a netip.AddrPort) {
	hashString(h, a.String())
}

func hashUint(h *xxhash.Digest, values ...uint64) {
	var buf [8]byte
	for _, value := range values {
		binary.LittleEndian.PutUint64(buf[:], value)
		_, _ = h.Write(buf[:])
	}
}
