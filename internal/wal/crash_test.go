package wal_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"

	"pgregory.net/rapid"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	"github.com/greengagelock/greengagelock/internal/wal"
	"github.com/greengagelock/greengagelock/internal/wal/memfs"
)

// fatalReporter is implemented by *testing.T and *rapid.T.
type fatalReporter interface {
	Fatalf(format string, args ...any)
}

// writer runs a fixed script of writes on a log and records what the log acknowledged.
type writer struct {
	t         fatalReporter
	fs        *memfs.FS
	log       *wal.Log
	hardState consensus.HardState
	snapshot  consensus.Snapshot
	entries   []consensus.Entry
}

func newWriter(t fatalReporter, seed uint64) *writer {
	return &writer{t: t, fs: memfs.New(rand.New(rand.NewPCG(seed, 4)))}
}

func (w *writer) open() (err error) {
	w.log, err = wal.New(wal.Config{
		Identity: wal.Identity{Cluster: "test", Member: 1}, SegmentSize: 512, FS: w.fs,
	}, telemetry.Discard())
	return err
}

func (w *writer) must(err error) {
	if err != nil {
		w.t.Fatalf("%v", err)
	}
}

func find(entries []consensus.Entry, index uint64) (consensus.Entry, bool) {
	i := slices.IndexFunc(entries, func(e consensus.Entry) bool { return e.Index == index })
	if i < 0 {
		return consensus.Entry{}, false
	}
	return entries[i], true
}

// checkRestored compares the restored state with what was acknowledged. A frame that was written but not
// acknowledged may be present or not.
func (w *writer) checkRestored() {
	r, err := w.log.Restored()
	w.must(err)
	if r.HardState.Term < w.hardState.Term || r.HardState.Term == w.hardState.Term && r.HardState.Vote != w.hardState.Vote {
		w.t.Fatalf("hard state %+v is lost, there is %+v", w.hardState, r.HardState)
	}
	if r.Snapshot.Index < w.snapshot.Index {
		w.t.Fatalf("the snapshot at %d is lost, there is %d", w.snapshot.Index, r.Snapshot.Index)
	}
	for _, want := range w.entries {
		e, found := find(r.Entries, want.Index)
		if want.Index <= r.Snapshot.Index || found && e.Term == want.Term && string(e.Data) == string(want.Data) {
			continue
		}
		if !found || e.Term <= want.Term {
			w.t.Fatalf("entry %d of term %d is lost", want.Index, want.Term)
		}
		break // a frame that was written but not acknowledged replaces the rest
	}
	_, err = consensus.New(consensus.Config{ID: 1, Rand: rand.New(rand.NewPCG(1, 1))}, r)
	w.must(err)
	w.hardState, w.snapshot, w.entries = r.HardState, r.Snapshot, r.Entries
}

func (w *writer) lastPosition() consensus.Position {
	if n := len(w.entries); n > 0 {
		return consensus.Position{Index: w.entries[n-1].Index, Term: w.entries[n-1].Term}
	}
	return consensus.Position{Index: w.snapshot.Index, Term: w.snapshot.Term}
}

// step runs step i of the script: it writes entries, replaces entries, or stores an own or a received
// snapshot.
func (w *writer) step(i uint64) error {
	term, last := 1+i/4, w.lastPosition().Index
	if i%9 == 7 && last > w.snapshot.Index+12 {
		return w.saveSnapshot(last - 12)
	}
	ready := consensus.Ready{MustSync: true, HardState: consensus.HardState{Term: term, Vote: consensus.MemberID(1 + term%3)}}
	if i%11 == 10 { // received snapshot
		ready.Snapshot = newSnapshot(last+20, term)
		last += 20
	} else if i%4 == 0 && last >= w.snapshot.Index+2 { // the new leader replaces entries
		last -= 2
	}
	for k := range uint64(3) {
		ready.Entries = append(ready.Entries, consensus.Entry{Index: last + 1 + k, Term: term, Data: fmt.Appendf(nil, "data-%d-%d", i, k)})
	}
	if err := w.log.Persist(ready); err != nil {
		return err
	}
	w.hardState = ready.HardState
	if ready.Snapshot != nil {
		w.snapshot, w.entries = *ready.Snapshot, nil
	}
	w.entries = slices.DeleteFunc(slices.Clone(w.entries), func(e consensus.Entry) bool { return e.Index > last })
	w.entries = append(w.entries, ready.Entries...)
	return nil
}

