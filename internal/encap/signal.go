package encap

import (
	"encoding/binary"

	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/model"
)

// SignalKind says what an agent tells another agent of the same service about its slots.
type SignalKind uint8

// Kinds of signals.
const (
	// SignalWaiting says that a SYN has begun to wait at the sender.
	SignalWaiting SignalKind = iota + 1
	// SignalOffer says that the sender has a free slot for the oldest SYN of the receiver.
	SignalOffer
	// SignalDecline answers an offer: no SYN waits at the sender any more.
	SignalDecline
)

// Signal lets the targets of a service work like one queue with many slots. It is never needed for
// correctness: a lost signal only leaves a SYN in the queue of its agent.
type Signal struct {
	Kind    SignalKind
	Service model.ServiceID
	From    Candidate
}

// Append appends the encoded signal to dst.
func (s *Signal) Append(dst []byte, key *Key) []byte {
	var buf [HintBytes]byte
	buf[0] = Version
	buf[1] = typeSignal
	buf[2] = byte(s.Kind)
	binary.BigEndian.PutUint32(buf[4:], uint32(s.Service))
	putAddrPort(buf[8:14], s.From.Agent)
	binary.BigEndian.PutUint16(buf[14:], s.From.Target)
	binary.BigEndian.PutUint64(buf[tagOffset:], tagOf(key, buf[:], nil))
	return append(dst, buf[:]...)
}

// Decode reads a signal.
func (s *Signal) Decode(datagram []byte, key *Key) flow.DropReason {
	if len(datagram) != HintBytes {
		return DropDatagram
	}
	if datagram[0] != Version {
		return DropVersion
	}
	kind := SignalKind(datagram[2])
	if datagram[1] != typeSignal || kind < SignalWaiting || kind > SignalDecline {
		return DropType
	}
	if !validTag(datagram, tagOf(key, datagram, nil)) {
		return DropTag
	}
	s.Kind = kind
	s.Service = model.ServiceID(binary.BigEndian.Uint32(datagram[4:]))
	s.From = Candidate{Agent: addrPort(datagram[8:14]), Target: binary.BigEndian.Uint16(datagram[14:])}
	return flow.DropNone
}

// IsSignal reports whether a datagram claims to be a signal.
func IsSignal(datagram []byte) bool {
	return len(datagram) > 1 && datagram[1] == typeSignal
}
