package packet

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/greengagelock/greengagelock/internal/ctxtime"
)

const (
	// MaxDatagram is the largest UDP payload.
	MaxDatagram = 65507
	// receiveBuffer holds the packets that arrive while the process does not run: 0.2 s at 2,000 packets
	// a second.
	receiveBuffer = 512 << 10
	// receivePause is the time after a failed receive.
	receivePause = 10 * time.Millisecond
)

// Listen opens a UDP socket for packets.
func Listen(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "receive packets at %s", address)
	}
	if err := conn.SetReadBuffer(receiveBuffer); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "receive buffer of %s", address), conn.Close())
	}
	return conn, nil
}

// Receive hands every datagram to handle until ctx is done, and closes the connection then. The bytes are valid until
// handle returns.
func Receive(ctx context.Context, conn *net.UDPConn, logger *log.Logger, handle func(from netip.AddrPort, b []byte)) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer func() {
		stop()
		_ = conn.Close() // before the return, so that the address can be used again
	}()
	buffer := make([]byte, MaxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			logger.Warn().Err(err).Msg("a packet could not be received")
			ctxtime.Sleep(ctx, receivePause)
			continue
		}
		handle(from, buffer[:n])
	}
}

// Send sends a packet. A lost one is repeated by the ends of its flow.
func Send(conn *net.UDPConn, to netip.AddrPort, raw []byte, logger *log.Logger) {
	if _, err := conn.WriteToUDPAddrPort(raw, to); err != nil {
		logger.Debug().Str("to", to.String()).Err(err).Msg("a packet could not be sent")
	}
}
