// Package place chooses the targets that a new flow is offered to, in order. It has no clock and no
// randomness of its own.
package place

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/routing"
)

const (
	// coldFactor is how much longer a target works on a request while it is cold. The users' targets
	// take 1.6 times as long for their first seconds.
	coldFactor = 1.6
	// remoteCost is the load, in requests a slot, that a target in the same availability zone may have
	// above a remote one and still be preferred. Half a request of 20 to 50 ms in a queue outweighs the
	// 3 ms of a round trip between zones; a small preference saves traffic between zones at low load.
	remoteCost = 0.12
	// suspectCost puts targets that did not answer lately behind all others.
	suspectCost = 1000
	// pendingDecay is the time after which a flow offered by this process shows in the load that its
	// target reports.
	pendingDecay = 500 * time.Millisecond
	// SuspectTime is how long a target that did not answer a SYN is passed over if others can serve.
	// A process that was killed is back within that time.
	SuspectTime = 1500 * time.Millisecond
)

// Picker orders targets for new flows.
type Picker struct {
	zone    string
	rand    *rand.Rand
	recent  map[hop.IP]*recent
	scratch []scored
}

type recent struct {
	offered   float64 // flows offered by this process that the load does not show yet
	at        time.Duration
	suspected time.Duration // end of the suspicion
}

type scored struct {
	relay hop.IP
	score float64
}

// NewPicker returns a picker for a process in an availability zone.
func NewPicker(zone string, random *rand.Rand) *Picker {
	return &Picker{zone: zone, rand: random, recent: map[hop.IP]*recent{}}
}

// Candidates returns up to hop.MaxCandidates targets of a service in the order in which a new flow is
// offered to them. Targets in tried are left out. The result is valid until the next call.
func (p *Picker) Candidates(now time.Duration, view *roster.View, service routing.ServiceID, tried []hop.IP, out []hop.IP) []hop.IP {
	p.scratch = p.scratch[:0]
	view.Each(func(k *roster.Known) {
		if k.Service != service || !admits(k) || slices.Contains(tried, k.Relay) {
			return
		}
		p.scratch = append(p.scratch, scored{relay: k.Relay, score: p.score(now, k)})
	})
	// The order of the view is random; a random part of the score would also spread the flows of
	// entry VMs with the same information.
	slices.SortFunc(p.scratch, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	out = out[:0]
	for _, s := range p.scratch[:min(len(p.scratch), hop.MaxCandidates)] {
		out = append(out, s.relay)
	}
	return out
}

func admits(k *roster.Known) bool {
	return k.State == roster.Ready || (k.State == roster.Unknown && !k.Lost)
}

// score is the expected number of requests a slot, with the penalties above.
func (p *Picker) score(now time.Duration, k *roster.Known) float64 {
	slots := float64(max(k.Slots, 1))
	load := (float64(k.Load.Mean)/16 + float64(k.Load.Busy)) / 2
	r := p.recent[k.Relay]
	if r != nil {
		load += r.decayed(now)
	}
	s := load / slots
	if k.Cold {
		s = (s + 1/slots) * coldFactor
	}
	if k.Zone != p.zone {
		s += remoteCost
	}
	// Entry VMs with the same information must not all choose the same target.
	s += p.rand.Float64() * spread / slots
	if k.Lost || k.State != roster.Ready || (r != nil && now < r.suspected) {
		s += suspectCost
	}
	return s
}

// spread is the random part of the score in requests. Loads are up to an announcement interval old,
// and differences below it are noise.
const spread = 0.6

func (r *recent) decayed(now time.Duration) float64 {
	if age := now - r.at; age > 0 {
		r.offered *= max(0, 1-float64(age)/float64(pendingDecay))
		r.at = now
	}
	return r.offered
}

func (p *Picker) of(relay hop.IP) *recent {
	r := p.recent[relay]
	if r == nil {
		r = &recent{}
		p.recent[relay] = r
	}
	return r
}

// Offered records that a flow was offered to a target.
func (p *Picker) Offered(now time.Duration, relay hop.IP) {
	r := p.of(relay)
	r.decayed(now)
	r.offered++
}

// Suspect records that a target did not answer a SYN.
func (p *Picker) Suspect(now time.Duration, relay hop.IP) { p.of(relay).suspected = now + SuspectTime }

// Answered ends the suspicion of a target.
func (p *Picker) Answered(relay hop.IP) {
	if r := p.recent[relay]; r != nil {
		r.suspected = 0
	}
}

// Forget drops what is known of targets that are not in the view any more.
func (p *Picker) Forget(view *roster.View) {
	for relay := range p.recent {
		if view.Get(relay) == nil {
			delete(p.recent, relay)
		}
	}
}
