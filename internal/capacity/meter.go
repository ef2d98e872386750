package capacity

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// meter counts the bytes that pass through the listeners of the controllers, TLS included. It
// distinguishes the connections of other controllers from those of nodes and operators by the local
// addresses from which controllers have dialed.
type meter struct {
	mu                sync.Mutex
	bytesByRemoteAddr map[string]*atomic.Int64 // bytes in both directions
	controllerAddrs   map[string]bool          // local addresses of connections that controllers dialed
}

func newMeter() *meter {
	return &meter{bytesByRemoteAddr: map[string]*atomic.Int64{}, controllerAddrs: map[string]bool{}}
}

// totals returns the bytes counted so far, of nodes and operators and of controllers.
func (m *meter) totals() (nodes, peers int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, bytes := range m.bytesByRemoteAddr {
		if m.controllerAddrs[address] {
			peers += bytes.Load()
		} else {
			nodes += bytes.Load()
		}
	}
	return nodes, peers
}

// dial is the rpc.DialFunc of the controllers; it records the local address of each connection.
func (m *meter) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.controllerAddrs[conn.LocalAddr().String()] = true
	return conn, nil
}

func (m *meter) wrapListener(l net.Listener) net.Listener {
	return &meteredListener{Listener: l, meter: m}
}

type meteredListener struct {
	net.Listener
	meter *meter
}

// Accept implements net.Listener.
func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	bytes := &atomic.Int64{}
	l.meter.mu.Lock()
	defer l.meter.mu.Unlock()
	l.meter.bytesByRemoteAddr[conn.RemoteAddr().String()] = bytes
	return &meteredConn{Conn: conn, bytes: bytes}, nil
}

type meteredConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
