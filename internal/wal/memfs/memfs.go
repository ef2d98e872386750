// Package memfs is a file system in memory for tests of what keeps its state in package wal. It
// loses what was not synced when it crashes, and can fail or cut any single operation. It is not
// linked by product binaries.
package memfs

import (
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/wal"
)

// ErrCrashed is returned by every operation between a planned crash and Crash.
var ErrCrashed = errors.New("the process has crashed")

// FS implements wal.FS. Each change counts as one operation.
type FS struct {
	rng        *rand.Rand
	names      map[string]*file
	durable    map[string]*file
	pending    []func(map[string]*file) // changes of names that were not synced
	locked     bool
	operations int
	failAt     int // zero means never
	failWith   error
	crashed    bool
}

var _ wal.FS = (*FS)(nil)

type file struct {
	fs      *FS
	content []byte
	durable []byte
	pending []change
}

// change is a write, or a truncation to the size at if data is nil.
type change struct {
	data []byte
	at   int64
}

func (c change) apply(content []byte) []byte {
	if c.data == nil {
		return slices.Clone(content[:min(c.at, int64(len(content)))])
	}
	if end := int(c.at) + len(c.data); end > len(content) {
		content = append(content, make([]byte, end-len(content))...)
	}
	copy(content[c.at:], c.data)
	return content
}

// New returns an empty file system. rng decides what a crash loses.
func New(rng *rand.Rand) *FS {
	return &FS{rng: rng, names: map[string]*file{}, durable: map[string]*file{}}
}

// FailAfter lets the operation number count from now fail with err; without err, the process
// crashes half-way through it. A count of zero cancels the plan.
func (m *FS) FailAfter(count int, err error) {
	m.failAt, m.failWith = m.operations+count, err
	if count == 0 {
		m.failAt = 0
	}
}

// Crashed reports whether a planned crash took place.
func (m *FS) Crashed() bool { return m.crashed }

// Crash loses an arbitrary part of what was not synced, and releases the lock. The files can be
// opened again.
func (m *FS) Crash() {
	for _, name := range slices.Sorted(maps.Keys(m.names)) {
		m.names[name].crash()
	}
	for _, change := range m.pending[:m.rng.IntN(len(m.pending)+1)] {
		change(m.durable)
	}
	m.names, m.pending = maps.Clone(m.durable), nil
	m.crashed, m.locked, m.failAt = false, false, 0
}

// Content returns the content of a file. Changes to it damage the file.
func (m *FS) Content(name string) []byte { return m.names[name].content }

// Create implements wal.FS.
func (m *FS) Create(name string) (wal.File, error) {
	f := &file{fs: m}
	return f, m.changeNames(func(names map[string]*file) { names[name] = f })
}

// Open implements wal.FS.
func (m *FS) Open(name string) (wal.File, error) {
	f := m.names[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return f, nil
}

// Rename implements wal.FS.
func (m *FS) Rename(from, to string) error {
	return m.changeNames(func(names map[string]*file) {
		if f := names[from]; f != nil {
			names[to] = f
		}
		delete(names, from)
	})
}

// Remove implements wal.FS.
func (m *FS) Remove(name string) error {
	return m.changeNames(func(names map[string]*file) { delete(names, name) })
}

// List implements wal.FS.
func (m *FS) List() ([]string, error) { return slices.Sorted(maps.Keys(m.names)), nil }

// SyncDir implements wal.FS.
func (m *FS) SyncDir() error {
	_, err := m.step()
	if err == nil {
		m.durable = maps.Clone(m.names)
	}
	if !m.crashed {
		m.pending = nil // a failed sync is not made up for by the next one
	}
	return err
}

// Lock implements wal.FS.
func (m *FS) Lock(string) (io.Closer, error) {
	if m.locked {
		return nil, errors.New("the file system is locked")
	}
	m.locked = true
	return unlocker{m}, nil
}

type unlocker struct{ fs *FS }

func (u unlocker) Close() error {
	u.fs.locked = false
	return nil
}

// step counts an operation. cut means that the operation takes place in part before the crash.
func (m *FS) step() (cut bool, err error) {
	if m.crashed {
		return false, ErrCrashed
	}
	m.operations++
	if m.failAt == 0 || m.operations < m.failAt {
		return false, nil
	}
	m.failAt = 0
	if m.failWith != nil {
		return false, m.failWith
	}
	m.crashed = true
	return true, ErrCrashed
}

func (m *FS) changeNames(change func(map[string]*file)) error {
	if _, err := m.step(); err != nil {
		return err
	}
	change(m.names)
	m.pending = append(m.pending, change)
	return nil
}

// crash keeps each change that was not synced, a part of it, or nothing of it.
func (f *file) crash() {
	for _, c := range f.pending {
		switch f.fs.rng.IntN(3) {
		case 0:
			f.durable = c.apply(f.durable)
		case 1:
			if len(c.data) > 0 {
				c.data = c.data[:f.fs.rng.IntN(len(c.data))]
				f.durable = c.apply(f.durable)
			}
		}
	}
	f.content, f.pending = slices.Clone(f.durable), nil
}

func (f *file) change(c change) error {
	cut, err := f.fs.step()
	if err != nil && !cut {
		return err
	}
	if cut && len(c.data) > 0 {
		c.data = c.data[:f.fs.rng.IntN(len(c.data))]
	}
	f.content = c.apply(f.content)
	f.pending = append(f.pending, c)
	return err
}

// WriteAt implements wal.File.
func (f *file) WriteAt(b []byte, at int64) (int, error) {
	if err := f.change(change{data: slices.Clone(b), at: at}); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Truncate implements wal.File.
func (f *file) Truncate(size int64) error { return f.change(change{at: size}) }

// Sync implements wal.File.
func (f *file) Sync() error {
	cut, err := f.fs.step()
	if cut {
		return err // Crash decides what reached the disk
	}
	if err == nil {
		for _, c := range f.pending {
			f.durable = c.apply(f.durable)
		}
	}
	if !f.fs.crashed {
		f.pending = nil // after a failed sync the system takes the pages for clean
	}
	return err
}

// ReadAt implements wal.File.
func (f *file) ReadAt(b []byte, at int64) (int, error) {
	if at >= int64(len(f.content)) {
		return 0, io.EOF
	}
	n := copy(b, f.content[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

// Size implements wal.File.
func (f *file) Size() (int64, error) { return int64(len(f.content)), nil }

// Close implements wal.File.
func (f *file) Close() error { return nil }
