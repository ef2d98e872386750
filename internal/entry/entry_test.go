package entry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/greengagelock/greengagelock/internal/testseed"

	"github.com/greengagelock/greengagelock/internal/routing"
)

// served returns the sum of answered requests.
func (w *world) served() int {
	total := 0
	for _, c := range w.callers {
		total += c.served
	}
	return total
}

func (w *world) open() int {
	total := 0
	for _, c := range w.callers {
		if c.state == "open" {
			total++
		}
	}
	return total
}

// Guards against flows that are lost or reset when entry VMs are restarted: the next one knows none of
// them.
func TestFlowsSurviveRestartsOfEntries(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 3, 7)
	for range 60 {
		w.call()
	}
	w.run(2 * time.Second)
	g.Expect(w.open()).To(Equal(60))
	for _, e := range w.entries {
		e.entry = nil
		w.run(300 * time.Millisecond)
		e.start()
		w.run(time.Second)
	}
	before := w.served()
	w.run(2 * time.Second)
	g.Expect(w.broken).To(BeEmpty())
	g.Expect(w.open()).To(Equal(60))
	g.Expect(w.served() - before).To(BeNumerically(">=", 60*4))
}

// Guards against flows that are lost when the relays forget them: their targets have them still.
func TestFlowsSurviveTheLossOfAllProcesses(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(2, 3, 7)
	for range 60 {
		w.call()
	}
	w.run(5 * time.Second)
	for _, v := range w.targets {
		v.startRelay()
	}
	for _, e := range w.entries {
		e.start()
	}
	w.run(3 * time.Second)
	before := w.served()
	w.run(2 * time.Second)
	g.Expect(w.broken).To(BeEmpty())
	g.Expect(w.open()).To(Equal(60))
	g.Expect(w.served() - before).To(BeNumerically(">=", 60*4))
}

// Guards against callers that wait for their deadlines on a flow whose target is gone.
func TestFlowsOfALostTargetAreReset(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(3, 3, 4)
	for range 40 {
		w.call()
	}
	w.run(2 * time.Second)
	lost := w.targets[0]
	lost.crash()
	lost.startTarget()
	w.run(time.Second)
	for _, c := range w.callers {
		g.Expect(c.target == lost && c.life != lost.life && c.state == "open").To(BeFalse(), "a flow waits for a target that is gone")
	}
	g.Expect(w.broken).To(BeEmpty())
}

// Guards against new flows at a target that leaves, also from entry VMs that were not told.
func TestDrainingTargetTakesNoFlows(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(4, 3, 4)
	leaving := w.targets[1]
	w.deaf = true
	leaving.draining = true
	w.run(beatPeriod)
	told := w.now
	for range 60 {
		w.call()
	}
	w.run(time.Second)
	g.Expect(leaving.openedAt).To(BeNumerically("<=", told))
	g.Expect(w.open()).To(Equal(60))
}

// Guards against packets that reach another service after a route has changed, and against open flows
// that are moved with it.
func TestRouteChangeLeavesOpenFlows(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(5, 2, 3)
	other := w.addTarget(routing.ServiceIDOf("other"))
	w.run(time.Second)
	for range 20 {
		w.call()
	}
	w.run(time.Second)
	w.setService("other")
	for _, e := range w.entries {
		e.start()
	}
	w.run(3 * time.Second)
	g.Expect(w.broken).To(BeEmpty())
	g.Expect(w.open()).To(Equal(20))
	g.Expect(other.opened).To(BeZero())
	c := w.call()
	w.run(time.Second)
	g.Expect(c.target).To(Equal(other))
}

// Guards against flows that are not found after the loss of all processes because their route has
// changed to another service since they were opened.
func TestFlowsOfAFormerServiceAreFoundAfterTheLossOfAllProcesses(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(9, 2, 12)
	for range 12 {
		w.addTarget(routing.ServiceIDOf("other"))
	}
	w.run(time.Second)
	for range 40 {
		w.call()
	}
	w.run(5 * time.Second)
	w.setService("other")
	for _, v := range w.targets {
		v.startRelay()
	}
	for _, e := range w.entries {
		e.start()
	}
	w.run(2 * time.Second)
	g.Expect(w.broken).To(BeEmpty())
	before := w.served()
	w.run(2 * time.Second)
	g.Expect(w.served() - before).To(BeNumerically(">=", 40*4))
}

