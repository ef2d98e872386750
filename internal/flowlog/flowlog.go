// Package flowlog reconstructs from the logs of processes what happened to a flow of the datagram data path, and
// why. It reads the decisions on the flow and the state changes of the processes that package decision defines.
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
	// maxLineBytes bounds a log line. The longest lines, those with all counters, have about 1 KB.
	maxLineBytes = 64 << 10
	// contextWindow is the time before the first and after the last decision on a flow from which state
	// changes are included. An entry VM notices within 2 s that a relay is lost.
	contextWindow = 5 * time.Second
)

// Log holds the log lines that may matter for one flow.
type Log struct {
	flow         string
	decisions    []*decision.Line // decisions on the flow
	stateChanges []*decision.Line // of all processes
}

// New returns a Log for the flow from a caller to the address of a service, both IP:PORT.
func New(caller, service string) *Log { return &Log{flow: caller + ">" + service} }

// Read reads the log of one or more processes. It skips lines of other programs, and fails if r does or if a line
// is longer than maxLineBytes.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	anyFlow := []byte(`"flow":"`)
	thisFlow := []byte(l.flow)
	for scanner.Scan() {
		text := scanner.Bytes()
		if bytes.Contains(text, anyFlow) && !bytes.Contains(text, thisFlow) {
			continue // a decision on another flow, as most lines are
		}
		line, ok := decision.ParseLine(text)
		switch {
		case !ok:
		case line.Flow == l.flow:
			l.decisions = append(l.decisions, line)
		case line.Flow == "":
			l.addStateChange(line)
		}
	}
	return errors.Wrap(scanner.Err(), "read a log")
}

func (l *Log) addStateChange(line *decision.Line) {
	switch line.Message {
	case decision.ConfigInForce, decision.ConfigCommitted, decision.TargetState, decision.FlowsKnown, decision.ControllerLost,
		decision.ControllerBack, decision.Started, decision.Stopping, decision.LinesLeftOut:
		l.stateChanges = append(l.stateChanges, line)
	}
}

// Explanation says what happened to a flow.
type Explanation struct {
	Flow string `json:"flow"`
	// Outcome is how the flow ended.
	Outcome Outcome `json:"outcome"`
	// Code is the result code of the decision that ended the flow.
	Code string `json:"code,omitempty"`
	// Causes are sentences, the most direct cause first.
	Causes []string `json:"causes"`
	// Lines are the decisions, Context the state changes of the processes involved.
	Lines   []*decision.Line `json:"lines"`
	Context []*decision.Line `json:"context"`
}

// Outcome is how a flow ended, as far as the logs show.
type Outcome string

// Outcomes.
const (
	Refused  Outcome = "refused"   // no target accepted the SYN; no request ran
	Broken   Outcome = "broken"    // the system reset the open flow
	NotFound Outcome = "not found" // its packets were dropped because its owner was not found
	Admitted Outcome = "admitted"  // a relay took the SYN for its target, and no end was logged
	Offered  Outcome = "offered"   // the SYN was offered, and no relay is known to have taken it
	Unknown  Outcome = "unknown"   // no decision on the flow was logged
)

// Between explains what happened to the flow between two times; a zero time sets no bound. A caller may reuse
// a port, so the span should contain only one flow.
func (l *Log) Between(from, to time.Time) *Explanation {
	within := func(t time.Time) bool {
		return (from.IsZero() || !t.Before(from)) && (to.IsZero() || !t.After(to))
	}
	e := &Explanation{Flow: l.flow, Outcome: Unknown}
	for _, line := range l.decisions {
		if within(line.Time) {
			e.Lines = append(e.Lines, line)
		}
	}
	byTime := func(a, b *decision.Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(e.Lines, byTime)
	if len(e.Lines) == 0 {
		e.Causes = []string{"no process logged a decision on this flow in this time: compare the clock of the caller, and look for decisions that were left out of the log"}
		return e
	}
	e.addContext(l.stateChanges)
	slices.SortStableFunc(e.Context, byTime)
	e.explain()
	return e
}

// addContext adds the state changes, within contextWindow of the flow, of the processes involved: those that
// logged a decision on it and the relays that such a decision names. It also adds earlier configuration changes.
func (e *Explanation) addContext(stateChanges []*decision.Line) {
	first, last := e.Lines[0].Time.Add(-contextWindow), e.Lines[len(e.Lines)-1].Time.Add(contextWindow)
	involved := map[string]bool{}
	relays := map[string]bool{}
	for _, line := range e.Lines {
		involved[line.Process] = true
		relays[line.Relay] = true
	}
	for _, line := range stateChanges {
		if line.Message == decision.Started && relays[line.IP] {
			involved[line.Process] = true // a relay that logged no decision itself
		}
	}
	for _, line := range stateChanges {
		near := !line.Time.Before(first) && !line.Time.After(last)
		if (near && involved[line.Process]) || e.isConfigBefore(line, involved) {
			e.Context = append(e.Context, line)
		}
	}
}

// isConfigBefore reports whether a line says that a configuration was committed, or came into force at a process
// involved, before the last decision on the flow. A configuration may be in force for long, so any earlier time
// counts.
func (e *Explanation) isConfigBefore(line *decision.Line, involved map[string]bool) bool {
	if line.Time.After(e.Lines[len(e.Lines)-1].Time) {
		return false
	}
	return line.Message == decision.ConfigCommitted || (line.Message == decision.ConfigInForce && involved[line.Process])
}
