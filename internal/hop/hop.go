// Package hop encodes the UDP datagrams between entry VMs and relays, and among relays. A relay runs beside
// each target.
//
// A datagram is one message of fixed layout in network byte order. Forward, Returned and Refused carry the
// packet of a flow unchanged behind their header. An owner query asks relays which flows their targets own;
// a fan-out query asks one relay, the coordinator, to send owner queries to many relays and to collect
// their answers.
package hop

import (
	"encoding/binary"
	"time"

	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/result"
)

// Kind is the kind of a message.
type Kind uint8

// Kinds of messages. Their values are part of the datagram format.
const (
	// Forward carries a packet of a caller to a relay.
	Forward Kind = iota + 1
	// Admitted tells the entry VM which target has accepted a flow, and the load of that target.
	Admitted
	// Refused gives back a SYN that no candidate has taken.
	Refused
	// Returned gives back a packet whose flow is not at the target of the relay.
	Returned
	// OwnerQuery asks a relay which of several flows its target owns. OwnerReply answers it.
	OwnerQuery
	OwnerReply
	// ProbeOwned and ProbeNotOwned answer a Forward with Probe: whether the target has the flow.
	ProbeOwned
	ProbeNotOwned
	// FanoutQuery asks a relay, the coordinator, to send an OwnerQuery for several flows to many relays.
	// FanoutReply returns the answers.
	FanoutQuery
	FanoutReply
)

// Kinds of the datagrams of other packages, which share the port with the messages of this one. Their values are part of
// the format.
const (
	KindAnnouncement      byte = iota + 64 // package roster
	KindAnswer                             // package roster
	KindCheckpointPart                     // package checkpoint
	KindCheckpointRequest                  // package checkpoint
	KindCheckpointResync                   // package checkpoint
	KindEvacuations                        // package roster
	KindEvacuationsHeld                    // package roster
)

// MaxFanoutRelays and MaxFanoutQuestions bound the relays and flows of one fan-out query to the MTU.
const (
	MaxFanoutRelays    = 128
	MaxFanoutQuestions = 40
)

// MaxQuestions bounds the flows of one owner query to the MTU.
const MaxQuestions = 64

// Question asks a relay whether its target owns a flow.
type Question struct {
	Key packet.Key
	Ack uint32
}

// Answer is the answer of a relay to a Question.
type Answer uint8

// Answers to a Question.
const (
	// NotOwned means that the target does not have the flow.
	NotOwned Answer = iota + 1
	// Owned means that the target has the flow.
	Owned
	// Unsure means that the relay started after its target and has not seen the flow since.
	Unsure
	// NoReply means that a relay did not reply. It occurs only in replies to fan-out queries.
	NoReply
)

// MaxCandidates bounds the candidates of a SYN. With 70% of the slots in use, one of four targets has a
// free slot with a probability above 99%; a longer chain only delays the refusal.
const MaxCandidates = 4

// MaxChain bounds the relays in the chain of a probe. Each takes about 2 ms, so that a chain ends well
// within the entry VM's probe timeout of 60 ms.
const MaxChain = 8

// IP is the IPv4 address of an entry VM, relay or controller. The UDP port is the same on all VMs.
type IP [4]byte

// Message is a decoded datagram. Its Kind determines which fields are set.
type Message struct {
	Kind    Kind
	Service uint64 // ServiceID of the service that a SYN is for
	Entry   IP     // entry VM that replies go to
	// Key identifies the flow in Admitted and the replies to probes. Seq is the sequence number of its SYN.
	Key  packet.Key
	Seq  uint32
	Load Load

	// Candidates are the relays of a chain in their order; At is the index of the receiver.
	Candidates []IP
	At         uint8
	// Final asks the receiver to take the SYN if possible, because all other candidates are busy.
	Final bool
	// Best is the index of the least loaded candidate so far. BestLoad is its load in eighths of a request
	// per slot; zero if none is known.
	Best     uint8
	BestLoad uint8

	// Batch identifies a query; its reply repeats it. Questions are the flows of a query, and Answers their
	// answers in the same order.
	Batch     uint32
	Questions []Question
	Answers   []Answer
	// Relays are the relays to query in a fan-out query, or the unsure ones in its reply. Owners are the
	// owners of the flows in the order of the questions; the zero address for none.
	Relays []IP
	Owners []IP

	// Probe is set in Forward if the entry VM keeps a copy of the packet to learn who has its flow. A relay
	// whose target does not have it passes the packet on to the next of Candidates.
	Probe bool
	// MaxWait is in milliseconds: with a SYN, the time for which its request may wait for a slot, zero for
	// no limit; with other packets, the latency objective of the route, zero if unknown. Busy is set in
	// Refused if even the least loaded target would exceed MaxWait.
	MaxWait uint16
	Busy    bool
	// Timeout is the timeout of the route in milliseconds, zero if unknown. Waited is the time in
	// milliseconds for which a request that begins with this packet has waited already.
	Timeout uint16
	Waited  uint16
	// ColdLimit, of an offered SYN, is the number of flows a second that a target of the service may get while it is
	// cold; zero for no limit. It takes the place of Timeout in the datagram, which no build reads of an offered SYN.
	ColdLimit uint16

	// Packet is the packet of the flow. It shares memory with the datagram.
	Packet []byte
}

