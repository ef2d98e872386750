package relay

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/routing"
)

const (
	// answerTimeout is the time without any packet of the target after which the relay checks whether it
	// still listens. Targets answer a SYN within a millisecond, and a request on any of their flows seldom
	// takes longer.
	answerTimeout = 150 * time.Millisecond
	// minCheckInterval is the time between two checks.
	minCheckInterval = 500 * time.Millisecond
	// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat after which a target
	// counts as silent.
	maxMissedHeartbeats = 3
	// heartbeatValidity is the time after a heartbeat for which its sender counts as running.
	heartbeatValidity = 3 * time.Second
	// maxSuperseded bounds the remembered IDs of earlier incarnations.
	maxSuperseded = 64
	// maxStartSequence is the highest sequence number at which an unknown incarnation counts as a new one
	// while another one still runs. Its first heartbeat may get lost.
	maxStartSequence = 2
)

// Heartbeat is a heartbeat of the target.
type Heartbeat struct {
	ID       string
	Born     int64 // Unix time in ms of its start; zero if unknown
	Sequence uint64
	Service  routing.ServiceID
	Draining bool
	Slots    int
	// WarmupLeft is the time for which the target stays slow after its start.
	WarmupLeft time.Duration
}

// localTarget is the target beside the relay.
type localTarget struct {
	roster.Target
	lastSequence  uint64
	lastHeartbeat time.Duration
	warmUntil     time.Duration
	firstSeen     time.Duration // first heartbeat of the incarnation
	ended         bool          // it has announced its end
	lastCheck     time.Duration
	checkPending  bool // a check is running
}

func (t *localTarget) admits() bool { return t.State == roster.Ready }

// isDown reports whether nothing listens at the target, so that it has no flows.
func (t *localTarget) isDown() bool { return t.State == roster.Down }

// Heartbeat handles a heartbeat. It returns an error, and the heartbeat is not acknowledged, if it comes from
// an earlier incarnation or from a target of another service.
func (r *Relay) Heartbeat(now time.Duration, h *Heartbeat) error {
	t := &r.target
	switch {
	case h.Service != r.cfg.Service:
		return result.New(result.PeerUnknown, "target %q belongs to another service than this VM", h.ID)
	case r.isSuperseded(now, h):
		return result.New(result.StaleGeneration, "target %q (start %d, heartbeat %d) was superseded by %q (start %d)",
			h.ID, h.Born, h.Sequence, t.ID, t.Born)
	case h.Born == t.Born && h.ID == t.ID && h.Sequence < t.lastSequence:
		return nil // a delayed heartbeat; the newer one stays in effect
	}
	if h.Born != t.Born || h.ID != t.ID {
		r.startIncarnation(now, h)
	}
	t.lastSequence, t.lastHeartbeat = h.Sequence, now
	t.Slots = uint16(min(max(h.Slots, 0), 65535))
	t.warmUntil = now + h.WarmupLeft
	if t.ended {
		return nil
	}
	if h.Draining || t.State == roster.Draining {
		t.State = roster.Draining
		return nil
	}
	t.State = roster.Ready
	return nil
}

// isSuperseded reports whether a heartbeat comes from an earlier incarnation than the current one. The start
// times decide if both are known. Otherwise an incarnation is an earlier one if it is known as such, or if
// its sequence has not just begun while the current one, which has not announced its end, still sends heartbeats.
func (r *Relay) isSuperseded(now time.Duration, h *Heartbeat) bool {
	t := &r.target
	if t.ID == "" || (h.ID == t.ID && h.Born == t.Born) {
		return false
	}
	if h.Born != 0 && t.Born != 0 {
		return h.Born < t.Born
	}
	return r.superseded[h.ID] || (!t.ended && h.Sequence > maxStartSequence && now-t.lastHeartbeat < heartbeatValidity)
}

