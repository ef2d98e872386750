package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/fx"

	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/rpc"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

// Defaults and limits of a session.
const (
	// DefaultPollWait is a third of membership.Lease.
	DefaultPollWait = MaxPollWait
	// pollTimeoutMargin is the time that a poll may take in addition to the wait.
	pollTimeoutMargin = 500 * time.Millisecond
	// viewTimeoutMargin is the time that a poll for a full view may take in addition to the wait: a read
	// index request and the transfer of the view.
	viewTimeoutMargin = 1500 * time.Millisecond
	// minBackoff and maxBackoff limit the delay after a failed poll.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// minAnnounceInterval is the least time between two calls of Announce.
	minAnnounceInterval = 50 * time.Millisecond
	// MaxFailoverTime is the longest time between two polls that reach a controller when the current
	// controller stops responding: a held poll, a poll that times out, and the backoff. It is below
	// membership.Lease, so that no target loses its lease when a controller fails.
	MaxFailoverTime = 2*MaxPollWait + pollTimeoutMargin + minBackoff
)

// Config configures a session.
type Config struct {
	Name        string
	Role        model.Role
	Controllers []string // addresses
	TLS         rpc.TLSFiles
	// PollWait is how long a controller holds a poll. A value that is not between 0 and MaxPollWait selects
	// DefaultPollWait.
	PollWait time.Duration
	// Incarnation distinguishes successive processes with the same name; 0 selects the start time.
	Incarnation uint64
}

// Session keeps the view of a node up to date. It is safe for concurrent use.
type Session struct {
	cfg            Config
	handler        Handler
	tel            telemetry.Handle
	metrics        *Metrics
	clients        []*rpc.Client
	announceWakeup chan struct{}

	mu              sync.Mutex
	view            *model.View // in force; never modified
	digest          uint64
	confirmedAt     time.Time // when the view was last known to be current
	controllerIndex int       // index of the current controller
	needsFullView   bool      // the next poll requests the full view
}

// New returns a session for a node. It starts with an empty view and with a controller that a hash of the
// node's name selects, so that nodes are spread over the controllers.
func New(cfg Config, handler Handler, t telemetry.Handle) (*Session, error) {
	if cfg.Name == "" || len(cfg.Controllers) == 0 {
		return nil, result.New(result.SettingsInvalid, "a session needs the name of the node and the address of at least one controller")
	}
	if cfg.PollWait <= 0 || cfg.PollWait > MaxPollWait {
		cfg.PollWait = DefaultPollWait
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixNano())
	}
	credentials, err := rpc.LoadCredentials(cfg.TLS)
	if err != nil {
		return nil, err
	}
	s := &Session{
		cfg: cfg, handler: handler, tel: t, announceWakeup: make(chan struct{}, 1),
		view: model.NewView(), confirmedAt: time.Now(),
	}
	s.digest = s.view.Digest()
	s.controllerIndex = int(xxhash.Sum64String(cfg.Name) % uint64(len(cfg.Controllers)))
	for _, address := range cfg.Controllers {
		s.clients = append(s.clients, rpc.NewClient(rpc.ClientConfig{
			Address: address, Role: model.RoleController, Credentials: credentials,
			DialTimeout: pollTimeoutMargin, CallTimeout: cfg.PollWait + viewTimeoutMargin,
		}))
	}
	if s.metrics, err = newMetrics(prometheus.WrapRegistererWith(prometheus.Labels{"node": cfg.Name}, t.Metrics), s); err != nil {
		return nil, err
	}
	return s, nil
}

// Run polls until ctx is done.
func (s *Session) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { s.announceLoop(ctx) })
	s.pollLoop(ctx)
	wg.Wait()
	return nil
}

func (s *Session) close() {
	for _, c := range s.clients {
		c.Close()
	}
}

// AnnounceNow makes the session send a changed announcement without waiting for the next poll.
func (s *Session) AnnounceNow() {
	select {
	case s.announceWakeup <- struct{}{}:
	default:
	}
}

