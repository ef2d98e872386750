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

// keptOutcomes is how many outcomes of log entries are kept for proposers that have not asked for
// them yet. Proposers ask at once, and far fewer proposals are in flight.
const keptOutcomes = 1024

// state guards the catalog and wakes those who wait for it to change.
type state struct {
	mu       sync.RWMutex
	catalog  *catalog.Catalog
	changed  chan struct{} // closed at the next change
	outcomes map[uint64]outcome
}

type outcome struct {
	term   uint64
	result catalog.Result
}

func newState() *state {
	return &state{catalog: catalog.New(), changed: make(chan struct{}), outcomes: map[uint64]outcome{}}
}

// Apply implements Machine. What is applied already is skipped, since the log begins again with
// older entries when its files are opened again.
func (s *state) Apply(c replica.Committed) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case c.Index <= s.catalog.Applied():
		return nil
	case c.Snapshot != nil:
		if err := s.catalog.Restore(c.Snapshot); err != nil {
			return errors.Wrapf(err, "restore the snapshot at log entry %d", c.Index)
		}
		s.catalog.Skip(c.Index)
	case c.Data != nil:
		s.keep(c, s.catalog.Apply(c.Index, c.Data))
	default:
		s.catalog.Skip(c.Index)
		s.keep(c, catalog.Result{Code: result.Internal, Message: "not a command"})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// Snapshot implements Machine.
func (s *state) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.catalog.Snapshot()
}

func (s *state) keep(c replica.Committed, r catalog.Result) {
	s.outcomes[c.Index] = outcome{term: c.Term, result: r}
	delete(s.outcomes, c.Index-keptOutcomes)
}

// read runs f while the catalog does not change. What f takes out of the catalog must not be
// changed.
func (s *state) read(f func(c *catalog.Catalog)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.catalog)
}

// next returns a channel that is closed at the next change.
func (s *state) next() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// wait waits until the state contains a log entry.
func (s *state) wait(ctx context.Context, index uint64) error {
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
			return result.New(result.DeadlineExceeded, "log entry %d is not applied in time", index)
		}
	}
}

// outcome waits for the result of a proposed entry.
func (s *state) outcome(ctx context.Context, p consensus.Position) (catalog.Result, error) {
	if err := s.wait(ctx, p.Index); err != nil {
		return catalog.Result{}, result.New(result.OutcomeUnknown, "the log did not commit in time, the command may still run")
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	o, ok := s.outcomes[p.Index]
	switch {
	case !ok:
		return catalog.Result{}, result.New(result.OutcomeUnknown, "log entry %d was replaced by a snapshot", p.Index)
	case o.term != p.Term:
		return catalog.Result{}, result.New(result.NotLeader, "another leader has replaced log entry %d, the command has not run", p.Index)
	}
	return o.result, nil
}
