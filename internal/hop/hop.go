// Package hop encodes the UDP datagrams between entry VMs and the relays beside targets.
//
// A datagram is a message of fixed layout in network byte order. Forward, Returned and Refused carry
// the packet of a flow behind their header, unchanged.
package hop

import (
	"encoding/binary"
	"time"

	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/result"
)

// Kind is the kind of a message.
type Kind uint8

// Kinds of messages.
const (
	// Forward carries a packet of a caller to a relay.
	Forward Kind = iota + 1
	// Admitted tells the entry VM which target has taken a flow, and how loaded that target is.
	Admitted
	// Refused gives a SYN back that no candidate took.
	Refused
	// Returned gives a packet back whose flow is not at the target of the relay.
	Returned
	// FindMany asks a relay which of several flows its target owns, and FoundMany answers it.
	FindMany
	FoundMany
	// Owns and Disowned tell the entry VM whether the target has the flow of a Forward with Probe.
	Owns
	Disowned
	// Survey asks a relay to ask others for several flows, and Surveyed answers it.
	Survey
	Surveyed
)

// MaxSurveyed bounds the relays, and MaxSurveyQuestions the flows of one Survey, whose size stays below
// the MTU.
const (
	MaxSurveyed        = 128
	MaxSurveyQuestions = 40
)

// MaxQuestions bounds the flows in one FindMany, whose size stays below the MTU.
const MaxQuestions = 64

// Question asks for the owner of a flow.
type Question struct {
	Key packet.Key
	Ack uint32
}

// Answer is what a relay says of one flow.
type Answer uint8

// Answers to a Question.
const (
	// NotOwned means that the target does not have the flow.
	NotOwned Answer = iota + 1
	// Owned means that it has.
	Owned
	// Unsure means that the relay started after its target and has not seen the flow since.
	Unsure
	// Unknown means in Surveyed that a relay did not answer.
	Unknown
)

// MaxCandidates bounds the candidates of a SYN. A chain of four meets a free slot with a probability
// above 99% at 70% of the slots in use; a longer one only delays the refusal.
const MaxCandidates = 4

// MaxChain bounds the relays that pass on a packet whose flow is looked for. Each takes about 2 ms, so that
// a chain ends well within the timeout of 60 ms.
const MaxChain = 8

// IP is the IPv4 address of a process of the system. Ports are the same on all VMs.
type IP [4]byte

// Message is a decoded datagram. Which fields are set depends on Kind.
type Message struct {
	Kind    Kind
	Service uint64 // ServiceID of the service that a SYN is for
	Entry   IP     // entry VM that answers go to
	// Key names the flow in Admitted, Seq is the sequence number of its SYN.
	Key  packet.Key
	Seq  uint32
	Load Load

	// Candidates of a SYN in the order of preference, At the position of the receiver.
	Candidates []IP
	At         uint8
	// Final asks the receiver to take the SYN if it can at all, because all others are busy.
	Final bool
	// Best is the position of the least loaded candidate so far, BestLoad its load.
	Best     uint8
	BestLoad uint8

	// Batch numbers a FindMany, Questions are its flows and Answers, in the same order, what FoundMany
	// says.
	Batch     uint32
	Questions []Question
	Answers   []Answer
	// Relays are those that a Survey is about, or the unsure ones in Surveyed. Owners are the relays that
	// own the flows, in the order of the questions; the zero address for none.
	Relays []IP
	Owners []IP

	// Probe is set in Forward if the entry VM keeps the packet and wants to know who has its flow. A relay
	// whose target does not have it passes the packet on to the next of the Candidates.
	Probe bool
	// MaxWait is the time in ms that a request of a SYN may wait at a target; zero for any. With other packets
	// it is the time within which an answer is useful; zero if that is not known. Busy is set in
	// Refused if the least loaded target would have let it wait longer.
	MaxWait uint16
	Busy    bool
	// Timeout is that of the route in ms, in Forward; zero if it is not known. Waited is the time in ms for
	// which the request that the packet may begin has waited in the system already.
	Timeout uint16
	Waited  uint16

	// Packet is the packet of the flow; it shares memory with the datagram.
	Packet []byte
}

// Milliseconds encodes a time, at most a minute.
func Milliseconds(d time.Duration) uint16 { return uint16(min(d, time.Minute).Milliseconds()) }

// Load is how busy a target is.
type Load struct {
	// Busy is the number of requests that the target works on or queues now, Mean the average over
	// about two seconds in sixteenths.
	Busy uint16
	Mean uint16
}

// Expected returns the requests that a new one would find, in sixteenths: the mean of those in progress
// now and lately.
func (l Load) Expected() uint16 { return uint16(min((int(l.Busy)*16+int(l.Mean))/2, 65535)) }

const (
	headBytes    = 8
	forwardBytes = headBytes + 8 + 4 + 4
	admittedSize = headBytes + packet.KeyBytes + 4 + 4
	manyBytes    = headBytes + 4
	questionSize = packet.KeyBytes + 4
	finalBit     = 1
	busyBit      = 2
	probeBit     = 4
)

