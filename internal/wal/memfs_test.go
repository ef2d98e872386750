package wal_test

import (
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/wal"
)

var errCrashed = errors.New("the process has crashed")

// memFS is a file system in memory that loses what was not synced. Each change counts as one
// operation; operation number failAt crashes the process half-way, or fails with failWith.
type memFS struct {
	rng      *rand.Rand
	names    map[string]*memFile
	durable  map[string]*memFile
	pending  []func(map[string]*memFile) // changes of names that were not synced
	locked   bool
	ops      int
	failAt   int // zero never
	failWith error
	crashed  bool
}

type memFile struct {
	fs      *memFS
	content []byte
	durable []byte
	pending []change
}

// change is a write, or a truncation to size if data is nil.
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

func newMemFS(rng *rand.Rand) *memFS {
	return &memFS{rng: rng, names: map[string]*memFile{}, durable: map[string]*memFile{}}
}

// step counts an operation. cut means that the operation takes place in part before the crash.
func (m *memFS) step() (cut bool, err error) {
	if m.crashed {
		return false, errCrashed
	}
	m.ops++
	if m.failAt == 0 || m.ops < m.failAt {
		return false, nil
	}
	m.failAt = 0
	if m.failWith != nil {
		return false, m.failWith
	}
	m.crashed = true
	return true, errCrashed
}

// crash loses an arbitrary part of what was not synced; the folder can be opened again.
func (m *memFS) crash() {
	for _, name := range slices.Sorted(maps.Keys(m.names)) {
		m.names[name].crash()
	}
	for _, change := range m.pending[:m.rng.IntN(len(m.pending)+1)] {
		change(m.durable)
	}
	m.names, m.pending = maps.Clone(m.durable), nil
	m.crashed, m.locked, m.failAt = false, false, 0
}

func (f *memFile) crash() {
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

func (m *memFS) changeNames(change func(map[string]*memFile)) error {
	if _, err := m.step(); err != nil {
		return err
	}
	change(m.names)
	m.pending = append(m.pending, change)
	return nil
}

func (m *memFS) Create(name string) (wal.File, error) {
	f := &memFile{fs: m}
	return f, m.changeNames(func(names map[string]*memFile) { names[name] = f })
}

func (m *memFS) Open(name string) (wal.File, error) {
	f := m.names[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return f, nil
}

func (m *memFS) Rename(from, to string) error {
	return m.changeNames(func(names map[string]*memFile) {
		if f := names[from]; f != nil {
			names[to] = f
		}
		delete(names, from)
	})
}

func (m *memFS) Remove(name string) error {
	return m.changeNames(func(names map[string]*memFile) { delete(names, name) })
}

func (m *memFS) List() ([]string, error) { return slices.Sorted(maps.Keys(m.names)), nil }

func (m *memFS) SyncDir() error {
	_, err := m.step()
	if err == nil {
		m.durable = maps.Clone(m.names)
	}
	if !m.crashed {
		m.pending = nil // a failed sync is not repeated by the next one
	}
	return err
}

func (m *memFS) Lock(string) (io.Closer, error) {
	if m.locked {
		return nil, errors.New("locked")
	}
	m.locked = true
	return unlocker{m}, nil
}

type unlocker struct{ fs *memFS }

func (u unlocker) Close() error {
	u.fs.locked = false
	return nil
}

func (f *memFile) change(c change) error {
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

func (f *memFile) WriteAt(b []byte, at int64) (int, error) {
	if err := f.change(change{data: slices.Clone(b), at: at}); err != nil {
		return 0, err
	}
	return len(b), nil
}

func (f *memFile) Truncate(size int64) error { return f.change(change{at: size}) }

func (f *memFile) Sync() error {
	cut, err := f.fs.step()
	switch {
	case cut:
		return err // crash decides what reached the disk
	case err == nil:
		for _, c := range f.pending {
			f.durable = c.apply(f.durable)
		}
	}
	if !f.fs.crashed {
		f.pending = nil // after a failed sync the system takes the pages for clean
	}
	return err
}

func (f *memFile) ReadAt(b []byte, at int64) (int, error) {
	if at >= int64(len(f.content)) {
		return 0, io.EOF
	}
	n := copy(b, f.content[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (f *memFile) Size() (int64, error) { return int64(len(f.content)), nil }

func (f *memFile) Close() error { return nil }
