package entry

import (
	"bytes"
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/roster"
)

// questions batches what relays are asked about flows, and keeps it within a share of the link.
type questions struct {
	// byRelay holds the flows that single relays are asked for, all those that every relay is asked for.
	byRelay map[hop.IP][]packet.Key
	all     []packet.Key
	waiting int           // flows in byRelay, counted for each relay, and in all
	due     time.Duration // of the next questions
	// surveyDue is the time of the next survey, helper the number of the last one.
	surveyDue time.Duration
	helper    int

	rate   float64 // bytes a second, zero for no limit
	tokens float64
	at     time.Duration // of tokens

	batch uint32
	sent  map[uint32][]packet.Key
}

func newQuestions(linkBytes float64) questions {
	rate := linkBytes * askShare
	return questions{
		byRelay: map[hop.IP][]packet.Key{}, rate: rate, tokens: rate * askBurst.Seconds(), sent: map[uint32][]packet.Key{},
	}
}

// schedule lets the questions be sent soon.
func (q *questions) schedule(now time.Duration) {
	if q.waiting == 0 {
		q.due = now + askDelay
	}
	q.waiting++
}

func (q *questions) add(now time.Duration, relay hop.IP, key packet.Key) {
	q.schedule(now)
	q.byRelay[relay] = append(q.byRelay[relay], key)
}

func (q *questions) addAll(now time.Duration, key packet.Key) {
	q.schedule(now)
	if len(q.all) == 0 {
		q.surveyDue = now + surveyDelay
	}
	q.all = append(q.all, key)
}

// allow reports whether count datagrams of a size may be sent, and takes them from the budget.
func (q *questions) allow(now time.Duration, count, each int) bool {
	if q.rate == 0 {
		return true
	}
	size := float64(count * (datagramOverhead + each))
	limit := q.rate * askBurst.Seconds()
	q.tokens = min(q.tokens+q.rate*(now-q.at).Seconds(), limit)
	q.at = now
	if q.tokens < min(size, limit) {
		return false
	}
	q.tokens -= size
	return true
}

// askAll lets all relays be asked for a flow.
func (e *Entry) askAll(now time.Duration, key packet.Key, f *flow) {
	if e.questions.waiting >= maxWaiting {
		e.giveUp(now, key, f)
		return
	}
	e.Stats.Swept++
	f.state, f.groups = sweeping, 0
	f.sweeps++
	e.wait(key, f, now+callerPatience) // until the question is sent
	e.questions.addAll(now, key)
	e.due(e.questions.due)
}

// sendQuestions sends the questions that wait, as far as the budget allows: first those to likely
// owners.
func (e *Entry) sendQuestions(now time.Duration) {
	q := &e.questions
	if q.waiting == 0 || now < q.due {
		if q.waiting > 0 {
			e.due(q.due)
		}
		return
	}
	if !e.sendToRelays(now) || !e.sendToAll(now) {
		q.due = max(now+retryDelay, min(q.surveyDue, now+surveyDelay))
		if len(q.byRelay) > 0 {
			q.due = now + retryDelay
		}
		e.due(q.due)
	}
}

// sendToRelays reports whether all questions to single relays were sent.
func (e *Entry) sendToRelays(now time.Duration) bool {
	q := &e.questions
	relays := make([]hop.IP, 0, len(q.byRelay))
	for relay := range q.byRelay {
		relays = append(relays, relay)
	}
	slices.SortFunc(relays, func(a, b hop.IP) int { return bytes.Compare(a[:], b[:]) })
	for _, relay := range relays {
		for len(q.byRelay[relay]) > 0 {
			count := min(len(q.byRelay[relay]), hop.MaxQuestions)
			if !q.allow(now, 1, hop.QuestionsSize(count)) {
				return false
			}
			keys := q.byRelay[relay][:count]
			q.byRelay[relay] = q.byRelay[relay][count:]
			q.waiting -= count
			if m, _ := e.batch(now, keys, searching); m != nil {
				e.toNode(relay, m)
			}
		}
		delete(q.byRelay, relay)
	}
	return true
}