// startIncarnation replaces the target by a new incarnation. The flows of the previous one are lost.
func (r *Relay) startIncarnation(now time.Duration, h *Heartbeat) {
	if r.target.ID != "" {
		if len(r.superseded) >= maxSuperseded {
			clear(r.superseded)
		}
		r.superseded[r.target.ID] = h.ID != r.target.ID
		// The new incarnation listens before its first heartbeat, and may have taken the flows that were offered after the
		// last one of the previous incarnation. It returns the packets of those that it does not have.
		heard := r.target.lastHeartbeat
		r.resetFlows(now, func(f *flow) bool { return f.createdAt > heard })
		r.knowsAllFlows = true // this process has heard the previous incarnation, so it runs for longer than the new one
	}
	r.awaitingTarget = false
	r.target = localTarget{firstSeen: now, Target: roster.Target{Service: h.Service, ID: h.ID, Born: h.Born, State: roster.Ready}}
}

// SetControllers records the addresses of the controllers.
func (r *Relay) SetControllers(members []hop.IP) { r.controllers = members }

// Leave handles the target's notice that it ends. It returns an error for any but the current incarnation. A relay that
// has started after the last heartbeat of its target takes the notice as the first that it hears of it.
func (r *Relay) Leave(now time.Duration, id string, born int64) error {
	if r.target.ID == "" {
		r.target = localTarget{firstSeen: now, Target: roster.Target{Service: r.cfg.Service, ID: id, Born: born}}
	}
	if id != r.target.ID || born < r.target.Born {
		return result.New(result.StaleGeneration, "target %q is not the current target of this relay, %q is", id, r.target.ID)
	}
	r.target.ended = true
	r.target.State = roster.Draining
	r.target.lastHeartbeat = now
	return nil
}

// TargetEnded reports whether the target has announced its end or nothing listens any more.
func (r *Relay) TargetEnded() bool { return r.target.ended || r.target.isDown() }

// StartCheckIfDue reports whether the caller has to check that the target still listens, and marks the check
// as running. A target without any heartbeat is checked at once: its VM may have been without a target since
// before this process started, and until that is known entry VMs count the relay as unsure of its flows.
func (r *Relay) StartCheckIfDue(now, heartbeatInterval time.Duration) bool {
	t := &r.target
	if t.checkPending || t.State == roster.Down || now-t.lastCheck < minCheckInterval {
		return false
	}
	overdue := t.ID == "" || now-t.lastHeartbeat > maxMissedHeartbeats*heartbeatInterval
	if !overdue && !(r.awaitingTarget && now-r.awaitingSince > answerTimeout) {
		return false
	}
	t.checkPending, t.lastCheck = true, now
	return true
}

// CheckResult is the outcome of a check.
type CheckResult uint8

// Outcomes of a check.
const (
	Listening         CheckResult = iota // the target accepts connections
	ConnectionRefused                    // its VM refuses connections, so no process listens
	NoAnswer                             // timeout or any other error
)

// RecordCheck handles the result of the check that StartCheckIfDue asked for. A refused connection says that nothing listened
// at some time since the start of the check. A target that has started after that may have sent a heartbeat or taken
// flows before the result arrives.
func (r *Relay) RecordCheck(now time.Duration, c CheckResult, heartbeatInterval time.Duration) {
	t := &r.target
	t.checkPending = false
	switch c {
	case ConnectionRefused:
		r.resetFlows(now, func(f *flow) bool { return f.createdAt > t.lastCheck && f.state != halfOpen })
		r.knowsAllFlows = true // no flow is older than the check, and this process has seen all later ones
		if len(r.flows) == 0 && (t.ID == "" || t.lastHeartbeat <= t.lastCheck) {
			t.State = roster.Down
		}
	case NoAnswer:
		if t.State == roster.Ready {
			t.State = roster.Silent
		}
	case Listening:
		// It may be slow rather than gone. Without heartbeats it gets no new flows.
		if t.State == roster.Ready && now-t.lastHeartbeat > maxMissedHeartbeats*heartbeatInterval {
			t.State = roster.Silent
		}
		r.awaitingTarget = false
	}
}

// AnnouncedTarget returns the target as it is announced to the roster.
func (r *Relay) AnnouncedTarget(now time.Duration, zone string) roster.Target {
	t := r.target.Target
	t.Relay, t.Zone, t.Service, t.State = r.cfg.Self, zone, r.cfg.Service, r.State()
	if t.ID == "" {
		t.State = roster.Unknown
	}
	t.Cold = now < r.target.warmUntil
	return t
}
