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

// limits bounds the messages of one connection.
type limits struct {
	idle       time.Duration // wait for the next message
	io         time.Duration // read or write of one message
	maxMessage int
}

// wire reads and writes gob values with deadlines and a size limit. The gob streams last as long
// as the connection, so that types are described once.
type wire struct {
	conn   net.Conn
	limits limits
	in     *bufio.Reader
	left   int // bytes that the current message may still take
	dec    *gob.Decoder
	out    *bufio.Writer
	sent   int
	enc    *gob.Encoder
}

func newWire(conn net.Conn, l limits) *wire {
	w := &wire{conn: conn, limits: l, in: bufio.NewReader(conn)}
	w.out = bufio.NewWriter(conn)
	w.dec = gob.NewDecoder(w)
	w.enc = gob.NewEncoder(sizeWriter{w})
	return w
}

// Read is for the decoder. It fails once the message exceeds its limit.
func (w *wire) Read(p []byte) (int, error) {
	if w.left <= 0 {
		return 0, errTooLarge
	}
	n, err := w.in.Read(p[:min(len(p), w.left)])
	w.left -= n
	return n, err
}

// ReadByte keeps the decoder from reading ahead into the next message.
func (w *wire) ReadByte() (byte, error) {
	if w.left <= 0 {
		return 0, errTooLarge
	}
	b, err := w.in.ReadByte()
	w.left--
	return b, err
}

// sizeWriter is for the encoder. It fails once the message exceeds its limit, so that a message
// that the peer would refuse is not sent in the first place.
type sizeWriter struct{ w *wire }

func (s sizeWriter) Write(p []byte) (int, error) {
	s.w.sent += len(p)
	if s.w.sent > s.w.limits.maxMessage {
		return 0, errTooLarge
	}
	return s.w.out.Write(p)
}

// next waits for a message and reads its header.
func (w *wire) next(header any) error {
	if err := w.conn.SetReadDeadline(time.Now().Add(w.limits.idle)); err != nil {
		return err
	}
	if _, err := w.in.Peek(1); err != nil {
		return err
	}
	w.left = w.limits.maxMessage
	if err := w.conn.SetReadDeadline(time.Now().Add(w.limits.io)); err != nil {
		return err
	}
	return w.dec.Decode(header)
}

func (w *wire) body(body any) error {
	// A nil body means that the value is to be read and dropped, for which gob takes nil.
	return w.dec.Decode(body)
}

func (w *wire) write(header, body any) error {
	w.sent = 0
	if err := w.conn.SetWriteDeadline(time.Now().Add(w.limits.io)); err != nil {
		return err
	}
	if err := w.enc.Encode(header); err != nil {
		return err
	}
	if err := w.enc.Encode(body); err != nil {
		return err
	}
	return w.out.Flush()
}

func (w *wire) close() error { return w.conn.Close() }

// slots bounds the calls that run at the same time.
type slots chan struct{}

// serverCodec is the server's side of a connection. After the header of a request it waits until
// a slot of the connection and one of the server are free, so a peer that sends more waits.
type serverCodec struct {
	*wire
	ctx    context.Context
	cancel context.CancelFunc // ends the calls of the connection
	own    slots
	total  slots
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.next(r); err != nil {
		c.cancel()
		return err
	}
	if err := c.acquire(); err != nil {
		return err
	}
	// An error of this call comes up again when the body is read. Returning it here would keep
	// the slots, because net/rpc sends no response then.
	_ = c.conn.SetReadDeadline(time.Now().Add(c.limits.io))
	return nil
}

func (c *serverCodec) acquire() error {
	select {
	case c.own <- struct{}{}:
	case <-c.ctx.Done():
		return io.EOF
	}
	select {
	case c.total <- struct{}{}:
		return nil
	case <-c.ctx.Done():
		<-c.own
		return io.EOF
	}
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error { return c.body(body) }

// WriteResponse implements rpc.ServerCodec. net/rpc calls it once for each request.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.release()
	err := c.write(r, body)
	if err != nil {
		// The stream is unusable after a part of a message. Closing it ends the reader as well.
		_ = c.close()
	}
	return err
}

func (c *serverCodec) release() {
	<-c.own
	<-c.total
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error { return c.close() }

// clientCodec is the client's side of a connection.
type clientCodec struct {
	*wire
	ended atomic.Bool // no response can come any more
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	err := c.write(r, body)
	if err != nil {
		_ = c.close()
	}
	return err
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.next(r)
	if err != nil {
		c.ended.Store(true)
		// net/rpc leaves the connection open then.
		_ = c.close()
	}
	return err
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error { return c.body(body) }

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error { return c.close() }
