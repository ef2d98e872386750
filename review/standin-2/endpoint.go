package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// endpoint is one incarnation of an endpoint.
type endpoint struct {
	w         *world
	id        string
	service   string
	host      int
	slots     int
	conn      *net.UDPConn
	health    net.Listener
	startedAt time.Time
	stop      chan struct{}
	beats     chan struct{} // receives a value after each acknowledged heartbeat

	mu       sync.Mutex
	alive    bool
	draining bool
	seqNo    int
	flows    map[[2]end]*serverFlow
	packets  map[end][]time.Time // arrivals by client
}

type serverFlow struct {
	isn, next, sendNext uint32
	open                bool
	lastRequest         uint32
	lastAnswer          []byte
}

func (w *world) startEndpoint(host int, id, service, zone string) (*endpoint, error) {
	at, err := net.ResolveUDPAddr("udp", w.addr(sideGroup, host, appPort))
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		w: w, id: id, service: service, host: host, slots: 5, stop: make(chan struct{}), beats: make(chan struct{}, 100),
		flows: map[[2]end]*serverFlow{}, packets: map[end][]time.Time{}, alive: true, startedAt: time.Now(),
	}
	if e.conn, err = net.ListenUDP("udp", at); err != nil {
		return nil, err
	}
	if e.health, err = net.Listen("tcp", at.String()); err != nil {
		return nil, err
	}
	w.rec.printf("endpoint %s starts beside side-%d", id, host)
	go http.Serve(e.health, http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) }))
	go e.serve()
	go func() {
		time.Sleep(w.firstBeat)
		e.heartbeats(zone)
	}()
	return e, nil
}

// crash ends the endpoint without notice.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.alive {
		return
	}
	e.alive = false
	e.w.rec.printf("endpoint %s crashes", e.id)
	close(e.stop)
	_, _ = e.conn.Close(), e.health.Close()
}

func (e *endpoint) isAlive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.alive
}

func (e *endpoint) heartbeats(zone string) {
	for e.isAlive() {
		e.mu.Lock()
		e.seqNo++
		state := "ready"
		if e.draining {
			state = "draining"
		}
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","capacitySlots":%d,"state":%q,"warmupLeftMs":0,"seqNo":%d}`,
			e.service, e.w.addr(sideGroup, e.host, appPort), zone, e.slots, state, e.seqNo)
		seq := e.seqNo
		e.mu.Unlock()
		code, _ := e.w.call(http.MethodPost, "http://"+e.w.addr(sideGroup, e.host, controlPort)+"/Instances.Heartbeat/"+e.id, body, time.Second)
		e.w.rec.printf("endpoint %s heartbeat %d: %d", e.id, seq, code)
		if code == http.StatusOK {
			select {
			case e.beats <- struct{}{}:
			default:
			}
		}
		select {
		case <-e.stop:
			return
		case <-time.After(heartbeatEvery):
		}
	}
}

func (e *endpoint) serve() {
	buffer := make([]byte, 2048)
	for {
		n, err := e.conn.Read(buffer)
		if err != nil {
			return
		}
		raw := append([]byte(nil), buffer[:n]...)
		if h, ok := parse(raw); ok {
			e.handle(raw, h)
		}
	}
}

func (e *endpoint) bounce(raw []byte) {
	raw[26] |= flagBounced
	raw[27], raw[28], raw[29] = 0, 0, 0
	e.write(raw)
}

func (e *endpoint) write(raw []byte) {
	to, _ := net.ResolveUDPAddr("udp", e.w.addr(sideGroup, e.host, outboundPort))
	_, _ = e.conn.WriteToUDP(raw, to)
}

func (e *endpoint) handle(raw []byte, h header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.alive {
		return
	}
	key := [2]end{h.src, h.dst}
	f := e.flows[key]
	e.packets[h.src] = append(e.packets[h.src], time.Now())
	answer := func(flags byte, seq uint32, data []byte) {
		e.write(encode(header{src: h.dst, dst: h.src, seq: seq, ack: f.next, flags: flags, data: data}))
	}
	switch {
	case h.flags&(flagSYN|flagACK|flagRST) == flagSYN:
		if f == nil || f.next != h.seq+1 && !f.open {
			f = &serverFlow{isn: rand.Uint32(), next: h.seq + 1}
			f.sendNext = f.isn + 1
			e.flows[key] = f
			e.w.rec.printf("endpoint %s takes the SYN of %d", e.id, h.src.port)
		}
		answer(flagSYN|flagACK, f.isn, nil)
	case f == nil:
		e.bounce(raw)
	case h.flags&flagRST != 0:
		delete(e.flows, key)
	case !f.open && h.ack != f.isn+1:
		e.bounce(raw)
	default:
		if !f.open {
			f.open = true
			e.w.rec.printf("flow %d is open at endpoint %s", h.src.port, e.id)
		}
		if len(h.data) > 0 {
			if h.seq == f.next {
				f.next += uint32(len(h.data))
				e.w.rec.printf("endpoint %s runs %q of flow %d", e.id, h.data, h.src.port)
				f.lastRequest = h.seq
				f.lastAnswer = []byte(fmt.Sprintf("%s answers %s", e.id, h.data))
				answer(flagACK, f.sendNext, f.lastAnswer)
				f.sendNext += uint32(len(f.lastAnswer))
			} else if h.seq == f.lastRequest && f.lastAnswer != nil {
				answer(flagACK, f.sendNext-uint32(len(f.lastAnswer)), f.lastAnswer)
			}
		}
		if h.flags&flagFIN != 0 {
			f.next++
			answer(flagACK|flagFIN, f.sendNext, nil)
			delete(e.flows, key)
		}
	}
}

// holds reports whether a flow of a client is open at the endpoint.
func (e *endpoint) holds(client end) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, f := range e.flows {
		if key[0] == client && f.open {
			return e.alive
		}
	}
	return false
}

// arrivals returns the times at which packets of a client's flow have arrived after a time.
func (e *endpoint) arrivals(client end, after time.Time) (times []time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, at := range e.packets[client] {
		if at.After(after) {
			times = append(times, at)
		}
	}
	return times
}
