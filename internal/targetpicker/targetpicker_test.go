package targetpicker

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
	registry := roster.NewRegistry(1)
	for n := 1; n <= targets; n++ {
		t := roster.Target{Relay: ip(n), Service: service, Zone: "here", ID: "i", State: roster.Ready, Slots: 2}
		change(n, &t)
		registry.RecordAnnouncement(0, t.Relay, &roster.Announcement{
			Role: roster.RoleRelay, Target: &t, Load: hop.Load{Busy: load(n) / 16, Mean: load(n)},
		})
	}
	v := roster.NewView(hop.IP{2})
	for _, a := range registry.AnswersFor(0, roster.Answer{}, hop.IP{2}, &roster.Announcement{Role: roster.RoleEntry, Answers: 255, Loads: true}) {
		v.HandleAnswer(0, hop.IP{1}, &a)
	}
	return v
}

func unchanged(int, *roster.Target) {}

func idle(int) uint16 { return 0 }

func newPicker() *Picker { return NewPicker("here", rand.New(rand.NewPCG(1, 2))) }

// Guards against a lookup that misses the owner among the likely ones: a target that joins or leaves must
// not change the order of the others.
func TestOwnerStaysAmongLikelyOwners(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newPicker()
		flow := rapid.Uint64().Draw(rt, "flow")
		targets := rapid.IntRange(1, 60).Draw(rt, "targets")
		owner := p.Candidates(0, viewOf(targets, unchanged, idle), service, flow, nil, nil)[0]
		joined := rapid.IntRange(0, 2).Draw(rt, "joined")
		left := rapid.IntRange(0, 10).Draw(rt, "left")
		v := viewOf(targets+joined, func(n int, t *roster.Target) {
			if n <= left && t.Relay != owner {
				t.State = roster.Draining
			}
		}, idle)
		for _, relay := range p.LikelyOwners(v, service, flow, nil) {
			if relay == owner {
				return
			}
		}
		rt.Fatalf("the owner is not among the likely ones")
	})
}

// Guards against flows offered to targets that drain, are silent or down, or were tried before.
func TestCandidatesAreReadyAndUntried(t *testing.T) {
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

// Guards against flows placed by hash alone, which made targets reject requests while others were idle. A
// third of the targets is busy, and hardly any flow may go there first.
func TestBusyTargetsAreAvoided(t *testing.T) {
	g := NewWithT(t)
	p := newPicker()
	v := viewOf(12, unchanged, func(n int) uint16 {
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

// Guards against concurrent flows that all go to the target with the lowest reported load.
func TestSimultaneousFlowsAreSpread(t *testing.T) {
	g := NewWithT(t)
	p := newPicker()
	v := viewOf(6, unchanged, func(n int) uint16 { return uint16(n) })
	counts := map[hop.IP]int{}
	for flow := range uint64(60) {
		first := p.Candidates(time.Millisecond, v, service, flow, nil, nil)[0]
		counts[first]++
		p.RecordOffer(time.Millisecond, first)
	}
	for n := 1; n <= 6; n++ {
		g.Expect(counts[ip(n)]).To(BeNumerically("~", 10, 4))
	}
}

// Guards against SYNs that are offered to a target that did not answer while other targets are available.
func TestSuspectedTargetsComeLast(t *testing.T) {
	g := NewWithT(t)
	p := newPicker()
	v := viewOf(3, unchanged, idle)
	p.Suspect(0, ip(2))
	for flow := range uint64(30) {
		got := p.Candidates(time.Millisecond, v, service, flow, nil, nil)
		g.Expect(got[2]).To(Equal(ip(2)))
	}
	p.ClearSuspicion(ip(2))
	first := 0
	for flow := range uint64(30) {
		if p.Candidates(time.Millisecond, v, service, flow, nil, nil)[0] == ip(2) {
			first++
		}
	}
	g.Expect(first).To(BeNumerically(">", 0))
}
