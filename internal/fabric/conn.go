// Package fabric holds the packet ports of a process: UDP sockets and TUN devices with batched
// reads and writes.
package fabric

import "net/netip"

// Datagram is a buffer with the address that it came from or goes to. A TUN device ignores the
// address.
type Datagram struct {
	Data []byte
	Addr netip.AddrPort
}

// Conn reads and writes datagrams in batches.
type Conn interface {
	// ReadBatch blocks until at least one datagram has arrived. It fills Data[:cap(Data)] of the
	// first n elements and sets their length and address.
	ReadBatch(batch []Datagram) (n int, err error)
	// WriteBatch sends the datagrams and returns how many were sent. On an error, the datagram
	// after those is at fault and the rest may be tried again.
	WriteBatch(batch []Datagram) (n int, err error)
	// LocalAddr returns the bound address; it is not valid for a TUN device.
	LocalAddr() netip.AddrPort
	Close() error
}
