package standin

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"time"
)

// The application protocol consists of text lines. The first line of a caller is one of
//
//	STREAM service id        the target sends "LINE id number" periodically and echoes the caller's
//	                         lines; the caller ends the stream with the line END
//	REQUEST service id size  the target replies with "ANSWER id size" and a body of size bytes
const (
	verbStream  = "STREAM"
	verbRequest = "REQUEST"
	verbLine    = "LINE"
	verbEnd     = "END"
	verbAnswer  = "ANSWER"
)

// maxBodyBytes limits the body of an answer, so that a corrupt or truncated length does not allocate
// an arbitrary amount of memory.
const maxBodyBytes = 64 << 20

// serve runs the application protocol on one connection to an endpoint.
func (t *Target) serve(ctx context.Context, e *endpoint, conn net.Conn) error {
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	if err != nil {
		return err
	}
	var verb, service, id string
	var size int
	n, _ := fmt.Sscan(line, &verb, &service, &id, &size)
	if n < 3 {
		return fmt.Errorf("malformed line %q", line)
	}
	if service != e.Service {
		t.cfg.Ledger.recordWrongService(service)
		return fmt.Errorf("%s %s for service %s reached service %s", verb, id, service, e.Service)
	}
	if verb == verbStream {
		return t.serveStream(conn, reader, id)
	}
	return t.serveRequest(ctx, e, conn, id, size)
}

func (t *Target) serveStream(conn net.Conn, reader *bufio.Reader, id string) error {
	lines := make(chan string)
	done := make(chan struct{})
	defer close(done)
	t.serving.Go(func() {
		defer close(lines)
		for {
			line, err := reader.ReadString('\n')
			if err != nil {
				return
			}
			select {
			case lines <- line:
			case <-done:
				return
			}
		}
	})
	ticker := time.NewTicker(t.cfg.LineInterval)
	defer ticker.Stop()
	for number := 0; ; {
		select {
		case line, open := <-lines:
			if !open {
				return fmt.Errorf("stream %s ended without %s", id, verbEnd)
			}
			if line == verbEnd+"\n" {
				return nil
			}
			if _, err := io.WriteString(conn, line); err != nil {
				return err
			}
		case <-ticker.C:
			if _, err := fmt.Fprintf(conn, "%s %s %d\n", verbLine, id, number); err != nil {
				return err
			}
			number++
		}
	}
}

func (t *Target) serveRequest(ctx context.Context, e *endpoint, conn net.Conn, id string, size int) error {
	t.cfg.Ledger.recordRun(e.Service, id)
	busy := e.busy.Add(1)
	defer e.busy.Add(-1)
	if int(busy) > t.cfg.Slots {
		e.overloaded.Add(1)
	}
	work, cancel := context.WithTimeout(ctx, t.cfg.ServiceTime)
	defer cancel()
	<-work.Done()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if _, err := fmt.Fprintf(conn, "%s %s %d\n", verbAnswer, id, size); err != nil {
		return err
	}
	_, err := conn.Write(answerBody(id, size))
	return err
}

// answerBody returns the body of the answer to a request. Its content is derived from the request's
// identifier, so that a caller detects the answer to another request.
func answerBody(id string, size int) []byte {
	pattern := []byte(id + "/")
	return bytes.Repeat(pattern, size/len(pattern)+1)[:size]
}

// readAnswer reads the answer to a request and verifies its identifier and body.
func readAnswer(reader *bufio.Reader, id string) error {
	line, err := reader.ReadString('\n')
	if err != nil {
		return err
	}
	var verb, got string
	var size int
	if _, err := fmt.Sscan(line, &verb, &got, &size); err != nil {
		return fmt.Errorf("malformed answer %q", line)
	}
	if verb != verbAnswer || got != id || size < 0 || size > maxBodyBytes {
		return fmt.Errorf("request %s got the answer %q", id, line)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(reader, body); err != nil {
		return err
	}
	if !bytes.Equal(body, answerBody(id, size)) {
		return fmt.Errorf("request %s got a wrong body", id)
	}
	return nil
}
