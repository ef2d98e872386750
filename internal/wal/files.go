package wal

import (
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/consensus"
)

// addSegment creates a segment and makes it the active one. Its first frame, with sequence number
// first, repeats the hard state, so that older segments can be removed.
func (l *Log) addSegment(first uint64) error {
	name := segmentName(first)
	f, err := l.fs.Create(name)
	if err != nil {
		return err
	}
	b := sealFrame(appendHardState(newFrame(hardStateSize), l.hardState), first)
	if err := l.writeAndSync(f, b); err != nil {
		return errors.CombineErrors(err, f.Close())
	}
	if err := l.fs.SyncDir(); err != nil {
		return errors.CombineErrors(err, f.Close())
	}
	if l.active != nil {
		if err := l.active.Close(); err != nil {
			return errors.CombineErrors(err, f.Close())
		}
	}
	l.active, l.activeSize, l.lastSequence = f, int64(len(b)), first
	l.segments = append(l.segments, segment{name: name})
	l.metrics.segments.Set(float64(len(l.segments)))
	return nil
}

// writeAndSync writes the content to the start of a file and syncs the file.
func (l *Log) writeAndSync(f File, content []byte) error {
	if _, err := f.WriteAt(content, 0); err != nil {
		return err
	}
	return l.sync(f)
}

// replaceFile writes a file atomically: it writes and syncs a temporary file and renames it.
func (l *Log) replaceFile(name string, content []byte) error {
	temp := name + tempSuffix
	f, err := l.fs.Create(temp)
	if err != nil {
		return err
	}
	err = errors.CombineErrors(l.writeAndSync(f, content), f.Close())
	if err != nil {
		return errors.CombineErrors(err, l.fs.Remove(temp))
	}
	if err := l.fs.Rename(temp, name); err != nil {
		return err
	}
	return l.fs.SyncDir()
}

// writeSnapshot writes a snapshot file.
func (l *Log) writeSnapshot(s consensus.Snapshot) error {
	content, err := encodeSnapshot(s)
	if err != nil {
		return err
	}
	return l.replaceFile(snapshotName(s.SnapshotMeta), content)
}

// removeObsolete removes all snapshots before newest, and the oldest segments that hold no entry after
// index keepAfter.
func (l *Log) removeObsolete(newest consensus.SnapshotMeta, keepAfter uint64) error {
	names, err := l.fs.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if strings.HasSuffix(name, snapshotSuffix) && name < snapshotName(newest) {
			if err := l.fs.Remove(name); err != nil {
				return err
			}
		}
	}
	for len(l.segments) > 1 && l.segments[0].highestIndex <= keepAfter {
		// The folder is synced after each removal. Otherwise a crash could leave a gap between segments,
		// which counts as damage.
		if err := l.fs.Remove(l.segments[0].name); err != nil {
			return err
		}
		if err := l.fs.SyncDir(); err != nil {
			return err
		}
		l.segments = l.segments[1:]
	}
	l.metrics.segments.Set(float64(len(l.segments)))
	return nil
}
