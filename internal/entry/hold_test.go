package entry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/relay"
)

// Guards against flows that are refused in the first moments after a start, when the heartbeats of the targets
// of their service have not arrived yet.
func TestSYNIsHeldUntilFirstHeartbeat(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(40, 1, 0)
	target := &targetVM{w: w, ip: hop.IP{10, 0, 2, 1}, service: service, slots: 2}
	w.targets = append(w.targets, target)
	target.startRelay()
	w.run(time.Second)
	c := w.openFlow()
	w.run(100 * time.Millisecond)
	g.Expect(c.state).To(Equal("opening"))
	target.startTarget()
	w.run(200 * time.Millisecond)
	g.Expect(c.state).To(Equal("open"))
}

// Guards against flows that are refused while the controllers have just started and list only some targets.
func TestSYNIsHeldWhileListMayBeIncomplete(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(41, 1, 2)
	for _, v := range w.targets[1:] {
		v.crash()
		v.relay = nil
	}
	w.targets[0].crash()
	w.targets[0].relay.RecordCheck(w.Now, relay.ConnectionRefused, heartbeatInterval)
	w.controllersFresh = true
	w.run(rosterInterval)
	c := w.openFlow()
	w.run(100 * time.Millisecond)
	g.Expect(c.state).To(Equal("opening"))
	w.targets[1].startRelay()
	w.targets[1].startTarget()
	w.run(200 * time.Millisecond)
	g.Expect(c.state).To(Equal("open"))
}

// Guards against entry VMs that keep callers waiting after a loss of power although they know all targets, and
// against flows that are all offered to the first target listed.
func TestFlowsAreOfferedOnceListIsComplete(t *testing.T) {
	for _, c := range []struct {
		fresh bool
		wait  time.Duration // until the first flow has been admitted
	}{{false, 20 * time.Millisecond}, {true, 100 * time.Millisecond}} {
		g := NewWithT(t)
		w := newWorld(44, 1, 3)
		w.controllersFresh = c.fresh
		w.entries[0].start()
		w.run(rosterInterval) // the list arrives
		first := w.openFlow()
		w.run(c.wait / 2)
		g.Expect(first.state == "open").To(Equal(!c.fresh))
		w.run(c.wait / 2)
		g.Expect(first.state).To(Equal("open"))
	}
}

// Guards against callers that wait for a service that is known to have no target.
func TestSYNIsRefusedAtOnceWithoutTargets(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(42, 1, 1)
	w.targets[0].crash()
	w.run(4 * heartbeatInterval)
	g.Expect(w.targets[0].relay.StartCheckIfDue(w.Now, heartbeatInterval)).To(BeTrue())
	w.targets[0].relay.RecordCheck(w.Now, relay.ConnectionRefused, heartbeatInterval)
	w.run(2 * rosterInterval)
	c := w.openFlow()
	w.run(10 * time.Millisecond)
	g.Expect(c.resets).To(Equal(1))
}

// Guards against offers that are repeated without limit while no target answers: the budget is one burst and
// a share of the new flows, also before the first admission.
func TestRepeatedOffersAreLimitedWithoutAdmissions(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(43, 1, 7)
	for _, v := range w.targets {
		v.hung = true
	}
	const waves, flows = 10, 40
	for range waves {
		for range flows {
			w.openFlow()
		}
		w.run(300 * time.Millisecond)
	}
	stats := w.entries[0].entry.Stats
	g.Expect(stats.OfferedAgain).To(BeNumerically("<=", 32+waves*flows/5))
}
