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

// Handlers receive what arrives at a Port.
type Handlers struct {
	// Data handles datagrams of entry VMs and relays. The bytes are valid until it returns.
	Data func(from hop.IP, b []byte)
	// Answer and Evacuations handle messages of controllers.
	Answer      func(from hop.IP, a *roster.Answer)
	Evacuations func(from hop.IP, e *roster.Evacuations)
}

// Receive passes datagrams to the handlers until ctx is done.
func (p *Port) Receive(ctx context.Context, h Handlers) error {
	return packet.Receive(ctx, p.conn, p.logger, func(from netip.AddrPort, b []byte) {
		addr, ok := packet.AddrOf(from)
		if !ok {
			return
		}
		if err := h.handle(addr.IP, b); err != nil {
			p.logger.Debug().Str("from", from.String()).Err(err).Msg("malformed message of a controller dropped")
		}
	})
}

// handle passes a datagram to its handler.
func (h *Handlers) handle(from hop.IP, b []byte) error {
	switch {
	case roster.IsEvacuations(b):
		e, err := roster.DecodeEvacuations(b)
		if err != nil {
			return err
		}
		h.Evacuations(from, e)
	case roster.IsControlMessage(b):
		a, err := roster.DecodeAnswer(b)
		if err != nil {
			return err
		}
		h.Answer(from, a)
	default:
		h.Data(from, b)
	}
	return nil
}
