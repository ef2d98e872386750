package capacity

import (
	"fmt"
	"time"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/membership"
	"github.com/greengagelock/greengagelock/internal/model"
)

const (
	leaderTable   = "leader"
	followerTable = "follower"
)

// fleetCatalog is the replicated state of a fleet in which all targets are registered and active.
type fleetCatalog struct {
	*catalog.Catalog
	index             uint64
	services, targets int
}

func newFleetCatalog(services, targets int) (*fleetCatalog, error) {
	c := &fleetCatalog{Catalog: catalog.New(), services: services, targets: targets}
	if err := c.edit(10); err != nil {
		return nil, err
	}
	for from := 0; from < targets; from += membership.MaxRegistrations {
		var batch catalog.Batch
		for i := from; i < min(from+membership.MaxRegistrations, targets); i++ {
			batch.Registrations = append(batch.Registrations, c.registration(i))
		}
		c.batch(batch)
	}
	var joined catalog.Batch
	for _, t := range c.Targets() {
		joined.Activations = append(joined.Activations, t.Model.ID)
	}
	c.batch(joined)
	return c, nil
}

func (c *fleetCatalog) registration(i int) catalog.Registration {
	return catalog.Registration{
		Key:   catalog.Key{Node: string(vmName(i)), VM: vmName(i), Service: serviceName(i % c.services)},
		Agent: agentAddress(i), Slots: slotsPerTarget, MaxConns: connsPerTarget,
	}
}

// edit applies a document that differs from the previous one in the ramp of one service, in seconds.
func (c *fleetCatalog) edit(ramp int) error {
	return c.apply(fleetDocument(c.services, c.targets, ramp), c.Revision())
}

func (c *fleetCatalog) apply(document []byte, base model.Revision) error {
	c.index++
	cmd := &catalog.Command{
		Kind: catalog.KindApply, ID: fmt.Sprintf("command-%d", c.index), Author: "ana", Base: base,
		Document: catalog.Compress(document),
	}
	return c.Run(c.index, cmd).Err()
}

func (c *fleetCatalog) batch(b catalog.Batch) {
	c.index++
	c.Run(c.index, &catalog.Command{Kind: catalog.KindBatch, Batch: b})
}

// setLost sets whether the first count targets are lost.
func (c *fleetCatalog) setLost(count int, lost bool) {
	var b catalog.Batch
	for id := range model.TargetID(count) {
		b.Liveness = append(b.Liveness, catalog.LivenessChange{Target: id + 1, Lost: lost})
	}
	c.batch(b)
}

// batchTime returns the time to apply one batch that changes the liveness of count targets.
func (c *fleetCatalog) batchTime(repeat, count int) time.Duration {
	lost := false
	return fastest(repeat+1, func() {
		lost = !lost
		c.setLost(count, lost)
	})
}

func (r *recorder) newScaledCatalog(targets int) (*fleetCatalog, error) {
	return newFleetCatalog(max(targets*designServices/designTargets, 1), targets)
}

// measureCatalog measures the replicated state, of which every controller has a copy.
func measureCatalog(r *recorder) error {
	for _, targets := range r.sizes.Targets {
		x := float64(targets)
		var c *fleetCatalog
		var err error
		bytes := retainedBytes(func() *fleetCatalog {
			c, err = r.newScaledCatalog(targets)
			return c
		})
		if err != nil {
			return err
		}
		r.record("catalog-memory", x, bytes/bytesPerMB)
		snapshot, err := c.Snapshot()
		if err != nil {
			return err
		}
		r.record("snapshot-bytes", x, float64(len(snapshot))/bytesPerMB)
		r.record("snapshot-time", x, milliseconds(fastest(r.sizes.Repeat, func() { _, _ = c.Snapshot() })))
		r.record("restore-time", x, milliseconds(fastest(r.sizes.Repeat, func() { err = catalog.New().Restore(snapshot) })))
		if err != nil {
			return err
		}
		r.record("batch-targets", x, milliseconds(c.batchTime(r.sizes.Repeat, 1)))
		if err := r.recordEditApply(x, c); err != nil {
			return err
		}
		r.recordLeader(x, c)
	}
	if err := r.recordBatches(); err != nil {
		return err
	}
	return r.recordHistories()
}

