package flowtable

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/admission"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
)

// SetEndpoints puts the endpoints of a new view in force.
func (t *Table) SetEndpoints(now time.Duration, endpoints []Endpoint) []Action {
	t.begin(now)
	t.hasView = true
	present := map[model.ServiceID]bool{}
	for _, e := range endpoints {
		present[e.Service.ID] = true
		t.setEndpoint(e)
	}
	for id, ep := range t.endpoints {
		if ep.present && !present[id] {
			t.removeEndpoint(ep)
		}
	}
	return t.actions
}

func limitsOf(e Endpoint) admission.Limits {
	return admission.Limits{
		Class: e.Service.Class, Slots: e.Target.Slots, MaxConns: e.Target.MaxConns,
		Ramp: e.Service.Ramp, MaxQueueWait: e.Service.MaxQueueWait,
	}
}

func (t *Table) setEndpoint(e Endpoint) {
	ep := t.endpoints[e.Service.ID]
	if ep == nil {
		ep = &endpoint{admission: admission.New(t.now, limitsOf(e))}
		t.endpoints[e.Service.ID] = ep
	}
	if ep.Service.Address != e.Service.Address {
		// SYNs for the old address must not reach the target any more.
		t.refuseQueue(ep, result.NoTarget)
	}
	rewatch := ep.Service.Silence != e.Service.Silence || !ep.present
	ep.Endpoint = e
	ep.present = true
	ep.admission.SetLimits(limitsOf(e))
	ep.admission.SetGeneration(t.now, e.Service.Generation)
	t.setDraining(ep)
	t.closeEndpoint(ep)
	if rewatch {
		t.watchAll(ep)
	}
	t.serveQueue(ep)
}

// setDraining records the start of a drain.
func (t *Table) setDraining(ep *endpoint) {
	draining := ep.Target.State == model.TargetDraining
	if draining && !ep.draining {
		ep.drainedAt = t.now
		ep.drained = false
	}
	ep.draining = draining
}

// closeEndpoint closes admission as far as control, the target and the agent ask for it.
func (t *Table) closeEndpoint(ep *endpoint) {
	state := ep.Target.State
	left := !ep.present || state == model.TargetDraining || state == model.TargetEjected
	ep.admission.Close(admission.ClosedByControl, left)
	ep.admission.Close(admission.ClosedByJoin, state == model.TargetJoining)
	ep.admission.Close(admission.ClosedByTarget, t.leaving)
	ep.admission.Close(admission.ClosedByStop, t.stopping)
	if left || t.leaving || t.stopping {
		t.refuseQueue(ep, result.TargetDraining)
	}
}

// removeEndpoint keeps the flows of a target that has left the membership, until they are idle.
func (t *Table) removeEndpoint(ep *endpoint) {
	ep.present = false
	t.closeEndpoint(ep)
	t.watchAll(ep)
}

// watchAll arms the timers of the established flows of an endpoint after its policy has changed.
func (t *Table) watchAll(ep *endpoint) {
	t.store.each(func(i uint32, r *record) {
		if r.service != ep.Service.ID || r.has(flagUnconfirmed) {
			return
		}
		if r.state == stateEstablished || r.state == stateClosing {
			t.watch(ep, i, r)
		}
	})
}

// StopAdmitting ends admission because the agent is stopping.
func (t *Table) StopAdmitting(now time.Duration) []Action {
	t.begin(now)
	t.stopping = true
	for _, ep := range t.endpoints {
		t.closeEndpoint(ep)
	}
	return t.actions
}

// SetLeaving records whether the target itself says that it is leaving.
func (t *Table) SetLeaving(now time.Duration, leaving bool) []Action {
	t.begin(now)
	t.leaving = leaving
	for _, ep := range t.endpoints {
		t.closeEndpoint(ep)
	}
	return t.actions
}

// SetControlAge records the time since a controller with a quorum was heard from.
func (t *Table) SetControlAge(now, age time.Duration) {
	t.contact = now - age
	t.hasContact = true
}

// Report records the load report of the target.
func (t *Table) Report(slots, conns int) {
	for _, ep := range t.endpoints {
		ep.admission.Report(slots, conns)
	}
}

// TargetRestarted ends recovery, begins a new ramp, and asks the new target process about every
// known flow, so that flows of the old one do not keep their slots.
func (t *Table) TargetRestarted(now time.Duration) []Action {
	t.begin(now)
	t.recovering = false
	for _, ep := range t.endpoints {
		ep.admission.Restart(now)
	}
	t.store.each(func(i uint32, r *record) {
		if r.state == stateEstablished || r.state == stateClosing {
			t.probeTarget(r)
		}
	})
	return t.actions
}

// Status is the state of one endpoint.
type Status struct {
	Slots, Conns      int
	Queued            int
	HandshakesOK      uint64
	HandshakeFailures int // consecutive
	Suspended         bool
	GenerationBehind  bool // packets show a generation that control has not delivered
	Refused           uint64
}

// Status returns the state of the endpoint of a service.
func (t *Table) Status(now time.Duration, id model.ServiceID) Status {
	ep := t.endpoints[id]
	if ep == nil {
		return Status{}
	}
	var s Status
	s.Slots, s.Conns = ep.admission.InUse()
	s.Queued = ep.admission.Queued()
	s.HandshakesOK, s.HandshakeFailures, s.Suspended = ep.admission.Handshakes(now)
	s.GenerationBehind = ep.admission.GenerationBehind(now)
	s.Refused = ep.refused
	return s
}

// Records returns the number of records, ended flows included.
func (t *Table) Records() int {
	return len(t.store.byKey)
}

// OpenRequests returns the number of flows that hold a slot, over all endpoints.
func (t *Table) OpenRequests() int {
	n := 0
	for _, ep := range t.endpoints {
		if ep.Service.Class == model.ClassRequest {
			slots, _ := ep.admission.InUse()
			n += slots
		}
	}
	return n
}

// OpenFlows returns the number of flows, over all endpoints.
func (t *Table) OpenFlows() int {
	n := 0
	for _, ep := range t.endpoints {
		_, conns := ep.admission.InUse()
		n += conns
	}
	return n
}

// Stopping reports whether the agent has stopped admitting.
func (t *Table) Stopping() bool {
	return t.stopping
}
