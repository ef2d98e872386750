package confstore

import (
	"context"
	"net/netip"
	"time"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/repair"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/rpc"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

// peerService is the name under which Peer is registered as an RPC service.
const peerService = "Peer"

const (
	// stepTimeout bounds a Step or Join call. It is below the election timeout, so that a connection that
	// no longer answers is replaced before it causes an election.
	stepTimeout = 300 * time.Millisecond
	// forwardTimeout bounds a call to the leader within a Join or Status call. It is below stepTimeout.
	forwardTimeout = 200 * time.Millisecond
	// fetchTimeout bounds a Fetch or Status call. It allows for a configuration over a link of 4 Mbit/s.
	fetchTimeout = 2 * time.Second
)

// StepRequest carries messages of the replicated log.
type StepRequest struct {
	Name     string // member name of the sender
	Messages []consensus.Message
	Level    uint8  // protocol level of the sender
	Zone     string // availability zone of the sender; empty in builds that do not send it
}

// StepReply is the answer to a StepRequest.
type StepReply struct {
	// Name is the member name of the controller that answers. It differs from that of the recipient if the disk of its VM was
	// lost. Empty in builds that do not send it.
	Name string
}

// ReplaceRequest forwards an edit to the leader.
type ReplaceRequest struct{ Content Content }

// ReplaceReply is the empty answer to a ReplaceRequest.
type ReplaceReply struct{}

// EvacuateRequest forwards an evacuation, or the end of one, to the leader. Base is the index of the log entry that had
// changed the zone last when the order arrived; the order is void if the zone has changed since.
type EvacuateRequest struct {
	Zone     string
	Evacuate bool
	Base     uint64
}

// EvacuateReply says whether the order is in force, and at which log index the zone has changed last.
type EvacuateReply struct {
	Accepted  bool
	ChangedAt uint64
}

// OrderRequest asks any controller to evacuate an availability zone or to restore it.
type OrderRequest struct {
	Zone     string
	Evacuate bool
}

// OrderReply is the empty answer to an OrderRequest.
type OrderReply struct{}

// JoinRequest asks for membership of the controller with the given name.
type JoinRequest struct {
	Name  string
	Level uint8  // protocol level of the sender
	Zone  string // availability zone of the controller that is named; empty in builds that do not send it
	// Founding is set if the controller was started together with the whole system and has not been a voter yet.
	Founding bool
	// Losses is the number of controllers that may be lost at once by the settings of the sender; zero if not set.
	Losses uint8
	// Forwarded is set if another controller sends the request for the one that is named.
	Forwarded bool
}

// LeaveRequest says that the process of a member is stopping.
type LeaveRequest struct{ Name string }

// LeaveReply is the empty answer to a LeaveRequest.
type LeaveReply struct{}

// JoinReply holds the names of the leader, empty if unknown, and of the members that the answering
// controller knows.
type JoinReply struct {
	Leader  string
	Members []string
}

// FetchRequest asks for the configuration in force if its version is above Above.
type FetchRequest struct{ Above uint64 }

// FetchReply holds the configuration in force, or nil if its version is not above that of the request.
type FetchReply struct{ Content *Content }

// StatusRequest asks for the Status of a controller.
type StatusRequest struct {
	// Local asks for what the controller itself knows; it does not ask its leader.
	Local bool
}

// Status is the state of a controller.
type Status struct {
	Name    string
	Leader  string // name of the leader, empty if unknown
	Version uint64 // version of the newest committed configuration, zero before the first
	Current bool   // the controller is in contact with a majority
	Members []replica.Member
	Targets []roster.Target // targets whose relays announce themselves
	// Behind are the names of the entry VMs that have an older configuration in force.
	Behind []string
	// Build and Level are the build of the controller and its protocol level. LogLevel is the level that the log requires
	// of its members, and Below are the members that have not announced the level of this controller to the leader, or to
	// this controller if the leader does not answer.
	Build    string
	Level    uint8
	LogLevel uint8
	Below    []string
	// Evacuated are the evacuated availability zones.
	Evacuated []string
	// Outdated are the names of the entry VMs and relays whose build has a lower level than this controller.
	Outdated []string
	// Repair is what the leader knows of the losses that the store can bear; nil if the leader does not answer.
	Repair *RepairStatus
}

// Peer serves the RPC calls of one connection.
type Peer struct {
	c    *Controller
	peer *rpc.Peer
}

// Step passes messages of another member to the replicated log.
func (p *Peer) Step(request *StepRequest, reply *StepReply) error {
	reply.Name = p.c.name
	from := replica.MemberID(request.Name)
	for i := range request.Messages {
		if request.Messages[i].From != from {
			return result.New(result.PeerUnknown, "controller %s sent a message in the name of another member", request.Name)
		}
	}
	p.c.addPeer(request.Name)
	p.c.recordPeer(request.Name, peerInfo{level: request.Level, zone: request.Zone})
	p.c.transport.Reached(from)
	return p.c.log.Step(p.peer.Context, request.Messages)
}

// Replace commits an edit at the leader.
func (p *Peer) Replace(request *ReplaceRequest, _ *ReplaceReply) error {
	ctx, cancel := p.peer.CallContext(replaceTimeout)
	defer cancel()
	return p.c.commitContent(ctx, &request.Content)
}

// Evacuate commits the evacuation of a zone, or the end of one, at the leader.
func (p *Peer) Evacuate(request *EvacuateRequest, reply *EvacuateReply) error {
	ctx, cancel := p.peer.CallContext(replaceTimeout)
	defer cancel()
	if !p.c.log.Status().IsLeader {
		return result.New(result.NotLeader, "controller %s is not the leader", p.c.name)
	}
	r, err := p.c.commitEvacuation(ctx, &evacuationOrder{Zone: request.Zone, Evacuate: request.Evacuate, Base: request.Base})
	if err != nil {
		return err
	}
	*reply = *r
	return nil
}

// Order evacuates an availability zone, or restores it.
func (p *Peer) Order(request *OrderRequest, _ *OrderReply) error {
	ctx, cancel := p.peer.CallContext(replaceTimeout)
	defer cancel()
	return p.c.SetEvacuated(ctx, request.Zone, request.Evacuate)
}

// Join records a request for membership, which the leader decides on later. Another controller forwards it to the leader:
// controllers of older builds ask only those that they were told of.
func (p *Peer) Join(request *JoinRequest, reply *JoinReply) error {
	if _, err := memberIP(request.Name); err != nil {
		return result.New(result.PeerUnknown, "controller name %q does not start with an IP address", request.Name)
	}
	c := p.c
	if required := c.state.protocolLevel(); request.Level < required {
		return result.New(result.BuildTooOld, "the log requires protocol level %d, controller %s has %d", required, request.Name, request.Level)
	}
	c.addPeer(request.Name)
	c.recordPeer(request.Name, peerInfo{level: request.Level, zone: request.Zone})
	c.mu.Lock()
	c.requests.Join(c.now(), repair.Request{
		ID: replica.MemberID(request.Name), Name: request.Name, Founding: request.Founding, Losses: int(request.Losses),
	})
	c.mu.Unlock()
	status := c.log.Status()
	if !status.IsLeader && !request.Forwarded {
		c.forwardJoin(p.peer, *request)
	}
	reply.Leader = status.Leader
	for _, m := range status.Members {
		reply.Members = append(reply.Members, m.Name)
	}
	return nil
}

// Leave tells the leader that a member is stopping. If a learner has caught up, the leader lets it replace the member, so
// that the group has its number of voters before the process has ended.
func (p *Peer) Leave(request *LeaveRequest, _ *LeaveReply) error {
	if !p.c.log.Status().IsLeader {
		return result.New(result.NotLeader, "controller %s is not the leader", p.c.name)
	}
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	p.c.requests.Leave(p.c.now(), request.Name)
	return nil
}

// forwardJoin passes a join request on to the leader, if one is known. The requesting controller repeats a request that
// does not arrive.
func (c *Controller) forwardJoin(p *rpc.Peer, request JoinRequest) {
	client, err := c.leaderClient()
	if err != nil {
		return
	}
	ctx, cancel := p.CallContext(forwardTimeout)
	defer cancel()
	request.Forwarded = true
	if _, err := rpc.Call[JoinReply](ctx, client, peerService+".Join", &request); err != nil {
		c.tel.Logger.Debug().Str("member", request.Name).Err(err).Msg("forwarding a join request failed")
	}
}

// Fetch returns the configuration in force if its version is above that of the request.
func (p *Peer) Fetch(request *FetchRequest, reply *FetchReply) error {
	if content, _ := p.c.state.latest(); content != nil && content.Version > request.Above {
		reply.Content = content
	}
	return nil
}

// Status returns the state of the controller.
func (p *Peer) Status(request *StatusRequest, reply *Status) error {
	c := p.c
	logStatus := c.log.Status()
	*reply = Status{
		Name: c.name, Leader: logStatus.Leader, Version: c.state.version(), Current: c.IsCurrent(), Members: logStatus.Members,
		Build: telemetry.Build(), Level: roster.Level, LogLevel: c.state.protocolLevel(), Below: c.membersBelow(roster.Level),
		Evacuated: c.state.evacuations().Zones, Repair: c.repairs.current(),
	}
	if !request.Local && !logStatus.IsLeader {
		p.askLeader(reply)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	reply.Targets = c.registry.Targets()
	reply.Behind = c.registry.OutdatedEntries(reply.Version)
	reply.Outdated = c.registry.ProcessesBelow(roster.Level)
	return nil
}

// askLeader takes into a status what only the leader knows: the other members may never have called this controller.
func (p *Peer) askLeader(status *Status) {
	client, err := p.c.leaderClient()
	if err != nil {
		return
	}
	ctx, cancel := p.peer.CallContext(forwardTimeout)
	defer cancel()
	leader, err := rpc.Call[Status](ctx, client, peerService+".Status", &StatusRequest{Local: true})
	if err != nil {
		p.c.tel.Logger.Debug().Str("leader", status.Leader).Err(err).Msg("asking the leader for its status failed")
		return
	}
	status.Below, status.Repair = leader.Below, leader.Repair
}

// addPeer records the name and the address of a controller that has called or was named by another one.
func (c *Controller) addPeer(name string) {
	address := c.peerAddress(name)
	c.mu.Lock()
	c.joiner.Learn(address)
	c.mu.Unlock()
	if _, known := c.directory.Find(replica.MemberID(name)); known != address {
		c.addToDirectory(name)
	}
}

// FetchContent asks the controller at an address for its configuration in force. It returns nil if the
// version is not above the given one.
func FetchContent(ctx context.Context, address netip.AddrPort, above uint64) (*Content, error) {
	client := newClient(address.String(), fetchTimeout)
	defer client.Close()
	reply, err := rpc.Call[FetchReply](ctx, client, peerService+".Fetch", &FetchRequest{Above: above})
	if err != nil {
		return nil, err
	}
	return reply.Content, nil
}

// FetchStatus asks the controller at an address for its state.
func FetchStatus(ctx context.Context, address netip.AddrPort) (*Status, error) {
	client := newClient(address.String(), fetchTimeout)
	defer client.Close()
	return rpc.Call[Status](ctx, client, peerService+".Status", &StatusRequest{})
}

// OrderEvacuation asks the controller at an address to evacuate an availability zone, or to restore it.
func OrderEvacuation(ctx context.Context, address netip.AddrPort, zone string, evacuate bool) error {
	client := newClient(address.String(), fetchTimeout)
	defer client.Close()
	_, err := rpc.Call[OrderReply](ctx, client, peerService+".Order", &OrderRequest{Zone: zone, Evacuate: evacuate})
	return err
}
