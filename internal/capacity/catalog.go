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

// fleetCatalog is the replicated state of a fleet whose targets are registered and active.
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

// edit puts a document in force that differs from the last one in the ramp of a service.
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

// lose marks the first targets as lost or not.
func (c *fleetCatalog) lose(count int, lost bool) {
	var b catalog.Batch
	for id := range model.TargetID(count) {
		b.Liveness = append(b.Liveness, catalog.LivenessChange{Target: id + 1, Lost: lost})
	}
	c.batch(b)
}

// batchTime returns the time of one batch that changes the liveness of some targets.
func (c *fleetCatalog) batchTime(repeat, count int) time.Duration {
	lost := false
	return fastest(repeat+1, func() {
		lost = !lost
		c.lose(count, lost)
	})
}

func (r *recorder) fleetOf(targets int) (*fleetCatalog, error) {
	return newFleetCatalog(max(targets*targetServices/targetTargets, 1), targets)
}

// measureCatalog measures the replicated state, which every controller holds.
func measureCatalog(r *recorder) error {
	for _, targets := range r.sizes.Targets {
		x := float64(targets)
		var c *fleetCatalog
		var err error
		bytes := live(func() *fleetCatalog {
			c, err = r.fleetOf(targets)
			return c
		})
		if err != nil {
			return err
		}
		r.point("catalog-memory", x, bytes/megabyte)
		snapshot, err := c.Snapshot()
		if err != nil {
			return err
		}
		r.point("snapshot-bytes", x, float64(len(snapshot))/megabyte)
		r.point("snapshot-time", x, milliseconds(fastest(r.sizes.Repeat, func() { _, _ = c.Snapshot() })))
		r.point("restore-time", x, milliseconds(fastest(r.sizes.Repeat, func() { err = catalog.New().Restore(snapshot) })))
		if err != nil {
			return err
		}
		r.point("batch-targets", x, milliseconds(c.batchTime(r.sizes.Repeat, 1)))
		if err := r.edits(x, c); err != nil {
			return err
		}
		r.leader(x, c)
	}
	if err := r.batches(); err != nil {
		return err
	}
	return r.histories()
}

// edits measures how long a controller takes to apply an edit of one service.
func (r *recorder) edits(x float64, c *fleetCatalog) error {
	var err error
	ramp := 20
	r.point("edit-apply", x, milliseconds(fastest(min(r.sizes.Repeat, 4), func() {
		ramp++
		if failed := c.edit(ramp); failed != nil {
			err = failed
		}
	})))
	document := fleetDocument(c.services, c.targets, ramp)
	r.point("document-bytes", x, float64(len(document))/1e3)
	r.point("edit-bytes", x, float64(len(catalog.Compress(document)))/1e3)
	return err
}

// batches measures batches of different sizes at the largest fleet.
func (r *recorder) batches() error {
	c, err := r.fleetOf(r.sizes.Targets[len(r.sizes.Targets)-1])
	if err != nil {
		return err
	}
	for _, changed := range r.sizes.Changed {
		r.point("batch-changed", float64(changed), milliseconds(c.batchTime(r.sizes.Repeat, changed)))
	}
	return nil
}

// leader measures the duties of the leader and the answers of session holders.
func (r *recorder) leader(x float64, c *fleetCatalog) {
	now := time.Unix(1_700_000_000, 0)
	table := membership.New(now)
	reports := make([]membership.Report, c.targets)
	for i := range reports {
		reports[i] = c.report(i)
	}
	table.Observe(now, reports)
	r.point("leader-observe", x, milliseconds(fastest(r.sizes.Repeat, func() {
		now = now.Add(10 * time.Millisecond)
		table.Observe(now, reports)
	})))
	r.point("leader-decide", x, milliseconds(fastest(r.sizes.Repeat, func() {
		table.Decide(now, c.Targets(), c.Quarantine())
	})))
	from := c.View().Generation
	c.lose(1, true)
	r.point("update-agent", x, microseconds(fastest(r.sizes.Repeat, func() {
		c.Update(model.RoleAgent, string(vmName(c.targets-1)), from, 0)
	})))
	r.point("update-balancer", x, microseconds(fastest(r.sizes.Repeat, func() {
		c.Update(model.RoleBalancer, "balancer-1", from, 0)
	})))
	c.lose(1, false)
}

func (c *fleetCatalog) report(i int) membership.Report {
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

// histories measures the memory of revisions and of kept results, with a small document, as the
// history keeps differences.
func (r *recorder) histories() error {
	for _, revisions := range r.sizes.Revisions {
		err := r.history("history-memory", "history-snapshot", revisions, func(c *fleetCatalog, i int) error { return c.edit(11 + i%500) })
		if err != nil {
			return err
		}
	}
	for _, results := range r.sizes.Results {
		err := r.history("results-memory", "results-snapshot", results, func(c *fleetCatalog, _ int) error {
			// An edit of an old revision is refused, and its result is kept.
			_ = c.apply(nil, 0)
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// historyVMs is the inventory of the documents in the histories.
const historyVMs = 50

func (r *recorder) history(memory, snapshot string, count int, step func(c *fleetCatalog, i int) error) error {
	var c *fleetCatalog
	var failed error
	bytes := live(func() *fleetCatalog {
		c, failed = newFleetCatalog(10, historyVMs)
		for i := 0; failed == nil && i < count; i++ {
			failed = step(c, i)
		}
		return c
	})
	if failed != nil {
		return failed
	}
	r.point(memory, float64(count), bytes/megabyte)
	data, err := c.Snapshot()
	r.point(snapshot, float64(count), float64(len(data))/megabyte)
	return err
}
