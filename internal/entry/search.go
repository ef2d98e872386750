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
	// findTimeout is the time after which likely owners that did not answer are asked again.
	findTimeout = 30 * time.Millisecond
	// findRounds bounds these questions. Then all relays are asked.
	findRounds = 2
	// probeTimeout is the time that the targets of unsure relays have for taking or returning a packet.
	probeTimeout = 60 * time.Millisecond
	// maxProbes bounds the targets that get a packet to tell whether they have its flow.
	maxProbes = 24
	// maxServicesAsked bounds the services whose likely owners are asked besides those of the route.
	maxServicesAsked = 3
	// sweepTimeout is the time that a helper has for the answers of all relays: three rounds of 25 ms and
	// the way there and back.
	sweepTimeout = 150 * time.Millisecond
	// sweepRounds bounds the helpers that are asked for one flow.
	sweepRounds = 3
	// listPause is the time after which all relays are asked again when the controllers have just started
	// and may not list all of them. Relays look for controllers every 40 ms.
	listPause = 50 * time.Millisecond
	// surveyDelay collects the flows of one survey, which costs two datagrams for each relay.
	surveyDelay = 20 * time.Millisecond
	// findPause is the time after a search without a result in which the flow is not searched again. Both
	// ends repeat their packets, the first time after 200 ms. It doubles with each search in a row, up to
	// maxFindPause: searches that fail because relays are slow must not make them slower.
	findPause    = 300 * time.Millisecond
	maxFindPause = 2400 * time.Millisecond
	// askDelay collects the flows of one question, retryDelay is the time after which questions that were
	// not allowed are looked at again.
	askDelay   = 4 * time.Millisecond
	retryDelay = 10 * time.Millisecond
	// askShare is the part of the VM's link that questions may take, and askBurst the time whose share
	// they may take at once. More would delay the packets of callers.
	askShare = 0.25
	askBurst = 250 * time.Millisecond
	// maxWaiting bounds the flows that wait for a question.
	maxWaiting = 4096
	// maxBatches bounds the questions whose answers are awaited.
	maxBatches = 2048
	// datagramOverhead is the size of the headers of IP and UDP in bytes.
	datagramOverhead = 28
)

// search looks for the owner of a flow. It asks the targets at the front of the flow's ranking first,
// which is where entry VMs place flows, and all others after that. Relays in notHere have given a
// packet of the flow back.
func (e *Entry) search(now time.Duration, key packet.Key, v *packet.View, raw []byte, notHere []hop.IP) {
	if len(e.flows) >= maxFlows && e.flows[key] == nil {
		e.Stats.FlowsDropped++
		return
	}
	e.Stats.Finds++
	f := &flow{state: searching, seen: now, began: now, ack: v.Ack, notHere: notHere}
	if before := e.flows[key]; before != nil {
		f.failures = before.failures
	}
	e.flows[key] = f
	e.hold(f, raw)
	for _, service := range e.services(v.Destination) {
		f.asked = e.picker.Likely(e.View, service, key.Hash(), f.asked)
	}
	e.ask(now, key, f)
}

