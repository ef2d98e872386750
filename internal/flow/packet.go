package flow

import (
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// DropReason says why a packet was dropped. It is a metric label, so its values are few and fixed.
type DropReason string

// Reasons for which Parse rejects a packet.
const (
	DropNone      DropReason = ""
	DropTruncated DropReason = "truncated"
	DropNotIPv4   DropReason = "not_ipv4"
	DropNotTCP    DropReason = "not_tcp"
	DropFragment  DropReason = "fragment"
	DropMalformed DropReason = "malformed"
	DropOversized DropReason = "oversized"
)

// MaxPacketBytes bounds a packet inside the encapsulation: a 1,500-byte path less the headers.
const MaxPacketBytes = 1500

// ipv4HeaderBytes is the smallest IPv4 header, tcpHeaderBytes the smallest TCP header.
const (
	ipv4HeaderBytes = 20
	tcpHeaderBytes  = 20
)

// Packet is a decoded IPv4 TCP packet. It can be reused, and refers to the bytes it was parsed
// from.
type Packet struct {
	Key     Key // in the direction of the packet
	TCP     layers.TCP
	IP      layers.IPv4
	Payload []byte
	Raw     []byte
}

// Parse decodes a packet. On failure it returns the reason, and the packet is not valid.
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

// IsSYN reports whether the packet opens a connection: SYN without ACK and RST.
func (p *Packet) IsSYN() bool {
	return p.TCP.SYN && !p.TCP.ACK && !p.TCP.RST
}

// SegmentLength is the sequence space that the segment takes: payload, SYN and FIN.
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
