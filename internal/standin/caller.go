package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"

	"github.com/greengagelock/greengagelock/internal/flow"
)

// Callers use the local ports from firstPort to 65535 in turn, so that a port is not reused soon.
const (
	firstPort = 1024
	portCount = 1<<16 - firstPort
)

// refusalPrefix is the prefix of the payload of an RST that refuses a connection.
const refusalPrefix = "GGL-"

// Refusal is the error of a connection whose SYN was answered with RST. The request did not run.
type Refusal struct {
	// Reason is the payload of the RST, or empty if it had none.
	Reason string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("connection refused: %q", r.Reason)
}

// CallerConfig configures a Caller.
type CallerConfig struct {
	Addresses []netip.Addr
	Listen    netip.AddrPort
	Fabric    netip.AddrPort
}

// Caller simulates a host that opens connections to services through the fabric.
type Caller struct {
	cfg  CallerConfig
	host *host

	mu       sync.Mutex
	reserved int
	refusals map[netip.AddrPort]string // payload of the RST, by local address of the dials in progress
}

// NewCaller opens the socket of a caller.
func NewCaller(cfg CallerConfig) (*Caller, error) {
	h, err := newHost(cfg.Addresses, cfg.Listen, cfg.Fabric)
	if err != nil {
		return nil, err
	}
	c := &Caller{cfg: cfg, host: h, refusals: map[netip.AddrPort]string{}}
	h.inspect = c.recordRefusal
	return c, nil
}

// Run forwards packets until ctx is done.
func (c *Caller) Run(ctx context.Context) error { return c.host.run(ctx) }

// Dial opens a connection. The error is a *Refusal if the connection was refused.
func (c *Caller) Dial(ctx context.Context, service netip.AddrPort) (net.Conn, error) {
	local := c.reserveLocalAddr()
	defer c.releaseLocalAddr(local)
	conn, err := gonet.DialTCPWithBind(ctx, c.host.stack, fullAddress(local), fullAddress(service), ipv4.ProtocolNumber)
	if err == nil {
		return conn, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if reason := c.refusals[local]; reason != "" || strings.Contains(err.Error(), "refused") {
		return nil, &Refusal{Reason: reason}
	}
	return nil, err
}

func (c *Caller) reserveLocalAddr() netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	addr := c.cfg.Addresses[c.reserved%len(c.cfg.Addresses)]
	port := firstPort + c.reserved/len(c.cfg.Addresses)%portCount
	c.reserved++
	local := netip.AddrPortFrom(addr, uint16(port))
	c.refusals[local] = ""
	return local
}

func (c *Caller) releaseLocalAddr(local netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.refusals, local)
}

// recordRefusal keeps the payload of an RST for a dial in progress; the TCP stack discards it.
func (c *Caller) recordRefusal(data []byte) {
	var p flow.Packet
	if p.Parse(data) != flow.DropNone || !p.TCP.RST || !strings.HasPrefix(string(p.Payload), refusalPrefix) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, dialing := c.refusals[p.Key.Service]; dialing {
		c.refusals[p.Key.Service] = string(p.Payload)
	}
}

// Outcome is what a caller knows about the execution of its request.
type Outcome int

// Outcomes of a request.
const (
	// OutcomeAnswered means that the whole answer arrived.
	OutcomeAnswered Outcome = iota
	// OutcomeNotRun means that no connection was established, so the request did not run.
	OutcomeNotRun
	// OutcomeUnknown means that the connection ended before the whole answer arrived; the request may have run.
	OutcomeUnknown
)

// Request sends one request on a new connection and waits for an answer of size bytes.
func (c *Caller) Request(ctx context.Context, service Endpoint, id string, size int) (Outcome, error) {
	conn, err := c.Dial(ctx, service.Address)
	if err != nil {
		return OutcomeNotRun, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	if _, err := fmt.Fprintf(conn, "%s %s %s %d\n", verbRequest, service.Service, id, size); err != nil {
		return OutcomeUnknown, err
	}
	if err := readAnswer(bufio.NewReader(conn), id); err != nil {
		return OutcomeUnknown, err
	}
	return OutcomeAnswered, nil
}

// Stream is an open stream, on which the target sends numbered lines.
type Stream struct {
	id       string
	conn     net.Conn
	reader   *bufio.Reader
	nextLine int
}

// OpenStream opens a stream on a new connection.
func (c *Caller) OpenStream(ctx context.Context, service Endpoint, id string) (*Stream, error) {
	conn, err := c.Dial(ctx, service.Address)
	if err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintf(conn, "%s %s %s\n", verbStream, service.Service, id); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return &Stream{id: id, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Receive waits for the next line and checks that it has the next number.
func (s *Stream) Receive() error {
	line, err := s.reader.ReadString('\n')
	if err != nil {
		return err
	}
	if want := fmt.Sprintf("%s %s %d\n", verbLine, s.id, s.nextLine); line != want {
		return fmt.Errorf("stream %s got the line %q instead of %q", s.id, line, want)
	}
	s.nextLine++
	return nil
}

// Echo sends a line and waits for its echo; it checks the numbered lines that arrive before.
func (s *Stream) Echo(text string) error {
	if _, err := io.WriteString(s.conn, text+"\n"); err != nil {
		return err
	}
	for {
		line, err := s.reader.ReadString('\n')
		if err != nil {
			return err
		}
		if line == text+"\n" {
			return nil
		}
		if want := fmt.Sprintf("%s %s %d\n", verbLine, s.id, s.nextLine); line != want {
			return fmt.Errorf("stream %s got the line %q instead of %q", s.id, line, want)
		}
		s.nextLine++
	}
}

// SetDeadline sets the deadline of Receive and Echo.
func (s *Stream) SetDeadline(at time.Time) error { return s.conn.SetDeadline(at) }

// LocalAddr is the caller's address and port, or the zero value if the connection's address cannot be parsed.
func (s *Stream) LocalAddr() netip.AddrPort {
	addr, err := netip.ParseAddrPort(s.conn.LocalAddr().String())
	if err != nil {
		return netip.AddrPort{}
	}
	return addr
}

// End sends END and closes the connection, so that the target counts no failure.
func (s *Stream) End() error {
	_, err := io.WriteString(s.conn, verbEnd+"\n")
	return errors.Join(err, s.conn.Close())
}

// Close closes the connection without END, which the target counts as failed.
func (s *Stream) Close() error { return s.conn.Close() }
