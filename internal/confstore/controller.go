package confstore

import (
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
	"github.com/fxamacker/cbor/v2"

	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/lifecycle"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/rpc"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

const (
	// currentAge is how long a controller without contact to a majority still calls its state current.
	// It is above the election timeout, so that a calm election changes nothing.
	currentAge = 1500 * time.Millisecond
	// replaceTimeout bounds an edit. Operators ask the next controller after a second.
	replaceTimeout = 900 * time.Millisecond
	// readTimeout bounds a read, for the same reason.
	readTimeout = 900 * time.Millisecond
	// leaderPause is the time between two looks for a leader.
	leaderPause = 20 * time.Millisecond
	// compactEvery and keptEntries bound memory and disk: an entry holds a configuration, which is up to
	// 50 KB packed.
	compactEvery = 64
	keptEntries  = 32
	// repairInterval is the time between two decisions about the members.
	repairInterval = 100 * time.Millisecond
	// changeTimeout bounds a change of members.
	changeTimeout = time.Second
	// stopTimeout bounds the hand-over of leadership when the process stops.
	stopTimeout = time.Second
	// identityFile holds the name of the member whose log is in the data folder.
	identityFile = "name.json"
	// founderSuffix ends the names of the members that form the log. Their names must be known to each
	// other before they have talked.
	founderSuffix = "first"
)

// Config configures a Controller.
type Config struct {
	// IP is the address of the VM; ports are the same on all VMs.
	IP netip.Addr
	// Port is the port for peers and nodes, over TCP and UDP.
	Port    uint16
	DataDir string
	// Seeds are addresses of controllers.
	Seeds []netip.Addr
	// Bootstrap is set when the whole system starts for the first time: the seeds form the log.
	Bootstrap bool
	// Check returns the version of a body, or an error for one that must not be accepted.
	Check func(body []byte) (uint64, error)
}

// Controller is one member of the store.
type Controller struct {
	cfg       Config
	tel       telemetry.Handle
	name      string
	state     *state
	log       *replica.Replica
	directory *replica.Directory
	transport *transport
	server    *rpc.Server
	tcp       net.Listener
	udp       *net.UDPConn
	tell      chan struct{} // the list of targets has changed

	mu       sync.Mutex
	seeds    []netip.Addr
	joining  map[string]time.Time
	registry *roster.Registry

	incarnations *incarnations
	start        time.Time
	// peerNames are the latest names by address.
	peerNames map[string]string
}

// New opens the files and sockets of a controller.
func New(cfg Config, t telemetry.Handle) (*Controller, error) {
	c := &Controller{
		cfg: cfg, tel: t, state: newState(), seeds: cfg.Seeds, joining: map[string]time.Time{},
		registry: roster.NewRegistry(), start: time.Now(), peerNames: map[string]string{},
		directory: replica.NewDirectory(nil), tell: make(chan struct{}, 1),
		incarnations: loadIncarnations(cfg.DataDir, t.Logger),
	}
	founders := c.founders()
	var err error
	if c.name, err = c.loadName(founders); err != nil {
		return nil, err
	}
	if !slices.Contains(founders, c.name) {
		founders = nil
	}
	c.learn(append([]string{c.name}, founders...)...)
	c.state.onMembers = func(names []string) { c.learn(names...) }
	c.state.onContent = c.committed
	c.transport = newTransport(c.name, c.directory, t.Logger)
	c.log, err = replica.New(replica.Config{
		Name: c.name, Folder: cfg.DataDir, Members: founders, Directory: c.directory, Send: c.transport.Send,
		CompactEvery: compactEvery, KeptEntries: keptEntries,
	}, t)
	if err != nil {
		return nil, err
	}
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

// Name returns the name of the member.
func (c *Controller) Name() string { return c.name }

func (c *Controller) services(p *rpc.Peer) (map[string]any, error) {
	return map[string]any{peerService: &Peer{c: c, peer: p}}, nil
}

// founders returns the names of the members that form a new log: the controllers at the seeds, if
// this one is among them.
func (c *Controller) founders() []string {
	if !c.cfg.Bootstrap || !slices.Contains(c.cfg.Seeds, c.cfg.IP) {
		return nil
	}
	var names []string
	for _, ip := range c.cfg.Seeds {
		names = append(names, ip.String()+"/"+founderSuffix)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// loadName returns the name of the data folder. A folder without one belongs to a new member, which
// must not take the name of a member that has lost its disk.
func (c *Controller) loadName(founders []string) (string, error) {
	file := filepath.Join(c.cfg.DataDir, identityFile)
	data, err := os.ReadFile(file)
	if err == nil {
		name := ""
		if err := json.Unmarshal(data, &name); err != nil || name == "" {
			return "", result.New(result.StorageCorrupt, "%s is damaged", file)
		}
		return name, nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return "", result.New(result.StorageFailed, "read %s: %v", file, err)
	}
	name := c.cfg.IP.String() + "/" + founderSuffix
	if !slices.Contains(founders, name) {
		name = c.cfg.IP.String() + "/" + strings.ToLower(rand.Text()[:10])
	}
	data, err = json.Marshal(name)
	if err != nil {
		return "", errors.Wrap(err, "encode the name")
	}
	return name, replica.WriteDurable(c.cfg.DataDir, identityFile, data)
}

// learn records names of members. A name starts with the address of its VM.
func (c *Controller) learn(names ...string) {
	members := map[string]string{}
	for _, name := range names {
		members[name] = c.peerAddress(name)
	}
	c.directory.Add(members)
}

// peerAddress returns the address at which a member listens for peers.
func (c *Controller) peerAddress(name string) string {
	ip, err := addressOf(name)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(ip, c.cfg.Port).String()
}

// addressOf returns the address in the name of a member.
func addressOf(name string) (netip.Addr, error) {
	ip, _, _ := strings.Cut(name, "/")
	return netip.ParseAddr(ip)
}

// SetSeeds replaces the seeds after a change of the settings.
func (c *Controller) SetSeeds(seeds []netip.Addr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// Run serves until ctx is done, and then hands over leadership.
func (c *Controller) Run(ctx context.Context) error {
	return lifecycle.Run(ctx, c.handOver,
		func(ctx context.Context) error { return c.log.Run(ctx, c.state) },
		lifecycle.Forever(c.transport.run),
		func(ctx context.Context) error { return c.server.Serve(ctx, c.tcp) },
		c.serveAnnouncements,
		lifecycle.Forever(c.expire),
		lifecycle.Forever(c.tellChanges),
		lifecycle.Forever(func(ctx context.Context) { c.incarnations.save(ctx, c.tel.Logger) }),
		lifecycle.Forever(c.repairMembers),
		lifecycle.Forever(c.joinMembers),
	)
}

func (c *Controller) handOver(ctx context.Context) {
	if !c.log.Status().IsLeader {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := c.log.Transfer(ctx); err != nil {
		c.tel.Logger.Warn().Str("member", c.name).Err(err).Msg("leadership was not handed over")
	}
}

// Replace makes a configuration durable on a majority. A version that is not above the one in force
// changes nothing and is no error.
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
		if err == nil || (code != result.NotLeader && code != result.NoQuorum) || !ctxtime.Sleep(ctx, leaderPause) {
			return version, err
		}
	}
}

// replaceOnce proposes the content, here or at the leader.
func (c *Controller) replaceOnce(ctx context.Context, content *Content) error {
	status := c.log.Status()
	if status.IsLeader {
		return c.propose(ctx, content)
	}
	if status.Leader == "" {
		return result.New(result.NoQuorum, "no leader is known")
	}
	client := c.transport.client(status.Leader)
	if client == nil {
		return result.New(result.NoQuorum, "the address of the leader %s is not known", status.Leader)
	}
	_, err := rpc.Call[ReplaceReply](ctx, client, peerService+".Replace", &ReplaceRequest{Content: *content})
	return err
}

// propose appends the content to the log of this leader and waits until it is committed.
func (c *Controller) propose(ctx context.Context, content *Content) error {
	if content.Version <= c.state.version() {
		return nil
	}
	data, err := cbor.Marshal(command{Replace: content})
	if err != nil {
		return errors.Wrap(err, "encode a command")
	}
	return c.commit(ctx, data)
}

func (c *Controller) commit(ctx context.Context, data []byte) error {
	position, err := c.log.Propose(ctx, data)
	if err != nil {
		return err
	}
	select {
	case same := <-c.state.await(position):
		if !same {
			return result.New(result.NotLeader, "another leader has taken over")
		}
		return nil
	case <-ctx.Done():
		return result.New(result.OutcomeUnknown, "entry %d was not committed in time", position.Index)
	}
}

// Read returns the newest configuration, nil if there is none. It fails if this controller cannot
// make sure that it is the newest.
func (c *Controller) Read(ctx context.Context) (*Content, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	index, err := c.log.ReadBarrier(ctx)
	if err != nil {
		return nil, err
	}
	for {
		next := c.state.next()
		content, applied := c.state.current()
		if applied >= index {
			return content, nil
		}
		select {
		case <-next:
		case <-ctx.Done():
			return nil, result.New(result.NoQuorum, "entry %d of %d applied in time", applied, index)
		}
	}
}

// Current reports whether the controller is in contact with a majority.
func (c *Controller) Current() bool {
	s := c.log.Status()
	return s.Contact && s.QuorumAge <= currentAge
}

// addresses returns the addresses of all members and of this controller.
func (c *Controller) addresses() []hop.IP {
	ips := []hop.IP{hop.IP(c.cfg.IP.As4())}
	for _, m := range c.log.Status().Members {
		ip, err := addressOf(m.Name)
		if err != nil || !ip.Is4() {
			continue
		}
		if own := hop.IP(ip.As4()); !slices.Contains(ips, own) {
			ips = append(ips, own)
		}
	}
	return ips
}

// Members returns the members, as far as this controller knows them.
func (c *Controller) Members() []replica.Member { return c.log.Status().Members }

func encodeMembers(names []string) ([]byte, error) {
	data, err := cbor.Marshal(command{Members: names})
	return data, errors.Wrap(err, "encode a command")
}
