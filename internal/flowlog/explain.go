package flowlog

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/decision"
	"github.com/greengagelock/greengagelock/internal/result"
)

// maxListAge is the age of the list of targets above which the entry VM had lost contact to the controllers,
// which send at least every half second.
const maxListAge = 2 * time.Second

// explain sets the outcome and its causes.
func (s *Story) explain() {
	var offer, owner, end *decision.Line
	for _, line := range s.Lines {
		switch {
		case line.Is(decision.Offered) && offer == nil:
			offer = line
		case line.Is(decision.Admitted), line.Is(decision.Found), line.Is(decision.Taken):
			owner = line
		case line.Is(decision.Refused), line.Is(decision.Reset), line.Is(decision.SearchFailed):
			end = line
		}
	}
	switch {
	case end == nil && owner == nil:
		s.Outcome = Offered
	case end == nil:
		s.Outcome, s.Code = Admitted, owner.Code
		s.addCause("relay %s took the flow after %s", owner.Relay, elapsed(owner))
	case end.Is(decision.Refused):
		s.Outcome, s.Code = Refused, end.Code
		s.explainRefused(end)
	case end.Is(decision.Reset):
		s.Outcome, s.Code = Broken, end.Code
		s.explainBroken(end, owner)
	default:
		s.Outcome, s.Code = NotFound, end.Code
		s.addCause("%s did not find the owner of the flow within %s and dropped its packets", end.Process, elapsed(end))
	}
	if offer != nil {
		s.explainOffer(offer, owner)
	}
	for _, line := range s.Lines {
		if line.Is(decision.Queued) {
			s.addCause("a request waited %s at relay %s for one of %d slots", elapsed(line), line.Relay, line.Slots)
		}
	}
	s.explainStateChanges()
}

func (s *Story) addCause(format string, args ...any) {
	s.Causes = append(s.Causes, fmt.Sprintf(format, args...))
}

func elapsed(line *decision.Line) time.Duration { return time.Duration(line.TookUS) * time.Microsecond }

// codeWithName returns a result code followed by its name.
func codeWithName(code string) string {
	if info, ok := result.Find(code); ok {
		return code + " " + info.Name
	}
	return code
}

// explainRefused adds why no target accepted the SYN.
func (s *Story) explainRefused(end *decision.Line) {
	s.addCause("%s refused the SYN after %d offers in %s (%s); no request ran", end.Process, end.Tries, elapsed(end), codeWithName(end.Code))
	s.explainListAge(end)
	passed := 0
	for _, line := range s.Lines {
		if line.Is(decision.Passed) {
			passed++
			s.addCause("relay %s passed the SYN on: %s, %d requests at %d slots", line.Relay, codeWithName(line.Code), line.Busy, line.Slots)
		}
	}
	if passed == 0 {
		s.addCause("no relay logged the SYN: the entry VM knew no relay or reached none")
	}
}

// explainBroken adds why an open flow was reset. owner is the last line that names the owner, or nil.
func (s *Story) explainBroken(end, owner *decision.Line) {
	code := codeWithName(end.Code)
	switch {
	case end.Component == "relay":
		s.addCause("the target beside %s ended or was followed by another, which does not have the flow (%s)", end.Process, code)
	case end.Code == result.FlowUnknown.String():
		s.addCause("%s asked all relays, and none has the flow (%s)", end.Process, code)
	case end.Code == result.TargetNotFound.String():
		s.addCause("relay %s, which had the flow, was lost: no controller heard from it any more (%s)", end.Relay, code)
	case end.Code == result.ServiceNotFound.String():
		s.addCause("configuration %d has no route for the address (%s)", end.Version, code)
	default:
		s.addCause("%s reset the flow (%s)", end.Process, code)
	}
	if owner != nil {
		s.addCause("its owner was last relay %s, at %s", owner.Relay, owner.Time.UTC().Format(time.RFC3339Nano))
	}
	s.explainListAge(end)
}

// explainListAge adds that the list of targets was outdated, if it was.
func (s *Story) explainListAge(line *decision.Line) {
	if age := time.Duration(line.ListAgeMS) * time.Millisecond; age > maxListAge {
		s.addCause("%s had heard no controller for %s", line.Process, age)
	}
}

// explainOffer adds what the choice of the first candidate was based on. owner is the last line that names the
// owner, or nil.
func (s *Story) explainOffer(offer, owner *decision.Line) {
	s.addCause("%s chose relay %s by configuration %d and a list of targets %d ms old, which showed %d requests at %d slots",
		offer.Process, offer.Relay, offer.Version, offer.ListAgeMS, offer.Busy, offer.Slots)
	if owner != nil && owner.Relay != offer.Relay {
		s.addCause("the SYN was passed on from relay %s to relay %s", offer.Relay, owner.Relay)
	}
	var newest *decision.Line
	for _, line := range s.Context {
		if line.Message == decision.ConfigCommitted && !line.Time.After(offer.Time) && (newest == nil || line.Version > newest.Version) {
			newest = line
		}
	}
	if newest != nil && newest.Version > offer.Version {
		s.addCause("configuration %d had been committed for %s and was not in force at %s",
			newest.Version, offer.Time.Sub(newest.Time).Round(time.Millisecond), offer.Process)
	}
}

// explainStateChanges adds the state changes near the flow, and how many decisions are missing from the logs.
func (s *Story) explainStateChanges() {
	leftOut := map[string]uint64{}
	for _, line := range s.Context {
		at := line.Time.UTC().Format(time.RFC3339Nano)
		switch line.Message {
		case decision.TargetState:
			s.addCause("%s: the target %q beside %s went from %s to %s: %s", at, line.Target, line.Process, line.Before, line.State, line.Why)
		case decision.FlowsKnown:
			if line.Sure {
				s.addCause("%s: %s knew all flows of its target: %s", at, line.Process, line.Why)
			} else {
				s.addCause("%s: %s no longer knew all flows of its target", at, line.Process)
			}
		case decision.Started:
			s.addCause("%s: %s started", at, line.Process)
		case decision.Stopping:
			s.addCause("%s: %s was stopped", at, line.Process)
		case decision.ControllerLost:
			s.addCause("%s: %s got no answer from controller %s", at, line.Process, line.Controller)
		case decision.LinesLeftOut:
			leftOut[line.Process] += line.LeftOut
		}
	}
	for _, process := range slices.Sorted(maps.Keys(leftOut)) {
		s.addCause("%s left %d decisions out of its log near that time, so decisions on this flow may be missing", process, leftOut[process])
	}
}
