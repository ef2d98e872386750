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

// Pinger answers the first call on a new connection.
type Pinger struct{}

// Ping does nothing.
func (Pinger) Ping(_ *int, _ *int) error { return nil }

// measureHandshakes measures nodes that all connect at once, as after the loss of a controller.
func measureHandshakes(r *recorder) error {
	folder, err := os.MkdirTemp(r.folder, "handshake")
	if err != nil {
		return errors.Wrap(err, "make a folder for certificates")
	}
	certs, err := devcerts.New(folder)
	if err != nil {
		return err
	}
	server, err := credentials(certs, model.RoleController, "c1")
	if err != nil {
		return err
	}
	client, err := credentials(certs, model.RoleAgent, "vm-1")
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for handshakes")
	}
	serving, err := rpc.NewServer(rpc.ServerConfig{Credentials: server, Services: func(*rpc.Peer) (map[string]any, error) {
		return map[string]any{"Pinger": Pinger{}}, nil
	}}, telemetry.Discard())
	if err != nil {
		return errors.CombineErrors(err, listener.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = serving.Serve(ctx, listener) })
	defer wg.Wait()
	defer cancel()
	for _, count := range r.sizes.Handshake {
		if err := r.handshakes(ctx, listener.Addr().String(), client, count); err != nil {
			return err
		}
	}
	return nil
}

func credentials(certs *devcerts.Authority, role model.Role, name string) (*rpc.Credentials, error) {
	files, err := certs.Issue(role, name)
	if err != nil {
		return nil, err
	}
	return rpc.LoadCredentials(files)
}

// handshakes connects a number of clients at once; the fastest of several runs counts.
func (r *recorder) handshakes(ctx context.Context, address string, c *rpc.Credentials, count int) error {
	var elapsed, processor time.Duration
	for run := range max(r.sizes.Repeat/3, 1) {
		spent, start := processorTime(), time.Now()
		if err := connect(ctx, address, c, count); err != nil {
			return err
		}
		took, cost := time.Since(start), processorTime()-spent
		if run == 0 || took < elapsed {
			elapsed = took
		}
		if run == 0 || cost < processor {
			processor = cost
		}
	}
	r.point("handshake-time", float64(count), milliseconds(elapsed))
	r.point("handshake-processor", float64(count), milliseconds(processor))
	return nil
}

func connect(ctx context.Context, address string, c *rpc.Credentials, count int) error {
	clients := make([]*rpc.Client, count)
	for i := range clients {
		clients[i] = rpc.NewClient(rpc.ClientConfig{
			Address: address, Role: model.RoleController, Credentials: c, DialTimeout: patience, CallTimeout: patience,
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
