package controller

import (
	"sync"

	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

// lossesOf returns the losses that a group bears. size is the number of controllers that it should have by the settings.
func lossesOf(members []replica.Member, size int) *operator.Losses {
	voters := countVoters(members, "")
	l := &operator.Losses{
		Borne:  max(voters.all-voters.lost-majority(voters.all), 0),
		Wanted: max(tolerated(voters.all), tolerated(size)),
	}
	for i := range members {
		if m := &members[i]; isLost(m) {
			l.Lost = append(l.Lost, operator.LostController{Name: m.Name, For: m.ContactAge})
		}
	}
	return l
}

// lossReport logs when the group begins to bear fewer losses than it should, and when that is over.
type lossReport struct {
	tel  telemetry.Handle
	name string // of this controller

	mu    sync.Mutex
	isLow bool
}

// observe is called by the leader.
func (r *lossReport) observe(l *operator.Losses) {
	r.mu.Lock()
	defer r.mu.Unlock()
	isLow := l.Borne < l.Wanted
	if isLow == r.isLow {
		return
	}
	r.isLow = isLow
	var lost []string
	for _, c := range l.Lost {
		lost = append(lost, c.Name)
	}
	entry, message := r.tel.Logger.Info(), "the controllers bear their losses again"
	if isLow {
		entry, message = r.tel.Logger.Warn(), "the controllers bear fewer losses than they should"
	}
	entry.Str("controller", r.name).Int("borne", l.Borne).Int("wanted", l.Wanted).Strs("lost", lost).Msg(message)
}

// clear is called while this controller does not lead.
func (r *lossReport) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isLow = false
}

// losses returns the losses that the group bears, or nil if this controller does not lead.
func (c *Controller) losses() *operator.Losses {
	status := c.log.Status()
	if !status.IsLeader {
		return nil
	}
	return lossesOf(status.Members, c.groupSize)
}

// lossGauge returns the value of a gauge of the losses, which is -1 unless this controller leads.
func (c *Controller) lossGauge(value func(*operator.Losses) int) float64 {
	if l := c.losses(); l != nil {
		return float64(value(l))
	}
	return -1
}
