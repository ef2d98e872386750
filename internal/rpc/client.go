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

// ErrUnreachable marks the errors of calls that were not sent, because no connection could be
// made. The server has not run such a call.
var ErrUnreachable = errors.New("peer is unreachable")

// ClientConfig configures a Client. Zero values mean the defaults.
type ClientConfig struct {
	Address     string
	Role        model.Role // of the server
	Name        string     // of the server; empty for any
	Credentials *Credentials
	Plain       bool // as in ServerConfig; Role and Name are not checked
	DialTimeout time.Duration
	CallTimeout time.Duration // upper bound for every call
	IdleTimeout time.Duration
	IOTimeout   time.Duration
	MaxMessage  int
	// Dial makes connections; nil means TCP.
	Dial Dial
}

// Dial connects to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// Client calls one server and connects again when the connection has failed.
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

// Call calls a method and returns the reply. It returns at the deadline of ctx or after the call
// timeout, whichever comes first. An error that the server returned keeps its result code.
func Call[R any](ctx context.Context, c *Client, method string, args any) (*R, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	client, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	// The reply is new for every call, since that of an abandoned call may still be written to.
	reply := new(R)
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			return reply, nil
		}
		return nil, c.failed(client, method, call.Error)
	case <-ctx.Done():
		// A reply that does not come is most often the sign of a connection that has gone
		// silent, so the next call uses a new one.
		c.drop(client)
		return nil, result.New(result.DeadlineExceeded, "call of %s to %s: no reply in time", method, c.cfg.Address)
	}
}

func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.Mark(errors.New("client is closed"), ErrUnreachable)
	}
	if c.client != nil && !c.codec.ended.Load() {
		return c.client, nil
	}
	// A connection that ended since the last call, for instance for lack of use, is replaced
	// before it costs a call whose outcome would be unknown.
	c.client = nil
	ctx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	raw, err := c.cfg.Dial(ctx, c.cfg.Address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", c.cfg.Address), ErrUnreachable)
	}
	conn := raw
	if !c.cfg.Plain {
		secure := tls.Client(raw, c.cfg.Credentials.ClientTLS(c.cfg.Role, c.cfg.Name))
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, errors.Mark(errors.Wrapf(err, "TLS handshake with %s", c.cfg.Address), ErrUnreachable)
		}
		conn = secure
	}
	l := limits{idle: c.cfg.IdleTimeout, io: c.cfg.IOTimeout, maxMessage: c.cfg.MaxMessage}
	c.codec = &clientCodec{wire: newWire(conn, l)}
	c.client = rpc.NewClientWithCodec(c.codec)
	return c.client, nil
}

// failed turns the error of a call into one with a result code.
func (c *Client) failed(client *rpc.Client, method string, err error) error {
	var answered rpc.ServerError
	if errors.As(err, &answered) {
		return parseError(string(answered))
	}
	c.drop(client)
	return result.New(result.OutcomeUnknown, "call of %s to %s: connection failed: %v", method, c.cfg.Address, err)
}

// errorPattern is the format of result.Error.
var errorPattern = regexp.MustCompile(`(?s)GGL-(\d{4}): (.*)$`)

func parseError(text string) error {
	if m := errorPattern.FindStringSubmatch(text); m != nil {
		if code, err := strconv.ParseUint(m[1], 10, 16); err == nil {
			return result.New(result.Code(code), "%s", m[2])
		}
	}
	return result.New(result.Internal, "%s", text)
}

func (c *Client) drop(client *rpc.Client) {
	c.mu.Lock()
	if c.client == client {
		c.client = nil
	}
	c.mu.Unlock()
	_ = client.Close()
}

// Close ends the connection and all calls on it. Later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	client := c.client
	c.client, c.closed = nil, true
	c.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}
