package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Times of clients, as the pages give them.
const (
	synGiveUp       = 1400 * time.Millisecond
	firstRetransmit = 200 * time.Millisecond
	lastRetransmit  = 1600 * time.Millisecond
	requestDeadline = 1500 * time.Millisecond
)

var synCopies = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// outcome is the result of a step of a flow.
type outcome string

const (
	answered outcome = "answered"
	wasReset outcome = "reset"
	expired  outcome = "no answer"
)

// clientHost is a client machine with many flows. route returns the front to which the routers forward the packets of a
// flow.
type clientHost struct {
	w       *world
	ip      netip.Addr
	route   func(flow end) netip.AddrPort
	service end
	conn    *net.UDPConn
	port    atomic.Uint32

	mu     sync.Mutex
	flows  map[uint16]*clientFlow
	sentAt map[end]time.Time // of the first SYN
}

// clientFlow is one flow of a client.
type clientFlow struct {
	host     *clientHost
	local    end
	seq, ack uint32
	packets  chan frame
	id       string
}

func newClientHost(w *world, number int, route func(flow end) netip.AddrPort, service end) (*clientHost, error) {
	c := &clientHost{
		w: w, ip: w.ip(clientGroup, number), route: route, service: service, flows: map[uint16]*clientFlow{}, sentAt: map[end]time.Time{},
	}
	c.port.Store(uint32(20000 + rand.IntN(10000)))
	var err error
	if c.conn, err = listenUDP(w.at(c.ip, datagramPort)); err != nil {
		return nil, err
	}
	w.cleanup(func() { _ = c.conn.Close() })
	go c.receive()
	return c, nil
}

func (c *clientHost) receive() {
	buffer := make([]byte, 65536)
	for {
		n, err := c.conn.Read(buffer)
		if err != nil {
			return
		}
		p, ok := decode(append([]byte(nil), buffer[:n]...))
		if !ok || p.src != c.service || p.dst.ip != c.ip {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.port]
		c.mu.Unlock()
		if f != nil {
			select {
			case f.packets <- p:
			default:
			}
		}
	}
}

func (f *clientFlow) send(flags byte, ack uint32, data []byte) {
	p := frame{src: f.local, dst: f.host.service, flags: flags, seq: f.seq, ack: ack, data: data}
	_, _ = f.host.conn.WriteToUDPAddrPort(p.encode(), f.host.route(f.local))
}

// open opens a flow from a new port.
func (c *clientHost) open() (*clientFlow, outcome) { return c.openFrom(uint16(c.port.Add(1))) }

// openFrom opens a flow from a port.
func (c *clientHost) openFrom(port uint16) (*clientFlow, outcome) {
	f := &clientFlow{host: c, local: end{c.ip, port}, seq: rand.Uint32(), packets: make(chan frame, 64)}
	f.id = fmt.Sprintf("%s:%d", f.local.ip, f.local.port)
	c.mu.Lock()
	c.flows[f.local.port] = f
	c.sentAt[f.local] = time.Now()
	c.mu.Unlock()
	began := time.Now()
	f.send(flagSYN, 0, nil)
	for copies := 0; ; {
		next := synGiveUp
		if copies < len(synCopies) {
			next = synCopies[copies]
		}
		select {
		case p := <-f.packets:
			switch {
			case p.has(flagRST):
				return f, wasReset
			case p.has(flagSYN) && p.has(flagACK) && p.ack == f.seq+1:
				f.seq, f.ack = f.seq+1, p.seq+1
				return f, answered
			}
		case <-time.After(next - time.Since(began)):
			if copies == len(synCopies) {
				return f, expired
			}
			copies++
			f.send(flagSYN, uint32(copies), nil)
		}
	}
}

// request sends a request and waits for its answer.
func (f *clientFlow) request() outcome {
	data := fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: %s\r\nX-Greengagelock-Request-Id: %s-%d\r\n\r\n", f.host.service.ip, f.id, f.seq)
	began, pause := time.Now(), firstRetransmit
	f.send(flagACK, f.ack, data)
	retransmit := time.After(pause)
	for {
		select {
		case p := <-f.packets:
			switch {
			case p.has(flagRST) && near(p.seq, f.ack):
				return wasReset
			case len(p.data) > 0 && p.seq == f.ack && bytes.HasPrefix(p.data, []byte("HTTP/1.1 200")):
				f.seq += uint32(len(data))
				f.ack += uint32(len(p.data))
				f.send(flagACK, f.ack, nil)
				return answered
			}
		case <-retransmit:
			if time.Since(began) > requestDeadline {
				return expired
			}
			f.send(flagACK, f.ack, data)
			pause = min(2*pause, lastRetransmit)
			retransmit = time.After(pause)
		}
	}
}

// near reports whether a client takes a reset with this number on an open flow.
func near(seq, ack uint32) bool { return seq-ack <= 76800 || ack-seq <= 76800 }

// awaitReset waits for a reset of an idle flow.
func (f *clientFlow) awaitReset(timeout time.Duration) (frame, bool) {
	for deadline := time.After(timeout); ; {
		select {
		case p := <-f.packets:
			if p.has(flagRST) && near(p.seq, f.ack) {
				return p, true
			}
		case <-deadline:
			return frame{}, false
		}
	}
}

// finish closes the flow.
func (f *clientFlow) finish() {
	f.send(flagFIN|flagACK, f.ack, nil)
	select {
	case <-f.packets:
		f.seq++
		f.send(flagACK, f.ack+1, nil)
	case <-time.After(firstRetransmit):
	}
	f.host.mu.Lock()
	delete(f.host.flows, f.local.port)
	f.host.mu.Unlock()
}
