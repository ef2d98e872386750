package entry

import (
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/routing"
)

const (
	// findTimeout is the time after which likely owners that did not answer are asked again.
	findTimeout = 30 * time.Millisecond
	// findRounds bounds these questions. Then all relays are asked.
	findRounds = 2
	// probeTimeout is the time that the targets of unsure relays have for taking or returning a packet.
	probeTimeout = 60 * time.Millisecond
	// sweepTimeout is the time that all relays have for their answers.
	sweepTimeout = 120 * time.Millisecond
	// findPause is the time after a search without a result in which the flow is not searched again.
	// Both ends repeat their packets, the first time after 200 ms.
	findPause = 300 * time.Millisecond
	// sweepDelay collects the flows of one question to all relays.
	sweepDelay = 10 * time.Millisecond
	// sweepShare is the part of the VM's link that questions to all relays may take, and sweepBurst the
	// time whose share they may take at once. More would delay the packets of callers.
	sweepShare = 0.2
	sweepBurst = 250 * time.Millisecond
	// maxSweeping bounds the flows that wait for a question to all relays.
	maxSweeping = 4096
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
	e.flows[key] = f
	e.hold(f, raw)
	for _, service := range e.services(v.Destination) {
		f.asked = e.picker.Likely(e.View, service, key.Hash(), f.asked)
	}
	e.ask(now, key, f)
}

// services returns the services that flows to an address may be at, as far as the configuration in
// force tells.
func (e *Entry) services(to packet.Addr) []routing.ServiceID { return e.table.Services(to) }

// ask sends the question to the likely owners that have not answered.
func (e *Entry) ask(now time.Duration, key packet.Key, f *flow) {
	f.round++
	e.wait(key, f, now+findTimeout*time.Duration(f.round))
	m := hop.Message{Kind: hop.Find, Key: key, Ack: f.ack}
	e.out = m.Append(e.out[:0])
	for _, ip := range f.asked {
		if !f.answeredBy(ip) {
			e.ports.ToNode(ip, e.out)
		}
	}
	e.conclude(now, key, f)
}

