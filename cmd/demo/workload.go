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

// traffic is how much the callers do.
type traffic struct {
	streams     int     // per service
	utilization float64 // share of the slots that requests take on average
}

var (
	demoTraffic = traffic{streams: 60, utilization: 0.4}
	// trialTraffic leaves room to see the effect of single commands.
	trialTraffic = traffic{streams: 20, utilization: 0.05}
)

const (
	// stallLimit is the time without a line after which a caller aborts a stream.
	stallLimit = 10 * time.Second
	// requestLimit is the time that a caller waits for an answer.
	requestLimit = 15 * time.Second
	// requestsInFlight bounds the requests of one service that wait at the same time.
	requestsInFlight = 512
	// answerBytes spans several packets.
	answerBytes = 6000
	// reopenPause keeps a refused caller from trying again at once.
	reopenPause = 250 * time.Millisecond
)

// load is the traffic of one service, as its callers see it.
type load struct {
	standin.Endpoint
	class model.FlowClass
	slots int // of all targets together

	opened, broken, notRun atomic.Int64
	held                   atomic.Int64                   // streams that are open now
	last                   atomic.Pointer[standin.Stream] // opened last
	brokenAtTarget         int64

	mu      sync.Mutex
	refused []string       // identifiers of requests that were reported as not run
	reasons map[string]int // of these and of streams that did not open
	faults  []error
}

// workload drives all services.
type workload struct {
	traffic traffic
	callers []*standin.Caller
	loads   []*load
	group   sync.WaitGroup
}

// run submits requests and holds streams until ctx is done, and then ends them in order.
func (w *workload) run(ctx context.Context) {
	for i, l := range w.loads {
		if l.class == model.ClassRequest {
			w.group.Go(func() { w.submit(ctx, l, uint64(i)) })
			continue
		}
		for number := range w.traffic.streams {
			w.group.Go(func() { w.hold(ctx, l, number) })
		}
	}
	w.group.Wait()
}

func (w *workload) caller(number int) *standin.Caller {
	return w.callers[number%len(w.callers)]
}

// hold keeps one stream open. A stream that ends before the callers close it is broken.
func (w *workload) hold(ctx context.Context, l *load, number int) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		id := fmt.Sprintf("%s-%d-%d", l.Service, number, attempt)
		s, err := w.open(ctx, l, number, id)
		if err != nil {
			l.refuse(id, err)
			ctxtime.Sleep(ctx, reopenPause)
			continue
		}
		l.opened.Add(1)
		l.held.Add(1)
		l.last.Store(s)
		if err := receive(ctx, s); err != nil {
			l.fail(fmt.Errorf("stream %s from %s: %w", id, s.LocalAddr(), err))
		}
		l.held.Add(-1)
		// The target has counted the stream if it is broken.
		_ = s.End()
	}
}

func (w *workload) open(ctx context.Context, l *load, number int, id string) (*standin.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	return w.caller(number).OpenStream(ctx, l.Endpoint, id)
}

// receive reads lines until ctx is done. It then checks that the stream still works both ways.
func receive(ctx context.Context, s *standin.Stream) error {
	for ctx.Err() == nil {
		if err := s.SetDeadline(time.Now().Add(stallLimit)); err != nil {
			return err
		}
		if err := s.Receive(); err != nil {
			return err
		}
	}
	if err := s.SetDeadline(time.Now().Add(stallLimit)); err != nil {
		return err
	}
	return s.Echo("still here")
}

// submit sends requests at random times, independent of the answers.
func (w *workload) submit(ctx context.Context, l *load, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	rate := w.traffic.utilization * float64(l.slots) / serviceTime.Seconds()
	free := make(chan struct{}, requestsInFlight)
	for number := 0; ; number++ {
		ctxtime.Sleep(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second)))
		if ctx.Err() != nil {
			return
		}
		free <- struct{}{}
		w.group.Go(func() {
			defer func() { <-free }()
			w.request(l, number)
		})
	}
}

func (w *workload) request(l *load, number int) {
	// A request that has been sent is waited for, whatever ends the workload.
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
	defer cancel()
	id := fmt.Sprintf("%s-%d", l.Service, number)
	outcome, err := w.caller(number).Request(ctx, l.Endpoint, id, answerBytes)
	if outcome == standin.OutcomeNotRun {
		l.refuse(id, err)
		return
	}
	l.opened.Add(1)
	if outcome == standin.OutcomeUnknown {
		l.fail(fmt.Errorf("request %s: %w", id, err))
	}
}

// refuse notes that a stream or request was reported as not run.
func (l *load) refuse(id string, err error) {
	l.notRun.Add(1)
	reason := err.Error()
	var refusal *standin.Refusal
	if errors.As(err, &refusal) {
		reason, _, _ = strings.Cut(refusal.Reason, " ")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused = append(l.refused, id)
	l.reasons[reason]++
}

func (l *load) fail(err error) {
	l.broken.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, err)
}

// faultsAfter returns what broke flows, without the first ones.
func (l *load) faultsAfter(count int) []error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.faults[count:])
}

// refusedAndRun counts the requests that were reported as not run and ran.
func (l *load) refusedAndRun(ledger *standin.Ledger) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, id := range l.refused {
		if ledger.Runs(l.Service, id) > 0 {
			count++
		}
	}
	return count
}

func (l *load) err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return errors.Join(l.faults...)
}