func newSnapshot(index, term uint64) *consensus.Snapshot {
	return &consensus.Snapshot{
		SnapshotMeta: consensus.SnapshotMeta{Index: index, Term: term, Members: consensus.Members{Voters: []consensus.MemberID{1, 2, 3}}},
		Data:         []byte(strings.Repeat("s", 100)),
	}
}

func (w *writer) saveSnapshot(index uint64) error {
	e, _ := find(w.entries, index)
	s := newSnapshot(index, e.Term)
	err := w.log.SaveSnapshot(*s, index-min(index, 3))
	if err == nil {
		w.snapshot = *s
	}
	return err
}

const scriptLength = 40

// Guards against a crash, during any storage operation, that loses acknowledged data or leaves a data
// folder that cannot be opened or written.
func TestCrashAtEveryOperation(t *testing.T) {
	for seed := range uint64(4) {
		for failAt := 1; ; failAt++ {
			w := newWriter(t, seed)
			w.fs.FailNth(failAt, nil)
			crashed := w.open() != nil
			for i := uint64(0); i < scriptLength && !crashed; i++ {
				crashed = w.step(i) != nil
			}
			if !crashed {
				break
			}
			w.fs.Crash()
			for round := range uint64(3) { // also crashes right after a repair
				if err := w.open(); err != nil {
					t.Fatalf("seed %d, crash at %d, start %d: %v", seed, failAt, round, err)
				}
				w.checkRestored()
				if err := w.step(100 + round); err != nil {
					t.Fatalf("seed %d, crash at %d, write after start %d: %v", seed, failAt, round, err)
				}
				w.fs.Crash()
			}
		}
	}
}

// Guards against a log that accepts writes after a failed write or sync, that cannot be read after it, or
// that, once reopened, returns data that never reached the disk.
func TestFailedOperation(t *testing.T) {
	for code, cause := range map[result.Code]error{result.StorageFull: syscall.ENOSPC, result.StorageFailed: syscall.EIO} {
		for failAt := 1; failAt < 120; failAt++ {
			w := newWriter(t, uint64(failAt))
			w.must(w.open())
			w.fs.FailNth(failAt, cause)
			var err error
			for i := uint64(0); i < scriptLength && err == nil; i++ {
				err = w.step(i)
			}
			if err == nil || result.CodeOf(err) != code {
				t.Fatalf("operation %d fails with %v, want code %d", failAt, err, code)
			}
			if failed := w.log.Err(); failed != nil && w.log.Persist(consensus.Ready{MustSync: true}) == nil {
				t.Fatalf("operation %d: the log accepts writes after %v", failAt, failed)
			}
			w.checkRestored() // still readable
			w.must(w.log.Close())
			for range 2 { // the first start follows a failed sync, the second a power failure
				if err := w.open(); err != nil {
					t.Fatalf("operation %d: %v", failAt, err)
				}
				w.checkRestored()
				w.fs.Crash()
			}
		}
	}
}

// byteLocation says where in a file of frames a byte is.
type byteLocation struct {
	inPadding   bool // not covered by the checksum
	inLastFrame bool
}

// locateByte returns the location of the byte at an offset in the content of a file.
func locateByte(content []byte, offset int) (d byteLocation) {
	for start := 0; start <= offset; {
		end := start + 24 + int(binary.LittleEndian.Uint32(content[start+4:]))
		next := (end + 7) / 8 * 8
		d = byteLocation{inPadding: offset-start >= 20 && offset-start < 24 || offset >= end, inLastFrame: next >= len(content)}
		start = next
	}
	return d
}

// Guards against damage in the middle of the log that is treated as an incomplete last frame, and against
// an error that does not name file and offset.
func TestDamage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWriter(t, 1)
		w.must(w.open())
		for i := range rapid.Uint64Range(3, 20).Draw(t, "steps") {
			w.must(w.step(i))
		}
		names, _ := w.fs.List()
		name := rapid.SampledFrom(names).Draw(t, "file")
		content := w.fs.Content(name)
		offset := rapid.IntRange(0, len(content)-1).Draw(t, "offset")
		d := locateByte(content, offset)
		segments := slices.DeleteFunc(names, func(n string) bool { return !strings.HasSuffix(n, ".log") })
		incomplete := name == segments[len(segments)-1] && d.inLastFrame
		content[offset] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		w.must(w.log.Close())
		err := w.open()
		switch {
		case err == nil && !d.inPadding && !incomplete:
			t.Fatalf("damage at %s:%d was not detected", name, offset)
		case err == nil:
		case result.CodeOf(err) != result.StorageCorrupt || !strings.Contains(err.Error(), name) || !strings.Contains(err.Error(), "offset"):
			t.Fatalf("damage at %s:%d is reported as %v", name, offset, err)
		}
	})
}
