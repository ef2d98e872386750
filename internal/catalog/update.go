package catalog

import (
	"cmp"
	"maps"
	"slices"

	"github.com/greengagelock/greengagelock/internal/model"
)

// change lists the services and targets that one generation changed or removed.
type change struct {
	generation model.Generation
	services   []model.ServiceID
	targets    []targetRef
}

// targetRef is a target with its service, which is needed after the target was removed.
type targetRef struct {
	id      model.TargetID
	service model.ServiceID
}

// appendChange adds the change of a generation and drops the oldest ones beyond MaxChanges.
func (c *Catalog) appendChange(entry change) {
	c.changes = append(c.changes, entry)
	for node := range c.dirty.nodes {
		c.scopeChangedAt[node] = entry.generation
	}
	if excess := len(c.changes) - MaxChanges; excess > 0 {
		c.oldestDeltaBase = c.changes[excess-1].generation
		c.changes = slices.Clone(c.changes[excess:])
	}
}

// Update is what a node needs to reach the current generation: a delta, a whole view, or neither if the
// node is up to date.
type Update struct {
	Delta *model.Delta
	View  *model.View
}

// Empty reports whether the update changes nothing but the generation.
func (u Update) Empty() bool {
	d := u.Delta
	return u.View == nil && (d == nil || len(d.Services)+len(d.Targets)+len(d.RemovedServices)+len(d.RemovedTargets) == 0)
}

// Update returns what a node needs whose view has generation from and the given digest. A node at the
// current generation with another digest than expected gets the whole view, and so does a node for which
// a delta cannot be computed. A node that is ahead of this controller gets nothing.
func (c *Catalog) Update(role model.Role, node string, from model.Generation, digest uint64) Update {
	current := c.view.Generation
	switch {
	case from > current:
		return Update{}
	case from == current && (from == 0 || digest == c.digestFor(role, node)):
		return Update{}
	case from == current, from == 0, from < c.oldestDeltaBase, role == model.RoleAgent && from < c.scopeChangedAt[node]:
		return Update{View: c.ViewFor(role, node)}
	}
	return Update{Delta: c.delta(role, node, from)}
}

// ViewFor returns the view for a node: all services, or for an agent only the services of its targets.
func (c *Catalog) ViewFor(role model.Role, node string) *model.View {
	if role != model.RoleAgent {
		return c.view
	}
	v := model.NewView()
	v.Generation, v.Revision, v.Trace = c.view.Generation, c.view.Revision, c.view.Trace
	for id := range c.servicesOf(node) {
		if s, ok := c.view.Services[id]; ok {
			v.Services[id] = s
		}
		for t := range c.byService[id] {
			v.Targets[t] = c.view.Targets[t]
		}
	}
	return v
}

func (c *Catalog) servicesOf(node string) map[model.ServiceID]bool {
	services := map[model.ServiceID]bool{}
	for id := range c.byNode[node] {
		services[c.targets[id].Service] = true
	}
	return services
}

// digestFor returns the digest of the view for a node.
func (c *Catalog) digestFor(role model.Role, node string) uint64 {
	if role != model.RoleAgent {
		return c.digest
	}
	return c.ViewFor(role, node).Digest()
}

func (c *Catalog) delta(role model.Role, node string, from model.Generation) *model.Delta {
	services, targets := c.changedSince(from)
	d := &model.Delta{From: from, To: c.view.Generation, Revision: c.view.Revision}
	if c.history.changedAfter(from) {
		d.Trace = c.view.Trace
	}
	d.Digest = c.digestFor(role, node)
	// visible holds the services that an agent gets; nil stands for all services.
	var visible map[model.ServiceID]bool
	if role == model.RoleAgent {
		visible = c.servicesOf(node)
	}
	for _, id := range slices.Sorted(maps.Keys(services)) {
		s, ok := c.view.Services[id]
		switch {
		case visible != nil && !visible[id]:
		case ok:
			d.Services = append(d.Services, s)
		default:
			d.RemovedServices = append(d.RemovedServices, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(targets)) {
		t, ok := c.view.Targets[id]
		switch {
		case visible != nil && !visible[targets[id]]:
		case ok:
			d.Targets = append(d.Targets, t)
		default:
			d.RemovedTargets = append(d.RemovedTargets, id)
		}
	}
	return d
}

// changedSince returns the services, and the targets with their services, that changed after a generation.
func (c *Catalog) changedSince(from model.Generation) (map[model.ServiceID]bool, map[model.TargetID]model.ServiceID) {
	services, targets := map[model.ServiceID]bool{}, map[model.TargetID]model.ServiceID{}
	first, _ := slices.BinarySearchFunc(c.changes, from+1, func(e change, g model.Generation) int {
		return cmp.Compare(e.generation, g)
	})
	for _, entry := range c.changes[first:] {
		for _, id := range entry.services {
			services[id] = true
		}
		for _, ref := range entry.targets {
			targets[ref.id] = ref.service
		}
	}
	return services, targets
}

// TargetStatus is a target as operators and the leader's policy see it.
type TargetStatus struct {
	Model         model.Target
	Registration  Registration
	ServiceName   string
	Lost          bool
	Ejected       bool
	Joining       bool
	DrainingSince model.Generation
	// Disallowed targets are no longer selected by the document.
	Disallowed bool
}

// Targets returns all targets, ordered by ID.
func (c *Catalog) Targets() []TargetStatus {
	list := make([]TargetStatus, 0, len(c.targets))
	for _, id := range slices.Sorted(maps.Keys(c.targets)) {
		t := c.targets[id]
		list = append(list, TargetStatus{
			Model: c.view.Targets[id], Registration: t.Registration, ServiceName: t.Registration.Service,
			Lost: t.Lost, Ejected: t.Ejected, Joining: t.Joining, DrainingSince: t.DrainingSince, Disallowed: c.disallowed(t),
		})
	}
	return list
}

// ServiceStatus is a service as operators see it.
type ServiceStatus struct {
	Model    model.Service
	Retiring bool
	Targets  []model.Target
}

// Services returns all services, ordered by ID.
func (c *Catalog) Services() []ServiceStatus {
	list := make([]ServiceStatus, 0, len(c.services))
	for _, id := range slices.Sorted(maps.Keys(c.services)) {
		s := c.services[id]
		status := ServiceStatus{Model: s.Model, Retiring: s.Retiring}
		for _, t := range slices.Sorted(maps.Keys(c.byService[id])) {
			status.Targets = append(status.Targets, c.view.Targets[t])
		}
		list = append(list, status)
	}
	return list
}
