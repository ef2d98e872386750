// Package membership is the leader's policy for sessions: which announcements become targets,
// which targets are lost, removed or ejected, and which nodes lag behind. It has no clock; time
// comes in with every call.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/model"
)

const (
	// Lease is how long a session lasts after the node was last heard. Nodes poll every second
	// and session holders report every 500 ms, so one lost poll does not end it.
	Lease = 3 * time.Second
	// JoinDelay is the time between the registration of a target and its first flow: the 4 s in
	// which a change is in force everywhere. Every node then asks the target for packets of its
	// flows, which would otherwise be dropped until the tables agree.
	JoinDelay = 4 * time.Second
	// RemoveAfter is how long a lost target keeps its place for established flows.
	RemoveAfter = 10 * time.Minute
	// ForgetAfter is how long a node without a session is named as lagging.
	ForgetAfter = 10 * time.Minute
	// MaxLostPercent of a service may be marked lost at once. Beyond that the fault is more
	// likely in control than in the targets.
	MaxLostPercent = 50
	// MaxRegistrations keeps one batch below about 100 KB when a whole fleet announces itself.
	MaxRegistrations = 500
)

// Report is what a session holder says about one node.
type Report struct {
	Node string
	// Age is how long ago the node was heard.
	Age      time.Duration
	Applied  model.Generation
	Revision model.Revision
	// Announcement is nil if it has not changed since the last report to this leader.
	Announcement *model.Announcement
}

type session struct {
	lastSeen     time.Time
	announcedAt  time.Time // when the announcement was made
	announcement model.Announcement
}

// Table holds the sessions that a leader knows.
type Table struct {
	start    time.Time
	sessions map[string]*session
	offers   map[catalog.Key]*offer
	targets  map[model.TargetID]*watch
}

// offer is the last sign of a registered endpoint.
type offer struct {
	seen     time.Time
	evidence model.Evidence
	applied  model.Generation // of the node at that time
	draining bool
	known    bool // evidence is known to this leader
}

// watch is what the leader remembers of a target apart from its offers.
type watch struct {
	lostSince time.Time
	joining   time.Time // first seen as joining by this leader
	ejection  ejection
}

// New returns the table of a leader that starts now. Every lease starts anew, so that nothing
// expires before the nodes had time to reach it.
func New(now time.Time) *Table {
	return &Table{
		start:    now,
		sessions: map[string]*session{},
		offers:   map[catalog.Key]*offer{},
		targets:  map[model.TargetID]*watch{},
	}
}

// Observe takes in reports. It returns the nodes whose announcement is missing here and has to be
// reported in full.
func (t *Table) Observe(now time.Time, reports []Report) (missing []string) {
	for i := range reports {
		r := &reports[i]
		seen := now.Add(-max(r.Age, 0))
		s := t.sessions[r.Node]
		if s == nil {
			if r.Announcement == nil {
				missing = append(missing, r.Node)
				continue
			}
			s = &session{}
			t.sessions[r.Node] = s
		}
		t.observe(s, r, seen)
	}
	return missing
}

// observe keeps the newest state. A node that moved to another controller is reported by both for
// a while.
func (t *Table) observe(s *session, r *Report, seen time.Time) {
	newest := !seen.Before(s.lastSeen)
	if newest {
		s.lastSeen = seen
	}
	if r.Announcement != nil && !seen.Before(s.announcedAt) {
		s.announcement, s.announcedAt = *r.Announcement, seen
	}
	if newest {
		s.announcement.Applied, s.announcement.Revision = r.Applied, r.Revision
	}
}

func (s *session) alive(now time.Time) bool { return now.Sub(s.lastSeen) < Lease }

// Settled reports whether every node had the time of a lease to reach this leader.
func (t *Table) Settled(now time.Time) bool { return now.Sub(t.start) >= Lease }

// Decide returns the changes that the leader should put into the log.
func (t *Table) Decide(now time.Time, targets []catalog.TargetStatus, quarantine []catalog.Quarantined) catalog.Batch {
	t.forget(now, targets)
	t.refreshOffers(now, targets)
	var b catalog.Batch
	b.Registrations = t.registrations(now, targets, quarantine)
	b.Withdrawals = t.withdrawals(now, quarantine)
	groups := byService(targets)
	for _, id := range slices.Sorted(maps.Keys(groups)) {
		t.decideService(now, groups[id], &b)
	}
	return b
}

func byService(targets []catalog.TargetStatus) map[model.ServiceID][]catalog.TargetStatus {
	groups := map[model.ServiceID][]catalog.TargetStatus{}
	for _, target := range targets {
		groups[target.Model.Service] = append(groups[target.Model.Service], target)
	}
	return groups
}

func (t *Table) forget(now time.Time, targets []catalog.TargetStatus) {
	for node, s := range t.sessions {
		if now.Sub(s.lastSeen) > ForgetAfter {
			delete(t.sessions, node)
		}
	}
	keys, ids := map[catalog.Key]bool{}, map[model.TargetID]bool{}
	for i := range targets {
		keys[targets[i].Registration.Key], ids[targets[i].Model.ID] = true, true
	}
	maps.DeleteFunc(t.offers, func(k catalog.Key, _ *offer) bool { return !keys[k] })
	maps.DeleteFunc(t.targets, func(id model.TargetID, _ *watch) bool { return !ids[id] })
}

