package main

import (
	"net"
	"net/netip"
	"os"

	"github.com/greengagelock/greengagelock/internal/fabric"
)

// firstPort is the first port of an address pool.
const firstPort = 20000

// addressPool hands out addresses on a loopback IP address that only this process uses. On 127.0.0.1,
// another program could take a free port before a daemon listens on it.
type addressPool struct {
	ip   netip.Addr
	next uint16
}

func newAddressPool() *addressPool {
	pid := os.Getpid()
	return &addressPool{ip: netip.AddrFrom4([4]byte{127, byte(64 | pid>>16&63), byte(pid >> 8), byte(pid)}), next: firstPort}
}

// freeTCP returns an address on which no TCP socket listens.
func (a *addressPool) freeTCP() (netip.AddrPort, error) {
	return a.nextUsable(func(at netip.AddrPort) error {
		listener, err := net.Listen("tcp", at.String())
		if err != nil {
			return err
		}
		return listener.Close()
	})
}

// freeUDP returns addresses to which no UDP socket is bound.
func (a *addressPool) freeUDP(count int) ([]netip.AddrPort, error) {
	var found []netip.AddrPort
	for range count {
		at, err := a.nextUsable(func(at netip.AddrPort) error {
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
func (a *addressPool) nextUsable(bind func(netip.AddrPort) error) (netip.AddrPort, error) {
	var err error
	for ; a.next >= firstPort; a.next++ {
		at := netip.AddrPortFrom(a.ip, a.next)
		if err = bind(at); err == nil {
			a.next++
			return at, nil
		}
	}
	return netip.AddrPort{}, err
}
