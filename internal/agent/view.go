package agent

import (
	"slices"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flowtable"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/node"
)

var _ node.Handler = (*Agent)(nil)

// snapshot is the published state that announcements and Stop read.
type snapshot struct {
	targets  []model.TargetAnnouncement
	requests int
	flows    int
}

// statusByService holds the last logged status of each service.
type statusByService map[model.ServiceID]flowtable.Status

// ApplyView implements node.Handler. It returns when the view is in force or Run has ended.
func (a *Agent) ApplyView(v *model.View) {
	a.runInLoop(func() { a.applyView(v) })
}

// applyView puts a view in force.
func (a *Agent) applyView(v *model.View) {
	a.view = v
	a.extend = nil
	if a.cfg.Extend != nil {
		a.extend = a.cfg.Extend(v)
	}
	a.localEndpoints = a.endpointsIn(v)
	a.execute(a.now(), a.table.SetEndpoints(a.now(), a.localEndpoints))
	a.out.flush()
	a.publish()
	a.logger.Info().Str("agent", a.cfg.Name).Uint64("generation", uint64(v.Generation)).
		Int("endpoints", len(a.localEndpoints)).Msg("view applied")
}

// endpointsIn returns the endpoints of this agent in a view.
func (a *Agent) endpointsIn(v *model.View) []flowtable.Endpoint {
	byService := map[model.ServiceID]flowtable.Endpoint{}
	for _, t := range v.Targets {
		s, ok := v.Services[t.Service]
		if !ok || t.Agent != a.cfg.Advertise || t.VM != a.cfg.VM || !slices.Contains(a.cfg.Services, s.Name) {
			continue
		}
		// If the target is registered twice for a service, the later registration is used.
		if known, ok := byService[s.ID]; !ok || known.Target.ID < t.ID {
			byService[s.ID] = flowtable.NewEndpoint(v, t)
		}
	}
	endpoints := make([]flowtable.Endpoint, 0, len(byService))
	for _, e := range byService {
		endpoints = append(endpoints, e)
	}
	return endpoints
}

// extendChain extends a chain by the view in force.
func (a *Agent) extendChain(service model.ServiceID, bucketHash uint64, k int, syn bool) []encap.Candidate {
	if a.extend == nil {
		return nil
	}
	return a.extend(service, bucketHash, k, syn)
}

// Announcement implements node.Handler.
func (a *Agent) Announcement() model.Announcement {
	return model.Announcement{
		Node: a.cfg.Name, Incarnation: a.cfg.Incarnation, Role: model.RoleAgent,
		VM: a.cfg.VM, Zone: a.cfg.Zone,
		Targets: slices.Clone(a.snapshot.Load().targets),
	}
}

// publish refreshes the announced state and the gauges.
func (a *Agent) publish() {
	s := &snapshot{requests: a.table.OpenRequests(), flows: a.table.OpenFlows()}
	for _, name := range a.cfg.Services {
		s.targets = append(s.targets, a.targetAnnouncement(name))
	}
	a.snapshot.Store(s)
	a.metrics.requests.Set(float64(s.requests))
	a.metrics.flows.Set(float64(s.flows))
	a.metrics.records.Set(float64(a.table.Records()))
}

// targetAnnouncement returns the announcement of the target for one service.
func (a *Agent) targetAnnouncement(service string) model.TargetAnnouncement {
	t := model.TargetAnnouncement{
		Service: service, Agent: a.cfg.Advertise, Slots: a.cfg.Slots, MaxConns: a.cfg.MaxConns,
		Draining: a.lastReport.Draining || a.table.Stopping(),
	}
	t.Evidence.EndpointHealthy = a.lastReport.Healthy
	for _, e := range a.localEndpoints {
		if e.Service.Name != service {
			continue
		}
		s := a.table.Status(a.now(), e.Service.ID)
		a.logStatusChanges(e.Service, s)
		t.Evidence.OpenFlows, t.Evidence.BusySlots = s.Conns, s.Slots
		t.Evidence.HandshakesOK, t.Evidence.HandshakeFailures = s.HandshakesOK, s.HandshakeFailures
		t.Evidence.Suspended, t.Evidence.Refused = s.Suspended, s.Refused
	}
	return t
}

// logStatusChanges logs changes of the admission status of a service: a suspension, and a lag of the delivered
// generation behind that in packets.
func (a *Agent) logStatusChanges(service model.Service, s flowtable.Status) {
	if a.loggedStatus == nil {
		a.loggedStatus = statusByService{}
	}
	old := a.loggedStatus[service.ID]
	if old.Suspended != s.Suspended {
		a.logger.Warn().Str("agent", a.cfg.Name).Str("service", service.Name).Bool("suspended", s.Suspended).
			Int("failures", s.HandshakeFailures).Msg("admission suspension changed")
	}
	if old.GenerationBehind != s.GenerationBehind {
		a.logger.Warn().Str("agent", a.cfg.Name).Str("service", service.Name).Bool("behind", s.GenerationBehind).
			Msg("service generation lag changed")
	}
	a.loggedStatus[service.ID] = s
}
