// Package uplink is the datagram side of a process towards all controllers of the store: it announces
// the process to each of them, follows their list of members, and fetches new configurations.
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
	// maxControllers bounds the controllers that are announced to: 7 members and as many that replace
	// them.
	maxControllers = 14
	// searchInterval is the time between two announcements while no controller answers, and to those that
	// have not answered shortly after others have.
	searchInterval = 40 * time.Millisecond
	// searchSpan is the time after the first answer in which the other controllers are looked for. After a
	// loss of power controllers start within a second of each other, and a relay believes a majority.
	searchSpan = 2 * time.Second
	// fetchPause is the time after a fetch that failed.
	fetchPause = 100 * time.Millisecond
	// behindGrace is the time for which a process that was caught up still counts as such after it has heard
	// of a newer configuration. Usually it has that within milliseconds. If all controllers are lost in between,
	// entry VMs that leave the rotation for it only choke the others; with the second that routers take to
	// notice it stays below the 4 s within which a configuration is to be in force.
	behindGrace = 2 * time.Second
	// lostAfter is the time without an answer after which a controller counts as lost. It has then missed
	// four announcements.
	lostAfter = 4 * roster.AnnounceInterval
)

// Config configures an Uplink.
type Config struct {
	Port  uint16 // of all controllers
	Seeds []netip.Addr
	// Send sends a datagram to a controller.
	Send func(to netip.AddrPort, datagram []byte)
	// Announce returns what to announce to a controller now.
	Announce func(to hop.IP) roster.Announcement
	// Parse reads a configuration, and InForce puts it in force. Without them none is fetched.
	Parse   func(body []byte) (*routing.Document, error)
	InForce func(*routing.Table)
	Logger  *log.Logger
}

// Uplink holds the contact with the controllers.
type Uplink struct {
	cfg   Config
	wake  chan struct{}
	clock func() time.Time // time.Now but in tests

	mu          sync.Mutex
	announced   time.Time // to all controllers
	contact     time.Time // of the first answer after a time without any
	seeds       []hop.IP
	members     []hop.IP // of the last answer of a controller in contact with a majority
	controllers map[hop.IP]*controller
	version     uint64    // in force
	wanted      uint64    // newest version that a controller is believed to have
	current     bool      // a controller in contact with a majority has answered
	caughtUp    bool      // newest has been in force once
	newest      uint64    // of all versions heard of
	behind      time.Time // when newest went above the version in force
}

type controller struct {
	version uint64
	heard   time.Time
	lost    bool
}

// New returns an Uplink.
func New(cfg Config) *Uplink {
	u := &Uplink{cfg: cfg, wake: make(chan struct{}, 1), clock: time.Now, controllers: map[hop.IP]*controller{}}
	u.SetSeeds(cfg.Seeds)
	return u
}

// SetSeeds replaces the seeds after a change of the settings.
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
		wg.Go(func() { u.fetchAll(ctx) })
	}
	for {
		if !ctxtime.Sleep(ctx, u.step()) {
			wg.Wait()
			return nil
		}
	}
}

// step announces the process to the controllers for which that is due, and returns the time until the
// next step. Until a controller has answered, and while none answers, it is short, so that service
// resumes as soon as controllers are back.
func (u *Uplink) step() time.Duration {
	all := u.targets()
	now := u.clock()
	u.mu.Lock()
	silent, searching := u.silent(now, all)
	full := now.Sub(u.announced) >= roster.AnnounceInterval || len(silent) == len(all)
	if full {
		u.announced = now
	}
	next := u.announced.Add(roster.AnnounceInterval).Sub(now)
	u.mu.Unlock()
	switch {
	case full:
		u.announce(all)
	case searching:
		u.announce(silent)
	}
	if searching {
		return searchInterval
	}
	return next
}

// silent returns the controllers that do not answer, and whether they are looked for.
func (u *Uplink) silent(now time.Time, all []hop.IP) (silent []hop.IP, searching bool) {
	for _, ip := range all {
		if c := u.controllers[ip]; c == nil || now.Sub(c.heard) > lostAfter {
			silent = append(silent, ip)
		}
	}
	return silent, len(silent) == len(all) || (len(silent) > 0 && now.Sub(u.contact) < searchSpan)
}

