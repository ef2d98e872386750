package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/hop"
)

const (
	// fanoutRetryInterval is the time after which relays that have not answered are asked again. Datagrams
	// get lost now and then, and a lookup at 60 relays needs all answers. A round trip takes 3 ms; a busy
	// relay takes longer.
	fanoutRetryInterval = 25 * time.Millisecond
	// maxFanoutAttempts bounds the questions to one relay.
	maxFanoutAttempts = 3
	// maxFanouts bounds the lookups in progress; each takes about 3 KB.
	maxFanouts = 256
)

// fanout is an owner lookup that the relay sends to many relays on behalf of an entry VM, whose link and
// processor are too small for that.
type fanout struct {
	entry      hop.IP
	batch      uint32 // number that the entry VM gave the lookup
	questions  []hop.Question
	unanswered []hop.IP // relays whose answer is missing
	unsure     []hop.IP
	owners     []hop.IP
	anyUnsure  []bool // by question: some relay is unsure
	attempts   int
	retryAt    time.Duration
}

// startFanout starts the lookup that an entry VM requests.
func (r *Relay) startFanout(now time.Duration, from hop.IP, m *hop.Message) {
	if len(r.fanouts) >= maxFanouts || len(m.Questions) == 0 {
		return // without an answer, the entry VM asks another relay
	}
	r.Stats.Surveys++
	r.lastFanout++
	f := &fanout{
		entry: from, batch: m.Batch, questions: slices.Clone(m.Questions), unanswered: slices.Clone(m.Relays),
		owners: make([]hop.IP, len(m.Questions)), anyUnsure: make([]bool, len(m.Questions)),
	}
	r.fanouts[r.lastFanout] = f
	r.sendFanout(now, r.lastFanout, f)
}

// sendFanout sends the lookup to all relays that have not answered.
func (r *Relay) sendFanout(now time.Duration, id uint32, f *fanout) {
	f.attempts++
	f.retryAt = now + fanoutRetryInterval
	m := hop.Message{Kind: hop.OwnerQuery, Batch: id, Questions: f.questions}
	r.sendBuffer = m.Append(r.sendBuffer[:0])
	for _, ip := range f.unanswered {
		r.ports.ToNode(ip, r.sendBuffer)
	}
}

// handleFanoutAnswer handles the answers of one relay.
func (r *Relay) handleFanoutAnswer(from hop.IP, m *hop.Message) {
	f := r.fanouts[m.Batch]
	if f == nil || len(m.Answers) != len(f.questions) {
		return
	}
	at := slices.Index(f.unanswered, from)
	if at < 0 {
		return
	}
	f.unanswered = slices.Delete(f.unanswered, at, at+1)
	for i, a := range m.Answers {
		switch a {
		case hop.Owned:
			f.owners[i] = from
		case hop.Unsure:
			f.anyUnsure[i] = true
			if !slices.Contains(f.unsure, from) {
				f.unsure = append(f.unsure, from)
			}
		}
	}
	if len(f.unanswered) == 0 {
		r.finishFanout(m.Batch, f)
	}
}

// finishFanout sends the result to the entry VM. Flows without an owner are unknown if an answer is missing,
// or else unsure if a relay is unsure.
func (r *Relay) finishFanout(id uint32, f *fanout) {
	delete(r.fanouts, id)
	a := hop.Message{Kind: hop.FanoutReply, Batch: f.batch, Relays: f.unsure, Owners: f.owners}
	for i := range f.questions {
		answer := hop.NotOwned
		switch {
		case f.owners[i] != hop.IP{}:
			answer = hop.Owned
		case len(f.unanswered) > 0:
			answer = hop.NoReply
		case f.anyUnsure[i]:
			answer = hop.Unsure
		}
		a.Answers = append(a.Answers, answer)
	}
	r.sendToNode(f.entry, &a)
}

// Tick repeats or finishes lookups that are due. It returns the time of the next call, negative if there is
// none.
func (r *Relay) Tick(now time.Duration) time.Duration {
	next := time.Duration(-1)
	for _, id := range slices.Sorted(maps.Keys(r.fanouts)) {
		f := r.fanouts[id]
		if f.retryAt <= now {
			if f.attempts >= maxFanoutAttempts {
				r.finishFanout(id, f)
				continue
			}
			r.sendFanout(now, id, f)
		}
		if next < 0 || f.retryAt < next {
			next = f.retryAt
		}
	}
	return next
}
