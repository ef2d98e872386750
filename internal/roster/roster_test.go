package roster

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/routing"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

func relayIP(n int) hop.IP { return hop.IP{10, 1, byte(n >> 8), byte(n)} }

func controllerIP(n int) hop.IP { return hop.IP{10, 0, 0, byte(n)} }

// Guards against lists that differ from those of the controllers after changes in any order, lost and late datagrams,
// restarts of controllers, and relays that some controllers do not hear.
func TestViewFollowsTheControllers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rapid.IntRange(1, 5).Draw(rt, "controllers"))
		for n := range rapid.SampledFrom([]int{0, 100}).Draw(rt, "targets") { // 100 targets need several answers
			f.set(n, Target{ID: "a", Service: 1, State: Ready, Cold: true})
		}
		lossPercent := rapid.SampledFrom([]int{0, 0, 10, 30}).Draw(rt, "loss")
		f.loss = func() bool { return lossPercent > 0 && rapid.IntRange(0, 99).Draw(rt, "lost") < lossPercent }
		latePercent := rapid.SampledFrom([]int{0, 20}).Draw(rt, "late")
		f.late = func() bool { return latePercent > 0 && rapid.IntRange(0, 99).Draw(rt, "delayed") < latePercent }
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			f.now += 50 * time.Millisecond
			f.deliverLate()
			switch rapid.IntRange(0, 7).Draw(rt, "step") {
			case 0:
				f.askAll()
			case 1:
				f.ask(rapid.IntRange(0, len(f.controllers)-1).Draw(rt, "controller"))
			case 2:
				f.restart(rapid.IntRange(0, len(f.controllers)-1).Draw(rt, "controller"))
			case 3:
				n := rapid.IntRange(0, 59).Draw(rt, "gone")
				delete(f.targets, n)
				for _, c := range f.controllers {
					c.registry.RecordAnnouncement(f.now, relayIP(n), &Announcement{Role: RoleRelay, Target: &Target{}, Gone: true})
				}
			case 4:
				f.now += rapid.SampledFrom([]time.Duration{time.Second, 90 * time.Second}).Draw(rt, "pause")
				for _, c := range f.controllers {
					c.registry.Expire(f.now)
				}
			default:
				f.set(rapid.IntRange(0, 59).Draw(rt, "target"), Target{
					ID: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "id"), Service: 1,
					State: rapid.SampledFrom([]State{Ready, Draining}).Draw(rt, "state"), Cold: rapid.Bool().Draw(rt, "cold"),
				})
			}
			f.push()
		}
		lossPercent, latePercent = 0, 0
		f.deliverLate()
		for range 8 {
			f.now += AnnounceInterval
			f.announceAll()
			f.askAll()
		}
		f.expectLists(rt)
		if f.view.Stats.ListMismatches > 0 {
			rt.Fatalf("%d lists had to be transferred again", f.view.Stats.ListMismatches)
		}
	})
}

// Guards against a list without a target whose state changed while the list was being transferred: only the state was
// sent. On ma-bogota-lb-large quiet-1 restarted entry VMs then reset live flows of targets that drained during a release.
func TestStateChangesDuringTransfer(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1)
	for n := range 1000 {
		f.set(n, testTarget("a", Ready))
	}
	r, ip := f.controllers[0].registry, f.controllers[0].ip
	announce := func() []Answer {
		position, digest, answers := f.view.Position(f.now, ip)
		return r.AnswersFor(f.now, Answer{}, f.view.self, &Announcement{Role: RoleEntry, Position: position, Digest: digest, Answers: answers})
	}
	f.deliver(f.controllers[0], announce()) // becomes the source
	first := announce()
	f.set(900, testTarget("a", Draining)) // not sent yet
	f.deliver(f.controllers[0], first[:1])
	f.set(990, testTarget("a", Draining))
	pushed, _ := r.PushAnswers(Answer{})
	f.deliver(f.controllers[0], pushed)
	for range 10 {
		f.deliver(f.controllers[0], announce())
	}
	f.expectLists(t)
	g.Expect(f.view.Get(relayIP(900)).State).To(Equal(Draining))
	g.Expect(f.view.Stats.ListMismatches).To(BeZero())
}

