package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

// Defaults of servers and clients.
const (
	DefaultHandshakeTimeout = 3 * time.Second
	// DefaultIdleTimeout is well above the time between two polls of a node.
	DefaultIdleTimeout = 30 * time.Second
	// DefaultClientIdleTimeout is below DefaultIdleTimeout, so that the client closes first and rarely
	// sends a call on a connection that the server is closing.
	DefaultClientIdleTimeout = 20 * time.Second
	DefaultIOTimeout         = 5 * time.Second
	DefaultCallTimeout       = 5 * time.Second
	// DefaultMaxMessage is the maximum message size in bytes. A snapshot of the replicated state at the
	// design size fits.
	DefaultMaxMessage = 16 << 20
	// DefaultMaxConns lets a single controller of seven serve all 4,560 sessions of the design size.
	DefaultMaxConns   = 6000
	DefaultMaxPerConn = 16
	// acceptRetryDelay is the delay after Accept has failed, for instance because there are no free file
	// descriptors. It prevents a busy loop.
	acceptRetryDelay = 50 * time.Millisecond
)

// Peer is the other end of a connection.
type Peer struct {
	Identity
	// Context is canceled when the connection is closed.
	Context context.Context
}

// CallContext returns a context for one call. It ends after the timeout or when the connection is closed.
func (p *Peer) CallContext(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(p.Context, timeout)
}

// ServicesFunc returns the receivers that a peer may call, by service name. After an error the connection is
// closed before any request is read.
type ServicesFunc func(p *Peer) (map[string]any, error)

// ServerConfig configures a Server. Zero values select the defaults.
type ServerConfig struct {
	Credentials *Credentials
	// Plain accepts connections without TLS, for a network that only the VMs of the system can reach. The
	// name of a peer is then its IP address, and its role is empty.
	Plain            bool
	Services         ServicesFunc
	HandshakeTimeout time.Duration
	IdleTimeout      time.Duration
	IOTimeout        time.Duration
	MaxMessage       int
	MaxConns         int
	MaxPerConn       int // concurrent calls per connection
	MaxCalls         int // concurrent calls of all connections
}

func (c *ServerConfig) setDefaults() {
	c.HandshakeTimeout = orDefault(c.HandshakeTimeout, DefaultHandshakeTimeout)
	c.IdleTimeout = orDefault(c.IdleTimeout, DefaultIdleTimeout)
	c.IOTimeout = orDefault(c.IOTimeout, DefaultIOTimeout)
	c.MaxMessage = orDefault(c.MaxMessage, DefaultMaxMessage)
	c.MaxConns = orDefault(c.MaxConns, DefaultMaxConns)
	c.MaxPerConn = orDefault(c.MaxPerConn, DefaultMaxPerConn)
	// Every session has one long poll running, so there must be as many calls as connections, and some
	// more for other controllers and operators.
	c.MaxCalls = orDefault(c.MaxCalls, c.MaxConns+c.MaxConns/8+c.MaxPerConn)
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Metrics are the metrics of a server.
type Metrics struct {
	Connections prometheus.Gauge
	Refused     *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) (*Metrics, error) {
	m := &Metrics{
		Connections: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "greengagelock_rpc_connections", Help: "Open connections of control peers.",
		}),
		Refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "greengagelock_rpc_refused_total", Help: "Connections refused, by reason.",
		}, []string{"reason"}),
	}
	for _, c := range []prometheus.Collector{m.Connections, m.Refused} {
		if err := r.Register(c); err != nil {
			return nil, errors.Wrap(err, "register metrics")
		}
	}
	return m, nil
}

// Server accepts connections and serves the calls of their peers.
type Server struct {
	cfg     ServerConfig
	metrics *Metrics
	conns   semaphore
	calls   semaphore
	wg      sync.WaitGroup
}

// NewServer returns a server.
func NewServer(cfg ServerConfig, t telemetry.Handle) (*Server, error) {
	cfg.setDefaults()
	metrics, err := newMetrics(t.Metrics)
	if err != nil {
		return nil, err
	}
	return &Server{
		cfg: cfg, metrics: metrics, conns: make(semaphore, cfg.MaxConns), calls: make(semaphore, cfg.MaxCalls),
	}, nil
}

// Serve accepts connections until ctx is done. It closes the listener and returns after all goroutines of the
// connections have ended.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	defer s.wg.Wait()
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = conn.Close()
			}
			return nil
		case err != nil:
			if !ctxtime.Sleep(ctx, acceptRetryDelay) {
				return nil
			}
		default:
			s.startConn(ctx, conn)
		}
	}
}

// startConn serves a connection in a goroutine, or closes it if the maximum number of connections is reached.
func (s *Server) startConn(ctx context.Context, conn net.Conn) {
	select {
	case s.conns <- struct{}{}:
	default:
		s.metrics.Refused.WithLabelValues("too many connections").Inc()
		_ = conn.Close()
		return
	}
	s.wg.Go(func() {
		defer func() { <-s.conns }()
		s.serveConn(ctx, conn)
	})
}

func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	conn, peer, err := s.identifyPeer(ctx, raw)
	defer func() { _ = conn.Close() }()
	if err != nil {
		s.metrics.Refused.WithLabelValues("handshake").Inc()
		return
	}
	server := rpc.NewServer()
	if err := s.register(server, peer); err != nil {
		s.metrics.Refused.WithLabelValues("role").Inc()
		return
	}
	s.metrics.Connections.Inc()
	defer s.metrics.Connections.Dec()
	server.ServeCodec(&serverCodec{
		gobConn: newGobConn(conn, limits{idleTimeout: s.cfg.IdleTimeout, ioTimeout: s.cfg.IOTimeout, maxMessageSize: s.cfg.MaxMessage}),
		ctx:     ctx, cancel: cancel, connCalls: make(semaphore, s.cfg.MaxPerConn), serverCalls: s.calls,
	})
}

// identifyPeer returns the connection to use, which is the TLS connection unless Plain is set, and the peer.
func (s *Server) identifyPeer(ctx context.Context, raw net.Conn) (net.Conn, *Peer, error) {
	if s.cfg.Plain {
		host, _, err := net.SplitHostPort(raw.RemoteAddr().String())
		return raw, &Peer{Identity: Identity{Name: host}, Context: ctx}, err
	}
	conn := tls.Server(raw, s.cfg.Credentials.ServerTLS())
	peer, err := s.handshake(ctx, conn)
	return conn, peer, err
}

func (s *Server) handshake(ctx context.Context, conn *tls.Conn) (*Peer, error) {
	handshakeCtx, cancel := context.WithTimeout(ctx, s.cfg.HandshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(handshakeCtx); err != nil {
		return nil, err
	}
	id, err := IdentityOf(conn.ConnectionState().PeerCertificates[0])
	if err != nil {
		return nil, err
	}
	return &Peer{Identity: id, Context: ctx}, nil
}

func (s *Server) register(server *rpc.Server, peer *Peer) error {
	receivers, err := s.cfg.Services(peer)
	if err != nil {
		return err
	}
	for name, receiver := range receivers {
		if err := server.RegisterName(name, receiver); err != nil {
			return errors.Wrapf(err, "register %s", name)
		}
	}
	return nil
}
