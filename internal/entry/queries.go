package entry

import (
	"bytes"
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/roster"
)

// queryBatcher batches the questions to relays about the owners of flows, and limits them to a share of the
// link with a token bucket.
type queryBatcher struct {
	// byRelay holds the flows to query single relays for, forAll those to query every relay for.
	byRelay map[hop.IP][]packet.Key
	forAll  []packet.Key
	queued  int           // entries of byRelay and forAll
	sendDue time.Duration // time of the next owner queries
	// fanoutDue is the time of the next fan-out query. coordinatorIndex picks its coordinator round-robin.
	fanoutDue        time.Duration
	coordinatorIndex int

	bytesPerSecond float64 // zero for no limit
	tokenBytes     float64
	refilledAt     time.Duration // time of the last update of tokenBytes

	lastBatch      uint32
	pendingBatches map[uint32]*batch
}

// batch is a query whose reply is awaited.
type batch struct {
	to    hop.IP   // the relay that was asked
	group []hop.IP // of a fan-out query: the relays that it asks on behalf of this VM
	keys  []packet.Key
	// flows are the lookups for which the query was sent, by key. A later lookup of the same key is another one.
	flows []*flow
}

// lookup returns the lookup at a position, or nil if it has ended or does not wait for this kind of reply.
func (e *Entry) lookup(b *batch, i int, states ...flowState) *flow {
	f := e.flows[b.keys[i]]
	if f != b.flows[i] || !slices.Contains(states, f.state) {
		return nil
	}
	return f
}

func newQueryBatcher(linkBytesPerSecond float64, first uint32) queryBatcher {
	rate := linkBytesPerSecond * queryLinkShare
	return queryBatcher{
		byRelay: map[hop.IP][]packet.Key{}, bytesPerSecond: rate, tokenBytes: rate * queryBurst.Seconds(), pendingBatches: map[uint32]*batch{},
		lastBatch: first,
	}
}

// countQueued counts one more question, and schedules the next queries if it is the first.
func (q *queryBatcher) countQueued(now time.Duration) {
	if q.queued == 0 {
		q.sendDue = now + queryBatchDelay
	}
	q.queued++
}

func (q *queryBatcher) queueQuestion(now time.Duration, relay hop.IP, key packet.Key) {
	q.countQueued(now)
	q.byRelay[relay] = append(q.byRelay[relay], key)
}

func (q *queryBatcher) queueForAll(now time.Duration, key packet.Key) {
	q.countQueued(now)
	if len(q.forAll) == 0 {
		q.fanoutDue = now + fanoutBatchDelay
	}
	q.forAll = append(q.forAll, key)
}

// takeBudget reports whether datagrams of this size may be sent, and takes them from the budget.
func (q *queryBatcher) takeBudget(now time.Duration, count, datagramBytes int) bool {
	if q.bytesPerSecond == 0 {
		return true
	}
	size := float64(count * (datagramHeaderBytes + datagramBytes))
	limit := q.bytesPerSecond * queryBurst.Seconds()
	q.tokenBytes = min(q.tokenBytes+q.bytesPerSecond*(now-q.refilledAt).Seconds(), limit)
	q.refilledAt = now
	if q.tokenBytes < min(size, limit) {
		return false
	}
	q.tokenBytes -= size
	return true
}

// queryAll queues a flow for the next fan-out query to all relays.
func (e *Entry) queryAll(now time.Duration, key packet.Key, f *flow) {
	if e.queries.queued >= maxQueuedQuestions {
		e.failLookup(now, key, f)
		return
	}
	e.Stats.Swept++
	f.state, f.pendingFanouts, f.repliesMissing = queryingAll, nil, false
	f.fanouts++
	e.setTimer(key, f, now+callerSYNTimeout) // until the query is sent
	e.queries.queueForAll(now, key)
	e.requestTick(e.queries.sendDue)
}

// sendQueries sends the queued queries as far as the budget allows, those to likely owners first.
func (e *Entry) sendQueries(now time.Duration) {
	q := &e.queries
	if q.queued == 0 || now < q.sendDue {
		if q.queued > 0 {
			e.requestTick(q.sendDue)
		}
		return
	}
	if !e.sendOwnerQueries(now) || !e.sendFanoutQueries(now) {
		q.sendDue = max(now+budgetRetryDelay, min(q.fanoutDue, now+fanoutBatchDelay))
		if len(q.byRelay) > 0 {
			q.sendDue = now + budgetRetryDelay
		}
		e.requestTick(q.sendDue)
	}
}

// sendOwnerQueries sends the queries to likely owners, and reports whether the budget allowed all of them.
func (e *Entry) sendOwnerQueries(now time.Duration) bool {
	q := &e.queries
	relays := make([]hop.IP, 0, len(q.byRelay))
	for relay := range q.byRelay {
		relays = append(relays, relay)
	}
	slices.SortFunc(relays, func(a, b hop.IP) int { return bytes.Compare(a[:], b[:]) })
	for _, relay := range relays {
		for len(q.byRelay[relay]) > 0 {
			count := min(len(q.byRelay[relay]), hop.MaxQuestions)
			if !q.takeBudget(now, 1, hop.OwnerQuerySize(count)) {
				return false
			}
			keys := q.byRelay[relay][:count]
			q.byRelay[relay] = q.byRelay[relay][count:]
			q.queued -= count
			if m, b := e.newOwnerQuery(now, keys, queryingLikely); m != nil {
				b.to = relay
				e.sendMessage(relay, m)
			}
		}
		delete(q.byRelay, relay)
	}
	return true
}

