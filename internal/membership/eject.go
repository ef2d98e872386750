package membership

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/model"
)

const (
	// MaxEjectedPercent is the share of a service's targets that may be ejected at the same time.
	MaxEjectedPercent = 30
	// FailuresToEject is the number of consecutive handshake failures that eject a target.
	FailuresToEject = 3
	// UnhealthyToEject is how long an endpoint must report itself unhealthy, while no handshake succeeds,
	// before it is ejected. Health endpoints can lag or be wrong, so they alone do not eject a target.
	UnhealthyToEject = 5 * time.Second
	// MinEjection is the duration of the first ejection. It doubles with every repeated ejection, up to
	// MaxEjection.
	MinEjection = 30 * time.Second
	MaxEjection = 5 * time.Minute
)

// ejection is the ejection state of one target.
type ejection struct {
	startedAt      time.Time // start of the current ejection; zero if not ejected
	period         time.Duration
	endedAt        time.Time
	failuresAtEnd  int       // consecutive handshake failures when the last ejection ended; they do not count again
	unhealthySince time.Time // since when the endpoint reports itself unhealthy; zero if healthy
	handshakesOK   uint64    // successful handshakes when unhealthySince was set
}

// warranted reports whether the evidence justifies an ejection.
func (e *ejection) warranted(now time.Time, evidence *model.Evidence) bool {
	if evidence.HandshakeFailures < e.failuresAtEnd {
		e.failuresAtEnd = 0
	}
	if evidence.HandshakeFailures >= FailuresToEject && evidence.HandshakeFailures > e.failuresAtEnd {
		return true
	}
	if evidence.EndpointHealthy || evidence.HandshakesOK != e.handshakesOK {
		e.unhealthySince, e.handshakesOK = time.Time{}, evidence.HandshakesOK
	}
	if evidence.EndpointHealthy {
		return false
	}
	if e.unhealthySince.IsZero() {
		e.unhealthySince = now
	}
	return now.Sub(e.unhealthySince) >= UnhealthyToEject
}

// begin starts an ejection. Its period doubles if it follows the last one within twice that one's period.
func (e *ejection) begin(now time.Time) {
	if e.period == 0 || now.Sub(e.endedAt) > 2*e.period {
		e.period = MinEjection
	} else {
		e.period = min(2*e.period, MaxEjection)
	}
	e.startedAt = now
}

// end readmits the target. The evidence so far does not count for the next ejection.
func (e *ejection) end(now time.Time, evidence *model.Evidence) {
	e.startedAt, e.endedAt = time.Time{}, now
	e.failuresAtEnd, e.unhealthySince, e.handshakesOK = evidence.HandshakeFailures, time.Time{}, evidence.HandshakesOK
}

// decideEjections ejects targets whose evidence warrants it, and readmits ejected targets at the end of
// their ejection period. alive holds the targets of the service with an unexpired lease.
func (t *SessionTable) decideEjections(now time.Time, targets, alive []catalog.TargetStatus, b *catalog.Batch) {
	notDraining, ejected, admittingLeft := 0, 0, t.countAdmittingAfter(targets, b)
	for i := range targets {
		if targets[i].DrainingSince != 0 {
			continue
		}
		notDraining++
		if targets[i].Ejected {
			ejected++
		}
	}
	for i := range alive {
		target := &alive[i]
		o, e := t.observations[target.Registration.Key], &t.histories[target.Model.ID].ejection
		if !o.hasEvidence || target.DrainingSince != 0 {
			continue
		}
		warranted := e.warranted(now, &o.evidence)
		switch {
		case target.Ejected:
			if e.startedAt.IsZero() {
				// Ejected by an earlier leader, at a time that this leader does not know.
				e.begin(now)
			}
			if now.Sub(e.startedAt) >= e.period {
				e.end(now, &o.evidence)
				b.Ejections = append(b.Ejections, catalog.EjectionChange{Target: target.Model.ID})
			}
		case warranted && (ejected+1)*100 <= notDraining*MaxEjectedPercent && admittingLeft > 1:
			ejected++
			admittingLeft--
			e.begin(now)
			b.Ejections = append(b.Ejections, catalog.EjectionChange{Target: target.Model.ID, Ejected: true})
		}
	}
}

// countAdmittingAfter counts the targets that admit new flows after the liveness changes of a batch.
func (t *SessionTable) countAdmittingAfter(targets []catalog.TargetStatus, b *catalog.Batch) int {
	changed := map[model.TargetID]bool{}
	for _, l := range b.Liveness {
		changed[l.Target] = l.Lost
	}
	count := 0
	for i := range targets {
		lost, ok := changed[targets[i].Model.ID]
		if !ok {
			lost = targets[i].Lost
		}
		if admits(&targets[i], lost) {
			count++
		}
	}
	return count
}
