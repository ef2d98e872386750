package flowtable_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flowtable"
	"github.com/greengagelock/greengagelock/internal/model"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

const (
	requestService model.ServiceID = 1
	streamService  model.ServiceID = 2
)

var addressOf = map[model.ServiceID]netip.AddrPort{
	requestService: netip.MustParseAddrPort("10.9.0.1:443"),
	streamService:  netip.MustParseAddrPort("10.9.0.2:443"),
}

// scenario is a world with two services and a random sequence of calls and changes.
type scenario struct {
	*world
	t       *rapid.T
	nextID  model.TargetID
	targets []*simAgent
	streams map[string]*tcpEnd
	calls   int
}

func newScenario(t *rapid.T, f faults, silence model.Silence) *scenario {
	seed := rapid.Uint64().Draw(t, "seed")
	s := &scenario{world: newWorld(seed, t.Fatalf), t: t, streams: map[string]*tcpEnd{}}
	s.faults = f
	s.addService(model.Service{ID: requestService, Address: addressOf[requestService], Class: model.ClassRequest, MaxQueueWait: 500 * time.Millisecond})
	s.addService(model.Service{ID: streamService, Address: addressOf[streamService], Silence: silence})
	for _, id := range []model.ServiceID{requestService, streamService} {
		for range rapid.IntRange(1, 10).Draw(t, fmt.Sprintf("targets of service %d", id)) {
			s.joinTarget(id)
		}
	}
	for range rapid.IntRange(1, 4).Draw(t, "balancers") {
		s.addBalancer()
	}
	s.runUntil(3 * time.Second)
	return s
}

func (s *scenario) joinTarget(id model.ServiceID) {
	s.nextID++
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(s.nextID)}), 7000)
	s.targets = append(s.targets, s.addTarget(s.nextID, id, addr, 2))
}

// newCall opens a request or a stream. Some requests reuse the port of a finished one.
func (s *scenario) newCall() {
	s.calls++
	from := netip.AddrPortFrom(netip.MustParseAddr("10.8.0.1"), uint16(10000+s.calls))
	request := s.calls%3 > 0
	for addr, e := range s.callers {
		if reusable := e.fullyClosed() || e.state == tcpClosed; reusable && request && s.calls%4 == 0 && e.remote == addressOf[requestService] {
			from = minAddr(from, addr)
		}
	}
	if request {
		s.call(fmt.Sprintf("request-%d", s.calls), from, addressOf[requestService], true)
		return
	}
	id := fmt.Sprintf("stream-%d", s.calls)
	s.streams[id] = s.call(id, from, addressOf[streamService], false)
}

func minAddr(a, b netip.AddrPort) netip.AddrPort {
	if b.Compare(a) < 0 {
		return b
	}
	return a
}

// randomChange makes one random planned change.
func (s *scenario) randomChange() {
	t, any := s.t, s.targets[rapid.IntRange(0, len(s.targets)-1).Draw(s.t, "target")]
	switch rapid.SampledFrom([]string{
		"join", "drain", "activate", "eject", "lose", "restart agent", "remove", "reassign",
		"add balancer", "stop balancer", "cut balancer", "cut agent", "refuse SYNs",
	}).Draw(t, "change") {
	case "join":
		if len(s.targets) < 40 {
			s.joinTarget(rapid.SampledFrom([]model.ServiceID{requestService, streamService}).Draw(t, "service"))
		}
	case "drain":
		s.setState(any.target, model.TargetDraining)
	case "activate":
		s.setState(any.target, model.TargetActive)
	case "eject":
		s.setState(any.target, model.TargetEjected)
	case "lose":
		s.setState(any.target, model.TargetLost)
	case "restart agent":
		if !any.down {
			// A restarted agent without a view stalls handshakes until the target gives up on them.
			any.disconnectedUntil = min(any.disconnectedUntil, s.Now+4*time.Second)
			any.restart(time.Duration(rapid.IntRange(10, 2000).Draw(t, "downtime ms")) * time.Millisecond)
		}
	case "remove":
		s.remove(any, any.service)
	case "reassign":
		s.remove(any, requestService+streamService-any.service)
	case "add balancer":
		if len(s.balancers) < 6 {
			s.addBalancer()
		}
	case "stop balancer":
		if len(s.balancers) > 1 {
			s.balancers[0].stopped = true
			s.balancers = s.balancers[1:]
		}
	case "cut balancer":
		// Changes are in force everywhere within 4 s. A balancer that lags for longer may delay a handshake
		// beyond the half-open timeout of 10 s.
		s.balancers[0].disconnectedUntil = s.Now + time.Duration(rapid.IntRange(1, 4).Draw(t, "cut s"))*time.Second
	case "cut agent":
		if any.view != nil {
			any.disconnectedUntil = s.Now + time.Duration(rapid.IntRange(1, 20).Draw(t, "cut s"))*time.Second
		}
	case "refuse SYNs":
		any.refusesSYNs = true
		s.After(2*time.Second, func() { any.refusesSYNs = false })
	}
}

