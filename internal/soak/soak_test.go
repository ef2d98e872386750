package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

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
		draw := rapid.SampledFrom([]func(uint64, int) *Plan{NewPlan, NewUpgradePlan, NewFivePlan}).Draw(rt, "draw")
		p := draw(seed, 60_000)
		g.Expect(draw(seed, 60_000)).To(Equal(p))
		g.Expect(p.Save(file)).To(Succeed())
		g.Expect(Load(file)).To(Equal(p))
		if p.Deployment == Five {
			expectLossesBorne(g, p)
			return
		}
		free := 0
		for _, e := range p.Events {
			if e.ofStore() {
				g.Expect(e.AtMS).To(BeNumerically(">=", free))
				free = e.end() + storeFaultGapMS
			}
		}
	})
}

// expectLossesBorne checks that no more controllers are lost at any time than the deployment bears.
func expectLossesBorne(g *WithT, p *Plan) {
	l := p.layout()
	for i := range p.Events {
		at, lost := p.Events[i].AtMS, map[int]bool{}
		for _, e := range p.Events[:i+1] {
			if e.ofStore() && (e.end()+int(l.syncTime.Milliseconds()) > at && e.Kind != ReplaceStore ||
				e.Kind == ReplaceStore && max(e.end(), e.AtMS+int(l.syncTime.Milliseconds())) > at) {
				lost[e.Index] = true
			}
		}
		g.Expect(len(lost)).To(BeNumerically("<=", l.losses), "at %d ms", at)
	}
}

// Guards against runs on a slow machine that lose more controllers at once than the deployment has to bear.
func TestLossesStayWithinTheBudget(t *testing.T) {
	g := NewWithT(t)
	b := newLossBudget(layout{losses: 2, syncTime: time.Hour})
	g.Expect(b.tryBegin(0, true)).To(BeTrue())
	g.Expect(b.tryBegin(0, false)).To(BeFalse(), "it is down")
	b.end(0, time.Now())
	g.Expect(b.tryBegin(1, false)).To(BeTrue())
	g.Expect(b.tryBegin(2, false)).To(BeFalse(), "the first has not caught up yet")
	g.Expect(b.lostDisks()).To(Equal(map[int]bool{0: true}))
	b.end(0, time.Now().Add(-2*time.Hour))
	g.Expect(b.tryBegin(2, false)).To(BeTrue())
}

// Guards against a plan edited by hand that names a process which does not exist.
func TestInvalidPlanIsRefused(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "plan.json")
	for _, e := range []Event{{Kind: KillEntry, Index: entryCount}, {Kind: "unknown"}, {Kind: KillAll, AtMS: -1}, {Kind: KillStore, Index: 3}} {
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

// buildDaemon builds the daemon of this checkout.
func buildDaemon(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "greengagelockd")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/greengagelock/greengagelock/cmd/greengagelockd").CombinedOutput()
	NewWithT(t).Expect(err).NotTo(HaveOccurred(), string(out))
	return binary
}

// Guards against broken promises of the real processes under a short series of faults, without bounds of time: no
// request runs twice or at another service, no configuration reverts, no process ends by itself.
func TestShortSoak(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	binary := buildDaemon(t)
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
	g.Expect(result.VersionsSeen).To(BeNumerically(">", 0), "the checks of the configuration in force have seen one")
}

// Guards against checks of metrics that find none, because the lines have labels.
func TestSamplesWithLabelsAreRead(t *testing.T) {
	g := NewWithT(t)
	for line, value := range map[string]float64{`m{component="a b"} 3`: 3, "m 2.5": 2.5} {
		read, found := parseSample(line, "m")
		g.Expect(found).To(BeTrue(), line)
		g.Expect(read).To(Equal(value), line)
	}
	for _, line := range []string{"m_total 3", "m", "# TYPE m gauge", "n 3"} {
		_, found := parseSample(line, "m")
		g.Expect(found).To(BeFalse(), line)
	}
}

