package controllerclient

import (
	"context"
	"net"
	"net/netip"

	"github.com/phuslu/log"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/roster"
)

// Port is the UDP socket of a process for datagrams from and to other processes of the system. All of them
// use the same port number.
type Port struct {
	conn   *net.UDPConn
	port   uint16
	logger *log.Logger
}

// OpenPort opens the socket.
func OpenPort(ip netip.Addr, port uint16, logger *log.Logger) (*Port, error) {
	conn, err := packet.Listen(netip.AddrPortFrom(ip, port))
	return &Port{conn: conn, port: port, logger: logger}, err
}

// ToNode sends a datagram to a process.
func (p *Port) ToNode(to hop.IP, datagram []byte) {
	p.Send(netip.AddrPortFrom(netip.AddrFrom4(to), p.port), datagram)
}

// Send sends a datagram. It does not repeat lost ones; their senders do.
func (p *Port) Send(to netip.AddrPort, datagram []byte) { packet.Send(p.conn, to, datagram, p.logger) }

// Receive passes datagrams of entry VMs and relays to data and answers of controllers to answer, until ctx is
// done. The bytes are valid until data returns.
func (p *Port) Receive(ctx context.Context, data func(from hop.IP, b []byte), answer func(from hop.IP, a *roster.Answer)) error {
	return packet.Receive(ctx, p.conn, p.logger, func(from netip.AddrPort, b []byte) {
		addr, ok := packet.AddrOf(from)
		if !ok {
			return
		}
		if !roster.IsControlMessage(b) {
			data(addr.IP, b)
			return
		}
		a, err := roster.DecodeAnswer(b)
		if err != nil {
			p.logger.Debug().Str("from", from.String()).Err(err).Msg("malformed answer of a controller dropped")
			return
		}
		answer(addr.IP, a)
	})
}
