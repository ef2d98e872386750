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

// hintQueueSize bounds the hints that wait for the next batch of packets.
const hintQueueSize = 1024

// maxReadErrors is the number of failed reads in a row after which a balancer gives up. Single
// errors pass, such as a lack of socket memory.
const maxReadErrors = 16

// Config is what a balancer needs to know.
type Config struct {
	Name        string // of the node, unique
	VM          model.VM
	Zone        model.AvailabilityZone
	Incarnation uint64 // chosen at process start
	FleetKey    encap.Key
	// Ingress receives packets from the fabric. The balancer closes it.
	Ingress fabric.Conn
	// Egress sends to agents and receives their hints. Its local address is the ingress address in
	// headers. The balancer closes it.
	Egress fabric.Conn
	// IngressAddress replaces the local address of Egress if it is valid, for sockets that are
	// bound to the unspecified address.
	IngressAddress netip.AddrPort
	// SampleOneIn is the share of flows that are traced, see flow.Sampled; zero traces none.
	SampleOneIn uint64
}

// Balancer forwards packets from the fabric to agents. It implements node.Handler.
type Balancer struct {
	cfg        Config
	telemetry  telemetry.Handle
	metrics    *Metrics
	decider    *Decider // used by the forwarding goroutine only
	table      atomic.Pointer[placement.Table]
	controlAge atomic.Pointer[func() time.Duration]
	hints      chan encap.Hint
}

var _ node.Handler = (*Balancer)(nil)

// New returns a balancer without services.
func New(cfg Config, t telemetry.Handle) (*Balancer, error) {
	if cfg.Name == "" || cfg.Ingress == nil || cfg.Egress == nil {
		return nil, result.New(result.SettingsInvalid, "a balancer needs a name and both packet ports")
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
		cfg: cfg, telemetry: t, metrics: metrics, decider: decider, hints: make(chan encap.Hint, hintQueueSize),
	}, nil
}

// Announcement implements node.Handler.
func (b *Balancer) Announcement() model.Announcement {
	return model.Announcement{
		Node: b.cfg.Name, Incarnation: b.cfg.Incarnation, Role: model.RoleBalancer, VM: b.cfg.VM, Zone: b.cfg.Zone,
	}
}

// ApplyView implements node.Handler. Calls must not overlap. A view older than the one in force is
// ignored.
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
			Msg("first view in force")
	}
}

// SetControlAge sets the function that returns the time since the last contact to control. Without
// one, headers say that it is unknown.
func (b *Balancer) SetControlAge(age func() time.Duration) {
	b.controlAge.Store(&age)
}

// Run forwards packets until ctx is done or a socket fails. Packets that were read by then are
// still sent. It closes both packet ports.
func (b *Balancer) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, groupCtx := errgroup.WithContext(ctx)
	// Closing a port is the only way to end a blocked read. Egress stays open until the last batch
	// is sent.
	stop := context.AfterFunc(groupCtx, func() { _ = b.cfg.Ingress.Close() })
	defer stop()
	packets := newPipeline()
	group.Go(func() error { return b.forward(groupCtx, packets) })
	group.Go(func() error {
		b.write(packets)
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

// readErrors decides when failed reads end a loop.
type readErrors int

// ended counts a failed read and reports whether the loop ends, and with which error.
func (r *readErrors) ended(ctx context.Context, err error) (bool, error) {
	if ctx.Err() != nil {
		return true, nil
	}
	*r++
	if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrClosed) || *r >= maxReadErrors {
		return true, errors.Wrap(err, "read packets")
	}
	return false, nil
}
