package capacity

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/operator"
)

// measureEdits measures edits of documents of different sizes in a cluster without nodes.
func measureEdits(r *recorder) error {
	c, err := newCluster(r.folder)
	if err != nil {
		return err
	}
	err = r.recordEdits(c)
	if closeErr := c.close(); err == nil {
		err = closeErr
	}
	return err
}

func (r *recorder) recordEdits(c *cluster) error {
	ctl, err := c.newOperator(c.addresses()...)
	if err != nil {
		return err
	}
	revision := model.Revision(0)
	for _, vms := range r.sizes.Targets {
		services := max(vms*designServices/designTargets, 1)
		if _, _, err := c.edit(ctl, revision, fleetDocument(services, vms, 10)); err != nil {
			return err
		}
		revision++
		termBefore, err := c.waitForLeader(ctl)
		if err != nil {
			return err
		}
		var times []time.Duration
		for i := range r.sizes.Edits {
			sent, accepted, err := c.edit(ctl, revision, fleetDocument(services, vms, 20+i))
			if err != nil {
				return err
			}
			revision++
			times = append(times, accepted.Sub(sent))
		}
		termAfter, err := c.waitForLeader(ctl)
		if err != nil {
			return err
		}
		r.record("edit-accepted", float64(vms), quantile(times, 0.5).Seconds())
		r.record("edit-terms", float64(vms), float64(termAfter-termBefore)/float64(r.sizes.Edits))
	}
	return nil
}

// waitForLeader waits until the cluster has a leader with a quorum, and returns its term.
func (c *cluster) waitForLeader(ctl *operator.Client) (term uint64, err error) {
	err = waitFor("a leader with a quorum", func() bool {
		status, err := ctl.Status(c.ctx)
		if err != nil || !status.Current || status.Leader == "" {
			return false
		}
		term = status.Term
		return true
	})
	return term, err
}
