package roster

import (
	"slices"
	"sort"
	"time"

	"github.com/greengagelock/greengagelock/internal/hop"
)

const (
	// removalTTL is the time for which removals are kept. An entry VM that was out of contact for longer gets the whole
	// list.
	removalTTL = time.Minute
	// maxRunInterval is the time between two calls of ExtendAfterPause from which on the process was paused in between.
	maxRunInterval = AnnounceInterval
	// minObsoleteChanges is the number of obsolete entries that the list of changes may always hold.
	minObsoleteChanges = 64
	// loadsTTL is the time for which packed loads are reused for further entry VMs.
	loadsTTL = 50 * time.Millisecond
)

// Registry is a controller's list of running processes and targets. It has no clock; times are durations
// since the start of the controller.
//
// It numbers the changes of its list. Each target has the number of its last change only, so that what a receiver
// gets grows with the targets that have changed since its position, however often they did.
type Registry struct {
	run       uint64
	processes map[hop.IP]*process
	ended     map[hop.IP]uint64 // instance ID of the relay process that has signed off last
	targets   targetSet
	seq       uint64                   // number of the newest change
	changedAt map[hop.IP]uint64        // number of the last change of each relay's target
	renewedAt map[hop.IP]uint64        // number of the last change of more than its state
	removals  map[hop.IP]time.Duration // times of the removals that are kept
	changes   []change                 // in ascending order; obsolete once the relay has a later change
	// forgotten is the number of the newest removal that is not kept.
	forgotten uint64
	pushed    uint64        // changes up to this number were returned by PushAnswers
	ranAt     time.Duration // time of the last call of ExtendAfterPause

	evacuations Evacuations

	packedLoads []byte
	loadsAt     time.Duration
	loadsValid  bool

	Stats RegistryStats
}

// RegistryStats counts events since the start of the controller. ListsSent counts whole lists of which the first part
// was sent,
// TargetsSent, StatesSent and RemovalsSent the changes in answers to announcements, TargetsPushed those that were sent as
// they occurred, once for all entry VMs. ListsEqual counts answers without changes because the entry VM had the list from
// another controller, AnswersCut those that reached the limit of datagrams.
type RegistryStats struct {
	ListsSent, ListsEqual, AnswersCut     uint64
	TargetsSent, StatesSent, RemovalsSent uint64
	TargetsPushed                         uint64
}

// change says that the target of a relay has changed or was removed.
type change struct {
	seq   uint64
	relay hop.IP
}

// process is the last announcement of a process.
type process struct {
	Announcement
	lastHeard time.Duration
	// evacuations is the revision of the evacuations that the process has confirmed.
	evacuations uint64
}

// confirms reports whether the process is known with the target of an announcement that leaves it out.
func (p *process) confirms(a *Announcement) bool {
	return p != nil && p.Target != nil && p.TargetDigest == a.TargetDigest
}

// NewRegistry returns an empty registry. run is a random number other than zero that identifies the controller process.
func NewRegistry(run uint64) *Registry {
	return &Registry{
		run: run, processes: map[hop.IP]*process{}, ended: map[hop.IP]uint64{}, targets: newTargetSet(),
		changedAt: map[hop.IP]uint64{}, renewedAt: map[hop.IP]uint64{}, removals: map[hop.IP]time.Duration{},
	}
}

// RecordAnnouncement records an announcement. It reports whether the list of targets has changed.
func (r *Registry) RecordAnnouncement(now time.Duration, from hop.IP, a *Announcement) bool {
	if a.Gone {
		delete(r.processes, from)
		r.ended[from] = a.Process
		return r.removeTarget(now, from)
	}
	if id, ended := r.ended[from]; ended && id == a.Process && a.Process != 0 {
		return false // sent before the process signed off, and late
	}
	p := r.processes[from]
	if a.Role == RoleRelay && a.Target == nil {
		if p.confirms(a) {
			p.Load, p.lastHeard = a.Load, now
		}
		return false
	}
	if p == nil || p.Process != a.Process {
		p = &process{}
		r.processes[from] = p
	}
	delete(r.ended, from)
	p.Announcement, p.lastHeard = *a, now
	if a.Target == nil {
		return r.removeTarget(now, from)
	}
	t := *a.Target
	t.Relay = from
	p.TargetDigest = t.AnnouncedDigest(a.Process)
	return r.listTarget(t)
}

// listTarget puts an announced target on the list. It reports whether the list has changed.
func (r *Registry) listTarget(announced Target) bool {
	t := r.evacuations.listed(announced)
	old, known := r.targets.byRelay[t.Relay]
	if known && old == t {
		return false
	}
	r.targets.put(t)
	delete(r.removals, t.Relay)
	r.addChange(t.Relay)
	old.State, old.Cold = t.State, t.Cold
	if !known || old != t {
		r.renewedAt[t.Relay] = r.seq
	}
	return true
}