// Append appends the encoded message to b.
//
//	0 kind, 1 flags, 2 candidates, 3 position, 4 best, 5 load of best, 6 maximum wait
func (m *Message) Append(b []byte) []byte {
	flags := byte(0)
	if m.Final {
		flags = finalBit
	}
	if m.Busy {
		flags |= busyBit
	}
	if m.Probe {
		flags |= probeBit
	}
	b = append(b, byte(m.Kind), flags, byte(len(m.Candidates)), m.At, m.Best, m.BestLoad)
	b = binary.BigEndian.AppendUint16(b, m.MaxWait)
	switch m.Kind {
	case Forward, Refused, Returned:
		b = binary.BigEndian.AppendUint64(b, m.Service)
		b = append(b, m.Entry[:]...)
		b = binary.BigEndian.AppendUint16(b, m.Timeout)
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
	case Owns, Disowned:
		return m.Key.Append(b)
	case FindMany:
		b = binary.BigEndian.AppendUint32(b, m.Batch)
		for _, q := range m.Questions {
			b = binary.BigEndian.AppendUint32(q.Key.Append(b), q.Ack)
		}
		return b
	case Survey:
		b = binary.BigEndian.AppendUint32(b, m.Batch)
		b = appendIPs(b, m.Relays)
		for _, q := range m.Questions {
			b = binary.BigEndian.AppendUint32(q.Key.Append(b), q.Ack)
		}
		return b
	case Surveyed:
		b = binary.BigEndian.AppendUint32(b, m.Batch)
		b = appendIPs(b, m.Relays)
		b = appendIPs(b, m.Owners)
		for _, a := range m.Answers {
			b = append(b, byte(a))
		}
		return b
	default: // FoundMany
		b = binary.BigEndian.AppendUint32(b, m.Batch)
		for _, a := range m.Answers {
			b = append(b, byte(a))
		}
		return b
	}
}

func appendIPs(b []byte, ips []IP) []byte {
	b = append(b, byte(len(ips)))
	for _, ip := range ips {
		b = append(b, ip[:]...)
	}
	return b
}

func parseIPs(b []byte) (ips []IP, rest []byte, ok bool) {
	if len(b) < 1 || int(b[0]) > MaxSurveyed || len(b) < 1+4*int(b[0]) {
		return nil, nil, false
	}
	rest = b[1:]
	for range b[0] {
		ips = append(ips, IP(rest[:4]))
		rest = rest[4:]
	}
	return ips, rest, true
}

// ForwardSize returns the size of a Forward.
func ForwardSize(candidates, packetBytes int) int { return forwardBytes + 4*candidates + packetBytes }

// SurveySize returns the size of a Survey.
func SurveySize(relays, questions int) int { return manyBytes + 1 + relays*4 + questions*questionSize }

// QuestionsSize returns the size of a FindMany with a number of questions.
func QuestionsSize(count int) int { return manyBytes + count*questionSize }

// Parse decodes a datagram. The candidates are stored in m.Candidates, whose memory is used again.
func (m *Message) Parse(b []byte) error {
	if len(b) < headBytes {
		return truncated(b)
	}
	candidates := m.Candidates[:0]
	*m = Message{
		Kind: Kind(b[0]), Final: b[1]&finalBit != 0, At: b[3], Best: b[4], BestLoad: b[5],
		Busy: b[1]&busyBit != 0, Probe: b[1]&probeBit != 0, MaxWait: binary.BigEndian.Uint16(b[6:]),
	}
	count := int(b[2])
	switch m.Kind {
	case Forward, Refused, Returned:
		if count > MaxChain || len(b) < forwardBytes+4*count {
			return truncated(b)
		}
		m.Service = binary.BigEndian.Uint64(b[headBytes:])
		m.Entry = IP(b[headBytes+8:])
		m.Timeout = binary.BigEndian.Uint16(b[headBytes+12:])
		m.Waited = binary.BigEndian.Uint16(b[headBytes+14:])
		rest := b[forwardBytes:]
		for range count {
			candidates = append(candidates, IP(rest[:4]))
			rest = rest[4:]
		}
		if count > 0 && (int(m.At) >= count || int(m.Best) >= count) {
			return result.New(result.PacketInvalid, "position %d of %d candidates", max(m.At, m.Best), count)
		}
		m.Candidates, m.Packet = candidates, rest
		return nil
	case Admitted:
		if len(b) < admittedSize {
			return truncated(b)
		}
		m.Key = packet.ParseKey(b[headBytes:])
		rest := b[headBytes+packet.KeyBytes:]
		m.Seq = binary.BigEndian.Uint32(rest)
		m.Load = Load{Busy: binary.BigEndian.Uint16(rest[4:]), Mean: binary.BigEndian.Uint16(rest[6:])}
		return nil
	}
	if m.Kind == Owns || m.Kind == Disowned {
		if len(b) < headBytes+packet.KeyBytes {
			return truncated(b)
		}
		m.Key = packet.ParseKey(b[headBytes:])
		return nil
	}
	return m.parseMany(b)
}

// parseMany decodes the messages about several flows.
func (m *Message) parseMany(b []byte) error {
	if m.Kind < FindMany || m.Kind > Surveyed {
		return result.New(result.PacketInvalid, "message of unknown kind %d", b[0])
	}
	if len(b) < manyBytes {
		return truncated(b)
	}
	m.Batch = binary.BigEndian.Uint32(b[headBytes:])
	rest, ok := b[manyBytes:], true
	if m.Kind == Survey || m.Kind == Surveyed {
		if m.Relays, rest, ok = parseIPs(rest); !ok {
			return truncated(b)
		}
	}
	if m.Kind == Surveyed {
		if m.Owners, rest, ok = parseIPs(rest); !ok || len(rest) != len(m.Owners) {
			return truncated(b)
		}
	}
	if m.Kind == FoundMany || m.Kind == Surveyed {
		return m.parseAnswers(rest)
	}
	if len(rest)%questionSize != 0 || len(rest) > MaxQuestions*questionSize {
		return truncated(b)
	}
	for ; len(rest) > 0; rest = rest[questionSize:] {
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
