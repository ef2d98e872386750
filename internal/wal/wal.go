// Package wal is the write-ahead log of a member of the replicated log. It stores hard state, entries
// and snapshots in one data folder.
//
// The log is a sequence of segment files, which consist of frames with checksums. One Persist writes
// one frame and syncs it once. After a crash an incomplete last frame is truncated; any other damage
// is reported with file and offset. After a failed write or sync the log refuses further writes until
// it is reopened, because a second sync can report success for data that was lost.
//
// A Log is not safe for concurrent use.
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

// DefaultSegmentSize is the size in bytes at which a segment is closed and a new one is started. It
// bounds how much of the log is read at a start although a snapshot covers it, and how much disk
// space a snapshot cannot free.
const DefaultSegmentSize = 4 << 20

// Identity names the member that a data folder belongs to.
type Identity struct {
	Cluster string
	Member  consensus.MemberID
}

// Config holds the settings of a Log.
type Config struct {
	Folder   string
	Identity Identity
	// SegmentSize is in bytes; zero means DefaultSegmentSize.
	SegmentSize int64
	// FS holds the files; nil means a DirFS of Folder.
	FS FS
}

// Module provides a Log from a Config.
var Module = fx.Module("wal", fx.Provide(New))

// Log stores the durable state of a member.
type Log struct {
	fs       FS
	config   Config
	metrics  *Metrics
	lock     io.Closer
	restored *consensus.Restored

	segments     []segment // in order; the last one is active
	active       File
	activeSize   int64
	lastSequence uint64 // of the last frame
	hardState    consensus.HardState
	// pendingBase is set if the next frame must record that the log starts after a snapshot.
	pendingBase *consensus.Position
	failure     error // why the log refuses writes, or nil
}

// segment is a file of the log.
type segment struct {
	name         string
	highestIndex uint64 // of the entries in the segment
}

// New opens the data folder and repairs the end of the log. An empty folder is initialized.
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

// Restored returns the stored state. The first call after New returns what New has read, if nothing
// was written since; other calls read the folder again, which also works after a failed write.
func (l *Log) Restored() (consensus.Restored, error) {
	if l.restored == nil {
		r, err := l.readFolder()
		if err != nil {
			return consensus.Restored{}, err
		}
		return r.restored, nil
	}
	r := *l.restored
	l.restored = nil
	return r, nil
}

// Err returns the error for which the log refuses writes, or nil.
func (l *Log) Err() error { return l.failure }

// Persist stores the snapshot, hard state and entries of r and returns once they are synced.
func (l *Log) Persist(r consensus.Ready) error {
	if l.failure != nil {
		return l.failure
	}
	l.restored = nil
	if err := l.persist(r); err != nil {
		return l.fail(err, "write the log")
	}
	return nil
}

// persist is Persist without its error handling.
func (l *Log) persist(r consensus.Ready) error {
	if r.Snapshot != nil {
		// The snapshot is stored first, because the entries after it are of no use without it.
		if err := l.writeSnapshot(*r.Snapshot); err != nil {
			return err
		}
		l.pendingBase = &consensus.Position{Index: r.Snapshot.Index, Term: r.Snapshot.Term}
	}
	l.hardState = r.HardState
	if !r.MustSync {
		// Only the commit index can have changed. Losing it is harmless, so the next frame stores it.
		return nil
	}
	if l.activeSize >= l.config.SegmentSize {
		if err := l.addSegment(l.lastSequence + 1); err != nil {
			return err
		}
	}
	if err := l.writeFrame(l.encodeFrame(r.Entries)); err != nil {
		return err
	}
	l.pendingBase = nil
	active := &l.segments[len(l.segments)-1]
	if n := len(r.Entries); n > 0 {
		active.highestIndex = max(active.highestIndex, r.Entries[n-1].Index)
	}
	if r.Snapshot != nil {
		return l.removeObsolete(r.Snapshot.SnapshotMeta, r.Snapshot.Index)
	}
	return nil
}

// encodeFrame returns a frame with the hard state, the pending base and the given entries.
func (l *Log) encodeFrame(entries []consensus.Entry) []byte {
	size := hardStateSize + baseSize
	for _, e := range entries {
		size += entrySize + len(e.Data)
	}
	b := appendHardState(newFrame(size), l.hardState)
	if l.pendingBase != nil {
		b = appendBase(b, *l.pendingBase)
	}
	for _, e := range entries {
		b = appendEntry(b, e)
	}
	return sealFrame(b, l.lastSequence+1)
}

// writeFrame appends a frame to the active segment and syncs it.
func (l *Log) writeFrame(b []byte) error {
	if _, err := l.active.WriteAt(b, l.activeSize); err != nil {
		return err
	}
	if err := l.sync(l.active); err != nil {
		return err
	}
	l.activeSize += int64(len(b))
	l.lastSequence++
	l.metrics.frames.Inc()
	l.metrics.bytes.Add(float64(len(b)))
	return nil
}

// sync syncs a file and measures the duration.
func (l *Log) sync(f File) error {
	start := time.Now()
	err := f.Sync()
	l.metrics.syncSeconds.Observe(time.Since(start).Seconds())
	return err
}

// SaveSnapshot stores a snapshot that this member made, and removes older snapshots and the oldest
// segments without an entry after index keepAfter. If the disk is full, the log stays usable.
func (l *Log) SaveSnapshot(s consensus.Snapshot, keepAfter uint64) error {
	if l.failure != nil {
		return l.failure
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
	if err := l.removeObsolete(s.SnapshotMeta, min(keepAfter, s.Index)); err != nil {
		return l.fail(err, "remove old files")
	}
	return nil
}

// Close closes the files and unlocks the data folder.
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
	if l.failure == nil {
		l.failure = result.New(result.StorageFailed, "the log is closed")
	}
	return err
}

// fail makes the log refuse further writes.
func (l *Log) fail(err error, action string) error {
	l.failure = storageError(err, action)
	l.metrics.failed.Set(1)
	return l.failure
}

// storageError wraps an error of the file system with its result code. Errors that have a code are
// returned as they are.
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
