package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// endpointConfig describes one incarnation of an endpoint.
type endpointConfig struct {
	id, service, zone string
	ip                netip.Addr
	slots             int
	work              time.Duration
	// phase is the time of the second heartbeat after the first one; later ones follow at the interval of the settings.
	phase time.Duration
	// cutOff keeps the endpoint's heartbeats from being sent.
	cutOff bool
	// withoutBorn leaves out the start time, as the example in PROTOCOL.md does.
	withoutBorn bool
	// opened is called with the first packet of each flow; may be nil.
	opened func(client end, at time.Time)
}

// endpoint is one incarnation of an endpoint. It keeps to the flows and heartbeats of the pages.
type endpoint struct {
	cfg    endpointConfig
	w      *world
	born   int64
	conn   *net.UDPConn
	health net.Listener
	slots  chan struct{}
	stop   chan struct{}
	tasks  sync.WaitGroup

	mu        sync.Mutex
	flows     map[end]*serverFlow
	sequence  int
	coldUntil time.Time
	resets    int // sent by this endpoint
	lastCode  int // HTTP status of the last answer to a heartbeat
	coldSent  time.Time
}

type serverFlow struct {
	service  end
	isn      uint32
	open     bool
	next     uint32 // sequence number of the client's next data
	sent     uint32 // own next sequence number
	answer   []byte
	answered uint32 // sequence number of the last answer
	busy     bool
	ended    bool
}

// startEndpoint starts an incarnation. Its first heartbeat is sent at once.
func startEndpoint(w *world, cfg endpointConfig) (*endpoint, error) {
	e := &endpoint{
		cfg: cfg, w: w, born: time.Now().UnixMilli(), flows: map[end]*serverFlow{}, slots: make(chan struct{}, cfg.slots), stop: make(chan struct{}),
	}
	var err error
	if e.conn, err = listenUDP(w.at(cfg.ip, appPort)); err != nil {
		return nil, err
	}
	if e.health, err = net.Listen("tcp", w.at(cfg.ip, appPort).String()); err != nil {
		return nil, err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: time.Second}
	e.tasks.Go(func() { _ = server.Serve(e.health) })
	e.tasks.Go(e.receive)
	if !cfg.cutOff {
		e.tasks.Go(e.sendHeartbeats)
	}
	w.cleanup(e.crash)
	return e, nil
}

// crash ends the endpoint without a word.
func (e *endpoint) crash() {
	select {
	case <-e.stop:
		return
	default:
	}
	close(e.stop)
	_, _ = e.conn.Close(), e.health.Close()
	e.tasks.Wait()
}

// becomeCold makes the endpoint cold for a time, as its next heartbeats say.
func (e *endpoint) becomeCold(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldUntil = time.Now().Add(d)
}

// heartbeat returns the path and the body of the next heartbeat.
func (e *endpoint) heartbeat() (url, body string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	left := max(time.Until(e.coldUntil), 0)
	if left > 0 && e.coldSent.IsZero() {
		e.coldSent = time.Now()
	}
	body = fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","capacitySlots":%d,"state":"ready","warmupLeftMs":%d,"seqNo":%d`,
		e.cfg.service, e.w.at(e.cfg.ip, appPort), e.cfg.zone, e.cfg.slots, left.Milliseconds(), e.sequence)
	if !e.cfg.withoutBorn {
		body += fmt.Sprintf(`,"born":%d`, e.born)
	}
	body += "}"
	return fmt.Sprintf("http://%s/Instances.Heartbeat/%s", e.w.at(e.cfg.ip, controlPort), e.cfg.id), body
}

func (e *endpoint) sendHeartbeats() {
	for pause := e.cfg.phase; ; pause = heartbeatInterval {
		began := time.Now()
		url, body := e.heartbeat()
		// An endpoint goes on while its node does not answer, and sends the next heartbeat in time.
		code, err := call(http.MethodPost, url, body, min(time.Second, max(pause, pollTime)))
		e.recordAnswer(code, err)
		select {
		case <-e.stop:
			return
		case <-time.After(pause - time.Since(began)):
		}
	}
}

// recordAnswer records when the node begins to answer heartbeats in another way.
func (e *endpoint) recordAnswer(code int, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil && code != e.lastCode {
		e.lastCode = code
		e.w.recordf("heartbeats of %s are answered with %d", e.cfg.id, code)
	}
}

func (e *endpoint) receive() {
	buffer := make([]byte, 65536)
	for {
		n, err := e.conn.Read(buffer)
		if err != nil {
			return
		}
		raw := append([]byte(nil), buffer[:n]...)
		if f, ok := decode(raw); ok {
			e.handle(raw, &f)
		}
	}
}

func (e *endpoint) write(raw []byte) {
	_, _ = e.conn.WriteToUDPAddrPort(raw, e.w.at(e.cfg.ip, outboundPort)) // lost while the node does not run
}

func (e *endpoint) send(client end, f *serverFlow, flags byte, seq uint32, data []byte) {
	e.write((&frame{src: f.service, dst: client, flags: flags, seq: seq, ack: f.next, data: data}).encode())
}

func (e *endpoint) handle(raw []byte, p *frame) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[p.src]
	switch {
	case p.has(flagSYN):
		if f == nil || f.ended || f.next != p.seq+1 {
			f = &serverFlow{service: p.dst, isn: rand.Uint32(), next: p.seq + 1}
			f.sent = f.isn + 1
			e.flows[p.src] = f
			if e.cfg.opened != nil {
				e.cfg.opened(p.src, time.Now())
			}
		}
		e.send(p.src, f, flagSYN|flagACK, f.isn, nil)
	case f == nil, !f.open && p.ack != f.isn+1:
		e.write(bounced(raw))
	case p.has(flagRST):
		delete(e.flows, p.src)
	case f.ended:
		switch {
		case p.has(flagFIN):
			e.send(p.src, f, flagACK, f.sent, nil)
		case len(p.data) > 0:
			e.resets++
			e.send(p.src, f, flagRST, p.ack, nil)
		}
	default:
		f.open = true
		e.handleData(p, f)
	}
}

func (e *endpoint) handleData(p *frame, f *serverFlow) {
	switch {
	case len(p.data) > 0 && p.seq == f.next && !f.busy:
		f.next += uint32(len(p.data))
		f.busy = true
		client := p.src
		e.tasks.Go(func() { e.serve(client, f) })
	case len(p.data) > 0 && !f.busy && f.answer != nil && p.seq+uint32(len(p.data)) == f.next:
		e.send(p.src, f, flagACK, f.answered, f.answer) // the answer was lost
	}
	if p.has(flagFIN) && !f.busy {
		f.next++
		f.ended = true
		e.send(p.src, f, flagFIN|flagACK, f.sent, nil)
	}
}

// serve runs a request in a slot and answers it.
func (e *endpoint) serve(client end, f *serverFlow) {
	select {
	case e.slots <- struct{}{}:
	case <-e.stop:
		return
	}
	time.Sleep(e.cfg.work)
	<-e.slots
	e.mu.Lock()
	defer e.mu.Unlock()
	f.busy = false
	f.answer = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Greengagelock-Server-Stamp: %s\r\nContent-Length: 2\r\n\r\nok", e.cfg.id)
	f.answered = f.sent
	f.sent += uint32(len(f.answer))
	e.send(client, f, flagACK, f.answered, f.answer)
}

// hasOpen reports whether the endpoint has a flow of a client that is open.
func (e *endpoint) hasOpen(client end) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[client]
	return f != nil && f.open && !f.ended
}
