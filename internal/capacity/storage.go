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

// measureStorage measures a synced commit beside a bare write and sync of the same bytes. The two
// alternate, so that other load on the disk meets both.
func measureStorage(r *recorder) error {
	for _, size := range r.sizes.Entries {
		if err := r.commits(size); err != nil {
			return err
		}
	}
	return nil
}

func (r *recorder) commits(size int) error {
	folder, err := os.MkdirTemp(r.folder, "commit")
	if err != nil {
		return errors.Wrap(err, "make a folder for commits")
	}
	l, err := wal.New(wal.Config{Folder: filepath.Join(folder, "log"), Identity: wal.Identity{Cluster: "capacity", Member: 1}}, telemetry.Discard())
	if err != nil {
		return err
	}
	bare, err := os.Create(filepath.Join(folder, "bare"))
	if err != nil {
		return errors.CombineErrors(err, l.Close())
	}
	var commits, writes []time.Duration
	for i := range r.sizes.Commits {
		start := time.Now()
		if err = l.Persist(oneEntry(uint64(i+1), size)); err != nil {
			break
		}
		commits = append(commits, time.Since(start))
		start = time.Now()
		if err = bareWrite(bare, int64(i)*int64(size), size); err != nil {
			break
		}
		writes = append(writes, time.Since(start))
	}
	if err = errors.CombineErrors(err, errors.CombineErrors(bare.Close(), l.Close())); err != nil {
		return errors.Wrap(err, "measure commits")
	}
	x := float64(size) / 1e3
	r.point("commit", x, milliseconds(quantile(commits, 0.5)))
	r.point("commit-bare", x, milliseconds(quantile(writes, 0.5)))
	return nil
}

func oneEntry(index uint64, size int) consensus.Ready {
	return consensus.Ready{
		MustSync: true, HardState: consensus.HardState{Term: 1, Vote: 1},
		Entries: []consensus.Entry{{Index: index, Term: 1, Data: make([]byte, size)}},
	}
}

func bareWrite(f *os.File, offset int64, size int) error {
	if _, err := f.WriteAt(make([]byte, size), offset); err != nil {
		return err
	}
	return f.Sync()
}
