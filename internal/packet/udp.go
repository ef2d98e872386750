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
	// MaxDatagram is the largest UDP payload in bytes.
	MaxDatagram = 65507
	// receiveBufferBytes holds the packets that arrive while the process is not scheduled: 0.2 s at 2,000
	// packets a second.
	receiveBufferBytes = 512 << 10
	// receiveRetryDelay is the time between a failed receive and the next one.
	receiveRetryDelay = 10 * time.Millisecond
)

// Listen opens a UDP socket.
func Listen(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "listen for packets at %s", address)
	}
	if err := conn.SetReadBuffer(receiveBufferBytes); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "set the receive buffer of %s", address), conn.Close())
	}
	return conn, nil
}

// Receive passes every datagram to handle until ctx is done, then closes the connection. The bytes are valid
// until handle returns.
func Receive(ctx context.Context, conn *net.UDPConn, logger *log.Logger, handle func(from netip.AddrPort, b []byte)) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer func() {
		stop()
		_ = conn.Close() // before Receive returns, so that the address can be used again
	}()
	buffer := make([]byte, MaxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			logger.Warn().Err(err).Msg("receiving a packet failed")
			ctxtime.Sleep(ctx, receiveRetryDelay)
			continue
		}
		handle(from, buffer[:n])
	}
}

// Send sends a packet. The ends of its flow repeat lost ones.
func Send(conn *net.UDPConn, to netip.AddrPort, raw []byte, logger *log.Logger) {
	if _, err := conn.WriteToUDPAddrPort(raw, to); err != nil {
		logger.Debug().Str("to", to.String()).Err(err).Msg("sending a packet failed")
	}
}
