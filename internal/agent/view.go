package agent

import (
	"slices"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flowtable"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/node"
)

var _ node.Handler = (*Agent)(nil)

// snapshot is the state that announcements and Stop read.
type snapshot struct {
	targets  []model.TargetAnnouncement
	requests int
	flows    int
}

// stateLog holds what was last logged, by service.
type stateLog map[model.ServiceID]flowtable.Status

// ApplyView implements node.Handler. It waits until Run has put the view in force.
func (a *Agent) ApplyView(v *model.View) {
	a.do(func() { a.applyView(v) })
}

func (a *Agent) applyView(v *model.View) {
	a.view = v
	a.extend = nil
	if a.cfg.Extend != nil {
		a.extend = a.cfg.Extend(v)
	}
	a.local = a.endpoints(v)
	a.run(a.now(), a.table.SetEndpoints(a.now(), a.local))
	a.out.flush()
	a.publish()
	a.logger.Info().Str("agent", a.cfg.Name).Uint64("generation", uint64(v.Generation)).
		Int("endpoints", len(a.local)).Msg("view applied")
}

// endpoints returns the targets of the view that are this agent's.
func (a *Agent) endpoints(v *model.View) []flowtable.Endpoint {
	byService := map[model.ServiceID]flowtable.Endpoint{}
	for _, t := range v.Targets {
		s, ok := v.Services[t.Service]
		if !ok || t.Agent != a.cfg.Advertise || t.VM != a.cfg.VM || !slices.Contains(a.cfg.Services, s.Name) {
			continue
		}
		// Of two registrations of one target the later one counts.
		if known, ok := byService[s.ID]; !ok || known.Target.ID < t.ID {
			byService[s.ID] = flowtable.NewEndpoint(v, t)
		}
	}
	local := make([]flowtable.Endpoint, 0, len(byService))
	for _, e := range byService {
		local = append(local, e)
	}
	return local
}

// extendChain is the chain extension of the view in force.
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

// publish refreshes the announced state.
func (a *Agent) publish() {
	s := &snapshot{requests: a.table.OpenRequests(), flows: a.table.OpenFlows()}
	for _, name := range a.cfg.Services {
		s.targets = append(s.targets, a.announce(name))
	}
	a.snapshot.Store(s)
	a.metrics.requests.Set(float64(s.requests))
	a.metrics.flows.Set(float64(s.flows))
	a.metrics.records.Set(float64(a.table.Records()))
}

// announce returns the announcement of one endpoint.
func (a *Agent) announce(service string) model.TargetAnnouncement {
	t := model.TargetAnnouncement{
		Service: service, Agent: a.cfg.Advertise, Slots: a.cfg.Slots, MaxConns: a.cfg.MaxConns,
		Draining: a.report.Draining || a.table.Stopping(),
	}
	t.Evidence.EndpointHealthy = a.report.Healthy
	for _, e := range a.local {
		if e.Service.Name != service {
			continue
		}
		s := a.table.Status(a.now(), e.Service.ID)
		a.logChanges(e.Service, s)
		t.Evidence.OpenFlows, t.Evidence.BusySlots = s.Conns, s.Slots
		t.Evidence.HandshakesOK, t.Evidence.HandshakeFailures = s.HandshakesOK, s.HandshakeFailures
		t.Evidence.Suspended, t.Evidence.Refused = s.Suspended, s.Refused
	}
	return t
}

// logChanges writes a line for each change of the admission state.
func (a *Agent) logChanges(service model.Service, s flowtable.Status) {
	if a.state == nil {
		a.state = stateLog{}
	}
	old := a.state[service.ID]
	if old.Suspended != s.Suspended {
		a.logger.Warn().Str("agent", a.cfg.Name).Str("service", service.Name).Bool("suspended", s.Suspended).
			Int("failures", s.HandshakeFailures).Msg("admission suspension changed")
	}
	if old.GenerationBehind != s.GenerationBehind {
		a.logger.Warn().Str("agent", a.cfg.Name).Str("service", service.Name).Bool("behind", s.GenerationBehind).
			Msg("packets show a generation that control has not delivered")
	}
	a.state[service.ID] = s
}
