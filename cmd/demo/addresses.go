package main

import (
	"net"
	"net/netip"
	"os"

	"github.com/greengagelock/greengagelock/internal/fabric"
)

// firstAddressPort is the first port that addresses hands out.
const firstAddressPort = 20000

// addresses hands out addresses on a loopback IP of this process alone. Ports of 127.0.0.1 that were
// free a moment ago may be taken by another program before a daemon listens there.
type addresses struct {
	ip   netip.Addr
	next uint16
}

func newAddresses() *addresses {
	pid := os.Getpid()
	return &addresses{ip: netip.AddrFrom4([4]byte{127, byte(64 | pid>>16&63), byte(pid >> 8), byte(pid)}), next: firstAddressPort}
}

// tcp returns an address that no socket listens on.
func (a *addresses) tcp() (netip.AddrPort, error) {
	return a.find(func(at netip.AddrPort) error {
		listener, err := net.Listen("tcp", at.String())
		if err != nil {
			return err
		}
		return listener.Close()
	})
}

// udp returns addresses that no socket is bound to.
func (a *addresses) udp(count int) ([]netip.AddrPort, error) {
	var found []netip.AddrPort
	for range count {
		at, err := a.find(func(at netip.AddrPort) error {
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

// find returns the next address that can be used, and the last error if there is none.
func (a *addresses) find(try func(netip.AddrPort) error) (netip.AddrPort, error) {
	var err error
	for ; a.next >= firstAddressPort; a.next++ {
		at := netip.AddrPortFrom(a.ip, a.next)
		if err = try(at); err == nil {
			a.next++
			return at, nil
		}
	}
	return netip.AddrPort{}, err
}
