package flowtable

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/model"
)

const (
	// maxPeerWaiters bounds the SYNs at other agents that an agent remembers, per endpoint.
	maxPeerWaiters = 256
	// offerTimeout is how long an offered slot stays reserved. The SYN arrives within a round trip between
	// availability zones, about 3 ms; the rest is a margin for a busy machine.
	offerTimeout = 50 * time.Millisecond
	// moveHopBudget is the number of hops that a moved SYN may need: to the free slot, back, and to the
	// shortest queue.
	moveHopBudget = 3
)

// peerQueues is what an endpoint knows about the queues of the other targets of its service. A SYN waits
// at one agent. An agent with a free slot offers it to the agent whose SYN has waited longest, so the
// slots of all targets serve the SYNs in the order of arrival.
type peerQueues struct {
	waiters        []peerWaiter    // oldest first
	offerDeadlines []time.Duration // expiry of the open offers, oldest first
}

// peerWaiter is a SYN in the queue of another agent.
type peerWaiter struct {
	peer  encap.Candidate
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
		if len(ep.peerQueues.waiters) < maxPeerWaiters {
			ep.peerQueues.waiters = append(ep.peerQueues.waiters, peerWaiter{s.From, now})
		}
	case encap.SignalOffer:
		t.moveSYN(ep, s.From)
		return t.actions
	case encap.SignalDecline:
		ep.releaseOffer()
	}
	t.serveQueue(ep)
	return t.actions
}

// releaseOffer frees the reserved slot of the oldest open offer. It reports whether there was one.
func (ep *endpoint) releaseOffer() bool {
	if len(ep.peerQueues.offerDeadlines) == 0 {
		return false
	}
	ep.peerQueues.offerDeadlines = ep.peerQueues.offerDeadlines[1:]
	ep.admission.Unreserve()
	return true
}

// expirePeerQueues removes the offers that got no answer, and the SYNs at other agents that have waited
// longer than the queue bound and were refused there.
func (t *Table) expirePeerQueues(ep *endpoint) {
	for len(ep.peerQueues.offerDeadlines) > 0 && ep.peerQueues.offerDeadlines[0] <= t.now {
		ep.releaseOffer()
	}
	oldest := t.now - ep.admission.MaxQueueWait()
	for len(ep.peerQueues.waiters) > 0 && ep.peerQueues.waiters[0].since <= oldest {
		ep.peerQueues.waiters = ep.peerQueues.waiters[1:]
	}
}

// offerSlot offers a free slot to the agent whose SYN has waited longest, unless a SYN has waited longer
// here. It reports whether it has offered one.
func (t *Table) offerSlot(ep *endpoint) bool {
	t.expirePeerQueues(ep)
	if len(ep.peerQueues.waiters) == 0 || !ep.admission.CanAdmit(t.now) {
		return false
	}
	next := ep.peerQueues.waiters[0]
	if i, ok := ep.admission.FirstQueued(); ok && int32(toMillis(next.since)-t.store.at(i).lastFromTarget) >= 0 {
		return false
	}
	ep.peerQueues.waiters = ep.peerQueues.waiters[1:]
	ep.peerQueues.offerDeadlines = append(ep.peerQueues.offerDeadlines, t.now+offerTimeout)
	ep.admission.Reserve()
	t.countEvent(EventSlotOffered)
	t.signal(ep, encap.SignalOffer, next.peer)
	return true
}

// claimsOffer reports whether a SYN was moved here for an offered slot that is still free. It releases the
// offer.
func (t *Table) claimsOffer(h *encap.Header, ep *endpoint) bool {
	return h.Waited > 0 && ep.releaseOffer() && ep.admission.CanAdmit(t.now)
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

// moveSYN forwards the oldest queued SYN to an agent that has offered a slot, with the time that it has
// waited. It declines the offer if no SYN waits, or if moving it could exceed the hop limit. If the slot is taken by then, that agent returns the SYN. The SYN has not reached the target
// here, so its record is removed.
func (t *Table) moveSYN(ep *endpoint, to encap.Candidate) {
	i, ok := ep.admission.FirstQueued()
	if !ok || t.heldByRecord[i].header.Hops+moveHopBudget >= encap.MaxHops {
		t.signal(ep, encap.SignalDecline, to)
		return
	}
	r, held := t.store.at(i), t.heldByRecord[i]
	h := held.header
	waited := int64(h.Waited) + int64((time.Duration(t.nowMillis-r.lastFromTarget)*time.Millisecond+encap.WaitedUnit-1)/encap.WaitedUnit)
	h.Waited = uint8(min(max(waited, 1), 255)) // 0 means that the SYN was not moved
	h.Final, h.Waiting, h.BestWait, h.BestIndex = false, 0, encap.NoBestWait, 0
	h.Extensions = encap.MaxExtensions
	h.Candidates = [encap.MaxCandidates]encap.Candidate{to, encap.CandidateOf(&ep.Target)}
	h.Count, h.Cursor = 2, 0
	ep.admission.RemoveQueued(i)
	t.remove(i, r)
	t.countEvent(EventSYNMoved)
	t.forwardToCurrent(&h, held.packets[0])
}

// expectedWait estimates the wait of a SYN that every candidate has passed on. The header has the total
// length of their queues, and the slots of all of them serve the SYN.
func (t *Table) expectedWait(h *encap.Header, ep *endpoint) time.Duration {
	if len(ep.Peers) == 0 || ep.Service.Class != model.ClassRequest {
		return ep.admission.EstimatedWait(t.now)
	}
	return ep.admission.EstimatedPooledWait(int(h.Waiting), ep.Capacity)
}
