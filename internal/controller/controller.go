// Package controller implements one member of the control plane. It applies the replicated log to the
// catalog, serves the sessions of balancers and agents, proposes target changes while it is the leader,
// and serves the operator API.
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
	// MaxQuorumAge is how long a controller that has lost contact with a quorum still answers polls.
	MaxQuorumAge = 2 * time.Second
	// transferTimeout limits the leadership transfer when a controller stops.
	transferTimeout = 2 * time.Second
	// maxConcurrentEdits limits the edits that run at the same time. At most one of those that are based
	// on the same revision can be accepted.
	maxConcurrentEdits = 16
)

// Config configures a Controller.
type Config struct {
	Name string
	// Members maps the names of controllers to their addresses. The initial members list all of them,
	// this controller included; a member that joins later lists only the others.
	Members map[string]string
	Listen  string // address to listen on
	// Listener replaces Listen if it is set.
	Listener net.Listener
	DataDir  string
	TLS      rpc.TLSFiles
	// MaxSessions limits the nodes that may poll this controller; 0 selects rpc.DefaultMaxConns.
	MaxSessions int
	// Dial connects to other controllers; nil selects TCP.
	Dial rpc.DialFunc
	// FS stores the files of the replicated log; nil selects a subfolder of DataDir.
	FS wal.FS
}

// Controller is one member of the control plane.
type Controller struct {
	cfg          Config
	tel          telemetry.Handle
	metrics      *Metrics
	log          replica.Log
	state        *state
	sessions     *sessions
	server       *rpc.Server
	peers        *peers
	leader       *leader
	reads        *readBatcher
	directory    *replica.Directory
	transport    *replica.Transport
	members      *members
	founders     *founders
	lossReport   *lossReport
	groupSize    int // number of controllers in the settings
	editSlots    chan struct{}
	reportWakeup chan struct{} // triggers the next session report
}

// New returns a controller. Its certificate must name the role controller and the configured name.
func New(cfg Config, t telemetry.Handle) (*Controller, error) {
	if cfg.Name == "" || len(cfg.Members) == 0 {
		return nil, result.New(result.SettingsInvalid, "a controller needs a name and the addresses of at least one member")
	}
	credentials, err := rpc.LoadCredentials(cfg.TLS)
	if err != nil {
		return nil, err
	}
	id, err := credentials.Identity()
	if err != nil {
		return nil, err
	}
	if expected := (rpc.Identity{Role: model.RoleController, Name: cfg.Name}); id != expected {
		return nil, result.New(result.SettingsInvalid, "the certificate is for %s, expected %s", id, expected)
	}
	c, err := newWithoutLog(cfg, credentials, t)
	if err != nil {
		return nil, err
	}
	if c.founders, err = loadFounders(&cfg); err != nil {
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
	c.founders.folder = r.FolderID()
	c.transport = newTransport(r.FolderID(), credentials, cfg.Dial, c.directory, c.metrics.Dropped)
	c.setLog(r, r.FolderID())
	return c, nil
}

// newWithoutLog returns a controller whose replicated log and transport are not set yet.
func newWithoutLog(cfg Config, credentials *rpc.Credentials, t telemetry.Handle) (*Controller, error) {
	if cfg.MaxSessions <= 0 {
		cfg.MaxSessions = rpc.DefaultMaxConns
	}
	c := &Controller{
		cfg: cfg, tel: t, state: newState(), sessions: newSessions(cfg.MaxSessions),
		lossReport: &lossReport{tel: t, name: cfg.Name}, groupSize: len(cfg.Members), founders: &founders{},
		peers: newPeers(credentials, cfg.Dial), directory: replica.NewDirectory(cfg.Members),
		editSlots: make(chan struct{}, maxConcurrentEdits), reportWakeup: make(chan struct{}, 1),
	}
	c.reads = newReadBatcher(c.waitForReadIndex)
	var err error
	if c.metrics, err = newMetrics(t.Metrics, c); err != nil {
		return nil, err
	}
	c.server, err = rpc.NewServer(rpc.ServerConfig{
		Credentials: credentials, Services: c.services, MaxConns: cfg.MaxSessions,
	}, t)
	return c, err
}

// setLog sets the replicated log and the parts that use it. folder is the ID of the data folder.
func (c *Controller) setLog(log replica.Log, folder string) {
	c.log, c.leader, c.members = log, &leader{log: log}, newMembers(c, folder)
}

// services returns the RPC services that a peer may call, which depend on its role.
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
	return nil, result.New(result.PeerUnknown, "role %q may not call controllers", p.Role)
}

// Run serves until ctx is done. A leader transfers its leadership before it stops.
func (c *Controller) Run(ctx context.Context) error {
	listener := c.cfg.Listener
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", c.cfg.Listen); err != nil {
			return errors.Wrap(err, "listen for connections to the controller")
		}
	}
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, groupCtx := errgroup.WithContext(serveCtx)
	group.Go(func() error { return c.runLog(groupCtx) })
	group.Go(func() error { return c.server.Serve(groupCtx, listener) })
	group.Go(func() error { c.transport.Run(groupCtx); return nil })
	group.Go(func() error { c.reads.run(groupCtx); return nil })
	group.Go(func() error { c.reportSessions(groupCtx); return nil })
	group.Go(func() error { c.runLeaderDuties(groupCtx); return nil })
	c.tel.Logger.Info().Str("controller", c.cfg.Name).Str("address", listener.Addr().String()).Msg("controller started")
	select {
	case <-ctx.Done():
		c.transferLeadership(groupCtx)
	case <-groupCtx.Done():
	}
	cancel()
	c.peers.close()
	err := group.Wait()
	c.tel.Logger.Info().Str("controller", c.cfg.Name).Msg("controller stopped")
	return err
}

// runLog runs the replicated log as soon as this controller may vote.
func (c *Controller) runLog(ctx context.Context) error {
	if err := c.waitUntilFounded(ctx); err != nil || ctx.Err() != nil {
		return err
	}
	return c.log.Run(ctx, c.state)
}

// transferLeadership transfers leadership to another controller if this controller is the leader.
func (c *Controller) transferLeadership(ctx context.Context) {
	if !c.log.Status().IsLeader {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if err := c.log.TransferLeadership(ctx); err != nil {
		c.tel.Logger.Warn().Str("controller", c.cfg.Name).Err(err).Msg("leadership transfer failed, the other controllers will elect a leader")
	}
}

// quorumAge returns the time since the last contact with a quorum. It returns an error if that is more
// than MaxQuorumAge or if there has been no contact, because the state may be stale then.
func (c *Controller) quorumAge() (time.Duration, error) {
	status := c.log.Status()
	age := status.QuorumAge
	if !status.Contact || age > MaxQuorumAge {
		return age, result.New(result.NoQuorum, "controller %s has had no contact with a quorum for %v", c.cfg.Name, age.Round(time.Millisecond))
	}
	return age, nil
}

// Module provides a Controller, given a Config and a telemetry handle.
var Module = fx.Module("controller", fx.Provide(New))
