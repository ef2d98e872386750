// Package experiment compares the placement and admission policy with a plain consistent hash and
// with least connections, in a discrete-event simulation with a fixed seed and simulated time.
//
// Admission at a target is modeled: slots, a queue with an estimated wait, and a limit on the wait.
// The rankings come from package placement.
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
	// Chain offers a request to the candidates in order. The first one with a free slot admits it;
	// if there is none, the one with the shortest estimated wait queues it. A slot that becomes free
	// goes to the request that has waited longest at any target.
	Chain Policy = "chain"
	// PlainHash sends a request to the first candidate of the ranking, regardless of its load.
	PlainHash Policy = "plain hash"
	// LeastConnections sends a request to the target with the fewest connections: those of the last
	// load report plus those that the balancer itself has sent since.
	LeastConnections Policy = "least connections"
	// SharedQueue is the theoretical bound for every policy: one queue in front of all slots, as if
	// each request could wait at every target at once.
	SharedQueue Policy = "one shared queue (bound)"
)

// Policies lists all policies in the order of the tables.
var Policies = []Policy{Chain, PlainHash, LeastConnections, SharedQueue}

// Scenario holds the parameters of one run.
type Scenario struct {
	Policy  Policy
	Targets int
	Slots   int     // per target
	Load    float64 // offered load as a share of all slots
	// Mean is the mean of the time that a request holds its slot, which is exponentially distributed.
	Mean     time.Duration
	MaxWait  time.Duration // in the queue; zero for no queue
	Requests int
	Seed     uint64
	// Balancers, ReportEvery and ReportDelay apply to LeastConnections: each balancer knows only the
	// load reports and its own requests.
	Balancers   int
	ReportEvery time.Duration
	ReportDelay time.Duration
}

// Result holds the counts of a run.
type Result struct {
	Requests, Refused, Queued int
	Hops, MaxHops             int
	PerTarget                 []int // admitted requests
}

// RefusedShare returns the share of requests that were refused.
func (r *Result) RefusedShare() float64 { return float64(r.Refused) / float64(r.Requests) }

// QueuedShare returns the share of requests that entered a queue, whether admitted later or not.
func (r *Result) QueuedShare() float64 { return float64(r.Queued) / float64(r.Requests) }

// MeanHops returns the mean number of agents that a request visited.
func (r *Result) MeanHops() float64 { return float64(r.Hops) / float64(r.Requests) }

// Imbalance returns the largest number of requests admitted by a target, divided by the mean of the targets.
func (r *Result) Imbalance() float64 {
	largest, sum := 0, 0
	for _, n := range r.PerTarget {
		largest = max(largest, n)
		sum += n
	}
	return float64(largest) * float64(len(r.PerTarget)) / float64(sum)
}

// eventKind is the kind of a simulation event.
type eventKind uint8

const (
	arrival eventKind = iota
	departure
	queueTimeout
	reportSent
	reportReceived
)

// event is an entry of the event queue. Events at the same time run in the order in which they were scheduled.
type event struct {
	at          time.Duration
	sequence    uint64
	kind        eventKind
	target      int
	request     *request
	connections []int // per target, of a load report
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
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
	holdTime time.Duration
	bucket   placement.Bucket
	balancer int // index of the balancer that received it
	decided  bool
	queuedAt time.Duration // simulated time at which it entered a queue
}

// target is the state of admission at one target.
type target struct {
	busySlots int
	queue     []*request
}

// simulation is the state of one run.
type simulation struct {
	Scenario
	random          *rand.Rand
	events          eventQueue
	eventsScheduled uint64
	now             time.Duration
	targets         []target
	rankings        [][]int // per bucket
	reportedConns   []int
	sentSinceReport [][]int // per balancer and target, since the last report
	result          Result
}

// Run simulates a scenario until its last request has arrived.
func Run(s Scenario) Result {
	if s.Policy == SharedQueue {
		s.Policy, s.Targets, s.Slots = PlainHash, 1, s.Targets*s.Slots
	}
	sim := &simulation{
		Scenario:      s,
		random:        rand.New(rand.NewPCG(s.Seed, 1)),
		targets:       make([]target, s.Targets),
		reportedConns: make([]int, s.Targets),
		rankings:      rankings(s.Targets),
		result:        Result{Requests: s.Requests, PerTarget: make([]int, s.Targets)},
	}
	for range s.Balancers {
		sim.sentSinceReport = append(sim.sentSinceReport, make([]int, s.Targets))
	}
	sim.schedule(event{kind: arrival}, sim.interarrivalTime())
	sim.schedule(event{kind: reportSent}, s.ReportEvery)
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

// rankings returns the ranked target indexes of each bucket.
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
	s.eventsScheduled++
	e.sequence = s.eventsScheduled
	e.at = s.now + after
	heap.Push(&s.events, e)
}

// interarrivalTime returns the time to the next arrival.
func (s *simulation) interarrivalTime() time.Duration {
	arrivalsPerMean := s.Load * float64(s.Targets*s.Slots)
	return time.Duration(s.random.ExpFloat64() * float64(s.Mean) / arrivalsPerMean)
}

func (s *simulation) handle(e event) {
	switch e.kind {
	case arrival:
		// All random values are drawn here, so that every policy sees the same requests.
		r := &request{
			holdTime: time.Duration(s.random.ExpFloat64() * float64(s.Mean)),
			bucket:   placement.Bucket(s.random.IntN(placement.BucketCount)),
			balancer: s.random.IntN(s.Balancers),
		}
		s.schedule(event{kind: arrival}, s.interarrivalTime())
		s.place(r)
	case departure:
		s.freeSlot(e.target)
	case queueTimeout:
		if !e.request.decided {
			e.request.decided = true
			s.result.Refused++
		}
	case reportSent:
		connections := make([]int, len(s.targets))
		for i := range s.targets {
			connections[i] = s.targets[i].busySlots + s.waitingRequests(i)
		}
		s.schedule(event{kind: reportReceived, connections: connections}, s.ReportDelay)
		s.schedule(event{kind: reportSent}, s.ReportEvery)
	case reportReceived:
		s.reportedConns = e.connections
		for _, sent := range s.sentSinceReport {
			clear(sent)
		}
	}
}
