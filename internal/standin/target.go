package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
)

// httpHeaderTimeout limits the time to read the header of a health or load request.
const httpHeaderTimeout = 5 * time.Second

// Endpoint is the name and address of a service that a target serves.
type Endpoint struct {
	Service string
	Address netip.AddrPort
}

// TargetConfig configures a Target.
type TargetConfig struct {
	Instance     string // unique per start of the target
	Endpoints    []Endpoint
	Slots        int           // per endpoint
	ServiceTime  time.Duration // how long a request holds its slot
	LineInterval time.Duration // between the lines of a stream
	Listen       netip.AddrPort
	Agent        netip.AddrPort // where the agent receives packets from the target
	Ledger       *Ledger
}

// Target simulates a host that has the addresses of its services and runs the application behind them.
type Target struct {
	cfg       TargetConfig
	host      *host
	endpoints []*endpoint
	listener  net.Listener
	draining  atomic.Bool
	unhealthy atomic.Bool
	serving   sync.WaitGroup
}

type endpoint struct {
	Endpoint
	listener   *gonet.TCPListener
	open       atomic.Int64
	accepted   atomic.Int64
	busy       atomic.Int64
	overloaded atomic.Int64
	failed     atomic.Int64
}

// EndpointStats holds the counters of an endpoint.
type EndpointStats struct {
	Open, Accepted, Busy int64
	// Overloaded counts requests that arrived while every slot was in use.
	Overloaded int64
	// Failed counts connections that did not end according to the application protocol.
	Failed int64
}

// NewTarget opens the sockets of a target.
func NewTarget(cfg TargetConfig) (*Target, error) {
	var addrs []netip.Addr
	seen := map[netip.Addr]bool{}
	for _, e := range cfg.Endpoints {
		if !seen[e.Address.Addr()] {
			seen[e.Address.Addr()] = true
			addrs = append(addrs, e.Address.Addr())
		}
	}
	h, err := newHost(addrs, cfg.Listen, cfg.Agent)
	if err != nil {
		return nil, err
	}
	t := &Target{cfg: cfg, host: h}
	for _, e := range cfg.Endpoints {
		listener, err := gonet.ListenTCP(h.stack, fullAddress(e.Address), ipv4.ProtocolNumber)
		if err != nil {
			return nil, errors.Join(err, h.conn.Close())
		}
		t.endpoints = append(t.endpoints, &endpoint{Endpoint: e, listener: listener})
	}
	t.listener, err = net.Listen("tcp", loopbackAnyPort.String())
	if err != nil {
		return nil, errors.Join(err, h.conn.Close())
	}
	return t, nil
}

// Addr is the UDP address that receives packets for the target.
func (t *Target) Addr() netip.AddrPort { return t.host.conn.LocalAddr() }

// SetAgent sets the agent's address, to which the target sends its packets. It must be called before Run.
func (t *Target) SetAgent(agent netip.AddrPort) { t.host.peer = agent }

// URL is the base URL of the health and load endpoints.
func (t *Target) URL() string { return "http://" + t.listener.Addr().String() }

// SetDraining sets whether the health endpoint reports the target as draining.
func (t *Target) SetDraining(draining bool) { t.draining.Store(draining) }

// SetHealthy sets whether the health endpoint responds with 200 or with 503.
func (t *Target) SetHealthy(healthy bool) { t.unhealthy.Store(!healthy) }

// Stats returns the counters of the endpoint of a service, or zeros if the target does not serve it.
func (t *Target) Stats(service string) EndpointStats {
	for _, e := range t.endpoints {
		if e.Service == service {
			return EndpointStats{
				Open: e.open.Load(), Accepted: e.accepted.Load(), Busy: e.busy.Load(),
				Overloaded: e.overloaded.Load(), Failed: e.failed.Load(),
			}
		}
	}
	return EndpointStats{}
}

// Run serves until ctx is done. Connections that are still open then send no further packet, as when
// the VM of the target fails.
func (t *Target) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.host.run(ctx) })
	for _, e := range t.endpoints {
		group.Go(func() error { return t.accept(ctx, e) })
	}
	server := &http.Server{Handler: t.handler(), ReadHeaderTimeout: httpHeaderTimeout}
	group.Go(func() error {
		if err := server.Serve(t.listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		for _, e := range t.endpoints {
			e.listener.Shutdown()
		}
		return server.Close()
	})
	err := group.Wait()
	t.serving.Wait()
	return err
}

func (t *Target) accept(ctx context.Context, e *endpoint) error {
	for {
		conn, err := e.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		t.serving.Go(func() { t.handle(ctx, e, conn) })
	}
}

func (t *Target) handle(ctx context.Context, e *endpoint, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	e.accepted.Add(1)
	e.open.Add(1)
	defer e.open.Add(-1)
	if err := t.serve(ctx, e, conn); err != nil {
		e.failed.Add(1)
	}
	_ = conn.Close()
}

func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		if t.unhealthy.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		writeJSON(w, struct {
			Draining bool `json:"draining"`
		}{t.draining.Load()})
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		var slots, connections int64
		for _, e := range t.endpoints {
			slots += e.busy.Load()
			connections += e.open.Load()
		}
		writeJSON(w, struct {
			SlotsInUse  int64  `json:"slots_in_use"`
			Connections int64  `json:"connections"`
			Instance    string `json:"instance"`
		}{slots, connections, t.cfg.Instance})
	})
	return mux
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(value)
}
