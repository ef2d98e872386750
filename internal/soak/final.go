package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/ctxtime"
)

// FinalFault takes the disks of controllers away right after something was acknowledged, while other processes are killed
// and keep theirs. What was acknowledged must be there afterwards.
//
// The kernel keeps what a killed process has written. Unlike a loss of power, this fault therefore cannot show that
// something was acknowledged before it was synced.
type FinalFault struct {
	After Trigger `json:"after"`
	// DelayMS is the time between AfterSending and the fault.
	DelayMS int `json:"delay_ms,omitempty"`
	// Calm says that no controller counts as lost any more when the fault begins.
	Calm bool `json:"calm"`
	// Wiped is the number of controllers that lose their disks, if that many may. Choice says which; Order decides between
	// those that are alike.
	Wiped  int    `json:"wiped"`
	Choice Choice `json:"choice"`
	Order  []int  `json:"order"`
	// Killed are the other processes that are killed at the same time.
	Killed Scope `json:"killed"`
	ForMS  int   `json:"for_ms"` // until the processes are started
}

// Trigger is what a final fault follows.
type Trigger string

// Triggers.
const (
	AfterConfig     Trigger = "config"     // a configuration was acknowledged
	AfterEvacuation Trigger = "evacuation" // the evacuation of a zone was acknowledged
	AfterSending    Trigger = "sending"    // a configuration was sent, whether or not it was acknowledged
)

// Choice says which controllers lose their disks.
type Choice string

// Choices.
const (
	Newest Choice = "newest" // those that have replaced others last
	Oldest Choice = "oldest"
	Leader Choice = "leader" // the leader, and any other
	Any    Choice = "any"
)

// Scope says which processes are killed.
type Scope string

// Scopes.
const (
	NoOthers       Scope = "none"
	AllControllers Scope = "controllers"
	AllProcesses   Scope = "all"
)

func (f *FinalFault) validate(l layout) error {
	order := slices.Sorted(slices.Values(f.Order))
	for i, place := range order {
		if i != place {
			return errors.Newf("the order of the final fault is invalid: %v", f.Order)
		}
	}
	if len(order) != l.stores || f.Wiped < 1 || f.Wiped > l.losses || f.DelayMS < 0 || f.ForMS < 0 ||
		!slices.Contains([]Trigger{AfterConfig, AfterEvacuation, AfterSending}, f.After) ||
		!slices.Contains([]Choice{Newest, Oldest, Leader, Any}, f.Choice) ||
		!slices.Contains([]Scope{NoOthers, AllControllers, AllProcesses}, f.Killed) {
		return errors.Newf("the final fault is invalid: %+v", *f)
	}
	return nil
}

// playFinal plays the final fault of the plan. It returns when all processes have been started again.
func (r *run) playFinal(ctx context.Context) {
	f := r.plan.Final
	if f.Calm {
		r.losses.awaitNone(ctx)
	}
	wiped := r.chooseWiped(ctx, f)
	if !r.awaitTrigger(ctx, f) {
		return // the check of the trigger has reported it
	}
	r.check.beginFault()
	defer r.check.endFault()
	killed := slices.Clone(wiped)
	switch f.Killed {
	case AllControllers:
		killed = r.runningStores()
	case AllProcesses:
		killed = slices.Concat(r.runningStores(), r.entries, r.relays)
	}
	var once sync.Once
	r.restartMany(killed, func() {
		once.Do(func() {
			for _, p := range wiped {
				r.emptyDisk(p)
			}
			ctxtime.Sleep(ctx, time.Duration(f.ForMS)*time.Millisecond)
		})
	})
}

// chooseWiped returns the controllers that lose their disks. Disks that already count as lost use up the budget, and those
// in their place may not be lost as well: it is the disk that counts, not the place.
func (r *run) chooseWiped(ctx context.Context, f *FinalFault) []*program {
	places := slices.Clone(f.Order)
	stores := r.allStores()
	switch f.Choice {
	case Newest:
		slices.SortStableFunc(places, func(a, b int) int { return cmp.Compare(stores[b].number, stores[a].number) })
	case Oldest:
		slices.SortStableFunc(places, func(a, b int) int { return cmp.Compare(stores[a].number, stores[b].number) })
	case Leader:
		leads := map[int]int{}
		for i, p := range stores {
			if value, _, ok := p.metric(ctx, "greengagelock_store_leader"); ok && value > 0 {
				leads[i] = 1
			}
		}
		slices.SortStableFunc(places, func(a, b int) int { return cmp.Compare(leads[b], leads[a]) })
	}
	lost := r.losses.awaitDisk(ctx)
	var wiped []*program
	for _, i := range places {
		if len(wiped) < f.Wiped && !lost[i] && len(lost) < r.d.layout.losses {
			lost[i] = true
			wiped = append(wiped, stores[i])
			r.check.note("the final fault takes the disk of %s", stores[i].name)
		}
	}
	return wiped
}

