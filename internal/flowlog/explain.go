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
func (e *Explanation) explain() {
	var offer, owner, end *decision.Line
	for _, line := range e.Lines {
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
		e.Outcome = Offered
	case end == nil:
		e.Outcome, e.Code = Admitted, owner.Code
		e.addCause("relay %s took the flow after %s", owner.Relay, elapsed(owner))
	case end.Is(decision.Refused):
		e.Outcome, e.Code = Refused, end.Code
		e.explainRefused(end)
	case end.Is(decision.Reset):
		e.Outcome, e.Code = Broken, end.Code
		e.explainBroken(end, owner)
	default:
		e.Outcome, e.Code = NotFound, end.Code
		e.addCause("%s did not find the owner of the flow within %s and dropped its packets", end.Process, elapsed(end))
	}
	if offer != nil {
		e.explainOffer(offer, owner)
	}
	for _, line := range e.Lines {
		if line.Is(decision.Queued) {
			e.addCause("a request waited %s at relay %s for one of %d slots", elapsed(line), line.Relay, line.Slots)
		}
	}
	e.explainStateChanges()
}

func (e *Explanation) addCause(format string, args ...any) {
	e.Causes = append(e.Causes, fmt.Sprintf(format, args...))
}

func elapsed(line *decision.Line) time.Duration { return time.Duration(line.TookUS) * time.Microsecond }

// codeWithName returns a result code followed by its name.
func codeWithName(code string) string {
	if info, ok := result.LookupText(code); ok {
		return code + " " + info.Name
	}
	return code
}

// explainRefused adds why no target accepted the SYN.
func (e *Explanation) explainRefused(end *decision.Line) {
	e.addCause("%s refused the SYN after %d offers in %s (%s); no request ran", end.Process, end.Tries, elapsed(end), codeWithName(end.Code))
	e.explainListAge(end)
	passed := 0
	for _, line := range e.Lines {
		if line.Is(decision.Passed) {
			passed++
			e.addCause("relay %s passed the SYN on: %s, %d requests at %d slots", line.Relay, codeWithName(line.Code), line.Busy, line.Slots)
		}
	}
	if passed == 0 {
		e.addCause("no relay logged the SYN: the entry VM knew no relay or reached none")
	}
}

// explainBroken adds why an open flow was reset. owner is the last line that names the owner, or nil.
func (e *Explanation) explainBroken(end, owner *decision.Line) {
	code := codeWithName(end.Code)
	switch {
	case end.Code == result.TargetReplaced.String():
		e.addCause("%s started again without the target of the flow, which an earlier process of it had reported to the controllers (%s)", end.Process, code)
	case end.Component == "relay":
		e.addCause("the target beside %s ended or was followed by another, which does not have the flow (%s)", end.Process, code)
	case end.Code == result.FlowUnknown.String():
		e.addCause("%s asked all relays, and none has the flow (%s)", end.Process, code)
	case end.Code == result.TargetNotFound.String():
		e.addCause("relay %s, which had the flow, was lost: no controller heard from it any more (%s)", end.Relay, code)
	case end.Code == result.ServiceNotFound.String():
		e.addCause("configuration %d has no route for the address (%s)", end.Version, code)
	default:
		e.addCause("%s reset the flow (%s)", end.Process, code)
	}
	if owner != nil {
		e.addCause("its owner was last relay %s, at %s", owner.Relay, owner.Time.UTC().Format(time.RFC3339Nano))
	}
	e.explainListAge(end)
}

// explainListAge adds that the list of targets was outdated, if it was.
func (e *Explanation) explainListAge(line *decision.Line) {
	if age := time.Duration(line.ListAgeMS) * time.Millisecond; age > maxListAge {
		e.addCause("%s had heard no controller for %s", line.Process, age)
	}
}

// explainOffer adds what the choice of the first candidate was based on. owner is the last line that names the
// owner, or nil.
func (e *Explanation) explainOffer(offer, owner *decision.Line) {
	e.addCause("%s chose relay %s by configuration %d and a list of targets %d ms old, which showed %d requests at %d slots",
		offer.Process, offer.Relay, offer.Version, offer.ListAgeMS, offer.Busy, offer.Slots)
	if owner != nil && owner.Relay != offer.Relay {
		e.addCause("the SYN was passed on from relay %s to relay %s", offer.Relay, owner.Relay)
	}
	var newest *decision.Line
	for _, line := range e.Context {
		if line.Message == decision.ConfigCommitted && !line.Time.After(offer.Time) && (newest == nil || line.Version > newest.Version) {
			newest = line
		}
	}
	if newest != nil && newest.Version > offer.Version {
		e.addCause("configuration %d had been committed for %s and was not in force at %s",
			newest.Version, offer.Time.Sub(newest.Time).Round(time.Millisecond), offer.Process)
	}
}

// explainStateChanges adds the state changes near the flow, and how many decisions are missing from the logs.
func (e *Explanation) explainStateChanges() {
	leftOut := map[string]uint64{}
	for _, line := range e.Context {
		at := line.Time.UTC().Format(time.RFC3339Nano)
		switch line.Message {
		case decision.TargetState:
			e.addCause("%s: the target %q beside %s went from %s to %s: %s", at, line.Target, line.Process, line.Before, line.State, line.Why)
		case decision.FlowsKnown:
			if line.Sure {
				e.addCause("%s: %s knew all flows of its target: %s", at, line.Process, line.Why)
			} else {
				e.addCause("%s: %s no longer knew all flows of its target", at, line.Process)
			}
		case decision.Started:
			e.addCause("%s: %s started", at, line.Process)
		case decision.Stopping:
			e.addCause("%s: %s was stopped", at, line.Process)
		case decision.ControllerLost:
			e.addCause("%s: %s got no answer from controller %s", at, line.Process, line.Controller)
		case decision.LinesLeftOut:
			leftOut[line.Process] += line.LeftOut
		}
	}
	for _, process := range slices.Sorted(maps.Keys(leftOut)) {
		e.addCause("%s left %d decisions out of its log near that time, so decisions on this flow may be missing", process, leftOut[process])
	}
}
