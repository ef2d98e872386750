package entry

import (
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/decision"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/result"
)

const (
	// minAdmitTimeout and maxAdmitTimeout bound the time after which a SYN that nobody has accepted is
	// offered to others. A chain of four relays and the answer of the target take below 10 ms between
	// availability zones; the caller repeats the SYN after 200 ms.
	minAdmitTimeout = 50 * time.Millisecond
	maxAdmitTimeout = 400 * time.Millisecond
	// admitFactor is the timeout as a multiple of the usual time to admission.
	admitFactor = 4
	// callerPatience is the time after which a caller gives up a SYN.
	callerPatience = 1400 * time.Millisecond
	// maxRounds bounds the chains that one SYN is offered to.
	maxRounds = 4
	// waitShare is the part of a route's latency objective that a request may wait for a slot before its
	// SYN is held instead, holdShare the part of the route's timeout for which it is held at most. A
	// target that is handed more than it can queue rejects requests, and each rejection costs its client
	// one of few retries. After that time the SYN is offered whatever the wait, since its client may
	// still be served.
	waitShare = 0.5
	// lateWaitShare takes the place of waitShare once half of the objective has passed: the request will be
	// late anyway, and should not make newer ones late as well.
	lateWaitShare = 0.25
	holdShare     = 0.35
	// holdPause is the time between two offers of a SYN that is held, with priority 0 or 1 and else. Those
	// that ask more often get more of the free slots.
	holdPause     = 60 * time.Millisecond
	holdPauseHigh = 25 * time.Millisecond
	// retryShare and retryBurst are the budget of offers that are repeated because nobody answered: a
	// share of all offers, so that a choked link is not choked further, and a burst for the loss of a VM.
	retryShare = 0.2
	retryBurst = 32
)

// pacer adapts the repetition of offers to how long admissions take and to how many are needed.
type pacer struct {
	usual  time.Duration // moving average of the time to admission
	budget float64
	known  bool
}

// admitted records the time from an offer to its admission.
func (p *pacer) admitted(took time.Duration) {
	if !p.known {
		p.usual, p.known = took, true
		return
	}
	p.usual += (took - p.usual) / 8
}

func (p *pacer) timeout() time.Duration {
	return min(max(p.usual*admitFactor, minAdmitTimeout), maxAdmitTimeout)
}

// offered adds to the budget.
func (p *pacer) offered() {
	if !p.known && p.budget == 0 {
		p.budget = retryBurst
	}
	p.budget = min(p.budget+retryShare, retryBurst)
}

// repeat takes one repetition from the budget, and reports false if there is none.
func (p *pacer) repeat() bool {
	if p.budget < 1 {
		return false
	}
	p.budget--
	return true
}

// open handles a SYN.
func (e *Entry) open(now time.Duration, key packet.Key, v *packet.View, raw []byte) {
	if f := e.flows[key]; f != nil && f.isn == v.Seq && f.syn != nil {
		f.seen = now
		switch {
		case f.state == owned:
			e.send(f.owner, f.service, key, raw)
		case f.state == offering && now >= f.due:
			// The budget did not allow to repeat the offer; the caller's own copy may.
			e.offer(now, key, f)
		}
		return
	}
	if len(e.flows) >= maxFlows {
		e.Stats.FlowsDropped++
		return
	}
	route, service, _ := e.table.Lookup(v.Destination, key.Hash())
	f := &flow{state: offering, seen: now, began: now, isn: v.Seq, service: service, route: route, syn: slices.Clone(raw)}
	e.flows[key] = f
	e.offers.offered()
	e.offer(now, key, f)
}

// offer sends the SYN to the next candidates, or refuses it if there are none.
func (e *Entry) offer(now time.Duration, key packet.Key, f *flow) {
	e.chain = e.picker.Candidates(now, e.View, f.service, key.Hash(), f.tried, e.chain)
	if len(e.chain) == 0 || f.round >= maxRounds {
		e.refuse(now, key, f)
		return
	}
	e.Stats.Offered++
	f.round++
	f.owner = e.chain[0]
	f.tried = append(f.tried, e.chain[0])
	e.wait(key, f, now+e.offers.timeout())
	e.picker.Offered(now, e.chain[0])
	e.note(now, decision.Decision{Kind: decision.Offered, Flow: key, Seq: f.isn, Target: f.owner, Tries: f.round, Took: now - f.began})
	e.toNode(e.chain[0], &hop.Message{
		Kind: hop.Forward, Service: uint64(f.service), Entry: e.cfg.Self, Candidates: e.chain, Packet: f.syn,
		MaxWait: f.maxWait(now),
	})
}

