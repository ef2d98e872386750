package wal

import (
	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/consensus"
)

// replay is the state of the log while its records are read.
type replay struct {
	hard    consensus.HardState
	base    consensus.Position // zero or the last recordBase
	entries []consensus.Entry
	// top is the highest index of an entry since it was last cleared.
	top uint64
}

func (r *replay) reset(p consensus.Position) {
	r.base = p
	r.entries = nil
}

// add appends an entry; it replaces the entries from its index on.
func (r *replay) add(e consensus.Entry) error {
	r.top = max(r.top, e.Index)
	if len(r.entries) == 0 {
		if r.base.Index != 0 && e.Index != r.base.Index+1 {
			return errors.Newf("entry %d follows the snapshot at %d", e.Index, r.base.Index)
		}
		r.entries = append(r.entries, e)
		return nil
	}
	first, next := r.entries[0].Index, r.entries[len(r.entries)-1].Index+1
	if e.Index > next || e.Index <= r.base.Index {
		return errors.Newf("entry %d follows entry %d", e.Index, next-1)
	}
	if e.Index < first {
		// The entries that it replaces began in a segment that was removed.
		r.entries = append(r.entries[:0], e)
		return nil
	}
	r.entries = append(r.entries[:e.Index-first], e)
	return nil
}

// last returns the last position of the log.
func (r *replay) last() consensus.Position {
	if len(r.entries) == 0 {
		return r.base
	}
	e := r.entries[len(r.entries)-1]
	return consensus.Position{Index: e.Index, Term: e.Term}
}

// restored joins the log and the newest snapshot. reset is set if the log ends before the
// snapshot or contradicts it: the process ended after the snapshot was stored and before the log
// was.
func (r *replay) restored(s consensus.Snapshot) (restored consensus.Restored, reset bool, err error) {
	restored = consensus.Restored{HardState: r.hard, Snapshot: s, Entries: r.entries}
	if r.base.Index > s.Index {
		return restored, false, errors.Newf("the log starts after a snapshot at %d that is missing", r.base.Index)
	}
	if len(r.entries) == 0 {
		return restored, r.base.Index != s.Index, nil
	}
	first := r.entries[0].Index
	switch {
	case first > s.Index+1:
		return restored, false, errors.Newf("the log starts at %d and the newest snapshot ends at %d", first, s.Index)
	case first == s.Index+1:
		return restored, false, nil
	case r.last().Index >= s.Index && r.entries[s.Index-first].Term == s.Term:
		return restored, false, nil
	}
	restored.Entries = nil
	return restored, true, nil
}
