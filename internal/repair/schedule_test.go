package repair_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/repair"
)

var (
	schedules     = flag.Int("schedules", 150, "number of drawn schedules for each size of the group")
	firstSchedule = flag.Int("first-schedule", 0, "seed of the first one")
)

const (
	ms = time.Millisecond
	// syncTime is the time that the platform gives a controller to catch up, after its start and without other trouble.
	syncTime = 6 * time.Second
	// settleTime is the time after the last trouble within which the group must be whole. The platform gives 12 to 15 s.
	settleTime = 12 * time.Second
	// scheduleTime is the time within which the troubles of a schedule begin.
	scheduleTime = 20 * time.Second
	// seedLag is the time after which the settings no longer name a controller that is gone.
	seedLag = 3 * time.Second
)

// kind is a kind of trouble.
type kind int

const (
	replacePlanned   kind = iota // the successor first, then SIGTERM
	replaceUnplanned             // killed for good, then the successor
	loseDisk                     // killed, and back with an empty disk
	kill                         // killed, and back
	killAll                      // all at once
	restart                      // SIGTERM, and back
	pause                        // stands still
	isolate                      // cut from all others
	isolateOut                   // sends nothing
	isolateIn                    // receives nothing
	exchangeSeeds                // for other running controllers
	returnReplaced               // a replaced controller comes back with its disk
	kinds
)

// Kinds of trouble that only a budget plays.
const (
	replaceKilled  kind = kinds + iota // the successor first, then killed for good
	replaceStopped                     // SIGTERM, then the successor
	slow                               // late messages
	split                              // the controllers are cut into two halves
	killSpare                          // a successor that has not taken over is killed, and back
	allKinds
)

func (k kind) String() string {
	return [...]string{
		"replacePlanned", "replaceUnplanned", "loseDisk", "kill", "killAll", "restart", "pause", "isolate", "isolateOut", "isolateIn",
		"exchangeSeeds", "returnReplaced", "replaceKilled", "replaceStopped", "slow", "split", "killSpare",
	}[k]
}

// takesDisk reports whether the disk of a controller is lost for good.
func (k kind) takesDisk() bool { return k == replacePlanned || k == replaceUnplanned || k == loseDisk }

// trouble is one entry of a schedule.
type trouble struct {
	at     time.Duration
	kind   kind
	target int // index among the controllers that run then
	length time.Duration
}

func (t trouble) String() string {
	return fmt.Sprintf("{%d, %v, %d, %d}", t.at.Milliseconds(), t.kind, t.target, t.length.Milliseconds())
}

// drawSchedule draws a schedule. Troubles overlap.
func drawSchedule(r *rand.Rand) []trouble {
	var schedule []trouble
	for range 1 + r.IntN(9) {
		schedule = append(schedule, trouble{
			at: time.Duration(r.Int64N(int64(scheduleTime))), kind: kind(r.IntN(int(kinds))), target: r.IntN(16),
			length: 200*time.Millisecond + time.Duration(r.Int64N(int64(4*time.Second))),
		})
	}
	slices.SortStableFunc(schedule, func(a, b trouble) int { return int(a.at - b.at) })
	return schedule
}

// player plays a schedule in a world, within the losses that the group has to bear: a trouble that takes one disk more
// than that waits until an earlier one no longer counts.
type player struct {
	*world
	size      int // of the group
	active    int // troubles that go on
	calmSince time.Duration
	disksLost int
	waiting   int // troubles that have not begun
}

func (p *player) begin() { p.active++ }

func (p *player) end() {
	p.active--
	p.calmSince = p.Now
}

// releaseDisk ends the count of a lost disk once its successor has had syncTime without trouble.
func (p *player) releaseDisk() {
	if p.active > 0 || p.Now-p.calmSince < syncTime {
		p.After(repairInterval, p.releaseDisk)
		return
	}
	p.disksLost--
}