// maxWait returns the time in ms for which a request of the flow may wait at a target now, zero for any.
func (f *flow) maxWait(now time.Duration) uint16 {
	if f.route == nil || now-f.began >= f.holdLimit() {
		return 0
	}
	share := waitShare
	if now-f.began > f.route.Objective/2 {
		share = lateWaitShare
	}
	return uint16(min(float64(f.route.Objective.Milliseconds())*share, 60000))
}

// holdLimit returns the time for which the SYN is held at most.
func (f *flow) holdLimit() time.Duration {
	return min(time.Duration(float64(f.route.Timeout)*holdShare), callerPatience/2)
}

// holdSYN lets a SYN wait that all targets are too busy for.
func (e *Entry) holdSYN(now time.Duration, key packet.Key, f *flow) {
	e.Stats.OffersBusy++
	f.tried, f.round, f.busy = nil, max(f.round-1, 0), true
	pause := holdPause
	if f.route != nil && f.route.Priority <= 1 {
		pause = holdPauseHigh
	}
	e.wait(key, f, now+pause)
}

// refuse tells the caller at once that the flow will not open.
func (e *Entry) refuse(now time.Duration, key packet.Key, f *flow) {
	e.note(now, decision.Decision{
		Kind: decision.Refused, Flow: key, Seq: f.isn, Tries: f.round, Took: now - f.began, Code: result.NoTarget,
	})
	e.Stats.NoTarget++
	e.drop(key)
	e.reset(key, 0)
}

// offerDue handles an offer that nobody has answered: the candidate that the SYN was sent to is gone,
// the chain behind it broke, or the link is slow.
func (e *Entry) offerDue(now time.Duration, key packet.Key, f *flow) {
	if now-f.began > callerPatience {
		e.drop(key)
		return
	}
	if f.busy {
		f.busy = false
		e.offer(now, key, f)
		return
	}
	if !e.offers.repeat() {
		e.Stats.OffersHeld++
		f.waits = false // the caller's copy of the SYN is the next try
		return
	}
	e.picker.Suspect(now, f.owner)
	e.Stats.OfferedAgain++
	e.offer(now, key, f)
}

func (e *Entry) admitted(now time.Duration, from hop.IP, m *hop.Message) {
	e.View.SetLoad(from, m.Load.Expected())
	e.picker.Answered(from)
	f := e.flows[m.Key]
	if f == nil || f.isn != m.Seq {
		return
	}
	if f.state == owned && f.guessed {
		f.owner, f.guessed = from, false
		return
	}
	if f.state != offering {
		return // a second target has accepted a copy; the caller's next packet tells who has the flow
	}
	e.Stats.Admitted++
	if e.cfg.Admission != nil {
		e.cfg.Admission(now - f.began)
	}
	e.note(now, decision.Decision{Kind: decision.Admitted, Flow: m.Key, Seq: f.isn, Target: from, Tries: f.round, Took: now - f.began})
	if f.round == 1 {
		e.offers.admitted(now - f.began)
	}
	f.waits = false
	f.state, f.owner, f.tried, f.opened = owned, from, nil, now
	f.syn = f.syn[:0] // not nil: copies of the SYN go to the owner
}

func (e *Entry) refused(now time.Duration, m *hop.Message) {
	v, err := e.cfg.Codec.Parse(m.Packet)
	if err != nil {
		e.Stats.Malformed++
		return
	}
	key := v.KeyFromCaller()
	f := e.flows[key]
	if f == nil || f.state != offering || f.isn != v.Seq {
		return
	}
	e.Stats.Refused++
	if m.Busy {
		e.holdSYN(now, key, f)
		return
	}
	for _, c := range m.Candidates {
		if !slices.Contains(f.tried, c) {
			f.tried = append(f.tried, c)
		}
	}
	e.offer(now, key, f)
}
