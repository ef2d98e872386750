// Package relay is the datagram data path beside a target. It decides which SYNs are offered to the target,
// tracks the flows that the target owns, queues requests while no slot is free, and passes all other packets
// on. Only the target knows for certain: a packet that it returns is not of one of its flows.
//
// An entry VM sends packets in hop.Forward; the relay passes a SYN on to the next candidate or answers with
// hop.Admitted or hop.Refused, and returns packets of unknown flows in hop.Returned. hop.OwnerQuery asks which
// flows the target owns (answer: hop.OwnerReply); hop.FanoutQuery has the relay ask many other relays on behalf
// of an entry VM (answer: hop.FanoutReply). A Forward with Probe asks the target itself (answer: hop.ProbeOwned
// or hop.ProbeNotOwned).
//
// A flow is halfOpen, accepted, open, ownedElsewhere or closed; see flowState. The target's state for the
// roster is ready, draining, silent, down or unknown.
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

// Timeouts and limits of the relay.
const (
	// flowIdleTimeout is the time without packets after which a flow is removed. Both ends discard flows that
	// are idle for longer.
	flowIdleTimeout = 60 * time.Second
	// handshakeTimeout is the time after which a flow that did not open counts as abandoned. Callers give up
	// after 1.4 s.
	handshakeTimeout = 2 * time.Second
	// maxInflight bounds the packets that are at the target at the same time and may be returned.
	maxInflight = 4096
	// maxRequestAge is the time after which a request without an answer no longer counts: its caller has
	// given up silently, or the target has lost it. Queueing and work at users' targets take less than a
	// second.
	maxRequestAge = 2 * time.Second
	// closedFlowRetention is the time for which a closed or reset flow stays in the table.
	closedFlowRetention = 10 * time.Second
	// maxFlows bounds the memory of the flow table to about 4 MB.
	maxFlows = 32768
	// maxReturnedFlows bounds the memory for flows that the target has returned to about 0.5 MB.
	maxReturnedFlows = 8192
)

// Ports sends packets for the relay. Packets are valid until the call returns.
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
	// FirstFanout numbers the lookups at other relays. It is random in each process, so that a late answer to an earlier process
	// is not taken for one to another lookup.
	FirstFanout uint32
	// Decisions receives the log lines of flows; nil for none.
	Decisions *decision.Log
}

// Relay is the decision logic. It has no clock, goroutine or socket and is not safe for concurrent use. Times
// are durations since the start of the process.
type Relay struct {
	cfg   Config
	ports Ports
	Stats Stats

	target     localTarget
	superseded map[string]bool // IDs of earlier incarnations of the target
	flows      map[packet.Key]*flow
	inflight   [maxInflight]inflightPacket
	lastToken  uint32
	load       loadMeter
	// awaitingSince is the time of the oldest packet that the target has not answered; awaitingTarget says
	// that there is one.
	awaitingSince  time.Duration
	awaitingTarget bool
	stopping       bool
	evacuated      bool // the availability zone gets no new flows
	cold           coldLimiter
	// knowsAllFlows says that the flow table holds every flow of the target. That is certain only if this process was running
	// when the target started: nothing listened at a check, or it has heard the incarnation before. What is known of an
	// earlier process of the relay proves nothing, since a target takes flows before its first heartbeat.
	knowsAllFlows bool
	controllers   []hop.IP // members by the last answer of one in contact with a majority
	earlier       earlierFlows

	// probes are the entry VMs that wait for the target to show whether it has a flow.
	probes map[packet.Key]hop.IP
	// returnedFlows are flows of which the target has returned a packet, kept until knowsAllFlows is set.
	returnedFlows map[packet.Key]struct{}

	// queue holds the requests that wait for a slot, in order of arrival. picks counts the calls of pickNext.
	queue []*queuedRequest
	picks int

	// fanouts are the owner lookups in progress on behalf of entry VMs, by their number.
	fanouts    map[uint32]*fanout
	lastFanout uint32

	message    hop.Message // reused for each received datagram
	sendBuffer []byte
}

