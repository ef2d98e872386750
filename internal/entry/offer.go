package entry

import (
	"math"
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/decision"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/routing"
)

const (
	// minAdmitTimeout and maxAdmitTimeout bound the time after which a SYN that no target has accepted is
	// offered to the next candidates. Four relays and the reply of the target take less than 10 ms between
	// availability zones; the caller retransmits the SYN after 200 ms.
	minAdmitTimeout = 50 * time.Millisecond
	maxAdmitTimeout = 400 * time.Millisecond
	// admitFactor is the ratio of the timeout to the mean time to admission.
	admitFactor = 4
	// callerSYNTimeout is the time after which a caller gives up a SYN.
	callerSYNTimeout = 1400 * time.Millisecond
	// maxOffers bounds the chains of candidates that one SYN is offered to.
	maxOffers = 4
	// maxWaitShare is the part of a route's latency objective for which a request may wait for a slot; if
	// the wait would be longer, the SYN is held. maxHoldShare is the part of the route's timeout for which
	// it is held at most. A target that is sent more than it can queue rejects requests, and each rejection
	// costs the client one of few retries. Once maxHoldShare has passed, the SYN is offered whatever the
	// wait, since the client may still be served.
	maxWaitShare = 0.5
	// lateMaxWaitShare replaces maxWaitShare after half of the objective: the request will be late anyway,
	// and must not make newer ones late as well.
	lateMaxWaitShare = 0.25
	maxHoldShare     = 0.35
	// holdInterval is the time between two offers of a held SYN, and holdIntervalHighPriority that for
	// priorities 0 and 1. A shorter interval wins more of the free slots.
	holdInterval             = 60 * time.Millisecond
	holdIntervalHighPriority = 25 * time.Millisecond
	// retryRatio and retryBurst limit the offers that are repeated after a timeout: a ratio to all offers,
	// so that retries do not congest a saturated link further, and a burst for the loss of a VM.
	retryRatio = 0.2
	retryBurst = 32
)

// retryPolicy derives the timeout of offers from the mean time to admission, and limits their retries.
type retryPolicy struct {
	meanAdmission time.Duration // exponentially weighted moving average
	retryBudget   float64
	hasMean       bool
}

// observeAdmission records the time from an offer to its admission.
func (p *retryPolicy) observeAdmission(took time.Duration) {
	if !p.hasMean {
		p.meanAdmission, p.hasMean = took, true
		return
	}
	p.meanAdmission += (took - p.meanAdmission) / 8
}

func (p *retryPolicy) timeout() time.Duration {
	return min(max(p.meanAdmission*admitFactor, minAdmitTimeout), maxAdmitTimeout)
}

// addOffer credits the retry budget for a new flow.
func (p *retryPolicy) addOffer() {
	p.retryBudget = min(p.retryBudget+retryRatio, retryBurst)
}

// takeRetry takes one retry from the budget, and reports whether there was one.
func (p *retryPolicy) takeRetry() bool {
	if p.retryBudget < 1 {
		return false
	}
	p.retryBudget--
	return true
}

// handleSYN offers the SYN of a new flow, and forwards a retransmitted SYN to the owner of the flow.
func (e *Entry) handleSYN(now time.Duration, key packet.Key, v *packet.View, raw []byte) {
	if f := e.flows[key]; f != nil && f.isn == v.Seq && f.syn != nil {
		f.lastSeen = now
		switch {
		case f.state == owned:
			e.forwardTo(f.owner, f.service, key, raw)
		case f.state == offering && now >= f.due:
			// The offer timed out without retry budget; the caller's retransmission is the retry.
			e.offerSYN(now, key, f)
		}
		return
	}
	if len(e.flows) >= maxFlows {
		e.Stats.FlowsDropped++
		return
	}
	route, service, _ := e.table.Lookup(v.Destination, key.Hash())
	f := &flow{state: offering, lastSeen: now, startedAt: now, isn: v.Seq, service: service, route: route, syn: slices.Clone(raw)}
	e.flows[key] = f
	e.offerRetries.addOffer()
	e.offerSYN(now, key, f)
}

// offerSYN sends the SYN to the next candidates. Without one it refuses the flow, or holds the SYN while targets
// of the service may become known.
func (e *Entry) offerSYN(now time.Duration, key packet.Key, f *flow) {
	e.candidates = e.picker.Candidates(now, e.View, f.service, key.Hash(), f.tried, e.candidates)
	switch {
	case len(e.candidates) == 0 && e.mayBecomeKnown(now, f):
		e.Stats.OffersEarly++
		e.holdSYN(now, key, f)
		return
	case len(e.candidates) == 0 || f.attempts >= maxOffers:
		e.refuseFlow(now, key, f)
		return
	}
	e.Stats.Offered++
	f.attempts++
	f.owner = e.candidates[0]
	f.tried = append(f.tried, e.candidates[0])
	e.setTimer(key, f, now+e.offerRetries.timeout())
	e.picker.RecordOffer(now, e.candidates[0])
	e.logDecision(now, decision.Decision{Kind: decision.Offered, Flow: key, Seq: f.isn, Target: f.owner, Tries: f.attempts, Took: now - f.startedAt})
	e.sendMessage(e.candidates[0], &hop.Message{
		Kind: hop.Forward, Service: uint64(f.service), Entry: e.cfg.Self, Candidates: e.candidates, Packet: f.syn,
		MaxWait: f.maxWaitMillis(now), ColdLimit: e.coldLimit(f.service),
	})
}

