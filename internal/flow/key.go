// Package flow parses and builds the IPv4 TCP packets of flows.
package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key is the 5-tuple of a TCP flow without the protocol number, in the direction from the caller
// to the service.
type Key struct {
	Caller, Service netip.AddrPort
}

// Reverse returns the key with its ends swapped.
func (k Key) Reverse() Key {
	return Key{Caller: k.Service, Service: k.Caller}
}

// Hash returns a hash of the flow that is the same in every process.
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