// services returns the services that flows to an address may be at, the likeliest first. A flow stays
// where it is when its route changes to another service, and a process that has just started does not
// know the former one, so all services are asked if there are few.
func (e *Entry) services(to packet.Addr) []routing.ServiceID {
	ids := e.table.ServicesFor(to)
	if all := e.table.AllServices(); len(all) <= maxServicesAsked {
		for _, id := range all {
			if !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// ask lets the likely owners that have not answered be asked with the next questions.
func (e *Entry) ask(now time.Duration, key packet.Key, f *flow) {
	if e.questions.waiting >= maxWaiting {
		e.giveUp(now, key, f)
		return
	}
	f.round++
	e.wait(key, f, now+callerPatience) // until the question is sent
	for _, ip := range f.asked {
		if !f.answeredBy(ip) && !e.View.Lost(ip) {
			e.questions.add(now, ip, key)
		}
	}
	e.due(e.questions.due)
	e.conclude(now, key, f)
}

func (f *flow) answeredBy(ip hop.IP) bool {
	return slices.Contains(f.notHere, ip) || slices.Contains(f.unsure, ip)
}

// doubt notes that a relay does not know whether its target has the flow. A target that was handed the
// packet is not handed it again.
func (f *flow) doubt(ip hop.IP) {
	if !f.answeredBy(ip) && !slices.Contains(f.probed, ip) {
		f.unsure = append(f.unsure, ip)
	}
}

// rank returns the position of a relay among the likely owners, or the one after them.
func (f *flow) rank(ip hop.IP) int {
	if at := slices.Index(f.asked, ip); at >= 0 {
		return at
	}
	return len(f.asked)
}

// outstanding returns the number of targets that were handed the packet, are not lost and have not
// returned it. One of them may be at work on it.
func (e *Entry) outstanding(f *flow) int {
	open := 0
	for _, ip := range f.probed {
		if !slices.Contains(f.notHere, ip) && !e.View.Lost(ip) {
			open++
		}
	}
	return open
}

// unanswered returns the number of relays that were asked, are not lost and have not answered.
func (e *Entry) unanswered(f *flow) int {
	open := 0
	for _, ip := range f.asked {
		if !f.answeredBy(ip) && !e.View.Lost(ip) {
			open++
		}
	}
	return open
}

// conclude goes on with a search once every relay or target that was asked has answered.
func (e *Entry) conclude(now time.Duration, key packet.Key, f *flow) {
	switch {
	case f.state == searching && e.unanswered(f) == 0:
		e.widen(now, key, f)
	case f.state == probing && e.outstanding(f) == 0:
		e.probeMore(now, key, f)
	}
}

// probeMore goes on after targets were handed the packet: with the next ones, or with all relays.
func (e *Entry) probeMore(now time.Duration, key packet.Key, f *flow) {
	switch {
	case len(f.unsure) > 0:
		e.probe(now, key, f)
	case !f.swept:
		e.askAll(now, key, f)
	case e.outstanding(f) == 0 && !f.partial && e.View.HasCompleteList(now):
		e.nobody(now, key, f)
	case e.outstanding(f) == 0 && !f.partial && f.sweeps < sweepRounds:
		f.state, f.swept = sweeping, false
		e.wait(key, f, now+listPause)
	default:
		e.giveUp(now, key, f)
	}
}

// concludeSweep goes on after the relays have answered. The targets of a few unsure relays get
// the packet; for many that would choke the link.
func (e *Entry) concludeSweep(now time.Duration, key packet.Key, f *flow) {
	f.swept = true
	if len(f.unsure) > maxProbes {
		e.giveUp(now, key, f)
		return
	}
	e.probeMore(now, key, f)
}

// widen goes on after the likely owners have answered: the targets of unsure relays get the packet, or
// all other relays are asked.
func (e *Entry) widen(now time.Duration, key packet.Key, f *flow) {
	if len(f.unsure) > 0 && len(f.unsure) <= maxProbes {
		e.probe(now, key, f)
		return
	}
	e.askAll(now, key, f)
}

// searchDue goes on with a search at its timer.
func (e *Entry) searchDue(now time.Duration, key packet.Key, f *flow) {
	switch {
	case f.state == searching && f.round < findRounds:
		e.ask(now, key, f)
	case f.state == searching:
		e.widen(now, key, f)
	case f.state == probing:
		e.probeDue(now, key, f)
	case f.state == sweeping && f.sweeps < sweepRounds:
		e.askAll(now, key, f)
	default:
		e.giveUp(now, key, f)
	}
}

// probe hands the first packet to the targets whose relays are not sure. The one that has the flow
// answers it, the others return it, and their relays pass it on to the next of their chain: from an entry
// VM, whose link is small, each chain takes one packet.
func (e *Entry) probe(now time.Duration, key packet.Key, f *flow) {
	f.state = probing
	count := min(len(f.unsure), maxProbes)
	heads := (count + hop.MaxChain - 1) / hop.MaxChain
	if !e.questions.allow(now, heads, hop.ForwardSize(hop.MaxChain, len(f.held[0]))) {
		e.wait(key, f, now+retryDelay)
		return
	}
	e.Stats.Probed++
	// Those at the front of the ranking have the flow most often.
	slices.SortStableFunc(f.unsure, func(a, b hop.IP) int { return f.rank(a) - f.rank(b) })
	f.chains = make([][]hop.IP, heads)
	for i, ip := range f.unsure[:count] {
		f.chains[i%heads] = append(f.chains[i%heads], ip)
	}
	f.probed = append(f.probed, f.unsure[:count]...)
	f.unsure = f.unsure[count:]
	e.wait(key, f, now+probeTimeout)
	m := hop.Message{Kind: hop.Forward, Service: uint64(f.service), Entry: e.cfg.Self, Packet: f.held[0], Probe: true}
	for _, chain := range f.chains {
		m.Candidates = chain
		e.toNode(chain[0], &m)
	}
}

// probeDue goes on when a chain has not answered in time. Relays behind the first one that did not answer
// have not had the packet.
func (e *Entry) probeDue(now time.Duration, key packet.Key, f *flow) {
	for _, chain := range f.chains {
		at := slices.IndexFunc(chain, func(ip hop.IP) bool { return !slices.Contains(f.notHere, ip) })
		if at < 0 {
			continue
		}
		for _, ip := range chain[at+1:] {
			f.probed = slices.DeleteFunc(f.probed, func(p hop.IP) bool { return p == ip })
			f.doubt(ip)
		}
	}
	f.chains = nil
	if now-f.began > callerPatience {
		e.giveUp(now, key, f)
		return
	}
	e.probeMore(now, key, f)
}

// probed takes in whether a target has the flow of a packet that it was handed.
func (e *Entry) probed(now time.Duration, from hop.IP, m *hop.Message) {
	f := e.flows[m.Key]
	if f == nil || (f.state != probing && f.state != searching && f.state != sweeping && f.state != unowned) {
		return
	}
	if m.Kind == hop.Disowned {
		e.found(now, m.Key, f, from, hop.NotOwned)
		return
	}
	if f.state == probing {
		f.held = f.held[1:] // its target has the first packet
	}
	e.found(now, m.Key, f, from, hop.Owned)
}

// nobody ends a search when every relay knows that it does not have the flow.
func (e *Entry) nobody(now time.Duration, key packet.Key, f *flow) {
	e.Stats.FoundNone++
	e.drop(key)
	if v, err := e.cfg.Codec.Parse(f.held[0]); err == nil && !v.Flags.Has(packet.RST) {
		e.note(now, decision.Decision{
			Kind: decision.Reset, Flow: key, Seq: v.Seq, Tries: f.round + f.sweeps, Took: now - f.began, Code: result.FlowUnknown,
		})
		e.reset(key, f.ack)
	}
}

// giveUp ends a search without a result. The flow may be at a target that cannot be reached now, so it
// is not reset.
func (e *Entry) giveUp(now time.Duration, key packet.Key, f *flow) {
	e.Stats.FindsFailed++
	e.note(now, decision.Decision{
		Kind: decision.SearchFailed, Flow: key, Tries: f.round + f.sweeps, Took: now - f.began, Code: result.DeadlineExceeded,
	})
	f.waits = false
	f.held, f.unsure, f.asked, f.notHere, f.probed, f.chains = nil, nil, nil, nil, nil, nil
	f.state, f.due = unowned, now+min(findPause<<min(f.failures, 8), maxFindPause)
	f.failures++
}

// found takes in the answer of one relay.
func (e *Entry) found(now time.Duration, key packet.Key, f *flow, from hop.IP, answer hop.Answer) {
	switch answer {
	case hop.Owned:
		e.Stats.Found++
		e.note(now, decision.Decision{Kind: decision.Found, Flow: key, Target: from, Tries: f.round + f.sweeps, Took: now - f.began})
		f.waits = false
		held := f.held
		f.state, f.owner, f.failures = owned, from, 0
		f.held, f.asked, f.unsure, f.notHere, f.probed, f.chains = nil, nil, nil, nil, nil, nil
		for _, raw := range held {
			e.send(from, f.service, key, raw)
		}
		return
	case hop.Unsure:
		f.doubt(from)
	default:
		if !slices.Contains(f.notHere, from) {
			f.notHere = append(f.notHere, from)
		}
	}
	e.conclude(now, key, f)
}

// returned handles a packet whose flow is not where it was sent.
func (e *Entry) returned(now time.Duration, from hop.IP, m *hop.Message) {
	e.Stats.Returned++
	v, err := e.cfg.Codec.Parse(m.Packet)
	if err != nil {
		e.Stats.Malformed++
		return
	}
	key := v.KeyFromCaller()
	f := e.flows[key]
	switch {
	case f != nil && (f.state == searching || f.state == sweeping || f.state == probing):
		e.found(now, key, f, from, hop.NotOwned)
	case f != nil && f.state == owned && f.owner != from:
		e.send(f.owner, f.service, key, m.Packet)
	case f != nil && f.state == unowned && now < f.due:
	default:
		e.search(now, key, &v, m.Packet, []hop.IP{from})
	}
}