// ControlAge returns the time since the view in force was last known to be current.
func (s *Session) ControlAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.confirmedAt)
}

// Generation returns the generation in force.
func (s *Session) Generation() model.Generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Generation
}

// Revision returns the revision in force.
func (s *Session) Revision() model.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Revision
}

func (s *Session) announcement() model.Announcement {
	a := s.handler.Announcement()
	a.Node, a.Role, a.Incarnation = s.cfg.Name, s.cfg.Role, s.cfg.Incarnation
	s.mu.Lock()
	defer s.mu.Unlock()
	a.Applied, a.Revision, a.Digest = s.view.Generation, s.view.Revision, s.digest
	return a
}

func (s *Session) client() *rpc.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clients[s.controllerIndex]
}

// switchController selects the next controller.
func (s *Session) switchController() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.controllerIndex = (s.controllerIndex + 1) % len(s.clients)
}

// pollLoop polls until ctx is done. After a failure it switches to the next controller.
func (s *Session) pollLoop(ctx context.Context) {
	seed := xxhash.Sum64String(s.cfg.Name)
	rng := rand.New(rand.NewPCG(seed, seed))
	failures := 0
	for ctx.Err() == nil {
		err := s.poll(ctx)
		if err == nil {
			if failures > 0 {
				s.tel.Logger.Info().Str("node", s.cfg.Name).Msg("session with a controller restored")
			}
			failures = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		s.metrics.Errors.Inc()
		if failures == 0 {
			s.tel.Logger.Warn().Str("node", s.cfg.Name).Err(err).Msg("poll of the controller failed, switching to the next one")
		}
		s.switchController()
		ctxtime.Sleep(ctx, backoff(failures, rng))
		failures++
	}
}

// backoff returns the delay after a failed poll. It doubles with every failure and half of it is random, so
// that nodes that lost the same controller do not all connect to the next one at the same time.
func backoff(failures int, rng *rand.Rand) time.Duration {
	limit := min(minBackoff<<min(failures, 10), maxBackoff)
	return limit/2 + time.Duration(rng.Int64N(int64(limit/2)))
}

// poll polls the current controller once and applies the reply.
func (s *Session) poll(ctx context.Context) error {
	s.mu.Lock()
	snapshot := s.needsFullView
	s.mu.Unlock()
	request := &PollRequest{Announcement: s.announcement(), Wait: s.cfg.PollWait, Snapshot: snapshot}
	timeout := s.cfg.PollWait + pollTimeoutMargin
	if snapshot || request.Announcement.Applied == 0 {
		timeout = s.cfg.PollWait + viewTimeoutMargin
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := rpc.Call[PollReply](ctx, s.client(), ServiceName+".Poll", request)
	if err != nil {
		return err
	}
	s.metrics.Polls.Inc()
	return s.apply(reply)
}

// apply puts the view of a reply in force. The session reports the view as applied only after the handler
// has applied it, because operators wait for that.
func (s *Session) apply(reply *PollReply) error {
	s.mu.Lock()
	view, digest, err := s.nextView(reply)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	if view != nil {
		s.applyTraced(view, reply.View != nil)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if view != nil {
		s.view, s.digest, s.needsFullView = view, digest, false
	}
	if !s.needsFullView {
		s.confirmedAt = time.Now().Add(-max(reply.Age, 0))
	}
	return nil
}

// applyTraced passes a view to the handler, within a trace span if the view has a new revision.
func (s *Session) applyTraced(view *model.View, isFullView bool) {
	if view.Revision > s.Revision() {
		span := telemetry.StartChangeSpan(s.tel.Tracer, view.Trace, "node.apply",
			attribute.String("node", s.cfg.Name),
			attribute.String("role", string(s.cfg.Role)),
			attribute.Int64("revision", int64(view.Revision)),
			attribute.Int64("generation", int64(view.Generation)),
			attribute.Bool("whole_view", isFullView),
		)
		defer span.End()
	}
	s.handler.ApplyView(view)
}

// nextView returns the view that a reply leads to, or nil if it changes nothing.
func (s *Session) nextView(reply *PollReply) (*model.View, uint64, error) {
	switch {
	case reply.View != nil:
		return s.viewFromFull(reply.View)
	case reply.Delta != nil:
		return s.viewFromDelta(reply.Delta)
	}
	return nil, 0, nil
}

// viewFromFull returns a full view and its digest. It returns an error if the view is older than the one
// in force.
func (s *Session) viewFromFull(view *model.View) (*model.View, uint64, error) {
	if view.Generation < s.view.Generation || view.Revision < s.view.Revision {
		s.metrics.Refused.Inc()
		return nil, 0, result.New(result.StaleGeneration, "controller sent a view of generation %d, but %d is in force", view.Generation, s.view.Generation)
	}
	complete := view.Clone()
	if complete.Services == nil {
		complete.Services = map[model.ServiceID]model.Service{}
	}
	if complete.Targets == nil {
		complete.Targets = map[model.TargetID]model.Target{}
	}
	return complete, complete.Digest(), nil
}

// viewFromDelta returns the view after a delta, and its digest. If the view does not have the expected
// digest, it returns nil, and the next poll requests the full view. It returns an error if the delta leads to
// an older view.
func (s *Session) viewFromDelta(delta *model.Delta) (*model.View, uint64, error) {
	if delta.To <= s.view.Generation || delta.Revision < s.view.Revision {
		s.metrics.Refused.Inc()
		return nil, 0, result.New(result.StaleGeneration, "controller sent a delta to generation %d, but %d is in force", delta.To, s.view.Generation)
	}
	next := s.view.Clone()
	if next.Apply(delta) {
		if digest := next.Digest(); digest == delta.Digest {
			return next, digest, nil
		}
	}
	s.metrics.Mismatches.Inc()
	s.needsFullView = true
	return nil, 0, nil
}

// announceLoop sends the announcement after each call of AnnounceNow, while the controller may be holding a poll.
func (s *Session) announceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.announceWakeup:
		}
		a := s.announcement()
		if _, err := rpc.Call[AnnounceReply](ctx, s.client(), ServiceName+".Announce", &a); err != nil && ctx.Err() == nil {
			// The next poll contains the announcement too, so there is no retry.
			s.metrics.Errors.Inc()
		}
		ctxtime.Sleep(ctx, minAnnounceInterval)
	}
}

