package roster

import (
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/hop"
)

// An entry VM keeps a copy of each controller's list, but transfers only one of them. Usually the lists are equal, so
// that the copies of the others begin as copies of the first one, as soon as a digest shows that they are equal. From
// then on each copy follows the numbered changes of its controller.

const (
	// transferTimeout is the time without progress after which the list is transferred from another controller.
	transferTimeout = 200 * time.Millisecond
	// adoptTimeout is the time after which a list is transferred that still differs from all others.
	adoptTimeout = 2 * AnnounceInterval
	// gapRetryInterval is the time between two announcements because of missing changes.
	gapRetryInterval = 40 * time.Millisecond
	// pushingControllers is the number of controllers that send changes as they occur. The others send what is then still
	// missing with their answers.
	pushingControllers = 2
	// pusherTimeout is the time without an answer after which another controller is asked to push.
	pusherTimeout = AnnounceInterval + 200*time.Millisecond
)

// ViewStats counts events since the start of an entry VM. ListTransfers counts transfers of a whole list that were begun,
// ListsAdopted the lists that were equal to that of another controller, ListGaps announcements because of missing
// changes, ListMismatches lists that differed from that of their controller at the same position, which is a fault.
type ViewStats struct {
	ListTransfers, ListsAdopted, ListGaps, ListMismatches uint64
}

// controllerList is the copy of the list of one controller.
type controllerList struct {
	position Position
	targets  targetSet
	// established says that the copy has been equal to the list of this controller process once.
	established bool
	lastHeard   time.Duration
	fresh       bool          // see Answer.Fresh
	startedAt   time.Duration // first answer of the controller process
	gapAt       time.Duration // last announcement because of missing changes
}

// transferSource is the controller from which the list is being transferred.
type transferSource struct {
	controller hop.IP
	active     bool
	progressAt time.Duration
}

// Position returns what an announcement to a controller says of its list: the position, the digest of the newest list
// from any controller, and the number of answers with changes that are accepted.
func (v *View) Position(now time.Duration, controller hop.IP) (p *Position, digest uint64, answers uint8) {
	if newest := v.newestList(now); newest != nil {
		digest = newest.targets.digest
	}
	l := v.lists[controller]
	if l == nil {
		return nil, digest, 0
	}
	if l.established || (v.source.active && v.source.controller == controller) {
		answers = maxAnswers
	}
	position := l.position
	if l.established {
		position.Base, position.Complete = position.Seq, true
	}
	return &position, digest, answers
}

// WantsPush reports whether a controller is to send changes as they occur: one of the first that answer.
func (v *View) WantsPush(now time.Duration, controller hop.IP) bool {
	l := v.lists[controller]
	if l == nil || !l.established || now-l.lastHeard > pusherTimeout {
		return false
	}
	ahead := 0
	for ip, other := range v.lists {
		if other.established && now-other.lastHeard <= pusherTimeout && v.compareRanks(ip, controller) < 0 {
			ahead++
		}
	}
	return ahead < pushingControllers
}

// newestList returns the established list of the controller that was heard last, or nil.
func (v *View) newestList(now time.Duration) *controllerList {
	var newest *controllerList
	for ip, l := range v.lists {
		if l.established && v.WantsPush(now, ip) && (newest == nil || l.lastHeard > newest.lastHeard) {
			newest = l
		}
	}
	return newest
}