// remove removes a target that is drained and has no flows, and gives its address to a new target of
// service.
func (s *scenario) remove(a *simAgent, service model.ServiceID) {
	if s.controlView.Targets[a.target].State != model.TargetDraining || len(a.conns) > 0 || a.table.OpenFlows() > 0 || a.down {
		return
	}
	a.stopped = true
	s.changeService(a.service, func(v *model.View) { delete(v.Targets, a.target) })
	for i, known := range s.targets {
		if known == a {
			s.nextID++
			s.targets[i] = s.addTarget(s.nextID, service, a.addr, 2)
		}
	}
}

func (s *scenario) refusedRequests() int {
	n := 0
	for id := range s.refused {
		if s.streams[id] == nil {
			n++
		}
	}
	return n
}

// checkInvariants verifies what must hold after any sequence of calls and changes.
func (s *scenario) checkInvariants() {
	for id, n := range s.runCounts {
		if n > 1 {
			s.t.Fatalf("%s ran %d times", id, n)
		}
	}
	for id, reason := range s.refused {
		if s.runCounts[id] > 0 {
			s.t.Fatalf("%s was refused with %q but ran", id, reason)
		}
	}
	if n := s.dropCounts[encap.DropHops]; n > 0 {
		s.t.Fatalf("%d packets reached the hop limit", n)
	}
}

// Guards against planned changes that break an established flow, requests that run twice or after a
// refusal, answers that reach another caller, packets that reach a target of another service or exceed the
// hop limit, and draining targets that admit flows.
func TestPlannedChangesBreakNoFlow(t *testing.T) {
	totals := map[flowtable.Event]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := newScenario(t, faults{loss: 0.02, duplicate: 0.05, late: 0.03}, model.Silence{})
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			for range rapid.IntRange(0, 3).Draw(t, "calls") {
				s.newCall()
			}
			s.randomChange()
			s.runUntil(s.Now + time.Duration(rapid.IntRange(10, 3000).Draw(t, "pause ms"))*time.Millisecond)
		}
		s.faults = faults{}
		s.runUntil(s.Now + 25*time.Second)
		received := map[string]uint32{}
		for id, e := range s.streams {
			received[id] = e.rcv
		}
		s.runUntil(s.Now + 30*time.Second)
		if len(s.brokenFlows) > 0 {
			t.Fatalf("broken flows: %v", s.brokenFlows)
		}
		for id, e := range s.streams {
			if e.state == tcpOpen && e.rcv == received[id] {
				t.Fatalf("%s from %s receives nothing any more", id, e.local)
			}
		}
		s.checkInvariants()
		if n := s.calls - len(s.streams); s.finishedRequests+s.refusedRequests() != n {
			t.Fatalf("%d of %d requests finished and %d were refused", s.finishedRequests, n, s.refusedRequests())
		}
		// Within that time three probes of the agent reveal a flow that its target has dropped.
		s.runUntil(s.Now + 4*time.Minute)
		for _, a := range s.targets {
			if n := a.table.OpenRequests(); n > 0 && !a.down {
				t.Fatalf("target %d has %d slots in use after all requests ended", a.target, n)
			}
		}
		for event, n := range s.eventCounts {
			totals[event] += n
		}
	})
	t.Logf("events: %v", totals)
}
