package flowtable_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/flowtable"
	"github.com/greengagelock/greengagelock/internal/model"
)

// swapAddresses exchanges the addresses of the two services.
func (s *scenario) swapAddresses() {
	for _, id := range []model.ServiceID{requestService, streamService} {
		s.changeService(id, func(v *model.View) {
			service := v.Services[id]
			service.Address = addressOf[requestService]
			if s.controlView.Services[id].Address == addressOf[requestService] {
				service.Address = addressOf[streamService]
			}
			v.Services[id] = service
		})
	}
}

// Guards against packets that reach a target of another service after addresses or targets have moved
// between services, and against requests that run twice or after a refusal when targets restart and nodes
// lose contact to control for up to 30 s.
func TestFaultsKeepIsolationAndAtMostOnce(t *testing.T) {
	totals := map[flowtable.Event]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := newScenario(t, faults{loss: 0.05, duplicate: 0.1, late: 0.1}, model.Silence{})
		s.mayReceiveForeignData = true
		for range rapid.IntRange(10, 50).Draw(t, "steps") {
			for range rapid.IntRange(0, 4).Draw(t, "calls") {
				s.newCall()
			}
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				s.swapAddresses()
			case 1:
				s.targets[0].restartTarget()
			case 2:
				s.balancers[0].disconnectedUntil = s.Now + 30*time.Second
			default:
				s.randomChange()
			}
			s.runUntil(s.Now + time.Duration(rapid.IntRange(10, 3000).Draw(t, "pause ms"))*time.Millisecond)
		}
		s.runUntil(s.Now + 40*time.Second)
		s.checkInvariants()
		for event, n := range s.eventCounts {
			totals[event] += n
		}
	})
	t.Logf("events: %v", totals)
}

// silencePolicy is the silence policy of stream services: a silent end is detected within 45 s.
var silencePolicy = model.Silence{Enabled: true, Idle: 30 * time.Second, Interval: 5 * time.Second, Count: 3}

// detectionTime is the 45 s of silencePolicy, and 100 ms for packet delays and the timer resolution.
const detectionTime = 45*time.Second + 100*time.Millisecond

// Guards against flows that stay open after one end has gone silent, and against resets of idle flows
// whose ends are both alive.
func TestSilentFlowsAreReset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScenario(t, faults{}, silencePolicy)
		var ids []string
		for i := range rapid.IntRange(2, 12).Draw(t, "flows") {
			id := fmt.Sprintf("%s-%d", rapid.SampledFrom([]string{"idle", "stream"}).Draw(t, "kind"), i)
			ids = append(ids, id)
			s.streams[id] = s.call(id, netip.AddrPortFrom(netip.MustParseAddr("10.8.0.1"), uint16(10000+i)), addressOf[streamService], false)
		}
		s.runUntil(s.Now + time.Duration(rapid.IntRange(1, 200).Draw(t, "alive s"))*time.Second)
		owner := map[string]*simAgent{}
		for _, id := range ids {
			owner[id] = s.ownerOf(s.streams[id].local)
		}
		silent := rapid.SliceOfDistinct(rapid.SampledFrom(ids), func(id string) string { return id }).Draw(t, "silent callers")
		for _, id := range silent {
			s.silentCallers[s.streams[id].local] = true
		}
		if rapid.Bool().Draw(t, "a target goes silent") {
			s.targets[rapid.IntRange(0, len(s.targets)-1).Draw(t, "silent target")].silent = true
		}
		for _, wait := range []time.Duration{detectionTime, 5 * time.Minute} {
			s.runUntil(s.Now + wait)
			for _, id := range ids {
				s.checkFlowOpen(id, owner[id], slices.Contains(silent, id))
			}
		}
	})
}

// ownerOf returns the agent whose target has the connection of a caller.
func (s *scenario) ownerOf(caller netip.AddrPort) *simAgent {
	for _, a := range s.targets {
		if a.conns[flow.Key{Caller: caller, Service: addressOf[streamService]}] != nil {
			return a
		}
	}
	s.t.Fatalf("no target has the flow of %s", caller)
	return nil
}

// checkFlowOpen verifies that a flow is open at both ends, or, if one end is silent, closed at the other.
func (s *scenario) checkFlowOpen(id string, owner *simAgent, callerSilent bool) {
	caller := s.streams[id]
	atTarget := owner.conns[flow.Key{Caller: caller.local, Service: caller.remote}] != nil
	want := !callerSilent && !owner.silent
	if !callerSilent && (caller.state == tcpOpen) != want {
		s.t.Fatalf("%s is open at its caller: %t", id, !want)
	}
	if !owner.silent && atTarget != want {
		s.t.Fatalf("%s is open at its target: %t", id, !want)
	}
}
