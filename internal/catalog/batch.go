package catalog

import (
	"fmt"

	"github.com/greengagelock/greengagelock/internal/model"
)

// applyBatch applies the leader's observations. Changes to targets that no longer exist are ignored,
// because the leader may have decided on an older state.
func (c *Catalog) applyBatch(b *Batch, generation model.Generation) {
	// Removals run first, so that every target appears as lost or draining in at least one view before
	// it is removed.
	for _, id := range b.Removals {
		c.removeInactive(id)
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
	for _, id := range b.Activations {
		if t := c.targets[id]; t != nil && t.Joining {
			t.Joining = false
			c.dirty.targets[id] = true
		}
	}
	for _, e := range b.Ejections {
		if t := c.targets[e.Target]; t != nil && t.Ejected != e.Ejected {
			t.Ejected = e.Ejected
			c.dirty.targets[t.ID] = true
		}
	}
	if len(b.Removals)+len(b.Liveness) > 0 {
		c.removeRetiredServices()
		c.retryQuarantined(generation)
	}
}

// retryQuarantined tries to register every quarantined announcement again.
func (c *Catalog) retryQuarantined(generation model.Generation) {
	for _, q := range c.Quarantine() {
		c.register(q.Registration, generation)
	}
}

// removeInactive removes a target if it is lost or draining. The leader asks for the removal when the
// target was lost for long or its flows have ended; the state may have changed since then.
func (c *Catalog) removeInactive(id model.TargetID) {
	if t := c.targets[id]; t != nil && (t.Lost || t.DrainingSince != 0) {
		c.removeTarget(id)
	}
}

func (c *Catalog) removeTarget(id model.TargetID) {
	t := c.targets[id]
	c.unindexTarget(t)
	delete(c.targets, id)
	c.dirty.targets[id] = true
	c.dirty.nodes[t.Registration.Node] = true
}

// register creates or updates the target of an announcement, or quarantines the announcement.
func (c *Catalog) register(r Registration, generation model.Generation) {
	if id, known := c.byKey[r.Key]; known {
		delete(c.quarantine, r.Key)
		c.updateRegistration(c.targets[id], r, generation)
		return
	}
	if old := c.targetOfOtherNode(r); old != nil && old.Lost && c.config.DisallowedReason(r.VM, r.Service) == "" {
		c.reassign(old, r, generation)
		return
	}
	if reason := c.quarantineReason(r); reason != "" {
		if _, listed := c.quarantine[r.Key]; listed || len(c.quarantine) < MaxQuarantined {
			c.quarantine[r.Key] = Quarantined{Registration: r, Reason: reason}
		}
		return
	}
	delete(c.quarantine, r.Key)
	c.nextTarget++
	t := &target{ID: c.nextTarget, Registration: r, Service: c.serviceByName(r.Service).Model.ID, Joining: true}
	c.targets[t.ID] = t
	c.indexTarget(t)
	c.dirty.nodes[r.Node] = true
	c.updateDraining(t, generation)
}

func (c *Catalog) updateRegistration(t *target, r Registration, generation model.Generation) {
	t.Registration = r
	c.updateDraining(t, generation)
}

// quarantineReason returns why an announcement cannot become a target, or "" if it can.
func (c *Catalog) quarantineReason(r Registration) string {
	if reason := c.config.DisallowedReason(r.VM, r.Service); reason != "" {
		return reason
	}
	s := c.serviceByName(r.Service)
	if r.Slots < 1 || r.MaxConns < 1 || !r.Agent.IsValid() {
		return "the announcement has no agent address, no slots or no connections"
	}
	if old := c.targetOfOtherNode(r); old != nil {
		return fmt.Sprintf("node %q offers this target already", old.Registration.Node)
	}
	if len(c.byService[s.Model.ID]) >= model.MaxTargetsPerService {
		return fmt.Sprintf("the service has %d targets already", model.MaxTargetsPerService)
	}
	return ""
}

// targetOfOtherNode returns the target that another node registered for the same VM and service, or nil.
func (c *Catalog) targetOfOtherNode(r Registration) *target {
	s := c.serviceByName(r.Service)
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

// reassign moves a lost target to the node that announces it now, so that a replaced VM keeps its
// target ID.
func (c *Catalog) reassign(t *target, r Registration, generation model.Generation) {
	c.dirty.nodes[t.Registration.Node], c.dirty.nodes[r.Node] = true, true
	c.unindexTarget(t)
	t.Registration = r
	c.indexTarget(t)
	delete(c.quarantine, r.Key)
	c.updateDraining(t, generation)
}
