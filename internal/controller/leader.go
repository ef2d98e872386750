package controller

import (
	"context"
	"sync"
	"time"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/membership"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/rpc"
)

const (
	// reportInterval is how often a session holder reports to the leader.
	reportInterval = 500 * time.Millisecond
	// reportPause bounds reports of changed announcements.
	reportPause = 100 * time.Millisecond
	// decideInterval is how often the leader looks for changes, and so the least time between two
	// batches.
	decideInterval = 250 * time.Millisecond
	// proposeTimeout bounds the wait for a commit.
	proposeTimeout = 2 * time.Second
)

// leader holds the table of sessions while this controller leads.
type leader struct {
	log replica.Log

	mu    sync.Mutex
	term  uint64
	table *membership.SessionTable // nil unless this controller leads
}

// follow brings the table in line with the log. It returns nil if this controller does not lead.
func (l *leader) follow(status replica.Status, now time.Time) *membership.SessionTable {
	switch {
	case !status.IsLeader:
		l.table = nil
	case l.table == nil || l.term != status.Term:
		l.term, l.table = status.Term, membership.New(now)
	}
	return l.table
}

// withTable runs f with the table of the leader, or returns an error if this controller does not lead.
func (l *leader) withTable(f func(t *membership.SessionTable, now time.Time)) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	table := l.follow(l.log.Status(), now)
	if table == nil {
		return result.New(result.NotLeader, "this controller is not the leader")
	}
	f(table, now)
	return nil
}

func (l *leader) observe(reports []membership.Report) (missing []string, err error) {
	err = l.withTable(func(t *membership.SessionTable, now time.Time) { missing = t.Observe(now, reports) })
	return missing, err
}

// lead carries out the duties of the leader until ctx is done.
func (c *Controller) lead(ctx context.Context) {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	ready := uint64(0) // term in which the state was complete
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		status := c.log.Status()
		c.members.refresh()
		if c.leader.withTable(func(*membership.SessionTable, time.Time) {}) != nil {
			continue
		}
		if ready != status.Term {
			if err := c.barrier.wait(ctx); err != nil {
				continue
			}
			ready = status.Term
			c.tel.Logger.Info().Str("controller", c.cfg.Name).Uint64("term", status.Term).Msg("leading")
		}
		c.members.decide(ctx, status)
		c.decide(ctx)
	}
}

// decide puts the changes that the sessions call for into the log, and waits for them, so that
// the next decision is based on them.
func (c *Controller) decide(ctx context.Context) {
	var targets []catalog.TargetStatus
	var quarantine []catalog.Quarantined
	c.state.read(func(cat *catalog.Catalog) { targets, quarantine = cat.Targets(), cat.Quarantine() })
	var batch catalog.Batch
	err := c.leader.withTable(func(t *membership.SessionTable, now time.Time) { batch = t.Decide(now, targets, quarantine) })
	if err != nil || batch.Empty() {
		return
	}
	c.metrics.Proposals.Inc()
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := c.propose(ctx, &catalog.Command{Kind: catalog.KindBatch, Batch: batch}); err != nil {
		c.tel.Logger.Warn().Str("controller", c.cfg.Name).Err(err).Msg("a batch of observations was not committed")
	}
}

func (c *Controller) propose(ctx context.Context, cmd *catalog.Command) (catalog.Result, error) {
	data, err := catalog.Encode(cmd)
	if err != nil {
		return catalog.Result{}, err
	}
	position, err := c.log.Propose(ctx, data)
	if err != nil {
		return catalog.Result{}, err
	}
	return c.state.outcome(ctx, position)
}

// reportSessions tells the leader about the sessions held here until ctx is done.
func (c *Controller) reportSessions(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	leader, term := "", uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.kick:
		}
		status := c.log.Status()
		if status.Leader != leader || status.Term != term {
			leader, term = status.Leader, status.Term
			c.sessions.forgetReports()
		}
		if leader == "" {
			continue
		}
		if err := c.report(ctx, status); err != nil && ctx.Err() == nil {
			c.metrics.ReportErrors.Inc()
		}
		ctxtime.Sleep(ctx, reportPause)
	}
}

func (c *Controller) report(ctx context.Context, status replica.Status) error {
	now := time.Now()
	reports := c.sessions.reports(now)
	if len(reports) == 0 {
		return nil
	}
	missing, err := c.sendReports(ctx, status, reports)
	if err != nil {
		return err
	}
	c.sessions.acknowledge(now, reports, missing)
	return nil
}

func (c *Controller) sendReports(ctx context.Context, status replica.Status, reports []membership.Report) ([]string, error) {
	if status.IsLeader {
		return c.leader.observe(reports)
	}
	client, err := c.leaderClient()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	reply, err := rpc.Call[SessionReportsReply](ctx, client, peerServiceName+".ReportSessions", &SessionReports{Reports: reports})
	if err != nil {
		return nil, err
	}
	return reply.Missing, nil
}

// evidence returns what the leader knows of targets. It is empty if this controller does not lead.
func (c *Controller) evidence(targets []catalog.TargetStatus) map[model.TargetID]model.Evidence {
	var evidence map[model.TargetID]model.Evidence
	_ = c.leader.withTable(func(t *membership.SessionTable, _ time.Time) { evidence = t.Evidence(targets) })
	return evidence
}
