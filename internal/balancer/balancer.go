package balancer

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"
	"golang.org/x/sync/errgroup"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/fabric"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/node"
	"github.com/greengagelock/greengagelock/internal/placement"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

// Module provides the balancer.
var Module = fx.Module("balancer", fx.Provide(New))

// maxQueuedHints is the capacity of the queue of hints that are added before the next batch of packets.
const maxQueuedHints = 1024

// maxConsecutiveReadErrors is the number of consecutive failed reads after which a balancer stops. A
// single error may be transient, such as a lack of socket memory.
const maxConsecutiveReadErrors = 16

// Config holds the settings and the packet connections of a balancer, which closes the connections before
// Run returns.
type Config struct {
	Name        string // unique node name
	VM          model.VM
	Zone        model.AvailabilityZone
	Incarnation uint64 // chosen at process start
	FleetKey    encap.Key
	// Ingress receives packets of callers.
	Ingress fabric.Conn
	// Egress sends encapsulated packets to agents and receives their hints. Headers carry its local
	// address as the ingress address.
	Egress fabric.Conn
	// IngressAddress replaces the local address of Egress in headers if it is valid. It is needed if
	// Egress is bound to the unspecified address.
	IngressAddress netip.AddrPort
	// SampleOneIn traces one in this many flows, see flow.Sampled; zero traces none.
	SampleOneIn uint64
}

// Balancer forwards packets of callers to agents. It implements node.Handler.
type Balancer struct {
	cfg        Config
	telemetry  telemetry.Handle
	metrics    *Metrics
	decider    *Decider // used only by the goroutine that runs readPackets
	table      atomic.Pointer[placement.Table]
	controlAge atomic.Pointer[func() time.Duration]
	hints      chan encap.Hint
}

var _ node.Handler = (*Balancer)(nil)

// New returns a balancer without services.
func New(cfg Config, t telemetry.Handle) (*Balancer, error) {
	if cfg.Name == "" || cfg.Ingress == nil || cfg.Egress == nil {
		return nil, result.New(result.SettingsInvalid, "the balancer has no name, or its ingress or egress connection is missing")
	}
	if !cfg.IngressAddress.IsValid() {
		cfg.IngressAddress = cfg.Egress.LocalAddr()
	}
	addr := cfg.IngressAddress.Addr().Unmap()
	if !addr.Is4() || addr.IsUnspecified() {
		return nil, result.New(result.SettingsInvalid, "ingress address %v is not a specific IPv4 address", addr)
	}
	metrics, err := newMetrics(t.Metrics)
	if err != nil {
		return nil, errors.Wrap(err, "register balancer metrics")
	}
	decider, err := NewDecider(cfg.FleetKey, cfg.IngressAddress)
	if err != nil {
		return nil, err
	}
	return &Balancer{
		cfg: cfg, telemetry: t, metrics: metrics, decider: decider, hints: make(chan encap.Hint, maxQueuedHints),
	}, nil
}

// Announcement implements node.Handler.
func (b *Balancer) Announcement() model.Announcement {
	return model.Announcement{
		Node: b.cfg.Name, Incarnation: b.cfg.Incarnation, Role: model.RoleBalancer, VM: b.cfg.VM, Zone: b.cfg.Zone,
	}
}

// ApplyView implements node.Handler. It ignores a view that is older than the one in force. Calls must not
// run concurrently.
func (b *Balancer) ApplyView(v *model.View) {
	prev := b.table.Load()
	if v.Generation < prev.Generation() {
		return
	}
	table, rebuilt := placement.Build(prev, v)
	b.table.Store(table)
	b.metrics.Rebuilt.Add(float64(rebuilt))
	b.metrics.Generation.Set(float64(table.Generation()))
	b.metrics.Services.Set(float64(table.Len()))
	b.metrics.Omitted.Set(float64(table.Omitted()))
	if prev == nil {
		b.telemetry.Logger.Info().Uint64("generation", uint64(table.Generation())).Int("services", table.Len()).
			Msg("first view applied")
	}
}

// SetControlAge sets the function that returns the time since the last contact to a controller with a
// quorum. Until it is set, headers carry encap.MaxControlAge.
func (b *Balancer) SetControlAge(age func() time.Duration) {
	b.controlAge.Store(&age)
}

// Run forwards packets until ctx is done or a connection fails. It sends the packets that were read by
// then and closes both connections.
func (b *Balancer) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, groupCtx := errgroup.WithContext(ctx)
	// Only closing a connection ends a blocked read. Egress stays open until the last batch is sent.
	stop := context.AfterFunc(groupCtx, func() { _ = b.cfg.Ingress.Close() })
	defer stop()
	packets := newPipeline()
	group.Go(func() error { return b.readPackets(groupCtx, packets) })
	group.Go(func() error {
		b.writeBatches(packets)
		cancel()
		_ = b.cfg.Egress.Close()
		return nil
	})
	group.Go(func() error { return b.readHints(groupCtx) })
	b.telemetry.Logger.Info().Str("name", b.cfg.Name).Str("ingress", b.cfg.IngressAddress.String()).
		Msg("balancer started")
	err := group.Wait()
	_ = b.cfg.Ingress.Close()
	b.telemetry.Logger.Info().Str("name", b.cfg.Name).Err(err).Msg("balancer stopped")
	return err
}

// readErrorCount is the number of consecutive failed reads.
type readErrorCount int

// shouldStop counts a failed read. It reports whether the read loop ends, and the error that it returns.
func (r *readErrorCount) shouldStop(ctx context.Context, err error) (bool, error) {
	if ctx.Err() != nil {
		return true, nil
	}
	*r++
	if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrClosed) || *r >= maxConsecutiveReadErrors {
		return true, errors.Wrap(err, "read packets")
	}
	return false, nil
}
