package confstore

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/repair"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/rpc"
)

// peerService is the name of the RPC service.
const peerService = "Peer"

const (
	// peerQueue bounds the messages that wait for one member. The log repeats what is dropped.
	peerQueue = 256
	// stepTimeout is below the election timeout, so that a connection that has gone silent is replaced
	// before it costs an election.
	stepTimeout = 300 * time.Millisecond
	// stepPause is the time after a failed call, so that a member that is down costs little.
	stepPause = 50 * time.Millisecond
	// maxStepMessages bounds one call.
	maxStepMessages = 64
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

// transport sends messages to the other members, with a queue and a goroutine for each.
type transport struct {
	name      string
	directory *replica.Directory
	logger    *log.Logger

	mu      sync.Mutex
	ctx     context.Context // set by run
	wg      sync.WaitGroup
	senders map[consensus.MemberID]chan consensus.Message
	clients map[string]*rpc.Client // by address, for single calls
}

func newTransport(name string, d *replica.Directory, logger *log.Logger) *transport {
	return &transport{
		name: name, directory: d, logger: logger,
		senders: map[consensus.MemberID]chan consensus.Message{}, clients: map[string]*rpc.Client{},
	}
}

func (t *transport) run(ctx context.Context) {
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	<-ctx.Done()
	t.wg.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, client := range t.clients {
		client.Close()
	}
}

// send queues messages. It never waits.
func (t *transport) send(messages []consensus.Message) {
	for _, m := range messages {
		select {
		case t.queue(m.To) <- m:
		default: // the log sends again what is lost
		}
	}
}

// queue returns the queue of a member, or nil before run.
func (t *transport) queue(to consensus.MemberID) chan consensus.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx == nil || t.ctx.Err() != nil {
		return nil
	}
	queue := t.senders[to]
	if queue == nil {
		queue = make(chan consensus.Message, peerQueue)
		t.senders[to] = queue
		ctx := t.ctx
		t.wg.Go(func() { t.deliver(ctx, to, queue) })
	}
	return queue
}

func (t *transport) deliver(ctx context.Context, to consensus.MemberID, queue chan consensus.Message) {
	var client *rpc.Client
	at := ""
	failing := false
	defer func() {
		if client != nil {
			client.Close()
		}
	}()
	for {
		var batch []consensus.Message
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			batch = append(batch, m)
		}
		for len(batch) < maxStepMessages && len(queue) > 0 {
			batch = append(batch, <-queue)
		}
		name, address := t.directory.Find(to)
		if address == "" {
			continue
		}
		if client == nil || address != at {
			if client != nil {
				client.Close()
			}
			client, at = dial(address, stepTimeout), address
		}
		_, err := rpc.Call[StepReply](ctx, client, peerService+".Step", &StepRequest{Name: t.name, Messages: batch})
		if failing != (err != nil) && ctx.Err() == nil {
			failing = err != nil
			t.logger.Info().Str("member", name).Bool("reached", !failing).Err(err).Msg("contact with a member changed")
		}
		if err != nil {
			ctxtime.Sleep(ctx, stepPause)
		}
	}
}

func dial(address string, timeout time.Duration) *rpc.Client {
	return rpc.NewClient(rpc.ClientConfig{Address: address, Plain: true, DialTimeout: timeout, CallTimeout: timeout})
}

// client returns the client for single calls to a member, or nil if its address is not known.
func (t *transport) client(name string) *rpc.Client {
	_, address := t.directory.Find(replica.MemberID(name))
	if address == "" {
		return nil
	}
	return t.clientAt(address)
}

func (t *transport) clientAt(address string) *rpc.Client {
	t.mu.Lock()
	defer t.mu.Unlock()
	client := t.clients[address]
	if client == nil {
		client = dial(address, replaceTimeout)
		t.clients[address] = client
	}
	return client
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

// joinMembers asks to become a member while this controller hears no leader: it may be new, or have
// been removed while it was cut off.
func (c *Controller) joinMembers(ctx context.Context) {
	for ctxtime.Sleep(ctx, repair.JoinInterval) {
		status := c.log.Status()
		if status.IsLeader || (status.Leader != "" && c.isVoter(status)) {
			continue
		}
		var wg sync.WaitGroup
		for _, address := range c.joinAddresses(status) {
			wg.Go(func() {
				limited, cancel := context.WithTimeout(ctx, stepTimeout)
				defer cancel()
				reply, err := rpc.Call[JoinReply](limited, c.transport.clientAt(address), peerService+".Join", &JoinRequest{Name: c.name})
				if err == nil {
					c.learn(reply.Members...)
				}
			})
		}
		wg.Wait()
	}
}

func (c *Controller) isVoter(status replica.Status) bool {
	return slices.ContainsFunc(status.Members, func(m replica.Member) bool { return m.Name == c.name && !m.Learner })
}

// joinAddresses returns the addresses of all controllers that this one has heard of.
func (c *Controller) joinAddresses(status replica.Status) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var addresses []string
	add := func(address string) {
		if address != "" && address != c.peerAddress(c.name) && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	for _, ip := range c.seeds {
		add(netip.AddrPortFrom(ip, c.cfg.Port).String())
	}
	for _, m := range status.Members {
		add(m.Address)
	}
	for _, address := range c.peerNames {
		add(address)
	}
	return addresses
}

// repairMembers lets the leader change the members where that is needed.
func (c *Controller) repairMembers(ctx context.Context) {
	for ctxtime.Sleep(ctx, repairInterval) {
		status := c.log.Status()
		if !status.IsLeader {
			continue
		}
		change := repair.Decide(c.group(status))
		if change.Kind == repair.None {
			continue
		}
		err := c.carryOut(ctx, change, status)
		c.tel.Logger.Info().Str("member", change.Name).Uint8("change", uint8(change.Kind)).Str("reason", change.Reason).
			Err(err).Msg("members of the store change")
	}
}

func (c *Controller) group(status replica.Status) repair.Group {
	g := repair.Group{Commit: status.Commit}
	for _, m := range status.Members {
		ip, err := addressOf(m.Name)
		if err != nil {
			ip = netip.Addr{}
		}
		g.Members = append(g.Members, repair.Member{
			Name: m.Name, Address: ip.String(), Voter: !m.Learner, Match: m.Match, ContactAge: m.ContactAge, Self: m.Name == c.name,
		})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, at := range c.joining {
		if time.Since(at) > repair.JoinLease {
			delete(c.joining, name)
			continue
		}
		g.Joining = append(g.Joining, repair.Member{Name: name})
	}
	return g
}

func (c *Controller) carryOut(ctx context.Context, change repair.Change, status replica.Status) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	id := replica.MemberID(change.Name)
	switch change.Kind {
	case repair.Add:
		if err := c.registerNames(ctx, change.Name, status); err != nil {
			return err
		}
		return c.log.ChangeMember(ctx, consensus.MemberChange{AddLearner: id})
	case repair.Promote:
		return c.log.ChangeMember(ctx, consensus.MemberChange{Promote: id})
	default:
		return c.log.ChangeMember(ctx, consensus.MemberChange{Remove: id})
	}
}

// registerNames makes the names of the members and of a new one durable before it is added, so that
// every member can resolve it.
func (c *Controller) registerNames(ctx context.Context, name string, status replica.Status) error {
	names := []string{name}
	for _, m := range status.Members {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	if slices.Equal(names, c.state.memberNames()) {
		return nil
	}
	data, err := encodeMembers(names)
	if err != nil {
		return err
	}
	return c.commit(ctx, data)
}