// SetEvacuations puts evacuations in force, unless they are not newer than those that are. It reports whether the list
// of targets has changed.
func (r *Registry) SetEvacuations(e Evacuations) bool {
	if e.Revision <= r.evacuations.Revision {
		return false
	}
	r.evacuations = e
	changed := false
	for _, relay := range slices.Clone(r.targets.relays()) {
		if p := r.processes[relay]; p != nil && p.Target != nil {
			t := *p.Target
			t.Relay = relay
			changed = r.listTarget(t) || changed
		}
	}
	return changed
}

// Evacuations returns the evacuations in force.
func (r *Registry) Evacuations() *Evacuations { return &r.evacuations }

// ConfirmEvacuations records that a process has evacuations in force.
func (r *Registry) ConfirmEvacuations(from hop.IP, held *EvacuationsHeld) {
	if p := r.processes[from]; p != nil && p.Process == held.Process {
		p.evacuations = max(p.evacuations, held.Revision)
	}
}

// LacksEvacuations reports whether a process understands evacuations and has not confirmed the newest ones.
func (r *Registry) LacksEvacuations(ip hop.IP) bool {
	p := r.processes[ip]
	return p != nil && r.lacksEvacuations(p)
}

func (r *Registry) lacksEvacuations(p *process) bool {
	return LevelOf(p.Process) >= LevelEvacuation && p.evacuations < r.evacuations.Revision
}

// ProcessesWithoutEvacuations returns the addresses of the processes for which LacksEvacuations is true, sorted.
func (r *Registry) ProcessesWithoutEvacuations() []hop.IP {
	return r.nodes(r.lacksEvacuations)
}

func (r *Registry) removeTarget(now time.Duration, relay hop.IP) bool {
	if !r.targets.remove(relay) {
		return false
	}
	r.removals[relay] = now
	r.addChange(relay)
	return true
}

// addChange numbers a change of the target of a relay.
func (r *Registry) addChange(relay hop.IP) {
	r.seq++
	r.changedAt[relay] = r.seq
	r.changes = append(r.changes, change{r.seq, relay})
	r.loadsValid = false
	if len(r.changes) > 2*len(r.changedAt)+minObsoleteChanges {
		r.changes = slices.DeleteFunc(r.changes, r.isObsolete)
	}
}

func (r *Registry) isObsolete(c change) bool { return r.changedAt[c.relay] != c.seq }

// Expired is a process whose lease has ended.
type Expired struct {
	IP hop.IP
	Announcement
}

// Expire removes and returns the processes whose lease has ended.
func (r *Registry) Expire(now time.Duration) []Expired {
	var expired []Expired
	for ip, p := range r.processes {
		if now-p.lastHeard <= Lease {
			continue
		}
		delete(r.processes, ip)
		r.removeTarget(now, ip)
		expired = append(expired, Expired{IP: ip, Announcement: p.Announcement})
	}
	for relay, at := range r.removals {
		if now-at > removalTTL {
			r.forgotten = max(r.forgotten, r.changedAt[relay])
			delete(r.removals, relay)
			delete(r.changedAt, relay)
			delete(r.renewedAt, relay)
		}
	}
	return expired
}

// ExtendAfterPause extends all leases by the time in which this process did not run, if the last call is longer ago than
// maxRunInterval.
func (r *Registry) ExtendAfterPause(now time.Duration) {
	pause := now - r.ranAt
	r.ranAt = now
	if pause <= maxRunInterval {
		return
	}
	for _, p := range r.processes {
		p.lastHeard = min(p.lastHeard+pause, now)
	}
}

// nodes returns the addresses of the processes that match, sorted.
func (r *Registry) nodes(matches func(*process) bool) []hop.IP {
	var ips []hop.IP
	for ip, p := range r.processes {
		if matches(p) {
			ips = append(ips, ip)
		}
	}
	slices.SortFunc(ips, compareIPs)
	return ips
}

// Entries returns the addresses of all entry VMs, sorted.
func (r *Registry) Entries() []hop.IP {
	return r.nodes(func(p *process) bool { return p.Role == RoleEntry })
}

