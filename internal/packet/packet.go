// Package packet provides the parts of a flow's packets that load balancing needs: endpoints, control bits
// and sequence numbers. Packets pass through unchanged; a Codec reads them and writes only the fields that
// the format reserves for the system.
package packet

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Addr is one end of a flow: an IPv4 address and a port.
type Addr struct {
	IP   [4]byte
	Port uint16
}

// AddrOf converts an IPv4 address and port. It returns false for any other address.
func AddrOf(a netip.AddrPort) (Addr, bool) {
	ip := a.Addr().Unmap()
	if !ip.Is4() {
		return Addr{}, false
	}
	return Addr{IP: ip.As4(), Port: a.Port()}, true
}

// AddrPort converts the address to the type of the standard library.
func (a Addr) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(a.IP), a.Port)
}

// String returns the address as IP:port.
func (a Addr) String() string { return a.AddrPort().String() }

func (a Addr) compare(other Addr) int {
	return cmp.Or(bytes.Compare(a.IP[:], other.IP[:]), cmp.Compare(a.Port, other.Port))
}

// Key identifies a flow.
type Key struct {
	Caller  Addr
	Service Addr
}

// KeyBytes is the size of an encoded key in bytes.
const KeyBytes = 12

// Append appends the encoded key to b.
func (k Key) Append(b []byte) []byte {
	b = append(b, k.Caller.IP[:]...)
	b = binary.BigEndian.AppendUint16(b, k.Caller.Port)
	b = append(b, k.Service.IP[:]...)
	return binary.BigEndian.AppendUint16(b, k.Service.Port)
}

// ParseKey decodes a key from the first KeyBytes of b.
func ParseKey(b []byte) Key {
	return Key{
		Caller:  Addr{IP: [4]byte(b[0:4]), Port: binary.BigEndian.Uint16(b[4:])},
		Service: Addr{IP: [4]byte(b[6:10]), Port: binary.BigEndian.Uint16(b[10:])},
	}
}

// Compare orders keys by caller, then by service.
func (k Key) Compare(other Key) int {
	return cmp.Or(k.Caller.compare(other.Caller), k.Service.compare(other.Service))
}

// Hash returns a hash of the key that is the same in every process.
func (k Key) Hash() uint64 {
	var buf [KeyBytes]byte
	return xxhash.Sum64(k.Append(buf[:0]))
}

// String returns the key as CALLER>SERVICE, the name of a flow in logs.
func (k Key) String() string { return k.Caller.String() + ">" + k.Service.String() }

// Flags are the control bits of a packet.
type Flags uint8

// Control bits.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
	// Returned marks a packet that the target did not take and sends back.
	Returned
)

// Has reports whether all given bits are set.
func (f Flags) Has(bits Flags) bool { return f&bits == bits }

// View is a parsed packet.
type View struct {
	Source      Addr
	Destination Addr
	Flags       Flags
	Seq         uint32
	Ack         uint32 // next sequence number that the sender expects; in a SYN, the number of copies sent before
	DataBytes   int
	// Token is the value that the system set with Codec.SetToken before it sent the packet to the target.
	Token uint32
}

// IsSYN reports whether the packet is a SYN, which opens a flow.
func (v *View) IsSYN() bool { return v.Flags&(SYN|ACK|RST) == SYN }

// IsSYNACK reports whether the packet is a SYN-ACK, with which a target accepts a flow.
func (v *View) IsSYNACK() bool { return v.Flags.Has(SYN | ACK) }

// KeyFromCaller returns the key of the flow of a packet that the caller sent.
func (v *View) KeyFromCaller() Key { return Key{Caller: v.Source, Service: v.Destination} }

// KeyFromTarget returns the key of the flow of a packet that the target sent.
func (v *View) KeyFromTarget() Key { return Key{Caller: v.Destination, Service: v.Source} }

// Codec reads and marks packets of one format.
type Codec interface {
	// Parse decodes a packet. It fails for a truncated, oversized or inconsistent one.
	Parse(raw []byte) (View, error)
	// SetToken writes a value that stays in the packet if the target returns it, and clears Returned.
	SetToken(raw []byte, token uint32)
	// Reset returns a packet that resets a flow at its caller. ack is the last acknowledgement number of the
	// caller, zero for a flow that is not open.
	Reset(k Key, ack uint32) []byte
}
