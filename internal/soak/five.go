package soak

import (
	"math/rand/v2"
)

const (
	// seriesGapMS is the longest time between two events of a series, and calmGapMS that between two series. Within a series
	// the events of controllers overlap, as far as the deployment has to bear that.
	seriesGapMS = 2000
	calmGapMS   = 7000
	// retryGapMS is the time until another event is drawn after one that would have lost too many controllers.
	retryGapMS = 200
	// kindShare is the share of the kinds that a plan uses. Some faults show only if others that hide them do not occur, such as
	// the election of another leader.
	kindShare = 0.6
	// lastPlannedShare is the share of the plans that end with a planned replacement, so that the final fault follows while the
	// members change.
	lastPlannedShare = 0.4
	// seriesShare is the share of the gaps that are short.
	seriesShare = 0.75
	// maxOverlapMS is the longest time for which the controller that is replaced runs beside its successor.
	maxOverlapMS = 8000
	// maxKillAllMS is the longest time after which the processes are started that were all killed at once.
	maxKillAllMS = 1000
	// maxFinalMS is the same for the final fault, and maxSendingMS the longest time between a change and that fault.
	maxFinalMS   = 3000
	maxSendingMS = 300
	// fiveFaultMS is the longest time for which a controller is down or paused.
	fiveFaultMS = 4000
)

// weighted is one of several values, with a weight.
type weighted[T any] struct {
	value  T
	weight int
}

// draw draws one of several values.
func draw[T any](r *rand.Rand, from []weighted[T]) T {
	total := 0
	for _, w := range from {
		total += w.weight
	}
	n := r.IntN(total)
	for _, w := range from {
		if n < w.weight {
			return w.value
		}
		n -= w.weight
	}
	panic("unreachable")
}

// drawKinds draws the kinds of events of a plan. Some controllers are always replaced.
func drawKinds(r *rand.Rand) []weighted[Kind] {
	kinds := []weighted[Kind]{draw(r, []weighted[weighted[Kind]]{{fiveKinds[0], 2}, {fiveKinds[1], 1}})}
	for _, k := range fiveKinds {
		if r.Float64() < kindShare {
			kinds = append(kinds, k)
		}
	}
	return kinds
}

var (
	// The first two kinds replace controllers.
	fiveKinds = []weighted[Kind]{
		{ReplaceStore, 10},
		{LoseStore, 6},
		{RemoveStore, 2},
		{WipeStore, 4},
		{KillStore, 4},
		{PauseStore, 4},
		{TermStore, 4},
		{ExchangeSeeds, 6},
		{KillStores, 1},
		{KillAll, 1},
		{ReplaceConfig, 6},
		{TermEntry, 1},
		{TermRelay, 1},
		{KillEntry, 1},
		{KillRelay, 1},
		{DrainTarget, 1},
	}
	finalChoices  = []weighted[Choice]{{Newest, 4}, {Leader, 2}, {Oldest, 2}, {Any, 2}}
	finalScopes   = []weighted[Scope]{{NoOthers, 1}, {AllControllers, 1}, {AllProcesses, 2}}
	finalWipes    = []weighted[int]{{2, 4}, {1, 1}}
	finalTriggers = []weighted[Trigger]{{AfterConfig, 6}, {AfterEvacuation, 2}, {AfterSending, 2}}
)

// NewFivePlan draws a plan for the deployment of five: controllers fail and are replaced in series that overlap, and at the
// end some lose their disks.
func NewFivePlan(seed uint64, lengthMS int) *Plan {
	r := rand.New(rand.NewPCG(seed, 3))
	p := &Plan{Seed: seed, Deployment: Five, LengthMS: lengthMS}
	l := p.layout()
	p.Seeds = r.Perm(l.stores)[:seedCount]
	s := newStoreSchedule(l)
	kinds := drawKinds(r)
	for at := 500 + r.IntN(1500); at < lengthMS; {
		e := Event{AtMS: at, Kind: draw(r, kinds), ForMS: 200 + r.IntN(fiveFaultMS)}
		switch e.Kind {
		case ReplaceStore, RemoveStore:
			e.ForMS = r.IntN(maxOverlapMS)
		case KillStores, KillAll:
			e.ForMS = 100 + r.IntN(maxKillAllMS)
		case ExchangeSeeds:
			e.Seeds = r.Perm(l.stores)[:seedCount]
		case ReplaceConfig:
			e.Count = 1 + r.IntN(3)
		case TermEntry, KillEntry:
			e.Index = r.IntN(entryCount)
		case TermRelay, KillRelay, DrainTarget:
			e.Index = r.IntN(relayCount)
		}
		if e.ofStore() && !s.place(r, &e) {
			at += retryGapMS
			continue
		}
		s.observe(&e)
		p.Events = append(p.Events, e)
		gap := r.IntN(seriesGapMS)
		if r.Float64() > seriesShare {
			gap = r.IntN(calmGapMS)
		}
		at += max(gap, 1)
	}
	if r.Float64() < lastPlannedShare {
		s.appendPlanned(r, p)
	}
	p.Final = &FinalFault{
		After: draw(r, finalTriggers), DelayMS: r.IntN(maxSendingMS), Calm: r.IntN(3) > 0, Wiped: draw(r, finalWipes),
		Choice: draw(r, finalChoices), Order: r.Perm(l.stores), Killed: draw(r, finalScopes), ForMS: r.IntN(maxFinalMS),
	}
	return p
}

// storeSchedule keeps the planned events of controllers within what may be lost at once. See lossBudget, which does the
// same at the time of the run.
type storeSchedule struct {
	layout layout
	lostTo []int // by index, the time until which the controller counts as lost
}

func newStoreSchedule(l layout) *storeSchedule {
	return &storeSchedule{layout: l, lostTo: make([]int, l.stores)}
}

// place chooses a controller for an event, and reports whether it may be lost.
func (s *storeSchedule) place(r *rand.Rand, e *Event) bool {
	lost := 0
	for _, to := range s.lostTo {
		if to > e.AtMS {
			lost++
		}
	}
	e.Index = r.IntN(s.layout.stores)
	return lost < s.layout.losses && s.lostTo[e.Index] <= e.AtMS
}

// appendPlanned appends a planned replacement to a plan, once it may be made. Its successor has had its time when the old
// controller gets SIGTERM, so that two others may be lost from then on.
func (s *storeSchedule) appendPlanned(r *rand.Rand, p *Plan) {
	e := Event{AtMS: p.LengthMS, Kind: ReplaceStore, ForMS: int(s.layout.syncTime.Milliseconds()) + r.IntN(maxOverlapMS)/4}
	for !s.place(r, &e) {
		e.AtMS += retryGapMS
	}
	s.observe(&e)
	p.Events = append(p.Events, e)
}

// observe takes an event into the schedule.
func (s *storeSchedule) observe(e *Event) {
	syncMS := int(s.layout.syncTime.Milliseconds())
	switch {
	case e.Kind == ReplaceStore: // the successor starts first
		s.lostTo[e.Index] = e.AtMS + max(e.ForMS, syncMS)
	case e.ofStore():
		s.lostTo[e.Index] = e.end() + syncMS
	case e.Kind == KillStores || e.Kind == KillAll:
		for i, to := range s.lostTo {
			if to > e.AtMS {
				s.lostTo[i] = max(to, e.end()+syncMS)
			}
		}
	}
}
