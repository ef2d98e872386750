package flowtable

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/model"
)

const (
	// maxWaiters bounds what an agent remembers of the queues of others.
	maxWaiters = 256
	// offerWait is how long an offered slot counts as taken. A SYN arrives within a round trip
	// between availability zones, about 3 ms; the rest is for a busy machine.
	offerWait = 50 * time.Millisecond
	// moveHops is what a moved SYN may need: to the free slot, back, and to the shortest queue.
	moveHops = 3
)

// pool is what an endpoint knows of the queues of the other targets of its service. A SYN waits at
// one agent; an agent with a free slot offers it to the agent whose SYN has waited longest. So the
// slots of all targets serve one queue in the order of arrival.
type pool struct {
	waiters []waiter        // oldest first
	offers  []time.Duration // when the offers that are not taken yet expire
}

// waiter is an agent with a SYN in its queue.
type waiter struct {
	at    encap.Candidate
	since time.Duration
}

// Signal handles a signal of another agent.
func (t *Table) Signal(now time.Duration, s *encap.Signal) []Action {
	t.begin(now)
	ep := t.endpoints[s.Service]
	if ep == nil || !ep.present {
		t.drop(DropNotServed)
		return t.actions
	}
	switch s.Kind {
	case encap.SignalWaiting:
		if len(ep.pool.waiters) < maxWaiters {
			ep.pool.waiters = append(ep.pool.waiters, waiter{s.From, now})
		}
	case encap.SignalOffer:
		t.moveSYN(ep, s.From)
		return t.actions
	case encap.SignalDecline:
		ep.endOffer()
	}
	t.serveQueue(ep)
	return t.actions
}

// endOffer frees the slot of the oldest offer. It reports whether there was one.
func (ep *endpoint) endOffer() bool {
	if len(ep.pool.offers) == 0 {
		return false
	}
	ep.pool.offers = ep.pool.offers[1:]
	ep.admission.Unreserve()
	return true
}

// expirePool forgets offers that were not answered and SYNs that have been refused by now.
func (t *Table) expirePool(ep *endpoint) {
	for len(ep.pool.offers) > 0 && ep.pool.offers[0] <= t.now {
		ep.endOffer()
	}
	oldest := t.now - ep.admission.MaxQueueWait()
	for len(ep.pool.waiters) > 0 && ep.pool.waiters[0].since <= oldest {
		ep.pool.waiters = ep.pool.waiters[1:]
	}
}

// offerSlot offers a free slot to the agent whose SYN has waited longest, unless a SYN here has
// waited longer. It reports whether it did.
func (t *Table) offerSlot(ep *endpoint) bool {
	t.expirePool(ep)
	if len(ep.pool.waiters) == 0 || !ep.admission.CanTake(t.now) {
		return false
	}
	next := ep.pool.waiters[0]
	if i, ok := ep.admission.Waiting(); ok && int32(ms(next.since)-t.store.at(i).lastTarget) >= 0 {
		return false
	}
	ep.pool.waiters = ep.pool.waiters[1:]
	ep.pool.offers = append(ep.pool.offers, t.now+offerWait)
	ep.admission.Reserve()
	t.note(EventSlotOffered)
	t.signal(ep, encap.SignalOffer, next.at)
	return true
}

// takesOffer reports whether a SYN comes for a slot that was offered and is still free.
func (t *Table) takesOffer(h *encap.Header, ep *endpoint) bool {
	return h.Waited > 0 && ep.endOffer() && ep.admission.CanTake(t.now)
}

func (t *Table) signal(ep *endpoint, kind encap.SignalKind, to encap.Candidate) {
	s := encap.Signal{Kind: kind, Service: ep.Service.ID, From: encap.CandidateOf(&ep.Target)}
	t.actions = append(t.actions, Action{Kind: SendSignal, Signal: s, To: to.Agent})
}

func (t *Table) signalPeers(ep *endpoint, kind encap.SignalKind) {
	for _, peer := range ep.Peers {
		t.signal(ep, kind, peer)
	}
}

// moveSYN sends the oldest waiting SYN to an agent that has offered a slot. If the slot is taken by
// then, that agent passes the SYN back, with the time that it has waited. The SYN has not reached
// the target here, so no record of it is needed.
func (t *Table) moveSYN(ep *endpoint, to encap.Candidate) {
	i, ok := ep.admission.Waiting()
	if !ok || t.pending[i].header.Hops+moveHops >= encap.MaxHops {
		t.signal(ep, encap.SignalDecline, to)
		return
	}
	r, held := t.store.at(i), t.pending[i]
	h := held.header
	waited := int64(h.Waited) + int64((time.Duration(t.millis-r.lastTarget)*time.Millisecond+encap.WaitedUnit-1)/encap.WaitedUnit)
	h.Waited = uint8(min(max(waited, 1), 255)) // never 0, which tells a moved SYN from a new one
	h.Final, h.Waiting, h.BestWait, h.BestIndex = false, 0, encap.NoWait, 0
	h.Extensions = encap.MaxExtensions
	h.Candidates = [encap.MaxCandidates]encap.Candidate{to, encap.CandidateOf(&ep.Target)}
	h.Count, h.Cursor = 2, 0
	ep.admission.Abandon(i)
	t.remove(i, r)
	t.note(EventSYNMoved)
	t.hop(&h, held.packets[0])
}

// expectedWait estimates the wait of a SYN that every candidate has passed on. The queues of all of
// them are known from the header, and the slots of all of them serve the SYN.
func (t *Table) expectedWait(h *encap.Header, ep *endpoint) time.Duration {
	if len(ep.Peers) == 0 || ep.Service.Class != model.ClassRequest {
		return ep.admission.Wait(t.now)
	}
	return ep.admission.PooledWait(int(h.Waiting), ep.Capacity)
}
