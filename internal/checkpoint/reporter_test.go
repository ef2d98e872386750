package checkpoint

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/greengagelock/greengagelock/internal/hop"
)

const testInterval = 250 * time.Millisecond

var testTarget = Target{ID: "0123456789abcdef", Born: 1_700_000_000_000}

// Guards against flows that are missing at a controller, or remembered although they have ended, after reports that got
// lost or arrived late, restarts of controllers, and other targets beside the relay.
func TestStoreFollowsTheReporter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		reporter := NewReporter(1)
		stores := map[hop.IP]*Store{{10, 0, 0, 1}: NewStore(), {10, 0, 0, 2}: NewStore()}
		controllers := []hop.IP{{10, 0, 0, 1}, {10, 0, 0, 2}}
		all := someFlows(300, 5)
		open := map[int]uint32{}
		target, now := testTarget, time.Duration(0)
		var delayed []Report
		step := func(lossPercent int) (flows []Flow) {
			now += testInterval
			for i, f := range all {
				if ack, ok := open[i]; ok {
					f.Ack = ack
					flows = append(flows, f)
				}
			}
			reports := append(reporter.Reports(now, target, flows, controllers), delayed...)
			delayed = nil
			for _, r := range reports {
				switch n := rapid.IntRange(0, 99).Draw(rt, "fate"); {
				case n < lossPercent:
				case n < 2*lossPercent:
					delayed = append(delayed, r)
				default:
					if stores[r.To].RecordPart(now, relay, &r.Part) {
						reporter.Resync(r.To)
					}
				}
			}
			return flows
		}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			for range rapid.IntRange(0, 100).Draw(rt, "changes") {
				i := rapid.IntRange(0, len(all)-1).Draw(rt, "flow")
				if _, ok := open[i]; ok && rapid.Bool().Draw(rt, "closes") {
					delete(open, i)
				} else {
					open[i] = rapid.Uint32Range(0, 3).Draw(rt, "ack")
				}
			}
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0:
				target.Born++
				clear(open)
			case 1:
				stores[controllers[0]] = NewStore()
			case 2:
				now += refreshInterval
			}
			step(20)
		}
		now += refreshInterval
		step(0)
		flows := step(0)
		for ip, s := range stores {
			lists := s.earlier(2)
			if !slices.Equal(lists[target.ID], flows) {
				rt.Fatalf("%v has %d flows, want %d", ip, len(lists[target.ID]), len(flows))
			}
		}
	})
}

// reportedBytes returns the bytes that a relay with some open flows sends to five controllers in ten seconds, while
// flows open and close at a rate per second.
func reportedBytes(t *testing.T, open, rate int) int {
	t.Helper()
	reporter := NewReporter(1)
	var controllers []hop.IP
	for i := range Copies {
		controllers = append(controllers, hop.IP{10, 0, 0, byte(i)})
	}
	all := someFlows(open+20*rate, 5)
	size := 0
	const ticks = 40 // ten seconds
	for tick := range 2 * ticks {
		first := rate * tick / 4
		for _, r := range reporter.Reports(time.Duration(tick)*testInterval, testTarget, all[first:first+open], controllers) {
			b, err := r.Part.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if tick >= ticks {
				size += len(b) + 28 // with the IP and UDP headers
			}
		}
	}
	return size
}

// Guards against reports that grow with the open flows instead of their changes: at the design size a relay has 2,243
// flows, of which 6 open and close in a second, and a whole list is 36 KB for each of five controllers.
func TestReportsDoNotGrowWithTheOpenFlows(t *testing.T) {
	g := NewWithT(t)
	small, large := reportedBytes(t, 20, 6), reportedBytes(t, 2243, 6)
	g.Expect(large).To(BeNumerically("<=", small*11/10))
	g.Expect(large).To(BeNumerically("<", 10*(16<<10)/2), "half of the limit of a relay")
}

// Guards against whole lists that a full store asks for again and again.
func TestFullStoreDoesNotAskForDroppedLists(t *testing.T) {
	g := NewWithT(t)
	s := NewStore()
	const flowsPerRelay = 30_000
	relays := maxStoredBytes/(flowsPerRelay*flowBytes) + 1
	for i := range relays {
		s.report(time.Duration(i), hop.IP{10, 0, 0, byte(i)}, 1, "a", 1, someFlows(flowsPerRelay, 5))
	}
	g.Expect(s.Stats().Dropped).To(BeEquivalentTo(1))
	difference := Part{Process: 1, Target: Target{ID: "a"}, Number: 2, Base: 1, Parts: 1}
	g.Expect(s.RecordPart(time.Second, hop.IP{10, 0, 0, 0}, &difference)).To(BeFalse())
	difference.Number, difference.Base = 3, 2
	g.Expect(s.RecordPart(retention+time.Second, hop.IP{10, 0, 0, 0}, &difference)).To(BeTrue())
}