// Stats counts events since the start of the process.
//
// Admitted, Passed and Refused count SYNs that the target accepted, that went to another candidate, and that
// no candidate took. WrongService counts SYNs for another service. Bounced counts packets that the target
// returned, Returned those that the relay reported to an entry VM as not owned, StaleAnswers packets of the
// target that no caller may get. Opened counts completed handshakes, FlowsReset open flows reset because the
// target was lost.
//
// FindsAnswered counts the flows of answered owner lookups, Unsure those of them that the relay could not
// decide, Surveys the lookups at many relays on behalf of an entry VM. Queued, QueuedLate and QueuedCopies
// count queued requests, those dispatched after their objective, and packets that were not queued again.
// EarlierReset and EarlierSpared count flows that an earlier process of the relay reported and that were reset or
// not, see ResetEarlierFlows.
type Stats struct {
	Admitted, Passed, Refused, Returned, Bounced, WrongService uint64
	Delivered, ToCallers, Malformed, StaleAnswers              uint64
	FlowsReset, Opened, FindsAnswered, Unsure, Surveys         uint64
	Queued, QueuedLate, QueuedCopies                           uint64
	EarlierReset, EarlierSpared                                uint64
}

// flowState is the state of a flow at the target.
type flowState uint8

const (
	halfOpen       flowState = iota // the SYN was sent to the target
	accepted                        // the target sent a SYN-ACK
	open                            // the caller acknowledged the SYN-ACK
	ownedElsewhere                  // another target won the handshake
	closed                          // reset by either end
)

// flow is what the relay knows of a flow.
type flow struct {
	state        flowState
	hasRequest   bool // a request is in progress or queued
	callerDone   bool // the caller has sent FIN or RST
	reusedPort   bool // an earlier flow from the same port was known when this one began
	callerISN    uint32
	targetISN    uint32
	nextSeq      uint32 // sequence number after the caller's last data byte seen
	lastAck      uint32 // last acknowledgement number of the caller
	entry        hop.IP // entry VM of the last packet
	createdAt    time.Duration
	lastSeen     time.Duration  // time of the last packet or lookup
	requestStart time.Duration  // start of the request in progress
	foundNoSlot  bool           // all slots were in use when it started
	queued       *queuedRequest // set while the request waits for a slot
}

// inflightPacket is the message of a packet that the target may still return.
type inflightPacket struct {
	token      uint32
	entry      hop.IP
	service    uint64
	at         uint8
	best       uint8
	bestLoad   uint8
	count      uint8
	probe      bool
	sentAt     time.Duration
	candidates [hop.MaxChain]hop.IP
}

// New returns a relay without any knowledge of its target.
func New(cfg Config, ports Ports) *Relay {
	return &Relay{
		cfg: cfg, ports: ports, flows: map[packet.Key]*flow{}, superseded: map[string]bool{}, fanouts: map[uint32]*fanout{}, lastFanout: cfg.FirstFanout,
		probes: map[packet.Key]hop.IP{}, returnedFlows: map[packet.Key]struct{}{},
		earlier: earlierFlows{
			received: map[hop.IP]*receivedParts{}, flows: map[earlierFlow]*confirmation{}, settled: map[earlierFlow]struct{}{},
		},
	}
}

// FromNode handles a datagram of an entry VM or another relay.
func (r *Relay) FromNode(now time.Duration, from hop.IP, datagram []byte) {
	m := &r.message
	if err := m.Parse(datagram); err != nil {
		r.Stats.Malformed++
		return
	}
	switch m.Kind {
	case hop.Forward:
		r.handleForward(now, m)
	case hop.OwnerQuery:
		r.answerLookup(now, from, m)
	case hop.OwnerReply:
		r.handleFanoutAnswer(from, m)
	case hop.FanoutQuery:
		r.startFanout(now, from, m)
	default:
		r.Stats.Malformed++
	}
}

func (r *Relay) handleForward(now time.Duration, m *hop.Message) {
	v, err := r.cfg.Codec.Parse(m.Packet)
	if err != nil {
		r.Stats.Malformed++
		return
	}
	if v.IsSYN() {
		r.handleSYN(now, m, &v)
		return
	}
	r.deliver(now, m, &v)
}

