package entry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// newWorldOfRestartedTargets returns a world in which all targets have just restarted and have not sent a heartbeat yet.
func newWorldOfRestartedTargets(seed uint64, targets int) *world {
	w := newWorld(seed, 2, targets)
	w.run(time.Second)
	for _, t := range w.targets {
		t.crash()
		t.firstHeartbeat = heartbeatInterval
		t.startTarget()
	}
	return w
}

// Guards against a relay that takes the flows of its target for complete although an earlier process of it has offered some: the
// target had restarted, and took flows before its first heartbeat or just after it. Entry VMs that had restarted as well reset them.
func TestFlowsOfATargetThatRestartsWithItsRelaySurvive(t *testing.T) {
	g := NewWithT(t)
	for _, relayRestartsAfter := range []time.Duration{heartbeatInterval / 2, heartbeatInterval + 10*time.Millisecond} {
		for seed := range uint64(5) {
			w := newWorldOfRestartedTargets(seed, 14)
			for range 30 {
				w.openFlow()
			}
			w.run(relayRestartsAfter)
			for _, t := range w.targets {
				t.startRelay()
			}
			w.run(2 * time.Second)
			for _, e := range w.entries {
				e.start()
			}
			w.run(3 * time.Second)
			g.Expect(w.wrongResets).To(BeEmpty(), "seed %d, relays restart after %v", seed, relayRestartsAfter)
			g.Expect(w.openFlows()).To(BeNumerically(">", 0))
		}
	}
}

// Guards against a relay that resets the flows of a new incarnation of its target at the first heartbeat, as if the previous one
// had opened them.
func TestFlowsBeforeTheFirstHeartbeatSurvive(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(5) {
		w := newWorldOfRestartedTargets(seed, 3)
		w.run(10 * time.Millisecond)
		for range 30 {
			w.openFlow()
		}
		w.run(100 * time.Millisecond)
		open := w.openFlows()
		g.Expect(open).To(BeNumerically(">", 0))
		w.run(3 * time.Second)
		g.Expect(w.wrongResets).To(BeEmpty(), "seed %d", seed)
		g.Expect(w.openFlows()).To(BeNumerically(">=", open))
	}
}
