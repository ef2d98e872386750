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

// Registry is a controller's list of running processes and targets. It has no clock; times are durations
// since the start of the controller.
type Registry struct {
	processes map[hop.IP]*process
	list      []Target // sorted by relay address
	digest    uint64
	dirty     bool // list and digest have to be rebuilt
	// lastSent is the list at the last call of ChangeAnswers; history holds earlier lists, newest last.
	lastSent listVersion
	history  []listVersion
}

// listVersion is a list of targets with its digest.
type listVersion struct {
	digest uint64
	list   []Target
}

// maxHistory is the number of earlier lists from which a process can be updated with a delta. During a
// rolling release the list changes several times within an announcement interval.
const maxHistory = 12

// process is the last announcement of a process.
type process struct {
	Announcement
	lastHeard time.Duration
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{processes: map[hop.IP]*process{}} }

// RecordAnnouncement records an announcement. It reports whether the list of targets has changed.
func (r *Registry) RecordAnnouncement(now time.Duration, from hop.IP, a *Announcement) bool {
	if a.Gone {
		_, known := r.processes[from]
		delete(r.processes, from)
		r.dirty = r.dirty || known
		return known
	}
	p := r.processes[from]
	if p == nil {
		p = &process{}
		r.processes[from] = p
	}
	changed := !sameTarget(p.Target, a.Target)
	p.Announcement, p.lastHeard = *a, now
	r.dirty = r.dirty || changed
	return changed
}

func sameTarget(a, b *Target) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// Expire removes processes whose lease has ended, and returns the announcements of the relays among them.
func (r *Registry) Expire(now time.Duration) []Announcement {
	var relays []Announcement
	for ip, p := range r.processes {
		if now-p.lastHeard <= Lease {
			continue
		}
		delete(r.processes, ip)
		if p.Target != nil {
			relays = append(relays, p.Announcement)
		}
	}
	r.dirty = r.dirty || len(relays) > 0
	return relays
}

// Nodes returns the addresses of the processes with a role, sorted.
func (r *Registry) Nodes(role Role) []hop.IP {
	var ips []hop.IP
	for ip, p := range r.processes {
		if p.Role == role {
			ips = append(ips, ip)
		}
	}
	slices.SortFunc(ips, func(a, b hop.IP) int { return bytes.Compare(a[:], b[:]) })
	return ips
}

// OutdatedEntries returns the names of the entry VMs whose configuration in force is older than version.
func (r *Registry) OutdatedEntries(version uint64) []string {
	var names []string
	for _, p := range r.processes {
		if p.Role == RoleEntry && p.Version < version {
			names = append(names, p.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Targets returns the list of targets and its digest. The list must not be changed.
func (r *Registry) Targets() ([]Target, uint64) {
	if !r.dirty {
		return r.list, r.digest
	}
	r.dirty = false
	list := make([]Target, 0, len(r.processes))
	for ip, p := range r.processes {
		if p.Target != nil {
			t := *p.Target
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
		r.history = append(r.history, listVersion{r.digest, r.list})
		r.history = r.history[max(len(r.history)-maxHistory, 0):]
	}
	r.list, r.digest = list, max(xxhash.Sum64(encoded), 1)
	return r.list, r.digest
}

// ChangeAnswers returns the answers that carry the changes of the list since the last call; nil if there are
// none.
func (r *Registry) ChangeAnswers(template Answer) []Answer {
	list, digest := r.Targets()
	old := r.lastSent
	r.lastSent = listVersion{digest, list}
	if digest == old.digest {
		return nil
	}
	template.Digest = digest
	if a, fits := deltaAnswer(template, old, r.lastSent); fits && old.digest != 0 {
		return []Answer{a}
	}
	return fullAnswers(template, list)
}

// deltaAnswer returns the answer that turns one list into another. fits says that it fits into one datagram.
func deltaAnswer(template Answer, from, to listVersion) (a Answer, fits bool) {
	template.Base = from.digest
	before := map[hop.IP]Target{}
	for _, t := range from.list {
		before[t.Relay] = t
	}
	for _, t := range to.list {
		if b, ok := before[t.Relay]; !ok || b != t {
			template.Targets = append(template.Targets, t)
		}
		delete(before, t.Relay)
	}
	for relay := range before {
		template.Removed = append(template.Removed, relay)
	}
	return template, len(template.Targets)+len(template.Removed)/8 <= targetsPerPart
}

// AnswersFor returns the answers for a process that holds the list with the given digest: the loads if it holds
// the current list and requests them, a delta or the whole list if it holds another one. Relays get no list.
func (r *Registry) AnswersFor(template Answer, role Role, digest uint64, loads bool) []Answer {
	list, current := r.Targets()
	template.Digest = current
	switch {
	case role != RoleEntry:
		template.Digest = 0
		return []Answer{template}
	case digest == current:
		if loads {
			template.Loads = make([]uint16, len(list))
			for i := range list {
				template.Loads[i] = r.processes[list[i].Relay].Load.ExpectedSixteenths()
			}
		}
		return []Answer{template}
	}
	for _, old := range r.history {
		if old.digest == digest {
			if a, fits := deltaAnswer(template, old, listVersion{current, list}); fits {
				return []Answer{a}
			}
		}
	}
	return fullAnswers(template, list)
}

// fullAnswers returns the whole list in parts.
func fullAnswers(template Answer, list []Target) []Answer {
	parts := max((len(list)+targetsPerPart-1)/targetsPerPart, 1)
	answers := make([]Answer, 0, parts)
	for part := range parts {
		a := template
		a.Part, a.Parts = uint16(part), uint16(parts)
		a.Targets = list[part*targetsPerPart : min((part+1)*targetsPerPart, len(list))]
		answers = append(answers, a)
	}
	return answers
}
