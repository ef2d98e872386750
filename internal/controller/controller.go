// Package controller runs the control plane: it drives the replicated log, holds the sessions of
// nodes, carries out the duties of the leader and serves operators.
package controller

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"
	"golang.org/x/sync/errgroup"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/rpc"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	"github.com/greengagelock/greengagelock/internal/wal"
)

const (
	// MaxAge is how long a controller without contact to a quorum still answers nodes and reads.
	MaxAge = 2 * time.Second
	// transferTimeout bounds the hand-over of leadership when a controller stops.
	transferTimeout = 2 * time.Second
	// maxEdits bounds the edits that run at the same time. Only one of them can be accepted, as
	// they name the same revision.
	maxEdits = 16
)

// Config configures a Controller.
type Config struct {
	Name string
	// Members are the controllers, this one included, that form the log when it starts for the
	// first time. A member that joins later lists only the others.
	Members map[string]string
	Listen  string // address to listen at
	// Listener is used instead of Listen if it is set.
	Listener net.Listener
	DataDir  string
	TLS      rpc.Files
	// MaxSessions bounds the nodes that may poll this controller.
	MaxSessions int
	// Dial makes connections to other controllers; nil means TCP.
	Dial rpc.Dial
	// FS holds the files of the replicated log; nil means a folder in DataDir.
	FS wal.FS
}

// Controller is one member of the control plane.
type Controller struct {
	cfg       Config
	tel       telemetry.Handle
	metrics   *Metrics
	log       replica.Log
	state     *state
	sessions  *sessions
	server    *rpc.Server
	peers     *peers
	leader    *leader
	barrier   *barrier
	directory *replica.Directory
	transport *replica.Transport
	members   *members
	edits     chan struct{}
	kick      chan struct{} // wakes the reporter
}

// New returns a controller.
func New(cfg Config, t telemetry.Handle) (*Controller, error) {
	if cfg.Name == "" || len(cfg.Members) == 0 {
		return nil, result.New(result.SettingsInvalid, "a controller needs a name and the addresses of the members")
	}
	credentials, err := rpc.LoadCredentials(cfg.TLS)
	if err != nil {
		return nil, err
	}
	id, err := credentials.Identity()
	if err != nil {
		return nil, err
	}
	if want := (rpc.Identity{Role: model.RoleController, Name: cfg.Name}); id != want {
		return nil, result.New(result.SettingsInvalid, "the certificate is for %s, expected %s", id, want)
	}
	c, err := build(cfg, credentials, t)
	if err != nil {
		return nil, err
	}
	r, err := replica.New(replica.Config{
		Name: cfg.Name, Folder: cfg.DataDir, Members: replica.InitialMembers(cfg.Name, cfg.Members),
		Directory: c.directory, FS: cfg.FS,
		Send: func(messages []consensus.Message) { c.transport.Send(messages) },
	}, t)
	if err != nil {
		return nil, err
	}
	c.transport = newTransport(r.FolderID(), credentials, cfg.Dial, c.directory, c.metrics.Dropped)
	c.use(r, r.FolderID())
	return c, nil
}

// build returns a controller without a log.
func build(cfg Config, credentials *rpc.Credentials, t telemetry.Handle) (*Controller, error) {
	if cfg.MaxSessions <= 0 {
		cfg.MaxSessions = rpc.DefaultMaxConns
	}
	c := &Controller{
		cfg: cfg, tel: t, state: newState(), sessions: newSessions(cfg.MaxSessions),
		peers: newPeers(credentials, cfg.Dial), directory: replica.NewDirectory(cfg.Members),
		edits: make(chan struct{}, maxEdits), kick: make(chan struct{}, 1),
	}
	c.barrier = newBarrier(c.readBarrier)
	var err error
	if c.metrics, err = newMetrics(t.Metrics, c); err != nil {
		return nil, err
	}
	c.server, err = rpc.NewServer(rpc.ServerConfig{
		Credentials: credentials, Services: c.services, MaxConns: cfg.MaxSessions,
	}, t)
	return c, err
}

// use gives the controller its log.
func (c *Controller) use(log replica.Log, folder string) {
	c.log, c.leader, c.members = log, &leader{log: log}, newMembers(c, folder)
}

// services returns what a peer may call.
func (c *Controller) services(p *rpc.Peer) (map[string]any, error) {
	switch p.Role {
	case model.RoleBalancer, model.RoleAgent:
		return map[string]any{nodeServiceName: &Node{c: c, peer: p}}, nil
	case model.RoleOperator:
		return map[string]any{operatorServiceName: &Operator{c: c, peer: p}}, nil
	case model.RoleController:
		return map[string]any{
			peerServiceName:     &Peer{c: c, peer: p},
			operatorServiceName: &Operator{c: c, peer: p},
		}, nil
	}
	return nil, result.New(result.PeerUnknown, "role %q has no service here", p.Role)
}

// Run serves until ctx is done. A leader hands over before it stops.
func (c *Controller) Run(ctx context.Context) error {
	listener := c.cfg.Listener
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", c.cfg.Listen); err != nil {
			return errors.Wrap(err, "listen for control connections")
		}
	}
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, running := errgroup.WithContext(inner)
	group.Go(func() error { return c.log.Run(running, c.state) })
	group.Go(func() error { return c.server.Serve(running, listener) })
	group.Go(func() error { c.transport.Run(running); return nil })
	group.Go(func() error { c.barrier.run(running); return nil })
	group.Go(func() error { c.reportSessions(running); return nil })
	group.Go(func() error { c.lead(running); return nil })
	c.tel.Logger.Info().Str("controller", c.cfg.Name).Str("address", listener.Addr().String()).Msg("controller started")
	select {
	case <-ctx.Done():
		c.handOver(running)
	case <-running.Done():
	}
	cancel()
	c.peers.close()
	err := group.Wait()
	c.tel.Logger.Info().Str("controller", c.cfg.Name).Msg("controller stopped")
	return err
}

func (c *Controller) handOver(ctx context.Context) {
	if !c.log.Status().IsLeader {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if err := c.log.TransferLeadership(ctx); err != nil {
		c.tel.Logger.Warn().Str("controller", c.cfg.Name).Err(err).Msg("leadership was not handed over, the others will elect a leader")
	}
}

// current returns how old the knowledge of this controller is, or an error if it is too old to be
// handed out.
func (c *Controller) current() (time.Duration, error) {
	status := c.log.Status()
	age := status.QuorumAge
	if !status.Contact || age > MaxAge {
		return age, result.New(result.NoQuorum, "controller %s has had no contact to a quorum for %v", c.cfg.Name, age.Round(time.Millisecond))
	}
	return age, nil
}

// Module provides a Controller from a Config and a telemetry handle.
var Module = fx.Module("controller", fx.Provide(New))
