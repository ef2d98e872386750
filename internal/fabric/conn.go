// Package fabric provides the packet connections of a process: UDP sockets and TUN devices with batched
// reads and writes.
package fabric

import "net/netip"

// Datagram is a buffer with the address of its sender or receiver. A TUN device ignores the address.
type Datagram struct {
	Data []byte
	Addr netip.AddrPort
}

// Conn is a packet connection that reads and writes datagrams in batches.
type Conn interface {
	// ReadBatch blocks until at least one datagram has arrived. It reads into Data[:cap(Data)] of the
	// first n elements and sets their Data and Addr.
	ReadBatch(batch []Datagram) (n int, err error)
	// WriteBatch sends the datagrams and returns the number n that were sent. If it returns an error, the
	// datagram batch[n] could not be sent; the caller may retry with the rest.
	WriteBatch(batch []Datagram) (n int, err error)
	// LocalAddr returns the bound address. For a TUN device it returns the zero AddrPort.
	LocalAddr() netip.AddrPort
	Close() error
}
