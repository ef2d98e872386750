package flowtable

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/admission"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
)

// SetEndpoints applies the endpoints of a new view.
func (t *Table) SetEndpoints(now time.Duration, endpoints []Endpoint) []Action {
	t.begin(now)
	t.viewReceived = true
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
		// SYNs for the old address must not reach the target.
		t.refuseQueue(ep, result.NoTarget)
	}
	rearm := ep.Service.Silence != e.Service.Silence || !ep.present
	ep.Endpoint = e
	ep.present = true
	ep.admission.SetLimits(limitsOf(e))
	ep.admission.SetGeneration(t.now, e.Service.Generation)
	t.updateDrain(ep)
	t.updateAdmission(ep)
	if rearm {
		t.rearmChecks(ep)
	}
	t.serveQueue(ep)
}

// updateDrain records whether the target is draining, and when that started.
func (t *Table) updateDrain(ep *endpoint) {
	draining := ep.Target.State == model.TargetDraining
	if draining && !ep.draining {
		ep.drainStart = t.now
		ep.drainExpired = false
	}
	ep.draining = draining
}

// updateAdmission opens or closes admission as the view, the target and the agent require. It refuses
// queued SYNs if admission is closed for any reason but joining.
func (t *Table) updateAdmission(ep *endpoint) {
	state := ep.Target.State
	closed := !ep.present || state == model.TargetDraining || state == model.TargetEjected
	ep.admission.SetClosed(admission.ClosedByControl, closed)
	ep.admission.SetClosed(admission.ClosedByJoin, state == model.TargetJoining)
	ep.admission.SetClosed(admission.ClosedByTarget, t.targetLeaving)
	ep.admission.SetClosed(admission.ClosedByStop, t.stopping)
	if closed || t.targetLeaving || t.stopping {
		t.refuseQueue(ep, result.TargetDraining)
	}
}

// removeEndpoint closes admission at a target that has left the view. Its flows go on until they end or
// have been idle for orphanIdleTimeout.
func (t *Table) removeEndpoint(ep *endpoint) {
	ep.present = false
	t.updateAdmission(ep)
	t.rearmChecks(ep)
}

// rearmChecks arms the timers of the established flows of an endpoint anew after its silence policy or
// presence has changed.
func (t *Table) rearmChecks(ep *endpoint) {
	t.store.each(func(i uint32, r *record) {
		if r.service != ep.Service.ID || r.has(flagUnconfirmed) {
			return
		}
		if r.state == stateEstablished || r.state == stateClosing {
			t.armCheck(ep, i, r)
		}
	})
}

// StopAdmitting closes admission because the agent is stopping.
func (t *Table) StopAdmitting(now time.Duration) []Action {
	t.begin(now)
	t.stopping = true
	for _, ep := range t.endpoints {
		t.updateAdmission(ep)
	}
	return t.actions
}

// SetLeaving records whether the target reports that it is leaving, which closes admission.
func (t *Table) SetLeaving(now time.Duration, leaving bool) []Action {
	t.begin(now)
	t.targetLeaving = leaving
	for _, ep := range t.endpoints {
		t.updateAdmission(ep)
	}
	return t.actions
}

// SetControlAge records how long ago a controller with a quorum was last heard from.
func (t *Table) SetControlAge(now, age time.Duration) {
	t.lastControlContact = now - age
	t.hasControlContact = true
}

// SetReportedLoad records the load that the target reports.
func (t *Table) SetReportedLoad(slots, conns int) {
	for _, ep := range t.endpoints {
		ep.admission.SetReportedLoad(slots, conns)
	}
}

// TargetRestarted ends recovery and starts a new ramp. It probes the new target process for every
// established flow, so that flows of the old process do not keep their slots.
func (t *Table) TargetRestarted(now time.Duration) []Action {
	t.begin(now)
	t.recovering = false
	for _, ep := range t.endpoints {
		ep.admission.TargetRestarted(now)
	}
	t.store.each(func(i uint32, r *record) {
		if r.state == stateEstablished || r.state == stateClosing {
			t.probeTarget(r)
		}
	})
	return t.actions
}

// Status is the load and the health of one endpoint.
type Status struct {
	Slots, Conns      int
	Queued            int
	HandshakesOK      uint64
	HandshakeFailures int  // consecutive
	Suspended         bool // admission is suspended after repeated handshake failures
	GenerationBehind  bool // packets carry a newer generation than the view
	Refused           uint64
}

// Status returns the status of the endpoint of a service, or the zero value if there is none.
func (t *Table) Status(now time.Duration, id model.ServiceID) Status {
	ep := t.endpoints[id]
	if ep == nil {
		return Status{}
	}
	var s Status
	s.Slots, s.Conns = ep.admission.InUse()
	s.Queued = ep.admission.QueueLength()
	s.HandshakesOK, s.HandshakeFailures, s.Suspended = ep.admission.Handshakes(now)
	s.GenerationBehind = ep.admission.GenerationBehind(now)
	s.Refused = ep.refusedSYNs
	return s
}

// Records returns the number of records, including ended flows.
func (t *Table) Records() int {
	return len(t.store.byKey)
}

// OpenRequests returns the number of slots in use, over all request services.
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

// OpenFlows returns the number of open flows, over all endpoints.
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
