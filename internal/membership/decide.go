package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/catalog"
)

// decideService adds the changes for the targets of one service to a batch.
func (t *SessionTable) decideService(now time.Time, targets []catalog.TargetStatus, b *catalog.Batch) {
	var expired, alive []catalog.TargetStatus
	for _, target := range targets {
		switch {
		case now.Sub(t.observations[target.Registration.Key].lastSeen) >= Lease:
			expired = append(expired, target)
		case target.Lost:
			b.Liveness = append(b.Liveness, catalog.LivenessChange{Target: target.Model.ID})
			target.Lost = false
			alive = append(alive, target)
		default:
			alive = append(alive, target)
		}
	}
	t.activate(now, targets, b)
	for i := range alive {
		t.histories[alive[i].Model.ID].lostSince = time.Time{}
		if alive[i].Disallowed && t.drained(&alive[i]) {
			b.Removals = append(b.Removals, alive[i].Model.ID)
		}
	}
	if t.markLost(expired, alive, b) {
		t.removeLost(now, expired, b)
	}
	t.decideEjections(now, targets, alive, b)
}

// activate ends the joining state of targets that have been in it for JoinDelay.
func (t *SessionTable) activate(now time.Time, targets []catalog.TargetStatus, b *catalog.Batch) {
	for i := range targets {
		history := t.histories[targets[i].Model.ID]
		switch {
		case !targets[i].Joining:
		case history.joiningSince.IsZero():
			history.joiningSince = now
		case now.Sub(history.joiningSince) >= JoinDelay:
			b.Activations = append(b.Activations, targets[i].Model.ID)
		}
	}
}

// drained reports whether a draining target has no open flows, observed after its agent stopped admitting
// new ones.
func (t *SessionTable) drained(target *catalog.TargetStatus) bool {
	o := t.observations[target.Registration.Key]
	stopped := o.draining || o.applied >= target.DrainingSince
	return target.DrainingSince != 0 && o.hasEvidence && stopped && o.evidence.OpenFlows == 0
}

// markLost marks targets with an expired lease as lost, the longest expired first, up to MaxLostPercent and
// as long as one target of the service still admits flows. It reports whether all of them are lost then.
// Draining targets admit no flows, so they do not count.
func (t *SessionTable) markLost(expired, alive []catalog.TargetStatus, b *catalog.Batch) bool {
	notDraining, lost := 0, 0
	var candidates []catalog.TargetStatus
	for _, target := range slices.Concat(expired, alive) {
		if target.DrainingSince == 0 {
			notDraining++
		}
	}
	for _, target := range expired {
		switch {
		case target.DrainingSince != 0:
			t.decideExpiredDraining(&target, b)
		case target.Lost:
			lost++
		default:
			candidates = append(candidates, target)
		}
	}
	t.sortByLastSeen(candidates)
	admittingLeft := countAdmitting(alive) + countAdmitting(candidates)
	for i := range candidates {
		admittingLeft -= countAdmitting(candidates[i : i+1])
		lost++
		if lost*100 > notDraining*MaxLostPercent || admittingLeft < 1 {
			return false
		}
		b.Liveness = append(b.Liveness, catalog.LivenessChange{Target: candidates[i].Model.ID, Lost: true})
	}
	return true
}

// decideExpiredDraining removes a draining target with an expired lease if its flows have ended, and marks it
// as lost otherwise.
func (t *SessionTable) decideExpiredDraining(target *catalog.TargetStatus, b *catalog.Batch) {
	switch {
	case t.drained(target):
		b.Removals = append(b.Removals, target.Model.ID)
	case !target.Lost:
		b.Liveness = append(b.Liveness, catalog.LivenessChange{Target: target.Model.ID, Lost: true})
	}
}

// sortByLastSeen sorts targets by the time when they were last seen, oldest first.
func (t *SessionTable) sortByLastSeen(targets []catalog.TargetStatus) {
	slices.SortFunc(targets, func(x, y catalog.TargetStatus) int {
		return cmp.Or(
			t.observations[x.Registration.Key].lastSeen.Compare(t.observations[y.Registration.Key].lastSeen),
			cmp.Compare(x.Model.ID, y.Model.ID))
	})
}

// countAdmitting counts the targets that admit new flows.
func countAdmitting(targets []catalog.TargetStatus) int {
	count := 0
	for i := range targets {
		if admits(&targets[i], targets[i].Lost) {
			count++
		}
	}
	return count
}

// admits reports whether a target admits new flows, given whether it is lost.
func admits(t *catalog.TargetStatus, lost bool) bool {
	return !lost && !t.Ejected && !t.Joining && t.DrainingSince == 0
}

// removeLost removes targets that were lost for RemoveLostAfter. It is not called while more leases are
// expired than may be marked lost, because then the fault is probably in the control plane.
func (t *SessionTable) removeLost(now time.Time, expired []catalog.TargetStatus, b *catalog.Batch) {
	for i := range expired {
		history := t.histories[expired[i].Model.ID]
		switch {
		case !expired[i].Lost:
		case history.lostSince.IsZero():
			history.lostSince = now
		case now.Sub(history.lostSince) >= RemoveLostAfter && !slices.Contains(b.Removals, expired[i].Model.ID):
			b.Removals = append(b.Removals, expired[i].Model.ID)
		}
	}
}
