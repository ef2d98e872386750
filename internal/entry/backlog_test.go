package entry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// requestOnIdleFlow sends a request on the first idle flow, and returns its caller.
func (w *world) requestOnIdleFlow() *caller {
	for _, c := range w.callers {
		if c.state == "open" && c.awaitedAck == 0 {
			c.requestedAt, c.awaitedAck = w.Now, c.seq+100
			c.sendRequest(0)
			return c
		}
	}
	return nil
}

// Guards against a backlog that makes all later requests late. After a pause of the target, a second's
// worth of requests has queued up, and more arrive on open flows at 70% of its capacity, whatever its
// answers. If the requests are served in order of arrival, all those of the next two seconds are late.
func TestBacklogDoesNotMakeNewRequestsLate(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(30, 1, 1)
	target := w.targets[0]
	target.queueLimit = 1000
	for range 300 {
		w.openFlow().singleRequest = true
		w.run(10 * time.Millisecond)
	}
	w.run(2 * time.Second)
	requestInterval := time.Duration(float64(serviceTime) / float64(target.slots) / 0.7)
	for i := range target.slotFreeAt {
		target.slotFreeAt[i] = w.Now + time.Second
	}
	pauseStart := w.Now
	measured, inTime, lost := 0, 0, 0
	for w.Now < pauseStart+3*time.Second {
		c := w.requestOnIdleFlow()
		g.Expect(c).NotTo(BeNil())
		want := c.awaitedAck
		w.After(2*time.Second, func() { // the timeout of the route
			if c.awaitedAck == want {
				lost++
			}
		})
		if w.Now > pauseStart+1300*time.Millisecond && w.Now < pauseStart+2800*time.Millisecond {
			measured++
			before := c.served
			w.After(6*serviceTime, func() {
				if c.served > before {
					inTime++
				}
			})
		}
		w.run(requestInterval)
	}
	// Overdue requests get at most half of the turns, which leaves a capacity of 0.5 for a load of 0.7.
	g.Expect(float64(inTime) / float64(measured)).To(BeNumerically(">", 0.5/0.7))
	w.run(3 * time.Second)
	g.Expect(lost).To(BeZero(), "requests that are still waited for at the timeout")
	for _, c := range w.callers {
		g.Expect(c.awaitedAck).To(BeZero(), "%s waits for ever", c.addr)
	}
	g.Expect(target.rejected).To(BeZero())
}
