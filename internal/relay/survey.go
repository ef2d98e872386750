package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/hop"
)

const (
	// surveyTimeout is the time after which relays that did not answer are asked again. Datagrams get
	// lost now and then, and a survey of 60 relays needs all answers. A relay with much to do takes longer
	// than the 3 ms of a round trip.
	surveyTimeout = 25 * time.Millisecond
	// surveyRounds bounds the questions to one relay.
	surveyRounds = 3
	// maxSurveys bounds the surveys at the same time, whose memory is about 3 KB each.
	maxSurveys = 256
)

// survey collects the answers of many relays for an entry VM, whose link and processor are too small
// to ask them all.
type survey struct {
	entry     hop.IP
	batch     uint32 // of the entry VM
	questions []hop.Question
	missing   []hop.IP // relays that have not answered
	unsure    []hop.IP
	owners    []hop.IP
	doubt     []bool // a relay is unsure of the flow
	round     int
	due       time.Duration
}

// survey begins to ask the relays of a Survey.
func (r *Relay) survey(now time.Duration, from hop.IP, m *hop.Message) {
	if len(r.surveys) >= maxSurveys || len(m.Questions) == 0 {
		return // the entry VM asks another relay
	}
	r.Stats.Surveys++
	r.surveyNumber++
	s := &survey{
		entry: from, batch: m.Batch, questions: slices.Clone(m.Questions), missing: slices.Clone(m.Relays),
		owners: make([]hop.IP, len(m.Questions)), doubt: make([]bool, len(m.Questions)),
	}
	r.surveys[r.surveyNumber] = s
	r.askSurvey(now, r.surveyNumber, s)
}

func (r *Relay) askSurvey(now time.Duration, number uint32, s *survey) {
	s.round++
	s.due = now + surveyTimeout
	m := hop.Message{Kind: hop.FindMany, Batch: number, Questions: s.questions}
	r.out = m.Append(r.out[:0])
	for _, ip := range s.missing {
		r.ports.ToNode(ip, r.out)
	}
}

// surveyAnswer takes in the answers of one relay.
func (r *Relay) surveyAnswer(from hop.IP, m *hop.Message) {
	s := r.surveys[m.Batch]
	if s == nil || len(m.Answers) != len(s.questions) {
		return
	}
	at := slices.Index(s.missing, from)
	if at < 0 {
		return
	}
	s.missing = slices.Delete(s.missing, at, at+1)
	for i, a := range m.Answers {
		switch a {
		case hop.Owned:
			s.owners[i] = from
		case hop.Unsure:
			s.doubt[i] = true
			if !slices.Contains(s.unsure, from) {
				s.unsure = append(s.unsure, from)
			}
		}
	}
	if len(s.missing) == 0 {
		r.endSurvey(m.Batch, s)
	}
}

// endSurvey answers the entry VM. Flows that some relay did not answer for are unsure.
func (r *Relay) endSurvey(number uint32, s *survey) {
	delete(r.surveys, number)
	a := hop.Message{Kind: hop.Surveyed, Batch: s.batch, Relays: s.unsure, Owners: s.owners}
	for i := range s.questions {
		answer := hop.NotOwned
		switch {
		case s.owners[i] != hop.IP{}:
			answer = hop.Owned
		case len(s.missing) > 0:
			answer = hop.Unknown
		case s.doubt[i]:
			answer = hop.Unsure
		}
		a.Answers = append(a.Answers, answer)
	}
	r.toNode(s.entry, &a)
}

// Tick does what is due. It returns the time of the next call, or a negative one if nothing waits.
func (r *Relay) Tick(now time.Duration) time.Duration {
	next := time.Duration(-1)
	for _, number := range slices.Sorted(maps.Keys(r.surveys)) {
		s := r.surveys[number]
		if s.due <= now {
			if s.round >= surveyRounds {
				r.endSurvey(number, s)
				continue
			}
			r.askSurvey(now, number, s)
		}
		if next < 0 || s.due < next {
			next = s.due
		}
	}
	return next
}
