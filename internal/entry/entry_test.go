package entry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/greengagelock/greengagelock/internal/testseed"

	"github.com/greengagelock/greengagelock/internal/checkpoint"
	"github.com/greengagelock/greengagelock/internal/routing"
)

// servedRequests returns the number of answered requests of all callers.
func (w *world) servedRequests() int {
	total := 0
	for _, c := range w.callers {
		total += c.served
	}
	return total
}

func (w *world) openFlows() int {
	total := 0
	for _, c := range w.callers {
		if c.state == "open" {
			total++
		}
	}
	return total
}

// Guards against flows that are lost or reset when entry VMs restart and their flow caches are empty.
func TestFlowsSurviveRestartsOfEntries(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 3, 7)
	for range 60 {
		w.openFlow()
	}
	w.run(2 * time.Second)
	g.Expect(w.openFlows()).To(Equal(60))
	for _, e := range w.entries {
		e.entry = nil
		w.run(300 * time.Millisecond)
		e.start()
		w.run(time.Second)
	}
	before := w.servedRequests()
	w.run(2 * time.Second)
	g.Expect(w.wrongResets).To(BeEmpty())
	g.Expect(w.openFlows()).To(Equal(60))
	g.Expect(w.servedRequests() - before).To(BeNumerically(">=", 60*4))
}

// Guards against flows that are lost when relays and entry VMs restart at once: only the targets still know
// them.
func TestFlowsSurviveRestartOfAllRelaysAndEntries(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(2, 3, 7)
	for range 60 {
		w.openFlow()
	}
	w.run(5 * time.Second)
	for _, v := range w.targets {
		v.startRelay()
	}
	for _, e := range w.entries {
		e.start()
	}
	w.run(3 * time.Second)
	before := w.servedRequests()
	w.run(2 * time.Second)
	g.Expect(w.wrongResets).To(BeEmpty())
	g.Expect(w.openFlows()).To(Equal(60))
	g.Expect(w.servedRequests() - before).To(BeNumerically(">=", 60*4))
}

// Guards against callers that wait for their deadlines on flows whose target has restarted.
func TestFlowsOfRestartedTargetAreReset(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(3, 3, 4)
	for range 40 {
		w.openFlow()
	}
	w.run(2 * time.Second)
	restarted := w.targets[0]
	restarted.crash()
	restarted.startTarget()
	w.run(time.Second)
	for _, c := range w.callers {
		g.Expect(c.target == restarted && c.incarnation != restarted.incarnation && c.state == "open").To(BeFalse(), "a flow waits for a target that is gone")
	}
	g.Expect(w.wrongResets).To(BeEmpty())
}

// Guards against new flows at a draining target, also if the entry VMs do not know of the drain.
func TestDrainingTargetTakesNoNewFlows(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(4, 3, 4)
	leaving := w.targets[1]
	w.rosterPaused = true
	leaving.draining = true
	w.run(heartbeatInterval)
	drainedAt := w.Now
	for range 60 {
		w.openFlow()
	}
	w.run(time.Second)
	g.Expect(leaving.lastAcceptedAt).To(BeNumerically("<=", drainedAt))
	g.Expect(w.openFlows()).To(Equal(60))
}

// Guards against a route change that moves open flows to the new service.
func TestRouteChangeKeepsOpenFlows(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(5, 2, 3)
	other := w.addTarget(routing.ServiceIDOf("other"))
	w.run(time.Second)
	for range 20 {
		w.openFlow()
	}
	w.run(time.Second)
	w.setService("other")
	for _, e := range w.entries {
		e.start()
	}
	w.run(3 * time.Second)
	g.Expect(w.wrongResets).To(BeEmpty())
	g.Expect(w.openFlows()).To(Equal(20))
	g.Expect(other.acceptedSYNs).To(BeZero())
	c := w.openFlow()
	w.run(time.Second)
	g.Expect(c.target).To(Equal(other))
}

