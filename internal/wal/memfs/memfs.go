// Package memfs is an in-memory wal.FS for tests. A simulated crash loses an arbitrary part of what
// was not synced, and any single operation can be made to fail or to complete in part. It is not
// linked into product binaries.
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

// ErrCrashed is returned by every operation between a scheduled crash and the call of Crash.
var ErrCrashed = errors.New("the process has crashed")

// FS implements wal.FS. Each change or sync of a file or of names counts as one operation.
type FS struct {
	rng          *rand.Rand
	files        map[string]*file
	durableFiles map[string]*file
	pendingNames []func(map[string]*file) // changes of names that are not synced
	locked       bool
	operations   int
	failAt       int   // number of the operation that fails, or zero
	failWith     error // nil means that the operation crashes
	crashed      bool
}

var _ wal.FS = (*FS)(nil)

// file is a file with its current content, the content on disk, and the changes that are not synced.
type file struct {
	fs      *FS
	content []byte
	durable []byte
	pending []change
}

// change is a write at an offset, or, if data is nil, a truncation to offset bytes.
type change struct {
	data   []byte
	offset int64
}

// apply returns the content after the change.
func (c change) apply(content []byte) []byte {
	if c.data == nil {
		return slices.Clone(content[:min(c.offset, int64(len(content)))])
	}
	if end := int(c.offset) + len(c.data); end > len(content) {
		content = append(content, make([]byte, end-len(content))...)
	}
	copy(content[c.offset:], c.data)
	return content
}

// New returns an empty file system. rng selects what a crash loses.
func New(rng *rand.Rand) *FS {
	return &FS{rng: rng, files: map[string]*file{}, durableFiles: map[string]*file{}}
}

// FailNth makes the count-th operation from now fail with err. If err is nil, the process crashes
// during that operation, which then takes effect in part or not at all. A count of zero cancels an
// earlier call.
func (m *FS) FailNth(count int, err error) {
	m.failAt, m.failWith = m.operations+count, err
	if count == 0 {
		m.failAt = 0
	}
}

// Crashed reports whether a scheduled crash has occurred and Crash was not called yet.
func (m *FS) Crashed() bool { return m.crashed }

// Crash drops an arbitrary part of what was not synced and releases the lock. Afterwards the files can be
// opened again, as after a restart.
func (m *FS) Crash() {
	for _, name := range slices.Sorted(maps.Keys(m.files)) {
		m.files[name].crash()
	}
	for _, change := range m.pendingNames[:m.rng.IntN(len(m.pendingNames)+1)] {
		change(m.durableFiles)
	}
	m.files, m.pendingNames = maps.Clone(m.durableFiles), nil
	m.crashed, m.locked, m.failAt = false, false, 0
}

// Content returns the content of a file, not a copy: tests damage a file by changing it.
func (m *FS) Content(name string) []byte { return m.files[name].content }

// Create implements wal.FS.
func (m *FS) Create(name string) (wal.File, error) {
	f := &file{fs: m}
	return f, m.changeNames(func(names map[string]*file) { names[name] = f })
}

// Open implements wal.FS.
func (m *FS) Open(name string) (wal.File, error) {
	f := m.files[name]
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
func (m *FS) List() ([]string, error) { return slices.Sorted(maps.Keys(m.files)), nil }

// SyncDir implements wal.FS.
func (m *FS) SyncDir() error {
	_, err := m.countOperation()
	if err == nil {
		m.durableFiles = maps.Clone(m.files)
	}
	if !m.crashed {
		m.pendingNames = nil // the next sync does not repeat what a failed one lost
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

// unlocker releases the lock when it is closed.
type unlocker struct{ fs *FS }

func (u unlocker) Close() error {
	u.fs.locked = false
	return nil
}

// countOperation counts an operation and returns its scheduled error. isPartial is set if the process
// crashes during the operation, so that a write changes the file only in part.
func (m *FS) countOperation() (isPartial bool, err error) {
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

// changeNames runs an operation that changes names.
func (m *FS) changeNames(change func(map[string]*file)) error {
	if _, err := m.countOperation(); err != nil {
		return err
	}
	change(m.files)
	m.pendingNames = append(m.pendingNames, change)
	return nil
}

// crash keeps all, a part or nothing of each change that was not synced.
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

// change runs an operation that changes the content.
func (f *file) change(c change) error {
	isPartial, err := f.fs.countOperation()
	if err != nil && !isPartial {
		return err
	}
	if isPartial && len(c.data) > 0 {
		c.data = c.data[:f.fs.rng.IntN(len(c.data))]
	}
	f.content = c.apply(f.content)
	f.pending = append(f.pending, c)
	return err
}

// WriteAt implements wal.File.
func (f *file) WriteAt(b []byte, at int64) (int, error) {
	if err := f.change(change{data: slices.Clone(b), offset: at}); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Truncate implements wal.File.
func (f *file) Truncate(size int64) error { return f.change(change{offset: size}) }

// Sync implements wal.File.
func (f *file) Sync() error {
	isPartial, err := f.fs.countOperation()
	if isPartial {
		return err // Crash selects what reached the disk
	}
	if err == nil {
		for _, c := range f.pending {
			f.durable = c.apply(f.durable)
		}
	}
	if !f.fs.crashed {
		f.pending = nil // after a failed sync the kernel marks the pages clean, so the data is lost
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
