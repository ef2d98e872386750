package wal_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"testing"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	"github.com/greengagelock/greengagelock/internal/wal"
)

func benchLog(b *testing.B, folder string) *wal.Log {
	b.Helper()
	l, err := wal.New(wal.Config{Folder: folder, Identity: wal.Identity{Cluster: "bench", Member: 1}}, telemetry.Discard())
	check(b, err)
	return l
}

func check(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

// entrySize is the size of an entry in bytes, about that of a liveness change of a few targets.
const entrySize = 256

// BenchmarkSyncedCommit compares persisting one entry with a bare write and sync of the same size.
func BenchmarkSyncedCommit(b *testing.B) {
	for _, size := range []int{entrySize, 64 << 10} {
		b.Run(fmt.Sprintf("bytes=%d/bare write and sync", size), func(b *testing.B) {
			f, err := os.Create(filepath.Join(b.TempDir(), "file"))
			check(b, err)
			data, offset := make([]byte, size), int64(0)
			for b.Loop() {
				_, err := f.WriteAt(data, offset)
				check(b, err)
				check(b, f.Sync())
				offset += int64(size)
			}
			check(b, f.Close())
		})
		b.Run(fmt.Sprintf("bytes=%d/log", size), func(b *testing.B) { persistBatches(b, 1, size) })
	}
}

// BenchmarkGroupCommit measures batches of entries that are persisted with one sync.
func BenchmarkGroupCommit(b *testing.B) {
	for _, count := range []int{1, 8, 64, 256} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) { persistBatches(b, count, entrySize) })
	}
}

func persistBatches(b *testing.B, count, size int) {
	l := benchLog(b, b.TempDir())
	index := uint64(1)
	for b.Loop() {
		check(b, l.Persist(batch(index, count, size)))
		index += uint64(count)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*count), "ns/entry")
	check(b, l.Close())
}

const replayEntries = 10_000

// BenchmarkReplay measures a start with 10,000 entries. The baseline only reads the files.
func BenchmarkReplay(b *testing.B) {
	folder := b.TempDir()
	l := benchLog(b, folder)
	for i := range replayEntries / 100 {
		check(b, l.Persist(batch(uint64(1+100*i), 100, entrySize)))
	}
	check(b, l.Close())
	b.Run("bare read", func(b *testing.B) {
		files, _ := filepath.Glob(filepath.Join(folder, "*.log"))
		for b.Loop() {
			for _, name := range files {
				_, err := os.ReadFile(name)
				check(b, err)
			}
		}
	})
	b.Run("log", func(b *testing.B) {
		for b.Loop() {
			l := benchLog(b, folder)
			r, err := l.Restored()
			if err != nil || len(r.Entries) != replayEntries {
				b.Fatalf("%d entries: %v", len(r.Entries), err)
			}
			_, err = consensus.New(consensus.Config{ID: 1, Rand: rand.New(rand.NewPCG(1, 1))}, r)
			check(b, err)
			check(b, l.Close())
		}
	})
}

// BenchmarkMemory compares the memory of a log of 10,000 entries with that of the entries alone.
func BenchmarkMemory(b *testing.B) {
	heapBytes := func() uint64 {
		runtime.GC()
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return s.HeapAlloc
	}
	var logBytes, dataBytes uint64
	for b.Loop() {
		before := heapBytes()
		entries := batch(1, replayEntries, entrySize).Entries
		dataBytes = heapBytes() - before
		node, err := consensus.New(consensus.Config{ID: 1, Rand: rand.New(rand.NewPCG(1, 1))}, consensus.Restored{
			HardState: consensus.HardState{Term: 1}, Entries: entries,
		})
		check(b, err)
		entries = nil
		logBytes = heapBytes() - before
		runtime.KeepAlive(node)
		runtime.KeepAlive(entries)
	}
	b.ReportMetric(float64(logBytes)/1e6, "MB-log")
	b.ReportMetric(float64(dataBytes)/1e6, "MB-entries-alone")
}
