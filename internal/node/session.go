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

// Defaults and bounds of a session.
const (
	// DefaultPollWait is a third of the lease of a session.
	DefaultPollWait = MaxWait
	// callSlack is what a poll may take on top of the wait.
	callSlack = 500 * time.Millisecond
	// viewSlack is what a poll that asks for a whole view may take on top of the wait: a read
	// barrier and the transfer.
	viewSlack = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed poll.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// announcePause bounds how often changes of the announcement are sent.
	announcePause = 50 * time.Millisecond
	// FailoverTime is the longest time between two polls that reach a controller when the one in
	// use goes silent: a poll that was held, one that got lost, and the pause. It is below the
	// lease, so that the failure of a controller costs no target its lease.
	FailoverTime = 2*MaxWait + callSlack + minBackoff
)

// Config configures a session.
type Config struct {
	Name        string
	Role        model.Role
	Controllers []string // addresses
	TLS         rpc.Files
	// PollWait is how long a controller holds a poll; at most MaxWait.
	PollWait time.Duration
	// Incarnation tells apart the processes that run under the name one after the other; if it is
	// zero, the time of the start is taken.
	Incarnation uint64
}

// Session keeps a node up to date. It is safe for concurrent use.
type Session struct {
	cfg     Config
	handler Handler
	tel     telemetry.Handle
	metrics *Metrics
	clients []*rpc.Client
	notify  chan struct{}

	mu      sync.Mutex
	view    *model.View // in force; never changed
	digest  uint64
	current time.Time // when the view was last known to be current
	at      int       // controller in use
	resync  bool      // the next poll asks for the whole view
}

// New returns a session for a node.
func New(cfg Config, handler Handler, t telemetry.Handle) (*Session, error) {
	if cfg.Name == "" || len(cfg.Controllers) == 0 {
		return nil, result.New(result.SettingsInvalid, "a session needs the name of the node and the addresses of controllers")
	}
	if cfg.PollWait <= 0 || cfg.PollWait > MaxWait {
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
		cfg: cfg, handler: handler, tel: t, notify: make(chan struct{}, 1),
		view: model.NewView(), current: time.Now(),
	}
	s.digest = s.view.Digest()
	s.at = int(xxhash.Sum64String(cfg.Name) % uint64(len(cfg.Controllers)))
	for _, address := range cfg.Controllers {
		s.clients = append(s.clients, rpc.NewClient(rpc.ClientConfig{
			Address: address, Role: model.RoleController, Credentials: credentials,
			DialTimeout: callSlack, CallTimeout: cfg.PollWait + viewSlack,
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
	wg.Go(func() { s.announceChanges(ctx) })
	s.pollUntil(ctx)
	wg.Wait()
	return nil
}

func (s *Session) close() {
	for _, c := range s.clients {
		c.Close()
	}
}

// Notify says that the announcement has changed, so that it is sent before the next poll.
func (s *Session) Notify() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// ControlAge returns how long ago the view in force was known to be current.
func (s *Session) ControlAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.current)
}

// Generation returns the generation in force.
func (s *Session) Generation() model.Generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Generation
}

// Revision returns the configuration in force.
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
	return s.clients[s.at]
}

func (s *Session) rotate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = (s.at + 1) % len(s.clients)
}

