// Package flowlog tells from the logs of processes what happened to a flow of the datagram path and why.
package flowlog

import (
	"bufio"
	"bytes"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/decision"
)

const (
	// maxLine bounds a log line. The longest ones, with all counters, have about 1 KB.
	maxLine = 64 << 10
	// Context is the time before the first and after the last line of a flow whose changes of belief
	// belong to its story. An entry VM notices within 2 s that a relay is lost.
	Context = 5 * time.Second
)

// Log is what was read from the logs of processes.
type Log struct {
	flow  string
	lines []*decision.Line // decisions on the flow
	other []*decision.Line // changes of belief of all processes
}

// New returns a Log for the flow of a caller at the address of a service, both IP:PORT.
func New(caller, service string) *Log { return &Log{flow: caller + ">" + service} }

// Read takes in the log of one or more processes. Lines that are not of this system are skipped.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	flow := []byte(`"flow":"`)
	own := []byte(l.flow)
	for scanner.Scan() {
		text := scanner.Bytes()
		if bytes.Contains(text, flow) && !bytes.Contains(text, own) {
			continue // of another flow; most lines are
		}
		line, ok := decision.ParseLine(text)
		switch {
		case !ok:
		case line.Flow == l.flow:
			l.lines = append(l.lines, line)
		case line.Flow == "":
			l.take(line)
		}
	}
	return errors.Wrap(scanner.Err(), "read a log")
}

func (l *Log) take(line *decision.Line) {
	switch line.Message {
	case decision.ConfigInForce, decision.ConfigCommitted, decision.TargetState, decision.FlowsKnown, decision.ControllerLost,
		decision.ControllerBack, decision.Started, decision.Stopping, decision.LinesLeftOut:
		l.other = append(l.other, line)
	}
}

// Story is what happened to a flow.
type Story struct {
	Flow string `json:"flow"`
	// Outcome is one of the constants below.
	Outcome Outcome `json:"outcome"`
	// Code is the result code of the decision that ended the flow.
	Code string `json:"code,omitempty"`
	// Causes are sentences, the nearest cause first.
	Causes []string `json:"causes"`
	// Lines are the decisions, Context the changes of belief of the processes that took part.
	Lines   []*decision.Line `json:"lines"`
	Context []*decision.Line `json:"context"`
}

// Outcome is how a flow ended, as far as the logs tell.
type Outcome string

// Outcomes.
const (
	Refused  Outcome = "refused"   // no target took the SYN; nothing ran
	Broken   Outcome = "broken"    // the system reset the open flow
	NotFound Outcome = "not found" // its packets were dropped, since its target was not found
	Admitted Outcome = "admitted"  // a target took it, and nothing else was logged
	Offered  Outcome = "offered"   // no target is known to have taken the SYN
	Unknown  Outcome = "unknown"   // no line of the flow
)

// Between returns the story of the flow within a span of time; zero times do not bound it. A caller may
// use a port again, so a span should hold one flow.
func (l *Log) Between(from, to time.Time) *Story {
	within := func(t time.Time) bool {
		return (from.IsZero() || !t.Before(from)) && (to.IsZero() || !t.After(to))
	}
	s := &Story{Flow: l.flow, Outcome: Unknown}
	for _, line := range l.lines {
		if within(line.Time) {
			s.Lines = append(s.Lines, line)
		}
	}
	byTime := func(a, b *decision.Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(s.Lines, byTime)
	if len(s.Lines) == 0 {
		s.Causes = []string{"no process logged a decision on this flow in this time: compare the clock of the caller, and look for lines that were left out"}
		return s
	}
	s.addContext(l.other)
	slices.SortStableFunc(s.Context, byTime)
	s.judge()
	return s
}

// addContext keeps the changes of belief near the flow of the processes that decided on it, and all
// commits of configurations.
func (s *Story) addContext(other []*decision.Line) {
	first, last := s.Lines[0].Time.Add(-Context), s.Lines[len(s.Lines)-1].Time.Add(Context)
	took := map[string]bool{}
	relays := map[string]bool{}
	for _, line := range s.Lines {
		took[line.Process] = true
		relays[line.Relay] = true
	}
	for _, line := range other {
		if line.Message == decision.Started && relays[line.IP] {
			took[line.Process] = true // a relay that logged no decision on the flow
		}
	}
	for _, line := range other {
		near := !line.Time.Before(first) && !line.Time.After(last)
		if (near && took[line.Process]) || s.decides(line, took) {
			s.Context = append(s.Context, line)
		}
	}
}

// decides reports whether a line tells of a configuration that was or was not in force for the flow,
// however long before.
func (s *Story) decides(line *decision.Line, took map[string]bool) bool {
	if line.Time.After(s.Lines[len(s.Lines)-1].Time) {
		return false
	}
	return line.Message == decision.ConfigCommitted || (line.Message == decision.ConfigInForce && took[line.Process])
}
