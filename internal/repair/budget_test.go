package repair_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/greengagelock/greengagelock/internal/consensus"
)

var (
	tolerated = flag.Duration("tolerated", 0, "time for which a state may last in which an allowed loss takes the majority")
	disksOnly = flag.Bool("disks-only", false, "allow the loss of as many disks as the group bears, however many controllers are down besides")
	traced    = flag.Bool("trace", false, "print the troubles and the changes of the members")
)

// syncTimes and recoveryTimes are the bounds syncS and recoveryS of the sites with three and five controllers.
var (
	syncTimes     = map[int]time.Duration{3: 4 * time.Second, 5: 6 * time.Second}
	recoveryTimes = map[int]time.Duration{3: 12 * time.Second, 5: 15 * time.Second}
)

// slot is a place for a controller. It counts as lost while a trouble keeps its controller from taking part, and for syncS
// after the end of that, or after the start of a successor.
type slot struct {
	vm       *vm
	troubles int
	until    time.Duration
	diskLost bool // since it counts as lost
}

// budget plays troubles as the platform does: at most as many slots as the group has to bear count as lost, and no slot loses
// a second disk while it counts. Kills of all and splits do not count; the slots that do count then have syncS after them.
type budget struct {
	*player
	slots, spares []*slot
	ended         bool          // no further trouble begins
	mixed         bool          // some controllers are of the production build
	sync          time.Duration // syncS
	holds         int           // kills and splits of all that go on
	heldAt        time.Duration // since when
	// exposure describes an allowed loss that takes the majority now, exposedAt is its beginning.
	exposure  string
	exposedAt time.Duration
}

func newBudget(seed uint64, size int, f fault) *budget {
	b := &budget{player: &player{world: createWorld(seed, size, (size-1)/2, f), size: size}, sync: syncTimes[size]}
	for _, v := range b.vms {
		b.slots = append(b.slots, &slot{vm: v, until: 300*ms + b.sync})
	}
	b.onMembers = b.check
	b.checkAgain()
	return b
}

func (b *budget) counts(s *slot) bool { return s.troubles > 0 || s.until > b.since() }

// since returns the beginning of the kill or split of all that goes on, or the time now.
func (b *budget) since() time.Duration {
	if b.holds > 0 {
		return b.heldAt
	}
	return b.Now
}

// all returns the slots and the successors that have not taken over.
func (b *budget) all() []*slot { return slices.Concat(b.slots, b.spares) }

// left returns the number of slots that may still be lost.
func (b *budget) left() int {
	left := b.losses
	for _, s := range b.all() {
		if b.counts(s) {
			left--
		}
	}
	return left
}

// allows reports whether a trouble may keep the controller of a slot from taking part.
func (b *budget) allows(s *slot, takesDisk bool) bool {
	if s.troubles > 0 || s.vm.proc == nil || b.left() < 0 {
		return false
	}
	if b.counts(s) {
		return !takesDisk || !s.diskLost
	}
	return b.left() > 0
}

func (b *budget) hit(s *slot, takesDisk bool) {
	b.begin()
	s.diskLost = s.diskLost && b.counts(s) || takesDisk
	s.troubles++
}

func (b *budget) release(s *slot) {
	b.tracef("end at %s", s.vm.address)
	b.end()
	s.troubles--
	s.until = max(s.until, b.Now+b.sync)
}

// hold keeps the slots that count as lost in that state until the returned function runs, and for syncS after it.
func (b *budget) hold() (release func()) {
	b.begin()
	if b.holds == 0 {
		b.heldAt = b.Now
	}
	b.holds++
	return func() {
		b.end()
		for _, s := range b.all() {
			if b.counts(s) {
				s.until = max(s.until, b.Now+b.sync)
			}
		}
		b.holds--
	}
}

// target returns the slot that a trouble names: that of the leader for every third number.
func (b *budget) target(number int) *slot {
	if p := b.leaderProc(); p != nil && number%3 == 0 {
		for _, s := range b.slots {
			if s.vm == p.vm {
				return s
			}
		}
	}
	return b.slots[number/3%len(b.slots)]
}

// start plays one trouble, now or as soon as the budget allows it.
func (b *budget) start(t trouble) {
	if b.ended {
		b.waiting--
		return
	}
	s := b.target(t.target)
	f, alone := b.effect(t, s)
	needsDisk := t.kind.takesDisk() || t.kind == replaceStopped
	if alone && !b.allows(s, needsDisk) {
		b.After(repairInterval, func() { b.start(t) })
		return
	}
	b.waiting--
	b.tracef("%v on %s (slot counts %v) left %d", t, s.vm.address, b.counts(s), b.left())
	if alone {
		b.hit(s, needsDisk)
	}
	f()
	b.check()
}