// Guards against flows that are not found after all entry VMs and relays have restarted, because their
// route changed to another service after they were opened.
func TestFlowsOfFormerServiceAreFoundAfterRestarts(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(9, 2, 12)
	for range 12 {
		w.addTarget(routing.ServiceIDOf("other"))
	}
	w.run(time.Second)
	for range 40 {
		w.openFlow()
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
	g.Expect(w.wrongResets).To(BeEmpty())
	before := w.servedRequests()
	w.run(2 * time.Second)
	g.Expect(w.servedRequests() - before).To(BeNumerically(">=", 40*4))
}

// Guards against a SYN that is retried only by the caller's retransmission when its first candidate is
// lost.
func TestSYNIsRetriedWhenCandidateIsLost(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(6, 1, 4)
	w.targets[0].partitioned, w.targets[1].partitioned = true, true
	start := w.Now
	var callers []*caller
	for range 20 {
		callers = append(callers, w.openFlow())
	}
	w.run(190 * time.Millisecond)
	for _, c := range callers {
		g.Expect(c.state).To(Equal("open"), "%s after the SYN", w.Now-start)
	}
}

// Guards against lookups that saturate the link of an entry VM: in a large deployment of the users, a
// restarted entry VM knew none of the flows of 50 targets and queried all relays for each; this load
// delayed the replies until the queries were repeated.
func TestLookupsStayWithinLinkShare(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(7, 1, 50)
	for range 400 {
		w.openFlow()
	}
	w.run(3 * time.Second)
	// Targets and relays restart as well, so that no target has the flows and every relay is queried.
	for _, v := range w.targets {
		v.crash()
		v.startRelay()
		v.startTarget()
	}
	w.entries[0].start()
	w.bytes = 0
	start := w.Now
	w.run(time.Second)
	// Half of the link remains for the packets of callers.
	rate := float64(w.bytes) / (w.Now - start).Seconds()
	g.Expect(rate).To(BeNumerically("<", 0.5*650_000))
	w.run(5 * time.Second)
	g.Expect(w.openFlows()).To(BeZero(), "flows wait for targets that are gone")
}

// Guards against flows that are reset because newly started controllers do not list the relays of their
// targets yet.
func TestFreshControllersResetNoFlows(t *testing.T) {
	g := NewWithT(t)
	for name, restart := range map[string]bool{"entry VMs start as well": true, "entry VMs have run before": false} {
		w := newWorld(13, 2, 6)
		for range 30 {
			w.openFlow()
		}
		w.run(time.Second)
		w.rosterPaused = true
		w.run(3 * time.Second)
		w.rosterPaused, w.controllersFresh = false, true
		for _, v := range w.targets[:3] {
			v.unlisted = true
		}
		for _, e := range w.entries {
			if restart {
				e.start()
			}
		}
		w.run(time.Second)
		g.Expect(w.wrongResets).To(BeEmpty(), name)
		w.controllersFresh = false
		for _, v := range w.targets {
			v.unlisted = false
		}
		w.run(3 * time.Second)
		before := w.servedRequests()
		w.run(2 * time.Second)
		g.Expect(w.wrongResets).To(BeEmpty(), name)
		g.Expect(w.openFlows()).To(Equal(30), name)
		g.Expect(w.servedRequests()-before).To(BeNumerically(">=", 30*3), name)
	}
}

// Guards against probes that saturate the link of an entry VM: after a power failure, the packets of all
// flows were sent to each of 20 targets, and the answers came too late.
func TestProbesStayWithinLinkShare(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(12, 1, 20)
	for range 400 {
		w.openFlow()
	}
	w.run(3 * time.Second)
	w.entries[0].entry = nil
	for _, v := range w.targets {
		v.crash()
		v.relay = nil
		v.startTarget()
	}
	w.run(4 * heartbeatInterval)
	for _, v := range w.targets {
		v.startRelay() // too late to see that the target started without flows
	}
	w.entries[0].start()
	w.bytes = 0
	start := w.Now
	w.run(time.Second)
	rate := float64(w.bytes) / (w.Now - start).Seconds()
	g.Expect(rate).To(BeNumerically("<", 0.5*650_000))
	w.run(5 * time.Second)
	g.Expect(w.openFlows()).To(BeZero(), "flows wait for targets that are gone")
}

// Guards against rejected requests in a burst: for one second, 1.5 times the requests that the targets can
// serve, each on a new flow. A target that is sent more than it can queue rejects requests, which costs the
// clients a retry; held SYNs are served after the burst.
func TestBurstIsHeldAndNotRejected(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(8, 3, 6)
	for _, v := range w.targets {
		v.queueLimit = 8
	}
	capacity := float64(len(w.targets)*2) / serviceTime.Seconds()
	gap := time.Duration(float64(time.Second) / (1.5 * capacity))
	var calls []*caller
	for range int(time.Second / gap) {
		c := w.openFlow()
		c.singleRequest = true
		calls = append(calls, c)
		w.run(gap)
	}
	w.run(2 * time.Second)
	served, rejected := 0, 0
	for _, c := range calls {
		served += c.served
		rejected += c.rejected
	}
	g.Expect(float64(rejected) / float64(len(calls))).To(BeNumerically("<", 0.02))
	g.Expect(float64(served) / float64(len(calls))).To(BeNumerically(">", 0.95))
}

// Guards against lookups that are repeated without backoff while relays do not reply, which keeps the
// relays from recovering.
func TestLookupsBackOff(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(10, 1, 6)
	c := w.openFlow()
	w.run(time.Second)
	g.Expect(c.state).To(Equal("open"))
	c.target.hung = true
	w.entries[0].start()
	w.run(12 * time.Second)
	// The backoff of 0.3, 0.6, 1.2 and then 2.4 s allows for eight lookups in 12 s.
	g.Expect(w.entries[0].entry.Stats.Finds).To(BeNumerically("<=", 8))
	c.target.hung = false
	before := c.served
	w.run(4 * time.Second)
	g.Expect(c.served).To(BeNumerically(">", before))
	g.Expect(w.wrongResets).To(BeEmpty())
}

// newWorldOfUnsureRelays returns a world whose flows were opened when there was one target, so that most owners are not among
// the likely ones now. All relays have restarted and are unsure, and all entry VMs 3 s ago. It returns the number of
// open flows as well.
func newWorldOfUnsureRelays(g Gomega, seed uint64, relays int) (w *world, open int) {
	w = newWorld(seed, 2, 1)
	for range 20 {
		w.openFlow()
	}
	w.run(time.Second)
	for range relays - 1 {
		w.addTarget(service)
	}
	w.run(time.Second)
	open = w.openFlows()
	g.Expect(open).To(BeNumerically(">", 0))
	for _, v := range w.targets {
		v.startRelay()
	}
	// A relay that does not reply must not keep the others from being queried.
	w.targets[5].hung = seed%2 == 1
	for _, e := range w.entries {
		e.start()
	}
	w.run(3 * time.Second)
	return w, open
}

// Guards against a reset of a flow whose target takes longer to reply to a probe than the others take to
// return it.
func TestLookupWaitsForAllProbedTargets(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(40) {
		w, open := newWorldOfUnsureRelays(g, seed, 18)
		g.Expect(w.wrongResets).To(BeEmpty(), "seed %d", seed)
		before := w.servedRequests()
		w.run(2 * time.Second)
		g.Expect(w.servedRequests()-before).To(BeNumerically(">=", open*3), "seed %d", seed)
	}
}

// Guards against flows that are never found: all relays of a large deployment had restarted and were unsure, and a lookup
// that gave up on so many of them began with the same targets again each time.
func TestOwnerAmongManyUnsureRelaysIsFound(t *testing.T) {
	g := NewWithT(t)
	for _, relays := range []int{60, 120} {
		for seed := range uint64(5) {
			w, open := newWorldOfUnsureRelays(g, seed, relays)
			g.Expect(w.wrongResets).To(BeEmpty(), "%d relays, seed %d", relays, seed)
			before := w.servedRequests()
			w.run(2 * time.Second)
			g.Expect(w.servedRequests()-before).To(BeNumerically(">=", open*3), "%d relays, seed %d", relays, seed)
		}
	}
}

// Checks for random sequences of restarts, drains and hangs that no flow is reset while its target lives,
// and that open flows continue.
func TestFlowsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// 14 targets exceed the likely owners, so that lookups query all relays.
		w := newWorld(rapid.Uint64().Draw(rt, "seed"), 3, rapid.SampledFrom([]int{1, 6, 14}).Draw(rt, "targets"))
		w.loss = rapid.SampledFrom([]float64{0, 0.02}).Draw(rt, "loss")
		for range 30 {
			w.openFlow()
		}
		w.run(time.Second)
		for range rapid.IntRange(1, 8).Draw(rt, "faults") {
			w.injectFault(rt)
			w.run(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "pause")) * time.Millisecond)
		}
		w.run(4 * time.Second)
		if len(w.wrongResets) > 0 {
			rt.Fatalf("flows reset although their targets live: %v", w.wrongResets)
		}
		if w.wrongReplies > 0 {
			rt.Fatalf("%d answers of other targets", w.wrongReplies)
		}
		before := w.servedRequests()
		w.loss = 0
		w.run(3 * time.Second)
		if open := w.openFlows(); w.servedRequests()-before < open*3 {
			rt.Fatalf("%d open flows had %d answers in 3 s", open, w.servedRequests()-before)
		}
	})
}

