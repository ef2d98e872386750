package admission_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/greengagelock/greengagelock/internal/admission"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/testseed"
)

func TestAdmission(t *testing.T) {
	testseed.RunSpecs(t, "admission")
}

func stateOf(t *admission.Target, now time.Duration) admission.State {
	state, _ := t.State(now)
	return state
}

var _ = ginkgo.Describe("admission at one target", func() {
	limits := admission.Limits{Class: model.ClassRequest, Slots: 2, MaxConns: 10, MaxQueueWait: 500 * time.Millisecond}

	// Guards against admitting more requests than the target has slots.
	ginkgo.It("is busy while every slot is taken", func() {
		t := admission.New(0, limits)
		t.Acquire()
		gomega.Expect(stateOf(t, 0)).To(gomega.Equal(admission.Free))
		t.Acquire()
		gomega.Expect(stateOf(t, 0)).To(gomega.Equal(admission.Busy))
		t.Release(time.Second, true)
		gomega.Expect(stateOf(t, 0)).To(gomega.Equal(admission.Free))
	})

	// Guards against a limit of slots for streams, which hold no slot.
	ginkgo.It("limits streams by connections only", func() {
		t := admission.New(0, admission.Limits{Class: model.ClassStream, Slots: 1, MaxConns: 3})
		for range 3 {
			gomega.Expect(stateOf(t, 0)).To(gomega.Equal(admission.Free))
			t.Acquire()
		}
		gomega.Expect(stateOf(t, 0)).To(gomega.Equal(admission.Busy))
	})

	// Guards against a target that gets its full load right after its start, and against one that gets
	// no load because its ramped capacity is rounded down to zero.
	ginkgo.It("ramps up from one flow, rounding up", func() {
		t := admission.New(0, admission.Limits{Class: model.ClassRequest, Slots: 5, MaxConns: 100, Ramp: 10 * time.Second})
		for _, step := range []struct {
			at    time.Duration
			slots int
		}{{0, 1}, {2 * time.Second, 1}, {2*time.Second + time.Millisecond, 2}, {9 * time.Second, 5}, {10 * time.Second, 5}} {
			taken := 0
			for stateOf(t, step.at) == admission.Free {
				t.Acquire()
				taken++
			}
			gomega.Expect(taken).To(gomega.Equal(step.slots))
			for range taken {
				t.Release(0, false)
			}
		}
	})

	// Guards against a restarted agent that admits flows while its target is full of flows that the agent
	// does not know yet.
	ginkgo.It("counts the reported load only during the ramp", func() {
		ramping := limits
		ramping.Ramp = time.Second
		t := admission.New(0, ramping)
		t.SetReportedLoad(2, 2)
		gomega.Expect(stateOf(t, 999*time.Millisecond)).To(gomega.Equal(admission.Busy))
		gomega.Expect(stateOf(t, time.Second)).To(gomega.Equal(admission.Free))
	})

	// Guards against a flow that is counted as known and as reported, so that a slot stays in use after
	// the flow has ended until the next report.
	ginkgo.It("counts a reported flow only once", func() {
		ramping := limits
		ramping.Ramp = time.Hour
		t := admission.New(0, ramping)
		t.Acquire()
		t.SetReportedLoad(1, 1)
		t.Release(time.Second, true)
		gomega.Expect(stateOf(t, 0)).To(gomega.Equal(admission.Free))
	})

	// Guards against a target that accepts flows before every node knows it, and against a refusal with
	// the wrong code.
	ginkgo.It("accepts no flow while it is joining", func() {
		t := admission.New(0, limits)
		t.SetClosed(admission.ClosedByJoin, true)
		state, code := t.State(0)
		gomega.Expect(state).To(gomega.Equal(admission.Closed))
		gomega.Expect(code).To(gomega.Equal(result.TargetJoining))
		t.SetClosed(admission.ClosedByJoin, false)
		gomega.Expect(stateOf(t, 0)).To(gomega.Equal(admission.Free))
	})

	// Guards against a queue at a service whose MaxQueueWait is zero.
	ginkgo.It("refuses at once when no wait is allowed", func() {
		t := admission.New(0, admission.Limits{Class: model.ClassRequest, Slots: 1, MaxConns: 10})
		t.Acquire()
		gomega.Expect(t.CheckQueue(t.EstimatedWait(0))).To(gomega.Equal(result.NoFreeSlot))
	})

	// Guards against a queue that accepts SYNs whose estimated wait exceeds MaxQueueWait, or refuses SYNs
	// whose wait does not.
	ginkgo.It("refuses at once when the estimated wait exceeds the limit", func() {
		t := admission.New(0, limits)
		t.Acquire()
		t.Release(400*time.Millisecond, true)
		t.Acquire()
		t.Acquire()
		// With two slots and a mean service time of 400 ms, a slot is released every 200 ms on average.
		gomega.Expect(t.EstimatedWait(0)).To(gomega.Equal(200 * time.Millisecond))
		t.Enqueue(1)
		gomega.Expect(t.CheckQueue(t.EstimatedWait(0))).To(gomega.Equal(result.OK))
		t.Enqueue(2)
		gomega.Expect(t.EstimatedWait(0)).To(gomega.Equal(600 * time.Millisecond))
		gomega.Expect(t.CheckQueue(t.EstimatedWait(0))).To(gomega.Equal(result.NoFreeSlot))
		gomega.Expect(t.RetryAfter(0)).To(gomega.Equal(600 * time.Millisecond))
		t.Release(400*time.Millisecond, true)
		id, ok := t.Dequeue(0)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(id).To(gomega.Equal(uint32(1)))
	})

	// Guards against an unbounded queue. With short service times the estimated wait never reaches the
	// limit.
	ginkgo.It("limits the number of queued SYNs", func() {
		t := admission.New(0, limits)
		t.Acquire()
		t.Release(time.Microsecond, true)
		for i := range uint32(admission.MaxQueue) {
			gomega.Expect(t.CheckQueue(t.EstimatedWait(0))).To(gomega.Equal(result.OK))
			t.Enqueue(i)
		}
		gomega.Expect(t.CheckQueue(t.EstimatedWait(0))).To(gomega.Equal(result.QueueFull))
	})

	// Guards against a target that gets flows although it completes no handshake, because its health
	// endpoint still reports healthy.
	ginkgo.It("suspends after three failed handshakes, from 1 s up to 30 s", func() {
		t := admission.New(0, limits)
		gomega.Expect(t.HandshakeFailed(0)).To(gomega.BeFalse())
		gomega.Expect(t.HandshakeFailed(0)).To(gomega.BeFalse())
		now := time.Duration(0)
		for _, backoff := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
			gomega.Expect(t.HandshakeFailed(now)).To(gomega.BeTrue())
			gomega.Expect(t.HandshakeFailed(now)).To(gomega.BeFalse(), "handshakes that were open before a suspension do not extend it")
			now += backoff * time.Second
			gomega.Expect(stateOf(t, now-1)).To(gomega.Equal(admission.Closed))
			gomega.Expect(stateOf(t, now)).To(gomega.Equal(admission.Free))
		}
		t.HandshakeSucceeded()
		gomega.Expect(t.HandshakeFailed(now)).To(gomega.BeFalse())
	})

	// Guards against retries that multiply the load of the other targets when targets fail.
	ginkgo.It("allows ten retries and then one per ten admitted flows", func() {
		t := admission.New(0, limits)
		spendAll := func() (n int) {
			for t.SpendRetry() {
				n++
			}
			return n
		}
		gomega.Expect(spendAll()).To(gomega.Equal(10))
		for range 29 {
			t.EarnRetry()
		}
		gomega.Expect(spendAll()).To(gomega.Equal(2))
		for range 1000 {
			t.EarnRetry()
		}
		gomega.Expect(spendAll()).To(gomega.Equal(10))
	})

	// Guards against an agent that goes on admitting after it has missed the view that drains its target.
	ginkgo.It("stops admitting when a newer generation is not delivered within 2 s", func() {
		t := admission.New(0, limits)
		t.SetGeneration(0, 5)
		t.ObserveGeneration(0, 6)
		t.ObserveGeneration(time.Second, 6)
		gomega.Expect(stateOf(t, 2*time.Second-1)).To(gomega.Equal(admission.Free))
		gomega.Expect(stateOf(t, 2*time.Second)).To(gomega.Equal(admission.Closed))
		t.SetGeneration(3*time.Second, 6)
		gomega.Expect(stateOf(t, 3*time.Second)).To(gomega.Equal(admission.Free))
		t.ObserveGeneration(10*time.Second, 7)
		gomega.Expect(stateOf(t, 11*time.Second)).To(gomega.Equal(admission.Free))
		t.SetGeneration(11*time.Second, 6)
		gomega.Expect(stateOf(t, 12*time.Second)).To(gomega.Equal(admission.Closed), "delivering the same generation again does not restart the timeout")
	})
})