// effect returns what a trouble does, and whether it counts for the slot s from its beginning.
func (b *budget) effect(t trouble, s *slot) (f func(), counts bool) {
	v := s.vm
	later := func(f func()) {
		b.After(t.length, func() { f(); b.release(s) })
	}
	switch t.kind {
	case replacePlanned, replaceKilled:
		return func() { b.replaceNewFirst(t, s) }, false
	case replaceUnplanned:
		return func() { b.remove(v); b.succeed(t, s) }, true
	case replaceStopped:
		return func() { v.terminate(func() { b.remove(v); b.succeed(t, s) }) }, true
	case loseDisk:
		return func() { v.crash(); v.disk = nil; later(v.start) }, true
	case kill:
		return func() { v.crash(); later(v.start) }, true
	case restart:
		return func() { v.terminate(func() { b.After(300*ms, func() { v.start(); b.release(s) }) }) }, true
	case pause:
		return func() { v.proc.pausedTo = b.Now + t.length; later(func() {}) }, true
	case isolate, isolateOut, isolateIn:
		return func() { later(b.cutOff(v, t.kind)) }, true
	case slow:
		return func() { v.delay = t.length / 10; later(func() { v.delay = 0 }) }, true
	case killAll:
		return func() {
			release := b.hold()
			for _, v := range b.running() {
				v.crash()
				b.After(time.Duration(b.rand.Int64N(int64(min(t.length, time.Second)))), v.start)
			}
			b.After(time.Second, release)
		}, false
	case split:
		return func() { release, heal := b.hold(), b.split(); b.After(t.length, func() { heal(); release() }) }, false
	case killSpare:
		return func() {
			if len(b.spares) > 0 && b.allows(b.spares[0], false) {
				s = b.spares[0]
				b.hit(s, false)
				s.vm.crash()
				later(s.vm.start)
			}
		}, false
	}
	return func() { b.exchangeSeeds() }, false
}

// succeed starts the successor of a controller that was removed.
func (b *budget) succeed(t trouble, s *slot) {
	s.vm = b.addVM(false)
	b.After(t.length, func() { s.vm.start(); b.release(s) })
}

// replaceNewFirst starts a successor beside the controller of a slot, and removes that later. A controller that hands over counts
// no longer than its process runs, one that is killed counts for syncS.
func (b *budget) replaceNewFirst(t trouble, s *slot) {
	spare, startedAt := &slot{vm: b.addVM(false)}, b.Now
	b.spares = append(b.spares, spare)
	spare.vm.start()
	b.begin()
	var takeOver func()
	takeOver = func() {
		if b.ended || spare.troubles > 0 || !b.allows(s, true) {
			if b.ended {
				b.end()
				return
			}
			b.After(repairInterval, takeOver)
			return
		}
		b.hit(s, true)
		b.spares = slices.DeleteFunc(b.spares, func(o *slot) bool { return o == spare })
		end := func(v *vm, handover time.Duration) {
			b.remove(v)
			s.vm, s.until = spare.vm, max(s.until, spare.until, startedAt+b.sync, b.Now+handover)
			s.troubles--
			b.end()
			b.end()
			b.check()
		}
		if v := s.vm; t.kind == replaceKilled {
			end(v, b.sync)
		} else {
			v.terminate(func() { end(v, 0) })
		}
	}
	b.After(3*t.length, takeOver)
}

// cutOff cuts the messages of a VM and returns the end of that.
func (b *budget) cutOff(v *vm, k kind) (heal func()) {
	var pairs [][2]*vm
	for _, other := range b.vms {
		if k != isolateIn {
			pairs = append(pairs, [2]*vm{v, other})
		}
		if k != isolateOut {
			pairs = append(pairs, [2]*vm{other, v})
		}
	}
	return b.cutPairs(pairs)
}

// split cuts the VMs into two halves and returns the end of that.
func (b *budget) split() (heal func()) {
	var pairs [][2]*vm
	order := b.rand.Perm(len(b.slots))
	half := func(v *vm) bool {
		at := slices.IndexFunc(b.slots, func(s *slot) bool { return s.vm == v })
		return at < 0 || order[at] < len(b.slots)/2
	}
	for _, v := range b.vms {
		for _, other := range b.vms {
			if half(v) != half(other) {
				pairs = append(pairs, [2]*vm{v, other})
			}
		}
	}
	return b.cutPairs(pairs)
}

func (b *budget) cutPairs(pairs [][2]*vm) (heal func()) {
	for _, pair := range pairs {
		b.cut[pair]++
	}
	return func() {
		for _, pair := range pairs {
			b.cut[pair]--
		}
	}
}

// remove takes a VM away for good. Settings that are written up to seedLag later may name it.
func (b *budget) remove(v *vm) {
	b.tracef("%s is removed", v.address)
	v.crash()
	v.gone = true
	b.After(seedLag, func() {
		if slices.Contains(b.seeds, v.address) {
			b.exchangeSeeds()
		}
	})
}

// exchangeSeeds writes settings that name three controllers of the operator's list, whether they run or not.
func (b *budget) exchangeSeeds() {
	b.seeds = nil
	for _, at := range b.rand.Perm(len(b.slots)) {
		if len(b.seeds) < 3 {
			b.seeds = append(b.seeds, b.slots[at].vm.address)
		}
	}
	for _, v := range b.running() {
		v.proc.joiner.SetSeeds(b.seeds)
	}
}

