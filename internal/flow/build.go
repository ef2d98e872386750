package flow

import (
	"encoding/binary"
	"math/bits"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// defaultTTL is the time to live of built packets, in hops.
const defaultTTL = 64

// Segment describes a TCP segment for Build.
type Segment struct {
	From, To netip.AddrPort
	Seq, Ack uint32
	SYN, ACK bool
	RST, FIN bool
	PSH      bool
	Window   uint16
	Options  []layers.TCPOption
	Payload  []byte
}

// Build returns the IPv4 packet that carries the segment, with lengths and checksums filled in.
func Build(s Segment) ([]byte, error) {
	ip := &layers.IPv4{
		Version: 4, IHL: 5, TTL: defaultTTL, Protocol: layers.IPProtocolTCP, Flags: layers.IPv4DontFragment,
		SrcIP: s.From.Addr().AsSlice(), DstIP: s.To.Addr().AsSlice(),
	}
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(s.From.Port()), DstPort: layers.TCPPort(s.To.Port()),
		Seq: s.Seq, Ack: s.Ack, SYN: s.SYN, ACK: s.ACK, RST: s.RST, FIN: s.FIN, PSH: s.PSH,
		Window: s.Window, Options: s.Options,
	}
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		return nil, err
	}
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buf, opts, ip, tcp, gopacket.Payload(s.Payload)); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// Refusal returns the RST that refuses a SYN that no target has received. Its payload states the reason,
// which RFC 1122, section 4.2.2.12 permits.
func Refusal(syn *Packet, payload []byte) ([]byte, error) {
	return Build(Segment{
		From: syn.Key.Service, To: syn.Key.Caller,
		Ack: syn.TCP.Seq + syn.SegmentLength(), ACK: true, RST: true, Payload: payload,
	})
}

// Reset returns the RST with which a host that does not have the connection answers p; see RFC 9293,
// section 3.10.7.1.
func Reset(p *Packet) ([]byte, error) {
	s := Segment{From: p.Key.Service, To: p.Key.Caller, RST: true}
	if p.TCP.ACK {
		s.Seq = p.TCP.Ack
	} else {
		s.ACK = true
		s.Ack = p.TCP.Seq + p.SegmentLength()
	}
	return Build(s)
}

// ClampMSS limits the MSS option of a SYN or SYN-ACK to mss bytes, in place, and updates the TCP
// checksum. It reports whether it changed the packet.
func ClampMSS(p *Packet, mss uint16) bool {
	if !p.TCP.SYN {
		return false
	}
	offset := tcpHeaderBytes // of the current option within the TCP header
	for _, option := range p.TCP.Options {
		start := offset
		offset += int(option.OptionLength)
		if option.OptionType != layers.TCPOptionKindMSS || len(option.OptionData) != 2 {
			continue
		}
		old := binary.BigEndian.Uint16(option.OptionData)
		if old <= mss {
			return false
		}
		// OptionData refers to the bytes of the packet.
		binary.BigEndian.PutUint16(option.OptionData, mss)
		checksum := p.Raw[int(p.IP.IHL)*4+tcpChecksum:]
		from, to := old, mss
		if start%2 != 0 {
			// The value straddles two 16-bit words of the checksum, so its bytes are swapped; see RFC 1071,
			// section 2.
			from, to = bits.ReverseBytes16(from), bits.ReverseBytes16(to)
		}
		binary.BigEndian.PutUint16(checksum, updateChecksum(binary.BigEndian.Uint16(checksum), from, to))
		return true
	}
	return false
}

// updateChecksum updates an Internet checksum after one aligned 16-bit word has changed; see RFC 1624.
func updateChecksum(checksum, from, to uint16) uint16 {
	sum := uint32(^checksum) + uint32(^from) + uint32(to)
	sum = sum&0xffff + sum>>16
	sum = sum&0xffff + sum>>16
	return ^uint16(sum)
}
