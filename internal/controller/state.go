package controller

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/result"
)

// maxKeptOutcomes is the number of log entries whose outcome is kept until the proposer reads it.
// Proposers read it at once, and far fewer proposals are in flight.
const maxKeptOutcomes = 1024

// state is the replicated state machine: the catalog with a lock, and a signal for its changes.
type state struct {
	mu       sync.RWMutex
	catalog  *catalog.Catalog
	changed  chan struct{}      // closed at the next change
	outcomes map[uint64]outcome // by log index
}

// outcome is the result of an applied log entry and the term of that entry.
type outcome struct {
	term   uint64
	result catalog.Result
}

func newState() *state {
	return &state{catalog: catalog.New(), changed: make(chan struct{}), outcomes: map[uint64]outcome{}}
}

// Apply implements replica.StateMachine. Entries that are applied already are skipped, because the log
// replays them when its files are reopened.
func (s *state) Apply(c replica.Committed) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case c.Index <= s.catalog.Applied():
		return nil
	case c.Snapshot != nil:
		if err := s.catalog.Restore(c.Snapshot); err != nil {
			return errors.Wrapf(err, "restore the snapshot of log entry %d", c.Index)
		}
		s.catalog.Skip(c.Index)
	case c.Data != nil:
		s.recordOutcome(c, s.catalog.Apply(c.Index, c.Data))
	default:
		s.catalog.Skip(c.Index)
		s.recordOutcome(c, catalog.Result{Code: result.Internal, Message: "log entry is not a command"})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// Snapshot implements replica.StateMachine.
func (s *state) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.catalog.Snapshot()
}

// recordOutcome stores the outcome of an entry and drops the one that is maxKeptOutcomes older.
func (s *state) recordOutcome(c replica.Committed, r catalog.Result) {
	s.outcomes[c.Index] = outcome{term: c.Term, result: r}
	delete(s.outcomes, c.Index-maxKeptOutcomes)
}

// read calls f under the read lock. f must not modify what it gets from the catalog.
func (s *state) read(f func(c *catalog.Catalog)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.catalog)
}

// nextChange returns a channel that is closed when the catalog changes.
func (s *state) nextChange() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// waitApplied waits until the log entry at index is applied.
func (s *state) waitApplied(ctx context.Context, index uint64) error {
	for {
		s.mu.RLock()
		applied, changed := s.catalog.Applied(), s.changed
		s.mu.RUnlock()
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return result.New(result.DeadlineExceeded, "log entry %d was not applied in time", index)
		}
	}
}

// waitForOutcome waits until the entry at p is applied and returns its result. It returns an error if the
// outcome is not known, or if an entry of another term took the place of the proposed one.
func (s *state) waitForOutcome(ctx context.Context, p consensus.Position) (catalog.Result, error) {
	if err := s.waitApplied(ctx, p.Index); err != nil {
		return catalog.Result{}, result.New(result.OutcomeUnknown, "the command was not committed in time, it may still run")
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	o, ok := s.outcomes[p.Index]
	switch {
	case !ok:
		return catalog.Result{}, result.New(result.OutcomeUnknown, "log entry %d was replaced by a snapshot", p.Index)
	case o.term != p.Term:
		return catalog.Result{}, result.New(result.NotLeader, "another leader has replaced log entry %d, the command did not run", p.Index)
	}
	return o.result, nil
}
