// Package loopback reserves loopback addresses for deployments that run on one machine. A free port of
// 127.0.0.1 may be taken by another program before the process that was promised it binds it; a block of this
// package has one user at a time.
package loopback

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/fabric"
)

const (
	// Blocks are the networks 127.N.0.0/16 with N from firstBlock to lastBlock.
	firstBlock = 64
	lastBlock  = 191
	// lockPort is the port at the last address of a block whose listener marks the block as reserved.
	lockPort = 19999
	// firstPort is the first port that NextTCP and NextUDP return.
	firstPort = 20000
)

// Block is a reserved network 127.N.0.0/16. It is not safe for concurrent use.
type Block struct {
	number byte
	lock   net.Listener
	next   uint16
}

// Reserve reserves a block until it is closed or the process ends.
func Reserve() (*Block, error) {
	var err error
	for n := firstBlock; n <= lastBlock; n++ {
		b := &Block{number: byte(n), next: firstPort}
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, b.number, 255, 254}), lockPort)
		if b.lock, err = net.Listen("tcp", at.String()); err == nil {
			return b, nil
		}
	}
	return nil, errors.Wrapf(err, "none of the %d loopback networks is free", lastBlock-firstBlock+1)
}

// Close gives the block back.
func (b *Block) Close() error { return b.lock.Close() }

// IP returns the address 127.N.group.host.
func (b *Block) IP(group, host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, b.number, byte(group), byte(host)})
}

// NextTCP returns an address of the block on which no TCP socket listens, a new one at each call.
func (b *Block) NextTCP() (netip.AddrPort, error) {
	return b.nextUsable(func(at netip.AddrPort) error {
		listener, err := net.Listen("tcp", at.String())
		if err != nil {
			return err
		}
		return listener.Close()
	})
}

// NextUDP returns addresses of the block to which no UDP socket is bound, new ones at each call.
func (b *Block) NextUDP(count int) ([]netip.AddrPort, error) {
	var found []netip.AddrPort
	for range count {
		at, err := b.nextUsable(func(at netip.AddrPort) error {
			conn, err := fabric.ListenUDP(at)
			if err != nil {
				return err
			}
			return conn.Close()
		})
		if err != nil {
			return nil, err
		}
		found = append(found, at)
	}
	return found, nil
}

// nextUsable returns the next address for which bind succeeds, or the last error if there is none.
func (b *Block) nextUsable(bind func(netip.AddrPort) error) (netip.AddrPort, error) {
	err := errors.Newf("the ports of the loopback network 127.%d.0.0/16 are used up", b.number)
	for ; b.next >= firstPort; b.next++ {
		at := netip.AddrPortFrom(b.IP(0, 1), b.next)
		if err = bind(at); err == nil {
			b.next++
			return at, nil
		}
	}
	return netip.AddrPort{}, err
}
