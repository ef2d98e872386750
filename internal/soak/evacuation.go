package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/platform/standin"
)

const (
	// evacuationBound is the time after its acknowledgement from which on an evacuation must be obeyed.
	evacuationBound = 5 * time.Second
	// evacuationOrderTime is the time for which an order is repeated.
	evacuationOrderTime = 6 * time.Second
)

// evacuate evacuates a zone, waits, and restores it. Between the bound and the restoration no target there may get a new
// flow, unless a fault has left processes out of touch.
func (r *run) evacuate(ctx context.Context, index int, pause func()) {
	r.evacuating.Lock()
	defer r.evacuating.Unlock()
	zone := r.d.zoneOf(index)
	if !r.orderEvacuation(ctx, zone, true, evacuationOrderTime) {
		return
	}
	acknowledged := time.Now()
	r.evacuations.Add(1)
	if r.anyOldStore() {
		r.check.violate("the evacuation of %s was accepted while a controller of the production build is a member", zone)
	}
	ctxtime.Sleep(ctx, evacuationBound)
	before := r.openedIn(zone)
	stable := r.check.isStable()
	bound := time.Now()
	pause()
	if after := r.openedIn(zone); stable && r.check.isStable() && !r.d.untimed && after.differs(before) {
		r.check.violate("targets in %s got new flows between %v and %v after its evacuation was acknowledged: %v, %v before", zone,
			bound.Sub(acknowledged), time.Since(acknowledged), after, before)
	}
	if !r.orderEvacuation(ctx, zone, false, startTimeout) && ctx.Err() == nil {
		r.check.violate("the end of the evacuation of %s was not acknowledged within %v", zone, startTimeout)
	}
}

// orderEvacuation sends an order to one controller after the other until it is acknowledged or the time is up.
func (r *run) orderEvacuation(ctx context.Context, zone string, evacuate bool, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline) && ctx.Err() == nil; {
		to := r.storeAddress(rand.IntN(r.d.layout.stores))
		code, err := standin.SetEvacuated(ctx, to, zone, evacuate)
		switch {
		case err == nil && code == http.StatusOK:
			return true
		case err == nil && code != http.StatusServiceUnavailable && !r.plan.Production:
			r.check.violate("the order to evacuate %s (%t) was answered with %d", zone, evacuate, code)
			return false
		}
		ctxtime.Sleep(ctx, pollInterval)
	}
	return false
}

func (r *run) anyOldStore() bool {
	for _, p := range r.allStores() {
		if p.isOld() {
			return true
		}
	}
	return false
}

// openedFlows are the flows that each target has accepted, by its ID.
type openedFlows map[string]int

// openedIn returns the flows that the targets of a zone have accepted since their start.
func (r *run) openedIn(zone string) openedFlows {
	opened := openedFlows{}
	for i, s := range r.targets {
		if t, _ := s.current(); t != nil && r.d.zoneOf(i) == zone {
			opened[t.ID()] = t.Opened()
		}
	}
	return opened
}

// differs reports whether a target has accepted flows since before, or since its start if that was later.
func (o openedFlows) differs(before openedFlows) bool {
	for id, n := range o {
		if n > before[id] {
			return true
		}
	}
	return false
}
