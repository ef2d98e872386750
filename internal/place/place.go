// Package place chooses the targets that a new flow is offered to, in order. It has no clock and no
// randomness of its own.
package place

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// choices is the number of targets at the front of a flow's ranking that its load decides between. The
	// least loaded of six is within a few percent of the least loaded of all, and a lost owner is
	// found again with as few questions.
	choices = 6
	// likely is the number of admitting targets that are asked first for a flow of unknown owner. A flow
	// lives for a minute, in which few targets join.
	likely = 9
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
	ranked  []ranked
	order   []*roster.KnownTarget
}

type ranked struct {
	target *roster.KnownTarget
	hash   uint64
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

// Ranking returns the targets of a service in the order of their rendezvous hash with a flow. A target
// that joins or leaves moves no two others relative to each other, so the target that owns a flow
// stays near the front.
func (p *Picker) Ranking(view *roster.View, service routing.ServiceID, flow uint64) []*roster.KnownTarget {
	p.ranked = p.ranked[:0]
	for _, k := range view.Targets(service) {
		p.ranked = append(p.ranked, ranked{target: k, hash: rendezvous(flow, k.Relay)})
	}
	slices.SortFunc(p.ranked, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	p.order = p.order[:0]
	for _, r := range p.ranked {
		p.order = append(p.order, r.target)
	}
	return p.order
}

func rendezvous(flow uint64, relay hop.IP) uint64 {
	var buf [12]byte
	binary.LittleEndian.PutUint64(buf[:], flow)
	copy(buf[8:], relay[:])
	return xxhash.Sum64(buf[:])
}

// Likely returns the relays that most likely own a flow: the front of its ranking, long enough to hold
// everything that Candidates may have chosen while the targets were about the same.
func (p *Picker) Likely(view *roster.View, service routing.ServiceID, flow uint64, out []hop.IP) []hop.IP {
	admitting := 0
	for _, k := range p.Ranking(view, service, flow) {
		out = append(out, k.Relay)
		if k.Admits() {
			admitting++
		}
		if admitting >= likely {
			break
		}
	}
	return out
}

// Candidates returns up to hop.MaxCandidates targets of a service in the order in which a new flow is
// offered to them: the first ones of its ranking, by load. Targets in tried are left out. The result is
// valid until the next call.
func (p *Picker) Candidates(now time.Duration, view *roster.View, service routing.ServiceID, flow uint64, tried []hop.IP, out []hop.IP) []hop.IP {
	p.scratch = p.scratch[:0]
	for _, k := range p.Ranking(view, service, flow) {
		if !offerable(k) || slices.Contains(tried, k.Relay) {
			continue
		}
		p.scratch = append(p.scratch, scored{relay: k.Relay, score: p.score(now, k)})
		if len(p.scratch) >= choices {
			break
		}
	}
	slices.SortFunc(p.scratch, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	out = out[:0]
	for _, s := range p.scratch[:min(len(p.scratch), hop.MaxCandidates)] {
		out = append(out, s.relay)
	}
	return out
}

// offerable reports whether a target may be offered a flow at all. A lost one comes last, but the lists
// may be wrong and it may be the only one.
func offerable(k *roster.KnownTarget) bool {
	return k.State == roster.Ready || (k.State == roster.Unknown && !k.Lost)
}

// score is the expected number of requests a slot, with the penalties above.
func (p *Picker) score(now time.Duration, k *roster.KnownTarget) float64 {
	slots := float64(max(k.Slots, 1))
	load := float64(k.Load) / 16
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