// follow brings the copy of a list to the state that an answer describes, as far as the answer allows.
func (v *View) follow(now time.Duration, from hop.IP, l *controllerList, a *Answer) {
	if l.position.Run != a.Run || (a.Restart && a.From == 0) {
		l.restart(now, a)
	}
	// States are of use only for a list that had arrived.
	if a.From <= l.position.Seq && a.To > l.position.Seq && (l.established || len(a.States) == 0) {
		l.position.Seq = a.To
		for i := range a.Targets {
			l.targets.put(a.Targets[i])
			v.markListed(now, &a.Targets[i])
		}
		for states := a.States; len(states) >= stateBytes; states = states[stateBytes:] {
			if t, listed := l.targets.byRelay[hop.IP(states)]; listed {
				t.State, t.Cold = State(states[4]&^coldFlag), states[4]&coldFlag != 0
				l.targets.put(t)
				v.markListed(now, &t)
			}
		}
		for _, relay := range a.Removed {
			v.lostCheckDue = l.targets.remove(relay) || v.lostCheckDue
		}
		if v.source.controller == from {
			v.source.progressAt = now
		}
	}
	if l.position.Seq < a.Head {
		v.adopt(now, l, a)
	}
	switch {
	case l.position.Seq != a.Head: // changes are still missing
	case l.targets.digest != a.Digest:
		// A fault; the list is transferred again.
		v.Stats.ListMismatches++
		l.restart(now, a)
	default:
		l.established = true
		if v.source.controller == from {
			v.source.active = false
		}
	}
}

// restart empties the copy for another process of the controller.
func (l *controllerList) restart(now time.Duration, a *Answer) {
	l.position = Position{Run: a.Run, Base: a.Head}
	l.targets, l.established, l.startedAt = newTargetSet(), false, now
}

// adopt takes the copy of another controller's list if that is equal to the list that an answer describes.
func (v *View) adopt(now time.Duration, l *controllerList, a *Answer) {
	for _, other := range v.lists {
		if !other.established || other.targets.digest != a.Digest {
			continue
		}
		l.position.Seq = a.Head
		if !l.established {
			v.Stats.ListsAdopted++
		}
		if other != l {
			l.targets = other.targets.clone()
		}
		for _, t := range l.targets.byRelay {
			v.markListed(now, &t)
		}
		v.lostCheckDue = true
		return
	}
}

// wantsMore reports whether to announce to a controller at once, because it has changes that are missing here. It makes
// the controller the source of the transfer if its list is needed.
func (v *View) wantsMore(now time.Duration, from hop.IP, l *controllerList, a *Answer) bool {
	if l.position.Seq >= a.Head {
		return false
	}
	if !l.established && !v.startTransfer(now, from, l) {
		return false
	}
	progressed := a.Last && a.To == l.position.Seq && a.To > a.From
	if !progressed && now-l.gapAt < gapRetryInterval && l.gapAt > 0 {
		return false
	}
	if l.established && !progressed {
		v.Stats.ListGaps++
	}
	l.gapAt = now
	return true
}

// startTransfer reports whether a controller is the source of the transfer. It makes the controller the source if none
// is active and the list is needed: there is no other, all others may lack running relays, or it has stayed different.
func (v *View) startTransfer(now time.Duration, from hop.IP, l *controllerList) bool {
	s := &v.source
	if s.active && now-s.progressAt < transferTimeout {
		return s.controller == from
	}
	needed := now-l.startedAt >= adoptTimeout || (!l.fresh && !v.HasCompleteList(now)) || !v.anyEstablished(now)
	if needed {
		v.Stats.ListTransfers++
		*s = transferSource{controller: from, active: true, progressAt: now}
	}
	return needed
}

// anyEstablished reports whether the copy of any list is in use and its controller answers.
func (v *View) anyEstablished(now time.Duration) bool {
	for _, l := range v.lists {
		if l.established && now-l.lastHeard <= pusherTimeout {
			return true
		}
	}
	return false
}

// Incomplete reports whether the list of a controller that answers has not been established yet.
func (v *View) Incomplete(now time.Duration, controller hop.IP) bool {
	l := v.lists[controller]
	return l != nil && !l.established && now-l.lastHeard <= controllerTimeout
}

// incompleteLists returns the controllers for which Incomplete is true, in the order of their ranks.
func (v *View) incompleteLists(now time.Duration) []hop.IP {
	var ips []hop.IP
	for ip := range v.lists {
		if v.Incomplete(now, ip) {
			ips = append(ips, ip)
		}
	}
	slices.SortFunc(ips, v.compareRanks)
	return ips
}
