// Package controllerclient connects a process to all controllers of the configuration store: it announces the
// process to each of them, follows their list of members, and fetches new configurations.
package controllerclient

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"github.com/greengagelock/greengagelock/internal/confstore"
	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/decision"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/routing"
)

const (
	// maxControllers bounds the controllers that get announcements: 7 members and as many replacements.
	maxControllers = 14
	// discoveryInterval is the time between two announcements to all controllers while none answers, and
	// during discoveryWindow to those that do not answer.
	discoveryInterval = 40 * time.Millisecond
	// discoveryWindow is the time after the first answer during which the other controllers are announced to
	// at short intervals. After a loss of power, controllers start within a second of each other, and a relay
	// needs a majority of them.
	discoveryWindow = 2 * time.Second
	// fetchRetryDelay is the time between a failed fetch and the next one.
	fetchRetryDelay = 100 * time.Millisecond
	// outdatedGrace is the time for which a process that was caught up still counts as such after it has
	// heard of a newer configuration. Usually it fetches that within milliseconds. If all controllers are
	// lost in between, entry VMs that leave the rotation only overload the others. With the second that
	// routers need to notice, it stays below the 4 s within which a configuration has to be in force.
	outdatedGrace = 2 * time.Second
	// controllerTimeout is the time without an answer after which a controller counts as lost: four
	// announcements.
	controllerTimeout = 4 * roster.AnnounceInterval
)

// Config configures a Client.
type Config struct {
	Port  uint16 // port of all controllers
	Seeds []netip.Addr
	// Send sends a datagram to a controller.
	Send func(to netip.AddrPort, datagram []byte)
	// Announce returns the announcement for a controller.
	Announce func(to hop.IP) roster.Announcement
	// Parse decodes a configuration, and Apply puts it in force. If Parse is nil, no configuration is fetched.
	Parse func(body []byte) (*routing.Document, error)
	Apply func(*routing.Table)
	// Incomplete reports whether a controller that answers has information that this process still needs, so that it is
	// announced to at short intervals during discoveryWindow; may be nil.
	Incomplete func(hop.IP) bool
	// Instance is the instance ID of the process, and Evacuate puts newer evacuations in force.
	Instance uint64
	Evacuate func(*roster.Evacuations)
	Logger   *log.Logger
}

// Client tracks the controllers and the configuration of a process.
type Client struct {
	cfg         Config
	fetchSignal chan struct{}
	clock       func() time.Time // time.Now except in tests

	mu            sync.Mutex
	lastAnnounced time.Time // last announcement to all controllers
	contactSince  time.Time // first answer after a time without any
	seeds         []hop.IP
	members       []hop.IP // controllers, from the last answer of one in contact with a majority
	// called are controllers that have called this process, and those that they know, until members is known.
	called           []hop.IP
	controllers      map[hop.IP]*controller
	versionInForce   uint64    // version of the configuration in force
	availableVersion uint64    // newest version that a controller can deliver
	majorityAnswered bool      // a controller in contact with a majority has answered
	caughtUp         bool      // newestVersion has been in force once
	newestVersion    uint64    // newest version heard of
	outdatedSince    time.Time // since when newestVersion has been above versionInForce
	evacuations      uint64    // revision of the evacuations in force
}

// controller is what is known of a controller.
type controller struct {
	version   uint64
	lastHeard time.Time
	lost      bool
}

// New returns a Client that has not announced anything yet.
func New(cfg Config) *Client {
	cl := &Client{cfg: cfg, fetchSignal: make(chan struct{}, 1), clock: time.Now, controllers: map[hop.IP]*controller{}}
	cl.SetSeeds(cfg.Seeds)
	return cl
}

// SetSeeds replaces the seed controllers after a change of the settings.
func (cl *Client) SetSeeds(seeds []netip.Addr) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.seeds = nil
	for _, ip := range seeds {
		if ip.Is4() {
			cl.seeds = append(cl.seeds, ip.As4())
		}
	}
}

// Run announces the process and fetches configurations until ctx is done.
func (cl *Client) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	if cl.cfg.Parse != nil {
		wg.Go(func() { cl.fetchLoop(ctx) })
	}
	for {
		if !ctxtime.Sleep(ctx, cl.announceDue()) {
			wg.Wait()
			return nil
		}
	}
}