// sendToAll lets helpers ask all relays, and reports whether all questions were sent.
func (e *Entry) sendToAll(now time.Duration) bool {
	q := &e.questions
	if len(q.all) == 0 || now < q.surveyDue {
		return len(q.all) == 0
	}
	groups := e.groups()
	for len(q.all) > 0 {
		count := min(len(q.all), hop.MaxSurveyQuestions)
		if !q.allow(now, len(groups), hop.SurveySize(hop.MaxSurveyed, count)) {
			return false
		}
		keys := q.all[:count]
		q.all = q.all[count:]
		q.waiting -= count
		for _, group := range groups {
			m, flows := e.batch(now, keys, sweeping)
			if m == nil {
				break
			}
			m.Kind, m.Relays = hop.Survey, group
			for _, f := range flows {
				f.groups++
			}
			q.helper++
			e.toNode(group[q.helper%len(group)], m)
		}
	}
	q.all = nil
	return true
}

// groups returns all relays that are not lost, in groups of the size of a survey.
func (e *Entry) groups() [][]hop.IP {
	var relays []hop.IP
	e.View.Each(func(k *roster.KnownTarget) {
		if !k.Lost {
			relays = append(relays, k.Relay)
		}
	})
	slices.SortFunc(relays, func(a, b hop.IP) int { return bytes.Compare(a[:], b[:]) })
	return slices.Collect(slices.Chunk(relays, hop.MaxSurveyed))
}

// surveyed takes in the answers that a helper has collected.
func (e *Entry) surveyed(now time.Duration, m *hop.Message) {
	keys := e.questions.sent[m.Batch]
	if len(m.Answers) != len(keys) || len(m.Owners) != len(keys) {
		return // some flows have ended since, which are not worth a search
	}
	delete(e.questions.sent, m.Batch)
	for i, key := range keys {
		f := e.flows[key]
		if f == nil || f.state != sweeping {
			continue
		}
		switch m.Answers[i] {
		case hop.Owned:
			e.found(now, key, f, m.Owners[i], hop.Owned)
			continue
		case hop.Unknown, hop.Unsure:
			f.partial = f.partial || m.Answers[i] == hop.Unknown
			for _, relay := range m.Relays {
				f.doubt(relay)
			}
		}
		f.groups--
		if f.groups <= 0 {
			e.concludeSweep(now, key, f)
		}
	}
}

// batch returns the question for those of the flows that are still in a state, nil if there are none.
func (e *Entry) batch(now time.Duration, keys []packet.Key, state flowState) (*hop.Message, []*flow) {
	m := &hop.Message{Kind: hop.FindMany}
	var asked []packet.Key
	var flows []*flow
	for _, key := range keys {
		f := e.flows[key]
		if f == nil || f.state != state {
			continue
		}
		asked, flows = append(asked, key), append(flows, f)
		m.Questions = append(m.Questions, hop.Question{Key: key, Ack: f.ack})
		timeout := sweepTimeout
		if state == searching {
			timeout = findTimeout * time.Duration(f.round)
		}
		e.wait(key, f, now+timeout)
	}
	if len(asked) == 0 {
		return nil, nil
	}
	e.Stats.Questions++
	q := &e.questions
	q.batch++
	q.sent[q.batch] = asked
	delete(q.sent, q.batch-maxBatches)
	m.Batch = q.batch
	return m, flows
}

func (e *Entry) foundMany(now time.Duration, from hop.IP, m *hop.Message) {
	keys := e.questions.sent[m.Batch]
	answers := m.Answers[:min(len(m.Answers), len(keys))]
	for i, answer := range answers {
		f := e.flows[keys[i]]
		if f != nil && (f.state == searching || (f.state == probing && answer == hop.Owned)) {
			e.found(now, keys[i], f, from, answer)
		}
	}
}