// PushedEntries returns the addresses of the entry VMs that have asked for changes as they occur, sorted.
func (r *Registry) PushedEntries() []hop.IP {
	return r.nodes(func(p *process) bool { return p.Role == RoleEntry && p.Push })
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

// ProcessesBelow returns the names of the processes whose protocol level is below the given one, sorted.
func (r *Registry) ProcessesBelow(level uint8) []string {
	var names []string
	for _, p := range r.processes {
		if LevelOf(p.Process) < level {
			names = append(names, p.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Len returns the number of targets.
func (r *Registry) Len() int { return len(r.targets.byRelay) }

// Targets returns the targets in the order of their relays.
func (r *Registry) Targets() []Target {
	list := make([]Target, 0, r.Len())
	for _, relay := range r.targets.relays() {
		list = append(list, r.targets.byRelay[relay])
	}
	return list
}

// PushAnswers returns the answers with the changes since the last call, and the number of changed targets.
func (r *Registry) PushAnswers(template Answer) (answers []Answer, changed int) {
	answers = r.changeAnswers(template, Position{Run: r.run, Seq: r.pushed, Base: r.pushed, Complete: true}, -1)
	r.pushed = r.seq
	for i := range answers {
		changed += answers[i].changes()
	}
	r.Stats.TargetsPushed += uint64(changed)
	return answers, changed
}

// AnswersFor returns the answers to an announcement of a process. Entry VMs get the changes of the list after their
// position, as far as they accept them, and the loads of all targets if they ask for them. Relays get no list.
func (r *Registry) AnswersFor(now time.Duration, template Answer, from hop.IP, a *Announcement) []Answer {
	template.Last = true
	if a.MembersDigest == MembersDigest(template.Controllers) {
		template.Controllers = nil
	}
	if a.Role != RoleEntry {
		if p := r.processes[from]; p != nil && p.Target != nil {
			template.TargetDigest = p.TargetDigest
		}
		return []Answer{template}
	}
	position := Position{Run: r.run, Base: r.seq}
	if a.Position != nil && a.Position.Run == r.run && a.Position.Seq <= r.seq {
		position = *a.Position
	}
	limit := min(int(a.Answers), maxAnswers)
	equal := a.Digest == r.targets.digest && a.Digest != 0 // zero stands for no list
	if equal && position.Seq < r.seq {
		limit = 0 // the entry VM has the list from another controller
		r.Stats.ListsEqual++
	}
	answers := r.changeAnswers(template, position, limit)
	last := &answers[len(answers)-1]
	r.countSent(answers)
	if a.Loads && (last.To == r.seq || equal) {
		answers = r.addLoads(now, template, answers)
	}
	return answers
}

// changes returns the number of targets that have changed.
func (a *Answer) changes() int { return len(a.Targets) + len(a.States)/stateBytes + len(a.Removed) }

// countSent adds the answers to an announcement to the counters.
func (r *Registry) countSent(answers []Answer) {
	if answers[0].From == 0 && answers[0].To > 0 {
		r.Stats.ListsSent++
	}
	for i := range answers {
		r.Stats.TargetsSent += uint64(len(answers[i].Targets))
		r.Stats.StatesSent += uint64(len(answers[i].States) / stateBytes)
		r.Stats.RemovalsSent += uint64(len(answers[i].Removed))
	}
	if last := answers[len(answers)-1]; last.To > last.From && last.To < last.Head {
		r.Stats.AnswersCut++
	}
}

// changeAnswers returns the answers with the changes after a position, at least one and at most limit; a negative limit
// is none. With limit zero the answer has no changes.
func (r *Registry) changeAnswers(template Answer, position Position, limit int) []Answer {
	template.Run, template.Head, template.Digest = r.run, r.seq, r.targets.digest
	if limit != 0 && position.Base < r.forgotten && position.Seq > 0 {
		position, template.Restart = Position{Run: r.run, Base: r.seq}, true
	}
	template.From, template.To = position.Seq, position.Seq
	answers := []Answer{template}
	if limit == 0 {
		return answers
	}
	start := sort.Search(len(r.changes), func(i int) bool { return r.changes[i].seq > position.Seq })
	for _, c := range r.changes[start:] {
		if r.isObsolete(c) {
			continue
		}
		a := &answers[len(answers)-1]
		if len(a.Targets)+(len(a.Removed)+len(a.States)/stateBytes)/8 >= targetsPerAnswer {
			if len(answers) == limit {
				return markLast(answers)
			}
			next := template
			next.From, next.To, next.Restart = a.To, a.To, false
			answers = append(answers, next)
			a = &answers[len(answers)-1]
		}
		t, listed := r.targets.byRelay[c.relay]
		switch {
		case listed && (!position.Complete || r.renewedAt[c.relay] > position.Seq):
			a.Targets = append(a.Targets, t)
		case listed:
			a.States = appendState(a.States, &t)
		case c.seq > position.Base:
			a.Removed = append(a.Removed, c.relay)
		}
		a.To = c.seq
	}
	answers[len(answers)-1].To = r.seq
	return markLast(answers)
}

func markLast(answers []Answer) []Answer {
	for i := range answers {
		answers[i].Last = i == len(answers)-1
	}
	return answers
}

// addLoads adds the loads of all targets to the last answer if it has no changes, and else to further ones.
func (r *Registry) addLoads(now time.Duration, template Answer, answers []Answer) []Answer {
	if !r.loadsValid || now-r.loadsAt > loadsTTL {
		loads := make([]uint16, 0, r.Len())
		for _, relay := range r.targets.relays() {
			loads = append(loads, r.processes[relay].Load.ExpectedSixteenths())
		}
		r.packedLoads, r.loadsAt, r.loadsValid = PackLoads(loads), now, true
	}
	for from := 0; from < len(r.packedLoads); from += loadsPerAnswer / 2 {
		last := &answers[len(answers)-1]
		if last.changes()+len(last.Loads) > 0 {
			next := template
			next.Run, next.From, next.To, next.Head, next.Digest = r.run, r.seq, r.seq, r.seq, r.targets.digest
			answers = append(answers, next)
			last = &answers[len(answers)-1]
		}
		last.Loads, last.LoadsFrom = r.packedLoads[from:min(from+loadsPerAnswer/2, len(r.packedLoads))], uint16(from*2)
	}
	return markLast(answers)
}