// announceDue sends the announcements that are due and returns the time until the next call. While no
// controller answers that time is short, so that service resumes as soon as controllers are back.
func (cl *Client) announceDue() time.Duration {
	all := cl.contacts()
	incomplete := cl.incomplete(all) // calls back, so outside of the lock
	now := cl.clock()
	cl.mu.Lock()
	unresponsive, discovering := cl.unresponsive(now, all, incomplete)
	announceAll := now.Sub(cl.lastAnnounced) >= roster.AnnounceInterval || len(unresponsive) == len(all)
	if announceAll {
		cl.lastAnnounced = now
	}
	next := cl.lastAnnounced.Add(roster.AnnounceInterval).Sub(now)
	cl.mu.Unlock()
	switch {
	case announceAll:
		cl.announce(all)
	case discovering:
		cl.announce(unresponsive)
	}
	if discovering {
		return discoveryInterval
	}
	return next
}

// incomplete returns the controllers that have more information for this process.
func (cl *Client) incomplete(all []hop.IP) []hop.IP {
	if cl.cfg.Incomplete == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(all), func(ip hop.IP) bool { return !cl.cfg.Incomplete(ip) })
}

// unresponsive returns the controllers that do not answer or have more information, and whether to announce to them
// at short intervals.
func (cl *Client) unresponsive(now time.Time, all, incomplete []hop.IP) (list []hop.IP, discovering bool) {
	for _, ip := range all {
		if c := cl.controllers[ip]; c == nil || now.Sub(c.lastHeard) > controllerTimeout || slices.Contains(incomplete, ip) {
			list = append(list, ip)
		}
	}
	return list, len(list) == len(all) || (len(list) > 0 && now.Sub(cl.contactSince) < discoveryWindow)
}

// Announce sends an announcement to every controller now.
func (cl *Client) Announce() { cl.announce(cl.contacts()) }

// AnnounceTo sends an announcement to some controllers now.
func (cl *Client) AnnounceTo(to []hop.IP) { cl.announce(to) }

func (cl *Client) announce(to []hop.IP) {
	members := cl.membersDigest()
	for _, ip := range to {
		a := cl.cfg.Announce(ip)
		a.MembersDigest = members
		datagram, err := a.Encode()
		if err != nil {
			cl.cfg.Logger.Error().Err(err).Msg("encoding an announcement failed")
			return
		}
		cl.cfg.Send(netip.AddrPortFrom(netip.AddrFrom4(ip), cl.cfg.Port), datagram)
	}
}

// membersDigest returns the digest of the members that are known, zero for none.
func (cl *Client) membersDigest() uint32 {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.members) == 0 {
		return 0
	}
	return roster.MembersDigest(cl.members)
}

// contacts returns the controllers to announce to. It also logs which have become lost.
func (cl *Client) contacts() []hop.IP {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	list := slices.Clone(cl.members)
	for _, ip := range slices.Concat(cl.seeds, cl.called) {
		if !slices.Contains(list, ip) {
			list = append(list, ip)
		}
	}
	list = list[:min(len(list), maxControllers)]
	for ip, c := range cl.controllers {
		if !c.lost && cl.clock().Sub(c.lastHeard) > controllerTimeout {
			c.lost = true
			cl.cfg.Logger.Warn().Str("controller", netip.AddrFrom4(ip).String()).Msg(decision.ControllerLost)
		}
		if !slices.Contains(list, ip) {
			delete(cl.controllers, ip)
		}
	}
	return list
}

// Nearest returns the controllers, at most count, that come first in the order of a rendezvous hash with the address
// of a node. Most of them stay the same when a controller is replaced.
func (cl *Client) Nearest(node netip.Addr, count int) []hop.IP {
	cl.mu.Lock()
	list := slices.Clone(cl.members)
	cl.mu.Unlock()
	hash := func(ip hop.IP) uint64 { return xxhash.Sum64(append(node.AsSlice(), ip[:]...)) }
	slices.SortFunc(list, func(a, b hop.IP) int { return cmp.Compare(hash(b), hash(a)) })
	return list[:min(len(list), count)]
}

// HandleAnswer handles an answer of a controller, and announces the process if the controller asks for that.
func (cl *Client) HandleAnswer(from hop.IP, a *roster.Answer) {
	cl.recordAnswer(from, a)
	if a.Call {
		cl.announce([]hop.IP{from})
	}
}

func (cl *Client) recordAnswer(from hop.IP, a *roster.Answer) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	c := cl.controllers[from]
	if c == nil {
		c = &controller{}
		cl.controllers[from] = c
	} else if c.lost {
		cl.cfg.Logger.Info().Str("controller", netip.AddrFrom4(from).String()).Msg(decision.ControllerBack)
	}
	now := cl.clock()
	if !cl.inContact(now) {
		cl.contactSince = now
	}
	c.version, c.lastHeard, c.lost = a.Version, now, false
	if a.Current {
		cl.majorityAnswered = true
		if len(a.Controllers) > 0 {
			cl.members, cl.called = slices.Clone(a.Controllers), nil
		}
	} else if a.Call && len(cl.members) == 0 {
		cl.called = slices.Clone(a.Controllers)
	}
	if a.Version > cl.newestVersion {
		if cl.versionInForce >= cl.newestVersion {
			cl.outdatedSince = now
		}
		cl.newestVersion = a.Version
	}
	if a.Version > cl.availableVersion {
		cl.availableVersion = a.Version
		select {
		case cl.fetchSignal <- struct{}{}:
		default:
		}
	}
}

