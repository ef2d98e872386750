package consensus

import (
	"slices"

	"github.com/greengagelock/greengagelock/internal/result"
)

// entryLog is the in-memory part of the log: the entries after base.
type entryLog struct {
	base    Position
	entries []Entry
	stable  uint64 // last index that is known to be persisted
	commit  uint64
	applied uint64
}

func newEntryLog(r Restored) (*entryLog, error) {
	l := &entryLog{base: Position{Index: r.Snapshot.Index, Term: r.Snapshot.Term}}
	if len(r.Entries) > 0 {
		first := r.Entries[0]
		switch {
		case first.Index == r.Snapshot.Index+1:
			l.entries = slices.Clone(r.Entries)
		case first.Index <= r.Snapshot.Index:
			l.base = Position{Index: first.Index, Term: first.Term}
			l.entries = slices.Clone(r.Entries[1:])
		default:
			return nil, result.New(result.StorageCorrupt,
				"the log starts at index %d, after the end of the snapshot at index %d", first.Index, r.Snapshot.Index)
		}
	}
	for i, e := range l.entries {
		if e.Index != l.base.Index+uint64(i)+1 {
			return nil, result.New(result.StorageCorrupt, "entry %d follows entry %d", e.Index, l.base.Index+uint64(i))
		}
	}
	term, ok := l.term(r.Snapshot.Index)
	if !ok || term != r.Snapshot.Term {
		return nil, result.New(result.StorageCorrupt,
			"the log up to index %d does not match the snapshot at index %d", l.last().Index, r.Snapshot.Index)
	}
	l.stable = l.last().Index
	l.commit = max(r.Snapshot.Index, min(r.HardState.Commit, l.stable))
	l.applied = r.Snapshot.Index
	return l, nil
}

func (l *entryLog) last() Position {
	if len(l.entries) == 0 {
		return l.base
	}
	e := l.entries[len(l.entries)-1]
	return Position{Index: e.Index, Term: e.Term}
}

// term returns the term of the entry at index, and false if the entry is compacted or does not exist.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base.Index {
		return l.base.Term, true
	}
	if index < l.base.Index || index > l.last().Index {
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

func (l *entryLog) matches(p Position) bool {
	term, ok := l.term(p.Index)
	return ok && term == p.Term
}

// after returns the entries from index+1 up to and including end. The caller must not modify them.
func (l *entryLog) after(index, end uint64) []Entry {
	if end <= index {
		return nil
	}
	return l.entries[index-l.base.Index : end-l.base.Index : end-l.base.Index]
}

// batch returns the entries after index, limited to count entries and to bytes of data, but at least
// one entry if there is any.
func (l *entryLog) batch(index uint64, count, bytes int) []Entry {
	entries := l.after(index, min(l.last().Index, index+uint64(count)))
	total := 0
	for i, e := range entries {
		total += len(e.Data)
		if i > 0 && total > bytes {
			return entries[:i]
		}
	}
	return entries
}

// conflictHint returns the last position up to index whose term is at most term.
func (l *entryLog) conflictHint(index, term uint64) Position {
	index = min(index, l.last().Index)
	for {
		t, ok := l.term(index)
		if !ok || t <= term {
			return Position{Index: index, Term: t}
		}
		index--
	}
}

// truncate removes the entries from index on. Slices returned earlier stay valid because the next
// append copies the entries.
func (l *entryLog) truncate(index uint64) {
	count := index - l.base.Index - 1
	l.entries = l.entries[:count:count]
	l.stable = min(l.stable, index-1)
}

// reset discards the log in favor of a snapshot at p.
func (l *entryLog) reset(p Position) {
	l.base = p
	l.entries = nil
	l.stable = p.Index
	l.commit = p.Index
}

// compact discards the entries up to index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base.Index {
		return
	}
	term, _ := l.term(index)
	l.entries = slices.Clone(l.after(index, l.last().Index))
	l.base = Position{Index: index, Term: term}
}
