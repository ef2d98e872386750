package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

// Guards against plans that differ between two runs of a seed, cannot be loaded again, or take a majority of the
// controllers away without being meant to.
func TestPlans(t *testing.T) {
	file := filepath.Join(t.TempDir(), "plan.json")
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		seed := rapid.Uint64().Draw(rt, "seed")
		p := NewPlan(seed, 60_000)
		g.Expect(NewPlan(seed, 60_000)).To(Equal(p))
		g.Expect(p.Save(file)).To(Succeed())
		g.Expect(Load(file)).To(Equal(p))
		free := 0
		for _, e := range p.Events {
			switch e.Kind {
			case TermStore, KillStore, WipeStore, PauseStore:
				g.Expect(e.AtMS).To(BeNumerically(">=", free))
				free = e.end() + storeFaultGapMS
			}
		}
	})
}

// Guards against a plan edited by hand that names a process which does not exist.
func TestInvalidPlanIsRefused(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "plan.json")
	for _, e := range []Event{{Kind: KillEntry, Index: entryCount}, {Kind: "unknown"}, {Kind: KillAll, AtMS: -1}} {
		g.Expect((&Plan{Events: []Event{e}}).Save(file)).To(Succeed())
		_, err := Load(file)
		g.Expect(err).To(MatchError(ContainSubstring("event 0")))
	}
}

// Guards against checks that find nothing.
func TestCheckerFindsViolations(t *testing.T) {
	g := NewWithT(t)
	c := newChecker()
	c.recordRun(1, "a")
	c.recordRun(2, "a")
	c.recordRun(1, "b")
	violations, _, _ := c.result()
	g.Expect(violations).To(ConsistOf(ContainSubstring("request 1 was run by a and again by b")))
	g.Expect(c.isStable()).To(BeTrue())
	c.beginFault()
	g.Expect(c.isStable()).To(BeFalse())
	c.endFault()
	g.Expect(c.isStable()).To(BeFalse(), "the fault has just ended")
}

// Guards against broken promises of the real processes under a short series of faults, without bounds of time: no
// request runs twice or at another service, no configuration reverts, no process ends by itself.
func TestShortSoak(t *testing.T) {
	g := NewWithT(t)
	binary := filepath.Join(t.TempDir(), "greengagelockd")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/greengagelock/greengagelock/cmd/greengagelockd").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	plan := &Plan{Seed: 1, LengthMS: 5000, Events: []Event{
		{AtMS: 300, Kind: ReplaceConfig, Count: 3},
		{AtMS: 500, Kind: TermEntry, Index: 1},
		{AtMS: 900, Kind: DrainTarget, Index: 2},
		{AtMS: 1500, Kind: KillRelay, Index: 0, ForMS: 300},
		{AtMS: 2000, Kind: WipeStore, Index: 1, ForMS: 300},
		{AtMS: 3500, Kind: KillAll, ForMS: 500},
	}}
	result, err := Run(context.Background(), Config{Binary: binary, Dir: t.TempDir(), Untimed: true}, plan)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Violations).To(BeEmpty())
	g.Expect(result.Counts.Answered).To(BeNumerically(">", 0))
}

// Guards against saved plans of runs that failed once and cannot be played again.
func TestSavedPlansCanBePlayed(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob("testdata/*.json")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).NotTo(BeEmpty())
	for _, file := range files {
		p, err := Load(file)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(p.Events).NotTo(BeEmpty(), file)
	}
}