// Guards against signals to a process that has not got a core yet, and so cannot handle them.
func TestProcessorTimeIsMeasured(t *testing.T) {
	g := NewWithT(t)
	g.Eventually(func() time.Duration { return processorTime(os.Getpid()) }, time.Minute, time.Nanosecond).Should(BeNumerically(">=", startupProcessorTime))
	g.Expect(processorTime(-1)).To(BeZero())
}

// Guards against processes of the production build and of this one that do not understand each other: controllers, entry
// VMs and relays are replaced one after the other, one controller goes back, and a zone is evacuated once all controllers
// are of this build.
func TestShortUpgrade(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	binary := buildDaemon(t)
	production, err := BuildProduction(context.Background(), filepath.Join("..", ".."), t.TempDir())
	g.Expect(err).NotTo(HaveOccurred())
	plan := &Plan{Seed: 1, LengthMS: 16000, Production: true, Events: []Event{
		{AtMS: 100, Kind: UpgradeStore, Index: 0},
		{AtMS: 200, Kind: UpgradeEntry, Index: 0},
		{AtMS: 300, Kind: ReplaceConfig, Count: 2},
		{AtMS: 1500, Kind: UpgradeRelay, Index: 0},
		{AtMS: 4000, Kind: RevertStore, Index: 0},
		{AtMS: 5500, Kind: UpgradeStore, Index: 1},
		{AtMS: 7000, Kind: UpgradeStore, Index: 0},
		{AtMS: 8500, Kind: UpgradeStore, Index: 2},
		{AtMS: 10000, Kind: EvacuateZone, Index: 0, ForMS: 1000},
		{AtMS: 12000, Kind: KillStores, ForMS: 300},
		{AtMS: 13000, Kind: ReplaceConfig, Count: 2},
	}}
	result, err := Run(context.Background(), Config{Binary: binary, Production: production, Dir: t.TempDir(), Untimed: true}, plan)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Violations).To(BeEmpty())
	g.Expect(result.Counts.Answered).To(BeNumerically(">", 0))
	g.Expect(result.Evacuations).To(Equal(1), "the order is accepted after the last controller was replaced")
}

// Guards against acknowledged configurations and evacuations that are lost with disks after controllers were replaced in
// series, on the real processes and with a drawn plan, without bounds of time.
func TestShortSoakOfFiveControllers(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	result, err := Run(context.Background(), Config{Binary: buildDaemon(t), Dir: t.TempDir(), Untimed: true}, NewFivePlan(16, 6000))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Violations).To(BeEmpty())
	g.Expect(result.Restored).To(BeTrue())
}

// Guards against the loss of an acknowledged configuration, and of the leader for good, after planned and unplanned
// replacements of controllers around exchanged seeds, when two disks are then lost while all other processes are killed. The
// daemon of 20a3a2e fails: newcomers do not become members, or make the group larger for good.
func TestConfigurationOutlivesLostDisksAfterReplacements(t *testing.T) {
	t.Parallel()
	playKept(t, "lost-disks-after-replacements.json")
}

// Guards against the loss of an acknowledged configuration, and of the leader for good, when two disks are lost right after
// a controller has been replaced as planned. The stopped controller must not be a voter any more.
func TestConfigurationOutlivesLostDisksAfterAVoterHasLeft(t *testing.T) {
	t.Parallel()
	playKept(t, "lost-disks-after-a-voter-has-left.json")
}

// playKept plays a kept plan, without bounds of time.
func playKept(t *testing.T, file string) {
	g := NewWithT(t)
	plan, err := Load(filepath.Join("testdata", file))
	g.Expect(err).NotTo(HaveOccurred())
	result, err := Run(context.Background(), Config{Binary: buildDaemon(t), Dir: t.TempDir(), Untimed: true}, plan)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Violations).To(BeEmpty())
	g.Expect(result.Restored).To(BeTrue())
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
