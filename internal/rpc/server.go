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

// Defaults of a server and of a client.
const (
	DefaultHandshakeTimeout = 3 * time.Second
	// DefaultIdleTimeout is well above the pause between two polls of a node.
	DefaultIdleTimeout = 30 * time.Second
	// DefaultClientIdleTimeout lets the client close first, so that it seldom sends a call into a
	// connection that the server is closing.
	DefaultClientIdleTimeout = 20 * time.Second
	DefaultIOTimeout         = 5 * time.Second
	DefaultCallTimeout       = 5 * time.Second
	// DefaultMaxMessage holds a snapshot of the state at the target size.
	DefaultMaxMessage = 16 << 20
	// DefaultMaxConns lets one controller of seven take all 4,560 sessions of the target size.
	DefaultMaxConns = 6000
	DefaultPerConn  = 16
	// acceptPause keeps a listener that fails, for lack of file descriptors for instance, from
	// being asked again at once.
	acceptPause = 50 * time.Millisecond
)

// Peer is the other end of a connection.
type Peer struct {
	Identity
	// Context ends when the connection is closed.
	Context context.Context
}

// Deadline returns a context for one call.
func (p *Peer) Deadline(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(p.Context, timeout)
}

// Services returns the receivers, by name, that a peer may call. An error refuses the peer before
// any request is read.
type Services func(p *Peer) (map[string]any, error)

// ServerConfig configures a Server. Zero values mean the defaults.
type ServerConfig struct {
	Credentials *Credentials
	// Plain accepts connections without TLS, for a network that only the system's own VMs reach. The
	// name of a peer is then its IP address and its role is empty.
	Plain            bool
	Services         Services
	HandshakeTimeout time.Duration
	IdleTimeout      time.Duration
	IOTimeout        time.Duration
	MaxMessage       int
	MaxConns         int
	MaxPerConn       int // calls at the same time on one connection
	MaxCalls         int // calls at the same time in total
}

func (c *ServerConfig) setDefaults() {
	c.HandshakeTimeout = orDefault(c.HandshakeTimeout, DefaultHandshakeTimeout)
	c.IdleTimeout = orDefault(c.IdleTimeout, DefaultIdleTimeout)
	c.IOTimeout = orDefault(c.IOTimeout, DefaultIOTimeout)
	c.MaxMessage = orDefault(c.MaxMessage, DefaultMaxMessage)
	c.MaxConns = orDefault(c.MaxConns, DefaultMaxConns)
	c.MaxPerConn = orDefault(c.MaxPerConn, DefaultPerConn)
	// Every session holds one long poll, so there must be as many calls as connections and some
	// more for peers and operators.
	c.MaxCalls = orDefault(c.MaxCalls, c.MaxConns+c.MaxConns/8+c.MaxPerConn)
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Metrics counts what a server does.
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
	conns   slots
	calls   slots
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
		cfg: cfg, metrics: metrics, conns: make(slots, cfg.MaxConns), calls: make(slots, cfg.MaxCalls),
	}, nil
}

// Serve accepts connections until ctx is done, and returns after all of its goroutines ended. It
// closes the listener.
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
			if !ctxtime.Sleep(ctx, acceptPause) {
				return nil
			}
		default:
			s.admit(ctx, conn)
		}
	}
}

// admit starts a connection, or closes it if there are too many.
func (s *Server) admit(ctx context.Context, conn net.Conn) {
	select {
	case s.conns <- struct{}{}:
	default:
		s.metrics.Refused.WithLabelValues("too many connections").Inc()
		_ = conn.Close()
		return
	}
	s.wg.Go(func() {
		defer func() { <-s.conns }()
		s.serve(ctx, conn)
	})
}

func (s *Server) serve(ctx context.Context, raw net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	conn, peer, err := s.identify(ctx, raw)
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
		wire: newWire(conn, limits{idle: s.cfg.IdleTimeout, io: s.cfg.IOTimeout, maxMessage: s.cfg.MaxMessage}),
		ctx:  ctx, cancel: cancel, own: make(slots, s.cfg.MaxPerConn), total: s.calls,
	})
}

// identify returns the connection to talk on and the other end of it.
func (s *Server) identify(ctx context.Context, raw net.Conn) (net.Conn, *Peer, error) {
	if s.cfg.Plain {
		host, _, err := net.SplitHostPort(raw.RemoteAddr().String())
		return raw, &Peer{Identity: Identity{Name: host}, Context: ctx}, err
	}
	conn := tls.Server(raw, s.cfg.Credentials.ServerTLS())
	peer, err := s.handshake(ctx, conn)
	return conn, peer, err
}

func (s *Server) handshake(ctx context.Context, conn *tls.Conn) (*Peer, error) {
	limited, cancel := context.WithTimeout(ctx, s.cfg.HandshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(limited); err != nil {
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
