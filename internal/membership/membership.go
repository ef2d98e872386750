// Package membership is the leader's policy for nodes and targets. It tracks the sessions of nodes and decides
// which announcements become targets, which targets are marked as lost, removed, ejected or readmitted, and
// which nodes lag behind a revision. It has no clock: callers pass the time.
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
	// Lease is how long a session lasts after the node was last heard. Nodes poll every second, and the
	// controllers that they poll report to the leader every 500 ms, so one lost poll does not end a session.
	Lease = 3 * time.Second
	// JoinDelay is the time between the registration of a target and its first flow. It is the 4 s within
	// which a change reaches every node. A node that did not know the target would drop packets of its
	// flows.
	JoinDelay = 4 * time.Second
	// RemoveLostAfter is how long a lost target is kept for its established flows.
	RemoveLostAfter = 10 * time.Minute
	// ForgetNodeAfter is how long a node without a session is still listed, and counts as lagging.
	ForgetNodeAfter = 10 * time.Minute
	// MaxLostPercent is the share of a service's targets that may be marked lost at the same time. If more
	// leases expire, the fault is more likely in the control plane than in the targets.
	MaxLostPercent = 50
	// MaxRegistrations per batch keep it below about 100 KB when a whole fleet announces itself.
	MaxRegistrations = 500
)

// Report is what the controller that a node polls reports to the leader about that node.
type Report struct {
	Node string
	// Age is how long ago the node last polled.
	Age      time.Duration
	Applied  model.Generation
	Revision model.Revision
	// Announcement is nil if it is unchanged since the last report to this leader.
	Announcement *model.Announcement
}

// session is the last known state of one node.
type session struct {
	lastSeen     time.Time
	announcedAt  time.Time // when the node made the announcement
	announcement model.Announcement
}

// SessionTable holds what one leader knows of nodes and targets: sessions, observations and histories.
type SessionTable struct {
	startedAt    time.Time
	sessions     map[string]*session
	observations map[catalog.Key]*observation
	histories    map[model.TargetID]*targetHistory
}

// observation is what was last heard of a registered endpoint.
type observation struct {
	lastSeen    time.Time
	evidence    model.Evidence
	applied     model.Generation // generation that the node had applied at that time
	draining    bool
	hasEvidence bool // whether this leader has received evidence
}

// targetHistory is what this leader remembers of a target besides the last observation.
type targetHistory struct {
	lostSince    time.Time
	joiningSince time.Time // when this leader first saw the target as joining
	ejection     ejection
}

// New returns the table of a leader whose term starts now. Every lease starts anew, so that none expires
// before the nodes had time to reach this leader.
func New(now time.Time) *SessionTable {
	return &SessionTable{
		startedAt:    now,
		sessions:     map[string]*session{},
		observations: map[catalog.Key]*observation{},
		histories:    map[model.TargetID]*targetHistory{},
	}
}

