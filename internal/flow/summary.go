package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Byte offsets of fields within the IPv4 header and within the TCP header.
const (
	ipTotalLength = 2
	ipFlags       = 6
	ipProtocol    = 9
	ipSource      = 12
	ipDestination = 16

	tcpSeq      = 4
	tcpOffset   = 12
	tcpFlags    = 13
	tcpChecksum = 16
)

const (
	protocolTCP = 6
	// fragmentMask covers the more-fragments flag and the fragment offset.
	fragmentMask = 0x3fff

	flagFIN = 0x01
	flagSYN = 0x02
	flagRST = 0x04
	flagACK = 0x10
)

// Summary holds the fields of a packet that a balancer needs. Parsing one skips the options and
// allocates nothing.
type Summary struct {
	Hash        uint64 // Key.Hash in the direction of the packet
	Destination uint64 // AddressKey of the destination
	Seq         uint32
	SYN         bool // same as Packet.IsSYN
	HasPayload  bool
	Length      int // of the IPv4 packet, in bytes
}

// Parse reads the summary of a packet, or returns the reason for rejecting it, which is the same as that
// of Packet.Parse. Only Packet.Parse rejects malformed options.
func (s *Summary) Parse(raw []byte) DropReason {
	header, drop := checkIPv4(raw)
	if drop != DropNone {
		return drop
	}
	total := int(binary.BigEndian.Uint16(raw[ipTotalLength:]))
	tcp := raw[header:total]
	if len(tcp) < tcpHeaderBytes {
		return DropTruncated
	}
	offset := int(tcp[tcpOffset]>>4) * 4
	if offset < tcpHeaderBytes || offset > len(tcp) {
		return DropMalformed
	}
	flags := tcp[tcpFlags]
	s.Seq = binary.BigEndian.Uint32(tcp[tcpSeq:])
	s.SYN = flags&(flagSYN|flagACK|flagRST) == flagSYN
	s.HasPayload = len(tcp) > offset
	s.Length = total
	s.Destination = uint64(binary.BigEndian.Uint32(raw[ipDestination:]))<<16 | uint64(binary.BigEndian.Uint16(tcp[2:]))
	if header == ipv4HeaderBytes {
		// Without IP options the hashed fields are adjacent and in the order that Key.Hash uses.
		s.Hash = xxhash.Sum64(raw[ipSource : ipSource+12])
		return DropNone
	}
	var buf [12]byte
	copy(buf[:8], raw[ipSource:])
	copy(buf[8:], tcp[:4])
	s.Hash = xxhash.Sum64(buf[:])
	return DropNone
}

// checkIPv4 checks that raw is an IPv4 packet with an unfragmented TCP segment, and returns the length
// of its IPv4 header in bytes.
func checkIPv4(raw []byte) (int, DropReason) {
	if len(raw) < ipv4HeaderBytes {
		return 0, DropTruncated
	}
	if raw[0]>>4 != 4 {
		return 0, DropNotIPv4
	}
	if len(raw) > MaxPacketBytes {
		return 0, DropOversized
	}
	header := int(raw[0]&0xf) * 4
	total := int(binary.BigEndian.Uint16(raw[ipTotalLength:]))
	if total > len(raw) {
		return 0, DropTruncated
	}
	if header < ipv4HeaderBytes || header > total {
		return 0, DropMalformed
	}
	if binary.BigEndian.Uint16(raw[ipFlags:])&fragmentMask != 0 {
		return 0, DropFragment
	}
	if raw[ipProtocol] != protocolTCP {
		return 0, DropNotTCP
	}
	return header, DropNone
}

// KeyOf returns the key of a packet, in its direction. Summary.Parse must have accepted the packet.
func KeyOf(raw []byte) Key {
	tcp := raw[int(raw[0]&0xf)*4:]
	return Key{
		Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[ipSource:ipSource+4])), binary.BigEndian.Uint16(tcp)),
		Service: netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[ipDestination:ipDestination+4])),
			binary.BigEndian.Uint16(tcp[2:])),
	}
}

// AddressKey packs an IPv4 address and port into one number. It reports false for an IPv6 address.
func AddressKey(a netip.AddrPort) (uint64, bool) {
	addr := a.Addr().Unmap()
	if !addr.Is4() {
		return 0, false
	}
	b := addr.As4()
	return uint64(binary.BigEndian.Uint32(b[:]))<<16 | uint64(a.Port()), true
}
