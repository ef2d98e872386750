package repair_test

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var allShort = flag.Bool("all-short", false, "play the short schedules at all distances of their troubles, for all of their targets")

// drawHits draws a schedule of troubles of all kinds. They overlap.
func drawHits(r *rand.Rand) []trouble {
	var schedule []trouble
	for range 1 + r.IntN(12) {
		t := trouble{at: time.Duration(r.Int64N(int64(scheduleTime))), kind: kind(r.IntN(int(allKinds))), target: r.IntN(30)}
		t.length = 100*ms + time.Duration(r.Int64N(int64(4*time.Second)))
		if t.kind != returnReplaced {
			schedule = append(schedule, t)
		}
	}
	slices.SortStableFunc(schedule, func(a, b trouble) int { return int(a.at - b.at) })
	return schedule
}

// Guards against a group that bears fewer losses than it is entitled to, so that the next allowed loss takes its majority for
// good: the losses that the budget leaves are checked at every moment, in every combination, and taken at one.
func TestGroupBearsEveryLossTheBudgetAllows(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for _, size := range []int{3, 5} {
		for i := range *schedules {
			seed := uint64(*firstSchedule + i)
			schedule := drawHits(rand.New(rand.NewPCG(seed, uint64(size))))
			g.Expect(playBudget(seed, size, noFault, schedule)).To(BeEmpty(), "size %d, seed %d, %v", size, seed, schedule)
		}
	}
}

// Guards against a group that does not heal once those of its controllers that run the production build have been upgraded. Such
// a controller leads by its own rules, which do not bear every loss, so that the last ones are taken and no others looked for.
func TestMixedGroupHealsWhenUpgraded(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for i := range *schedules / 3 {
		seed := uint64(*firstSchedule + i)
		size := []int{3, 5}[seed%2]
		b := newBudget(seed, size, noFault)
		b.mixed = true
		for _, at := range b.rand.Perm(size)[:1+b.rand.IntN(size)] {
			b.vms[at].old = true
		}
		schedule := drawHits(rand.New(rand.NewPCG(seed, uint64(size))))
		g.Expect(b.play(schedule)).To(BeEmpty(), "size %d, seed %d, %v", size, seed, schedule)
	}
}

// Guards against states that drawn schedules miss: all sequences of two troubles of a group of three, at distances at which they
// overlap and do not, of the leader and of another one.
func TestGroupBearsEveryLossAfterAllShortSchedules(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	gaps, targets := []time.Duration{1100 * ms}, 2
	if *allShort {
		gaps, targets = append(gaps, 50*ms, 2600*ms), 4
	}
	for first := range allKinds {
		for second := range allKinds {
			for _, gap := range gaps {
				for target := range targets {
					schedule := []trouble{{5 * time.Second, first, target % 2, 900 * ms}, {5*time.Second + gap, second, target / 2, 900 * ms}}
					if first != returnReplaced && second != returnReplaced {
						g.Expect(playBudget(1, 3, noFault, schedule)).To(BeEmpty(), "%v", schedule)
					}
				}
			}
		}
	}
}

// Guards against schedules that no longer find the rules of earlier builds, each put back alone.
func TestBudgetFindsTheRulesOfEarlierBuilds(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for name, c := range map[string]struct {
		fault    fault
		seed     uint64
		size     int
		schedule []trouble
	}{
		// Every learner becomes a voter: the group has four voters, of which one has left.
		"rules of the production build": {productionRules, 5, 3, []trouble{{3264 * ms, replacePlanned, 5, 2976 * ms}}},
		"the same in a larger group":    {productionRules, 2, 5, []trouble{{399 * ms, replacePlanned, 16, 1752 * ms}}},
		// The process ends between the promotion of its successor and its own removal.
		"a process that ends before its removal": {leaveOnPromotion, 5, 3, []trouble{{171 * ms, replacePlanned, 17, 2669 * ms}}},
		"the same beside others":                 {leaveOnPromotion, 13, 5, []trouble{{11208 * ms, replacePlanned, 23, 2273 * ms}}},
		// The spare one, in one half, replaces a voter in the other half, which has its disk. Between its removal and the
		// promotion entries are on two disks.
		"removal before promotion": {removeFirst, 374, 3, []trouble{{10147 * ms, split, 4, 3834 * ms}, {10375 * ms, replacePlanned, 3, 802 * ms}}},
		"removal of two voters for one learner": {replaceTwo, 867, 5, []trouble{
			{759 * ms, replacePlanned, 8, 1684 * ms},
			{7480 * ms, killAll, 14, 2664 * ms},
			{11454 * ms, split, 1, 3376 * ms},
			{12349 * ms, replaceUnplanned, 13, 137 * ms},
		}},
		// A learner is promoted before the voter that it replaces is removed.
		"two single changes":                  {singleChanges, 204, 5, []trouble{{175 * ms, replacePlanned, 18, 3745 * ms}, {9590 * ms, isolateOut, 13, 3980 * ms}}},
		"seeds that do not lead":              {askSeedsOnly, 44, 5, []trouble{{11258 * ms, replaceStopped, 12, 3745 * ms}}},
		"names of the first members are lost": {forgetFirstNames, 1, 3, nil},
	} {
		g.Expect(playBudget(c.seed, c.size, c.fault, c.schedule)).NotTo(BeEmpty(), name)
		g.Expect(playBudget(c.seed, c.size, noFault, c.schedule)).To(BeEmpty(), name)
	}
}

// Guards against a successor whose loss, right after its promotion, takes the majority: the voter that it replaces has left
// already and is not removed yet, and one loss more is allowed besides.
func TestGroupBearsTheLossOfASuccessorJustPromoted(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	// The spare one replaces a voter that is cut off. That one comes back, and replaces one that has stopped meanwhile.
	schedule := []trouble{{175 * ms, replacePlanned, 18, 3745 * ms}, {9590 * ms, isolateOut, 13, 3980 * ms}}
	g.Expect(playBudget(204, 5, noFault, schedule)).To(BeEmpty())
}