// Guards against a SYN that waits for the caller's own copy when the VM of its first candidate is lost.
func TestSYNIsOfferedAgainWhenACandidateIsLost(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(6, 1, 4)
	w.targets[0].cut, w.targets[1].cut = true, true
	start := w.now
	var callers []*caller
	for range 20 {
		callers = append(callers, w.call())
	}
	w.run(190 * time.Millisecond)
	for _, c := range callers {
		g.Expect(c.state).To(Equal("open"), "%s after the SYN", w.now-start)
	}
}

// Guards against questions that choke the link of an entry VM: on the users' grown deployments a
// restarted entry VM knew none of the flows of 50 targets, asked all relays for each, and the load of
// its questions delayed the answers until it asked again.
func TestSearchesStayWithinTheirShareOfTheLink(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(7, 1, 50)
	for range 400 {
		w.call()
	}
	w.run(3 * time.Second)
	// Targets and relays start anew as well, so that nobody has the flows and every relay must be asked.
	for _, v := range w.targets {
		v.crash()
		v.startRelay()
		v.startTarget()
	}
	w.entries[0].start()
	w.bytes = 0
	start := w.now
	w.run(time.Second)
	// Half of the link is left for the packets of callers.
	rate := float64(w.bytes) / (w.now - start).Seconds()
	g.Expect(rate).To(BeNumerically("<", 0.5*650_000))
	w.run(5 * time.Second)
	g.Expect(w.open()).To(BeZero(), "flows wait for targets that are gone")
}

// Guards against flows that are reset because controllers that have just started do not list the relays of
// their targets yet.
func TestFreshControllersResetNothing(t *testing.T) {
	g := NewWithT(t)
	for name, restart := range map[string]bool{"entry VMs start as well": true, "entry VMs have run before": false} {
		w := newWorld(13, 2, 6)
		for range 30 {
			w.call()
		}
		w.run(time.Second)
		w.deaf = true
		w.run(3 * time.Second)
		w.deaf, w.fresh = false, true
		for _, v := range w.targets[:3] {
			v.unlisted = true
		}
		for _, e := range w.entries {
			if restart {
				e.start()
			}
		}
		w.run(time.Second)
		g.Expect(w.broken).To(BeEmpty(), name)
		w.fresh = false
		for _, v := range w.targets {
			v.unlisted = false
		}
		w.run(3 * time.Second)
		before := w.served()
		w.run(2 * time.Second)
		g.Expect(w.broken).To(BeEmpty(), name)
		g.Expect(w.open()).To(Equal(30), name)
		g.Expect(w.served()-before).To(BeNumerically(">=", 30*3), name)
	}
}

// Guards against packets for the targets of unsure relays that choke the link of an entry VM: after a loss
// of power each of 20 targets was handed the packet of every flow, and the answers came too late.
func TestProbesStayWithinTheirShareOfTheLink(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(12, 1, 20)
	for range 400 {
		w.call()
	}
	w.run(3 * time.Second)
	w.entries[0].entry = nil
	for _, v := range w.targets {
		v.crash()
		v.relay = nil
		v.startTarget()
	}
	w.run(4 * beatPeriod)
	for _, v := range w.targets {
		v.startRelay() // too late to know that the target has no flows
	}
	w.entries[0].start()
	w.bytes = 0
	start := w.now
	w.run(time.Second)
	rate := float64(w.bytes) / (w.now - start).Seconds()
	g.Expect(rate).To(BeNumerically("<", 0.5*650_000))
	w.run(5 * time.Second)
	g.Expect(w.open()).To(BeZero(), "flows wait for targets that are gone")
}

// Guards against the load of a burst: half as many requests again as the targets can serve, for a second,
// each on a flow of its own. A target that is handed more than it can queue rejects requests, which costs
// their clients a retry; held SYNs are served once the burst is over.
func TestBurstIsHeldAndNotRejected(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(8, 3, 6)
	for _, v := range w.targets {
		v.queueLimit = 8
	}
	capacity := float64(len(w.targets)*2) / workTime.Seconds()
	gap := time.Duration(float64(time.Second) / (1.5 * capacity))
	var calls []*caller
	for range int(time.Second / gap) {
		c := w.call()
		c.once = true
		calls = append(calls, c)
		w.run(gap)
	}
	w.run(2 * time.Second)
	served, shed := 0, 0
	for _, c := range calls {
		served += c.served
		shed += c.shed
	}
	g.Expect(float64(shed) / float64(len(calls))).To(BeNumerically("<", 0.02))
	g.Expect(float64(served) / float64(len(calls))).To(BeNumerically(">", 0.95))
}