// Announce sends an announcement to every controller now.
func (u *Uplink) Announce() { u.announce(u.targets()) }

func (u *Uplink) announce(to []hop.IP) {
	for _, ip := range to {
		a := u.cfg.Announce(ip)
		datagram, err := a.Encode()
		if err != nil {
			u.cfg.Logger.Error().Err(err).Msg("an announcement could not be encoded")
			return
		}
		u.cfg.Send(netip.AddrPortFrom(netip.AddrFrom4(ip), u.cfg.Port), datagram)
	}
}

// targets returns the controllers to announce to, and notes which are lost.
func (u *Uplink) targets() []hop.IP {
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
		if !c.lost && u.clock().Sub(c.heard) > lostAfter {
			c.lost = true
			u.cfg.Logger.Warn().Str("controller", netip.AddrFrom4(ip).String()).Msg(decision.ControllerLost)
		}
		if !slices.Contains(list, ip) {
			delete(u.controllers, ip)
		}
	}
	return list
}

// Answer takes in the answer of a controller.
func (u *Uplink) Answer(from hop.IP, a *roster.Answer) {
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
		u.contact = now
	}
	c.version, c.heard, c.lost = a.Version, now, false
	if a.Current {
		u.current = true
		u.members = slices.Clone(a.Controllers)
	}
	if a.Version > u.newest {
		if u.version >= u.newest {
			u.behind = now
		}
		u.newest = a.Version
	}
	if a.Version > u.wanted {
		u.wanted = a.Version
		select {
		case u.wake <- struct{}{}:
		default:
		}
	}
}

func (u *Uplink) inContact(now time.Time) bool {
	for _, c := range u.controllers {
		if now.Sub(c.heard) <= lostAfter {
			return true
		}
	}
	return false
}

// fetchAll fetches every newer configuration.
func (u *Uplink) fetchAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-u.wake:
		}
		for ctx.Err() == nil {
			from, above, ok := u.source()
			if !ok {
				break
			}
			if !u.fetch(ctx, from, above) {
				ctxtime.Sleep(ctx, fetchPause)
			}
		}
	}
}

// source returns a controller that has a newer configuration, the one heard from last.
func (u *Uplink) source() (from hop.IP, above uint64, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	var best *controller
	for ip, c := range u.controllers {
		if c.version <= u.version || c.version < u.wanted && best != nil {
			continue
		}
		if best == nil || c.version > best.version || c.heard.After(best.heard) {
			from, best = ip, c
		}
	}
	return from, u.version, best != nil
}

func (u *Uplink) fetch(ctx context.Context, from hop.IP, above uint64) bool {
	address := netip.AddrPortFrom(netip.AddrFrom4(from), u.cfg.Port)
	logger := u.cfg.Logger
	content, err := confstore.FetchContent(ctx, address, above)
	if err != nil || content == nil {
		logger.Warn().Str("controller", address.String()).Uint64("above", above).Err(err).Msg("no configuration was fetched")
		u.distrust(from)
		return false
	}
	body, err := content.Body()
	var document *routing.Document
	if err == nil {
		document, err = u.cfg.Parse(body)
	}
	if err != nil {
		logger.Error().Uint64("version", content.Version).Err(err).Msg("a configuration cannot be put in force")
		u.distrust(from)
		return false
	}
	u.cfg.InForce(routing.NewTable(document))
	u.mu.Lock()
	u.version = max(u.version, content.Version)
	u.mu.Unlock()
	logger.Info().Uint64("version", content.Version).Int("routes", len(document.Routes)).
		Str("controller", address.String()).Msg(decision.ConfigInForce)
	return true
}

// distrust forgets the version of a controller until it answers again.
func (u *Uplink) distrust(ip hop.IP) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c := u.controllers[ip]; c != nil {
		c.version = 0
	}
	u.wanted = u.version
}

// CaughtUp reports whether a controller in contact with a majority has answered and the newest version
// heard of is in force. A process that was caught up stays so for a moment, and as long as it hears no
// controller that it could get the version from.
func (u *Uplink) CaughtUp() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current && u.version > 0 && u.version >= u.newest {
		u.caughtUp = true
		return true
	}
	now := u.clock()
	return u.caughtUp && (now.Sub(u.behind) < behindGrace || !u.inContact(now))
}