// Milliseconds returns a duration in milliseconds, at most one minute.
func Milliseconds(d time.Duration) uint16 { return uint16(min(d, time.Minute).Milliseconds()) }

// Load is the load of a target.
type Load struct {
	// Busy is the number of requests that the target processes or queues now. Mean is their average over
	// about two seconds, in sixteenths of a request.
	Busy uint16
	Mean uint16
}

// ExpectedSixteenths returns the number of requests that a new one will find, in sixteenths of a request: the mean of
// the current number and the average.
func (l Load) ExpectedSixteenths() uint16 { return uint16(min((int(l.Busy)*16+int(l.Mean))/2, 65535)) }

const (
	headerBytes        = 8
	forwardHeaderBytes = headerBytes + 8 + 4 + 4
	admittedBytes      = headerBytes + packet.KeyBytes + 4 + 4
	batchHeaderBytes   = headerBytes + 4
	questionBytes      = packet.KeyBytes + 4
	finalFlag          = 1
	busyFlag           = 2
	probeFlag          = 4
)

// Append appends the encoded message to b. The common header has one byte each for kind, flags, number of
// candidates, At, Best and BestLoad, and two bytes for MaxWait.
func (m *Message) Append(b []byte) []byte {
	flags := byte(0)
	if m.Final {
		flags = finalFlag
	}
	if m.Busy {
		flags |= busyFlag
	}
	if m.Probe {
		flags |= probeFlag
	}
	b = append(b, byte(m.Kind), flags, byte(len(m.Candidates)), m.At, m.Best, m.BestLoad)
	b = binary.BigEndian.AppendUint16(b, m.MaxWait)
	switch m.Kind {
	case Forward, Refused, Returned:
		b = binary.BigEndian.AppendUint64(b, m.Service)
		b = append(b, m.Entry[:]...)
		timeout := m.Timeout
		if m.isOffer() {
			timeout = m.ColdLimit
		}
		b = binary.BigEndian.AppendUint16(b, timeout)
		b = binary.BigEndian.AppendUint16(b, m.Waited)
		for _, c := range m.Candidates {
			b = append(b, c[:]...)
		}
		return append(b, m.Packet...)
	case Admitted:
		b = m.Key.Append(b)
		b = binary.BigEndian.AppendUint32(b, m.Seq)
		b = binary.BigEndian.AppendUint16(b, m.Load.Busy)
		return binary.BigEndian.AppendUint16(b, m.Load.Mean)
	case ProbeOwned, ProbeNotOwned:
		return m.Key.Append(b)
	case OwnerQuery:
		b = binary.BigEndian.AppendUint32(b, m.Batch)
		for _, q := range m.Questions {
			b = binary.BigEndian.AppendUint32(q.Key.Append(b), q.Ack)
		}
		return b
	case FanoutQuery:
		b = binary.BigEndian.AppendUint32(b, m.Batch)
		b = appendIPs(b, m.Relays)
		for _, q := range m.Questions {
			b = binary.BigEndian.AppendUint32(q.Key.Append(b), q.Ack)
		}
		return b
	case FanoutReply:
		b = binary.BigEndian.AppendUint32(b, m.Batch)
		b = appendIPs(b, m.Relays)
		b = appendIPs(b, m.Owners)
		for _, a := range m.Answers {
			b = append(b, byte(a))
		}
		return b
	default: // reply to an owner query
		b = binary.BigEndian.AppendUint32(b, m.Batch)
		for _, a := range m.Answers {
			b = append(b, byte(a))
		}
		return b
	}
}

// isOffer reports whether the message offers a SYN to candidates.
func (m *Message) isOffer() bool { return m.Kind == Forward && len(m.Candidates) > 0 && !m.Probe }

func appendIPs(b []byte, ips []IP) []byte {
	b = append(b, byte(len(ips)))
	for _, ip := range ips {
		b = append(b, ip[:]...)
	}
	return b
}

func parseIPs(b []byte) (ips []IP, rest []byte, ok bool) {
	if len(b) < 1 || int(b[0]) > MaxFanoutRelays || len(b) < 1+4*int(b[0]) {
		return nil, nil, false
	}
	rest = b[1:]
	for range b[0] {
		ips = append(ips, IP(rest[:4]))
		rest = rest[4:]
	}
	return ips, rest, true
}

