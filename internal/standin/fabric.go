package standin

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/greengagelock/greengagelock/internal/fabric"
	"github.com/greengagelock/greengagelock/internal/flow"
)

// reorderDelay is how long a reordered packet is delayed, so that later packets overtake it.
const reorderDelay = 3 * time.Millisecond

// Faults are the probabilities, from 0 to 1, with which the fabric drops, duplicates or reorders a packet.
type Faults struct {
	Loss, Duplicate, Reorder float64
}

// FabricConfig configures a Fabric.
type FabricConfig struct {
	// Seed seeds the random choice of balancers and faults; the same sequence of packets gets the same choices.
	Seed   uint64
	Faults Faults
}

// Fabric simulates the network: it sends each packet of a caller to a random balancer, and the packets
// of agents to the callers.
type Fabric struct {
	callers fabric.Conn // packets from and to callers
	gateway fabric.Conn // packets to balancers and from agents

	mu           sync.Mutex // also serializes writes
	random       *rand.Rand
	faults       Faults
	balancers    []netip.AddrPort
	routes       map[netip.Addr]netip.AddrPort // by caller
	isDropped    func(flow.Key) bool
	stats        FabricStats
	delayedSends sync.WaitGroup
}

// FabricStats counts the packets of a Fabric.
type FabricStats struct {
	ToBalancers, ToCallers uint64
	// Dropped counts packets lost at random, packets of dropped flows, and packets without a route.
	Dropped, Duplicated, Reordered uint64
}

// NewFabric opens the sockets of a fabric.
func NewFabric(cfg FabricConfig) (*Fabric, error) {
	callers, err := fabric.ListenUDP(loopbackAnyPort)
	if err != nil {
		return nil, err
	}
	gateway, err := fabric.ListenUDP(loopbackAnyPort)
	if err != nil {
		_ = callers.Close()
		return nil, err
	}
	return &Fabric{
		callers:   callers,
		gateway:   gateway,
		random:    rand.New(rand.NewPCG(cfg.Seed, 0)),
		faults:    cfg.Faults,
		routes:    map[netip.Addr]netip.AddrPort{},
		isDropped: func(flow.Key) bool { return false },
	}, nil
}

// CallerAddr is the address to which callers send their packets.
func (f *Fabric) CallerAddr() netip.AddrPort { return f.callers.LocalAddr() }

// GatewayAddr is the address to which agents send packets for callers.
func (f *Fabric) GatewayAddr() netip.AddrPort { return f.gateway.LocalAddr() }

// SetBalancers replaces the ingress addresses of the balancers that receive packets.
func (f *Fabric) SetBalancers(ingress ...netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = append([]netip.AddrPort(nil), ingress...)
}

// SetFaults replaces the fault probabilities.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// DropFlows drops all further packets of the matching flows, in both directions. It replaces the previous match.
func (f *Fabric) DropFlows(match func(flow.Key) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isDropped = match
}

// Stats returns the current counters.
func (f *Fabric) Stats() FabricStats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stats
}

// Run forwards packets until ctx is done.
func (f *Fabric) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return receive(f.callers, f.fromCaller) })
	group.Go(func() error { return receive(f.gateway, f.fromAgent) })
	group.Go(func() error {
		<-ctx.Done()
		return errors.Join(f.callers.Close(), f.gateway.Close())
	})
	err := group.Wait()
	f.delayedSends.Wait()
	return err
}

func receive(conn fabric.Conn, handle func(fabric.Datagram)) error {
	batch := newBatch()
	for {
		n, err := conn.ReadBatch(batch)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, d := range batch[:n] {
			handle(d)
		}
	}
}

func (f *Fabric) fromCaller(d fabric.Datagram) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var p flow.Packet
	if p.Parse(d.Data) != flow.DropNone || len(f.balancers) == 0 || f.isDropped(p.Key) {
		f.stats.Dropped++
		return
	}
	f.routes[p.Key.Caller.Addr()] = d.Addr
	f.stats.ToBalancers++
	f.transmit(f.gateway, d.Data, func() netip.AddrPort {
		return f.balancers[f.random.IntN(len(f.balancers))]
	})
}

func (f *Fabric) fromAgent(d fabric.Datagram) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var p flow.Packet
	if p.Parse(d.Data) != flow.DropNone || f.isDropped(p.Key.Reverse()) {
		f.stats.Dropped++
		return
	}
	route, ok := f.routes[p.Key.Service.Addr()]
	if !ok {
		f.stats.Dropped++
		return
	}
	f.stats.ToCallers++
	f.transmit(f.callers, d.Data, func() netip.AddrPort { return route })
}

// transmit sends a packet subject to the configured faults. Each copy of a duplicated packet gets its
// own destination and faults. The caller holds f.mu.
func (f *Fabric) transmit(conn fabric.Conn, data []byte, destination func() netip.AddrPort) {
	copies := 1
	if f.occurs(f.faults.Duplicate) {
		f.stats.Duplicated++
		copies = 2
	}
	for range copies {
		if f.occurs(f.faults.Loss) {
			f.stats.Dropped++
			continue
		}
		d := fabric.Datagram{Data: data, Addr: destination()}
		if f.occurs(f.faults.Reorder) {
			f.stats.Reordered++
			f.sendLater(conn, d)
			continue
		}
		// TCP retransmits a packet that could not be written.
		_, _ = conn.WriteBatch([]fabric.Datagram{d})
	}
}

func (f *Fabric) sendLater(conn fabric.Conn, d fabric.Datagram) {
	d.Data = append([]byte(nil), d.Data...)
	f.delayedSends.Add(1)
	time.AfterFunc(reorderDelay, func() {
		defer f.delayedSends.Done()
		f.mu.Lock()
		defer f.mu.Unlock()
		_, _ = conn.WriteBatch([]fabric.Datagram{d})
	})
}

func (f *Fabric) occurs(probability float64) bool {
	return probability > 0 && f.random.Float64() < probability
}