// Guards against a list that stays wrong after a fault of any kind.
func TestWrongListIsTransferredAgain(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1)
	for n := range 100 {
		f.set(n, testTarget("a", Ready))
	}
	f.askAll()
	l := f.view.lists[f.controllers[0].ip]
	l.targets.remove(relayIP(50))
	for range 3 {
		f.now += AnnounceInterval
		f.askAll()
	}
	f.expectLists(t)
	g.Expect(f.view.Stats.ListMismatches).To(BeEquivalentTo(1))
}

// bytesForChanges returns the bytes that an entry VM gets from five controllers while some targets of a fleet change one
// after the other.
func bytesForChanges(targets, changes int) int {
	f := newFleet(5)
	for n := range targets {
		f.set(n, testTarget("0123456789abcdef", Ready))
	}
	for range 3 {
		f.askAll()
		f.push()
	}
	f.bytes = 0
	for n := range changes {
		f.now += 20 * time.Millisecond
		f.set(n, testTarget("0123456789abcdef", Draining))
		f.push()
		if n%20 == 19 {
			f.askAll()
		}
	}
	return f.bytes
}

// Guards against an entry VM that gets the whole list for a few changes, which grew with the square of the fleet in a
// rolling release: the bytes must depend on the changes and not on the number of targets.
func TestBytesOfChangesDoNotGrowWithTheList(t *testing.T) {
	g := NewWithT(t)
	small, large := bytesForChanges(100, 60), bytesForChanges(4100, 60)
	loads := 3 * pushingControllers * 4100 / 2 // three rounds in which both pushing controllers are asked for loads
	g.Expect(large-loads).To(BeNumerically("<", small*3/2), "%d bytes in a fleet of 100 targets, %d of 4,100", small, large)
}

// Guards against the whole list for an entry VM that was out of contact during a release: what it missed must be merged.
func TestMissedChangesAreMerged(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1)
	for n := range 1000 {
		f.set(n, testTarget("0123456789abcdef", Ready))
	}
	f.ask(0)
	whole := f.bytes
	for range 40 { // more changes than the list has targets, of a few targets
		for n := range 30 {
			f.set(n, testTarget("0123456789abcdef", Draining))
			f.set(n, testTarget("0123456789abcdef", Ready))
		}
	}
	f.bytes = 0
	f.ask(0)
	f.expectLists(t)
	g.Expect(f.bytes).To(BeNumerically("<", whole/10))
}

// Guards against five copies of the list for an entry VM that starts: the lists of the other controllers are equal to
// the first one. The bound is a list and a half at the design size of 4,100 targets.
func TestListIsTransferredOnce(t *testing.T) {
	g := NewWithT(t)
	one, five := newFleet(1), newFleet(5)
	for _, f := range []*fleet{one, five} {
		for n := range 4100 {
			f.set(n, testTarget("0123456789abcdef", Ready))
		}
		for n := range f.controllers {
			f.ask(n)
		}
		f.expectLists(t)
	}
	g.Expect(five.bytes).To(BeNumerically("<", one.bytes*3/2))
}

// Guards against answers to one announcement that fill the link of an entry VM.
func TestAnswersToOneAnnouncementAreBounded(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1)
	for n := range 4100 {
		f.set(n, testTarget("0123456789abcdef", Ready))
	}
	size := 0
	for _, a := range f.controllers[0].registry.AnswersFor(0, Answer{}, f.view.self, &Announcement{Role: RoleEntry, Answers: 255}) {
		b, err := a.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(b)).To(BeNumerically("<=", 1472), "the MTU of an Ethernet link")
		size += len(b)
	}
	g.Expect(size).To(BeNumerically("<=", 25_000), "a tenth of a second of a link of 2 Mbit/s")
}

