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

// reorderDelay holds a packet back long enough for later ones to pass it.
const reorderDelay = 3 * time.Millisecond

// Faults are the probabilities, from 0 to 1, with which the fabric harms a packet.
type Faults struct {
	Loss, Duplicate, Reorder float64
}

// FabricConfig configures a Fabric.
type FabricConfig struct {
	// Seed determines the choices of the fabric for a sequence of packets.
	Seed   uint64
	Faults Faults
}

// Fabric sprays the packets of callers over the balancers and returns the packets of agents to the
// callers.
type Fabric struct {
	callers fabric.Conn // towards callers
	gateway fabric.Conn // towards balancers and agents

	mu        sync.Mutex // also serializes writes
	random    *rand.Rand
	faults    Faults
	balancers []netip.AddrPort
	routes    map[netip.Addr]netip.AddrPort // of callers
	silent    func(flow.Key) bool
	stats     FabricStats
	delayed   sync.WaitGroup
}

// FabricStats counts the packets of a Fabric.
type FabricStats struct {
	ToBalancers, ToCallers uint64
	// Dropped counts lost packets, packets of silenced flows and packets without a route.
	Dropped, Duplicated, Reordered uint64
}

// NewFabric opens the sockets of a fabric.
func NewFabric(cfg FabricConfig) (*Fabric, error) {
	callers, err := fabric.ListenUDP(loopback)
	if err != nil {
		return nil, err
	}
	gateway, err := fabric.ListenUDP(loopback)
	if err != nil {
		_ = callers.Close()
		return nil, err
	}
	return &Fabric{
		callers: callers,
		gateway: gateway,
		random:  rand.New(rand.NewPCG(cfg.Seed, 0)),
		faults:  cfg.Faults,
		routes:  map[netip.Addr]netip.AddrPort{},
		silent:  func(flow.Key) bool { return false },
	}, nil
}

// CallerAddr is where callers send their packets.
func (f *Fabric) CallerAddr() netip.AddrPort { return f.callers.LocalAddr() }

// GatewayAddr is where agents send packets for callers.
func (f *Fabric) GatewayAddr() netip.AddrPort { return f.gateway.LocalAddr() }

// SetBalancers replaces the live balancers, given by their ingress addresses.
func (f *Fabric) SetBalancers(ingress ...netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = append([]netip.AddrPort(nil), ingress...)
}

// SetFaults replaces the faults.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Silence drops, from now on, all packets of the flows that match, in both directions.
func (f *Fabric) Silence(match func(flow.Key) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = match
}

// Stats returns the counts so far.
func (f *Fabric) Stats() FabricStats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stats
}

// Run moves packets until ctx is done.
func (f *Fabric) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return receive(f.callers, f.fromCaller) })
	group.Go(func() error { return receive(f.gateway, f.fromAgent) })
	group.Go(func() error {
		<-ctx.Done()
		return errors.Join(f.callers.Close(), f.gateway.Close())
	})
	err := group.Wait()
	f.delayed.Wait()
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
	if p.Parse(d.Data) != flow.DropNone || len(f.balancers) == 0 || f.silent(p.Key) {
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
	if p.Parse(d.Data) != flow.DropNone || f.silent(p.Key.Reverse()) {
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

// transmit sends a packet under the configured faults. Copies of a packet take their own way. The
// caller holds f.mu.
func (f *Fabric) transmit(conn fabric.Conn, data []byte, next func() netip.AddrPort) {
	copies := 1
	if f.chance(f.faults.Duplicate) {
		f.stats.Duplicated++
		copies = 2
	}
	for range copies {
		if f.chance(f.faults.Loss) {
			f.stats.Dropped++
			continue
		}
		d := fabric.Datagram{Data: data, Addr: next()}
		if f.chance(f.faults.Reorder) {
			f.stats.Reordered++
			f.sendLater(conn, d)
			continue
		}
		// A lost packet is sent again by TCP.
		_, _ = conn.WriteBatch([]fabric.Datagram{d})
	}
}

func (f *Fabric) sendLater(conn fabric.Conn, d fabric.Datagram) {
	d.Data = append([]byte(nil), d.Data...)
	f.delayed.Add(1)
	time.AfterFunc(reorderDelay, func() {
		defer f.delayed.Done()
		f.mu.Lock()
		defer f.mu.Unlock()
		_, _ = conn.WriteBatch([]fabric.Datagram{d})
	})
}

func (f *Fabric) chance(probability float64) bool {
	return probability > 0 && f.random.Float64() < probability
}
