package wal

import (
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/greengagelock/greengagelock/internal/result"
)

// FS is the part of a file system that the log needs. Names have no folder part. Tests use package memfs,
// in which single operations fail or complete in part.
type FS interface {
	// Create creates an empty file or truncates an existing one.
	Create(name string) (File, error)
	// Open opens an existing file for reading and writing.
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of all files.
	List() ([]string, error)
	// SyncDir makes created, renamed and removed names durable.
	SyncDir() error
	// Lock takes an exclusive lock on a file. Closing the result releases it.
	Lock(name string) (io.Closer, error)
}

// File is an open file of an FS. Written data is durable only after Sync.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Sync() error
	Truncate(size int64) error
	Size() (int64, error)
}

// DirFS implements FS in a folder of the operating system.
type DirFS struct {
	folder string
}

// NewDirFS returns the FS of a folder. It creates the folder if needed, and syncs the parent folders so that
// the folder itself survives a crash.
func NewDirFS(folder string) (*DirFS, error) {
	var parents []string
	for dir := filepath.Clean(folder); ; dir = filepath.Dir(dir) {
		parent := filepath.Dir(dir)
		parents = append(parents, parent)
		if _, err := os.Stat(parent); err == nil || parent == dir {
			break
		}
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, errors.Wrap(err, "create the data folder")
	}
	for _, parent := range parents {
		if err := (&DirFS{folder: parent}).SyncDir(); err != nil {
			return nil, errors.Wrap(err, "sync a parent of the data folder")
		}
	}
	return &DirFS{folder: folder}, nil
}

// osFile implements File.
type osFile struct {
	*os.File
}

// Size returns the size of the file.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

func (d *DirFS) path(name string) string { return filepath.Join(d.folder, name) }

func (d *DirFS) open(name string, flags int) (File, error) {
	f, err := os.OpenFile(d.path(name), flags, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Create implements FS.
func (d *DirFS) Create(name string) (File, error) {
	return d.open(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC)
}

// Open implements FS.
func (d *DirFS) Open(name string) (File, error) { return d.open(name, os.O_RDWR) }

// Rename implements FS.
func (d *DirFS) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove implements FS.
func (d *DirFS) Remove(name string) error { return os.Remove(d.path(name)) }

// List implements FS.
func (d *DirFS) List() ([]string, error) {
	entries, err := os.ReadDir(d.folder)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// SyncDir implements FS.
func (d *DirFS) SyncDir() error {
	f, err := os.Open(d.folder)
	if err != nil {
		return err
	}
	return errors.CombineErrors(f.Sync(), f.Close())
}

// Lock implements FS.
func (d *DirFS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		err = errors.Wrapf(result.New(result.StorageFailed, "the data folder %s is in use", d.folder), "%v", err)
		return nil, errors.CombineErrors(err, f.Close())
	}
	return f, nil
}
