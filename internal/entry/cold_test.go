package entry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// mostInWindow returns the highest number of times within any span of the given length.
func mostInWindow(times []time.Duration, span time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for times[first] <= at-span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a burst that meets targets which have just returned cold, half of all of them at once, while relays
// restart: none may get more flows in any second than a cold target bears, whichever entry VM they come through, and
// the callers must be served by the others.
func TestColdTargetsGetNoMoreThanTheyBear(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(50, 3, 8)
	w.coldPerSecond = 6
	w.setService("service")
	w.run(time.Second)
	cold := w.targets[:4]
	for _, v := range cold {
		v.warmUp = 4 * time.Second
		v.crash()
	}
	w.run(2 * time.Second)
	for _, v := range cold {
		v.acceptedAt = nil
		v.startTarget()
	}
	before := len(w.callers)
	for n := range 350 {
		w.openFlow().singleRequest = true
		if n == 100 || n == 150 {
			cold[0].relay = nil
		}
		if n == 105 || n == 155 {
			cold[0].startRelay()
		}
		w.run(10 * time.Millisecond)
	}
	g.Expect(w.Now).To(BeNumerically("<", cold[0].warmAt))
	got := 0
	for i, v := range cold {
		g.Expect(mostInWindow(v.acceptedAt, time.Second)).To(BeNumerically("<=", 6), "target %d", i)
		got += len(v.acceptedAt)
	}
	g.Expect(got).To(BeNumerically(">", 4*6), "cold targets are used as far as they bear it")
	w.run(time.Second)
	served := 0
	for _, c := range w.callers[before:] {
		if c.served > 0 {
			served++
		}
	}
	g.Expect(served).To(BeNumerically(">", 340))
	w.run(2 * time.Second)
	total := len(cold[1].acceptedAt)
	for range 100 {
		w.openFlow().singleRequest = true
		w.run(10 * time.Millisecond)
	}
	g.Expect(len(cold[1].acceptedAt)-total).To(BeNumerically(">", 6), "a warm target has no limit")
}
