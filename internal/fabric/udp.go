package fabric

import (
	"errors"
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// BatchSize is the number of datagrams that one system call reads or writes.
const BatchSize = 64

// socketBufferBytes absorbs bursts of about 2,000 full datagrams while the process is not
// scheduled.
const socketBufferBytes = 4 << 20

// ErrAddress says that a datagram has no IPv4 address to go to.
var ErrAddress = errors.New("datagram without an IPv4 address")

// UDP is a Conn over a UDP socket. Reads and writes may run at the same time, but only one of
// each.
type UDP struct {
	socket *net.UDPConn
	packet *ipv4.PacketConn
	reads  []ipv4.Message
	writes []ipv4.Message
	addrs  []net.UDPAddr
}

// ListenUDP opens a UDP socket.
func ListenUDP(addr netip.AddrPort) (*UDP, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	// The kernel caps the buffers at its own limits; smaller ones only lose more in a burst.
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	u := &UDP{
		socket: socket,
		packet: ipv4.NewPacketConn(socket),
		reads:  make([]ipv4.Message, BatchSize),
		writes: make([]ipv4.Message, BatchSize),
		addrs:  make([]net.UDPAddr, BatchSize),
	}
	for i := range u.reads {
		u.reads[i].Buffers = make([][]byte, 1)
		u.writes[i].Buffers = make([][]byte, 1)
		u.addrs[i].IP = make(net.IP, net.IPv4len)
	}
	return u, nil
}

// ReadBatch implements Conn.
func (u *UDP) ReadBatch(batch []Datagram) (int, error) {
	n := min(len(batch), BatchSize)
	for i := range n {
		u.reads[i].Buffers[0] = batch[i].Data[:cap(batch[i].Data)]
	}
	n, err := u.packet.ReadBatch(u.reads[:n], 0)
	if err != nil {
		return 0, err
	}
	for i := range n {
		batch[i].Data = u.reads[i].Buffers[0][:u.reads[i].N]
		if addr, ok := u.reads[i].Addr.(*net.UDPAddr); ok {
			a := addr.AddrPort()
			batch[i].Addr = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
		}
	}
	return n, nil
}

// WriteBatch implements Conn. On an error, the datagram after those that were sent is at fault.
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
			copy(u.addrs[i].IP, addr[:])
			u.addrs[i].Port = int(d.Addr.Port())
			u.writes[i].Buffers[0] = d.Data
			u.writes[i].Addr = &u.addrs[i]
		}
		if n == 0 {
			return sent, ErrAddress
		}
		wrote, err := u.packet.WriteBatch(u.writes[:n], 0)
		sent += wrote
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
