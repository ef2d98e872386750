// Package encap encodes and decodes the UDP datagrams between balancers and agents: packets of callers
// with a header (balancer to agent, and agent to agent), hints on the owner of a flow (agent to balancer),
// and signals about queues and free slots (agent to agent). A SipHash tag with the fleet's key
// authenticates each datagram.
package encap

import (
	"crypto/subtle"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/dchest/siphash"

	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/model"
)

// Sizes and limits of the format.
const (
	Version        = 1
	MaxCandidates  = 8
	MaxHops        = 33 // four times eight candidates, and a final visit to one of them
	MaxExtensions  = 3
	HeaderBytes    = 40 // size without candidates
	CandidateBytes = 8
	MaxHeaderBytes = HeaderBytes + MaxCandidates*CandidateBytes
	HintBytes      = 40     // also the size of a signal
	NoBestWait     = 0xffff // BestWait before any agent has recorded its estimated wait
	MaxControlAge  = 255    // ControlAge if the last contact is older or unknown
	ControlAgeUnit = 100 * time.Millisecond
	WaitedUnit     = 10 * time.Millisecond
	tagOffset      = 32
	typePacket     = 1
	typeHint       = 2
	typeSignal     = 3
	flagFinal      = 1 << 0
	flagReserved   = ^byte(flagFinal)
)

// MaxDatagramBytes is the size of the largest valid datagram.
const MaxDatagramBytes = MaxHeaderBytes + flow.MaxPacketBytes

// Reasons why Decode rejects a datagram.
const (
	DropVersion           flow.DropReason = "version"
	DropType              flow.DropReason = "type"
	DropHeader            flow.DropReason = "header"
	DropTag               flow.DropReason = "tag"
	DropHops              flow.DropReason = "hops"
	DropDatagramTruncated flow.DropReason = "datagram_truncated"
	DropDatagramOversized flow.DropReason = "datagram_oversized"
)

// Key is the secret with which the nodes of a fleet authenticate datagrams.
type Key [16]byte

// Candidate is a target and the UDP endpoint of its agent. Only IPv4 endpoints can be encoded.
type Candidate struct {
	Agent netip.AddrPort
	// Target is the low 16 bits of the target's ID. It distinguishes targets that share an agent address,
	// as in tests.
	Target uint16
}

// CandidateOf returns the candidate for a target.
func CandidateOf(t *model.Target) Candidate {
	agent := netip.AddrPortFrom(t.Agent.Addr().Unmap(), t.Agent.Port())
	return Candidate{Agent: agent, Target: uint16(t.ID)}
}

// EncodedCandidate is a candidate in the encoding of a datagram.
type EncodedCandidate [CandidateBytes]byte

// Encode returns the encoded form of the candidate.
func (c Candidate) Encode() EncodedCandidate {
	var e EncodedCandidate
	putAddrPort(e[:6], c.Agent)
	binary.BigEndian.PutUint16(e[6:], c.Target)
	return e
}

// Agent returns the UDP endpoint of the candidate's agent.
func (e *EncodedCandidate) Agent() netip.AddrPort {
	return addrPort(e[:])
}

// Header precedes the packet in a datagram.
type Header struct {
	// Final tells the receiver to queue or refuse a SYN, since no candidate has admitted it.
	Final bool
	// Extensions is the number of times that an agent replaced the candidates by the next ones of the chain.
	Extensions uint8
	// Hops is the number of times that an agent has forwarded the packet.
	Hops       uint8
	Service    model.ServiceID
	Generation model.Generation // of the service at the balancer
	// Cursor is the index of the candidate that the datagram is addressed to.
	Cursor uint8
	// BestIndex is the index of the candidate with the shortest estimated wait so far, and BestWait that
	// wait in milliseconds, or NoBestWait.
	BestIndex uint8
	BestWait  uint16
	// Waiting is the number of SYNs in the queues of the agents that have forwarded the packet.
	Waiting uint16
	// Waited is the time that the packet has spent in the queues of other agents, in WaitedUnit.
	Waited uint8
	// ControlAge is the time since the balancer's last contact to a controller with a quorum, in
	// ControlAgeUnit.
	ControlAge uint8
	Ingress    netip.AddrPort // of the balancer; agents send hints to it
	Count      uint8
	Candidates [MaxCandidates]Candidate
}

// Current returns the candidate that the datagram is addressed to.
func (h *Header) Current() Candidate {
	return h.Candidates[h.Cursor]
}

