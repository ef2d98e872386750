package relay

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/routing"
)

const (
	// answerTimeout is the time without any packet of the target after which the relay asks whether it
	// still listens. Targets answer a SYN within a millisecond, and a request on any of their flows
	// seldom takes longer than this.
	answerTimeout = 150 * time.Millisecond
	// checkPause is the time between two such questions.
	checkPause = 500 * time.Millisecond
	// heartbeatsMissed is the number of heartbeat intervals without a heartbeat after which a target
	// counts as silent.
	heartbeatsMissed = 3
	// formerWindow is the time after a heartbeat in which its sender counts as running.
	formerWindow = 3 * time.Second
	// maxReplaced bounds the memory of incarnations that were followed by others.
	maxReplaced = 64
	// firstHeartbeats is the number of a heartbeat up to which a target counts as just started when
	// another one was heard before. Its first one may get lost.
	firstHeartbeats = 2
	// firstHeartbeat is the number of the heartbeat before which a target is offered nothing, so that a
	// relay that hears it knows all of its flows. With the second one, an earlier process of the relay may
	// have heard the first and opened flows.
	firstHeartbeat = 1
)

// Heartbeat is what a target says of itself.
type Heartbeat struct {
	ID       string
	Born     int64 // Unix time in ms of its start; zero if it does not say
	Sequence uint64
	Service  routing.ServiceID
	Draining bool
	Slots    int
	// WarmupLeft is the time for which the target stays slow after its start.
	WarmupLeft time.Duration
}

// Target is what the relay knows of its target.
type Target struct {
	roster.Target
	sequence  uint64
	heard     time.Duration
	warmUntil time.Duration
	left      bool // it has said that it ends
	lastCheck time.Duration
	checking  bool
}

func (t *Target) admits() bool { return t.State == roster.Ready }

// gone reports whether the target holds no flows.
func (t *Target) gone() bool { return t.State == roster.Down }

// Heartbeat takes in a heartbeat. An error means that it is not acknowledged: it comes from an
// earlier incarnation, or from a target of another service.
func (r *Relay) Heartbeat(now time.Duration, h *Heartbeat) error {
	t := &r.target
	switch {
	case h.Service != r.cfg.Service:
		return result.New(result.PeerUnknown, "the target %q is of another service than this VM", h.ID)
	case r.former(now, h):
		return result.New(result.StaleGeneration, "the target %q (start %d, heartbeat %d) was followed by %q (start %d)",
			h.ID, h.Born, h.Sequence, t.ID, t.Born)
	case h.Born == t.Born && h.ID == t.ID && h.Sequence < t.sequence:
		return nil // a late copy; the newer one holds
	}
	if h.Born != t.Born || h.ID != t.ID {
		r.begin(now, h)
	}
	t.sequence, t.heard = h.Sequence, now
	t.Slots = uint16(min(max(h.Slots, 0), 65535))
	t.warmUntil = now + h.WarmupLeft
	if t.left {
		return nil
	}
	if h.Draining || t.State == roster.Draining {
		t.State = roster.Draining
		return nil
	}
	t.State = roster.Ready
	return nil
}

// former reports whether a heartbeat comes from an incarnation that the current one has followed. The
// start decides if both say it. Otherwise an unknown incarnation that does not begin its count while
// the current one is heard from is an earlier one.
func (r *Relay) former(now time.Duration, h *Heartbeat) bool {
	t := &r.target
	if t.ID == "" || (h.ID == t.ID && h.Born == t.Born) {
		return false
	}
	if h.Born != 0 && t.Born != 0 {
		return h.Born < t.Born
	}
	return r.replaced[h.ID] || (h.Sequence > firstHeartbeats && now-t.heard < formerWindow)
}

// begin takes in a new incarnation. The flows of the one before are lost.
func (r *Relay) begin(now time.Duration, h *Heartbeat) {
	if r.target.ID != "" {
		if len(r.replaced) >= maxReplaced {
			clear(r.replaced)
		}
		r.replaced[r.target.ID] = h.ID != r.target.ID
		r.resetAll(now)
		r.complete = true
	} else {
		r.complete = r.complete || h.Sequence <= firstHeartbeat
	}
	r.waiting = false
	r.target = Target{Target: roster.Target{Service: h.Service, ID: h.ID, Born: h.Born, State: roster.Ready}}
	r.judgePrevious()
}

// Previous takes in what a controller knows of the target that an earlier process of this relay had,
// empty if nothing, and the number of controllers.
func (r *Relay) Previous(from hop.IP, target string, controllers int) {
	if r.complete || target == "" {
		return
	}
	r.previous[from], r.controllers = target, controllers
	r.judgePrevious()
}

// judgePrevious notes that the flow table is complete once a majority of the controllers knows that an
// earlier process had another target: all flows of this one were opened through this process.
func (r *Relay) judgePrevious() {
	if r.complete || r.target.ID == "" || len(r.previous) <= r.controllers/2 {
		return
	}
	for _, id := range r.previous {
		if id == r.target.ID {
			return
		}
	}
	r.complete = true
}

// Leave takes in that the target ends. An error means that another incarnation has followed it.
func (r *Relay) Leave(now time.Duration, id string, born int64) error {
	if id != r.target.ID || born < r.target.Born {
		return result.New(result.StaleGeneration, "the target %q is not the one beside this relay, %q is", id, r.target.ID)
	}
	r.target.left = true
	r.target.State = roster.Draining
	r.target.heard = now
	return nil
}

// TargetEnded reports whether the target has said that it ends, or nobody listens any more.
func (r *Relay) TargetEnded() bool { return r.target.left || r.target.gone() }

// CheckDue reports whether the shell should ask the target whether it still listens, and marks the
// question as asked. A target that was never heard is asked at once: its VM may be without one since before
// this process started, and until that is known entry VMs take the relay for unsure of its flows.
func (r *Relay) CheckDue(now, heartbeatInterval time.Duration) bool {
	t := &r.target
	if t.checking || t.State == roster.Down || now-t.lastCheck < checkPause {
		return false
	}
	overdue := t.ID == "" || now-t.heard > heartbeatsMissed*heartbeatInterval
	if !overdue && !(r.waiting && now-r.unanswered > answerTimeout) {
		return false
	}
	t.checking, t.lastCheck = true, now
	return true
}

// CheckResult is the outcome of the question.
type CheckResult uint8

// Outcomes.
const (
	Listens   CheckResult = iota // it accepts connections
	NoProcess                    // its VM refuses connections
	NoAnswer
)

// Checked takes in the answer to the question asked after CheckDue.
func (r *Relay) Checked(now time.Duration, c CheckResult, heartbeatInterval time.Duration) {
	t := &r.target
	t.checking = false
	switch c {
	case NoProcess:
		t.State = roster.Down
		r.resetAll(now)
		r.complete = true
	case NoAnswer:
		if t.State == roster.Ready {
			t.State = roster.Silent
		}
	case Listens:
		// It may be slow rather than gone. Without heartbeats it is not trusted with new flows.
		if t.State == roster.Ready && now-t.heard > heartbeatsMissed*heartbeatInterval {
			t.State = roster.Silent
		}
		r.waiting = false
	}
}

// Announced returns the target for the roster.
func (r *Relay) Announced(now time.Duration, zone string) roster.Target {
	t := r.target.Target
	t.Relay, t.Zone, t.Service, t.State = r.cfg.Self, zone, r.cfg.Service, r.State()
	if t.ID == "" {
		t.State = roster.Unknown
	}
	t.Cold = now < r.target.warmUntil
	return t
}