// coldLimit returns the number of flows a second that a cold target of a service may get; zero for no limit.
func (e *Entry) coldLimit(service routing.ServiceID) uint16 {
	s, _ := e.table.Service(service)
	return uint16(min(math.Ceil(s.ColdPerSecond), math.MaxUint16))
}

// mayBecomeKnown reports whether a target for the flow may become known while its SYN is held: not all running
// relays are known, or a relay of the service still waits for the first heartbeat of its target. Otherwise the
// service is known to have no target that accepts flows.
func (e *Entry) mayBecomeKnown(now time.Duration, f *flow) bool {
	if f.route == nil || now-f.startedAt >= f.maxHoldTime() {
		return false
	}
	return !e.View.KnowsAllRelays(now) || slices.ContainsFunc(e.View.Targets(f.service), func(k *roster.KnownTarget) bool {
		return k.State == roster.Unknown && !k.Lost && !e.View.Evacuated(k)
	})
}

// maxWaitMillis returns the time for which a request of the flow may wait for a slot; zero for no limit.
func (f *flow) maxWaitMillis(now time.Duration) uint16 {
	if f.route == nil || now-f.startedAt >= f.maxHoldTime() {
		return 0
	}
	share := maxWaitShare
	if now-f.startedAt > f.route.Objective/2 {
		share = lateMaxWaitShare
	}
	return uint16(min(float64(f.route.Objective.Milliseconds())*share, 60000))
}

// maxHoldTime returns the time after which the SYN is no longer held.
func (f *flow) maxHoldTime() time.Duration {
	return min(time.Duration(float64(f.route.Timeout)*maxHoldShare), callerSYNTimeout/2)
}

// holdSYN schedules another offer of a SYN that no target can take yet.
func (e *Entry) holdSYN(now time.Duration, key packet.Key, f *flow) {
	f.tried, f.attempts, f.held = nil, max(f.attempts-1, 0), true
	interval := holdInterval
	if f.route != nil && f.route.Priority <= 1 {
		interval = holdIntervalHighPriority
	}
	e.setTimer(key, f, now+interval)
}

// refuseFlow sends the caller a reset because no target takes its SYN.
func (e *Entry) refuseFlow(now time.Duration, key packet.Key, f *flow) {
	e.logDecision(now, decision.Decision{
		Kind: decision.Refused, Flow: key, Seq: f.isn, Tries: f.attempts, Took: now - f.startedAt, Code: result.NoTarget,
	})
	e.Stats.NoTarget++
	e.dropFlow(key)
	e.sendReset(key, 0)
}

// onOfferTimer retries an offer without an answer: the first candidate is gone, a relay of the chain
// failed, or the link is slow. It also offers a held SYN again.
func (e *Entry) onOfferTimer(now time.Duration, key packet.Key, f *flow) {
	if now-f.startedAt > callerSYNTimeout {
		e.dropFlow(key)
		return
	}
	if f.held {
		f.held = false
		e.offerSYN(now, key, f)
		return
	}
	if !e.offerRetries.takeRetry() {
		e.Stats.OffersHeld++
		f.timerSet = false // the caller's retransmission is the next attempt
		return
	}
	e.picker.Suspect(now, f.owner)
	e.Stats.OfferedAgain++
	e.offerSYN(now, key, f)
}

func (e *Entry) handleAdmitted(now time.Duration, from hop.IP, m *hop.Message) {
	e.View.SetLoad(from, m.Load.ExpectedSixteenths())
	e.picker.ClearSuspicion(from)
	f := e.flows[m.Key]
	if f == nil || f.isn != m.Seq {
		return
	}
	if f.state == owned && f.unconfirmed {
		f.owner, f.unconfirmed = from, false
		return
	}
	if f.state != offering {
		return // a second target has accepted a copy; the caller's next packet shows which one has the flow
	}
	e.Stats.Admitted++
	if e.cfg.OnAdmission != nil {
		e.cfg.OnAdmission(now - f.startedAt)
	}
	e.logDecision(now, decision.Decision{Kind: decision.Admitted, Flow: m.Key, Seq: f.isn, Target: from, Tries: f.attempts, Took: now - f.startedAt})
	if f.attempts == 1 {
		e.offerRetries.observeAdmission(now - f.startedAt)
	}
	f.timerSet = false
	f.state, f.owner, f.tried, f.admittedAt = owned, from, nil, now
	f.syn = f.syn[:0] // not nil, so that copies of the SYN are forwarded to the owner
}

func (e *Entry) handleRefused(now time.Duration, m *hop.Message) {
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
		e.Stats.OffersBusy++
		e.holdSYN(now, key, f)
		return
	}
	for _, c := range m.Candidates {
		if !slices.Contains(f.tried, c) {
			f.tried = append(f.tried, c)
		}
	}
	e.offerSYN(now, key, f)
}