// Size returns the length of the encoded header.
func (h *Header) Size() int {
	return HeaderBytes + int(h.Count)*CandidateBytes
}

// Append appends the encoded header and the packet to dst.
func (h *Header) Append(dst []byte, key *Key, packet []byte) []byte {
	start := len(dst)
	var zero [MaxHeaderBytes]byte
	dst = append(dst, zero[:h.Size()]...)
	dst = append(dst, packet...)
	h.encode(dst[start:], key, h.encodeCandidates(new([MaxCandidates]EncodedCandidate)))
	return dst
}

// Prepend writes the encoded header before the packet in buf[offset:] and returns the datagram, which
// refers to buf. The offset must be at least Size; MaxHeaderBytes is always enough.
func (h *Header) Prepend(buf []byte, offset int, key *Key) []byte {
	return h.PrependEncoded(buf, offset, key, h.encodeCandidates(new([MaxCandidates]EncodedCandidate)))
}

// PrependEncoded is like Prepend, with encoded candidates instead of h.Candidates. It sets Count.
func (h *Header) PrependEncoded(buf []byte, offset int, key *Key, candidates []EncodedCandidate) []byte {
	h.Count = uint8(len(candidates))
	datagram := buf[offset-h.Size():]
	h.encode(datagram, key, candidates)
	return datagram
}

// encodeCandidates encodes the candidates to encoded and returns the used part of it.
func (h *Header) encodeCandidates(encoded *[MaxCandidates]EncodedCandidate) []EncodedCandidate {
	for i := range h.Count {
		encoded[i] = h.Candidates[i].Encode()
	}
	return encoded[:h.Count]
}

// encode writes the header to the start of a datagram that already contains the packet.
func (h *Header) encode(datagram []byte, key *Key, candidates []EncodedCandidate) {
	datagram[0] = Version
	datagram[1] = typePacket
	datagram[2] = 0
	if h.Final {
		datagram[2] = flagFinal
	}
	datagram[3] = h.Hops
	binary.BigEndian.PutUint32(datagram[4:], uint32(h.Service))
	binary.BigEndian.PutUint64(datagram[8:], uint64(h.Generation))
	datagram[16] = h.Count
	datagram[17] = h.Cursor
	datagram[18] = h.BestIndex
	datagram[19] = h.ControlAge
	binary.BigEndian.PutUint16(datagram[20:], h.BestWait)
	datagram[22] = h.Extensions
	datagram[23] = h.Waited
	putAddrPort(datagram[24:30], h.Ingress)
	binary.BigEndian.PutUint16(datagram[30:], h.Waiting)
	clear(datagram[tagOffset:HeaderBytes])
	for i := range candidates {
		copy(datagram[HeaderBytes+i*CandidateBytes:], candidates[i][:])
	}
	taggedBytes := min(len(datagram), h.Size()+taggedPacketBytes)
	binary.BigEndian.PutUint64(datagram[tagOffset:], sipHash(key, datagram[:taggedBytes]))
}

// Decode decodes a datagram into h and returns the packet, which refers to datagram, or the reason why the
// datagram is invalid.
func (h *Header) Decode(datagram []byte, key *Key) ([]byte, flow.DropReason) {
	if len(datagram) < HeaderBytes {
		return nil, DropDatagramTruncated
	}
	if len(datagram) > MaxDatagramBytes {
		return nil, DropDatagramOversized
	}
	if datagram[0] != Version {
		return nil, DropVersion
	}
	if datagram[1] != typePacket {
		return nil, DropType
	}
	count := int(datagram[16])
	end := HeaderBytes + count*CandidateBytes
	if datagram[2]&flagReserved != 0 || count == 0 || count > MaxCandidates || datagram[22] > MaxExtensions {
		return nil, DropHeader
	}
	if len(datagram) < end {
		return nil, DropDatagramTruncated
	}
	if int(datagram[17]) >= count || int(datagram[18]) >= count {
		return nil, DropHeader
	}
	packet := datagram[end:]
	if !validTag(datagram, computeTag(key, datagram[:end], packet)) {
		return nil, DropTag
	}
	if datagram[3] >= MaxHops {
		return nil, DropHops
	}
	h.Final = datagram[2]&flagFinal != 0
	h.Hops = datagram[3]
	h.Service = model.ServiceID(binary.BigEndian.Uint32(datagram[4:]))
	h.Generation = model.Generation(binary.BigEndian.Uint64(datagram[8:]))
	h.Count = uint8(count)
	h.Cursor = datagram[17]
	h.BestIndex = datagram[18]
	h.ControlAge = datagram[19]
	h.BestWait = binary.BigEndian.Uint16(datagram[20:])
	h.Extensions = datagram[22]
	h.Waited = datagram[23]
	h.Waiting = binary.BigEndian.Uint16(datagram[30:])
	h.Ingress = addrPort(datagram[24:30])
	for i := range count {
		c := datagram[HeaderBytes+i*CandidateBytes:]
		h.Candidates[i] = Candidate{Agent: addrPort(c), Target: binary.BigEndian.Uint16(c[6:])}
	}
	return packet, flow.DropNone
}

