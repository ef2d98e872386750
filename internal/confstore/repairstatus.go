package confstore

import (
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/greengagelock/greengagelock/internal/repair"
	"github.com/greengagelock/greengagelock/internal/result"
)

// RepairStatus is what the leader knows of the losses that the store can bear.
type RepairStatus struct {
	// Borne is the number of controllers that may be lost now without the loss of the majority, Wanted the number that
	// should be.
	Borne, Wanted int
	Lost          []LostMember
	// Change is the change of the members that is due, and Reason why; empty if there is none.
	Change, Reason string
	// Failures counts the attempts of that change that have failed, and Error describes the last one.
	Failures uint64
	Error    string
}

// LostMember is a member that the leader does not hear.
type LostMember struct {
	Name string
	For  time.Duration // since the last contact
}

// repairReport collects the RepairStatus while this controller leads, and logs what changes in it.
type repairReport struct {
	logger *log.Logger

	mu       sync.Mutex
	status   *RepairStatus // nil unless this controller leads
	isLow    bool          // Borne is below Wanted
	failures uint64        // of all changes since the start
}

// clear is called while this controller does not lead.
func (r *repairReport) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status, r.isLow = nil, false
}

// observe records the group and the change that is due.
func (r *repairReport) observe(g *repair.Group, due *repair.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := &RepairStatus{Reason: due.Reason}
	if due.Kind != repair.None {
		next.Change = due.Kind.String() + " " + due.Name
	}
	if r.status != nil && r.status.Change == next.Change {
		next.Failures, next.Error = r.status.Failures, r.status.Error
	}
	next.Borne, next.Wanted = g.Tolerance()
	for _, m := range g.Lost() {
		next.Lost = append(next.Lost, LostMember{Name: m.Name, For: m.ContactAge})
	}
	r.status = next
	if isLow := next.Borne < next.Wanted; isLow != r.isLow {
		r.isLow = isLow
		r.logTolerance(next)
	}
}

// logTolerance logs that the store has begun to bear fewer losses than it should, or that it no longer does.
func (r *repairReport) logTolerance(s *RepairStatus) {
	var lost []string
	for _, m := range s.Lost {
		lost = append(lost, m.Name)
	}
	entry, message := r.logger.Info(), "the store bears its losses again"
	if r.isLow {
		entry, message = r.logger.Warn(), "the store bears fewer losses than it should"
	}
	entry.Int("borne", s.Borne).Int("wanted", s.Wanted).Strs("lost", lost).Str("change", s.Change).Str("reason", s.Reason).Msg(message)
}

// finish records the result of a change and logs it, a failure only the first time.
func (r *repairReport) finish(change *repair.Change, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, isFirst := r.logger.Info(), true
	if err != nil {
		entry = r.logger.Warn().Str("code", result.CodeOf(err).String()).Err(err)
		r.failures++
		if r.status != nil {
			isFirst = r.status.Failures == 0
			r.status.Failures++
			r.status.Error = err.Error()
		}
	}
	if isFirst {
		entry.Str("member", change.Name).Str("change", change.Kind.String()).Str("reason", change.Reason).Msg("store membership change")
	}
}

// current returns a copy of the status, or nil if this controller does not lead.
func (r *repairReport) current() *RepairStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status == nil {
		return nil
	}
	s := *r.status
	s.Lost = slices.Clone(s.Lost)
	return &s
}

// failureCount returns the number of changes that have failed since the start.
func (r *repairReport) failureCount() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures
}
