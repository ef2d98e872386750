// Package relay is the datagram data path beside a target. It decides which SYNs the target is
// offered, remembers which flows the target owns, and passes on everything else. The target's word
// counts most: a packet that it returns is not of a flow that it has.
package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/decision"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/routing"
)

// Bounds of the relay.
const (
	// FlowLifetime is the time without packets after which a flow is forgotten. Both ends discard flows
	// that are idle for longer.
	FlowLifetime = 60 * time.Second
	// handshakeTimeout is the time after which a flow that did not open is taken as given up. A caller
	// gives up after 1.4 s.
	handshakeTimeout = 2 * time.Second
	// tokenCount bounds the packets that are at the target at the same time and may come back.
	tokenCount = 4096
	// staleRequest is the time after which a request without an answer no longer counts: its caller has
	// given up without a word, or its target has lost it. Work and queue of the users' targets take
	// below a second.
	staleRequest = 2 * time.Second
	// closedLinger is how long a flow that was reset or closed is remembered.
	closedLinger = 10 * time.Second
	// maxFlows bounds the memory of the flow table to about 4 MB.
	maxFlows = 32768
	// maxDisowned bounds the memory for flows that the target has returned to about 0.5 MB.
	maxDisowned = 8192
)

// Ports is where the relay sends packets to. Packets are valid until the call returns.
type Ports interface {
	ToTarget(raw []byte)
	ToCaller(to packet.Addr, raw []byte)
	ToNode(to hop.IP, datagram []byte)
}

// Config configures a Relay.
type Config struct {
	Codec   packet.Codec
	Service routing.ServiceID // of the target beside the relay
	Self    hop.IP
	// Decisions takes the log lines of flows; nil for none.
	Decisions *decision.Log
}

// Relay is the decision logic. It has no clock, goroutine or socket; one goroutine at a time may use
// it. Time is the duration since the start of the process.
type Relay struct {
	cfg   Config
	ports Ports
	Stats Stats

	target   Target
	replaced map[string]bool // IDs of incarnations that others have followed
	flows    map[packet.Key]*flow
	pending  [tokenCount]offer
	token    uint32
	load     meter
	// unanswered is the time of the oldest packet to the target since its last sign of life.
	unanswered time.Duration
	waiting    bool
	stopping   bool
	// complete is set when the flow table holds every flow of the target.
	complete bool
	// previous is what controllers know of the target of an earlier process, see Previous.
	previous    map[hop.IP]string
	controllers int

	// probes are the entry VMs that want to know whether the target has a flow.
	probes map[packet.Key]hop.IP
	// disowned are flows that the target has returned a packet of while the table is not complete.
	disowned map[packet.Key]struct{}

	// queue holds the requests that wait for a slot, in the order of their arrival. turn counts those that
	// were handed over.
	queue []*waiting
	turn  int

	surveys      map[uint32]*survey
	surveyNumber uint32

	message hop.Message // scratch
	out     []byte
}

// Stats counts what the relay has done. All counters only grow.
type Stats struct {
	Admitted, Passed, Refused, Returned, Bounced, WrongService uint64
	Delivered, ToCallers, Malformed, StaleAnswers              uint64
	FlowsReset, Opened, FindsAnswered, Unsure, Surveys         uint64
	Queued, QueuedLate, QueuedCopies                           uint64
}

// flowState is the state of a flow at the target.
type flowState uint8

const (
	halfOpen flowState = iota // SYN offered
	accepted                  // the target has answered the SYN
	open
	foreign // another target has won the handshake
	closed
)

type flow struct {
	state     flowState
	busy      bool // a request is in progress
	finished  bool // the caller sends no more requests
	callerISN uint32
	targetISN uint32
	next      uint32 // end of the caller's data seen so far
	callerAck uint32
	entry     hop.IP
	began     time.Duration
	seen      time.Duration
	asked     time.Duration // start of the request in progress
	waited    bool          // it found no free slot
	waiting   *waiting      // the request in progress has not been handed to the target
}