// start plays one trouble.
func (p *player) start(t trouble) {
	running := p.running()
	if t.kind.takesDisk() && p.disksLost >= (p.size-1)/2 || len(running) == 0 {
		p.After(repairInterval, func() { p.start(t) })
		return
	}
	p.waiting--
	v := running[t.target%len(running)]
	later := func(f func()) {
		p.begin()
		p.After(t.length, func() { f(); p.end() })
	}
	if t.kind.takesDisk() {
		p.disksLost++
		defer func() { p.After(t.length+repairInterval, p.releaseDisk) }()
	}
	switch t.kind {
	case replacePlanned:
		p.addVM(false).start()
		later(func() {
			p.begin()
			v.terminate(func() { p.remove(v); p.end() })
		})
	case replaceUnplanned:
		p.remove(v)
		later(func() { p.addVM(false).start() })
	case loseDisk:
		v.crash()
		v.disk = nil
		later(v.start)
	case kill:
		v.crash()
		later(v.start)
	case killAll:
		for _, v := range running {
			v.crash()
			p.begin()
			p.After(min(t.length, time.Second), func() { v.start(); p.end() })
		}
	case restart:
		p.begin()
		v.terminate(func() { p.After(300*time.Millisecond, func() { v.start(); p.end() }) })
	case pause:
		v.proc.pausedTo = p.Now + t.length
		later(func() {})
	case isolate, isolateOut, isolateIn:
		for _, other := range p.vms {
			if t.kind != isolateIn {
				p.cut[[2]*vm{v, other}] = 1
			}
			if t.kind != isolateOut {
				p.cut[[2]*vm{other, v}] = 1
			}
		}
		later(func() {
			for pair := range p.cut {
				if pair[0] == v || pair[1] == v {
					delete(p.cut, pair)
				}
			}
		})
	case exchangeSeeds:
		p.setSeeds(nil)
	case returnReplaced:
		for _, v := range p.vms {
			if v.gone {
				v.gone = false
				later(v.start)
				break
			}
		}
	}
}

// remove takes a VM away for good.
func (p *player) remove(v *vm) {
	v.crash()
	v.gone = true
	p.After(seedLag, func() {
		p.setSeeds(slices.DeleteFunc(slices.Clone(p.seeds), func(address string) bool { return p.at(address).gone }))
	})
}

// setSeeds writes settings that name some controllers, and others that run, up to three.
func (p *player) setSeeds(kept []string) {
	p.seeds = slices.Clone(kept)
	running := p.running()
	for _, at := range p.rand.Perm(len(running)) {
		if address := running[at].address; len(p.seeds) < 3 && !slices.Contains(p.seeds, address) {
			p.seeds = append(p.seeds, address)
		}
	}
	for _, v := range running {
		v.proc.joiner.SetSeeds(p.seeds)
	}
}

// play plays a schedule, checks the group after it, takes the losses that it has to bear, and checks it again.
func play(seed uint64, size, losses int, f fault, schedule []trouble) []string {
	p := &player{world: newWorld(seed, size, losses, f), size: size, waiting: len(schedule)}
	// Every fourth world loses messages and delivers them late, until the troubles are over.
	if seed%4 == 3 {
		p.lossRate, p.jitter = 0.05, 30*ms
	}
	for _, t := range schedule {
		p.After(t.at, func() { p.start(t) })
	}
	for p.waiting > 0 || p.active > 0 || p.disksLost > 0 {
		p.run(time.Second)
		if p.Now > 10*time.Minute {
			p.problem("the troubles do not end")
		}
		if len(p.problems) > 0 {
			return p.problems
		}
	}
	p.lossRate, p.jitter = 0, 0
	p.run(settleTime)
	p.checkWhole()
	if len(p.problems) > 0 {
		return p.problems
	}
	voters := p.voters()
	p.rand.Shuffle(len(voters), func(i, j int) { voters[i], voters[j] = voters[j], voters[i] })
	lost := voters[:(size-1)/2]
	committed := len(p.committed)
	for _, v := range lost {
		v.crash()
		v.disk = nil
	}
	p.run(settleTime)
	if len(p.problems) == 0 && len(p.committed) == committed {
		p.problem("nothing is committed after the loss of %d of %d voters", len(lost), len(voters))
	}
	for _, v := range lost {
		v.start()
	}
	p.run(settleTime)
	p.checkWhole()
	return p.problems
}

// voters returns the VMs of the voters that the leader knows of; a nil one for a voter that does not run.
func (p *player) voters() []*vm {
	leader := p.leaderProc()
	if leader == nil {
		return nil
	}
	var voters []*vm
	for _, id := range leader.node.Members().Voters {
		var found *vm
		for _, v := range p.running() {
			if memberID(v.disk.name) == id {
				found = v
			}
		}
		voters = append(voters, found)
	}
	return voters
}

// checkWhole checks that the group bears its losses: it has its number of voters, and all of them run.
func (p *player) checkWhole() {
	if len(p.problems) > 0 {
		return
	}
	voters := p.voters()
	switch {
	case voters == nil:
		p.problem("no controller leads")
	case slices.Contains(voters, nil):
		p.problem("a voter does not run; %s", p.describe())
	case len(voters) < p.size:
		p.problem("%d voters, want %d; %s", len(voters), p.size, p.describe())
	}
	if leader := p.leaderProc(); leader != nil {
		g := leader.group()
		if c := repair.Decide(g); c.Kind != repair.None {
			p.problem("the members still change: %+v", c)
		}
	}
}