// Guards against an entry VM that waits for a controller that stopped in the middle of a transfer.
func TestTransferContinuesFromAnotherController(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2)
	for n := range 1000 {
		f.set(n, testTarget("0123456789abcdef", Ready))
	}
	// The first controller answers the first announcement and becomes the source, and stops then.
	c := f.controllers[0]
	g.Expect(f.deliver(c, c.registry.AnswersFor(f.now, Answer{}, f.view.self, &Announcement{Role: RoleEntry}))).To(Equal([]hop.IP{c.ip}))
	f.down[0] = true
	f.ask(1)
	g.Expect(f.view.Len()).To(BeZero())
	f.now += transferTimeout
	f.ask(1)
	f.expectLists(t)
}

// Guards against lost updates when one of the controllers that send changes stops: another one must send them.
func TestAnotherControllerPushes(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(5)
	f.set(1, testTarget("a", Ready))
	pushing := func() (list []int) {
		for range 3 {
			f.askAll()
			f.now += AnnounceInterval
		}
		for n, c := range f.controllers {
			if !f.down[n] && len(c.registry.PushedEntries()) > 0 {
				list = append(list, n)
			}
		}
		return list
	}
	before := pushing()
	g.Expect(before).To(HaveLen(pushingControllers))
	for _, n := range before {
		f.down[n] = true
	}
	g.Expect(pushing()).To(HaveLen(pushingControllers))
}

// Guards against loads that are attributed to other targets.
func TestLoadsBelongToTheirTargets(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2)
	load := func(n int) uint16 { return uint16(n % 20 * 16) }
	for n := range 2500 {
		target := testTarget("a", Ready)
		for _, c := range f.controllers {
			c.registry.RecordAnnouncement(0, relayIP(n), &Announcement{
				Role: RoleRelay, Target: &target, Load: hop.Load{Busy: load(n) / 16, Mean: load(n)},
			})
		}
	}
	f.askAll()
	f.askAll()
	for n := range 2500 {
		got := f.view.Get(relayIP(n)).Load
		g.Expect(got).To(Equal(loadLevels[loadLevel(load(n))]), "target %d", n)
		g.Expect(load(n) - got).To(BeNumerically("<=", max(load(n)/3, 16)))
	}
}

// Targets must not vanish because one controller has just started or is cut off, and must not stay listed
// when no controller hears them.
func TestViewMergesControllers(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3)
	f.set(1, testTarget("a", Ready))
	f.down[1], f.down[2] = true, true
	f.set(2, testTarget("b", Ready))
	f.down[1], f.down[2] = false, false
	f.askAll()
	g.Expect(f.view.KnowsAllRelays(f.now)).To(BeFalse(), "the other lists differ and have not arrived")
	for range 4 {
		f.now += AnnounceInterval
		f.askAll()
	}
	g.Expect(f.view.KnowsAllRelays(f.now)).To(BeTrue())
	g.Expect(f.view.Lost(relayIP(2))).To(BeFalse())
	f.down[0] = true
	for range 8 {
		f.now += AnnounceInterval
		f.askAll()
	}
	g.Expect(f.view.Lost(relayIP(1))).To(BeFalse())
	g.Expect(f.view.Lost(relayIP(2))).To(BeTrue())
	g.Expect(f.view.Targets(1)).To(HaveLen(2), "a lost target is still asked for its flows")
}

// An entry VM that has just restarted reset open flows, because the first controller that answered did not list their relay: it
// was cut off from the relay, or was no member yet. What a list lacks counts only once a majority of the members has answered.
func TestOneListDoesNotShowThatARelayIsGone(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3)
	f.down[0] = true
	f.set(1, testTarget("a", Ready))
	f.down[0] = false
	f.ask(0)
	g.Expect(f.view.HasCompleteList(f.now)).To(BeTrue())
	g.Expect(f.view.KnowsAllRelays(f.now)).To(BeFalse(), "one of three members has answered")

	newcomer := &testController{controllerIP(3), NewRegistry(4)}
	answer := Answer{Controllers: []hop.IP{newcomer.ip}}
	f.deliver(newcomer, newcomer.registry.AnswersFor(f.now, answer, f.view.self, &Announcement{Role: RoleEntry, Answers: 255}))
	g.Expect(f.view.KnowsAllRelays(f.now)).To(BeFalse(), "the second list is not of a member")

	for range 4 {
		f.now += AnnounceInterval
		f.askAll()
	}
	f.deliver(newcomer, newcomer.registry.AnswersFor(f.now, answer, f.view.self, &Announcement{Role: RoleEntry, Answers: 255}))
	g.Expect(f.view.KnowsAllRelays(f.now)).To(BeTrue())
	g.Expect(f.view.Lost(relayIP(1))).To(BeFalse())
}