// offer is a packet at the target that may come back.
type offer struct {
	token      uint32
	entry      hop.IP
	service    uint64
	at         uint8
	best       uint8
	bestLoad   uint8
	count      uint8
	probe      bool
	candidates [hop.MaxChain]hop.IP
}

// New returns a relay.
func New(cfg Config, ports Ports) *Relay {
	return &Relay{
		cfg: cfg, ports: ports, flows: map[packet.Key]*flow{}, replaced: map[string]bool{}, previous: map[hop.IP]string{}, surveys: map[uint32]*survey{},
		probes: map[packet.Key]hop.IP{}, disowned: map[packet.Key]struct{}{},
	}
}

// FromNode takes in a datagram of an entry VM or another relay.
func (r *Relay) FromNode(now time.Duration, from hop.IP, datagram []byte) {
	m := &r.message
	if err := m.Parse(datagram); err != nil {
		r.Stats.Malformed++
		return
	}
	switch m.Kind {
	case hop.Forward:
		r.forward(now, m)
	case hop.FindMany:
		r.findMany(now, from, m)
	case hop.FoundMany:
		r.surveyAnswer(from, m)
	case hop.Survey:
		r.survey(now, from, m)
	default:
		r.Stats.Malformed++
	}
}

func (r *Relay) forward(now time.Duration, m *hop.Message) {
	v, err := r.cfg.Codec.Parse(m.Packet)
	if err != nil {
		r.Stats.Malformed++
		return
	}
	if v.Opens() {
		r.offer(now, m, &v)
		return
	}
	r.deliver(now, m, &v)
}

// offer decides on a SYN.
func (r *Relay) offer(now time.Duration, m *hop.Message, v *packet.View) {
	key := v.FromCaller()
	f := r.flows[key]
	if f != nil && f.callerISN == v.Seq && f.state <= open {
		// A copy of the SYN of a flow that this target has or may get.
		f.entry = m.Entry
		r.toTarget(now, m, f.state != open)
		return
	}
	if !r.admits(now, m) {
		r.note(now, decision.Passed, key, v.Seq, int(m.At), r.passCode())
		r.pass(m)
		return
	}
	if f != nil && f.busy {
		r.load.end(now)
	}
	if f == nil && len(r.flows) >= maxFlows {
		r.pass(m)
		return
	}
	r.note(now, decision.Taken, key, v.Seq, int(m.At), result.OK)
	delete(r.disowned, key)
	r.flows[key] = &flow{
		state: halfOpen, callerISN: v.Seq, next: v.Seq + 1, entry: m.Entry, began: now, seen: now,
	}
	r.toTarget(now, m, true)
}

// note logs a decision on a flow with the load of the target.
func (r *Relay) note(now time.Duration, kind decision.Kind, key packet.Key, seq uint32, tries int, code result.Code) {
	if r.cfg.Decisions == nil {
		return
	}
	r.cfg.Decisions.Note(now, decision.Decision{
		Kind: kind, Flow: key, Seq: seq, Target: r.cfg.Self, Busy: uint16(r.busy(now)), Slots: r.target.Slots, Tries: tries, Code: code,
	})
}

// passCode tells why a SYN is passed on.
func (r *Relay) passCode() result.Code {
	switch {
	case r.target.State == roster.Draining || r.stopping:
		return result.TargetDraining
	case r.target.State == roster.Ready:
		return result.NoFreeSlot
	}
	return result.AdmissionSuspended
}