// awaitTrigger waits for what the fault follows, and reports whether it came.
func (r *run) awaitTrigger(ctx context.Context, f *FinalFault) bool {
	switch f.After {
	case AfterConfig:
		return r.replaceConfig(ctx)
	case AfterEvacuation:
		r.evacuatedAtEnd = r.d.zoneOf(f.Order[0])
		if !r.orderEvacuation(ctx, r.evacuatedAtEnd, true, r.d.layout.recoveryBound+r.d.layout.ackBound) {
			r.check.violate("the evacuation of %s before the final fault was not acknowledged", r.evacuatedAtEnd)
			return false
		}
		r.evacuations.Add(1)
	case AfterSending:
		r.background.Go(func() { r.replaceConfig(ctx) })
		ctxtime.Sleep(ctx, time.Duration(f.DelayMS)*time.Millisecond)
	}
	return true
}

// checkRestored checks after the last fault that the newest acknowledged configuration is read and in force within the
// recovery bound, and that changes are accepted again. It returns when that is so or never came.
func (r *run) checkRestored(ctx context.Context) {
	acknowledged, _ := r.accepted.last()
	back := time.Now()
	bound := r.d.layout.recoveryBound
	read := r.await(ctx, func() bool { return r.readOnce(ctx, rand.IntN(r.d.layout.stores)) >= acknowledged })
	r.judgeRestored(read, bound, "read", acknowledged)
	if !read.came {
		return
	}
	inForce := r.await(ctx, func() bool {
		return !slices.ContainsFunc(r.entries, func(p *program) bool {
			value, _, ok := p.metric(ctx, entryVersionMetric)
			return !ok || uint64(value) < acknowledged
		})
	})
	inForce.after = time.Since(back)
	r.judgeRestored(inForce, bound, "in force at all entry VMs", acknowledged)
	r.restored = r.replaceConfig(ctx) && inForce.came
	if r.restored && time.Since(back) > bound+r.d.layout.ackBound && !r.d.untimed {
		r.check.violate("a change was accepted only %v after the last fault, not within %v", time.Since(back), bound+r.d.layout.ackBound)
	}
}

// arrival says whether something came, and when.
type arrival struct {
	came  bool
	after time.Duration
}

// restoreTimeout is the time after which something that has not come is given up.
const restoreTimeout = 30 * time.Second

// await waits until a condition holds.
func (r *run) await(ctx context.Context, holds func() bool) arrival {
	start := time.Now()
	for time.Since(start) < restoreTimeout {
		if holds() {
			return arrival{came: true, after: time.Since(start)}
		}
		if !ctxtime.Sleep(ctx, pollInterval) {
			break
		}
	}
	return arrival{after: time.Since(start)}
}

// judgeRestored reports that the configuration that was acknowledged before the last fault was seen too late or not at all.
func (r *run) judgeRestored(a arrival, bound time.Duration, seen string, version uint64) {
	switch {
	case !a.came:
		r.check.violate("configuration %d, which was acknowledged before the last fault, was not %s within %v", version, seen, a.after)
	case a.after > bound && !r.d.untimed:
		r.check.violate("configuration %d, which was acknowledged before the last fault, was %s only after %v, not within %v", version, seen, a.after, bound)
	}
}

// checkEvacuationKept checks that targets of the zone that was evacuated before the final fault have got no new flow since
// the given state.
func (r *run) checkEvacuationKept(before openedFlows) {
	if after := r.openedIn(r.evacuatedAtEnd); r.evacuatedAtEnd != "" && !r.d.untimed && after.differs(before) {
		r.check.violate("targets in %s got new flows although its evacuation was acknowledged before the last fault: %v, %v before",
			r.evacuatedAtEnd, after, before)
	}
}

// runningStores returns the controllers that run, also successors of those that still run.
func (r *run) runningStores() []*program {
	var running []*program
	for _, p := range r.d.list() {
		if p.role == "store" && p.hasStarted() && !p.isRetired() {
			running = append(running, p)
		}
	}
	return running
}
