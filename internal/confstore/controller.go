package confstore

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/checkpoint"
	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/lifecycle"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/repair"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/rpc"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

const (
	// maxQuorumAge is how long after its last contact with a majority a controller still reports its state
	// as current. It is above the election timeout, so that an ordinary election does not end it.
	maxQuorumAge = 1500 * time.Millisecond
	// replaceTimeout bounds an edit. It is below the second after which operators ask the next controller.
	replaceTimeout = 900 * time.Millisecond
	// readTimeout bounds a read, for the same reason as replaceTimeout.
	readTimeout = 900 * time.Millisecond
	// leaderRetryInterval is the time between two attempts of an edit while no leader accepts it.
	leaderRetryInterval = 20 * time.Millisecond
	// compactEvery is the number of log entries between two snapshots, keptEntries the number that stay
	// after one. They bound memory and disk: an entry holds a configuration of up to 50 KB packed.
	compactEvery = 64
	keptEntries  = 32
	// repairInterval is the time between two checks of the leader whether the members must change.
	repairInterval = 100 * time.Millisecond
	// memberChangeTimeout bounds one change of the members.
	memberChangeTimeout = time.Second
	// transferTimeout bounds the transfer of leadership when the process stops.
	transferTimeout = time.Second
	// identityFile is the file in the data folder with the name of the member that the folder belongs to.
	identityFile = "name.json"
	// bootstrapSuffix ends the names of the members that bootstrap the log. They must know each other's
	// names before they exchange a message, so these names have no random part.
	bootstrapSuffix = "first"
)

// MaxFaultTolerance is the largest number of controllers that can be lost at once without the loss of a majority.
const MaxFaultTolerance = (consensus.MaxVoters - 1) / 2

// Config configures a Controller.
type Config struct {
	// IP is the address of the VM; ports are the same on all VMs.
	IP netip.Addr
	// Port is the port for peers and nodes, over TCP and UDP.
	Port    uint16
	DataDir string
	// Seeds are addresses of controllers that this one contacts first.
	Seeds []netip.Addr
	// Bootstrap is set when the whole system starts for the first time: the controllers at the seeds
	// form a new log.
	Bootstrap bool
	// FaultTolerance is the number of controllers that may be lost at once; zero if it is not known. It is at most
	// MaxFaultTolerance.
	FaultTolerance int
	// Zone is the availability zone of the VM; empty if it is not known.
	Zone string
	// Zones are the availability zones that operators may evacuate; any if empty.
	Zones []string
	// Check validates a configuration body and returns its version.
	Check func(body []byte) (uint64, error)
}

// Controller is one member of the store.
type Controller struct {
	cfg       Config
	tel       telemetry.Handle
	name      string
	state     *stateMachine
	log       *replica.Replica
	directory *replica.Directory
	transport *transport
	server    *rpc.Server
	tcp       net.Listener
	udp       *net.UDPConn
	listDirty chan struct{} // holds a value while entry VMs lack a change of the list of targets

	mu           sync.Mutex
	joiner       *repair.Joiner
	requests     *repair.Requests
	joinOutcomes map[string]string   // result code or leader of the last join request, by address
	peers        map[string]peerInfo // what a controller announced with its last call, by member name
	registry     *roster.Registry

	repairs      repairReport
	incarnations *incarnations
	flows        *checkpoint.Store // reported by relays
	start        time.Time
}

// New opens the files and sockets of a controller. Run starts it.
func New(cfg Config, t telemetry.Handle) (*Controller, error) {
	c := &Controller{
		cfg: cfg, tel: t, state: newStateMachine(), requests: repair.NewRequests(), repairs: repairReport{logger: t.Logger}, peers: map[string]peerInfo{}, joinOutcomes: map[string]string{},
		registry: roster.NewRegistry(roster.NewInstanceID()), start: time.Now(),
		directory: replica.NewDirectory(nil), listDirty: make(chan struct{}, 1),
		incarnations: loadIncarnations(cfg.DataDir, t.Logger), flows: checkpoint.NewStore(),
	}
	if err := c.flows.Load(cfg.DataDir, 0, c.start); err != nil {
		t.Logger.Warn().Err(err).Msg("the flow checkpoint is not used")
	}
	c.joiner = repair.NewJoiner(c.addressAt(cfg.IP), c.addressesAt(cfg.Seeds), cfg.Bootstrap)
	bootstrapNames := c.bootstrapNames()
	var err error
	if c.name, err = c.loadOrCreateName(bootstrapNames); err != nil {
		return nil, err
	}
	if !slices.Contains(bootstrapNames, c.name) {
		bootstrapNames = nil
	}
	c.state.onMembers = func(names []string) { c.addToDirectory(names...) }
	c.state.onContent = c.notifyCommit
	c.state.onEvacuations = c.putEvacuationsInForce
	c.transport = newTransport(c.name, cfg.Zone, c.directory, t.Logger)
	c.log, err = replica.New(replica.Config{
		Name: c.name, Folder: cfg.DataDir, Members: bootstrapNames, Directory: c.directory, Send: c.transport.Send,
		Contact: c.transport.Contact, CompactEvery: compactEvery, KeptEntries: keptEntries,
	}, t)
	if err != nil {
		return nil, err
	}
	// The names of the first members are in the data folder only, until the members change for the first time.
	c.addToDirectory(append([]string{c.name}, c.log.InitialMembers()...)...)
	if err := c.registerMetrics(t.Metrics); err != nil {
		return nil, err
	}
	c.server, err = rpc.NewServer(rpc.ServerConfig{Plain: true, Services: c.services}, t)
	if err != nil {
		return nil, err
	}
	address := netip.AddrPortFrom(cfg.IP, cfg.Port)
	if c.tcp, err = net.Listen("tcp", address.String()); err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	if c.udp, err = packet.Listen(address); err != nil {
		return nil, errors.CombineErrors(err, c.tcp.Close())
	}
	return c, nil
}

