package controller

import (
	"context"
	"sync"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/membership"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/rpc"
)

// Names of the RPC services.
const (
	nodeServiceName     = "Node"
	operatorServiceName = operator.ServiceName
	peerServiceName     = "Peer"
)

// peers holds the RPC clients for the other controllers.
type peers struct {
	credentials *rpc.Credentials
	dial        rpc.DialFunc

	mu      sync.Mutex
	clients map[peerAddress]*rpc.Client
	closed  bool
}

type peerAddress struct{ name, address string }

func newPeers(credentials *rpc.Credentials, dial rpc.DialFunc) *peers {
	return &peers{credentials: credentials, dial: dial, clients: map[peerAddress]*rpc.Client{}}
}

func (p *peers) client(name, address string) *rpc.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := peerAddress{name: name, address: address}
	client := p.clients[key]
	if client == nil {
		client = rpc.NewClient(rpc.ClientConfig{
			Address: address, Role: model.RoleController, Name: name, Credentials: p.credentials, CallTimeout: forwardTimeout, Dial: p.dial,
		})
		p.clients[key] = client
		if p.closed {
			client.Close()
		}
	}
	return client
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, client := range p.clients {
		client.Close()
	}
}

// leaderClient returns a client for the leader. It returns an error if this controller is the leader or
// knows no leader.
func (c *Controller) leaderClient() (*rpc.Client, error) {
	status := c.log.Status()
	if status.IsLeader || status.Leader == "" {
		return nil, result.New(result.NotLeader, "no other controller is known as the leader")
	}
	for _, m := range status.Members {
		if m.Name == status.Leader {
			return c.peers.client(m.Name, m.Address), nil
		}
	}
	return nil, result.New(result.NotLeader, "the address of leader %s is unknown", status.Leader)
}

// Peer is the RPC service for other controllers.
type Peer struct {
	c    *Controller
	peer *rpc.Peer
}

// SessionReports is the request of ReportSessions: reports about the sessions that the sender holds.
type SessionReports struct {
	Reports []membership.Report
}

// SessionReportsReply names the nodes whose announcement the leader does not have.
type SessionReportsReply struct {
	Missing []string
}

// ReportSessions records reports about the sessions of another controller.
func (p *Peer) ReportSessions(request *SessionReports, reply *SessionReportsReply) error {
	missing, err := p.c.leader.recordReports(request.Reports)
	reply.Missing = missing
	return err
}

// waitForReadIndex waits until this controller has applied everything that was acknowledged before the
// call.
func (c *Controller) waitForReadIndex(ctx context.Context) error {
	index, err := c.log.ReadIndex(ctx)
	if err != nil {
		return err
	}
	return c.state.waitApplied(ctx, index)
}

// resultOf returns the result of the first run of a command, if it is still stored.
func (c *Controller) resultOf(id string) (catalog.Result, bool) {
	var r catalog.Result
	var ok bool
	c.state.read(func(cat *catalog.Catalog) { r, ok = cat.ResultOf(id) })
	return r, ok
}
