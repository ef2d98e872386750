package flowtable_test

import (
	"net/netip"
	"time"

	"github.com/greengagelock/greengagelock/internal/flow"
)

// tcpState is the state of one end of a connection.
type tcpState int

const (
	tcpSynSent tcpState = iota
	tcpSynRcvd
	tcpOpen
	tcpClosed
)

// chunk is something to send: data or the FIN.
type chunk struct {
	data string
	fin  bool
}

// tcpEnd is one end of a TCP connection: it has one segment in flight, retransmits it, takes data in
// order only, and checks RSTs as RFC 5961 does.
type tcpEnd struct {
	w             *world
	local, remote netip.AddrPort
	send          func(raw []byte)
	state         tcpState
	iss, una, nxt uint32
	rcv           uint32
	queue         []chunk
	tries         int
	timer         int // counts armed timers, so that old ones do nothing
	finSent, eof  bool
	window        uint16
	nextAnswer    time.Duration // to an old segment without data

	onOpen   func()
	onData   func(data string)
	onEOF    func()
	onRefuse func(reason string)
	onBreak  func(why string)
}

const (
	firstRTO   = 200 * time.Millisecond
	connectRTO = time.Second
	maxRTO     = 4 * time.Second
	maxSYNs    = 5
	maxTries   = 12

	answerInterval = 500 * time.Millisecond
)

func (e *tcpEnd) emit(s flow.Segment) {
	s.From, s.To, s.Window = e.local, e.remote, e.window
	raw, err := flow.Build(s)
	if err != nil {
		panic(err)
	}
	e.send(raw)
}

func (e *tcpEnd) ack() { e.emit(flow.Segment{Seq: e.nxt, Ack: e.rcv, ACK: true}) }

// connect sends the SYN of a caller.
func (e *tcpEnd) connect() {
	e.state = tcpSynSent
	e.una, e.nxt = e.iss, e.iss+1
	e.transmit()
}

// accept answers the SYN of a caller.
func (e *tcpEnd) accept(seq uint32) {
	e.state = tcpSynRcvd
	e.rcv = seq + 1
	e.una, e.nxt = e.iss, e.iss+1
	e.transmit()
}

// write queues data or the FIN.
func (e *tcpEnd) write(c chunk) {
	e.queue = append(e.queue, c)
	if e.state == tcpOpen && e.una == e.nxt {
		e.next()
	}
}

// next sends the first queued chunk.
func (e *tcpEnd) next() {
	if len(e.queue) == 0 || e.state != tcpOpen {
		return
	}
	e.nxt = e.una + uint32(len(e.queue[0].data))
	if e.queue[0].fin {
		e.nxt++
		e.finSent = true
	}
	e.tries = 0
	e.transmit()
}

// transmit sends what is in flight and arms the timer.
func (e *tcpEnd) transmit() {
	rto, limit := firstRTO, maxTries
	switch e.state {
	case tcpSynSent:
		e.emit(flow.Segment{Seq: e.iss, SYN: true})
		rto, limit = connectRTO, maxSYNs
	case tcpSynRcvd:
		e.emit(flow.Segment{Seq: e.iss, Ack: e.rcv, SYN: true, ACK: true})
		rto, limit = connectRTO, maxSYNs
	case tcpOpen:
		c := e.queue[0]
		e.emit(flow.Segment{Seq: e.una, Ack: e.rcv, ACK: true, FIN: c.fin, Payload: []byte(c.data)})
	}
	e.tries++
	e.timer++
	armed := e.timer
	e.w.after(min(rto<<(e.tries-1), maxRTO), func() {
		if armed != e.timer || e.state == tcpClosed || e.una == e.nxt {
			return
		}
		if e.tries < limit {
			e.transmit()
			return
		}
		e.fail("retransmissions exhausted")
	})
}