// Guards against a sequence of events after which a target holds more flows than its limits, admits
// while it is closed, or serves its queue out of order.
func TestLimitsHoldInEveryOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := admission.Limits{
			Class: model.ClassRequest, Slots: rapid.IntRange(1, 5).Draw(t, "slots"), MaxConns: 8,
			Ramp: time.Duration(rapid.IntRange(0, 20).Draw(t, "ramp s")) * time.Second, MaxQueueWait: time.Second,
		}
		target := admission.New(0, limits)
		now, open, next, last, closed := time.Duration(0), 0, uint32(1), uint32(0), false
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				state, _ := target.State(now)
				if state == admission.Free {
					target.Acquire()
					open++
				} else if state == admission.Busy && target.CheckQueue(target.EstimatedWait(now)) == result.OK {
					target.Enqueue(next)
					next++
				}
			case 1:
				if open > 0 {
					target.Release(time.Second, true)
					open--
				}
			case 2:
				if id, ok := target.Dequeue(now); ok {
					if id <= last || closed {
						t.Fatalf("flow %d left the queue after %d, closed: %t", id, last, closed)
					}
					last = id
					target.Acquire()
					open++
				}
			case 3:
				closed = !closed
				target.SetClosed(admission.ClosedByControl, closed)
			}
			if state, _ := target.State(now); open > limits.Slots || closed && state != admission.Closed {
				t.Fatalf("%d flows of %d slots, closed: %t, state %d", open, limits.Slots, closed, state)
			}
		}
	})
}