// handleSYN offers a SYN to the target or passes it on.
func (r *Relay) handleSYN(now time.Duration, m *hop.Message, v *packet.View) {
	key := v.KeyFromCaller()
	f := r.flows[key]
	if f != nil && f.callerISN == v.Seq && f.state <= open {
		// A copy of a SYN that this target has accepted or may still accept.
		f.entry = m.Entry
		r.sendToTarget(now, m, f.state != open)
		return
	}
	if !r.admits(now, m) {
		r.logDecision(now, decision.Passed, key, v.Seq, int(m.At), r.passReason(now))
		r.passOn(m)
		return
	}
	if f != nil && f.hasRequest {
		r.load.endRequest(now)
	}
	if f == nil && len(r.flows) >= maxFlows {
		r.passOn(m)
		return
	}
	r.cold.recordFlow(now, &r.target)
	r.logDecision(now, decision.Taken, key, v.Seq, int(m.At), result.OK)
	delete(r.returnedFlows, key)
	r.flows[key] = &flow{
		state: halfOpen, callerISN: v.Seq, nextSeq: v.Seq + 1, entry: m.Entry, createdAt: now, lastSeen: now,
		reusedPort: f != nil,
	}
	r.sendToTarget(now, m, true)
}

// logDecision logs a decision on a flow together with the load of the target.
func (r *Relay) logDecision(now time.Duration, kind decision.Kind, key packet.Key, seq uint32, tries int, code result.Code) {
	if r.cfg.Decisions == nil {
		return
	}
	r.cfg.Decisions.Record(now, decision.Decision{
		Kind: kind, Flow: key, Seq: seq, Target: r.cfg.Self, Busy: uint16(r.busyRequests(now)), Slots: r.target.Slots, Tries: tries, Code: code,
	})
}

// passReason returns why a SYN is not offered to the target.
func (r *Relay) passReason(now time.Duration) result.Code {
	switch {
	case r.evacuated:
		return result.ZoneEvacuated
	case r.target.State == roster.Ready && !r.cold.admits(now, &r.target):
		return result.TargetCold
	case r.target.State == roster.Draining || r.stopping:
		return result.TargetDraining
	case r.target.State == roster.Ready:
		return result.NoFreeSlot
	}
	return result.AdmissionSuspended
}

// admits reports whether a SYN is offered to the target. A target without a free slot is offered it only
// after all other candidates; then m.Busy says whether the expected wait exceeds the limit of the request.
func (r *Relay) admits(now time.Duration, m *hop.Message) bool {
	if routing.ServiceID(m.Service) != r.cfg.Service {
		r.Stats.WrongService++
		return false
	}
	if !r.target.admits() || r.stopping || r.evacuated {
		return false
	}
	r.cold.learnLimit(m.ColdLimit)
	if !r.cold.admits(now, &r.target) {
		// If no other target may take the flow either, the entry VM offers it again a little later.
		last := m.Final || int(m.At)+1 >= len(m.Candidates)
		m.Busy = m.MaxWait > 0 && last && (m.Final || m.BestLoad == 0)
		return false
	}
	busy := r.busyRequests(now)
	if busy < int(r.target.Slots) {
		return true
	}
	if m.Final || len(m.Candidates) <= 1 {
		m.Busy = m.MaxWait > 0 && r.expectedWait(now) > time.Duration(m.MaxWait)*time.Millisecond
		return !m.Busy
	}
	if r.target.Slots > 0 {
		load := uint8(min(busy*8/int(r.target.Slots), 254)) // eighths of a request per slot
		if m.BestLoad == 0 || load < m.BestLoad {
			m.Best, m.BestLoad = m.At, max(load, 1)
		}
	}
	return false
}

// expectedWait returns the time until a slot is free for one more request.
func (r *Relay) expectedWait(now time.Duration) time.Duration {
	slots := max(int(r.target.Slots), 1)
	ahead := r.busyRequests(now) + 1 - slots
	return time.Duration(max(ahead, 0)) * r.load.serviceTime() / time.Duration(slots)
}

