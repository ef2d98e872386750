package controller

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/testkit"
)

// gate cuts a controller off without a sign: what it sends and what is sent to it disappears,
// while its connections stay open.
type gate struct {
	closed atomic.Bool
}

func (c *cluster) gate(name string) *gate {
	if c.gates[name] == nil {
		c.gates[name] = &gate{}
	}
	return c.gates[name]
}

func (g *gate) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: conn, gate: g}, nil
}

func (g *gate) listener(l net.Listener) net.Listener { return &gatedListener{Listener: l, gate: g} }

type gatedListener struct {
	net.Listener
	gate *gate
}

func (l *gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: conn, gate: l.gate}, nil
}

type gatedConn struct {
	net.Conn
	gate *gate
}

func (c *gatedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.gate.closed.Load() {
			return n, err
		}
	}
}

func (c *gatedConn) Write(p []byte) (int, error) {
	if c.gate.closed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Guards against a leader that is cut off without a sign and still accepts edits or hands out its
// state as current, and against edits that are reverted when it is back.
func TestSilentPartitionOfTheLeader(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	c := h.cluster(3)
	ctl := h.operator(c.addresses()...)
	balancer := &standin{}
	session, _ := h.node(model.RoleBalancer, "b1", balancer, c.addresses()...)
	apply(t, ctl, 0, document(1, 1, ""))
	testkit.Eventually(t, "revision 1", func() bool { return session.Revision() == 1 })
	cut := c.leader()
	c.gate(cut).closed.Store(true)
	apply(t, ctl, 1, document(2, 1, ""))
	testkit.Eventually(t, "revision 2", func() bool { return session.Revision() == 2 })
	testkit.Eventually(t, "the end of the old leadership", func() bool {
		_, err := c.running[cut].current()
		return err != nil && !c.running[cut].log.Status().IsLeader
	})
	if revision := c.running[cut].revision(); revision != 1 {
		t.Fatalf("the controller that is cut off has revision %d, want 1", revision)
	}
	c.gate(cut).closed.Store(false)
	testkit.Eventually(t, "revision 2 at all controllers", func() bool {
		_, err := c.running[cut].current()
		return err == nil && c.running[cut].revision() == 2
	})
	apply(t, ctl, 2, document(3, 1, ""))
	testkit.Eventually(t, "revision 3", func() bool { return session.Revision() == 3 })
	testkit.Check(t, inOrder(balancer))
}
