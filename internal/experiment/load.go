// Package experiment compares the placement and admission policy with a plain consistent hash and
// with least connections, in a simulation with discrete events, a fixed seed and no real time.
//
// The admission at a target is a model: slots, a queue with an estimated wait, and a bound on the
// wait. The rankings come from package placement.
package experiment

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/placement"
)

// Policy is a way to choose a target for a request.
type Policy string

// Policies.
const (
	// Chain offers a request to the candidates in order; the first with a free slot takes it, else
	// the one with the shortest estimated wait queues it. A free slot goes to the request that has
	// waited longest at any target.
	Chain Policy = "chain"
	// PlainHash sends a request to the first candidate of the ranking, whatever its load.
	PlainHash Policy = "plain hash"
	// LeastConnections sends a request to the target with the fewest connections by the last load
	// report and by what the balancer itself has sent since.
	LeastConnections Policy = "least connections"
	// SharedQueue is the bound for every policy: all slots behind one queue, as if each request
	// could wait at every target at once.
	SharedQueue Policy = "one shared queue (bound)"
)

// Policies lists all policies in the order of the tables.
var Policies = []Policy{Chain, PlainHash, LeastConnections, SharedQueue}

// Scenario describes one run.
type Scenario struct {
	Policy  Policy
	Targets int
	Slots   int     // per target
	Load    float64 // offered load as a share of all slots
	// Mean is the mean time that a request holds its slot, distributed exponentially.
	Mean     time.Duration
	MaxWait  time.Duration // in the queue; zero for no queue
	Requests int
	Seed     uint64
	// Balancers, ReportEvery and ReportDelay matter to LeastConnections: each balancer knows the
	// reports and its own requests only.
	Balancers   int
	ReportEvery time.Duration
	ReportDelay time.Duration
}

// Result is what came of a run.
type Result struct {
	Requests, Refused, Queued int
	Hops, MaxHops             int
	PerTarget                 []int // admitted requests
}

// RefusedShare returns the share of requests that were refused.
func (r *Result) RefusedShare() float64 { return float64(r.Refused) / float64(r.Requests) }

// QueuedShare returns the share of requests that waited in a queue, whatever came of them.
func (r *Result) QueuedShare() float64 { return float64(r.Queued) / float64(r.Requests) }

// MeanHops returns the mean number of agents that a request visited.
func (r *Result) MeanHops() float64 { return float64(r.Hops) / float64(r.Requests) }

// Imbalance returns the largest number of requests of a target over the mean.
func (r *Result) Imbalance() float64 {
	largest, sum := 0, 0
	for _, n := range r.PerTarget {
		largest = max(largest, n)
		sum += n
	}
	return float64(largest) * float64(len(r.PerTarget)) / float64(sum)
}

// eventKind says what happens at an event.
type eventKind uint8

const (
	arrival eventKind = iota
	departure
	expiry
	report
	reportArrival
)

// event is an entry of the queue. Events at the same time run in the order of their creation.
type event struct {
	at      time.Duration
	order   uint64
	kind    eventKind
	target  int
	request *request
	busy    []int // of a report
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

type request struct {
	hold   time.Duration
	bucket placement.Bucket
	origin int // balancer
	done   bool
	since  time.Duration // in a queue
}

// target models admission at one target.
type target struct {
	busy  int
	queue []*request
}

// simulation is the state of a run.
type simulation struct {
	Scenario
	random   *rand.Rand
	events   eventQueue
	order    uint64
	now      time.Duration
	targets  []target
	rankings [][]int // per bucket
	reported []int
	sent     [][]int // per balancer and target, since the last report
	result   Result
}

// Run runs a scenario.
func Run(s Scenario) Result {
	if s.Policy == SharedQueue {
		s.Policy, s.Targets, s.Slots = PlainHash, 1, s.Targets*s.Slots
	}
	sim := &simulation{
		Scenario: s,
		random:   rand.New(rand.NewPCG(s.Seed, 1)),
		targets:  make([]target, s.Targets),
		reported: make([]int, s.Targets),
		rankings: rankings(s.Targets),
		result:   Result{Requests: s.Requests, PerTarget: make([]int, s.Targets)},
	}
	for range s.Balancers {
		sim.sent = append(sim.sent, make([]int, s.Targets))
	}
	sim.schedule(event{kind: arrival}, sim.gap())
	sim.schedule(event{kind: report}, s.ReportEvery)
	for arrived := 0; arrived < s.Requests; {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		if e.kind == arrival {
			arrived++
		}
		sim.handle(e)
	}
	return sim.result
}

// rankings returns the order of the targets in each bucket.
func rankings(targets int) [][]int {
	view := model.NewView()
	view.Services[1] = model.Service{ID: 1, Generation: 1}
	for i := range targets {
		id := model.TargetID(i + 1)
		view.Targets[id] = model.Target{ID: id, Service: 1}
	}
	table, _ := placement.Build(nil, view)
	orders := make([][]int, placement.BucketCount)
	for bucket := range orders {
		for _, t := range table.Service(1).FullChain(placement.Admitting, placement.Bucket(bucket)) {
			orders[bucket] = append(orders[bucket], int(t.ID)-1)
		}
	}
	return orders
}

func (s *simulation) schedule(e event, after time.Duration) {
	s.order++
	e.order = s.order
	e.at = s.now + after
	heap.Push(&s.events, e)
}

// gap returns the time to the next arrival.
func (s *simulation) gap() time.Duration {
	perMean := s.Load * float64(s.Targets*s.Slots)
	return time.Duration(s.random.ExpFloat64() * float64(s.Mean) / perMean)
}

func (s *simulation) handle(e event) {
	switch e.kind {
	case arrival:
		// All random values are drawn here, so that every policy sees the same requests.
		r := &request{
			hold:   time.Duration(s.random.ExpFloat64() * float64(s.Mean)),
			bucket: placement.Bucket(s.random.IntN(placement.BucketCount)),
			origin: s.random.IntN(s.Balancers),
		}
		s.schedule(event{kind: arrival}, s.gap())
		s.place(r)
	case departure:
		s.depart(e.target)
	case expiry:
		if !e.request.done {
			e.request.done = true
			s.result.Refused++
		}
	case report:
		busy := make([]int, len(s.targets))
		for i := range s.targets {
			busy[i] = s.targets[i].busy + s.waiting(i)
		}
		s.schedule(event{kind: reportArrival, busy: busy}, s.ReportDelay)
		s.schedule(event{kind: report}, s.ReportEvery)
	case reportArrival:
		s.reported = e.busy
		for _, sent := range s.sent {
			clear(sent)
		}
	}
}