// fail ends the connection from this side.
func (e *tcpEnd) fail(why string) {
	was := e.state
	e.state = tcpClosed
	switch {
	case was == tcpSynSent && e.onRefuse != nil:
		e.onRefuse(why)
	case was == tcpOpen && e.onBreak != nil:
		e.onBreak(why)
	}
}

// handle processes a packet. It reports whether the connection still exists.
func (e *tcpEnd) handle(p *flow.Packet) bool {
	switch e.state {
	case tcpSynSent:
		e.inSynSent(p)
	case tcpSynRcvd:
		e.inSynRcvd(p)
	case tcpOpen:
		e.inOpen(p)
	}
	return e.state != tcpClosed
}

func (e *tcpEnd) inSynSent(p *flow.Packet) {
	if p.TCP.ACK && p.TCP.Ack != e.nxt {
		if !p.TCP.RST {
			e.emit(flow.Segment{Seq: p.TCP.Ack, RST: true})
		}
		return
	}
	switch {
	case p.TCP.RST && p.TCP.ACK:
		e.fail(string(p.Payload))
	case p.TCP.SYN && p.TCP.ACK:
		e.rcv = p.TCP.Seq + 1
		e.open()
		if e.una == e.nxt {
			e.ack()
		}
	}
}

func (e *tcpEnd) inSynRcvd(p *flow.Packet) {
	switch {
	case p.TCP.RST:
		if p.TCP.Seq == e.rcv {
			e.state = tcpClosed
		}
	case p.TCP.SYN:
		e.emit(flow.Segment{Seq: e.iss, Ack: e.rcv, SYN: true, ACK: true})
	case p.TCP.ACK && p.TCP.Ack != e.nxt:
		e.emit(flow.Segment{Seq: p.TCP.Ack, RST: true})
	case p.TCP.ACK:
		e.open()
		e.inOpen(p)
	}
}

func (e *tcpEnd) open() {
	e.state = tcpOpen
	e.una = e.nxt
	e.timer++
	if e.onOpen != nil {
		e.onOpen()
	}
	if e.una == e.nxt {
		e.next()
	}
}

func (e *tcpEnd) inOpen(p *flow.Packet) {
	if p.TCP.RST {
		switch ahead := p.TCP.Seq - e.rcv; {
		case e.done(): // TIME-WAIT ignores RST, as RFC 1337 asks
		case ahead == 0:
			e.fail("reset")
		case ahead < uint32(e.window):
			e.ack()
		}
		return
	}
	if p.TCP.SYN || int32(p.TCP.Ack-e.nxt) > 0 {
		e.challenge()
		return
	}
	if int32(p.TCP.Ack-e.una) > 0 && p.TCP.Ack == e.nxt {
		e.una = e.nxt
		e.queue = e.queue[1:]
	}
	e.receive(p)
	if e.state == tcpOpen && e.una == e.nxt {
		e.next()
	}
}

// receive takes the data and the FIN of a segment that is next in order.
func (e *tcpEnd) receive(p *flow.Packet) {
	empty := p.SegmentLength() == 0
	if p.TCP.Seq != e.rcv {
		if empty {
			e.challenge()
		} else {
			e.ack()
		}
		return
	}
	if empty {
		return
	}
	e.rcv += p.SegmentLength()
	e.ack()
	if len(p.Payload) > 0 && e.onData != nil {
		e.onData(string(p.Payload))
	}
	if p.TCP.FIN {
		e.eof = true
		if e.onEOF != nil {
			e.onEOF()
		}
	}
}

// challenge answers a segment that does not fit. Two ends that answer each other's old ACKs would
// never stop, so kernels limit these answers.
func (e *tcpEnd) challenge() {
	if e.w.now >= e.nextAnswer {
		e.nextAnswer = e.w.now + answerInterval
		e.ack()
	}
}

// done reports whether both directions are closed and acknowledged.
func (e *tcpEnd) done() bool {
	return e.state == tcpOpen && e.finSent && e.una == e.nxt && len(e.queue) == 0 && e.eof
}