func (p *player) describe() string {
	text := ""
	if leader := p.leaderProc(); leader != nil {
		for _, m := range leader.group().Members {
			text += fmt.Sprintf(" %s voter %v heard %v ago", m.Name, m.Voter, m.ContactAge)
		}
	}
	return text
}

// Guards against states from which a group of controllers does not heal by itself: replacements, lost disks, restarts,
// cuts and exchanged seeds overlap, within the losses that the group has to bear.
func TestGroupHealsAfterAnySchedule(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for _, size := range []int{3, 5} {
		for i := range *schedules {
			seed := uint64(*firstSchedule + i)
			schedule := drawSchedule(rand.New(rand.NewPCG(seed, uint64(size))))
			// The losses are not known in every third world.
			losses := (size - 1) / 2 * int(min(seed%3, 1))
			g.Expect(play(seed, size, losses, noFault, schedule)).To(BeEmpty(), "size %d, seed %d, %v", size, seed, schedule)
		}
	}
}

// Guards against the same after schedules that once failed.
func TestGroupHealsAfterKeptSchedules(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for name, c := range map[string]struct {
		seed     uint64
		size     int
		schedule []trouble
	}{
		// A new leader took members that it had not heard yet for lost, and removed one that was alive.
		"leader in its first moments": {268, 3, []trouble{
			{288 * ms, isolate, 10, 2422 * ms},
			{5058 * ms, pause, 1, 2207 * ms},
			{12492 * ms, isolateIn, 8, 3434 * ms},
			{13722 * ms, isolate, 15, 3149 * ms},
			{17976 * ms, replacePlanned, 12, 2308 * ms},
			{19160 * ms, isolateIn, 14, 3429 * ms},
		}},
		// A voter that restarted was removed while another one was gone: the two that were left included that one.
		"restart beside a replacement": {427, 3, []trouble{
			{701 * ms, replacePlanned, 12, 1630 * ms},
			{4023 * ms, isolateOut, 10, 886 * ms},
			{12479 * ms, replacePlanned, 2, 3707 * ms},
			{16221 * ms, killAll, 4, 4059 * ms},
			{16882 * ms, restart, 15, 267 * ms},
			{17443 * ms, exchangeSeeds, 14, 770 * ms},
		}},
	} {
		g.Expect(play(c.seed, c.size, (c.size-1)/2, noFault, c.schedule)).To(BeEmpty(), name)
	}
}

// Guards against a group that stays small after fault_tolerance was raised and controllers were added.
func TestGroupGrowsToTheSizeForItsLosses(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for seed := range uint64(20) {
		p := &player{world: newWorld(seed, 3, 1, noFault), size: 5}
		p.losses = 2 // in the settings of the new ones first
		for range 2 {
			p.addVM(false).start()
		}
		p.run(settleTime)
		p.checkWhole()
		g.Expect(p.problems).To(BeEmpty(), "seed %d", seed)
	}
}

// Guards against states that random schedules miss: all sequences of two troubles of a group of three, at distances at which
// they overlap and do not.
func TestGroupHealsAfterAllShortSchedules(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for _, gap := range []time.Duration{50 * ms, 1200 * ms, 2200 * ms} {
		for first := range kinds {
			for second := range kinds {
				for target := range 3 {
					schedule := []trouble{{0, first, 0, 2 * time.Second}, {gap, second, target, 2 * time.Second}}
					g.Expect(play(1, 3, 1, noFault, schedule)).To(BeEmpty(), "%v", schedule)
				}
			}
		}
	}
}

// Shows that the schedules find the faults of the review, each put back alone. The number of schedules that it takes is in
// docs/design.md.
func TestSchedulesFindTheFaultsOfTheReview(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for name, c := range map[string]struct {
		fault  fault
		losses func(size int) int
	}{
		"replaced controllers stay voters":    {growOnPlannedReplacement, func(int) int { return 0 }},
		"seeds that do not lead":              {askSeedsOnly, func(size int) int { return (size - 1) / 2 }},
		"names of the first members are lost": {forgetFirstNames, func(size int) int { return (size - 1) / 2 }},
	} {
		found := -1
		for seed := range uint64(*schedules) {
			size := []int{3, 5}[seed%2]
			schedule := drawSchedule(rand.New(rand.NewPCG(seed, uint64(size))))
			if problems := play(seed, size, c.losses(size), c.fault, schedule); len(problems) > 0 {
				t.Logf("%s: found with seed %d, size %d: %s", name, seed, size, problems[0])
				found = int(seed)
				break
			}
		}
		g.Expect(found).To(BeNumerically(">=", 0), name)
	}
}
