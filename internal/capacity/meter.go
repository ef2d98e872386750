package capacity

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// meter counts the bytes that pass through the listener of a controller, TLS included. Bytes of
// nodes and operators are told apart from those of other controllers by the address that these
// dialed from.
type meter struct {
	mu    sync.Mutex
	conns map[string]*atomic.Int64 // by remote address
	peers map[string]bool          // addresses that controllers dialed from
}

func newMeter() *meter {
	return &meter{conns: map[string]*atomic.Int64{}, peers: map[string]bool{}}
}

// take returns the bytes so far.
func (m *meter) take() (nodes, peers int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, bytes := range m.conns {
		if m.peers[address] {
			peers += bytes.Load()
		} else {
			nodes += bytes.Load()
		}
	}
	return nodes, peers
}

// dial is the rpc.DialFunc of controllers.
func (m *meter) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers[conn.LocalAddr().String()] = true
	return conn, nil
}

func (m *meter) listener(l net.Listener) net.Listener { return &meteredListener{Listener: l, meter: m} }

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
	l.meter.conns[conn.RemoteAddr().String()] = bytes
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