// sendFanoutQueries sends each group of relays' fan-out query to a coordinator, a relay of the group. It
// reports whether no flow is left to query.
func (e *Entry) sendFanoutQueries(now time.Duration) bool {
	q := &e.queries
	if len(q.forAll) == 0 || now < q.fanoutDue {
		return len(q.forAll) == 0
	}
	groups := e.relayGroups()
	for len(q.forAll) > 0 {
		count := min(len(q.forAll), hop.MaxFanoutQuestions)
		if !q.takeBudget(now, len(groups), hop.FanoutQuerySize(hop.MaxFanoutRelays, count)) {
			return false
		}
		keys := q.forAll[:count]
		q.forAll = q.forAll[count:]
		q.queued -= count
		for _, group := range groups {
			m, b := e.newOwnerQuery(now, keys, queryingAll)
			if m == nil {
				break
			}
			m.Kind, m.Relays = hop.FanoutQuery, group
			for _, f := range b.flows {
				f.pendingFanouts = append(f.pendingFanouts, m.Batch)
			}
			q.coordinatorIndex++
			b.group, b.to = group, group[q.coordinatorIndex%len(group)]
			e.sendMessage(b.to, m)
		}
	}
	q.forAll = nil
	return true
}

// relayGroups returns all relays that are not lost, in groups that fit one fan-out query.
func (e *Entry) relayGroups() [][]hop.IP {
	var relays []hop.IP
	e.View.Each(func(k *roster.KnownTarget) {
		if !k.Lost {
			relays = append(relays, k.Relay)
		}
	})
	slices.SortFunc(relays, func(a, b hop.IP) int { return bytes.Compare(a[:], b[:]) })
	return slices.Collect(slices.Chunk(relays, hop.MaxFanoutRelays))
}

// handleFanoutReply handles the answers that a coordinator has collected. A late reply to an earlier round says what its group
// has answered, but the replies of the last round are still awaited.
func (e *Entry) handleFanoutReply(now time.Duration, from hop.IP, m *hop.Message) {
	b := e.queries.pendingBatches[m.Batch]
	if b == nil || b.group == nil || b.to != from || len(m.Answers) != len(b.keys) || len(m.Owners) != len(b.keys) {
		return // the batch is too old; the timers of its flows have expired
	}
	delete(e.queries.pendingBatches, m.Batch)
	for i, key := range b.keys {
		f := e.lookup(b, i, queryingAll)
		if f == nil {
			continue
		}
		if m.Answers[i] == hop.Owned {
			e.handleAnswer(now, key, f, m.Owners[i], hop.Owned)
			continue
		}
		if m.Answers[i] != hop.NotOwned {
			for _, relay := range m.Relays {
				f.addUnsure(relay)
			}
		}
		if m.Answers[i] != hop.NoReply {
			f.answeredGroups = append(f.answeredGroups, b.group)
		}
		at := slices.Index(f.pendingFanouts, m.Batch)
		if at < 0 {
			continue
		}
		f.repliesMissing = f.repliesMissing || m.Answers[i] == hop.NoReply
		f.pendingFanouts = slices.Delete(f.pendingFanouts, at, at+1)
		if len(f.pendingFanouts) == 0 {
			e.afterAllReplied(now, key, f)
		}
	}
}

// hasAsked reports whether every relay that is known now and not lost has answered that it does not own the flow, or is unsure.
// Relays may have become known since the queries were sent.
func (e *Entry) hasAsked(f *flow) bool {
	answered := map[hop.IP]struct{}{}
	for _, relays := range slices.Concat(f.answeredGroups, [][]hop.IP{f.notOwners}) {
		for _, ip := range relays {
			answered[ip] = struct{}{}
		}
	}
	asked := true
	e.View.Each(func(k *roster.KnownTarget) {
		if _, ok := answered[k.Relay]; !ok && !k.Lost {
			asked = false
		}
	})
	return asked
}

// newOwnerQuery returns a query for those of the flows that are still in the given state, with its batch, or nil if there are
// none. It registers the batch and sets the timers of the flows.
func (e *Entry) newOwnerQuery(now time.Duration, keys []packet.Key, state flowState) (*hop.Message, *batch) {
	m, b := &hop.Message{Kind: hop.OwnerQuery}, &batch{}
	for _, key := range keys {
		f := e.flows[key]
		if f == nil || f.state != state {
			continue
		}
		b.keys, b.flows = append(b.keys, key), append(b.flows, f)
		m.Questions = append(m.Questions, hop.Question{Key: key, Ack: f.ack})
		timeout := fanoutTimeout
		if state == queryingLikely {
			timeout = likelyQueryTimeout * time.Duration(f.attempts)
		}
		e.setTimer(key, f, now+timeout)
	}
	if len(b.keys) == 0 {
		return nil, nil
	}
	e.Stats.Questions++
	q := &e.queries
	q.lastBatch++
	q.pendingBatches[q.lastBatch] = b
	delete(q.pendingBatches, q.lastBatch-maxPendingBatches)
	m.Batch = q.lastBatch
	return m, b
}

func (e *Entry) handleOwnerReply(now time.Duration, from hop.IP, m *hop.Message) {
	b := e.queries.pendingBatches[m.Batch]
	if b == nil || b.group != nil || b.to != from || len(m.Answers) != len(b.keys) {
		return // the batch is too old
	}
	for i, answer := range m.Answers {
		f := e.lookup(b, i, queryingLikely, probing)
		if f != nil && (f.state == queryingLikely || answer == hop.Owned) {
			e.handleAnswer(now, b.keys[i], f, from, answer)
		}
	}
}
