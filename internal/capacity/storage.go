package capacity

import (
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	"github.com/greengagelock/greengagelock/internal/wal"
)

// measureStorage measures a synced commit of the write-ahead log and, as a baseline, a plain write and
// sync of the same number of bytes. The two alternate, so that other load on the disk affects both.
func measureStorage(r *recorder) error {
	for _, size := range r.sizes.Entries {
		if err := r.recordCommits(size); err != nil {
			return err
		}
	}
	return nil
}

func (r *recorder) recordCommits(size int) error {
	folder, err := os.MkdirTemp(r.folder, "commit")
	if err != nil {
		return errors.Wrap(err, "create a folder for commits")
	}
	l, err := wal.New(wal.Config{Folder: filepath.Join(folder, "log"), Identity: wal.Identity{Cluster: "capacity", Member: 1}}, telemetry.Discard())
	if err != nil {
		return err
	}
	bareFile, err := os.Create(filepath.Join(folder, "bare"))
	if err != nil {
		return errors.CombineErrors(err, l.Close())
	}
	var commits, writes []time.Duration
	for i := range r.sizes.Commits {
		start := time.Now()
		if err = l.Persist(readyWithEntry(uint64(i+1), size)); err != nil {
			break
		}
		commits = append(commits, time.Since(start))
		start = time.Now()
		if err = writeAndSync(bareFile, int64(i)*int64(size), size); err != nil {
			break
		}
		writes = append(writes, time.Since(start))
	}
	if err = errors.CombineErrors(err, errors.CombineErrors(bareFile.Close(), l.Close())); err != nil {
		return errors.Wrap(err, "measure commits")
	}
	x := float64(size) / 1e3
	r.record("commit", x, milliseconds(quantile(commits, 0.5)))
	r.record("commit-bare", x, milliseconds(quantile(writes, 0.5)))
	return nil
}

func readyWithEntry(index uint64, size int) consensus.Ready {
	return consensus.Ready{
		MustSync: true, HardState: consensus.HardState{Term: 1, Vote: 1},
		Entries: []consensus.Entry{{Index: index, Term: 1, Data: make([]byte, size)}},
	}
}

func writeAndSync(f *os.File, offset int64, size int) error {
	if _, err := f.WriteAt(make([]byte, size), offset); err != nil {
		return err
	}
	return f.Sync()
}