// Hint tells a balancer which candidate owns a flow.
type Hint struct {
	Service model.ServiceID
	Flow    flow.Key
	Owner   Candidate
}

// Append appends the encoded hint to dst.
func (h *Hint) Append(dst []byte, key *Key) []byte {
	var buf [HintBytes]byte
	buf[0] = Version
	buf[1] = typeHint
	binary.BigEndian.PutUint32(buf[4:], uint32(h.Service))
	putAddrPort(buf[8:14], h.Flow.Caller)
	putAddrPort(buf[14:20], h.Flow.Service)
	putAddrPort(buf[20:26], h.Owner.Agent)
	binary.BigEndian.PutUint16(buf[26:], h.Owner.Target)
	binary.BigEndian.PutUint64(buf[tagOffset:], computeTag(key, buf[:], nil))
	return append(dst, buf[:]...)
}

// Decode decodes a hint, or returns the reason why the datagram is invalid.
func (h *Hint) Decode(datagram []byte, key *Key) flow.DropReason {
	if len(datagram) != HintBytes {
		return DropDatagramTruncated
	}
	if datagram[0] != Version {
		return DropVersion
	}
	if datagram[1] != typeHint {
		return DropType
	}
	if !validTag(datagram, computeTag(key, datagram, nil)) {
		return DropTag
	}
	h.Service = model.ServiceID(binary.BigEndian.Uint32(datagram[4:]))
	h.Flow = flow.Key{Caller: addrPort(datagram[8:14]), Service: addrPort(datagram[14:20])}
	h.Owner = Candidate{Agent: addrPort(datagram[20:26]), Target: binary.BigEndian.Uint16(datagram[26:])}
	return flow.DropNone
}

// IsHint reports whether a datagram has the type of a hint. It checks nothing else.
func IsHint(datagram []byte) bool {
	return len(datagram) > 1 && datagram[1] == typeHint
}

// taggedPacketBytes is the length of the part of the packet that the tag covers: the IPv4 and TCP headers
// without options. Only the TCP checksum protects the payload, as on the rest of its path.
const taggedPacketBytes = 40

// computeTag returns the tag over the header, with its tag field set to zero, and the start of the packet.
func computeTag(key *Key, header, packet []byte) uint64 {
	var buf [MaxHeaderBytes + taggedPacketBytes]byte
	n := copy(buf[:], header)
	clear(buf[tagOffset : tagOffset+8])
	n += copy(buf[n:], packet[:min(len(packet), taggedPacketBytes)])
	return sipHash(key, buf[:n])
}

func sipHash(key *Key, data []byte) uint64 {
	k0, k1 := binary.LittleEndian.Uint64(key[:8]), binary.LittleEndian.Uint64(key[8:])
	return siphash.Hash(k0, k1, data)
}

// validTag compares the tag of a datagram with the expected one in constant time.
func validTag(datagram []byte, want uint64) bool {
	var buf [8]byte
	binary.BigEndian.PutUint64(buf[:], want)
	return subtle.ConstantTimeCompare(buf[:], datagram[tagOffset:tagOffset+8]) == 1
}

// putAddrPort writes an address and port to dst. It writes 0.0.0.0 for an address that is not IPv4.
func putAddrPort(dst []byte, a netip.AddrPort) {
	var b [4]byte
	if addr := a.Addr().Unmap(); addr.Is4() {
		b = addr.As4()
	}
	copy(dst, b[:])
	binary.BigEndian.PutUint16(dst[4:], a.Port())
}

func addrPort(src []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(src[:4])), binary.BigEndian.Uint16(src[4:]))
}