// Guards against searches that are repeated at the same rate while relays do not answer, which keeps them
// from answering.
func TestSearchesBackOff(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(10, 1, 6)
	c := w.call()
	w.run(time.Second)
	g.Expect(c.state).To(Equal("open"))
	c.target.hung = true
	w.entries[0].start()
	w.run(12 * time.Second)
	// Pauses of 0.3, 0.6, 1.2 and then 2.4 s leave room for eight searches in 12 s.
	g.Expect(w.entries[0].entry.Stats.Finds).To(BeNumerically("<=", 8))
	c.target.hung = false
	before := c.served
	w.run(4 * time.Second)
	g.Expect(c.served).To(BeNumerically(">", before))
	g.Expect(w.broken).To(BeEmpty())
}

// Guards against a reset of a flow whose target is slower to answer than others are to return a packet.
// The flows were opened when there was one target, so most are beyond the likely owners of their ranking,
// and all relays are unsure after their restart.
func TestSearchWaitsForEveryTargetThatWasHandedThePacket(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(40) {
		w := newWorld(seed, 2, 1)
		for range 20 {
			w.call()
		}
		w.run(time.Second)
		for range 17 {
			w.addTarget(service)
		}
		w.run(time.Second)
		open := w.open()
		g.Expect(open).To(BeNumerically(">", 0))
		for _, v := range w.targets {
			v.startRelay()
		}
		// A relay that answers nobody must not keep the others from being asked.
		w.targets[5].hung = seed%2 == 1
		for _, e := range w.entries {
			e.start()
		}
		w.run(3 * time.Second)
		g.Expect(w.broken).To(BeEmpty(), "seed %d", seed)
		before := w.served()
		w.run(2 * time.Second)
		g.Expect(w.served()-before).To(BeNumerically(">=", open*3), "seed %d", seed)
	}
}

// Guards against a rule that holds only for the sequences of failures that somebody thought of: no flow
// is reset while its target lives, whatever is restarted, drained or lost, and all flows go on.
func TestFlowsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// More targets than likely owners, so that searches ask all relays.
		w := newWorld(rapid.Uint64().Draw(rt, "seed"), 3, rapid.SampledFrom([]int{1, 6, 14}).Draw(rt, "targets"))
		w.loss = rapid.SampledFrom([]float64{0, 0.02}).Draw(rt, "loss")
		for range 30 {
			w.call()
		}
		w.run(time.Second)
		for range rapid.IntRange(1, 8).Draw(rt, "faults") {
			w.fault(rt)
			w.run(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "pause")) * time.Millisecond)
		}
		w.run(4 * time.Second)
		if len(w.broken) > 0 {
			rt.Fatalf("flows reset although their targets live: %v", w.broken)
		}
		if w.foreign > 0 {
			rt.Fatalf("%d answers of other targets", w.foreign)
		}
		before := w.served()
		w.loss = 0
		w.run(3 * time.Second)
		if open := w.open(); w.served()-before < open*3 {
			rt.Fatalf("%d open flows had %d answers in 3 s", open, w.served()-before)
		}
	})
}

func (w *world) fault(rt *rapid.T) {
	target := w.targets[rapid.IntRange(0, len(w.targets)-1).Draw(rt, "target")]
	e := w.entries[rapid.IntRange(0, len(w.entries)-1).Draw(rt, "entry")]
	switch rapid.SampledFrom([]string{"entry", "entries", "relay", "relays", "hang", "drain", "restart target", "add", "call"}).Draw(rt, "fault") {
	case "entry":
		e.start()
	case "entries":
		for _, other := range w.entries {
			other.start()
		}
	case "relay":
		target.startRelay()
	case "relays":
		for _, other := range w.targets {
			other.startRelay()
		}
	case "hang":
		// Shorter than the lease after which the flows of a relay count as lost.
		target.hung = true
		w.after(time.Duration(rapid.IntRange(50, 1800).Draw(rt, "hang"))*time.Millisecond, func() { target.hung = false })
	case "drain":
		target.draining = true
	case "restart target":
		target.crash()
		target.startTarget()
	case "add":
		w.addTarget(service)
	case "call":
		for range 5 {
			w.call()
		}
	}
}