func (f *flow) answeredBy(ip hop.IP) bool {
	return slices.Contains(f.notHere, ip) || slices.Contains(f.unsure, ip)
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

// conclude goes on with a search once every relay that was asked has answered.
func (e *Entry) conclude(now time.Duration, key packet.Key, f *flow) {
	if e.unanswered(f) > 0 {
		return
	}
	switch f.state {
	case searching:
		e.widen(now, key, f)
	case sweeping:
		if len(f.unsure) > 0 {
			e.giveUp(now, key, f)
			return
		}
		e.nobody(key, f)
	case probing:
		e.sweepLater(now, key, f)
	}
}

// widen goes on after the likely owners have answered: the targets of unsure relays get the packet, or
// all other relays are asked.
func (e *Entry) widen(now time.Duration, key packet.Key, f *flow) {
	if len(f.unsure) > 0 {
		e.probe(now, key, f)
		return
	}
	e.sweepLater(now, key, f)
}

// searchDue goes on with a search at its timer.
func (e *Entry) searchDue(now time.Duration, key packet.Key, f *flow) {
	switch {
	case f.state == searching && f.round < findRounds:
		e.ask(now, key, f)
	case f.state == searching:
		e.widen(now, key, f)
	default:
		e.giveUp(now, key, f)
	}
}

// probe hands the first packet to the targets whose relays are not sure. The one that has the flow
// answers it, the others return it.
func (e *Entry) probe(now time.Duration, key packet.Key, f *flow) {
	e.Stats.Probed++
	f.state = probing
	unsure := f.unsure
	f.unsure = nil
	e.wait(key, f, now+probeTimeout)
	for _, ip := range unsure {
		e.send(ip, f.service, f.held[0])
	}
}

// nobody ends a search when every relay knows that it does not have the flow.
func (e *Entry) nobody(key packet.Key, f *flow) {
	e.Stats.FoundNone++
	e.drop(key)
	if v, err := e.cfg.Codec.Parse(f.held[0]); err == nil && !v.Flags.Has(packet.RST) {
		e.reset(key, f.ack)
	}
}

// giveUp ends a search without a result. The flow may be at a target that cannot be reached now, so it
// is not reset.
func (e *Entry) giveUp(now time.Duration, key packet.Key, f *flow) {
	e.Stats.FindsFailed++
	delete(e.waiting, key)
	f.held, f.unsure, f.asked, f.notHere = nil, nil, nil, nil
	f.state, f.due = unowned, now+findPause
}

// found takes in the answer of one relay.
func (e *Entry) found(now time.Duration, key packet.Key, f *flow, from hop.IP, answer hop.Answer) {
	switch answer {
	case hop.Owned:
		e.Stats.Found++
		delete(e.waiting, key)
		held := f.held
		f.state, f.owner = owned, from
		f.held, f.asked, f.unsure, f.notHere = nil, nil, nil, nil
		for _, raw := range held {
			e.send(from, f.service, raw)
		}
		return
	case hop.Unsure:
		if !slices.Contains(f.unsure, from) && !slices.Contains(f.notHere, from) {
			f.unsure = append(f.unsure, from)
		}
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
	key := v.FromCaller()
	f := e.flows[key]
	switch {
	case f != nil && (f.state == searching || f.state == sweeping || f.state == probing):
		e.found(now, key, f, from, hop.NotOwned)
	case f != nil && f.state == owned && f.owner != from:
		e.send(f.owner, f.service, m.Packet)
	case f != nil && f.state == unowned && now < f.due:
	default:
		e.search(now, key, &v, m.Packet, []hop.IP{from})
	}
}

// sweeper batches the questions to all relays and keeps them within their share of the link.
type sweeper struct {
	keys   []packet.Key
	due    time.Duration
	rate   float64 // bytes a second, zero for no limit
	tokens float64
	at     time.Duration
	batch  uint32
	sent   map[uint32][]packet.Key
}

func newSweeper(linkBytes float64) sweeper {
	rate := linkBytes * sweepShare
	return sweeper{rate: rate, tokens: rate * sweepBurst.Seconds(), sent: map[uint32][]packet.Key{}}
}

// allow reports whether a question of a size may be sent, and takes it from the budget.
func (s *sweeper) allow(now time.Duration, size float64) bool {
	if s.rate == 0 {
		return true
	}
	limit := s.rate * sweepBurst.Seconds()
	s.tokens = min(s.tokens+s.rate*(now-s.at).Seconds(), limit)
	s.at = now
	if s.tokens < min(size, limit) {
		return false
	}
	s.tokens -= size
	return true
}

// sweepLater lets all relays be asked for a flow with the next batch.
func (e *Entry) sweepLater(now time.Duration, key packet.Key, f *flow) {
	if len(e.sweep.keys) >= maxSweeping {
		e.giveUp(now, key, f)
		return
	}
	e.Stats.Swept++
	f.state = sweeping
	if len(e.sweep.keys) == 0 {
		e.sweep.due = now + sweepDelay
	}
	e.sweep.keys = append(e.sweep.keys, key)
	e.wait(key, f, now+callerPatience)
	e.due(e.sweep.due)
}

// flushSweep sends the questions that wait, as far as the budget allows.
func (e *Entry) flushSweep(now time.Duration) {
	s := &e.sweep
	for len(s.keys) > 0 && now >= s.due {
		count := min(len(s.keys), hop.MaxQuestions)
		size := float64(e.View.Len() * (datagramOverhead + 12 + 16*count))
		if !s.allow(now, size) {
			s.due = now + sweepDelay
			break
		}
		e.sendSweep(now, s.keys[:count])
		s.keys = s.keys[count:]
	}
	if len(s.keys) > 0 {
		e.due(s.due)
	} else {
		s.keys = nil
	}
}

func (e *Entry) sendSweep(now time.Duration, keys []packet.Key) {
	e.Stats.SweepsSent++
	s := &e.sweep
	s.batch++
	m := hop.Message{Kind: hop.FindMany, Batch: s.batch}
	var asked []packet.Key
	for _, key := range keys {
		f := e.flows[key]
		if f == nil || f.state != sweeping {
			continue
		}
		asked = append(asked, key)
		m.Questions = append(m.Questions, hop.Question{Key: key, Ack: f.ack})
		e.wait(key, f, now+sweepTimeout)
	}
	if len(asked) == 0 {
		return
	}
	s.sent[s.batch] = asked
	delete(s.sent, s.batch-maxBatches)
	e.out = m.Append(e.out[:0])
	e.View.Each(func(k *roster.Known) {
		if k.Lost {
			return
		}
		for _, key := range asked {
			f := e.flows[key]
			if !slices.Contains(f.asked, k.Relay) {
				f.asked = append(f.asked, k.Relay)
			}
		}
		e.ports.ToNode(k.Relay, e.out)
	})
}

// maxBatches bounds the batches whose answers are awaited.
const maxBatches = 256

func (e *Entry) foundMany(now time.Duration, from hop.IP, m *hop.Message) {
	keys := e.sweep.sent[m.Batch]
	for i, answer := range m.Answers[:min(len(m.Answers), len(keys))] {
		if f := e.flows[keys[i]]; f != nil && f.state == sweeping {
			e.found(now, keys[i], f, from, answer)
		}
	}
}
