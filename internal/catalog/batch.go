package catalog

import (
	"fmt"

	"github.com/greengagelock/greengagelock/internal/model"
)

// batch runs what the leader has observed. Changes that name targets which are gone are ignored,
// because the leader may have decided on an older state.
func (c *Catalog) batch(b *Batch, generation model.Generation) {
	// Removals come first, so that a target is in a view as lost or draining before it is gone.
	for _, id := range b.Removals {
		c.remove(id)
	}
	for _, r := range b.Registrations {
		c.register(r, generation)
	}
	for _, key := range b.Withdrawals {
		delete(c.quarantine, key)
	}
	for _, l := range b.Liveness {
		if t := c.targets[l.Target]; t != nil && t.Lost != l.Lost {
			t.Lost = l.Lost
			c.dirty.targets[t.ID] = true
		}
	}
	for _, e := range b.Ejections {
		if t := c.targets[e.Target]; t != nil && t.Ejected != e.Ejected {
			t.Ejected = e.Ejected
			c.dirty.targets[t.ID] = true
		}
	}
	if len(b.Removals)+len(b.Liveness) > 0 {
		c.removeIdleServices()
		c.reviewQuarantine(generation)
	}
}

// reviewQuarantine gives every quarantined announcement another chance.
func (c *Catalog) reviewQuarantine(generation model.Generation) {
	for _, q := range c.Quarantine() {
		c.register(q.Registration, generation)
	}
}

// remove takes away a target that is lost, or whose flows ended after it began to drain.
func (c *Catalog) remove(id model.TargetID) {
	if t := c.targets[id]; t != nil && (t.Lost || t.DrainingSince != 0) {
		c.removeTarget(id)
	}
}

func (c *Catalog) removeTarget(id model.TargetID) {
	t := c.targets[id]
	c.unlink(t)
	delete(c.targets, id)
	c.dirty.targets[id] = true
	c.dirty.nodes[t.Registration.Node] = true
}

// register creates or changes the target of an announcement, or puts it into quarantine.
func (c *Catalog) register(r Registration, generation model.Generation) {
	if id, known := c.byKey[r.Key]; known {
		delete(c.quarantine, r.Key)
		c.reregister(c.targets[id], r, generation)
		return
	}
	if old := c.otherNode(r); old != nil && old.Lost && c.index.Refusal(r.VM, r.Service) == "" {
		c.takeOver(old, r, generation)
		return
	}
	if reason := c.refusal(r); reason != "" {
		if _, listed := c.quarantine[r.Key]; listed || len(c.quarantine) < MaxQuarantined {
			c.quarantine[r.Key] = Quarantined{Registration: r, Reason: reason}
		}
		return
	}
	delete(c.quarantine, r.Key)
	c.nextTarget++
	t := &target{ID: c.nextTarget, Registration: r, Service: c.named(r.Service).Model.ID}
	c.targets[t.ID] = t
	c.link(t)
	c.dirty.nodes[r.Node] = true
	c.reviewTarget(t, generation)
}

func (c *Catalog) reregister(t *target, r Registration, generation model.Generation) {
	t.Registration = r
	c.reviewTarget(t, generation)
}

// refusal returns why an announcement does not become a target, or "".
func (c *Catalog) refusal(r Registration) string {
	if reason := c.index.Refusal(r.VM, r.Service); reason != "" {
		return reason
	}
	s := c.named(r.Service)
	if r.Slots < 1 || r.MaxConns < 1 || !r.Agent.IsValid() {
		return "the announcement has no agent address, no slots or no connections"
	}
	if old := c.otherNode(r); old != nil {
		return fmt.Sprintf("node %q offers this target already", old.Registration.Node)
	}
	if len(c.byService[s.Model.ID]) >= model.MaxTargetsPerService {
		return fmt.Sprintf("the service has %d targets already", model.MaxTargetsPerService)
	}
	return ""
}

// otherNode returns the target that another node has registered for the same VM and service.
func (c *Catalog) otherNode(r Registration) *target {
	s := c.named(r.Service)
	if s == nil {
		return nil
	}
	for id := range c.byService[s.Model.ID] {
		if t := c.targets[id]; t.Registration.VM == r.VM && t.Registration.Node != r.Node {
			return t
		}
	}
	return nil
}

// takeOver hands a lost target to the node that offers it now, so that a replaced VM keeps the
// number of its target.
func (c *Catalog) takeOver(t *target, r Registration, generation model.Generation) {
	c.dirty.nodes[t.Registration.Node], c.dirty.nodes[r.Node] = true, true
	c.unlink(t)
	t.Registration = r
	c.link(t)
	delete(c.quarantine, r.Key)
	c.reviewTarget(t, generation)
}
