package wal

import (
	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/consensus"
)

// replay collects the state of the log while its records are read.
type replay struct {
	hardState consensus.HardState
	base      consensus.Position // of the last recordBase, or zero
	entries   []consensus.Entry
	// highestIndex is the highest index of an entry in the segment that is being read.
	highestIndex uint64
}

// setBase drops all entries: the log continues after the snapshot at p.
func (r *replay) setBase(p consensus.Position) {
	r.base = p
	r.entries = nil
}

// addEntry appends an entry. Entries with the same or a higher index are replaced.
func (r *replay) addEntry(e consensus.Entry) error {
	r.highestIndex = max(r.highestIndex, e.Index)
	if len(r.entries) == 0 {
		if r.base.Index != 0 && e.Index != r.base.Index+1 {
			return errors.Newf("entry %d follows the snapshot at entry %d", e.Index, r.base.Index)
		}
		r.entries = append(r.entries, e)
		return nil
	}
	first, next := r.entries[0].Index, r.entries[len(r.entries)-1].Index+1
	if e.Index > next || e.Index <= r.base.Index {
		return errors.Newf("entry %d follows entry %d", e.Index, next-1)
	}
	if e.Index < first {
		// The first of the entries that it replaces were in a segment that was removed.
		r.entries = append(r.entries[:0], e)
		return nil
	}
	r.entries = append(r.entries[:e.Index-first], e)
	return nil
}

// lastPosition returns the position of the last entry, or the base if there is none.
func (r *replay) lastPosition() consensus.Position {
	if len(r.entries) == 0 {
		return r.base
	}
	e := r.entries[len(r.entries)-1]
	return consensus.Position{Index: e.Index, Term: e.Term}
}

// withSnapshot combines the log with the newest snapshot. needsBase is set if the log ends before the
// snapshot or contradicts it, because the process crashed after it had stored a received snapshot and
// before it wrote the frame with the base. The entries are dropped then.
func (r *replay) withSnapshot(s consensus.Snapshot) (restored consensus.Restored, needsBase bool, err error) {
	restored = consensus.Restored{HardState: r.hardState, Snapshot: s, Entries: r.entries}
	if r.base.Index > s.Index {
		return restored, false, errors.Newf("the log starts after a snapshot at entry %d that is missing", r.base.Index)
	}
	if len(r.entries) == 0 {
		return restored, r.base.Index != s.Index, nil
	}
	first := r.entries[0].Index
	switch {
	case first > s.Index+1:
		return restored, false, errors.Newf("the log starts at entry %d but the newest snapshot ends at entry %d", first, s.Index)
	case first == s.Index+1:
		return restored, false, nil
	case r.lastPosition().Index >= s.Index && r.entries[s.Index-first].Term == s.Term:
		return restored, false, nil
	}
	restored.Entries = nil
	return restored, true, nil
}
