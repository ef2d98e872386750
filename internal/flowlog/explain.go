package flowlog

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/decision"
	"github.com/greengagelock/greengagelock/internal/result"
)

// oldList is the age of the list of targets above which the entry VM had lost its controllers; they send
// something every half second.
const oldList = 2 * time.Second

// judge names the outcome and its causes.
func (s *Story) judge() {
	var first, last, end *decision.Line
	for _, line := range s.Lines {
		switch {
		case line.Is(decision.Offered) && first == nil:
			first = line
		case line.Is(decision.Admitted), line.Is(decision.Found), line.Is(decision.Taken):
			last = line
		case line.Is(decision.Refused), line.Is(decision.Reset), line.Is(decision.SearchFailed):
			end = line
		}
	}
	switch {
	case end == nil && last == nil:
		s.Outcome = Offered
	case end == nil:
		s.Outcome, s.Code = Admitted, last.Code
		s.say("relay %s took the flow after %s", last.Relay, took(last))
	case end.Is(decision.Refused):
		s.Outcome, s.Code = Refused, end.Code
		s.refused(end)
	case end.Is(decision.Reset):
		s.Outcome, s.Code = Broken, end.Code
		s.broken(end, last)
	default:
		s.Outcome, s.Code = NotFound, end.Code
		s.say("%s did not find the owner of the flow within %s and dropped its packets", end.Process, took(end))
	}
	if first != nil {
		s.offered(first, last)
	}
	for _, line := range s.Lines {
		if line.Is(decision.Queued) {
			s.say("a request waited %s at relay %s for one of %d slots", took(line), line.Relay, line.Slots)
		}
	}
	s.changes()
}

func (s *Story) say(format string, args ...any) {
	s.Causes = append(s.Causes, fmt.Sprintf(format, args...))
}

func took(line *decision.Line) time.Duration { return time.Duration(line.TookUS) * time.Microsecond }

// meaning returns a code with its name.
func meaning(code string) string {
	if info, ok := result.Find(code); ok {
		return code + " " + info.Name
	}
	return code
}

// refused tells why no target took the SYN.
func (s *Story) refused(end *decision.Line) {
	s.say("%s refused the SYN after %d offers in %s (%s); nothing ran", end.Process, end.Tries, took(end), meaning(end.Code))
	s.listAge(end)
	passed := 0
	for _, line := range s.Lines {
		if line.Is(decision.Passed) {
			passed++
			s.say("relay %s passed the SYN on: %s, %d requests at %d slots", line.Relay, meaning(line.Code), line.Busy, line.Slots)
		}
	}
	if passed == 0 {
		s.say("no relay logged the SYN: the entry VM knew or reached none")
	}
}

// broken tells why an open flow was reset. last is the last line that names the owner.
func (s *Story) broken(end, last *decision.Line) {
	code := meaning(end.Code)
	switch {
	case end.Component == "relay":
		s.say("the target beside %s ended or was followed by another, which does not have the flow (%s)", end.Process, code)
	case end.Code == result.FlowUnknown.String():
		s.say("%s asked all relays, and none has the flow (%s)", end.Process, code)
	case end.Code == result.TargetNotFound.String():
		s.say("no controller heard relay %s any more, which had the flow (%s)", end.Relay, code)
	case end.Code == result.ServiceNotFound.String():
		s.say("configuration %d has no route for the address (%s)", end.Version, code)
	default:
		s.say("%s reset the flow (%s)", end.Process, code)
	}
	if last != nil {
		s.say("its owner was last relay %s, at %s", last.Relay, last.Time.UTC().Format(time.RFC3339Nano))
	}
	s.listAge(end)
}

func (s *Story) listAge(line *decision.Line) {
	if age := time.Duration(line.ListAgeMS) * time.Millisecond; age > oldList {
		s.say("%s had heard no controller for %s", line.Process, age)
	}
}

// offered tells what the choice of the target was based on.
func (s *Story) offered(first, last *decision.Line) {
	s.say("%s chose relay %s by configuration %d and a list of targets %d ms old, which showed %d requests at %d slots",
		first.Process, first.Relay, first.Version, first.ListAgeMS, first.Busy, first.Slots)
	if last != nil && last.Relay != first.Relay {
		s.say("the SYN was passed on from relay %s to relay %s", first.Relay, last.Relay)
	}
	var newest *decision.Line
	for _, line := range s.Context {
		if line.Message == decision.ConfigCommitted && !line.Time.After(first.Time) && (newest == nil || line.Version > newest.Version) {
			newest = line
		}
	}
	if newest != nil && newest.Version > first.Version {
		s.say("configuration %d had been committed for %s and was not in force at %s",
			newest.Version, first.Time.Sub(newest.Time).Round(time.Millisecond), first.Process)
	}
}

// changes tells what the processes that took part have noticed near the flow.
func (s *Story) changes() {
	left := map[string]uint64{}
	for _, line := range s.Context {
		at := line.Time.UTC().Format(time.RFC3339Nano)
		switch line.Message {
		case decision.TargetState:
			s.say("%s: the target %q beside %s went from %s to %s: %s", at, line.Target, line.Process, line.Before, line.State, line.Why)
		case decision.FlowsKnown:
			if line.Sure {
				s.say("%s: %s knew all flows of its target: %s", at, line.Process, line.Why)
			} else {
				s.say("%s: %s no longer knew all flows of its target", at, line.Process)
			}
		case decision.Started:
			s.say("%s: %s started", at, line.Process)
		case decision.Stopping:
			s.say("%s: %s was stopped", at, line.Process)
		case decision.ControllerLost:
			s.say("%s: %s lost controller %s", at, line.Process, line.Controller)
		case decision.LinesLeftOut:
			left[line.Process] += line.LeftOut
		}
	}
	for _, process := range slices.Sorted(maps.Keys(left)) {
		s.say("%s left %d lines out of its log near that time, so a missing line proves nothing", process, left[process])
	}
}