// busyRequests returns the number of requests in progress and of those expected from newly admitted flows.
func (r *Relay) busyRequests(now time.Duration) int { return r.load.current(now) }

// passOn sends a SYN to the next candidate, after the last one to the least loaded one, or back to the entry
// VM as refused.
func (r *Relay) passOn(m *hop.Message) {
	next := int(m.At) + 1
	switch {
	case !m.Final && next < len(m.Candidates):
		m.At = uint8(next)
	case !m.Final && !m.Busy && m.BestLoad > 0 && int(m.Best) < len(m.Candidates):
		m.Final, m.At = true, m.Best // may be this relay itself
	default:
		r.Stats.Refused++
		m.Kind = hop.Refused
		r.sendToNode(m.Entry, m)
		return
	}
	r.Stats.Passed++
	r.sendToNode(m.Candidates[m.At], m)
}

func (r *Relay) sendToNode(to hop.IP, m *hop.Message) {
	r.sendBuffer = m.Append(r.sendBuffer[:0])
	r.ports.ToNode(to, r.sendBuffer)
}

// Load returns the load of the target.
func (r *Relay) Load(now time.Duration) hop.Load {
	return hop.Load{Busy: uint16(min(r.load.current(now), 65535)), Mean: r.load.meanSixteenths(now)}
}

// Flows returns the number of flows in the table, closed ones included.
func (r *Relay) Flows() int { return len(r.flows) }

// SetEvacuated ends or resumes admission because the availability zone is evacuated or has been restored. The relay
// decides besides the entry VMs, since one that was paused may offer a flow by a list from before.
func (r *Relay) SetEvacuated(evacuated bool) { r.evacuated = evacuated }

// Stop ends admission because the process is stopping.
func (r *Relay) Stop() { r.stopping = true }

// ExpireFlows removes flows that are idle or closed and ends requests without an answer. It is called about
// once a second.
func (r *Relay) ExpireFlows(now time.Duration) {
	clear(r.probes) // a target answers within milliseconds
	for key, f := range r.flows {
		limit := flowIdleTimeout
		switch f.state {
		case halfOpen, accepted:
			limit = handshakeTimeout + closedFlowRetention
		case closed, ownedElsewhere:
			limit = closedFlowRetention
		}
		if f.hasRequest && now-f.requestStart > maxRequestAge {
			if f.queued != nil {
				r.dispatch(now, f.queued)
			}
			r.endRequest(now, f)
		}
		if now-f.lastSeen > limit {
			r.endRequest(now, f)
			delete(r.flows, key)
		}
	}
	// A request that its caller sent just before the timeout is still at work then, and its answer makes the flow known.
	if !r.knowsAllFlows && now > flowIdleTimeout+maxRequestAge {
		r.knowsAllFlows = true
	}
	if r.knowsAllFlows {
		clear(r.returnedFlows)
	}
}

// resetFlows removes the flows that the target has lost, all but those to keep, and resets those that are open at their callers.
func (r *Relay) resetFlows(now time.Duration, keeps func(f *flow) bool) {
	for _, w := range slices.Clone(r.queue) {
		if !keeps(w.flow) {
			r.dequeue(w)
		}
	}
	// In a fixed order, to make tests repeatable.
	for _, key := range slices.SortedFunc(maps.Keys(r.flows), packet.Key.Compare) {
		f := r.flows[key]
		if keeps(f) {
			continue
		}
		if f.state == open {
			r.Stats.FlowsReset++
			r.logDecision(now, decision.Reset, key, f.callerISN, 0, result.TargetNotFound)
			r.ports.ToCaller(key.Caller, r.cfg.Codec.Reset(key, f.lastAck))
		}
		r.endRequest(now, f)
		delete(r.flows, key)
	}
	if len(r.flows) == 0 {
		r.load.reset()
	}
}

// State returns the state of the target for the roster.
func (r *Relay) State() roster.State {
	if r.stopping && r.target.State == roster.Ready {
		return roster.Draining
	}
	return r.target.State
}