// Metrics are the counters of a session.
type Metrics struct {
	Polls, Errors, Refused, Mismatches prometheus.Counter
}

func newMetrics(r prometheus.Registerer, s *Session) (*Metrics, error) {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "greengagelock_session_" + name, Help: help})
	}
	m := &Metrics{
		Polls:      counter("polls_total", "Polls that a controller answered."),
		Errors:     counter("errors_total", "Calls to controllers that failed."),
		Refused:    counter("refused_total", "Views and deltas refused because they were older than the view in force."),
		Mismatches: counter("mismatches_total", "Deltas that did not lead to the expected view."),
	}
	age := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "greengagelock_session_control_age_seconds", Help: "Time since the view in force was known to be current.",
	}, func() float64 { return s.ControlAge().Seconds() })
	generation := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "greengagelock_session_generation", Help: "Generation in force.",
	}, func() float64 { return float64(s.Generation()) })
	for _, c := range []prometheus.Collector{m.Polls, m.Errors, m.Refused, m.Mismatches, age, generation} {
		if err := r.Register(c); err != nil {
			return nil, errors.Wrap(err, "register metrics")
		}
	}
	return m, nil
}

// Module provides a Session, given a Config, a Handler and a telemetry handle.
var Module = fx.Module("node", fx.Provide(New))