// refreshOffers brings the last sign of every target up to date. A target that was never seen by
// this leader counts as seen at its start, unless it is lost already.
func (t *Table) refreshOffers(now time.Time, targets []catalog.TargetStatus) {
	for i := range targets {
		target := &targets[i]
		if t.offers[target.Registration.Key] == nil {
			o := &offer{}
			if !target.Lost {
				o.seen = t.firstSeen(now)
			}
			t.offers[target.Registration.Key] = o
		}
		if t.targets[target.Model.ID] == nil {
			t.targets[target.Model.ID] = &watch{}
		}
	}
	for node, s := range t.sessions {
		for i := range s.announcement.Targets {
			a := &s.announcement.Targets[i]
			o := t.offers[keyOf(node, &s.announcement, a)]
			if o == nil || s.lastSeen.Before(o.seen) {
				continue
			}
			*o = offer{seen: s.lastSeen, evidence: a.Evidence, applied: s.announcement.Applied, draining: a.Draining, known: true}
		}
	}
}

// firstSeen is the start of the lease of a target that has no session here yet. A target that was
// registered later than this leader started gets its lease from its session.
func (t *Table) firstSeen(now time.Time) time.Time {
	if now.Sub(t.start) < Lease {
		return t.start
	}
	return now
}

func keyOf(node string, a *model.Announcement, target *model.TargetAnnouncement) catalog.Key {
	vm := a.VM
	if vm == "" {
		vm = model.VM(node)
	}
	return catalog.Key{Node: node, VM: vm, Service: target.Service}
}

func (t *Table) registrations(now time.Time, targets []catalog.TargetStatus, quarantine []catalog.Quarantined) []catalog.Registration {
	known := make(map[catalog.Key]catalog.Registration, len(targets)+len(quarantine))
	for i := range targets {
		known[targets[i].Registration.Key] = targets[i].Registration
	}
	for i := range quarantine {
		known[quarantine[i].Registration.Key] = quarantine[i].Registration
	}
	var list []catalog.Registration
	for _, node := range slices.Sorted(maps.Keys(t.sessions)) {
		s := t.sessions[node]
		if !s.alive(now) || s.announcement.Role != model.RoleAgent {
			continue
		}
		for i := range s.announcement.Targets {
			a := &s.announcement.Targets[i]
			r := catalog.Registration{
				Key: keyOf(node, &s.announcement, a), Agent: a.Agent, Slots: a.Slots, MaxConns: a.MaxConns, Draining: a.Draining,
			}
			if old, ok := known[r.Key]; !ok || old != r {
				list = append(list, r)
			}
			if len(list) == MaxRegistrations {
				return list
			}
		}
	}
	return list
}

// withdrawals returns the quarantined announcements that no session repeats.
func (t *Table) withdrawals(now time.Time, quarantine []catalog.Quarantined) []catalog.Key {
	if !t.Settled(now) {
		return nil
	}
	var list []catalog.Key
	for i := range quarantine {
		key := quarantine[i].Registration.Key
		if s := t.sessions[key.Node]; s == nil || !s.alive(now) || !offers(key, s) {
			list = append(list, key)
		}
	}
	return list
}

func offers(key catalog.Key, s *session) bool {
	return slices.ContainsFunc(s.announcement.Targets, func(a model.TargetAnnouncement) bool {
		return keyOf(key.Node, &s.announcement, &a) == key
	})
}

// Lag names a node that does not have a revision in force.
type Lag struct {
	Node     string
	Role     model.Role
	Applied  model.Generation
	Revision model.Revision
	LastSeen time.Duration // ago
}

// Lagging returns the nodes that do not have a revision in force, ordered by name, and the number
// of nodes in all. A node whose session ended recently counts, since it may still forward packets.
func (t *Table) Lagging(now time.Time, revision model.Revision) (lagging []Lag, nodes int) {
	for _, node := range slices.Sorted(maps.Keys(t.sessions)) {
		s := t.sessions[node]
		if s.announcement.Revision >= revision {
			continue
		}
		lagging = append(lagging, Lag{
			Node: node, Role: s.announcement.Role, Applied: s.announcement.Applied, Revision: s.announcement.Revision,
			LastSeen: now.Sub(s.lastSeen),
		})
	}
	return lagging, len(t.sessions)
}

// Node is a session as operators see it.
type Node struct {
	Announcement model.Announcement
	LastSeen     time.Duration // ago
	Alive        bool
}

// Nodes returns all sessions, ordered by name.
func (t *Table) Nodes(now time.Time) []Node {
	list := make([]Node, 0, len(t.sessions))
	for _, s := range t.sessions {
		list = append(list, Node{Announcement: s.announcement, LastSeen: now.Sub(s.lastSeen), Alive: s.alive(now)})
	}
	slices.SortFunc(list, func(a, b Node) int { return cmp.Compare(a.Announcement.Node, b.Announcement.Node) })
	return list
}

// Evidence returns the last evidence of the targets, as far as this leader knows it.
func (t *Table) Evidence(targets []catalog.TargetStatus) map[model.TargetID]model.Evidence {
	evidence := make(map[model.TargetID]model.Evidence, len(targets))
	for i := range targets {
		if o := t.offers[targets[i].Registration.Key]; o != nil && o.known {
			evidence[targets[i].Model.ID] = o.evidence
		}
	}
	return evidence
}
