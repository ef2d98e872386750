package entry_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/checkpoint"
	"github.com/greengagelock/greengagelock/internal/hop"
)

const (
	reportInterval     = 250 * time.Millisecond
	earlierFlowsPeriod = 50 * time.Millisecond
	storeCount         = 3
)

// flowStore is a controller as relays see it that report their flows.
type flowStore struct {
	ip      hop.IP
	flows   *checkpoint.Store
	stopped bool // it neither receives reports nor answers
}

func newFlowStores() []*flowStore {
	var stores []*flowStore
	for i := range storeCount {
		stores = append(stores, &flowStore{ip: hop.IP{10, 0, 3, byte(i + 1)}, flows: checkpoint.NewStore()})
	}
	return stores
}

// runFlowReports reports the flows of a target, and requests those of earlier processes of its relay, until the
// relay process ends.
func (t *targetVM) runFlowReports() {
	w, current, process := t.w, t.relay, t.w.rand.Uint64()
	reporter := checkpoint.NewReporter(process)
	var report, request func()
	report = func() {
		if t.relay != current {
			return
		}
		target, flows := current.ReportedFlows()
		if target.ID != "" {
			t.sendReports(reporter, reporter.Reports(w.Now, target, flows, w.storeIPs()))
		}
		w.After(reportInterval, report)
	}
	request = func() {
		if t.relay != current {
			return
		}
		for _, s := range w.stores {
			if s.stopped || t.partitioned {
				continue
			}
			current.SetControllers(w.storeIPs())
			if !current.WantsEarlierFlows(w.Now, s.ip) {
				continue
			}
			for _, part := range s.flows.Earlier(t.ip, process) {
				w.deliver(func() {
					if t.relay == current {
						current.RecordEarlierFlows(w.Now, s.ip, &part)
					}
				})
			}
		}
		current.ResetEarlierFlows(w.Now)
		w.After(earlierFlowsPeriod, request)
	}
	w.After(reportInterval, report)
	w.After(earlierFlowsPeriod, request)
}

// sendReports delivers reports to the controllers.
func (t *targetVM) sendReports(reporter *checkpoint.Reporter, reports []checkpoint.Report) {
	for _, r := range reports {
		i := slices.IndexFunc(t.w.stores, func(s *flowStore) bool { return s.ip == r.To })
		s := t.w.stores[i]
		t.w.deliver(func() {
			if !s.stopped && s.flows.RecordPart(t.w.Now, t.ip, &r.Part) {
				t.w.deliver(func() { reporter.Resync(s.ip) })
			}
		})
	}
}

// storeIPs returns the addresses of all controllers.
func (w *world) storeIPs() []hop.IP {
	var ips []hop.IP
	for _, s := range w.stores {
		ips = append(ips, s.ip)
	}
	return ips
}

// losePower restarts the VM of a target.
func (t *targetVM) losePower() {
	t.crash()
	t.startRelay()
	t.startTarget()
}

// openIdleFlows opens flows that have been reported and whose callers wait between two requests.
func (w *world) openIdleFlows(count int) {
	for range count {
		w.openFlow()
	}
	w.run(2 * reportInterval)
	for _, c := range w.callers {
		c.singleRequest = true // no further request is sent on its own
	}
	w.run(time.Second)
}

// waitingCallers returns the number of callers that still hold a flow of a target that has ended.
func (w *world) waitingCallers() int {
	count := 0
	for _, c := range w.callers {
		if c.state == "open" && c.incarnation != c.target.incarnation {
			count++
		}
	}
	return count
}

// Guards against requests that fail on idle flows after a loss of power of all VMs: a caller that must not repeat a
// request loses it if it sends it on a flow that no target has any more. Nobody but the controllers' disks remembers
// those flows.
func TestIdleFlowsAreResetAfterLossOfPower(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(60, 3, 7)
	w.openIdleFlows(200)
	w.stores[0].flows = checkpoint.NewStore() // one controller loses its disk as well
	for _, v := range w.targets {
		v.losePower()
	}
	for _, e := range w.entries {
		e.start()
	}
	g.Expect(w.waitingCallers()).To(Equal(200))
	w.run(300 * time.Millisecond)
	g.Expect(w.waitingCallers()).To(BeZero())
	g.Expect(w.wrongResets).To(BeEmpty())
}

// Guards against the same on the flows of one VM that loses power, while the others go on.
func TestIdleFlowsOfLostVMAreReset(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(61, 3, 7)
	w.openIdleFlows(100)
	w.targets[2].losePower()
	w.run(300 * time.Millisecond)
	g.Expect(w.waitingCallers()).To(BeZero())
	g.Expect(w.wrongResets).To(BeEmpty())
}

// Guards against resets of live flows when only the relay has restarted.
func TestFlowsOfLiveTargetAreNotReset(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(62, 3, 3)
	w.openIdleFlows(60)
	for _, v := range w.targets {
		v.startRelay()
	}
	w.run(12 * time.Second)
	g.Expect(w.openFlows()).To(Equal(60))
}

// Guards against resets on the word of a single controller, which may have missed the newest reports.
func TestEarlierFlowsNeedTwoControllers(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(63, 3, 3)
	w.openIdleFlows(60)
	for _, s := range w.stores[1:] {
		s.stopped = true
	}
	for _, v := range w.targets {
		v.losePower()
	}
	w.run(time.Second)
	g.Expect(w.waitingCallers()).To(Equal(60))
	w.stores[1].stopped = false
	w.run(200 * time.Millisecond)
	g.Expect(w.waitingCallers()).To(BeZero())
}

// Guards against several resets of a flow: after a loss of power of all VMs, answers of further controllers brought
// flows in again that had been reset on the word of the first two. A late reset may meet another flow from the same
// port of the caller.
func TestEarlierFlowIsResetOnce(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(64, 3, 7)
	for len(w.stores) < 5 {
		w.stores = append(w.stores, &flowStore{ip: hop.IP{10, 0, 3, byte(len(w.stores) + 1)}, flows: checkpoint.NewStore()})
	}
	w.openIdleFlows(200)
	for _, s := range w.stores[2:] {
		s.stopped = true
	}
	for _, v := range w.targets {
		v.losePower()
	}
	w.run(300 * time.Millisecond)
	g.Expect(w.waitingCallers()).To(BeZero())
	for _, s := range w.stores[2:] {
		s.stopped = false
		w.run(200 * time.Millisecond)
	}
	for _, c := range w.callers {
		g.Expect(c.resets).To(Equal(1), "resets of %v", c.addr)
	}
}