// recordEditApply measures how long a controller takes to apply an edit of one service, and the sizes of the edit.
func (r *recorder) recordEditApply(x float64, c *fleetCatalog) error {
	var err error
	ramp := 20
	r.record("edit-apply", x, milliseconds(fastest(min(r.sizes.Repeat, 4), func() {
		ramp++
		if failed := c.edit(ramp); failed != nil {
			err = failed
		}
	})))
	document := fleetDocument(c.services, c.targets, ramp)
	r.record("document-bytes", x, float64(len(document))/1e3)
	r.record("edit-bytes", x, float64(len(catalog.Compress(document)))/1e3)
	return err
}

// recordBatches measures batches of different sizes in the largest fleet.
func (r *recorder) recordBatches() error {
	c, err := r.newScaledCatalog(r.sizes.Targets[len(r.sizes.Targets)-1])
	if err != nil {
		return err
	}
	for _, changed := range r.sizes.Changed {
		r.record("batch-changed", float64(changed), milliseconds(c.batchTime(r.sizes.Repeat, changed)))
	}
	return nil
}

// recordLeader measures the periodic work of the leader, and the updates that a controller sends to nodes.
func (r *recorder) recordLeader(x float64, c *fleetCatalog) {
	now := time.Unix(1_700_000_000, 0)
	table := membership.New(now)
	reports := make([]membership.Report, c.targets)
	for i := range reports {
		reports[i] = c.reportOf(i)
	}
	table.Observe(now, reports)
	r.record("leader-observe", x, milliseconds(fastest(r.sizes.Repeat, func() {
		now = now.Add(10 * time.Millisecond)
		table.Observe(now, reports)
	})))
	r.record("leader-decide", x, milliseconds(fastest(r.sizes.Repeat, func() {
		table.Decide(now, c.Targets(), c.Quarantine())
	})))
	from := c.View().Generation
	c.setLost(1, true)
	r.record("update-agent", x, microseconds(fastest(r.sizes.Repeat, func() {
		c.Update(model.RoleAgent, string(vmName(c.targets-1)), from, 0)
	})))
	r.record("update-balancer", x, microseconds(fastest(r.sizes.Repeat, func() {
		c.Update(model.RoleBalancer, "balancer-1", from, 0)
	})))
	c.setLost(1, false)
}

func (c *fleetCatalog) reportOf(i int) membership.Report {
	registration := c.registration(i)
	a := &model.Announcement{
		Node: registration.Node, Role: model.RoleAgent, Incarnation: 1, VM: registration.VM, Zone: zoneName(i),
		Targets: []model.TargetAnnouncement{{
			Service: registration.Service, Agent: registration.Agent, Slots: registration.Slots, MaxConns: registration.MaxConns,
			Evidence: model.Evidence{EndpointHealthy: true, OpenFlows: i},
		}},
	}
	return membership.Report{Node: a.Node, Applied: c.View().Generation, Revision: c.Revision(), Announcement: a}
}

// recordHistories measures the memory of the revision history and of stored results. The document is
// small, because the history stores differences between documents.
func (r *recorder) recordHistories() error {
	for _, revisions := range r.sizes.Revisions {
		err := r.recordHistory("history-memory", "history-snapshot", revisions, func(c *fleetCatalog, i int) error { return c.edit(11 + i%500) })
		if err != nil {
			return err
		}
	}
	for _, results := range r.sizes.Results {
		err := r.recordHistory("results-memory", "results-snapshot", results, func(c *fleetCatalog, _ int) error {
			// An edit based on an old revision is refused, and its result is stored.
			_ = c.apply(nil, 0)
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// historyVMs is the number of VMs in the documents of recordHistories.
const historyVMs = 50

func (r *recorder) recordHistory(memoryID, snapshotID string, count int, step func(c *fleetCatalog, i int) error) error {
	var c *fleetCatalog
	var failed error
	bytes := retainedBytes(func() *fleetCatalog {
		c, failed = newFleetCatalog(10, historyVMs)
		for i := 0; failed == nil && i < count; i++ {
			failed = step(c, i)
		}
		return c
	})
	if failed != nil {
		return failed
	}
	r.record(memoryID, float64(count), bytes/bytesPerMB)
	data, err := c.Snapshot()
	r.record(snapshotID, float64(count), float64(len(data))/bytesPerMB)
	return err
}
