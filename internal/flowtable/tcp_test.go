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

// chunk is data or a FIN to send.
type chunk struct {
	data string
	fin  bool
}

// tcpEnd is one end of a simulated TCP connection. It has at most one segment in flight, retransmits it,
// accepts data only in order, and checks RSTs as RFC 5961 requires.
type tcpEnd struct {
	w               *world
	local, remote   netip.AddrPort
	send            func(raw []byte)
	state           tcpState
	iss, una, nxt   uint32
	rcv             uint32
	queue           []chunk
	tries           int
	timerSeq        int // number of the current timer; earlier timers do nothing
	finSent, eof    bool
	window          uint16
	nextChallengeAt time.Duration // earliest time for the next challenge ACK

	onOpen    func()
	onData    func(data string)
	onEOF     func()
	onRefused func(reason string)
	onBroken  func(why string)
}

const (
	firstRTO   = 200 * time.Millisecond
	connectRTO = time.Second
	maxRTO     = 4 * time.Second
	maxSYNs    = 5
	maxTries   = 12

	challengeInterval = 500 * time.Millisecond
)

func (e *tcpEnd) sendSegment(s flow.Segment) {
	s.From, s.To, s.Window = e.local, e.remote, e.window
	raw, err := flow.Build(s)
	if err != nil {
		panic(err)
	}
	e.send(raw)
}

func (e *tcpEnd) ack() { e.sendSegment(flow.Segment{Seq: e.nxt, Ack: e.rcv, ACK: true}) }

// connect opens the connection as the caller.
func (e *tcpEnd) connect() {
	e.state = tcpSynSent
	e.una, e.nxt = e.iss, e.iss+1
	e.transmit()
}

// accept answers a SYN with sequence number seq as the target.
func (e *tcpEnd) accept(seq uint32) {
	e.state = tcpSynRcvd
	e.rcv = seq + 1
	e.una, e.nxt = e.iss, e.iss+1
	e.transmit()
}

// write queues a chunk, and sends it if nothing is in flight.
func (e *tcpEnd) write(c chunk) {
	e.queue = append(e.queue, c)
	if e.state == tcpOpen && e.una == e.nxt {
		e.sendNext()
	}
}

// sendNext sends the first queued chunk.
func (e *tcpEnd) sendNext() {
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

// transmit sends or retransmits the segment in flight, and arms the retransmission timer.
func (e *tcpEnd) transmit() {
	rto, limit := firstRTO, maxTries
	switch e.state {
	case tcpSynSent:
		e.sendSegment(flow.Segment{Seq: e.iss, SYN: true})
		rto, limit = connectRTO, maxSYNs
	case tcpSynRcvd:
		e.sendSegment(flow.Segment{Seq: e.iss, Ack: e.rcv, SYN: true, ACK: true})
		rto, limit = connectRTO, maxSYNs
	case tcpOpen:
		c := e.queue[0]
		e.sendSegment(flow.Segment{Seq: e.una, Ack: e.rcv, ACK: true, FIN: c.fin, Payload: []byte(c.data)})
	}
	e.tries++
	e.timerSeq++
	armed := e.timerSeq
	e.w.After(min(rto<<(e.tries-1), maxRTO), func() {
		if armed != e.timerSeq || e.state == tcpClosed || e.una == e.nxt {
			return
		}
		if e.tries < limit {
			e.transmit()
			return
		}
		e.abort("retransmissions exhausted")
	})
}

// abort ends the connection with a failure, without telling the other end.
func (e *tcpEnd) abort(reason string) {
	was := e.state
	e.state = tcpClosed
	switch {
	case was == tcpSynSent && e.onRefused != nil:
		e.onRefused(reason)
	case was == tcpOpen && e.onBroken != nil:
		e.onBroken(reason)
	}
}

// handle processes a packet, and reports whether the connection still exists.
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
			e.sendSegment(flow.Segment{Seq: p.TCP.Ack, RST: true})
		}
		return
	}
	switch {
	case p.TCP.RST && p.TCP.ACK:
		e.abort(string(p.Payload))
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
		e.sendSegment(flow.Segment{Seq: e.iss, Ack: e.rcv, SYN: true, ACK: true})
	case p.TCP.ACK && p.TCP.Ack != e.nxt:
		e.sendSegment(flow.Segment{Seq: p.TCP.Ack, RST: true})
	case p.TCP.ACK:
		e.open()
		e.inOpen(p)
	}
}

func (e *tcpEnd) open() {
	e.state = tcpOpen
	e.una = e.nxt
	e.timerSeq++
	if e.onOpen != nil {
		e.onOpen()
	}
	if e.una == e.nxt {
		e.sendNext()
	}
}

func (e *tcpEnd) inOpen(p *flow.Packet) {
	if p.TCP.RST {
		switch ahead := p.TCP.Seq - e.rcv; {
		case e.fullyClosed(): // TIME-WAIT ignores RST, as RFC 1337 asks
		case ahead == 0:
			e.abort("reset")
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
		e.sendNext()
	}
}

// receive accepts the data and the FIN of a segment that is next in order.
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

// challenge answers an unacceptable segment with an ACK. The rate is limited as in kernels, because two ends
// that answer each other's old ACKs would never stop.
func (e *tcpEnd) challenge() {
	if e.w.Now >= e.nextChallengeAt {
		e.nextChallengeAt = e.w.Now + challengeInterval
		e.ack()
	}
}

// fullyClosed reports whether both FINs were sent, received and acknowledged.
func (e *tcpEnd) fullyClosed() bool {
	return e.state == tcpOpen && e.finSent && e.una == e.nxt && len(e.queue) == 0 && e.eof
}
