// Package uplink connects a process to all controllers of the configuration store: it announces the process
// to each of them, follows their list of members, and fetches new configurations.
package uplink

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

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

// Config configures an Uplink.
type Config struct {
	Port  uint16 // port of all controllers
	Seeds []netip.Addr
	// Send sends a datagram to a controller.
	Send func(to netip.AddrPort, datagram []byte)
	// Announce returns the announcement for a controller.
	Announce func(to hop.IP) roster.Announcement
	// Parse decodes a configuration, and Apply puts it in force. If Parse is nil, no configuration is fetched.
	Parse  func(body []byte) (*routing.Document, error)
	Apply  func(*routing.Table)
	Logger *log.Logger
}

// Uplink tracks the controllers and the configuration of a process.
type Uplink struct {
	cfg         Config
	fetchSignal chan struct{}
	clock       func() time.Time // time.Now except in tests

	mu               sync.Mutex
	lastAnnounced    time.Time // last announcement to all controllers
	contactSince     time.Time // first answer after a time without any
	seeds            []hop.IP
	members          []hop.IP // controllers, from the last answer of one in contact with a majority
	controllers      map[hop.IP]*controller
	versionInForce   uint64    // version of the configuration in force
	availableVersion uint64    // newest version that a controller can deliver
	majorityAnswered bool      // a controller in contact with a majority has answered
	caughtUp         bool      // newestVersion has been in force once
	newestVersion    uint64    // newest version heard of
	outdatedSince    time.Time // since when newestVersion has been above versionInForce
}

// controller is what is known of a controller.
type controller struct {
	version   uint64
	lastHeard time.Time
	lost      bool
}

// New returns an Uplink that has not announced anything yet.
func New(cfg Config) *Uplink {
	u := &Uplink{cfg: cfg, fetchSignal: make(chan struct{}, 1), clock: time.Now, controllers: map[hop.IP]*controller{}}
	u.SetSeeds(cfg.Seeds)
	return u
}

// SetSeeds replaces the seed controllers after a change of the settings.
func (u *Uplink) SetSeeds(seeds []netip.Addr) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seeds = nil
	for _, ip := range seeds {
		if ip.Is4() {
			u.seeds = append(u.seeds, ip.As4())
		}
	}
}

// Run announces the process and fetches configurations until ctx is done.
func (u *Uplink) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	if u.cfg.Parse != nil {
		wg.Go(func() { u.fetchLoop(ctx) })
	}
	for {
		if !ctxtime.Sleep(ctx, u.announceDue()) {
			wg.Wait()
			return nil
		}
	}
}

// announceDue sends the announcements that are due and returns the time until the next call. While no
// controller answers that time is short, so that service resumes as soon as controllers are back.
func (u *Uplink) announceDue() time.Duration {
	all := u.contacts()
	now := u.clock()
	u.mu.Lock()
	unresponsive, discovering := u.unresponsive(now, all)
	announceAll := now.Sub(u.lastAnnounced) >= roster.AnnounceInterval || len(unresponsive) == len(all)
	if announceAll {
		u.lastAnnounced = now
	}
	next := u.lastAnnounced.Add(roster.AnnounceInterval).Sub(now)
	u.mu.Unlock()
	switch {
	case announceAll:
		u.announce(all)
	case discovering:
		u.announce(unresponsive)
	}
	if discovering {
		return discoveryInterval
	}
	return next
}

// unresponsive returns the controllers that do not answer, and whether to announce to them at short
// intervals.
func (u *Uplink) unresponsive(now time.Time, all []hop.IP) (list []hop.IP, discovering bool) {
	for _, ip := range all {
		if c := u.controllers[ip]; c == nil || now.Sub(c.lastHeard) > controllerTimeout {
			list = append(list, ip)
		}
	}
	return list, len(list) == len(all) || (len(list) > 0 && now.Sub(u.contactSince) < discoveryWindow)
}

// Announce sends an announcement to every controller now.
func (u *Uplink) Announce() { u.announce(u.contacts()) }

func (u *Uplink) announce(to []hop.IP) {
	for _, ip := range to {
		a := u.cfg.Announce(ip)
		datagram, err := a.Encode()
		if err != nil {
			u.cfg.Logger.Error().Err(err).Msg("encoding an announcement failed")
			return
		}
		u.cfg.Send(netip.AddrPortFrom(netip.AddrFrom4(ip), u.cfg.Port), datagram)
	}
}