// admits reports whether the target is offered a SYN. A target without a free slot takes it only if
// all other candidates were asked.
func (r *Relay) admits(now time.Duration, m *hop.Message) bool {
	if routing.ServiceID(m.Service) != r.cfg.Service {
		r.Stats.WrongService++
		return false
	}
	if !r.target.admits() || r.stopping {
		return false
	}
	busy := r.busy(now)
	if busy < int(r.target.Slots) {
		return true
	}
	if m.Final || len(m.Candidates) <= 1 {
		m.Busy = m.MaxWait > 0 && r.expectedWait(now) > time.Duration(m.MaxWait)*time.Millisecond
		return !m.Busy
	}
	if r.target.Slots > 0 {
		load := uint8(min(busy*8/int(r.target.Slots), 254)) // eighths of a request a slot
		if m.BestLoad == 0 || load < m.BestLoad {
			m.Best, m.BestLoad = m.At, max(load, 1)
		}
	}
	return false
}

// expectedWait is the time until a slot is free for one more request.
func (r *Relay) expectedWait(now time.Duration) time.Duration {
	slots := max(int(r.target.Slots), 1)
	ahead := r.busy(now) + 1 - slots
	return time.Duration(max(ahead, 0)) * r.load.serviceTime() / time.Duration(slots)
}

// busy is the number of requests in progress and of flows that are about to bring one.
func (r *Relay) busy(now time.Duration) int { return r.load.now(now) }

// pass hands a SYN to the next candidate, to the least loaded one after the last, or back to the
// entry VM.
func (r *Relay) pass(m *hop.Message) {
	next := int(m.At) + 1
	switch {
	case !m.Final && next < len(m.Candidates):
		m.At = uint8(next)
	case !m.Final && !m.Busy && m.BestLoad > 0:
		m.Final, m.At = true, m.Best // this relay itself, perhaps
	default:
		r.Stats.Refused++
		m.Kind = hop.Refused
		r.toNode(m.Entry, m)
		return
	}
	r.Stats.Passed++
	r.toNode(m.Candidates[m.At], m)
}

func (r *Relay) toNode(to hop.IP, m *hop.Message) {
	r.out = m.Append(r.out[:0])
	r.ports.ToNode(to, r.out)
}

// Load returns how busy the target is.
func (r *Relay) Load(now time.Duration) hop.Load {
	return hop.Load{Busy: uint16(min(r.load.now(now), 65535)), Mean: r.load.mean(now)}
}

// Flows returns the number of flows in the table, closed ones included.
func (r *Relay) Flows() int { return len(r.flows) }

// Stop ends admission because the process is stopping.
func (r *Relay) Stop() { r.stopping = true }

// Sweep forgets flows whose time is over. The caller calls it about once a second.
func (r *Relay) Sweep(now time.Duration) {
	clear(r.probes) // a target answers within milliseconds
	for key, f := range r.flows {
		limit := FlowLifetime
		switch f.state {
		case halfOpen, accepted:
			limit = handshakeTimeout + closedLinger
		case closed, foreign:
			limit = closedLinger
		}
		if f.busy && now-f.asked > staleRequest {
			if f.waiting != nil {
				r.handOver(now, f.waiting)
			}
			r.finish(now, f)
		}
		if now-f.seen > limit {
			r.finish(now, f)
			delete(r.flows, key)
		}
	}
	if !r.complete && now > FlowLifetime {
		r.complete = true
	}
	if r.complete {
		clear(r.disowned)
	}
}

// resetAll ends all open flows at their callers, because the target has lost them.
func (r *Relay) resetAll(now time.Duration) {
	for _, w := range slices.Clone(r.queue) {
		r.unqueue(w)
	}
	// In a fixed order, so that tests can repeat what happens.
	for _, key := range slices.SortedFunc(maps.Keys(r.flows), packet.Key.Compare) {
		f := r.flows[key]
		if f.state == open {
			r.Stats.FlowsReset++
			r.note(now, decision.Reset, key, f.callerISN, 0, result.TargetNotFound)
			r.ports.ToCaller(key.Caller, r.cfg.Codec.Reset(key, f.callerAck))
		}
		r.finish(now, f)
	}
	clear(r.flows)
	r.load.reset()
}

// State returns the state of the target for the roster.
func (r *Relay) State() roster.State {
	if r.stopping && r.target.State == roster.Ready {
		return roster.Draining
	}
	return r.target.State
}