// Observe applies reports. It returns the nodes whose announcement this leader does not have, so that their
// next report has to include it.
func (t *SessionTable) Observe(now time.Time, reports []Report) (missing []string) {
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

// observe applies a report as far as it is newer than the session. For a while after a node moved to
// another controller, both controllers report it.
func (t *SessionTable) observe(s *session, r *Report, seen time.Time) {
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

// alive reports whether the lease of the session has not expired.
func (s *session) alive(now time.Time) bool { return now.Sub(s.lastSeen) < Lease }

// Settled reports whether this leader has led for a whole Lease, long enough for every live node to reach it.
func (t *SessionTable) Settled(now time.Time) bool { return now.Sub(t.startedAt) >= Lease }

// Decide returns the changes that the leader should commit to the log.
func (t *SessionTable) Decide(now time.Time, targets []catalog.TargetStatus, quarantine []catalog.Quarantined) catalog.Batch {
	t.dropOutdated(now, targets)
	t.refreshObservations(now, targets)
	var b catalog.Batch
	b.Registrations = t.registrations(now, targets, quarantine)
	b.Withdrawals = t.withdrawals(now, quarantine)
	groups := groupByService(targets)
	for _, id := range slices.Sorted(maps.Keys(groups)) {
		t.decideService(now, groups[id], &b)
	}
	return b
}

func groupByService(targets []catalog.TargetStatus) map[model.ServiceID][]catalog.TargetStatus {
	groups := map[model.ServiceID][]catalog.TargetStatus{}
	for _, target := range targets {
		groups[target.Model.Service] = append(groups[target.Model.Service], target)
	}
	return groups
}

// dropOutdated drops the sessions of nodes that were not heard for ForgetNodeAfter, and the state of targets that
// no longer exist.
func (t *SessionTable) dropOutdated(now time.Time, targets []catalog.TargetStatus) {
	for node, s := range t.sessions {
		if now.Sub(s.lastSeen) > ForgetNodeAfter {
			delete(t.sessions, node)
		}
	}
	keys, ids := map[catalog.Key]bool{}, map[model.TargetID]bool{}
	for i := range targets {
		keys[targets[i].Registration.Key], ids[targets[i].Model.ID] = true, true
	}
	maps.DeleteFunc(t.observations, func(k catalog.Key, _ *observation) bool { return !keys[k] })
	maps.DeleteFunc(t.histories, func(id model.TargetID, _ *targetHistory) bool { return !ids[id] })
}

// refreshObservations updates the observation of every target. A target that this leader has never heard of
// gets a new lease, unless it is already lost.
func (t *SessionTable) refreshObservations(now time.Time, targets []catalog.TargetStatus) {
	for i := range targets {
		target := &targets[i]
		if t.observations[target.Registration.Key] == nil {
			o := &observation{}
			if !target.Lost {
				o.lastSeen = t.leaseStart(now)
			}
			t.observations[target.Registration.Key] = o
		}
		if t.histories[target.Model.ID] == nil {
			t.histories[target.Model.ID] = &targetHistory{}
		}
	}
	for node, s := range t.sessions {
		for i := range s.announcement.Targets {
			a := &s.announcement.Targets[i]
			o := t.observations[registrationKey(node, &s.announcement, a)]
			if o == nil || s.lastSeen.Before(o.lastSeen) {
				continue
			}
			*o = observation{lastSeen: s.lastSeen, evidence: a.Evidence, applied: s.announcement.Applied, draining: a.Draining, hasEvidence: true}
		}
	}
}

// leaseStart returns the start of the lease of a target that has no observation yet: the start of this leader's
// term if that is less than a Lease ago, or else now.
func (t *SessionTable) leaseStart(now time.Time) time.Time {
	if now.Sub(t.startedAt) < Lease {
		return t.startedAt
	}
	return now
}

// registrationKey returns the key of an announced target. An announcement without a VM is for the VM with
// the name of the node.
func registrationKey(node string, a *model.Announcement, target *model.TargetAnnouncement) catalog.Key {
	vm := a.VM
	if vm == "" {
		vm = model.VM(node)
	}
	return catalog.Key{Node: node, VM: vm, Service: target.Service}
}

// registrations returns the announced targets of live agents that are new or have changed.
func (t *SessionTable) registrations(now time.Time, targets []catalog.TargetStatus, quarantine []catalog.Quarantined) []catalog.Registration {
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
				Key: registrationKey(node, &s.announcement, a), Agent: a.Agent, Slots: a.Slots, MaxConns: a.MaxConns, Draining: a.Draining,
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

// withdrawals returns the quarantined announcements that no live session makes any more.
func (t *SessionTable) withdrawals(now time.Time, quarantine []catalog.Quarantined) []catalog.Key {
	if !t.Settled(now) {
		return nil
	}
	var list []catalog.Key
	for i := range quarantine {
		key := quarantine[i].Registration.Key
		if s := t.sessions[key.Node]; s == nil || !s.alive(now) || !announces(key, s) {
			list = append(list, key)
		}
	}
	return list
}

// announces reports whether a session announces the target with a key.
func announces(key catalog.Key, s *session) bool {
	return slices.ContainsFunc(s.announcement.Targets, func(a model.TargetAnnouncement) bool {
		return registrationKey(key.Node, &s.announcement, &a) == key
	})
}

// Lag describes a node that has not applied a revision.
type Lag struct {
	Node     string
	Role     model.Role
	Applied  model.Generation
	Revision model.Revision
	LastSeen time.Duration // ago
}

// Lagging returns the nodes that have not applied a revision, ordered by name, and the number of all nodes.
// Nodes whose session ended less than ForgetNodeAfter ago count, since they may still forward packets.
func (t *SessionTable) Lagging(now time.Time, revision model.Revision) (lagging []Lag, nodes int) {
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

// Node is the state of a session as shown to operators.
type Node struct {
	Announcement model.Announcement
	LastSeen     time.Duration // ago
	Alive        bool
}

// Nodes returns all sessions, ordered by name.
func (t *SessionTable) Nodes(now time.Time) []Node {
	list := make([]Node, 0, len(t.sessions))
	for _, s := range t.sessions {
		list = append(list, Node{Announcement: s.announcement, LastSeen: now.Sub(s.lastSeen), Alive: s.alive(now)})
	}
	slices.SortFunc(list, func(a, b Node) int { return cmp.Compare(a.Announcement.Node, b.Announcement.Node) })
	return list
}

// Evidence returns the last evidence of those targets for which this leader has received any.
func (t *SessionTable) Evidence(targets []catalog.TargetStatus) map[model.TargetID]model.Evidence {
	evidence := make(map[model.TargetID]model.Evidence, len(targets))
	for i := range targets {
		if o := t.observations[targets[i].Registration.Key]; o != nil && o.hasEvidence {
			evidence[targets[i].Model.ID] = o.evidence
		}
	}
	return evidence
}