// contacts returns the controllers to announce to. It also logs which have become lost.
func (u *Uplink) contacts() []hop.IP {
	u.mu.Lock()
	defer u.mu.Unlock()
	list := slices.Clone(u.members)
	for _, ip := range u.seeds {
		if !slices.Contains(list, ip) {
			list = append(list, ip)
		}
	}
	list = list[:min(len(list), maxControllers)]
	for ip, c := range u.controllers {
		if !c.lost && u.clock().Sub(c.lastHeard) > controllerTimeout {
			c.lost = true
			u.cfg.Logger.Warn().Str("controller", netip.AddrFrom4(ip).String()).Msg(decision.ControllerLost)
		}
		if !slices.Contains(list, ip) {
			delete(u.controllers, ip)
		}
	}
	return list
}

// HandleAnswer handles an answer of a controller.
func (u *Uplink) HandleAnswer(from hop.IP, a *roster.Answer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.controllers[from]
	if c == nil {
		c = &controller{}
		u.controllers[from] = c
	} else if c.lost {
		u.cfg.Logger.Info().Str("controller", netip.AddrFrom4(from).String()).Msg(decision.ControllerBack)
	}
	now := u.clock()
	if !u.inContact(now) {
		u.contactSince = now
	}
	c.version, c.lastHeard, c.lost = a.Version, now, false
	if a.Current {
		u.majorityAnswered = true
		u.members = slices.Clone(a.Controllers)
	}
	if a.Version > u.newestVersion {
		if u.versionInForce >= u.newestVersion {
			u.outdatedSince = now
		}
		u.newestVersion = a.Version
	}
	if a.Version > u.availableVersion {
		u.availableVersion = a.Version
		select {
		case u.fetchSignal <- struct{}{}:
		default:
		}
	}
}

// inContact reports whether any controller has answered within controllerTimeout.
func (u *Uplink) inContact(now time.Time) bool {
	for _, c := range u.controllers {
		if now.Sub(c.lastHeard) <= controllerTimeout {
			return true
		}
	}
	return false
}

// fetchLoop fetches each newer configuration.
func (u *Uplink) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-u.fetchSignal:
		}
		for ctx.Err() == nil {
			from, above, ok := u.fetchSource()
			if !ok {
				break
			}
			if !u.fetch(ctx, from, above) {
				ctxtime.Sleep(ctx, fetchRetryDelay)
			}
		}
	}
}

// fetchSource returns a controller with a newer configuration, preferably one that has availableVersion and
// answered last. above is the version in force.
func (u *Uplink) fetchSource() (from hop.IP, above uint64, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	var best *controller
	for ip, c := range u.controllers {
		if c.version <= u.versionInForce || c.version < u.availableVersion && best != nil {
			continue
		}
		if best == nil || c.version > best.version || c.lastHeard.After(best.lastHeard) {
			from, best = ip, c
		}
	}
	return from, u.versionInForce, best != nil
}

// fetch fetches a configuration newer than above and puts it in force. It reports success.
func (u *Uplink) fetch(ctx context.Context, from hop.IP, above uint64) bool {
	address := netip.AddrPortFrom(netip.AddrFrom4(from), u.cfg.Port)
	logger := u.cfg.Logger
	content, err := confstore.FetchContent(ctx, address, above)
	if err != nil || content == nil {
		logger.Warn().Str("controller", address.String()).Uint64("above", above).Err(err).Msg("fetching a configuration failed")
		u.forgetVersion(from)
		return false
	}
	body, err := content.Body()
	var document *routing.Document
	if err == nil {
		document, err = u.cfg.Parse(body)
	}
	if err != nil {
		logger.Error().Uint64("version", content.Version).Err(err).Msg("invalid configuration not put in force")
		u.forgetVersion(from)
		return false
	}
	u.cfg.Apply(routing.NewTable(document))
	u.mu.Lock()
	u.versionInForce = max(u.versionInForce, content.Version)
	u.mu.Unlock()
	logger.Info().Uint64("version", content.Version).Int("routes", len(document.Routes)).
		Str("controller", address.String()).Msg(decision.ConfigInForce)
	return true
}

// forgetVersion keeps a controller from being used for fetches until it answers again.
func (u *Uplink) forgetVersion(ip hop.IP) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c := u.controllers[ip]; c != nil {
		c.version = 0
	}
	u.availableVersion = u.versionInForce
}

// CaughtUp reports whether a controller in contact with a majority has answered and the newest version heard
// of is in force. A process that was caught up stays so for outdatedGrace, and as long as no controller
// answers that could deliver the version.
func (u *Uplink) CaughtUp() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.majorityAnswered && u.versionInForce > 0 && u.versionInForce >= u.newestVersion {
		u.caughtUp = true
		return true
	}
	now := u.clock()
	return u.caughtUp && (now.Sub(u.outdatedSince) < outdatedGrace || !u.inContact(now))
}
