// Command tuncheck checks package fabric's TUN devices: it opens a TCP connection of the kernel to itself
// through a device and compares the data echoed. It needs root, or CAP_NET_ADMIN and access to /dev/net/tun.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/fabric"
	"github.com/greengagelock/greengagelock/internal/flow"
)

const (
	// clampedMSS is the MSS limit in bytes that the agent sets for a path MTU of 1,500 bytes.
	clampedMSS = 1328
	// transferBytes fills many full segments in each direction.
	transferBytes = 1 << 20
	// checkTimeout bounds the connection attempt, and then the transfer.
	checkTimeout = 20 * time.Second
)

func main() {
	address := flag.String("address", "198.18.0.1/30", "address of the device with its prefix, at least two hosts")
	flag.Parse()
	prefix, err := netip.ParsePrefix(*address)
	if err == nil {
		err = check(prefix)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "tuncheck:", err)
		os.Exit(1)
	}
}

// reflector writes the packets of a device back to it with source and destination address swapped, so that
// the kernel talks to itself through the device: a connection to the peer address reaches a listener on
// the device's own address. Swapping the addresses leaves the checksums valid.
type reflector struct {
	device    *fabric.TUN
	reflected atomic.Int64
	clamped   atomic.Int64
	dropped   atomic.Int64
}

func (r *reflector) run() {
	batch := []fabric.Datagram{{Data: make([]byte, 2048)}}
	for {
		n, err := r.device.ReadBatch(batch)
		if err != nil {
			return
		}
		for i := range n {
			r.reflect(batch[i : i+1])
		}
	}
}

func (r *reflector) reflect(datagrams []fabric.Datagram) {
	var p flow.Packet
	if p.Parse(datagrams[0].Data) != flow.DropNone {
		r.dropped.Add(1) // such as multicast packets of the kernel
		return
	}
	if flow.ClampMSS(&p, clampedMSS) {
		r.clamped.Add(1)
	}
	source, destination := p.Raw[12:16], p.Raw[16:20]
	var saved [4]byte
	copy(saved[:], source)
	copy(source, destination)
	copy(destination, saved[:])
	if _, err := r.device.WriteBatch(datagrams); err == nil {
		r.reflected.Add(1)
	}
}

// check opens a device, transfers data over a connection through it, and expects that the MSS of SYN and
// SYN-ACK was clamped.
func check(prefix netip.Prefix) error {
	device, err := fabric.OpenTUN(fabric.TUNConfig{Address: prefix, MTU: 1500})
	if err != nil {
		return errors.Wrap(err, "cannot use a TUN device; run as root or with CAP_NET_ADMIN and access to /dev/net/tun")
	}
	defer func() { _ = device.Close() }()
	r := &reflector{device: device}
	go r.run()

	listener, err := net.Listen("tcp4", net.JoinHostPort(prefix.Addr().String(), "0"))
	if err != nil {
		return errors.Wrap(err, "listen on the address of the device")
	}
	defer func() { _ = listener.Close() }()
	go echo(listener)
	bound, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return err
	}
	peer := netip.AddrPortFrom(prefix.Addr().Next(), bound.Port())
	if err := transfer(peer); err != nil {
		return errors.Wrapf(err, "connection through %s (%d packets reflected)", device.Name(), r.reflected.Load())
	}
	if r.clamped.Load() < 2 {
		return errors.Newf("MSS was clamped in %d packets, want at least SYN and SYN-ACK", r.clamped.Load())
	}
	fmt.Printf("tuncheck: ok, %d bytes each way through %s in %d packets, MSS clamped in %d, %d other packets dropped\n",
		transferBytes, device.Name(), r.reflected.Load(), r.clamped.Load(), r.dropped.Load())
	return nil
}

// echo accepts one connection and sends back what it receives.
func echo(listener net.Listener) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	_, _ = io.Copy(conn, conn)
	_ = conn.Close()
}

// transfer sends data to the peer and fails unless the same data comes back.
func transfer(peer netip.AddrPort) error {
	conn, err := net.DialTimeout("tcp4", peer.String(), checkTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(checkTimeout)); err != nil {
		return err
	}
	sent := make([]byte, transferBytes)
	random := rand.NewChaCha8([32]byte{})
	if _, err := random.Read(sent); err != nil {
		return err
	}
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(sent)
		written <- err
	}()
	received := make([]byte, transferBytes)
	if _, err := io.ReadFull(conn, received); err != nil {
		return errors.Wrap(err, "read the echo")
	}
	if err := <-written; err != nil {
		return err
	}
	if !bytes.Equal(sent, received) {
		return errors.New("the echo differs from what was sent")
	}
	return nil
}
