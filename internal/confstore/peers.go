package confstore

import (
	"context"
	"net/netip"
	"time"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/rpc"
)

// peerService is the name of the RPC service.
const peerService = "Peer"

const (
	// stepTimeout is below the election timeout, so that a connection that has gone silent is replaced
	// before it costs an election.
	stepTimeout = 300 * time.Millisecond
	// fetchTimeout bounds fetching a configuration over a link of 4 Mbit/s.
	fetchTimeout = 2 * time.Second
)

// StepRequest carries messages of the replicated log.
type StepRequest struct {
	Name     string // of the sender
	Messages []consensus.Message
}

// StepReply is the empty answer to a StepRequest.
type StepReply struct{}

// ReplaceRequest passes an edit on to the leader.
type ReplaceRequest struct{ Content Content }

// ReplaceReply is the empty answer to a ReplaceRequest.
type ReplaceReply struct{}

// JoinRequest asks to become a member.
type JoinRequest struct{ Name string }

// JoinReply names the members that the answering controller knows.
type JoinReply struct {
	Leader  string
	Members []string
}

// FetchRequest asks for a configuration.
type FetchRequest struct{ Above uint64 }

// FetchReply holds the configuration in force, or nothing if it is not above the version asked for.
type FetchReply struct{ Content *Content }

// StatusRequest asks for the state of a controller.
type StatusRequest struct{}

// Status is the state of a controller.
type Status struct {
	Name    string
	Leader  string // empty if unknown
	Version uint64 // of the newest committed configuration, zero before the first
	Current bool   // in contact with a majority
	Members []replica.Member
	Targets []roster.Target // that announce themselves
	// Behind are the entry VMs with an older configuration in force.
	Behind []string
}

// Peer serves the calls of one connection.
type Peer struct {
	c    *Controller
	peer *rpc.Peer
}

// Step takes in messages of the replicated log.
func (p *Peer) Step(request *StepRequest, _ *StepReply) error {
	from := replica.MemberID(request.Name)
	for i := range request.Messages {
		if request.Messages[i].From != from {
			return result.New(result.PeerUnknown, "controller %s sent a message of another member", request.Name)
		}
	}
	p.c.meet(request.Name)
	return p.c.log.Step(p.peer.Context, request.Messages)
}

// Replace proposes an edit at the leader.
func (p *Peer) Replace(request *ReplaceRequest, _ *ReplaceReply) error {
	ctx, cancel := p.peer.Deadline(replaceTimeout)
	defer cancel()
	return p.c.propose(ctx, &request.Content)
}

// Join records that a controller asks to become a member.
func (p *Peer) Join(request *JoinRequest, reply *JoinReply) error {
	if _, err := addressOf(request.Name); err != nil {
		return result.New(result.PeerUnknown, "the name %q of a controller holds no address", request.Name)
	}
	c := p.c
	c.meet(request.Name)
	c.mu.Lock()
	c.joining[request.Name] = time.Now()
	c.mu.Unlock()
	status := c.log.Status()
	reply.Leader = status.Leader
	for _, m := range status.Members {
		reply.Members = append(reply.Members, m.Name)
	}
	return nil
}

// Fetch returns the configuration in force.
func (p *Peer) Fetch(request *FetchRequest, reply *FetchReply) error {
	if content, _ := p.c.state.current(); content != nil && content.Version > request.Above {
		reply.Content = content
	}
	return nil
}

// Status returns the state of the controller.
func (p *Peer) Status(_ *StatusRequest, reply *Status) error {
	c := p.c
	log := c.log.Status()
	*reply = Status{Name: c.name, Leader: log.Leader, Version: c.state.version(), Current: c.Current(), Members: log.Members}
	c.mu.Lock()
	defer c.mu.Unlock()
	reply.Targets, _ = c.registry.Targets()
	reply.Behind = c.registry.Behind(reply.Version)
	return nil
}

// meet records the name of a controller that has called.
func (c *Controller) meet(name string) {
	c.mu.Lock()
	known := c.peerNames[name] != ""
	if !known {
		c.peerNames[name] = c.peerAddress(name)
	}
	c.mu.Unlock()
	if !known {
		c.learn(name)
	}
}

// Fetch returns the configuration of a controller if its version is above the given one, and nil
// otherwise.
func Fetch(ctx context.Context, address netip.AddrPort, above uint64) (*Content, error) {
	client := dial(address.String(), fetchTimeout)
	defer client.Close()
	reply, err := rpc.Call[FetchReply](ctx, client, peerService+".Fetch", &FetchRequest{Above: above})
	if err != nil {
		return nil, err
	}
	return reply.Content, nil
}

// StatusOf returns the state of the controller at an address.
func StatusOf(ctx context.Context, address netip.AddrPort) (*Status, error) {
	client := dial(address.String(), fetchTimeout)
	defer client.Close()
	return rpc.Call[Status](ctx, client, peerService+".Status", &StatusRequest{})
}
