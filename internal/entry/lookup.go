package entry

import (
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/decision"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/routing"
)

const (
	// likelyQueryTimeout is the time after which likely owners that have not replied are queried again; it
	// grows linearly with the attempts.
	likelyQueryTimeout = 30 * time.Millisecond
	// maxLikelyQueries bounds the queries to the likely owners. Then all relays are queried.
	maxLikelyQueries = 2
	// probeTimeout is the time in which probed targets have to accept or return the packet.
	probeTimeout = 60 * time.Millisecond
	// maxProbedTargets bounds the targets of one probe. The targets of more unsure relays are probed one group after the
	// other.
	maxProbedTargets = 24
	// maxServicesQueried is the number of services up to which the likely owners of all services are
	// queried, and not only those of the route.
	maxServicesQueried = 3
	// fanoutTimeout is the time that a coordinator has to collect the answers of all relays: three attempts
	// of 25 ms, and the round trip to the coordinator.
	fanoutTimeout = 150 * time.Millisecond
	// maxFanouts bounds the fan-out queries for one flow.
	maxFanouts = 3
	// incompleteListDelay is the time after which all relays are queried again if the controllers have just
	// started and may not list all of them, or have listed more since the first query. Relays look for controllers every 40 ms.
	incompleteListDelay = 50 * time.Millisecond
	// fanoutBatchDelay collects flows for one fan-out query, which costs two datagrams for each relay.
	fanoutBatchDelay = 20 * time.Millisecond
	// lookupBackoff is the time after a failed lookup before the flow is looked up again; both ends first
	// retransmit after 200 ms. It doubles with each consecutive failure up to maxLookupBackoff, because
	// lookups that fail on slow relays must not slow them further.
	lookupBackoff    = 300 * time.Millisecond
	maxLookupBackoff = 2400 * time.Millisecond
	// queryBatchDelay collects flows for one owner query. budgetRetryDelay is the time after which queries
	// that exceeded the budget are tried again.
	queryBatchDelay  = 4 * time.Millisecond
	budgetRetryDelay = 10 * time.Millisecond
	// queryLinkShare is the share of the VM's link for queries and probes, and queryBurst the time whose
	// share may be used at once. More would delay the packets of callers.
	queryLinkShare = 0.25
	queryBurst     = 250 * time.Millisecond
	// maxQueuedQuestions bounds the questions that wait to be sent.
	maxQueuedQuestions = 4096
	// maxPendingBatches bounds the queries whose replies are awaited.
	maxPendingBatches = 2048
	// datagramHeaderBytes is the size of the IP and UDP headers.
	datagramHeaderBytes = 28
)

// startLookup looks up the owner of a flow. It queries the targets at the front of the flow's ranking
// first, where entry VMs place flows, and then all others. The relays in notOwners have returned a packet
// of the flow.
func (e *Entry) startLookup(now time.Duration, key packet.Key, v *packet.View, raw []byte, notOwners []hop.IP) {
	if len(e.flows) >= maxFlows && e.flows[key] == nil {
		e.Stats.FlowsDropped++
		return
	}
	e.Stats.Finds++
	f := &flow{state: queryingLikely, lastSeen: now, startedAt: now, ack: v.Ack, notOwners: notOwners}
	if previous := e.flows[key]; previous != nil {
		f.failedLookups, f.ruledOut = previous.failedLookups, previous.ruledOut
		f.notOwners = slices.Concat(notOwners, previous.ruledOut)
	}
	e.flows[key] = f
	e.holdPacket(f, raw)
	for _, service := range e.possibleServices(v.Destination) {
		f.likelyOwners = e.picker.LikelyOwners(e.View, service, key.Hash(), f.likelyOwners)
	}
	e.queryLikely(now, key, f)
}

