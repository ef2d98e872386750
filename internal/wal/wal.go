// Package wal keeps the durable state of a member of the replicated log under one data folder:
// hard state, entries and snapshots.
//
// The log is a row of segment files of frames with checksums. One Persist writes one frame and
// syncs it once. After a crash an incomplete last frame is cut; any other damage is reported with
// file and offset. After a failed write or sync the log refuses further writes until it is opened
// again, because a second sync can report success for data that was lost.
//
// A Log has one owner; its methods must not be called at the same time.
package wal

import (
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

// DefaultSegmentSize is the size from which on a new segment is started. It bounds what is read
// again at a start and what a snapshot cannot free.
const DefaultSegmentSize = 4 << 20

// Identity tells whose data folder it is.
type Identity struct {
	Cluster string
	Member  consensus.MemberID
}

// Config holds the settings of a Log.
type Config struct {
	Folder   string
	Identity Identity
	// SegmentSize is DefaultSegmentSize if zero.
	SegmentSize int64
	// FS is a DirFS of Folder if nil.
	FS FS
}

// Module provides a Log from a Config.
var Module = fx.Module("wal", fx.Provide(New))

// Log is the durable state of a member.
type Log struct {
	fs       FS
	config   Config
	metrics  *Metrics
	lock     io.Closer
	restored *consensus.Restored

	segments []segment // the last one is active
	active   File
	size     int64
	sequence uint64 // of the last frame
	hard     consensus.HardState
	// reset is set when the next frame must say that the log starts after a snapshot.
	reset  *consensus.Position
	failed error
}

// segment is a file of frames.
type segment struct {
	name string
	top  uint64 // highest index of an entry in it
}

// New opens the data folder, or prepares an empty one.
func New(cfg Config, t telemetry.Handle) (*Log, error) {
	if cfg.SegmentSize == 0 {
		cfg.SegmentSize = DefaultSegmentSize
	}
	if cfg.Identity.Cluster == "" || cfg.Identity.Member == 0 {
		return nil, result.New(result.SettingsInvalid, "cluster and member ID are required for a data folder")
	}
	metrics, err := newMetrics(t.Metrics)
	if err != nil {
		return nil, err
	}
	l := &Log{fs: cfg.FS, config: cfg, metrics: metrics}
	if l.fs == nil {
		if l.fs, err = NewDirFS(cfg.Folder); err != nil {
			return nil, storageError(err, "open the data folder")
		}
	}
	if l.lock, err = l.fs.Lock(lockName); err != nil {
		return nil, storageError(err, "lock the data folder")
	}
	if err := l.open(); err != nil {
		return nil, errors.CombineErrors(err, l.Close())
	}
	metrics.segments.Set(float64(len(l.segments)))
	return l, nil
}

// Restored returns what the folder holds. The first call after New hands over what New has read;
// later calls read the folder again, which also works after a failed write.
func (l *Log) Restored() (consensus.Restored, error) {
	if l.restored == nil {
		r, err := l.read()
		if err != nil {
			return consensus.Restored{}, err
		}
		return r.restored, nil
	}
	r := *l.restored
	l.restored = nil
	return r, nil
}

// Err returns why the log refuses writes, or nil.
func (l *Log) Err() error { return l.failed }

// Persist stores the snapshot, hard state and entries of r and returns once they are synced.
func (l *Log) Persist(r consensus.Ready) error {
	if l.failed != nil {
		return l.failed
	}
	l.restored = nil
	if err := l.persist(r); err != nil {
		return l.fail(err, "write the log")
	}
	return nil
}

func (l *Log) persist(r consensus.Ready) error {
	if r.Snapshot != nil {
		// The snapshot is stored first: the entries that follow it must not be read without it.
		if err := l.writeSnapshot(*r.Snapshot); err != nil {
			return err
		}
		l.reset = &consensus.Position{Index: r.Snapshot.Index, Term: r.Snapshot.Term}
	}
	l.hard = r.HardState
	if !r.MustSync {
		// Losing the commit index is harmless, so it waits for the next frame.
		return nil
	}
	if l.size >= l.config.SegmentSize {
		if err := l.addSegment(l.sequence + 1); err != nil {
			return err
		}
	}
	if err := l.writeFrame(l.buildFrame(r.Entries)); err != nil {
		return err
	}
	l.reset = nil
	active := &l.segments[len(l.segments)-1]
	if n := len(r.Entries); n > 0 {
		active.top = max(active.top, r.Entries[n-1].Index)
	}
	if r.Snapshot != nil {
		return l.removeOld(r.Snapshot.SnapshotMeta, r.Snapshot.Index)
	}
	return nil
}

func (l *Log) buildFrame(entries []consensus.Entry) []byte {
	size := hardStateSize + baseSize
	for _, e := range entries {
		size += entrySize + len(e.Data)
	}
	b := appendHardState(newFrame(size), l.hard)
	if l.reset != nil {
		b = appendBase(b, *l.reset)
	}
	for _, e := range entries {
		b = appendEntry(b, e)
	}
	return sealFrame(b, l.sequence+1)
}

func (l *Log) writeFrame(b []byte) error {
	if _, err := l.active.WriteAt(b, l.size); err != nil {
		return err
	}
	if err := l.sync(l.active); err != nil {
		return err
	}
	l.size += int64(len(b))
	l.sequence++
	l.metrics.frames.Inc()
	l.metrics.bytes.Add(float64(len(b)))
	return nil
}

func (l *Log) sync(f File) error {
	start := time.Now()
	err := f.Sync()
	l.metrics.syncSeconds.Observe(time.Since(start).Seconds())
	return err
}

// SaveSnapshot stores a snapshot that this member made, and removes older snapshots and the
// segments that hold no entry after keep. A full disk leaves the log usable.
func (l *Log) SaveSnapshot(s consensus.Snapshot, keep uint64) error {
	if l.failed != nil {
		return l.failed
	}
	l.restored = nil
	err := l.writeSnapshot(s)
	if err != nil {
		wrapped := storageError(err, "write a snapshot")
		if result.CodeOf(wrapped) == result.StorageFull {
			return wrapped
		}
		return l.fail(err, "write a snapshot")
	}
	if err := l.removeOld(s.SnapshotMeta, min(keep, s.Index)); err != nil {
		return l.fail(err, "remove old files")
	}
	return nil
}

// Close releases the data folder.
func (l *Log) Close() error {
	var err error
	if l.active != nil {
		err = l.active.Close()
		l.active = nil
	}
	if l.lock != nil {
		err = errors.CombineErrors(err, l.lock.Close())
		l.lock = nil
	}
	if l.failed == nil {
		l.failed = result.New(result.StorageFailed, "the log is closed")
	}
	return err
}

func (l *Log) fail(err error, action string) error {
	l.failed = storageError(err, action)
	l.metrics.failed.Set(1)
	return l.failed
}

// storageError gives an error of the file system its result code.
func storageError(err error, action string) error {
	if result.CodeOf(err) != result.Internal {
		return err
	}
	code := result.StorageFailed
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		code = result.StorageFull
	}
	return errors.Wrap(result.New(code, "%s: %v", action, err), "storage")
}
