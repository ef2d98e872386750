// Package targetpicker selects the targets that an entry VM offers a new flow to, and ranks the likely owners
// of a flow, by rendezvous hash and load. It uses no clock, and no randomness but the source that it is given.
package targetpicker

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
	// coldSlowdown is the factor by which a cold target is slower. The users' targets take 1.6 times as
	// long in their first seconds.
	coldSlowdown = 1.6
	// remoteZonePenalty is the load, in requests per slot, by which a target in the same availability zone
	// may exceed a remote one and still be preferred. Half a queued request of 20 to 50 ms outweighs the
	// round trip of 3 ms between zones, so only a small preference is used, which saves traffic between
	// zones at low load.
	remoteZonePenalty = 0.12
	// unavailablePenalty ranks targets that may be unavailable behind all others.
	unavailablePenalty = 1000
	// pendingDecayTime is the time until a flow offered by this process shows in the load reported by its
	// target.
	pendingDecayTime = 500 * time.Millisecond
	// candidatePoolSize is the number of targets at the front of a flow's ranking among which the load
	// decides. The least loaded of six is within a few percent of the least loaded of all, and a lost owner
	// is found again with as few queries.
	candidatePoolSize = 6
	// likelyAdmitting is the number of admitting targets among the likely owners of a flow. It exceeds
	// candidatePoolSize because targets may join while a flow lives, which is a minute.
	likelyAdmitting = 9
	// SuspectDuration is the time for which a target that did not answer a SYN is avoided if others are
	// available. A killed process has restarted within that time.
	SuspectDuration = 1500 * time.Millisecond
)

// Picker selects targets for new flows.
type Picker struct {
	zone    string
	rand    *rand.Rand
	history map[hop.IP]*targetHistory
	scored  []scoredTarget
	ranked  []rankedTarget
	ranking []*roster.KnownTarget
}

type rankedTarget struct {
	target *roster.KnownTarget
	hash   uint64
}

type targetHistory struct {
	pendingFlows float64 // flows offered by this process that the reported load does not include yet
	decayedAt    time.Duration
	suspectUntil time.Duration // zero if the target is not suspected
}

type scoredTarget struct {
	relay hop.IP
	score float64
}

// NewPicker returns a Picker for an entry VM in an availability zone.
func NewPicker(zone string, random *rand.Rand) *Picker {
	return &Picker{zone: zone, rand: random, history: map[hop.IP]*targetHistory{}}
}

// Ranking returns the targets of a service ordered by rendezvous hash with a flow. A target that joins or
// leaves does not change the relative order of the others, so that the owner of a flow stays near the
// front. The result is valid until the next call.
func (p *Picker) Ranking(view *roster.View, service routing.ServiceID, flow uint64) []*roster.KnownTarget {
	p.ranked = p.ranked[:0]
	for _, k := range view.Targets(service) {
		p.ranked = append(p.ranked, rankedTarget{target: k, hash: rendezvousHash(flow, k.Relay)})
	}
	slices.SortFunc(p.ranked, func(a, b rankedTarget) int { return cmp.Compare(b.hash, a.hash) })
	p.ranking = p.ranking[:0]
	for _, r := range p.ranked {
		p.ranking = append(p.ranking, r.target)
	}
	return p.ranking
}

func rendezvousHash(flow uint64, relay hop.IP) uint64 {
	var buf [12]byte
	binary.LittleEndian.PutUint64(buf[:], flow)
	copy(buf[8:], relay[:])
	return xxhash.Sum64(buf[:])
}

// LikelyOwners appends to out the relays that most likely own a flow: the front of its ranking, long enough
// to include all targets that Candidates may have returned before the last few changes.
func (p *Picker) LikelyOwners(view *roster.View, service routing.ServiceID, flow uint64, out []hop.IP) []hop.IP {
	admitting := 0
	for _, k := range p.Ranking(view, service, flow) {
		out = append(out, k.Relay)
		if k.Admits() {
			admitting++
		}
		if admitting >= likelyAdmitting {
			break
		}
	}
	return out
}

// Candidates returns up to hop.MaxCandidates relays in the order in which a new flow is offered to them:
// the front of the ranking by load, without the relays in tried. It uses the memory of out.
func (p *Picker) Candidates(now time.Duration, view *roster.View, service routing.ServiceID, flow uint64, tried []hop.IP, out []hop.IP) []hop.IP {
	p.scored = p.scored[:0]
	for _, k := range p.Ranking(view, service, flow) {
		if !offerable(k) || view.Evacuated(k) || slices.Contains(tried, k.Relay) {
			continue
		}
		p.scored = append(p.scored, scoredTarget{relay: k.Relay, score: p.score(now, k)})
		if len(p.scored) >= candidatePoolSize {
			break
		}
	}
	slices.SortFunc(p.scored, func(a, b scoredTarget) int { return cmp.Compare(a.score, b.score) })
	out = out[:0]
	for _, s := range p.scored[:min(len(p.scored), hop.MaxCandidates)] {
		out = append(out, s.relay)
	}
	return out
}

// offerable reports whether flows may be offered to a target. A ready target that is lost stays eligible
// behind all others, because the lists may be wrong and it may be the only one.
func offerable(k *roster.KnownTarget) bool {
	return k.State == roster.Ready || (k.State == roster.Unknown && !k.Lost)
}

// score returns the expected requests per slot plus penalties. Lower is better.
func (p *Picker) score(now time.Duration, k *roster.KnownTarget) float64 {
	slots := float64(max(k.Slots, 1))
	load := float64(k.Load) / 16
	h := p.history[k.Relay]
	if h != nil {
		load += h.decayPending(now)
	}
	s := load / slots
	if k.Cold {
		s = (s + 1/slots) * coldSlowdown
	}
	if k.Zone != p.zone {
		s += remoteZonePenalty
	}
	// Entry VMs with the same lists must not all choose the same target.
	s += p.rand.Float64() * jitterRequests / slots
	if k.Lost || k.State != roster.Ready || (h != nil && now < h.suspectUntil) {
		s += unavailablePenalty
	}
	return s
}

// jitterRequests is the random part of the score, in requests. Reported loads are up to an announcement
// interval old, so smaller differences are noise.
const jitterRequests = 0.6

func (h *targetHistory) decayPending(now time.Duration) float64 {
	if age := now - h.decayedAt; age > 0 {
		h.pendingFlows *= max(0, 1-float64(age)/float64(pendingDecayTime))
		h.decayedAt = now
	}
	return h.pendingFlows
}

func (p *Picker) historyOf(relay hop.IP) *targetHistory {
	h := p.history[relay]
	if h == nil {
		h = &targetHistory{}
		p.history[relay] = h
	}
	return h
}

// RecordOffer counts a flow that was offered to a target, until the reported load includes it.
func (p *Picker) RecordOffer(now time.Duration, relay hop.IP) {
	h := p.historyOf(relay)
	h.decayPending(now)
	h.pendingFlows++
}

// Suspect marks a target that did not answer a SYN, for SuspectDuration.
func (p *Picker) Suspect(now time.Duration, relay hop.IP) {
	p.historyOf(relay).suspectUntil = now + SuspectDuration
}

// ClearSuspicion unmarks a target that has answered.
func (p *Picker) ClearSuspicion(relay hop.IP) {
	if h := p.history[relay]; h != nil {
		h.suspectUntil = 0
	}
}

// ForgetRemoved drops the history of targets that the view no longer contains.
func (p *Picker) ForgetRemoved(view *roster.View) {
	for relay := range p.history {
		if view.Get(relay) == nil {
			delete(p.history, relay)
		}
	}
}