func (b *budget) checkAgain() {
	b.check()
	b.After(50*ms, b.checkAgain)
}

// check checks that the group can go on after every combination of losses that the budget leaves, once the others are back.
func (b *budget) check() {
	if b.mixed || len(b.problems) > 0 || b.Now < 300*ms+b.sync {
		return
	}
	var free []*slot
	for _, s := range b.all() {
		if !(b.counts(s) && s.diskLost) && s.vm.disk != nil {
			free = append(free, s)
		}
	}
	b.exposure = ""
	defer b.judge()
	left := b.left()
	if *disksOnly {
		left = b.losses
		for _, s := range b.all() {
			if b.counts(s) && s.diskLost {
				left--
			}
		}
	}
	for chosen := range 1 << len(free) {
		lost, cost := map[*vm]bool{}, 0
		for i, s := range free {
			if chosen&(1<<i) != 0 {
				lost[s.vm] = true
				if *disksOnly || !b.counts(s) {
					cost++
				}
			}
		}
		if cost == left {
			b.checkAfterLoss(lost)
		}
	}
}

// judge reports a state in which an allowed loss takes the majority, if it lasts longer than tolerated.
func (b *budget) judge() {
	if b.exposure == "" {
		b.exposedAt = 0
		return
	}
	if b.exposedAt == 0 {
		b.exposedAt = b.Now
	}
	if b.Now-b.exposedAt >= *tolerated {
		b.problem("%s", b.exposure)
	}
}

// checkAfterLoss checks that the controllers that keep their disks can elect a leader, and that it has every committed entry.
func (b *budget) checkAfterLoss(lost map[*vm]bool) {
	var disks []*disk
	for _, v := range b.vms {
		if v.disk != nil && !v.gone && !lost[v] {
			disks = append(disks, v.disk)
		}
	}
	for _, d := range disks {
		last := d.last()
		votes := map[consensus.MemberID]bool{}
		for _, o := range disks {
			theirs := o.last()
			votes[memberID(o.name)] = theirs.Term < last.Term || theirs.Term == last.Term && theirs.Index <= last.Index
		}
		if d.members.IsVoter(memberID(d.name)) && consensus.HasMajorities(d.groups, func(id consensus.MemberID) bool { return votes[id] }) {
			if last.Index < uint64(len(b.committed)-1) {
				b.problem("%s can lead without entry %d", d.name, len(b.committed)-1)
			}
			return
		}
	}
	var names []string
	for v := range lost {
		names = append(names, v.address)
	}
	slices.Sort(names)
	b.exposure = fmt.Sprintf("the loss of the disks [%s] takes the majority; %s", strings.Join(names, " "), b.describe())
}

// lastFault lets as many controllers as the budget leaves lose their disks, and some that count as lost already, while the
// others run on, are killed, or begin anew a moment later.
func (b *budget) lastFault() {
	b.ended = true
	for committed := len(b.committed); b.leaderProc() != nil && committed == len(b.committed) && b.RunNext(b.Now+commitInterval); {
	}
	killsOthers := b.rand.IntN(3) > 0
	for _, at := range b.rand.Perm(len(b.slots)) {
		if s := b.slots[at]; b.allows(s, true) {
			b.hit(s, true)
			s.vm.crash()
			s.vm.disk = nil
			b.After(time.Duration(b.rand.Int64N(int64(time.Second))), func() { s.vm.start(); b.release(s) })
		}
	}
	if killsOthers {
		f, _ := b.effect(trouble{kind: killAll, length: time.Second}, b.slots[0])
		f()
	}
}

// playBudget plays a schedule with a last fault at a moment that it does not choose, and checks the group after it.
func playBudget(seed uint64, size int, f fault, schedule []trouble) []string {
	return newBudget(seed, size, f).play(schedule)
}

// upgrade restarts the controllers of the production build with this build, one after the other.
func (b *budget) upgrade() {
	for _, v := range b.vms {
		if v.old && !v.gone {
			b.run(recoveryTimes[b.size])
			v.old = false
			v.crash()
			v.start()
		}
	}
}

func (b *budget) play(schedule []trouble) []string {
	b.waiting = len(schedule)
	for _, t := range schedule {
		b.After(time.Second+t.at, func() { b.start(t) })
	}
	b.run(300*ms + b.sync + time.Duration(b.rand.Int64N(int64(scheduleTime))))
	if len(b.problems) > 0 {
		return b.problems
	}
	b.lastFault()
	committed := len(b.committed)
	for (b.active > 0 || b.waiting > 0) && len(b.problems) == 0 {
		b.run(100 * ms)
	}
	b.upgrade()
	b.run(recoveryTimes[b.size])
	b.checkWhole()
	if len(b.problems) == 0 && len(b.committed) <= committed {
		b.problem("nothing is committed after the last fault")
	}
	return b.problems
}

// tracef prints what happens at a time, if -trace is set.
func (w *world) tracef(format string, args ...any) {
	if *traced {
		fmt.Printf("%9.3f "+format+"\n", append([]any{w.Now.Seconds()}, args...)...)
	}
}
