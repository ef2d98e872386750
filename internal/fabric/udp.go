package fabric

import (
	"errors"
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// BatchSize is the number of datagrams that one system call reads or writes.
const BatchSize = 64

// socketBufferBytes is enough for a burst of about 2,000 full datagrams while the process is not scheduled.
const socketBufferBytes = 4 << 20

// ErrNoIPv4Address is returned for a datagram whose destination is not an IPv4 address.
var ErrNoIPv4Address = errors.New("datagram destination is not an IPv4 address")

// UDP is a Conn over a UDP socket. One read and one write may run concurrently, but not two reads or two
// writes.
type UDP struct {
	socket        *net.UDPConn
	packetConn    *ipv4.PacketConn
	readMessages  []ipv4.Message
	writeMessages []ipv4.Message
	writeAddrs    []net.UDPAddr
}

// ListenUDP opens a UDP socket.
func ListenUDP(addr netip.AddrPort) (*UDP, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	// Errors are ignored: with smaller buffers, which the kernel may also enforce, only more datagrams are
	// lost in a burst.
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	u := &UDP{
		socket:        socket,
		packetConn:    ipv4.NewPacketConn(socket),
		readMessages:  make([]ipv4.Message, BatchSize),
		writeMessages: make([]ipv4.Message, BatchSize),
		writeAddrs:    make([]net.UDPAddr, BatchSize),
	}
	for i := range u.readMessages {
		u.readMessages[i].Buffers = make([][]byte, 1)
		u.writeMessages[i].Buffers = make([][]byte, 1)
		u.writeAddrs[i].IP = make(net.IP, net.IPv4len)
	}
	return u, nil
}

// ReadBatch implements Conn.
func (u *UDP) ReadBatch(batch []Datagram) (int, error) {
	n := min(len(batch), BatchSize)
	for i := range n {
		u.readMessages[i].Buffers[0] = batch[i].Data[:cap(batch[i].Data)]
	}
	n, err := u.packetConn.ReadBatch(u.readMessages[:n], 0)
	if err != nil {
		return 0, err // n is -1 after an error
	}
	for i := range n {
		batch[i].Data = u.readMessages[i].Buffers[0][:u.readMessages[i].N]
		if addr, ok := u.readMessages[i].Addr.(*net.UDPAddr); ok {
			a := addr.AddrPort()
			batch[i].Addr = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
		}
	}
	return n, nil
}

// WriteBatch implements Conn.
func (u *UDP) WriteBatch(batch []Datagram) (int, error) {
	sent := 0
	for sent < len(batch) {
		n := min(len(batch)-sent, BatchSize)
		for i := range n {
			d := &batch[sent+i]
			if !d.Addr.Addr().Unmap().Is4() {
				n = i
				break
			}
			addr := d.Addr.Addr().As4()
			copy(u.writeAddrs[i].IP, addr[:])
			u.writeAddrs[i].Port = int(d.Addr.Port())
			u.writeMessages[i].Buffers[0] = d.Data
			u.writeMessages[i].Addr = &u.writeAddrs[i]
		}
		if n == 0 {
			return sent, ErrNoIPv4Address
		}
		written, err := u.packetConn.WriteBatch(u.writeMessages[:n], 0)
		// A failed call returns -1.
		sent += max(written, 0)
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// LocalAddr implements Conn.
func (u *UDP) LocalAddr() netip.AddrPort {
	addr, ok := u.socket.LocalAddr().(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	a := addr.AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Close implements Conn.
func (u *UDP) Close() error {
	return u.socket.Close()
}
