package controller

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/testkit"
)

// blackhole partitions a controller silently: while it is active, all bytes from and to the controller are
// dropped, but the connections stay open.
type blackhole struct {
	active atomic.Bool
}

func (c *cluster) blackhole(name string) *blackhole {
	if c.blackholes[name] == nil {
		c.blackholes[name] = &blackhole{}
	}
	return c.blackholes[name]
}

func (g *blackhole) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &blackholeConn{Conn: conn, blackhole: g}, nil
}

func (g *blackhole) listener(l net.Listener) net.Listener {
	return &blackholeListener{Listener: l, blackhole: g}
}

type blackholeListener struct {
	net.Listener
	blackhole *blackhole
}

func (l *blackholeListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &blackholeConn{Conn: conn, blackhole: l.blackhole}, nil
}

type blackholeConn struct {
	net.Conn
	blackhole *blackhole
}

func (c *blackholeConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.blackhole.active.Load() {
			return n, err
		}
	}
}

func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.blackhole.active.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Guards against a silently partitioned leader that still accepts edits or serves its state as current, and
// against edits that are reverted when it is reachable again.
func TestSilentPartitionOfTheLeader(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	c := h.cluster(3)
	ctl := h.operator(c.addresses()...)
	balancer := &fakeNode{}
	session, _ := h.node(model.RoleBalancer, "b1", balancer, c.addresses()...)
	apply(t, ctl, 0, document(1, 1, ""))
	testkit.Eventually(t, "revision 1", func() bool { return session.Revision() == 1 })
	isolated := c.leader()
	c.blackhole(isolated).active.Store(true)
	apply(t, ctl, 1, document(2, 1, ""))
	testkit.Eventually(t, "revision 2", func() bool { return session.Revision() == 2 })
	testkit.Eventually(t, "loss of leadership at the partitioned controller", func() bool {
		_, err := c.controllers[isolated].quorumAge()
		return err != nil && !c.controllers[isolated].log.Status().IsLeader
	})
	if revision := c.controllers[isolated].revision(); revision != 1 {
		t.Fatalf("the partitioned controller has revision %d, want 1", revision)
	}
	c.blackhole(isolated).active.Store(false)
	testkit.Eventually(t, "revision 2 at the controller that was partitioned", func() bool {
		_, err := c.controllers[isolated].quorumAge()
		return err == nil && c.controllers[isolated].revision() == 2
	})
	apply(t, ctl, 2, document(3, 1, ""))
	testkit.Eventually(t, "revision 3", func() bool { return session.Revision() == 3 })
	testkit.Check(t, checkViewOrder(balancer))
}