func (s *Session) pollUntil(ctx context.Context) {
	seed := xxhash.Sum64String(s.cfg.Name)
	random := rand.New(rand.NewPCG(seed, seed))
	failures := 0
	for ctx.Err() == nil {
		err := s.poll(ctx)
		if err == nil {
			if failures > 0 {
				s.tel.Logger.Info().Str("node", s.cfg.Name).Msg("session with control restored")
			}
			failures = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		s.metrics.Errors.Inc()
		if failures == 0 {
			s.tel.Logger.Warn().Str("node", s.cfg.Name).Err(err).Msg("session with control failed, trying the next controller")
		}
		s.rotate()
		ctxtime.Sleep(ctx, backoff(failures, random))
		failures++
	}
}

// backoff returns the pause after a failure: it doubles after each, with half of it random, so
// that nodes that lost the same controller do not come to the next one at the same moment.
func backoff(failures int, random *rand.Rand) time.Duration {
	limit := min(minBackoff<<min(failures, 10), maxBackoff)
	return limit/2 + time.Duration(random.Int64N(int64(limit/2)))
}

func (s *Session) poll(ctx context.Context) error {
	s.mu.Lock()
	snapshot := s.resync
	s.mu.Unlock()
	request := &PollRequest{Announcement: s.announcement(), Wait: s.cfg.PollWait, Snapshot: snapshot}
	limit := s.cfg.PollWait + callSlack
	if snapshot || request.Announcement.Applied == 0 {
		limit = s.cfg.PollWait + viewSlack
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := rpc.Call[PollReply](ctx, s.client(), ServiceName+".Poll", request)
	if err != nil {
		return err
	}
	s.metrics.Polls.Inc()
	return s.apply(reply)
}

// apply puts what a reply brings in force. A view counts as applied only after the handler has
// taken it, since operators wait for that.
func (s *Session) apply(reply *PollReply) error {
	s.mu.Lock()
	view, digest, err := s.next(reply)
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
		s.view, s.digest, s.resync = view, digest, false
	}
	if !s.resync {
		s.current = time.Now().Add(-max(reply.Age, 0))
	}
	return nil
}

// applyTraced hands a view to the handler, within a span if it brings a new revision.
func (s *Session) applyTraced(view *model.View, whole bool) {
	if view.Revision > s.Revision() {
		span := telemetry.StartChangeSpan(s.tel.Tracer, view.Trace, "node.apply",
			attribute.String("node", s.cfg.Name),
			attribute.String("role", string(s.cfg.Role)),
			attribute.Int64("revision", int64(view.Revision)),
			attribute.Int64("generation", int64(view.Generation)),
			attribute.Bool("whole_view", whole),
		)
		defer span.End()
	}
	s.handler.ApplyView(view)
}

// next returns the view that a reply leads to, or nil if it changes nothing.
func (s *Session) next(reply *PollReply) (*model.View, uint64, error) {
	switch {
	case reply.View != nil:
		return s.replace(reply.View)
	case reply.Delta != nil:
		return s.advance(reply.Delta)
	}
	return nil, 0, nil
}

func (s *Session) replace(view *model.View) (*model.View, uint64, error) {
	if view.Generation < s.view.Generation || view.Revision < s.view.Revision {
		s.metrics.Refused.Inc()
		return nil, 0, result.New(result.StaleGeneration, "controller sent generation %d, %d is in force", view.Generation, s.view.Generation)
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

// advance applies a delta. A view that does not have the expected digest is not put in force; the
// next poll asks for the whole view instead.
func (s *Session) advance(delta *model.Delta) (*model.View, uint64, error) {
	if delta.To <= s.view.Generation || delta.Revision < s.view.Revision {
		s.metrics.Refused.Inc()
		return nil, 0, result.New(result.StaleGeneration, "controller sent generation %d, %d is in force", delta.To, s.view.Generation)
	}
	next := s.view.Clone()
	if next.Apply(delta) {
		if digest := next.Digest(); digest == delta.Digest {
			return next, digest, nil
		}
	}
	s.metrics.Mismatches.Inc()
	s.resync = true
	return nil, 0, nil
}

// announceChanges sends the announcement when it has changed, next to the poll that is held by
// the controller.
func (s *Session) announceChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.notify:
		}
		a := s.announcement()
		if _, err := rpc.Call[AnnounceReply](ctx, s.client(), ServiceName+".Announce", &a); err != nil && ctx.Err() == nil {
			// The next poll carries the announcement as well.
			s.metrics.Errors.Inc()
		}
		ctxtime.Sleep(ctx, announcePause)
	}
}

// Metrics counts what a session does.
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

// Module provides a Session from a Config, a Handler and a telemetry handle.
var Module = fx.Module("node", fx.Provide(New))
