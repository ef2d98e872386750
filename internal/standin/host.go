package standin

import (
	"context"
	"errors"
	"net"
	"net/netip"

	"golang.org/x/sync/errgroup"
	"gvisor.dev/gvisor/pkg/buffer"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/link/channel"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"

	"github.com/greengagelock/greengagelock/internal/fabric"
	"github.com/greengagelock/greengagelock/internal/flow"
)

const (
	nicID = tcpip.NICID(1)
	// outboundQueuePackets is the length of the queue between the TCP stack and the UDP socket.
	outboundQueuePackets = 4096
	// mtuBytes is the MTU of the paths to callers and from targets.
	mtuBytes = 1500
	// recoveryWithoutRACK disables RACK loss recovery. With RACK, gVisor replaces the retransmission timer by the
	// tail loss probe timer and restarts that timer on every incoming segment, so a lost segment is never
	// retransmitted while the peer keeps sending.
	recoveryWithoutRACK = tcpip.TCPRecovery(0)
)

// loopbackAnyPort is a listen address with a port that the kernel chooses.
var loopbackAnyPort = netip.MustParseAddrPort("127.0.0.1:0")

// host is a TCP stack that sends and receives its packets over a UDP socket.
type host struct {
	stack *stack.Stack
	link  *channel.Endpoint
	conn  fabric.Conn
	peer  netip.AddrPort
	// inspect, if not nil, is called with every incoming packet before the stack gets it.
	inspect func(packet []byte)
}

func newHost(addrs []netip.Addr, listen, peer netip.AddrPort) (*host, error) {
	if !listen.IsValid() {
		listen = loopbackAnyPort
	}
	s := stack.New(stack.Options{
		NetworkProtocols:   []stack.NetworkProtocolFactory{ipv4.NewProtocol},
		TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol},
	})
	recovery := recoveryWithoutRACK
	if err := s.SetTransportProtocolOption(tcp.ProtocolNumber, &recovery); err != nil {
		s.Destroy()
		return nil, errors.New(err.String())
	}
	link := channel.New(outboundQueuePackets, mtuBytes, "")
	if err := s.CreateNIC(nicID, link); err != nil {
		return nil, errors.New(err.String())
	}
	for _, addr := range addrs {
		address := tcpip.ProtocolAddress{
			Protocol:          ipv4.ProtocolNumber,
			AddressWithPrefix: tcpip.AddrFromSlice(addr.AsSlice()).WithPrefix(),
		}
		if err := s.AddProtocolAddress(nicID, address, stack.AddressProperties{}); err != nil {
			return nil, errors.New(err.String())
		}
	}
	s.SetRouteTable([]tcpip.Route{{Destination: header.IPv4EmptySubnet, NIC: nicID}})
	conn, err := fabric.ListenUDP(listen)
	if err != nil {
		s.Destroy()
		return nil, err
	}
	return &host{stack: s, link: link, conn: conn, peer: peer}, nil
}

// run forwards packets between the stack and the socket until ctx is done, and then destroys the stack.
func (h *host) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return h.send(ctx) })
	group.Go(h.receive)
	group.Go(func() error {
		<-ctx.Done()
		return h.conn.Close()
	})
	err := group.Wait()
	h.link.Close()
	h.stack.Destroy()
	return err
}

func (h *host) send(ctx context.Context) error {
	batch := make([]fabric.Datagram, 0, fabric.BatchSize)
	for {
		packet := h.link.ReadContext(ctx)
		if packet == nil {
			return nil
		}
		batch = batch[:0]
		for packet != nil {
			batch = append(batch, fabric.Datagram{Data: copyPacket(packet), Addr: h.peer})
			packet.DecRef()
			packet = nil
			if len(batch) < cap(batch) {
				packet = h.link.Read()
			}
		}
		// TCP retransmits a packet that could not be written.
		_, _ = h.conn.WriteBatch(batch)
	}
}

func (h *host) receive() error {
	batch := newBatch()
	for {
		n, err := h.conn.ReadBatch(batch)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, d := range batch[:n] {
			h.deliver(d.Data)
		}
	}
}

func (h *host) deliver(data []byte) {
	if h.inspect != nil {
		h.inspect(data)
	}
	packet := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(data)})
	h.link.InjectInbound(ipv4.ProtocolNumber, packet)
	packet.DecRef()
}

func copyPacket(packet *stack.PacketBuffer) []byte {
	view := packet.ToView()
	defer view.Release()
	return append([]byte(nil), view.AsSlice()...)
}

// newBatch allocates the buffers for one batch of datagrams.
func newBatch() []fabric.Datagram {
	batch := make([]fabric.Datagram, fabric.BatchSize)
	for i := range batch {
		batch[i].Data = make([]byte, flow.MaxPacketBytes+1)
	}
	return batch
}

func fullAddress(a netip.AddrPort) tcpip.FullAddress {
	return tcpip.FullAddress{NIC: nicID, Addr: tcpip.AddrFromSlice(a.Addr().AsSlice()), Port: a.Port()}
}
