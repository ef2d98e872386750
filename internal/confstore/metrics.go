package confstore

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/stats"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

// registerMetrics registers gauges that read the state of the controller at each scrape.
func (c *Controller) registerMetrics(r prometheus.Registerer) error {
	boolValue := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	gauges := []struct {
		name, help string
		read       func() float64
	}{
		{"version", "Version of the newest committed configuration.", func() float64 { return float64(c.state.version()) }},
		{"leader", "1 if this controller leads.", func() float64 { return boolValue(c.log.Status().IsLeader) }},
		{"current", "1 while the controller is in contact with a majority.", func() float64 { return boolValue(c.IsCurrent()) }},
		{"members", "Members of the store.", func() float64 { return float64(len(c.log.Status().Members)) }},
		{"voter", "1 if this controller is a voter.", func() float64 { return boolValue(c.isVoter(c.log.Status())) }},
		{"voters", "Voters that this controller knows of.", func() float64 { return float64(c.voterContacts().voters) }},
		{"voters_reached", "Voters that the last messages have reached, this one included, if it leads or is a voter without a leader; -1 on others.", func() float64 {
			return float64(c.voterContacts().reached)
		}},
		{"voters_replaced", "Voters on whose VM another member runs, because the disk was lost, if this controller leads or is a voter without a leader; -1 on others.", func() float64 {
			return float64(c.voterContacts().replaced)
		}},
		{"losses_borne", "Controllers that may be lost now without the loss of the majority, on the leader; -1 on others.", func() float64 {
			if r := c.repairs.current(); r != nil {
				return float64(r.Borne)
			}
			return -1
		}},
		{"losses_wanted", "Controllers that the store should be able to lose at once, on the leader; -1 on others.", func() float64 {
			if r := c.repairs.current(); r != nil {
				return float64(r.Wanted)
			}
			return -1
		}},
		{"term", "Term of the replicated log.", func() float64 { return float64(c.log.Status().Term) }},
		{"targets", "Targets that announce themselves.", func() float64 {
			c.mu.Lock()
			defer c.mu.Unlock()
			return float64(c.registry.Len())
		}},
		{"entries_behind", "Entry VMs with an older configuration in force.", func() float64 {
			version := c.state.version()
			c.mu.Lock()
			defer c.mu.Unlock()
			return float64(len(c.registry.OutdatedEntries(version)))
		}},
		{"log_level", "Protocol level that the replicated log requires of its members.", func() float64 { return float64(c.state.protocolLevel()) }},
		{"members_below", "Members that have not announced the protocol level of this controller, if it leads, or else 0.", func() float64 {
			if !c.log.Status().IsLeader {
				return 0 // other members do not call it
			}
			return float64(len(c.membersBelow(roster.Level)))
		}},
		{"processes_below", "Entry VMs and relays with a lower protocol level than this controller.", func() float64 {
			c.mu.Lock()
			defer c.mu.Unlock()
			return float64(len(c.registry.ProcessesBelow(roster.Level)))
		}},
		{"evacuated_zones", "Evacuated availability zones.", func() float64 { return float64(len(c.state.evacuations().Zones)) }},
		{"checkpoint_flows", "Flows that relays have reported.", func() float64 { return float64(c.flows.Stats().Flows) }},
	}
	err := telemetry.RegisterBuild(r, roster.Level)
	for _, g := range gauges {
		opts := prometheus.GaugeOpts{Name: "greengagelock_store_" + g.name, Help: g.help}
		err = errors.CombineErrors(err, r.Register(prometheus.NewGaugeFunc(opts, g.read)))
	}
	counters := []struct {
		name, help string
		read       func() float64
	}{
		{"member_change_failures", "Changes of the members that failed at this leader.", func() float64 { return float64(c.repairs.failureCount()) }},
		{"messages_rejected", "Messages of other members that were invalid or for another member.", func() float64 { return float64(c.log.Rejected()) }},
		{"checkpoint_dropped", "Lists of flows dropped because the store of flows was full.", func() float64 { return float64(c.flows.Stats().Dropped) }},
		{"checkpoint_save_errors", "Failed writes of the file with the flows.", func() float64 { return float64(c.flows.Stats().SaveErrors) }},
	}
	for _, counter := range counters {
		opts := prometheus.CounterOpts{Name: "greengagelock_store_" + counter.name + "_total", Help: counter.help}
		err = errors.CombineErrors(err, r.Register(prometheus.NewCounterFunc(opts, counter.read)))
	}
	err = errors.CombineErrors(err, stats.Register(r, "greengagelock_store", func() roster.RegistryStats {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.registry.Stats
	}))
	return errors.Wrap(err, "register metrics")
}

// voterContacts are numbers of voters.
type voterContacts struct{ voters, reached, replaced int }

// voterContacts counts the voters, and those that were reached. Only a leader and a voter without one call the others.
func (c *Controller) voterContacts() voterContacts {
	status := c.log.Status()
	var counts voterContacts
	calls := status.IsLeader || status.Leader == "" && c.isVoter(status)
	for _, m := range status.Members {
		if m.Learner {
			continue
		}
		counts.voters++
		switch contact, _ := c.transport.Contact(m.ID); {
		case m.Name == c.name || contact == replica.Reached:
			counts.reached++
		case contact == replica.Replaced:
			counts.replaced++
		}
	}
	if !calls {
		counts.reached, counts.replaced = -1, -1
	}
	return counts
}
