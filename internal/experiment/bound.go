package experiment

import (
	"slices"
	"time"
)

// RequestKind is a kind of request as its callers behave.
type RequestKind struct {
	Name      string
	PerSecond float64
	Work      time.Duration // time at the target
	Objective time.Duration
	Deadline  time.Duration
	// Repeatable requests are sent again after any failure, others only if their flow never opened.
	Repeatable bool
	// NewFlows is the share of requests for which the caller opens a flow.
	NewFlows float64
}

// Outage is a loss of all processes, and the return of each. Times count from an instant before the loss.
type Outage struct {
	At time.Duration
	// Entries, Targets and Controllers are the times at which the processes run again.
	Entries, Targets, Controllers []time.Duration
	// RoundTrip is the time from a caller to a target and back.
	RoundTrip time.Duration
}

// Outcome counts requests by how they end.
type Outcome struct{ InObjective, Late, Failed float64 }

// add counts a share of requests that begin at t and are answered at end; negative for never.
func (o *Outcome) add(share float64, k *RequestKind, t, end time.Duration) {
	switch {
	case end >= 0 && end-t <= k.Objective:
		o.InObjective += share
	case end >= 0 && end-t <= k.Deadline:
		o.Late += share
	default:
		o.Failed += share
	}
}

// Add adds the counts of another outcome.
func (o *Outcome) Add(other Outcome) {
	o.InObjective += other.InObjective
	o.Late += other.Late
	o.Failed += other.Failed
}

// Callers send a SYN three times, and open another flow once they have given up on one.
var synCopies = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

const (
	synTimeout      = 1400 * time.Millisecond
	flowsPerRequest = 3
	boundStep       = time.Millisecond
	resetCopies     = 2 // controllers that have to run before flows of lost targets can be reset
	neverServed     = time.Duration(-1)
	handshakeRTT    = 2 // round trips of a request on a new flow
)

// Bound returns the outcome that no balancer can exceed for the requests that begin between two times around an
// outage. It knows everything and takes no time itself: a flow is possible once one process of each role runs, whatever
// the capacity, and the caller of a flow whose target has ended is told as soon as that target's VM and two controllers
// run.
func Bound(k RequestKind, o Outage, from, to time.Duration) Outcome {
	var sum Outcome
	serving := max(slices.Min(o.Entries), slices.Min(o.Targets), slices.Min(o.Controllers))
	resets := slices.Sorted(slices.Values(o.Controllers))[min(resetCopies, len(o.Controllers))-1]
	perTarget := k.PerSecond * boundStep.Seconds() / float64(len(o.Targets))
	for t := from; t < to; t += boundStep {
		for _, up := range o.Targets {
			told := max(up, resets)
			answered := t + o.RoundTrip + k.Work
			switch {
			case answered <= o.At || (t >= told && t >= serving):
				sum.add(perTarget, &k, t, answered)
			case t < o.At: // the request is at its target
				sum.add(perTarget, &k, t, o.repeated(&k, told, serving))
			default:
				newFlow := o.onNewFlow(&k, t, serving)
				sum.add(perTarget*k.NewFlows, &k, t, newFlow)
				onOpen := newFlow // the flow was reset before the request
				if t < told {
					onOpen = o.repeated(&k, told, serving)
				}
				sum.add(perTarget*(1-k.NewFlows), &k, t, onOpen)
			}
		}
	}
	return sum
}

// repeated returns when a request is answered whose caller learns at told that its flow has ended.
func (o *Outage) repeated(k *RequestKind, told, serving time.Duration) time.Duration {
	if !k.Repeatable {
		return neverServed
	}
	return o.onNewFlow(k, told, serving)
}

// onNewFlow returns when a request is answered for which a caller sends the first SYN at t.
func (o *Outage) onNewFlow(k *RequestKind, t, serving time.Duration) time.Duration {
	for attempt := range flowsPerRequest {
		for _, after := range synCopies {
			if sent := t + time.Duration(attempt)*synTimeout + after; sent >= serving {
				return sent + handshakeRTT*o.RoundTrip + k.Work
			}
		}
	}
	return neverServed
}
