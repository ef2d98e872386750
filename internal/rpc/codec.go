package rpc

import (
	"bufio"
	"context"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

var errTooLarge = errors.New("message exceeds the size limit")

// limits are the timeouts and the message size limit of one connection.
type limits struct {
	idleTimeout    time.Duration // limits the wait for the next message
	ioTimeout      time.Duration // limits reading or writing one message
	maxMessageSize int           // bytes
}

// gobConn reads and writes messages, each of which is a header and a body in gob, with timeouts and a size
// limit. It has one gob stream per direction, so that each type is described only once per connection.
type gobConn struct {
	conn        net.Conn
	limits      limits
	reader      *bufio.Reader
	readBudget  int // bytes that may still be read of the current message
	dec         *gob.Decoder
	writer      *bufio.Writer
	messageSize int
	enc         *gob.Encoder
}

func newGobConn(conn net.Conn, l limits) *gobConn {
	g := &gobConn{conn: conn, limits: l, reader: bufio.NewReader(conn)}
	g.writer = bufio.NewWriter(conn)
	g.dec = gob.NewDecoder(g)
	g.enc = gob.NewEncoder(limitedWriter{g})
	return g
}

// Read implements io.Reader for the gob decoder. It fails when a message exceeds the size limit.
func (g *gobConn) Read(p []byte) (int, error) {
	if g.readBudget <= 0 {
		return 0, errTooLarge
	}
	n, err := g.reader.Read(p[:min(len(p), g.readBudget)])
	g.readBudget -= n
	return n, err
}

// ReadByte implements io.ByteReader. Without it the gob decoder would add a buffer and read into the next
// message.
func (g *gobConn) ReadByte() (byte, error) {
	if g.readBudget <= 0 {
		return 0, errTooLarge
	}
	b, err := g.reader.ReadByte()
	g.readBudget--
	return b, err
}

// limitedWriter is the writer of the gob encoder. It fails when a message exceeds the size limit, because the
// peer would reject such a message.
type limitedWriter struct{ conn *gobConn }

func (s limitedWriter) Write(p []byte) (int, error) {
	s.conn.messageSize += len(p)
	if s.conn.messageSize > s.conn.limits.maxMessageSize {
		return 0, errTooLarge
	}
	return s.conn.writer.Write(p)
}

// readHeader waits for the next message and reads its header.
func (g *gobConn) readHeader(header any) error {
	if err := g.conn.SetReadDeadline(time.Now().Add(g.limits.idleTimeout)); err != nil {
		return err
	}
	if _, err := g.reader.Peek(1); err != nil {
		return err
	}
	g.readBudget = g.limits.maxMessageSize
	if err := g.conn.SetReadDeadline(time.Now().Add(g.limits.ioTimeout)); err != nil {
		return err
	}
	return g.dec.Decode(header)
}

func (g *gobConn) readBody(body any) error {
	// net/rpc passes nil to discard a body, and gob then skips the value.
	return g.dec.Decode(body)
}

func (g *gobConn) writeMessage(header, body any) error {
	g.messageSize = 0
	if err := g.conn.SetWriteDeadline(time.Now().Add(g.limits.ioTimeout)); err != nil {
		return err
	}
	if err := g.enc.Encode(header); err != nil {
		return err
	}
	if err := g.enc.Encode(body); err != nil {
		return err
	}
	return g.writer.Flush()
}

func (g *gobConn) close() error { return g.conn.Close() }

// semaphore limits concurrent calls or connections.
type semaphore chan struct{}

// serverCodec is the server side of a connection. After it has read the header of a request, it waits until
// the numbers of running calls of the connection and of the server are below their limits. Until then it reads
// nothing more from the peer.
type serverCodec struct {
	*gobConn
	ctx         context.Context
	cancel      context.CancelFunc // cancels the calls of the connection
	connCalls   semaphore
	serverCalls semaphore
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.readHeader(r); err != nil {
		c.cancel()
		return err
	}
	if err := c.acquire(); err != nil {
		return err
	}
	// An error of SetReadDeadline occurs again when the body is read. If it were returned here, the
	// semaphores would never be released, because net/rpc would not send a response.
	_ = c.conn.SetReadDeadline(time.Now().Add(c.limits.ioTimeout))
	return nil
}

// acquire waits for both semaphores. It returns io.EOF if the connection ends first.
func (c *serverCodec) acquire() error {
	select {
	case c.connCalls <- struct{}{}:
	case <-c.ctx.Done():
		return io.EOF
	}
	select {
	case c.serverCalls <- struct{}{}:
		return nil
	case <-c.ctx.Done():
		<-c.connCalls
		return io.EOF
	}
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse implements rpc.ServerCodec. net/rpc calls it once per request, so it releases the semaphores.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.release()
	err := c.writeMessage(r, body)
	if err != nil {
		// The stream is unusable after an incomplete message. Closing the connection ends the reader too.
		_ = c.close()
	}
	return err
}

func (c *serverCodec) release() {
	<-c.connCalls
	<-c.serverCalls
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error { return c.close() }

// clientCodec is the client side of a connection.
type clientCodec struct {
	*gobConn
	broken atomic.Bool // reading has failed, so no response can be received
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	err := c.writeMessage(r, body)
	if err != nil {
		_ = c.close()
	}
	return err
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.readHeader(r)
	if err != nil {
		c.broken.Store(true)
		// net/rpc does not close the connection after a read error.
		_ = c.close()
	}
	return err
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error { return c.close() }
