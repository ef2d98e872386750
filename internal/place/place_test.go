package place

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/routing"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

const service = routing.ServiceID(1)

func ip(n int) hop.IP { return hop.IP{10, 0, 0, byte(n)} }

// viewOf returns a view of targets numbered from 1.
func viewOf(targets int, change func(n int, t *roster.Target), load func(n int) uint16) *roster.View {
	a := roster.Answer{Digest: 1, Parts: 1}
	for n := 1; n <= targets; n++ {
		t := roster.Target{Relay: ip(n), Service: service, Zone: "here", ID: "i", State: roster.Ready, Slots: 2}
		change(n, &t)
		a.Targets = append(a.Targets, t)
		a.Loads = append(a.Loads, load(n))
	}
	v := roster.NewView()
	v.HandleAnswer(0, hop.IP{1}, &a)
	return v
}

func same(int, *roster.Target) {}

func idle(int) uint16 { return 0 }

func newPicker() *Picker { return NewPicker("here", rand.New(rand.NewPCG(1, 2))) }

// Guards against flows whose owner is not among the first that are asked: a target that joined or left
// since must not change the order of the others.
func TestOwnerStaysLikely(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newPicker()
		flow := rapid.Uint64().Draw(rt, "flow")
		targets := rapid.IntRange(1, 60).Draw(rt, "targets")
		owner := p.Candidates(0, viewOf(targets, same, idle), service, flow, nil, nil)[0]
		joined := rapid.IntRange(0, 2).Draw(rt, "joined")
		left := rapid.IntRange(0, 10).Draw(rt, "left")
		v := viewOf(targets+joined, func(n int, t *roster.Target) {
			if n <= left && t.Relay != owner {
				t.State = roster.Draining
			}
		}, idle)
		for _, relay := range p.Likely(v, service, flow, nil) {
			if relay == owner {
				return
			}
		}
		rt.Fatalf("the owner is not among the likely ones")
	})
}

// Guards against flows that go to targets that leave, are silent, or were tried.
func TestCandidates(t *testing.T) {
	g := NewWithT(t)
	p := newPicker()
	v := viewOf(6, func(n int, t *roster.Target) {
		t.State = []roster.State{roster.Ready, roster.Draining, roster.Silent, roster.Down, roster.Ready, roster.Ready}[n-1]
	}, idle)
	for flow := range uint64(50) {
		got := p.Candidates(0, v, service, flow, []hop.IP{ip(5)}, nil)
		g.Expect(got).To(ConsistOf(ip(1), ip(6)))
	}
	g.Expect(p.Candidates(0, v, service+1, 1, nil, nil)).To(BeEmpty())
}

// Guards against the pattern that made targets shed while others were idle: flows that follow the hash
// alone. A third of the targets is busy; nearly no flow may go there first.
func TestBusyTargetsAreAvoided(t *testing.T) {
	g := NewWithT(t)
	p := newPicker()
	v := viewOf(12, same, func(n int) uint16 {
		if n <= 4 {
			return 8 * 16
		}
		return 0
	})
	busy := 0
	for flow := range uint64(1000) {
		if p.Candidates(0, v, service, flow, nil, nil)[0][3] <= 4 {
			busy++
		}
	}
	g.Expect(busy).To(BeNumerically("<", 20))
}

// Guards against all flows of a moment at the one target whose load was reported lowest.
func TestFlowsOfAMomentAreSpread(t *testing.T) {
	g := NewWithT(t)
	p := newPicker()
	v := viewOf(6, same, func(n int) uint16 { return uint16(n) })
	counts := map[hop.IP]int{}
	for flow := range uint64(60) {
		first := p.Candidates(time.Millisecond, v, service, flow, nil, nil)[0]
		counts[first]++
		p.Offered(time.Millisecond, first)
	}
	for n := 1; n <= 6; n++ {
		g.Expect(counts[ip(n)]).To(BeNumerically("~", 10, 4))
	}
}

// Guards against SYNs that go to a target that did not answer while others do.
func TestSuspectsComeLast(t *testing.T) {
	g := NewWithT(t)
	p := newPicker()
	v := viewOf(3, same, idle)
	p.Suspect(0, ip(2))
	for flow := range uint64(30) {
		got := p.Candidates(time.Millisecond, v, service, flow, nil, nil)
		g.Expect(got[2]).To(Equal(ip(2)))
	}
	p.Answered(ip(2))
	first := 0
	for flow := range uint64(30) {
		if p.Candidates(time.Millisecond, v, service, flow, nil, nil)[0] == ip(2) {
			first++
		}
	}
	g.Expect(first).To(BeNumerically(">", 0))
}
