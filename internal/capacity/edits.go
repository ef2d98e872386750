package capacity

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/operator"
)

// measureEdits measures edits of documents of different sizes at three controllers without nodes.
func measureEdits(r *recorder) error {
	c, err := newCluster(r.folder)
	if err != nil {
		return err
	}
	err = r.edited(c)
	if closed := c.close(); err == nil {
		err = closed
	}
	return err
}

func (r *recorder) edited(c *cluster) error {
	ctl, err := c.operator(c.addresses()...)
	if err != nil {
		return err
	}
	revision := model.Revision(0)
	for _, vms := range r.sizes.Targets {
		services := max(vms*targetServices/targetTargets, 1)
		if _, _, err := c.edit(ctl, revision, fleetDocument(services, vms, 10)); err != nil {
			return err
		}
		revision++
		before, err := c.settled(ctl)
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
		after, err := c.settled(ctl)
		if err != nil {
			return err
		}
		r.point("edit-accepted", float64(vms), quantile(times, 0.5).Seconds())
		r.point("edit-terms", float64(vms), float64(after-before)/float64(r.sizes.Edits))
	}
	return nil
}

// settled waits for a leader with a quorum and returns its term.
func (c *cluster) settled(ctl *operator.Client) (term uint64, err error) {
	err = await("a leader with a quorum", func() bool {
		status, err := ctl.Status(c.ctx)
		if err != nil || !status.Current || status.Leader == "" {
			return false
		}
		term = status.Term
		return true
	})
	return term, err
}