// HandleEvacuations puts the evacuations that a controller has sent in force if they are newer, and confirms them.
func (cl *Client) HandleEvacuations(from hop.IP, e *roster.Evacuations) {
	cl.mu.Lock()
	newer := e.Revision > cl.evacuations
	cl.evacuations = max(cl.evacuations, e.Revision)
	held := roster.EvacuationsHeld{Revision: cl.evacuations, Process: cl.cfg.Instance}
	cl.mu.Unlock()
	if newer {
		cl.cfg.Evacuate(e)
		cl.cfg.Logger.Info().Uint64("revision", e.Revision).Strs("zones", e.Zones).Msg(decision.EvacuationsInForce)
	}
	datagram, err := held.Encode()
	if err != nil {
		cl.cfg.Logger.Error().Err(err).Msg("encoding a confirmation failed")
		return
	}
	cl.cfg.Send(netip.AddrPortFrom(netip.AddrFrom4(from), cl.cfg.Port), datagram)
}

// inContact reports whether any controller has answered within controllerTimeout.
func (cl *Client) inContact(now time.Time) bool {
	for _, c := range cl.controllers {
		if now.Sub(c.lastHeard) <= controllerTimeout {
			return true
		}
	}
	return false
}

// fetchLoop fetches each newer configuration.
func (cl *Client) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-cl.fetchSignal:
		}
		for ctx.Err() == nil {
			from, above, ok := cl.fetchSource()
			if !ok {
				break
			}
			if !cl.fetch(ctx, from, above) {
				ctxtime.Sleep(ctx, fetchRetryDelay)
			}
		}
	}
}

// fetchSource returns a controller with a newer configuration, preferably one that has availableVersion and
// answered last. above is the version in force.
func (cl *Client) fetchSource() (from hop.IP, above uint64, ok bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var best *controller
	for ip, c := range cl.controllers {
		if c.version <= cl.versionInForce || c.version < cl.availableVersion && best != nil {
			continue
		}
		if best == nil || c.version > best.version || c.lastHeard.After(best.lastHeard) {
			from, best = ip, c
		}
	}
	return from, cl.versionInForce, best != nil
}

// fetch fetches a configuration newer than above and puts it in force. It reports success.
func (cl *Client) fetch(ctx context.Context, from hop.IP, above uint64) bool {
	address := netip.AddrPortFrom(netip.AddrFrom4(from), cl.cfg.Port)
	logger := cl.cfg.Logger
	content, err := confstore.FetchContent(ctx, address, above)
	if err != nil || content == nil {
		logger.Warn().Str("controller", address.String()).Uint64("above", above).Err(err).Msg("fetching a configuration failed")
		cl.forgetVersion(from)
		return false
	}
	body, err := content.Body()
	var document *routing.Document
	if err == nil {
		document, err = cl.cfg.Parse(body)
	}
	if err != nil {
		logger.Error().Uint64("version", content.Version).Err(err).Msg("invalid configuration not put in force")
		cl.forgetVersion(from)
		return false
	}
	cl.cfg.Apply(routing.NewTable(document))
	cl.mu.Lock()
	cl.versionInForce = max(cl.versionInForce, content.Version)
	cl.mu.Unlock()
	logger.Info().Uint64("version", content.Version).Int("routes", len(document.Routes)).
		Str("controller", address.String()).Msg(decision.ConfigInForce)
	return true
}

// forgetVersion keeps a controller from being used for fetches until it answers again.
func (cl *Client) forgetVersion(ip hop.IP) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if c := cl.controllers[ip]; c != nil {
		c.version = 0
	}
	cl.availableVersion = cl.versionInForce
}

// CaughtUp reports whether a controller in contact with a majority has answered and the newest version heard
// of is in force. A process that was caught up stays so for outdatedGrace, and as long as no controller
// answers that could deliver the version.
func (cl *Client) CaughtUp() bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.majorityAnswered && cl.versionInForce > 0 && cl.versionInForce >= cl.newestVersion {
		cl.caughtUp = true
		return true
	}
	now := cl.clock()
	return cl.caughtUp && (now.Sub(cl.outdatedSince) < outdatedGrace || !cl.inContact(now))
}