// now returns the time since the start.
func (c *Controller) now() time.Duration { return time.Since(c.start) }

// Name returns the name of the member.
func (c *Controller) Name() string { return c.name }

// services returns the RPC services for one connection.
func (c *Controller) services(p *rpc.Peer) (map[string]any, error) {
	return map[string]any{peerService: &Peer{c: c, peer: p}}, nil
}

// bootstrapNames returns the names of the members that form a new log: the controllers at the seeds.
// It returns none unless this controller bootstraps the log and is among the seeds.
func (c *Controller) bootstrapNames() []string {
	if !c.cfg.Bootstrap || !slices.Contains(c.cfg.Seeds, c.cfg.IP) {
		return nil
	}
	var names []string
	for _, ip := range c.cfg.Seeds {
		names = append(names, ip.String()+"/"+bootstrapSuffix)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// loadOrCreateName returns the member name that is stored in the data folder. For a folder without one it
// stores a new name: a member that has lost its disk must not return under its old name, because it has
// forgotten its votes.
func (c *Controller) loadOrCreateName(bootstrapNames []string) (string, error) {
	file := filepath.Join(c.cfg.DataDir, identityFile)
	data, err := os.ReadFile(file)
	if err == nil {
		name := ""
		if err := json.Unmarshal(data, &name); err != nil || name == "" {
			return "", result.New(result.StorageCorrupt, "%s holds no valid member name", file)
		}
		return name, nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return "", result.New(result.StorageFailed, "read %s: %v", file, err)
	}
	name := c.cfg.IP.String() + "/" + bootstrapSuffix
	if !slices.Contains(bootstrapNames, name) {
		name = c.cfg.IP.String() + "/" + strings.ToLower(rand.Text()[:10])
	}
	data, err = json.Marshal(name)
	if err != nil {
		return "", errors.Wrap(err, "encode the member name")
	}
	return name, replica.WriteDurable(c.cfg.DataDir, identityFile, data)
}

// addToDirectory adds the addresses of members to the directory.
func (c *Controller) addToDirectory(names ...string) {
	members := map[string]string{}
	for _, name := range names {
		members[name] = c.peerAddress(name)
	}
	c.directory.Add(members)
}

// peerAddress returns the address and port at which a member listens for peers, or "" if its name holds
// no address.
func (c *Controller) peerAddress(name string) string {
	ip, err := memberIP(name)
	if err != nil {
		return ""
	}
	return c.addressAt(ip)
}

// addressAt returns the address and port of the controller of a VM.
func (c *Controller) addressAt(ip netip.Addr) string {
	return netip.AddrPortFrom(ip, c.cfg.Port).String()
}

func (c *Controller) addressesAt(ips []netip.Addr) []string {
	var addresses []string
	for _, ip := range ips {
		addresses = append(addresses, c.addressAt(ip))
	}
	return addresses
}

// memberIP returns the IP address of the VM of a member, with which its name starts.
func memberIP(name string) (netip.Addr, error) {
	ip, _, _ := strings.Cut(name, "/")
	return netip.ParseAddr(ip)
}

// SetSeeds replaces the seeds after a change of the settings.
func (c *Controller) SetSeeds(seeds []netip.Addr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.joiner.SetSeeds(c.addressesAt(seeds))
}

// Run serves until ctx is done, and transfers leadership before it stops.
func (c *Controller) Run(ctx context.Context) error { return c.serve(ctx, c.beforeStop) }

// serve serves until ctx is done and beforeStop has returned.
func (c *Controller) serve(ctx context.Context, beforeStop func(ctx context.Context)) error {
	return lifecycle.Run(ctx, beforeStop,
		func(ctx context.Context) error { return c.log.Run(ctx, c.state) },
		lifecycle.WithoutError(c.transport.run),
		func(ctx context.Context) error { return c.server.Serve(ctx, c.tcp) },
		c.serveAnnouncements,
		lifecycle.WithoutError(c.expireLeases),
		lifecycle.WithoutError(c.callProcesses),
		lifecycle.WithoutError(c.runListUpdates),
		lifecycle.WithoutError(func(ctx context.Context) { c.incarnations.runSaves(ctx, c.tel.Logger) }),
		lifecycle.WithoutError(func(ctx context.Context) {
			c.flows.RunSaves(ctx, c.cfg.DataDir, c.now, c.tel.Logger)
		}),
		lifecycle.WithoutError(c.repairMembers),
		lifecycle.WithoutError(c.requestMembership),
	)
}

// beforeStop hands over the duties of this controller while its process is stopping.
func (c *Controller) beforeStop(ctx context.Context) {
	c.mu.Lock()
	c.joiner.Stop()
	c.mu.Unlock()
	c.transferLeadership(ctx)
	c.leave(ctx)
}

// transferLeadership transfers leadership to another member if this one is the leader.
func (c *Controller) transferLeadership(ctx context.Context) {
	if !c.log.Status().IsLeader {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if err := c.log.TransferLeadership(ctx); err != nil {
		c.tel.Logger.Warn().Str("member", c.name).Err(err).Msg("leadership transfer failed")
	}
}

// Replace makes a configuration durable on a majority and returns its version. A version that is not
// above the one in force changes nothing and is no error.
func (c *Controller) Replace(ctx context.Context, body []byte) (uint64, error) {
	version, err := c.cfg.Check(body)
	if err != nil {
		return 0, err
	}
	if version <= c.state.version() {
		return version, nil
	}
	content, err := Pack(version, body)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, replaceTimeout)
	defer cancel()
	for {
		err = c.replaceOnce(ctx, content)
		code := result.CodeOf(err)
		if err == nil || (code != result.NotLeader && code != result.NoQuorum) || !ctxtime.Sleep(ctx, leaderRetryInterval) {
			return version, err
		}
	}
}

// replaceOnce commits the content if this controller is the leader, and otherwise forwards it to the leader.
func (c *Controller) replaceOnce(ctx context.Context, content *Content) error {
	if c.log.Status().IsLeader {
		return c.commitContent(ctx, content)
	}
	client, err := c.leaderClient()
	if err != nil {
		return err
	}
	_, err = rpc.Call[ReplaceReply](ctx, client, peerService+".Replace", &ReplaceRequest{Content: *content})
	return err
}

// leaderClient returns the client for calls to the leader. It fails with NoQuorum if none is known.
func (c *Controller) leaderClient() (*rpc.Client, error) {
	leader := c.log.Status().Leader
	if leader == "" {
		return nil, result.New(result.NoQuorum, "no leader is known")
	}
	client := c.transport.client(leader)
	if client == nil {
		return nil, result.New(result.NoQuorum, "the address of the leader %s is not known", leader)
	}
	return client, nil
}

// commitContent commits the content to the log of this leader, unless its version is not above the one in
// force.
func (c *Controller) commitContent(ctx context.Context, content *Content) error {
	if content.Version <= c.state.version() {
		return nil
	}
	data, err := encodeLeveled(0, command{Replace: content})
	if err != nil {
		return err
	}
	_, err = c.commit(ctx, data)
	return err
}

// commit proposes an entry at this leader, waits until the entry is applied, and returns its position.
func (c *Controller) commit(ctx context.Context, data []byte) (consensus.Position, error) {
	position, err := c.log.Propose(ctx, data)
	if err != nil {
		return position, err
	}
	select {
	case applied := <-c.state.waitApplied(position):
		if !applied {
			return position, result.New(result.NotLeader, "another leader has taken over")
		}
		return position, nil
	case <-ctx.Done():
		return position, result.New(result.OutcomeUnknown, "entry %d was not committed in time", position.Index)
	}
}

// Read returns the newest committed configuration, or nil before the first. The read is linearizable: it
// fails if no majority confirms in time that this controller has applied the newest entry.
func (c *Controller) Read(ctx context.Context) (*Content, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	index, err := c.log.ReadIndex(ctx)
	if err != nil {
		return nil, err
	}
	for {
		next := c.state.nextChange()
		content, applied := c.state.latest()
		if applied >= index {
			return content, nil
		}
		select {
		case <-next:
		case <-ctx.Done():
			return nil, result.New(result.NoQuorum, "only entry %d of %d was applied in time", applied, index)
		}
	}
}

// IsCurrent reports whether the controller has had contact with a majority within maxQuorumAge.
func (c *Controller) IsCurrent() bool {
	s := c.log.Status()
	return s.Contact && s.QuorumAge <= maxQuorumAge
}

// controllerIPs returns the IPv4 addresses of this controller and of all members, each once, in ascending order.
func (c *Controller) controllerIPs() []hop.IP {
	ips := []hop.IP{hop.IP(c.cfg.IP.As4())}
	for _, m := range c.log.Status().Members {
		ip, err := memberIP(m.Name)
		if err != nil || !ip.Is4() {
			continue
		}
		if ipv4 := hop.IP(ip.As4()); !slices.Contains(ips, ipv4) {
			ips = append(ips, ipv4)
		}
	}
	slices.SortFunc(ips, func(a, b hop.IP) int { return bytes.Compare(a[:], b[:]) })
	return ips
}

// Members returns the members of the log that this controller knows of.
func (c *Controller) Members() []replica.Member { return c.log.Status().Members }

// encodeMembers encodes the command that replaces the names of the members.
func encodeMembers(names []string) ([]byte, error) {
	return encodeLeveled(0, command{Members: names})
}
