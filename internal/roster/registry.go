package roster

import (
	"bytes"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/greengagelock/greengagelock/internal/hop"
)

// Registry is the list of a controller. It has no clock; time is the duration since the start of the
// process.
type Registry struct {
	nodes  map[hop.IP]*node
	list   []Target // by relay address
	digest uint64
	stale  bool // list and digest must be built again
	// told is the list of the last Change, history the lists before the current one, newest last.
	told    version
	history []version
}

// version is a list with its digest.
type version struct {
	digest uint64
	list   []Target
}

// maxHistory is the number of earlier lists that a process may be brought up to date from. During a
// rolling release the list changes several times within an announcement interval.
const maxHistory = 12

type node struct {
	Announcement
	heard time.Duration
}

// NewRegistry returns an empty list.
func NewRegistry() *Registry { return &Registry{nodes: map[hop.IP]*node{}} }

// Announce records an announcement. It reports whether the list of targets has changed.
func (r *Registry) Announce(now time.Duration, from hop.IP, a *Announcement) bool {
	if a.Gone {
		_, known := r.nodes[from]
		delete(r.nodes, from)
		r.stale = r.stale || known
		return known
	}
	n := r.nodes[from]
	if n == nil {
		n = &node{}
		r.nodes[from] = n
	}
	changed := !sameTarget(n.Target, a.Target)
	n.Announcement, n.heard = *a, now
	r.stale = r.stale || changed
	return changed
}

func sameTarget(a, b *Target) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// Expire forgets processes whose lease has ended, and returns those that stood beside a target.
func (r *Registry) Expire(now time.Duration) []Announcement {
	var relays []Announcement
	for ip, n := range r.nodes {
		if now-n.heard <= Lease {
			continue
		}
		delete(r.nodes, ip)
		if n.Target != nil {
			relays = append(relays, n.Announcement)
		}
	}
	r.stale = r.stale || len(relays) > 0
	return relays
}

// Nodes returns the addresses of the processes with a role.
func (r *Registry) Nodes(role Role) []hop.IP {
	var ips []hop.IP
	for ip, n := range r.nodes {
		if n.Role == role {
			ips = append(ips, ip)
		}
	}
	slices.SortFunc(ips, func(a, b hop.IP) int { return bytes.Compare(a[:], b[:]) })
	return ips
}

// Behind returns the names of processes that have an older configuration than version in force.
func (r *Registry) Behind(version uint64) []string {
	var names []string
	for _, n := range r.nodes {
		if n.Role == RoleEntry && n.Version < version {
			names = append(names, n.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Targets returns the list, which must not be changed, and its digest.
func (r *Registry) Targets() ([]Target, uint64) {
	if !r.stale {
		return r.list, r.digest
	}
	r.stale = false
	list := make([]Target, 0, len(r.nodes))
	for ip, n := range r.nodes {
		if n.Target != nil {
			t := *n.Target
			t.Relay = ip
			list = append(list, t)
		}
	}
	sortTargets(list)
	encoded, err := cbor.Marshal(list)
	if err != nil {
		panic(errors.Wrap(err, "encode the list of targets")) // plain values always encode
	}
	if r.digest != 0 {
		r.history = append(r.history, version{r.digest, r.list})
		r.history = r.history[max(len(r.history)-maxHistory, 0):]
	}
	r.list, r.digest = list, max(xxhash.Sum64(encoded), 1)
	return r.list, r.digest
}

// Change returns the answers that tell entry VMs what has changed in the list since the last call. It
// is nil if nothing has.
func (r *Registry) Change(base Answer) []Answer {
	list, digest := r.Targets()
	old := r.told
	r.told = version{digest, list}
	if digest == old.digest {
		return nil
	}
	base.Digest = digest
	if a, small := difference(base, old, r.told); small && old.digest != 0 {
		return []Answer{a}
	}
	return whole(base, list)
}

// difference returns the answer that turns one list into another. It is not small if it does not fit
// into one datagram.
func difference(base Answer, from, to version) (a Answer, small bool) {
	base.Base = from.digest
	before := map[hop.IP]Target{}
	for _, t := range from.list {
		before[t.Relay] = t
	}
	for _, t := range to.list {
		if b, ok := before[t.Relay]; !ok || b != t {
			base.Targets = append(base.Targets, t)
		}
		delete(before, t.Relay)
	}
	for relay := range before {
		base.Removed = append(base.Removed, relay)
	}
	return base, len(base.Targets)+len(base.Removed)/8 <= targetsPerPart
}

// Answers fills in the list for a process that holds the list with the given digest: the loads if it
// asks for them, or what it lacks if it holds another list.
func (r *Registry) Answers(base Answer, role Role, digest uint64, loads bool) []Answer {
	list, own := r.Targets()
	base.Digest = own
	switch {
	case role != RoleEntry:
		base.Digest = 0
		return []Answer{base}
	case digest == own:
		if loads {
			base.Loads = make([]uint16, len(list))
			for i := range list {
				base.Loads[i] = r.nodes[list[i].Relay].Load.Expected()
			}
		}
		return []Answer{base}
	}
	for _, old := range r.history {
		if old.digest == digest {
			if a, small := difference(base, old, version{own, list}); small {
				return []Answer{a}
			}
		}
	}
	return whole(base, list)
}

// whole returns all parts of a list.
func whole(base Answer, list []Target) []Answer {
	parts := max((len(list)+targetsPerPart-1)/targetsPerPart, 1)
	answers := make([]Answer, 0, parts)
	for part := range parts {
		a := base
		a.Part, a.Parts = uint16(part), uint16(parts)
		a.Targets = list[part*targetsPerPart : min((part+1)*targetsPerPart, len(list))]
		answers = append(answers, a)
	}
	return answers
}
