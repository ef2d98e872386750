package controller

import (
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/testkit"
	"github.com/greengagelock/greengagelock/internal/wal"
)

// disk is a file system whose writes fail with ENOSPC while it is full.
type disk struct {
	wal.FS
	full *atomic.Bool
}

func (c *cluster) disk(name string) wal.FS {
	c.h.t.Helper()
	if c.diskFull[name] == nil {
		c.diskFull[name] = &atomic.Bool{}
	}
	folder, err := wal.NewDirFS(filepath.Join(c.folders[name], "log"))
	testkit.Check(c.h.t, err)
	return &disk{FS: folder, full: c.diskFull[name]}
}

func (d *disk) Create(name string) (wal.File, error) {
	f, err := d.FS.Create(name)
	return &diskFile{File: f, full: d.full}, err
}

func (d *disk) Open(name string) (wal.File, error) {
	f, err := d.FS.Open(name)
	return &diskFile{File: f, full: d.full}, err
}

type diskFile struct {
	wal.File
	full *atomic.Bool
}

func (f *diskFile) WriteAt(p []byte, offset int64) (int, error) {
	if f.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.WriteAt(p, offset)
}

// Guards against a leader that keeps its leadership although its disk is full, and against a controller
// that does not rejoin after space was freed.
func TestLeaderWithFullDiskLosesLeadership(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	c := h.cluster(3)
	ctl := h.operator(c.addresses()...)
	apply(t, ctl, 0, document(1, 1, ""))
	balancer := &fakeNode{}
	session, _ := h.node(model.RoleBalancer, "b1", balancer, c.addresses()...)
	testkit.Eventually(t, "revision 1", func() bool { return session.Revision() == 1 })
	leader := c.leader()
	c.diskFull[leader].Store(true)
	apply(t, ctl, 1, document(2, 1, ""))
	testkit.Eventually(t, "revision 2", func() bool { return session.Revision() == 2 })
	if c.controllers[leader].log.Status().IsLeader {
		t.Fatal("a controller with a full disk is the leader")
	}
	c.diskFull[leader].Store(false)
	testkit.Eventually(t, "revision 2 at the controller after space was freed", func() bool {
		_, err := c.controllers[leader].quorumAge()
		return err == nil && c.controllers[leader].revision() == 2
	})
	testkit.Check(t, checkViewOrder(balancer))
}
