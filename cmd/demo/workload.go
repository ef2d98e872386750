package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/standin"
)

// trafficProfile says how much traffic the callers generate.
type trafficProfile struct {
	streams     int     // per service
	utilization float64 // mean share of the slots that requests take
}

var (
	demoTraffic = trafficProfile{streams: 60, utilization: 0.4}
	// trialTraffic is light, so that the effect of a single command shows.
	trialTraffic = trafficProfile{streams: 20, utilization: 0.05}
)

const (
	// stallTimeout is the time without a line after which a caller takes a stream for broken.
	stallTimeout = 10 * time.Second
	// requestTimeout bounds the wait of a caller for an answer, or for a stream to open.
	requestTimeout = 15 * time.Second
	// maxRequestsInFlight bounds the requests of one service that are in flight at the same time.
	maxRequestsInFlight = 512
	// answerBytes is the size of an answer, which takes several packets.
	answerBytes = 6000
	// retryPause is the pause before a caller opens a stream again after one did not open.
	retryPause = 250 * time.Millisecond
)

// serviceLoad holds the traffic of one service and what its callers have seen of it.
type serviceLoad struct {
	standin.Endpoint
	class model.FlowClass
	slots int // of all targets together

	opened, broken, notRun atomic.Int64
	streamsOpen            atomic.Int64                   // number of open streams
	lastStream             atomic.Pointer[standin.Stream] // the last one opened
	brokenAtTarget         int64

	mu        sync.Mutex
	notRunIDs []string       // streams and requests that were reported as not run
	reasons   map[string]int // number of these by reason
	failures  []error
}

// workload generates the traffic of all services.
type workload struct {
	traffic trafficProfile
	callers []*standin.Caller
	loads   []*serviceLoad
	group   sync.WaitGroup
}

// run sends requests and keeps streams open until ctx is done. It returns when all have ended.
func (w *workload) run(ctx context.Context) {
	for i, l := range w.loads {
		if l.class == model.ClassRequest {
			w.group.Go(func() { w.submitRequests(ctx, l, uint64(i)) })
			continue
		}
		for number := range w.traffic.streams {
			w.group.Go(func() { w.holdStream(ctx, l, number) })
		}
	}
	w.group.Wait()
}

func (w *workload) caller(number int) *standin.Caller {
	return w.callers[number%len(w.callers)]
}

// holdStream keeps one stream open and opens a new one if it breaks or did not open. A stream that ends
// before ctx is done is broken.
func (w *workload) holdStream(ctx context.Context, l *serviceLoad, number int) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		id := fmt.Sprintf("%s-%d-%d", l.Service, number, attempt)
		s, err := w.openStream(ctx, l, number, id)
		if err != nil {
			l.recordNotRun(id, err)
			ctxtime.Sleep(ctx, retryPause)
			continue
		}
		l.opened.Add(1)
		l.streamsOpen.Add(1)
		l.lastStream.Store(s)
		if err := receive(ctx, s); err != nil {
			l.recordBroken(fmt.Errorf("stream %s from %s: %w", id, s.LocalAddr(), err))
		}
		l.streamsOpen.Add(-1)
		// If End fails, the target counts the stream as broken.
		_ = s.End()
	}
}

func (w *workload) openStream(ctx context.Context, l *serviceLoad, number int, id string) (*standin.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return w.caller(number).OpenStream(ctx, l.Endpoint, id)
}

// receive reads lines until ctx is done. It then checks by an echo that the stream works in both directions.
func receive(ctx context.Context, s *standin.Stream) error {
	for ctx.Err() == nil {
		if err := s.SetDeadline(time.Now().Add(stallTimeout)); err != nil {
			return err
		}
		if err := s.Receive(); err != nil {
			return err
		}
	}
	if err := s.SetDeadline(time.Now().Add(stallTimeout)); err != nil {
		return err
	}
	return s.Echo("still here")
}

// submitRequests sends requests with exponentially distributed gaps, without waiting for their answers.
func (w *workload) submitRequests(ctx context.Context, l *serviceLoad, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	rate := w.traffic.utilization * float64(l.slots) / serviceTime.Seconds()
	inFlight := make(chan struct{}, maxRequestsInFlight)
	for number := 0; ; number++ {
		ctxtime.Sleep(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second)))
		if ctx.Err() != nil {
			return
		}
		inFlight <- struct{}{}
		w.group.Go(func() {
			defer func() { <-inFlight }()
			w.sendRequest(l, number)
		})
	}
}

func (w *workload) sendRequest(l *serviceLoad, number int) {
	// The end of the workload does not abort a request that has been sent.
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	id := fmt.Sprintf("%s-%d", l.Service, number)
	outcome, err := w.caller(number).Request(ctx, l.Endpoint, id, answerBytes)
	if outcome == standin.OutcomeNotRun {
		l.recordNotRun(id, err)
		return
	}
	l.opened.Add(1)
	if outcome == standin.OutcomeUnknown {
		l.recordBroken(fmt.Errorf("request %s: %w", id, err))
	}
}

// recordNotRun records a stream or request that was reported as not run, with the reason.
func (l *serviceLoad) recordNotRun(id string, err error) {
	l.notRun.Add(1)
	reason := err.Error()
	var refusal *standin.Refusal
	if errors.As(err, &refusal) {
		reason, _, _ = strings.Cut(refusal.Reason, " ")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notRunIDs = append(l.notRunIDs, id)
	l.reasons[reason]++
}

// recordBroken records a broken stream, or a request whose outcome is unknown.
func (l *serviceLoad) recordBroken(err error) {
	l.broken.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, err)
}

// failuresFrom returns the failures without the first count ones.
func (l *serviceLoad) failuresFrom(count int) []error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.failures[count:])
}

// refusedAndRun counts the requests that ran although they were reported as not run.
func (l *serviceLoad) refusedAndRun(ledger *standin.Ledger) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, id := range l.notRunIDs {
		if ledger.Runs(l.Service, id) > 0 {
			count++
		}
	}
	return count
}

// joinedFailures returns all failures as one error.
func (l *serviceLoad) joinedFailures() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return errors.Join(l.failures...)
}