func (w *world) injectFault(rt *rapid.T) {
	target := w.targets[rapid.IntRange(0, len(w.targets)-1).Draw(rt, "target")]
	e := w.entries[rapid.IntRange(0, len(w.entries)-1).Draw(rt, "entry")]
	switch rapid.SampledFrom([]string{"entry", "entries", "relay", "relays", "hang", "drain", "restart target", "lose power", "stop store", "wipe store", "add", "call"}).Draw(rt, "fault") {
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
		// The relay hangs for less than the lease after which its flows are reset.
		target.hung = true
		w.After(time.Duration(rapid.IntRange(50, 1800).Draw(rt, "hang"))*time.Millisecond, func() { target.hung = false })
	case "drain":
		target.draining = true
	case "restart target":
		target.crash()
		target.startTarget()
	case "lose power":
		target.losePower()
	case "stop store":
		// It returns with what it had on disk.
		s := w.stores[rapid.IntRange(0, storeCount-1).Draw(rt, "store")]
		s.stopped = true
		w.After(time.Duration(rapid.IntRange(50, 3000).Draw(rt, "stopped"))*time.Millisecond, func() { s.stopped = false })
	case "wipe store":
		w.stores[rapid.IntRange(0, storeCount-1).Draw(rt, "store")].flows = checkpoint.NewStore()
	case "add":
		w.addTarget(service)
	case "call":
		for range 5 {
			w.openFlow()
		}
	}
}
