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
	nic = tcpip.NICID(1)
	// outboundPackets absorbs what a stack sends while the pump waits for the socket.
	outboundPackets = 4096
	// mtuBytes is the MTU of the paths to callers and from targets.
	mtuBytes = 1500
	// recoveryWithoutRACK turns RACK off, because gVisor's RACK starts the probe timer, which takes the place of the
	// retransmission timer, anew with every segment that arrives, and so never resends a lost segment to a peer that
	// sends steadily.
	recoveryWithoutRACK = tcpip.TCPRecovery(0)
)

// loopback lets the kernel choose the port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// host is a TCP stack whose packets travel over a UDP socket.
type host struct {
	stack *stack.Stack
	link  *channel.Endpoint
	conn  fabric.Conn
	peer  netip.AddrPort
	// inspect, if set, sees every packet before the stack does.
	inspect func(packet []byte)
}

func newHost(addrs []netip.Addr, listen, peer netip.AddrPort) (*host, error) {
	if !listen.IsValid() {
		listen = loopback
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
	link := channel.New(outboundPackets, mtuBytes, "")
	if err := s.CreateNIC(nic, link); err != nil {
		return nil, errors.New(err.String())
	}
	for _, addr := range addrs {
		address := tcpip.ProtocolAddress{
			Protocol:          ipv4.ProtocolNumber,
			AddressWithPrefix: tcpip.AddrFromSlice(addr.AsSlice()).WithPrefix(),
		}
		if err := s.AddProtocolAddress(nic, address, stack.AddressProperties{}); err != nil {
			return nil, errors.New(err.String())
		}
	}
	s.SetRouteTable([]tcpip.Route{{Destination: header.IPv4EmptySubnet, NIC: nic}})
	conn, err := fabric.ListenUDP(listen)
	if err != nil {
		s.Destroy()
		return nil, err
	}
	return &host{stack: s, link: link, conn: conn, peer: peer}, nil
}

// run moves packets until ctx is done and then destroys the stack.
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
			batch = append(batch, fabric.Datagram{Data: bytesOf(packet), Addr: h.peer})
			packet.DecRef()
			packet = nil
			if len(batch) < cap(batch) {
				packet = h.link.Read()
			}
		}
		// A lost packet is sent again by TCP.
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

func bytesOf(packet *stack.PacketBuffer) []byte {
	view := packet.ToView()
	defer view.Release()
	return append([]byte(nil), view.AsSlice()...)
}

// newBatch returns buffers for one batch of datagrams.
func newBatch() []fabric.Datagram {
	batch := make([]fabric.Datagram, fabric.BatchSize)
	for i := range batch {
		batch[i].Data = make([]byte, flow.MaxPacketBytes+1)
	}
	return batch
}

func fullAddress(a netip.AddrPort) tcpip.FullAddress {
	return tcpip.FullAddress{NIC: nic, Addr: tcpip.AddrFromSlice(a.Addr().AsSlice()), Port: a.Port()}
}
