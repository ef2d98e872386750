package ctl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"github.com/greengagelock/greengagelock/internal/operator"
)

// perControllerTimeout bounds the status query to one controller. It is long enough for an election.
const perControllerTimeout = 2 * time.Second

// statusReport is the newest status, and the answers of controllers that are behind it.
type statusReport struct {
	*operator.StatusReply
	Behind []*operator.StatusReply `json:",omitempty"`
}

func (a *app) statusCommand() *cobra.Command {
	return queryCommand(a, "status", "Show the state of the controllers and which nodes have the configuration in force",
		func(c *operator.Client, cmd *cobra.Command) (*statusReport, error) {
			return a.status(cmd.Context(), c)
		},
		printStatus)
}

// status returns the status of one controller, or the best of all if that one is not up to date.
func (a *app) status(ctx context.Context, c *operator.Client) (*statusReport, error) {
	s, err := c.Status(ctx)
	if err != nil {
		return nil, err
	}
	if isUpToDate(s) {
		return &statusReport{StatusReply: s}, nil
	}
	return a.statusOfAll(ctx, s), nil
}

// isUpToDate reports whether the controller that answered has contact to a majority and knows the leader.
// One that is partitioned, or was removed, answers with its own, possibly old, state.
func isUpToDate(s *operator.StatusReply) bool { return s.Current && s.Leader != "" }

// statusOfAll queries every controller separately, because one that is partitioned or was removed answers
// with an old state while the others still work.
func (a *app) statusOfAll(ctx context.Context, first *operator.StatusReply) *statusReport {
	var mu sync.Mutex
	var group sync.WaitGroup
	answers := map[string]*operator.StatusReply{first.Controller: first}
	for _, address := range a.clientConfig.Controllers {
		group.Go(func() {
			s, err := a.statusOf(ctx, address)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers[s.Controller] = s
		})
	}
	group.Wait()
	return selectStatus(answers)
}

// statusOf queries the controller at one address.
func (a *app) statusOf(ctx context.Context, address string) (*operator.StatusReply, error) {
	cfg := a.clientConfig
	cfg.Controllers, cfg.Timeout = []string{address}, min(cfg.Timeout, perControllerTimeout)
	c, err := operator.NewClient(cfg)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	return c.Status(ctx)
}

// selectStatus returns an up-to-date answer, or else the one of the highest generation, together with the
// other answers that are not up to date.
func selectStatus(answers map[string]*operator.StatusReply) *statusReport {
	sorted := slices.SortedFunc(maps.Values(answers), func(x, y *operator.StatusReply) int {
		switch {
		case isUpToDate(x) != isUpToDate(y) && isUpToDate(x):
			return -1
		case isUpToDate(x) != isUpToDate(y):
			return 1
		case x.Generation != y.Generation:
			return int(y.Generation) - int(x.Generation)
		}
		return int(x.Age - y.Age)
	})
	report := &statusReport{StatusReply: sorted[0]}
	for _, s := range sorted[1:] {
		if !isUpToDate(s) {
			report.Behind = append(report.Behind, s)
		}
	}
	return report
}

func printStatus(t *table, s *statusReport) {
	t.row("controller", s.Controller)
	t.row("leader", orDash(s.Leader))
	t.row("state", describeContact(s.StatusReply))
	if l := s.Losses; l != nil {
		t.row("losses borne", fmt.Sprintf("%d of %d", l.Borne, l.Wanted))
		for _, lost := range l.Lost {
			t.row("not heard", fmt.Sprintf("%s for %v", lost.Name, lost.For.Round(time.Second)))
		}
	}
	t.row("revision", s.Revision)
	t.row("generation", s.Generation)
	if s.Settled {
		t.row("in force", fmt.Sprintf("%d of %d nodes", s.InForce, s.Nodes))
	} else {
		t.row("in force", "not known: only a leader that holds its office for some seconds knows it")
	}
	for _, lag := range s.Lagging {
		t.row("not in force on", fmt.Sprintf("%s (%s, revision %d, last seen %v ago)", lag.Node, lag.Role, lag.Revision, lag.LastSeen.Round(time.Second)))
	}
	for _, state := range slices.Sorted(maps.Keys(s.Targets)) {
		t.row("targets "+state, s.Targets[state])
	}
	t.row("quarantined", s.Quarantined)
	for _, other := range s.Behind {
		t.row("behind", fmt.Sprintf("%s (%s, revision %d)", other.Controller, describeContact(other), other.Revision))
	}
}

// describeContact describes whether a controller has contact to a majority and knows a leader.
func describeContact(s *operator.StatusReply) string {
	switch {
	case !s.Current:
		return fmt.Sprintf("not current: no contact to a majority for %v", s.Age.Round(time.Second))
	case s.Leader == "":
		return "no leader: an election is under way, or the controller was removed"
	}
	return "current"
}
