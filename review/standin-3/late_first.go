package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// Figures of the case. maxHeldUp is the longest partition of single machines in the sites (node_cut, for_s 5.5).
const (
	maxHeldUp    = 5500 * time.Millisecond
	heldUpBeyond = 600 * time.Millisecond // after stableWindowMs
	downTime     = 300 * time.Millisecond // between two incarnations
)

// lateFirst judges FLOW: the first heartbeat of an endpoint is held up by a partition, and arrives after its sender has
// crashed and a new incarnation has registered at the same address. Heartbeats are those of PROTOCOL.md, without born.
func lateFirst(w *world, trouble bool) error {
	d, err := startDeployment(w, true)
	if err != nil {
		return err
	}
	cfg := d.endpoint("i-short", 1)
	cfg.cutOff = true
	short, err := startEndpoint(w, cfg)
	if err != nil {
		return err
	}
	sentAt := time.Now()
	held, err := holdUp(short)
	if err != nil {
		return err
	}
	w.recordf("%s has started and sends its first heartbeat, which is held up", short.cfg.id)
	short.crash()
	w.recordf("%s has crashed", short.cfg.id)
	time.Sleep(downTime)
	after, err := startEndpoint(w, d.endpoint("i-after", 1))
	if err != nil {
		return err
	}
	w.recordf("%s has started at the same address", after.cfg.id)
	time.Sleep(heartbeatInterval / 2) // its first heartbeat has been acknowledged
	flows, err := d.openFlows(after)
	if err != nil {
		return err
	}
	time.Sleep(time.Until(sentAt.Add(stableWindow + heldUpBeyond)))
	if trouble {
		heldUp := time.Since(sentAt)
		if heldUp > maxHeldUp {
			return fmt.Errorf("the heartbeat would have been held up for %v", heldUp)
		}
		code, err := held.deliver()
		w.recordf("the heartbeat of %s arrives after %v; answer: %d, %v", short.cfg.id, heldUp.Round(time.Millisecond), code, err)
	}
	broken := watchFlows(w, flows, after)
	w.recordf("resets sent by the endpoints: %d", d.resets()+after.resets)
	if broken > 0 {
		return fmt.Errorf("%w: FLOW: %d clients got a reset on an open flow that its endpoint did not send, while the endpoint lives", errBroken, broken)
	}
	return nil
}

// heldCall is a call whose bytes have not arrived yet. The connection was made before the partition; the sender's kernel
// goes on sending the bytes after the end of the process.
type heldCall struct {
	conn  net.Conn
	bytes []byte
}

// holdUp connects to the node beside an endpoint, and holds back the endpoint's next heartbeat.
func holdUp(e *endpoint) (*heldCall, error) {
	url, body := e.heartbeat()
	at := e.w.at(e.cfg.ip, controlPort).String()
	conn, err := net.DialTimeout("tcp", at, time.Second)
	if err != nil {
		return nil, err
	}
	e.w.cleanup(func() { _ = conn.Close() })
	path := strings.TrimPrefix(url, "http://"+at)
	return &heldCall{conn, fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", path, at, len(body), body)}, nil
}

// deliver sends the bytes and returns the status of the answer.
func (c *heldCall) deliver() (int, error) {
	if _, err := c.conn.Write(c.bytes); err != nil {
		return 0, err
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}