// An entry VM never learned the members: a controller that had restarted named them in a call, which says nothing of its list,
// and no answer named them again.
func TestMembersOfACallAreTaken(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3)
	f.set(1, testTarget("a", Ready))
	call := f.answer()
	call.Call = true
	f.deliver(f.controllers[2], []Answer{call})
	f.members = true
	for range 8 {
		f.now += AnnounceInterval
		f.askAll()
	}
	f.expectLists(t)
	g.Expect(f.view.KnowsAllRelays(f.now)).To(BeTrue(), "the lists of all members have arrived")
}

// A controller that had been paused for longer than a lease dropped all relays before it read their announcements, so that entry
// VMs took open flows for lost.
func TestPausedControllerKeepsItsRelays(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1)
	f.set(0, testTarget("a", Ready))
	r := f.controllers[0].registry
	run := func(from, to time.Duration) {
		for now := from; now <= to; now += maxRunInterval / 2 {
			r.ExtendAfterPause(now)
			r.Expire(now)
		}
	}
	run(0, Lease/2)
	run(5*Lease, 5*Lease+Lease/2)
	g.Expect(r.Len()).To(Equal(1), "the announcements of the pause have not been read")
	run(5*Lease+Lease/2, 7*Lease)
	g.Expect(r.Len()).To(BeZero(), "the relay is gone")
}

// Lookups waited two seconds for a relay that had left together with its target.
func TestGoneRelayIsRemovedAtOnce(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1)
	f.set(1, testTarget("a", Draining))
	f.set(2, testTarget("b", Ready))
	f.askAll()
	r := f.controllers[0].registry
	g.Expect(r.RecordAnnouncement(0, relayIP(1), &Announcement{Role: RoleRelay, Target: &Target{ID: "a"}, Gone: true})).To(BeTrue())
	g.Expect(r.Targets()).To(HaveLen(1))
	g.Expect(r.RecordAnnouncement(0, relayIP(1), &Announcement{Role: RoleRelay, Target: &Target{ID: "a"}, Gone: true})).To(BeFalse())
	f.push()
	g.Expect(f.view.Lost(relayIP(1))).To(BeTrue())
}

// The view must not be emptied when all controllers are down, nor when they have just started and list nothing.
func TestViewIsKeptWithoutControllers(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2)
	f.set(1, testTarget("a", Ready))
	f.askAll()
	f.now += time.Minute
	g.Expect(f.view.Lost(relayIP(1))).To(BeFalse())
	f.restart(0)
	f.restart(1)
	f.fresh = true
	for range 4 {
		f.now += AnnounceInterval
		f.askAll()
	}
	g.Expect(f.view.Lost(relayIP(1))).To(BeFalse())
	g.Expect(f.view.Targets(routing.ServiceID(1))[0].Admits()).To(BeTrue())
}

