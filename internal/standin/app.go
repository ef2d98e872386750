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

// The application protocol is made of text lines. A caller starts with
//
//	STREAM service id        and receives "LINE id number" at an interval, and its own lines back;
//	                         it ends with the line END
//	REQUEST service id size  and receives "ANSWER id size" and a body of that size
const (
	verbStream  = "STREAM"
	verbRequest = "REQUEST"
	verbLine    = "LINE"
	verbEnd     = "END"
	verbAnswer  = "ANSWER"
)

// maxBodyBytes bounds the body of an answer, against a length that was not read in full.
const maxBodyBytes = 64 << 20

// serve runs the application on one connection of an endpoint.
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
		t.cfg.Ledger.wrongService(service)
		return fmt.Errorf("%s %s of service %s reached service %s", verb, id, service, e.Service)
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
	t.cfg.Ledger.run(e.Service, id)
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
	_, err := conn.Write(bodyOf(id, size))
	return err
}

// bodyOf returns the body of the answer to a request. It depends on the identifier, so that a
// caller notices an answer to another request.
func bodyOf(id string, size int) []byte {
	pattern := []byte(id + "/")
	return bytes.Repeat(pattern, size/len(pattern)+1)[:size]
}

// readAnswer reads and checks the answer to a request.
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
	if !bytes.Equal(body, bodyOf(id, size)) {
		return fmt.Errorf("request %s got a wrong body", id)
	}
	return nil
}