// possibleServices returns the services whose targets may own flows to an address, the most likely first. A
// flow stays at its target when the route changes to another service, and a restarted process does not know
// the former one, so if there are few services all are returned.
func (e *Entry) possibleServices(to packet.Addr) []routing.ServiceID {
	ids := e.table.ServicesFor(to)
	if all := e.table.AllServices(); len(all) <= maxServicesQueried {
		for _, id := range all {
			if !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// queryLikely queues a query to the likely owners that have not replied.
func (e *Entry) queryLikely(now time.Duration, key packet.Key, f *flow) {
	if e.queries.queued >= maxQueuedQuestions {
		e.failLookup(now, key, f)
		return
	}
	f.attempts++
	e.setTimer(key, f, now+callerSYNTimeout) // until the query is sent
	for _, ip := range f.likelyOwners {
		if !f.answeredBy(ip) && !e.View.Lost(ip) {
			e.queries.queueQuestion(now, ip, key)
		}
	}
	e.requestTick(e.queries.sendDue)
	e.advanceLookup(now, key, f)
}

// answeredBy reports whether a relay has answered that it does not own the flow or is unsure.
func (f *flow) answeredBy(ip hop.IP) bool {
	return slices.Contains(f.notOwners, ip) || slices.Contains(f.unsure, ip)
}

// addUnsure records that a relay does not know whether its target has the flow. A target that was probed
// before is not probed again.
func (f *flow) addUnsure(ip hop.IP) {
	if !f.answeredBy(ip) && !slices.Contains(f.probed, ip) {
		f.unsure = append(f.unsure, ip)
	}
}

// likelyRank returns the position of a relay among the likely owners, or their number if it is none.
func (f *flow) likelyRank(ip hop.IP) int {
	if at := slices.Index(f.likelyOwners, ip); at >= 0 {
		return at
	}
	return len(f.likelyOwners)
}

// pendingProbes returns the number of probed targets that are not lost and have not returned the packet.
// One of them may be processing it.
func (e *Entry) pendingProbes(f *flow) int {
	pending := 0
	for _, ip := range f.probed {
		if !slices.Contains(f.notOwners, ip) && !e.View.Lost(ip) {
			pending++
		}
	}
	return pending
}

// pendingReplies returns the number of likely owners that are not lost and have not replied.
func (e *Entry) pendingReplies(f *flow) int {
	pending := 0
	for _, ip := range f.likelyOwners {
		if !f.answeredBy(ip) && !e.View.Lost(ip) {
			pending++
		}
	}
	return pending
}

// advanceLookup starts the next stage of a lookup once every queried relay or probed target has answered.
func (e *Entry) advanceLookup(now time.Duration, key packet.Key, f *flow) {
	switch {
	case f.state == queryingLikely && e.pendingReplies(f) == 0:
		e.afterLikelyReplied(now, key, f)
	case f.state == probing && e.pendingProbes(f) == 0:
		e.afterProbe(now, key, f)
	}
}

// afterProbe continues after a round of probes: with the remaining unsure relays, or with all relays.
func (e *Entry) afterProbe(now time.Duration, key packet.Key, f *flow) {
	switch {
	case len(f.unsure) > 0:
		e.probe(now, key, f)
	case !f.queriedAll:
		e.queryAll(now, key, f)
	case e.pendingProbes(f) == 0 && !f.repliesMissing && e.View.KnowsAllRelays(now) && e.hasAsked(f):
		e.resetUnowned(now, key, f)
	case e.pendingProbes(f) == 0 && !f.repliesMissing && f.fanouts < maxFanouts:
		f.state, f.queriedAll = queryingAll, false
		e.setTimer(key, f, now+incompleteListDelay)
	default:
		e.failLookup(now, key, f)
	}
}

// afterAllReplied continues after the replies of all relays.
func (e *Entry) afterAllReplied(now time.Duration, key packet.Key, f *flow) {
	f.queriedAll = true
	e.afterProbe(now, key, f)
}

// afterLikelyReplied continues after the replies of the likely owners: it probes the targets of unsure
// relays, or queries all relays.
func (e *Entry) afterLikelyReplied(now time.Duration, key packet.Key, f *flow) {
	if len(f.unsure) > 0 && len(f.unsure) <= maxProbedTargets {
		e.probe(now, key, f)
		return
	}
	e.queryAll(now, key, f)
}

// onLookupTimer continues a lookup when its timer expires.
func (e *Entry) onLookupTimer(now time.Duration, key packet.Key, f *flow) {
	switch {
	case f.state == queryingLikely && f.attempts < maxLikelyQueries:
		e.queryLikely(now, key, f)
	case f.state == queryingLikely:
		e.afterLikelyReplied(now, key, f)
	case f.state == probing:
		e.onProbeTimer(now, key, f)
	case f.state == queryingAll && f.fanouts < maxFanouts:
		e.queryAll(now, key, f)
	default:
		e.failLookup(now, key, f)
	}
}

// probe sends the first held packet to the targets of unsure relays. The owner replies to it; each other
// target returns it, and its relay passes it on to the next one of the chain, so that each chain costs the
// small link of the entry VM one packet.
func (e *Entry) probe(now time.Duration, key packet.Key, f *flow) {
	f.state = probing
	if !e.payForProbes(now, f) {
		e.setTimer(key, f, now+budgetRetryDelay)
		return
	}
	count := min(len(f.unsure), maxProbedTargets)
	chainCount := chainsFor(count)
	f.paidProbes -= count
	e.Stats.Probed++
	// Relays at the front of the ranking own the flow most often.
	slices.SortStableFunc(f.unsure, func(a, b hop.IP) int { return f.likelyRank(a) - f.likelyRank(b) })
	f.probeChains = make([][]hop.IP, chainCount)
	for i, ip := range f.unsure[:count] {
		f.probeChains[i%chainCount] = append(f.probeChains[i%chainCount], ip)
	}
	f.probed = append(f.probed, f.unsure[:count]...)
	f.unsure = f.unsure[count:]
	e.setTimer(key, f, now+probeTimeout)
	m := hop.Message{Kind: hop.Forward, Service: uint64(f.service), Entry: e.cfg.Self, Packet: f.heldPackets[0], Probe: true}
	for _, chain := range f.probeChains {
		m.Candidates = chain
		e.sendMessage(chain[0], &m)
	}
}

// chainsFor returns the number of chains that probe a number of targets.
func chainsFor(targets int) int { return (targets + hop.MaxChain - 1) / hop.MaxChain }

// payForProbes takes the probes of all unsure relays from the budget, unless they are paid for, and reports whether it
// allowed them. A lookup whose probes were spread over time would hand packets of an open flow to other targets for long
// before its own gets one.
func (e *Entry) payForProbes(now time.Duration, f *flow) bool {
	if missing := len(f.unsure) - f.paidProbes; missing > 0 {
		if !e.queries.takeBudget(now, chainsFor(missing), hop.ForwardSize(hop.MaxChain, len(f.heldPackets[0]))) {
			return false
		}
		f.paidProbes = len(f.unsure)
	}
	return true
}

// onProbeTimer continues after a chain that has not answered in time. The relays behind the first silent
// one have not received the packet and are unsure again.
func (e *Entry) onProbeTimer(now time.Duration, key packet.Key, f *flow) {
	for _, chain := range f.probeChains {
		at := slices.IndexFunc(chain, func(ip hop.IP) bool { return !slices.Contains(f.notOwners, ip) })
		if at < 0 {
			continue
		}
		for _, ip := range chain[at+1:] {
			f.probed = slices.DeleteFunc(f.probed, func(p hop.IP) bool { return p == ip })
			f.addUnsure(ip)
		}
	}
	f.probeChains = nil
	if now-f.startedAt > callerSYNTimeout {
		e.failLookup(now, key, f)
		return
	}
	e.afterProbe(now, key, f)
}

// handleProbeReply handles the answer to a probe: whether the target has the flow.
func (e *Entry) handleProbeReply(now time.Duration, from hop.IP, m *hop.Message) {
	f := e.flows[m.Key]
	if f == nil || (f.state != probing && f.state != queryingLikely && f.state != queryingAll && f.state != notFound) {
		return
	}
	if m.Kind == hop.ProbeNotOwned {
		e.handleAnswer(now, m.Key, f, from, hop.NotOwned)
		return
	}
	if f.state == probing {
		f.heldPackets = f.heldPackets[1:] // the target has processed the first packet
	}
	e.handleAnswer(now, m.Key, f, from, hop.Owned)
}

// resetUnowned resets a flow that no target has, according to every relay.
func (e *Entry) resetUnowned(now time.Duration, key packet.Key, f *flow) {
	e.Stats.FoundNone++
	e.dropFlow(key)
	if v, err := e.cfg.Codec.Parse(f.heldPackets[0]); err == nil && !v.Flags.Has(packet.RST) {
		e.logDecision(now, decision.Decision{
			Kind: decision.Reset, Flow: key, Seq: v.Seq, Tries: f.attempts + f.fanouts, Took: now - f.startedAt, Code: result.FlowUnknown,
		})
		e.sendReset(key, f.ack)
	}
}

// failLookup ends a lookup without a result and starts its backoff. The flow is not reset, because it may
// be at a target that cannot be reached now.
func (e *Entry) failLookup(now time.Duration, key packet.Key, f *flow) {
	e.Stats.FindsFailed++
	e.logDecision(now, decision.Decision{
		Kind: decision.SearchFailed, Flow: key, Tries: f.attempts + f.fanouts, Took: now - f.startedAt, Code: result.DeadlineExceeded,
	})
	f.timerSet = false
	f.ruledOut = e.targetsWithoutFlow(f)
	f.heldPackets, f.unsure, f.likelyOwners, f.notOwners, f.probed, f.probeChains = nil, nil, nil, nil, nil, nil
	f.paidProbes, f.pendingFanouts, f.answeredGroups = 0, nil, nil
	f.state, f.due = notFound, now+min(lookupBackoff<<min(f.failedLookups, 8), maxLookupBackoff)
	f.failedLookups++
}

// targetsWithoutFlow returns the relays whose targets have returned a packet of the flow, so that the next lookup
// continues with the others. It returns none once all have been probed, so that the next lookup probes all of them again.
func (e *Entry) targetsWithoutFlow(f *flow) []hop.IP {
	if f.queriedAll && len(f.unsure) == 0 && e.pendingProbes(f) == 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Concat(f.ruledOut, f.probed), func(ip hop.IP) bool { return !slices.Contains(f.notOwners, ip) })
}

// handleAnswer handles what one relay says about its ownership of a flow.
func (e *Entry) handleAnswer(now time.Duration, key packet.Key, f *flow, from hop.IP, answer hop.Answer) {
	switch answer {
	case hop.Owned:
		e.Stats.Found++
		e.logDecision(now, decision.Decision{Kind: decision.Found, Flow: key, Target: from, Tries: f.attempts + f.fanouts, Took: now - f.startedAt})
		f.timerSet = false
		held := f.heldPackets
		f.state, f.owner, f.failedLookups = owned, from, 0
		f.heldPackets, f.likelyOwners, f.unsure, f.notOwners, f.probed, f.probeChains = nil, nil, nil, nil, nil, nil
		f.ruledOut, f.paidProbes, f.pendingFanouts, f.answeredGroups = nil, 0, nil, nil
		for _, raw := range held {
			e.forwardTo(from, f.service, key, raw)
		}
		return
	case hop.Unsure:
		f.addUnsure(from)
	default:
		if !slices.Contains(f.notOwners, from) {
			f.notOwners = append(f.notOwners, from)
		}
	}
	e.advanceLookup(now, key, f)
}

// handleReturned handles a packet that a relay gave back because its target does not have the flow.
func (e *Entry) handleReturned(now time.Duration, from hop.IP, m *hop.Message) {
	e.Stats.Returned++
	v, err := e.cfg.Codec.Parse(m.Packet)
	if err != nil {
		e.Stats.Malformed++
		return
	}
	key := v.KeyFromCaller()
	f := e.flows[key]
	switch {
	case f != nil && (f.state == queryingLikely || f.state == queryingAll || f.state == probing):
		e.handleAnswer(now, key, f, from, hop.NotOwned)
	case f != nil && f.state == owned && f.owner != from:
		e.forwardTo(f.owner, f.service, key, m.Packet)
	case f != nil && f.state == notFound && now < f.due:
	default:
		e.startLookup(now, key, &v, m.Packet, []hop.IP{from})
	}
}