// Guards against a target that is missing or outdated at a controller because the relay leaves out what the controller
// does not know: after a restart of the controller or of the relay, and after a change of the target.
func TestShortAnnouncements(t *testing.T) {
	g := NewWithT(t)
	relay := relayIP(1)
	target := testTarget("0123456789abcdef", Ready)
	target.Relay, target.Service = relay, routing.ServiceIDOf("service")
	whole := Announcement{Role: RoleRelay, Name: "relay-zone-a-17", Target: &target, TargetDigest: target.AnnouncedDigest(7), Process: 7}
	short := Announcement{Role: RoleRelay, TargetDigest: target.AnnouncedDigest(7), Load: hop.Load{Busy: 3}}
	confirmed := func(r *Registry, a Announcement) uint64 {
		r.RecordAnnouncement(0, relay, &a)
		return r.AnswersFor(0, Answer{}, relay, &a)[0].TargetDigest
	}
	r := NewRegistry(1)
	g.Expect(confirmed(r, short)).To(BeZero(), "a controller that has started since")
	g.Expect(r.Len()).To(BeZero())
	g.Expect(confirmed(r, whole)).To(Equal(whole.TargetDigest))
	g.Expect(confirmed(r, short)).To(Equal(short.TargetDigest))
	g.Expect(r.processes[relay].Load.Busy).To(BeEquivalentTo(3))
	g.Expect(r.processes[relay].Name).To(Equal("relay-zone-a-17"))

	changed, restarted := short, short
	changed.TargetDigest++
	restarted.TargetDigest = target.AnnouncedDigest(8)
	g.Expect(confirmed(r, changed)).NotTo(Equal(changed.TargetDigest))
	g.Expect(confirmed(r, restarted)).NotTo(Equal(restarted.TargetDigest))
	for range 4 {
		r.RecordAnnouncement(Lease/2, relay, &short)
	}
	r.Expire(Lease + 1)
	g.Expect(r.Len()).To(Equal(1), "short announcements extend the lease")
	r.Expire(2 * Lease)
	g.Expect(confirmed(r, short)).To(BeZero())

	size := func(a Announcement) int {
		b, err := a.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		return len(b)
	}
	g.Expect(size(short)).To(BeNumerically("<", size(whole)/2))
}

// A late list must not give flows to a draining target again, and an earlier incarnation must not replace a
// later one.
func TestSupersedes(t *testing.T) {
	g := NewWithT(t)
	g.Expect(supersedes(&Target{ID: "a", State: Draining}, &Target{ID: "a", State: Ready})).To(BeFalse())
	g.Expect(supersedes(&Target{ID: "a", State: Ready}, &Target{ID: "a", State: Draining})).To(BeTrue())
	g.Expect(supersedes(&Target{ID: "a", State: Draining}, &Target{ID: "b", State: Ready})).To(BeTrue())
	g.Expect(supersedes(&Target{ID: "a", Born: 5}, &Target{ID: "a", Born: 4})).To(BeFalse())
	g.Expect(supersedes(&Target{ID: "a", Born: 5, State: Draining}, &Target{ID: "a", Born: 6, State: Ready})).To(BeTrue())
}

// Bytes that are not a valid message must not end the process.
func FuzzDecodeAnswer(f *testing.F) {
	a := Answer{Version: 1, Run: 1, To: 1, Head: 1, Digest: 2, Targets: []Target{{ID: "a"}}, States: []byte{0, 0, 0, 0, 130}, Loads: []byte{17}, LoadsFrom: 1}
	b, err := a.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		if a, err := DecodeAnswer(b); err == nil {
			v := NewView(hop.IP{10, 2, 0, 1})
			for range 2 {
				v.HandleAnswer(0, controllerIP(1), a)
				v.Position(0, controllerIP(1))
			}
		}
	})
}

// Guards against a target that has left and is in use again, because an announcement from before arrives late.
func TestLateAnnouncementDoesNotBringATargetBack(t *testing.T) {
	g := NewWithT(t)
	r, target := NewRegistry(1), testTarget("a", Ready)
	announce := func(process uint64, gone bool) {
		r.RecordAnnouncement(0, relayIP(0), &Announcement{Role: RoleRelay, Target: &target, Process: process, Gone: gone})
	}
	announce(7, false)
	announce(7, true)
	announce(7, false)
	g.Expect(r.Len()).To(BeZero())
	announce(8, false)
	g.Expect(r.Len()).To(Equal(1), "the next process of the relay")
}
