package main

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// clients are the clients at one address; each flow has a port of its own.
type clients struct {
	w    *world
	ip   string
	conn *net.UDPConn

	mu    sync.Mutex
	flows map[uint16]*flow
	next  uint16
}

// flow is a client's end of a flow.
type flow struct {
	c       *clients
	self    end
	route   end
	front   func() int // entry VM for the next packet
	packets chan header

	seq, ack uint32
	lastAck  uint32
	open     bool
	openedAt time.Time
	resetAt  time.Time // of a reset that is valid
	resetSeq uint32
}

func (w *world) newClients(host int) (*clients, error) {
	c := &clients{w: w, ip: w.ip(clientGroup, host), flows: map[uint16]*flow{}, next: 40001}
	at, err := net.ResolveUDPAddr("udp", w.addr(clientGroup, host, callerPort))
	if err != nil {
		return nil, err
	}
	if c.conn, err = net.ListenUDP("udp", at); err != nil {
		return nil, err
	}
	go func() {
		buffer := make([]byte, 2048)
		for {
			n, err := c.conn.Read(buffer)
			if err != nil {
				return
			}
			h, ok := parse(append([]byte(nil), buffer[:n]...))
			if !ok {
				continue
			}
			c.mu.Lock()
			f := c.flows[h.dst.port]
			c.mu.Unlock()
			if f != nil && h.src == f.route {
				select {
				case f.packets <- h:
				default:
				}
			}
		}
	}()
	return c, nil
}

func (c *clients) newFlow(route end, front func() int) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := &flow{c: c, self: endOf(c.ip, int(c.next)), route: route, front: front, packets: make(chan header, 64), seq: rand.Uint32()}
	c.flows[c.next] = f
	c.next++
	return f
}

func (f *flow) send(flags byte, ack uint32, data []byte) {
	f.lastAck = ack
	raw := encode(header{src: f.self, dst: f.route, seq: f.seq, ack: ack, flags: flags, data: data})
	to, _ := net.ResolveUDPAddr("udp", f.c.w.addr(frontGroup, f.front(), callerPort))
	_, _ = f.c.conn.WriteToUDP(raw, to)
}

// isReset reports whether a packet resets the flow.
func (f *flow) isReset(h header) bool {
	if h.flags&flagRST == 0 {
		return false
	}
	d := int32(h.seq - f.lastAck)
	if f.open && (d > 76800 || d < -76800) {
		f.c.w.rec.printf("client flow %d ignores a reset", f.self.port)
		return false
	}
	f.resetAt, f.resetSeq = time.Now(), h.seq
	return true
}

// connect opens the flow. It returns "open", "reset" or "timeout".
func (f *flow) connect() string {
	start := time.Now()
	sends := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	for copies := 0; time.Since(start) < 1400*time.Millisecond; {
		wait := 1400*time.Millisecond - time.Since(start)
		if copies < len(sends) {
			if d := sends[copies] - time.Since(start); d <= 0 {
				f.send(flagSYN, uint32(copies), nil)
				copies++
				continue
			} else {
				wait = min(wait, d)
			}
		}
		select {
		case h := <-f.packets:
			switch {
			case f.isReset(h):
				f.c.w.rec.printf("client flow %d is refused", f.self.port)
				return "reset"
			case h.flags&(flagSYN|flagACK) == flagSYN|flagACK:
				f.seq++
				f.ack = h.seq + 1
				f.open, f.openedAt = true, time.Now()
				f.send(flagACK, f.ack, nil)
				return "open"
			}
		case <-time.After(wait):
		}
	}
	f.c.w.rec.printf("client flow %d gets no answer to its SYN", f.self.port)
	return "timeout"
}

// request sends a request on the open flow. It returns "answered", "reset" or "timeout".
func (f *flow) request(data string, deadline time.Duration) (outcome, answer string) {
	start := time.Now()
	f.c.w.rec.printf("client flow %d sends %q through front-%d", f.self.port, data, f.front())
	interval, next := 200*time.Millisecond, time.Duration(0)
	for time.Since(start) < deadline {
		if time.Since(start) >= next {
			f.send(flagACK, f.ack, []byte(data))
			next, interval = next+interval, min(2*interval, 1600*time.Millisecond)
		}
		select {
		case h := <-f.packets:
			switch {
			case f.isReset(h):
				f.c.w.rec.printf("client flow %d is reset, number %d, last acknowledgement %d", f.self.port, h.seq, f.lastAck)
				return "reset", ""
			case len(h.data) > 0 && h.seq == f.ack && h.ack == f.seq+uint32(len(data)):
				f.seq += uint32(len(data))
				f.ack += uint32(len(h.data))
				f.send(flagACK, f.ack, nil)
				f.c.w.rec.printf("client flow %d gets %q", f.self.port, h.data)
				return "answered", string(h.data)
			}
		case <-time.After(min(next, deadline) - time.Since(start)):
		}
	}
	f.c.w.rec.printf("client flow %d gets no answer", f.self.port)
	return "timeout", ""
}

// poll handles packets that have arrived while the flow is idle, and reports whether it was reset.
func (f *flow) poll() bool {
	for {
		select {
		case h := <-f.packets:
			if f.isReset(h) {
				f.c.w.rec.printf("client flow %d is reset while idle, number %d, last acknowledgement %d", f.self.port, h.seq, f.lastAck)
				return true
			}
		default:
			return false
		}
	}
}
