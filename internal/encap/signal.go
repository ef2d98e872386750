package encap

import (
	"encoding/binary"

	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/model"
)

// SignalKind is the kind of a signal.
type SignalKind uint8

// Kinds of signals.
const (
	// SignalWaiting reports that the sender has queued a SYN.
	SignalWaiting SignalKind = iota + 1
	// SignalOffer offers a free slot of the sender for the oldest queued SYN of the receiver.
	SignalOffer
	// SignalDecline answers an offer if no SYN is queued at the sender anymore.
	SignalDecline
)

// Signal is a message between the agents of a service. Signals let SYNs in the queue of one agent use free
// slots of another, as if the service had one queue. They are an optimization: after a lost signal, a SYN
// only stays in the queue of its agent.
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
	binary.BigEndian.PutUint64(buf[tagOffset:], computeTag(key, buf[:], nil))
	return append(dst, buf[:]...)
}

// Decode decodes a signal, or returns the reason why the datagram is invalid.
func (s *Signal) Decode(datagram []byte, key *Key) flow.DropReason {
	if len(datagram) != HintBytes {
		return DropDatagramTruncated
	}
	if datagram[0] != Version {
		return DropVersion
	}
	kind := SignalKind(datagram[2])
	if datagram[1] != typeSignal || kind < SignalWaiting || kind > SignalDecline {
		return DropType
	}
	if !validTag(datagram, computeTag(key, datagram, nil)) {
		return DropTag
	}
	s.Kind = kind
	s.Service = model.ServiceID(binary.BigEndian.Uint32(datagram[4:]))
	s.From = Candidate{Agent: addrPort(datagram[8:14]), Target: binary.BigEndian.Uint16(datagram[14:])}
	return flow.DropNone
}

// IsSignal reports whether a datagram has the type of a signal. It checks nothing else.
func IsSignal(datagram []byte) bool {
	return len(datagram) > 1 && datagram[1] == typeSignal
}
