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
	// reportInterval is the time between two session reports to the leader.
	reportInterval = 500 * time.Millisecond
	// minReportInterval is the least time between two reports, also when announcements change.
	minReportInterval = 100 * time.Millisecond
	// decideInterval is the time between two checks for target changes, and so the least time between
	// two batches.
	decideInterval = 250 * time.Millisecond
	// proposeTimeout limits the wait for a commit.
	proposeTimeout = 2 * time.Second
)

// leader holds the table of all sessions while this controller is the leader.
type leader struct {
	log replica.Log

	mu    sync.Mutex
	term  uint64
	table *membership.SessionTable // nil unless this controller is the leader
}

// tableFor returns the table for the current term, or nil if this controller is not the leader. Every
// term starts with a new table.
func (l *leader) tableFor(status replica.Status, now time.Time) *membership.SessionTable {
	switch {
	case !status.IsLeader:
		l.table = nil
	case l.table == nil || l.term != status.Term:
		l.term, l.table = status.Term, membership.New(now)
	}
	return l.table
}

// withTable calls f with the table of sessions. It returns an error if this controller is not the leader.
func (l *leader) withTable(f func(t *membership.SessionTable, now time.Time)) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	table := l.tableFor(l.log.Status(), now)
	if table == nil {
		return result.New(result.NotLeader, "this controller is not the leader")
	}
	f(table, now)
	return nil
}

// recordReports records session reports. It returns the nodes whose announcement has to be reported in full.
func (l *leader) recordReports(reports []membership.Report) (missing []string, err error) {
	err = l.withTable(func(t *membership.SessionTable, now time.Time) { missing = t.Observe(now, reports) })
	return missing, err
}

// runLeaderDuties updates the list of controllers and proposes target changes at every decideInterval
// while this controller is the leader. It returns when ctx is done. In a new term it waits for the read
// index first, so that decisions are based on everything committed in earlier terms.
func (c *Controller) runLeaderDuties(ctx context.Context) {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	readyTerm := uint64(0) // last term whose read index has been applied
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		status := c.log.Status()
		c.members.updateDirectory()
		if c.leader.withTable(func(*membership.SessionTable, time.Time) {}) != nil {
			c.lossReport.clear()
			continue
		}
		c.lossReport.observe(lossesOf(status.Members, c.groupSize))
		if readyTerm != status.Term {
			if err := c.reads.wait(ctx); err != nil {
				continue
			}
			readyTerm = status.Term
			c.tel.Logger.Info().Str("controller", c.cfg.Name).Uint64("term", status.Term).Msg("became leader")
		}
		c.members.reconcile(ctx, status)
		c.proposeTargetChanges(ctx)
	}
}

// proposeTargetChanges proposes the target changes that follow from the sessions. It waits until they are
// applied, so that the next decision includes them.
func (c *Controller) proposeTargetChanges(ctx context.Context) {
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
		c.tel.Logger.Warn().Str("controller", c.cfg.Name).Err(err).Msg("proposing a batch of target changes failed")
	}
}

// propose appends a command to the log and returns its result after it was applied.
func (c *Controller) propose(ctx context.Context, cmd *catalog.Command) (catalog.Result, error) {
	data, err := catalog.Encode(cmd)
	if err != nil {
		return catalog.Result{}, err
	}
	position, err := c.log.Propose(ctx, data)
	if err != nil {
		return catalog.Result{}, err
	}
	return c.state.waitForOutcome(ctx, position)
}

// reportSessions reports the sessions held by this controller to the leader until ctx is done.
func (c *Controller) reportSessions(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	leader, term := "", uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.reportWakeup:
		}
		status := c.log.Status()
		if status.Leader != leader || status.Term != term {
			leader, term = status.Leader, status.Term
			c.sessions.resetReported()
		}
		if leader == "" {
			continue
		}
		if err := c.report(ctx, status); err != nil && ctx.Err() == nil {
			c.metrics.ReportErrors.Inc()
		}
		ctxtime.Sleep(ctx, minReportInterval)
	}
}

// report sends the pending session reports.
func (c *Controller) report(ctx context.Context, status replica.Status) error {
	now := time.Now()
	reports := c.sessions.pendingReports(now)
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
		return c.leader.recordReports(reports)
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

// evidence returns the latest evidence of targets. It is empty if this controller is not the leader.
func (c *Controller) evidence(targets []catalog.TargetStatus) map[model.TargetID]model.Evidence {
	var evidence map[model.TargetID]model.Evidence
	_ = c.leader.withTable(func(t *membership.SessionTable, _ time.Time) { evidence = t.Evidence(targets) })
	return evidence
}