// ForwardSize returns the size of a Forward in bytes.
func ForwardSize(candidates, packetBytes int) int {
	return forwardHeaderBytes + 4*candidates + packetBytes
}

// FanoutQuerySize returns the size of a fan-out query in bytes.
func FanoutQuerySize(relays, questions int) int {
	return batchHeaderBytes + 1 + relays*4 + questions*questionBytes
}

// OwnerQuerySize returns the size of an owner query in bytes.
func OwnerQuerySize(questions int) int { return batchHeaderBytes + questions*questionBytes }

// Parse decodes a datagram. It reuses the memory of m.Candidates.
func (m *Message) Parse(b []byte) error {
	if len(b) < headerBytes {
		return truncated(b)
	}
	candidates := m.Candidates[:0]
	*m = Message{
		Kind: Kind(b[0]), Final: b[1]&finalFlag != 0, At: b[3], Best: b[4], BestLoad: b[5],
		Busy: b[1]&busyFlag != 0, Probe: b[1]&probeFlag != 0, MaxWait: binary.BigEndian.Uint16(b[6:]),
	}
	count := int(b[2])
	switch m.Kind {
	case Forward, Refused, Returned:
		if count > MaxChain || len(b) < forwardHeaderBytes+4*count {
			return truncated(b)
		}
		m.Service = binary.BigEndian.Uint64(b[headerBytes:])
		m.Entry = IP(b[headerBytes+8:])
		m.Timeout = binary.BigEndian.Uint16(b[headerBytes+12:])
		m.Waited = binary.BigEndian.Uint16(b[headerBytes+14:])
		rest := b[forwardHeaderBytes:]
		for range count {
			candidates = append(candidates, IP(rest[:4]))
			rest = rest[4:]
		}
		if count > 0 && (int(m.At) >= count || int(m.Best) >= count) {
			return result.New(result.PacketInvalid, "position %d of %d candidates", max(m.At, m.Best), count)
		}
		m.Candidates, m.Packet = candidates, rest
		if m.isOffer() {
			m.Timeout, m.ColdLimit = 0, m.Timeout
		}
		return nil
	case Admitted:
		if len(b) < admittedBytes {
			return truncated(b)
		}
		m.Key = packet.ParseKey(b[headerBytes:])
		rest := b[headerBytes+packet.KeyBytes:]
		m.Seq = binary.BigEndian.Uint32(rest)
		m.Load = Load{Busy: binary.BigEndian.Uint16(rest[4:]), Mean: binary.BigEndian.Uint16(rest[6:])}
		return nil
	}
	if m.Kind == ProbeOwned || m.Kind == ProbeNotOwned {
		if len(b) < headerBytes+packet.KeyBytes {
			return truncated(b)
		}
		m.Key = packet.ParseKey(b[headerBytes:])
		return nil
	}
	return m.parseBatch(b)
}

// parseBatch decodes queries and their replies.
func (m *Message) parseBatch(b []byte) error {
	if m.Kind < OwnerQuery || m.Kind > FanoutReply {
		return result.New(result.PacketInvalid, "message of unknown kind %d", b[0])
	}
	if len(b) < batchHeaderBytes {
		return truncated(b)
	}
	m.Batch = binary.BigEndian.Uint32(b[headerBytes:])
	rest, ok := b[batchHeaderBytes:], true
	if m.Kind == FanoutQuery || m.Kind == FanoutReply {
		if m.Relays, rest, ok = parseIPs(rest); !ok {
			return truncated(b)
		}
	}
	if m.Kind == FanoutReply {
		if m.Owners, rest, ok = parseIPs(rest); !ok || len(rest) != len(m.Owners) {
			return truncated(b)
		}
	}
	if m.Kind == OwnerReply || m.Kind == FanoutReply {
		return m.parseAnswers(rest)
	}
	if len(rest)%questionBytes != 0 || len(rest) > MaxQuestions*questionBytes {
		return truncated(b)
	}
	for ; len(rest) > 0; rest = rest[questionBytes:] {
		m.Questions = append(m.Questions, Question{Key: packet.ParseKey(rest), Ack: binary.BigEndian.Uint32(rest[packet.KeyBytes:])})
	}
	return nil
}

func (m *Message) parseAnswers(b []byte) error {
	if len(b) > MaxQuestions {
		return result.New(result.PacketInvalid, "%d answers, want at most %d", len(b), MaxQuestions)
	}
	for _, a := range b {
		m.Answers = append(m.Answers, Answer(a))
	}
	return nil
}

func truncated(b []byte) error {
	return result.New(result.PacketInvalid, "message of %d bytes is truncated", len(b))
}
