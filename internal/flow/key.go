// Package flow parses and builds IPv4 TCP packets. It identifies a flow by its Key, whose hash is the
// same in every process. Packet decodes a whole packet with its TCP options; Summary reads only the
// fields that a balancer needs, without allocating.
package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a TCP flow by addresses and ports, in the direction from the caller to the service.
type Key struct {
	Caller, Service netip.AddrPort
}

// Reverse returns the key of the opposite direction.
func (k Key) Reverse() Key {
	return Key{Caller: k.Service, Service: k.Caller}
}

// Hash returns the xxHash of the flow, which is the same in every process.
func (k Key) Hash() uint64 {
	var buf [12]byte
	caller, service := k.Caller.Addr().As4(), k.Service.Addr().As4()
	copy(buf[0:4], caller[:])
	copy(buf[4:8], service[:])
	binary.BigEndian.PutUint16(buf[8:10], k.Caller.Port())
	binary.BigEndian.PutUint16(buf[10:12], k.Service.Port())
	return xxhash.Sum64(buf[:])
}

// String returns "caller > service".
func (k Key) String() string {
	return k.Caller.String() + " > " + k.Service.String()
}
