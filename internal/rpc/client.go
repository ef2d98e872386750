package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
)

// ErrUnreachable marks errors of calls that were not sent because there was no connection. The server has not
// run such a call.
var ErrUnreachable = errors.New("peer is unreachable")

// ClientConfig configures a Client. Zero values select the defaults.
type ClientConfig struct {
	Address     string
	Role        model.Role // of the server
	Name        string     // of the server; empty for any
	Credentials *Credentials
	Plain       bool // connects without TLS; Role and Name are then not checked
	DialTimeout time.Duration
	CallTimeout time.Duration // limits every call
	IdleTimeout time.Duration
	IOTimeout   time.Duration
	MaxMessage  int
	// Dial opens connections; nil selects TCP.
	Dial DialFunc
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// Client calls one server. It reconnects at the next call after a connection has failed.
type Client struct {
	cfg ClientConfig

	mu     sync.Mutex
	client *rpc.Client
	codec  *clientCodec // of client
	closed bool
}

// NewClient returns a client. It connects at the first call.
func NewClient(cfg ClientConfig) *Client {
	cfg.DialTimeout = orDefault(cfg.DialTimeout, DefaultHandshakeTimeout)
	cfg.CallTimeout = orDefault(cfg.CallTimeout, DefaultCallTimeout)
	cfg.IdleTimeout = orDefault(cfg.IdleTimeout, DefaultClientIdleTimeout)
	cfg.IOTimeout = orDefault(cfg.IOTimeout, DefaultIOTimeout)
	cfg.MaxMessage = orDefault(cfg.MaxMessage, DefaultMaxMessage)
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	return &Client{cfg: cfg}
}

// Call calls a method and returns the reply. It returns at the latest at the deadline of ctx or after the call
// timeout. An error from the server keeps its result code. If the connection fails during the call, the code
// is OutcomeUnknown.
func Call[R any](ctx context.Context, c *Client, method string, args any) (*R, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	client, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	// Each call has a new reply, because net/rpc may still write to the reply of a call that timed out.
	reply := new(R)
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			return reply, nil
		}
		return nil, c.callError(client, method, call.Error)
	case <-ctx.Done():
		// A missing reply usually means that the connection no longer works without having been
		// closed, so the next call opens a new one.
		c.discard(client)
		return nil, result.New(result.DeadlineExceeded, "call of %s at %s timed out", method, c.cfg.Address)
	}
}

// connect returns the current connection or opens a new one.
func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.Mark(errors.New("the client is closed"), ErrUnreachable)
	}
	if c.client != nil && !c.codec.broken.Load() {
		return c.client, nil
	}
	// A connection that has ended since the last call, for instance after the idle timeout, is replaced
	// here, because a call on it would fail with an unknown outcome.
	c.client = nil
	ctx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	raw, err := c.cfg.Dial(ctx, c.cfg.Address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", c.cfg.Address), ErrUnreachable)
	}
	conn := raw
	if !c.cfg.Plain {
		tlsConn := tls.Client(raw, c.cfg.Credentials.ClientTLS(c.cfg.Role, c.cfg.Name))
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, errors.Mark(errors.Wrapf(err, "TLS handshake with %s", c.cfg.Address), ErrUnreachable)
		}
		conn = tlsConn
	}
	l := limits{idleTimeout: c.cfg.IdleTimeout, ioTimeout: c.cfg.IOTimeout, maxMessageSize: c.cfg.MaxMessage}
	c.codec = &clientCodec{gobConn: newGobConn(conn, l)}
	c.client = rpc.NewClientWithCodec(c.codec)
	return c.client, nil
}

// callError converts the error of a call to one with a result code. It closes the connection unless the error
// is the server's reply.
func (c *Client) callError(client *rpc.Client, method string, err error) error {
	var serverErr rpc.ServerError
	if errors.As(err, &serverErr) {
		return parseError(string(serverErr))
	}
	c.discard(client)
	return result.New(result.OutcomeUnknown, "call of %s at %s: the connection failed: %v", method, c.cfg.Address, err)
}

// errorPattern matches the text of a result.Error.
var errorPattern = regexp.MustCompile(`(?s)GGL-(\d{4}): (.*)$`)

// parseError restores an error from its text. Text without a result code becomes an error with code Internal.
func parseError(text string) error {
	if m := errorPattern.FindStringSubmatch(text); m != nil {
		if code, err := strconv.ParseUint(m[1], 10, 16); err == nil {
			return result.New(result.Code(code), "%s", m[2])
		}
	}
	return result.New(result.Internal, "%s", text)
}

// discard closes a connection, so that the next call opens a new one.
func (c *Client) discard(client *rpc.Client) {
	c.mu.Lock()
	if c.client == client {
		c.client = nil
	}
	c.mu.Unlock()
	_ = client.Close()
}

// Close closes the connection, which ends all running calls. Later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	client := c.client
	c.client, c.closed = nil, true
	c.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}
