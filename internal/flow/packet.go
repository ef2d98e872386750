package flow

import (
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// DropReason is the reason for which a packet was dropped. It is a metric label, so the set of values is
// small and fixed.
type DropReason string

// Reasons for which Packet.Parse and Summary.Parse reject a packet. DropNone means success.
const (
	DropNone      DropReason = ""
	DropTruncated DropReason = "truncated"
	DropNotIPv4   DropReason = "not_ipv4"
	DropNotTCP    DropReason = "not_tcp"
	DropFragment  DropReason = "fragment"
	DropMalformed DropReason = "malformed"
	DropOversized DropReason = "oversized"
)

// MaxPacketBytes is the size of the largest IPv4 packet that is accepted, before encapsulation.
const MaxPacketBytes = 1500

// Header sizes without options.
const (
	ipv4HeaderBytes = 20
	tcpHeaderBytes  = 20
)

// Packet is a decoded IPv4 TCP packet. It refers to the bytes that it was parsed from. Parse may be
// called again to reuse it.
type Packet struct {
	Key     Key // in the direction of the packet
	TCP     layers.TCP
	IP      layers.IPv4
	Payload []byte
	Raw     []byte // the IPv4 packet without trailing bytes
}

// Parse decodes a packet, or returns the reason for rejecting it; p is not valid then.
func (p *Packet) Parse(raw []byte) DropReason {
	var s Summary
	if drop := s.Parse(raw); drop != DropNone {
		return drop
	}
	raw = raw[:s.Length]
	if err := p.IP.DecodeFromBytes(raw, gopacket.NilDecodeFeedback); err != nil {
		return DropMalformed
	}
	if err := p.TCP.DecodeFromBytes(p.IP.Payload, gopacket.NilDecodeFeedback); err != nil {
		return DropMalformed
	}
	p.Payload = p.TCP.Payload
	p.Raw = raw
	p.Key = KeyOf(raw)
	return DropNone
}

// IsSYN reports whether the packet opens a connection: SYN without ACK or RST.
func (p *Packet) IsSYN() bool {
	return p.TCP.SYN && !p.TCP.ACK && !p.TCP.RST
}

// SegmentLength returns the length of the segment in sequence space: the payload, and one each for SYN
// and FIN.
func (p *Packet) SegmentLength() uint32 {
	n := uint32(len(p.Payload))
	if p.TCP.SYN {
		n++
	}
	if p.TCP.FIN {
		n++
	}
	return n
}
