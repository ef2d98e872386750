package wal

import (
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/consensus"
)

// addSegment starts a new segment. Its first frame repeats the hard state, so that older segments
// can be removed. first is its sequence number.
func (l *Log) addSegment(first uint64) error {
	name := segmentName(first)
	f, err := l.fs.Create(name)
	if err != nil {
		return err
	}
	b := sealFrame(appendHardState(newFrame(hardStateSize), l.hard), first)
	if err := l.fillFile(f, b); err != nil {
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
	l.active, l.size, l.sequence = f, int64(len(b)), first
	l.segments = append(l.segments, segment{name: name})
	l.metrics.segments.Set(float64(len(l.segments)))
	return nil
}

func (l *Log) fillFile(f File, content []byte) error {
	if _, err := f.WriteAt(content, 0); err != nil {
		return err
	}
	return l.sync(f)
}

// writeFile writes a whole file under a temporary name and renames it, so that the name never
// stands for an incomplete file.
func (l *Log) writeFile(name string, content []byte) error {
	temp := name + tempSuffix
	f, err := l.fs.Create(temp)
	if err != nil {
		return err
	}
	err = errors.CombineErrors(l.fillFile(f, content), f.Close())
	if err != nil {
		return errors.CombineErrors(err, l.fs.Remove(temp))
	}
	if err := l.fs.Rename(temp, name); err != nil {
		return err
	}
	return l.fs.SyncDir()
}

func (l *Log) writeSnapshot(s consensus.Snapshot) error {
	content, err := encodeSnapshot(s)
	if err != nil {
		return err
	}
	return l.writeFile(snapshotName(s.SnapshotMeta), content)
}

// removeOld removes the snapshots before newest and the oldest segments that hold no entry after
// keep.
func (l *Log) removeOld(newest consensus.SnapshotMeta, keep uint64) error {
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
	for len(l.segments) > 1 && l.segments[0].top <= keep {
		// The folder is synced after each removal, because a gap between segments is damage.
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
