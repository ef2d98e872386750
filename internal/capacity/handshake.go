package capacity

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/greengagelock/greengagelock/internal/devcerts"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/rpc"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

// Pinger is the RPC service that is called once on each new connection.
type Pinger struct{}

// Ping does nothing.
func (Pinger) Ping(_ *int, _ *int) error { return nil }

// measureHandshakes measures many nodes connecting at the same time, as after the loss of a controller.
func measureHandshakes(r *recorder) error {
	folder, err := os.MkdirTemp(r.folder, "handshake")
	if err != nil {
		return errors.Wrap(err, "create a folder for certificates")
	}
	certs, err := devcerts.New(folder)
	if err != nil {
		return err
	}
	serverCredentials, err := issueCredentials(certs, model.RoleController, "c1")
	if err != nil {
		return err
	}
	clientCredentials, err := issueCredentials(certs, model.RoleAgent, "vm-1")
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for handshakes")
	}
	rpcServer, err := rpc.NewServer(rpc.ServerConfig{Credentials: serverCredentials, Services: func(*rpc.Peer) (map[string]any, error) {
		return map[string]any{"Pinger": Pinger{}}, nil
	}}, telemetry.Discard())
	if err != nil {
		return errors.CombineErrors(err, listener.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = rpcServer.Serve(ctx, listener) })
	defer wg.Wait()
	defer cancel()
	for _, count := range r.sizes.Handshake {
		if err := r.recordHandshakes(ctx, listener.Addr().String(), clientCredentials, count); err != nil {
			return err
		}
	}
	return nil
}

func issueCredentials(certs *devcerts.Authority, role model.Role, name string) (*rpc.Credentials, error) {
	files, err := certs.Issue(role, name)
	if err != nil {
		return nil, err
	}
	return rpc.LoadCredentials(files)
}

// recordHandshakes connects count clients at once, in several runs. It records the shortest elapsed
// time and the least processor time.
func (r *recorder) recordHandshakes(ctx context.Context, address string, c *rpc.Credentials, count int) error {
	var elapsed, cpu time.Duration
	for run := range max(r.sizes.Repeat/3, 1) {
		cpuBefore, start := cpuTime(), time.Now()
		if err := connect(ctx, address, c, count); err != nil {
			return err
		}
		runElapsed, runCPU := time.Since(start), cpuTime()-cpuBefore
		if run == 0 || runElapsed < elapsed {
			elapsed = runElapsed
		}
		if run == 0 || runCPU < cpu {
			cpu = runCPU
		}
	}
	r.record("handshake-time", float64(count), milliseconds(elapsed))
	r.record("handshake-processor", float64(count), milliseconds(cpu))
	return nil
}

func connect(ctx context.Context, address string, c *rpc.Credentials, count int) error {
	clients := make([]*rpc.Client, count)
	for i := range clients {
		clients[i] = rpc.NewClient(rpc.ClientConfig{
			Address: address, Role: model.RoleController, Credentials: c, DialTimeout: waitTimeout, CallTimeout: waitTimeout,
		})
		defer clients[i].Close()
	}
	var group errgroup.Group
	for _, client := range clients {
		group.Go(func() error {
			zero := 0
			_, err := rpc.Call[int](ctx, client, "Pinger.Ping", &zero)
			return err
		})
	}
	return errors.Wrapf(group.Wait(), "connect %d clients", count)
}
