// Package flowtable is the state machine of the TCP flows of an agent's target. Its inputs are the
// packets and signals of balancers and other agents, the packets of the target, the endpoints in the
// controllers' view, and the time. Its outputs are actions, which the caller carries out: deliver a packet
// to the target, forward it to the next candidate, answer the caller, send a hint or a signal, drop a
// packet, count an event. It has no clock, no goroutine and no I/O.
//
// The states of a flow are queued (its SYN waits for a slot), half-open (the SYN is at the target), SYN-ACK
// seen, established, closing (a FIN was seen), closed (both FINs are acknowledged) and lingering (ended, but
// remembered). A restarted agent has lost its records: it delivers a packet of an unknown flow to the target
// (probing), and adopts the flow unless the target answers with a RST.
//
// Agents exchange three signals about the queue of a service: a SYN waits, a slot is offered, the offer is
// declined.
package flowtable

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/admission"
	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
)

// Timers and limits.
const (
	// HandshakeTimeout bounds the time until the target answers a SYN. It leaves two further targets time
	// to answer before the caller retransmits its SYN after 1 s.
	HandshakeTimeout = 250 * time.Millisecond
	// HalfOpenTimeout bounds the time from admission until the caller completes the handshake.
	HalfOpenTimeout = 10 * time.Second
	// LingerDuration is how long an ended flow is remembered.
	LingerDuration = 60 * time.Second
	// RecoveryProbeTimeout is how long a recovering agent waits for the target to answer a packet of an
	// unknown flow with a RST. Without an answer the agent adopts the flow.
	RecoveryProbeTimeout = 20 * time.Millisecond
	// MaxMSS is the largest MSS of a flow, in bytes: a path MTU of 1,500 less 132 of encapsulation and 40
	// of IPv4 and TCP headers.
	MaxMSS = 1328

	// FreshControlAge is the largest control age with which a view counts as fresh: changes are in force
	// everywhere within 4 s.
	FreshControlAge = 4 * time.Second
	// UnknownFlowGrace is the time between the first packet of a flow that no candidate owns and the RST
	// that ends the flow. It exceeds FreshControlAge, so that a target that joined before the first packet
	// is in every fresh view by the time of the RST.
	UnknownFlowGrace = 5 * time.Second

	hintInterval = time.Second // between hints for one flow
	// maxLingering is the number of lingering flows from which on an unowned flow gets no record.
	maxLingering = 1 << 16
	// closedTimeout is how long a closed flow accepts retransmissions of its last FIN.
	closedTimeout = 2 * time.Second
	// targetCheckInterval is the time between keep-alive probes of a silent target that may have lost the
	// connection without sending a packet: after its FIN the kernel gives up silently, and a FIN sent
	// before the start of the agent is unknown. After maxTargetProbes without an answer the flow ends.
	targetCheckInterval = 60 * time.Second
	maxTargetProbes     = 3
	// unconfirmedProbeInterval is the time between probes of a target that has not sent a packet of an
	// adopted flow. After maxUnconfirmedProbes without an answer the record is removed.
	unconfirmedProbeInterval = 5 * time.Second
	maxUnconfirmedProbes     = 3
	// resetCheckDelay is the time between a RST that the target may have ignored and the probe that finds
	// out.
	resetCheckDelay = time.Second
	// orphanIdleTimeout ends an idle flow of a target that is no longer in the view.
	orphanIdleTimeout = 10 * time.Minute
	// maxProbePackets bounds the packets held for one flow during a recovery probe.
	maxProbePackets = 4
	// attemptWindow is how far, in sequence numbers, a packet may be ahead of the SYN to count as the same
	// connection attempt. No caller sends more before its first acknowledgement.
	attemptWindow = 1 << 20
)

// Extend returns the candidates at positions 8k to 8k+7 of the ranking for the bucket of the flow hash.
// For a SYN the ranking holds only the admitting targets.
type Extend func(service model.ServiceID, bucketHash uint64, k int, syn bool) []encap.Candidate

// Config holds the settings of a table.
type Config struct {
	Extend Extend // if nil, candidate lists are not extended
	// Recovering is set if the target may have flows from before the start of the agent.
	Recovering bool
}

// Endpoint is a service that the agent serves, with the agent's target of that service.
type Endpoint struct {
	Service model.Service
	Target  model.Target
	// Peers are the other active targets of the service. Capacity is the total of theirs and this target's:
	// slots for a request service, connections for a stream service.
	Peers    []encap.Candidate
	Capacity int
}

// NewEndpoint returns the endpoint of a target in a view.
func NewEndpoint(v *model.View, t model.Target) Endpoint {
	e := Endpoint{Service: v.Services[t.Service], Target: t}
	for _, other := range v.TargetsOf(t.Service) {
		if other.ID != t.ID && other.State != model.TargetActive {
			continue
		}
		if e.Service.Class == model.ClassRequest {
			e.Capacity += other.Slots
		} else {
			e.Capacity += other.MaxConns
		}
		if other.ID != t.ID {
			e.Peers = append(e.Peers, encap.CandidateOf(&other))
		}
	}
	return e
}

// endpoint is an Endpoint with its state. It is kept when the target leaves the view, because the flows
// of the target go on.
type endpoint struct {
	Endpoint
	admission    *admission.Target
	present      bool // the service is in the current view
	draining     bool
	drainStart   time.Duration // start of the drain
	drainExpired bool          // the flows were reset at the drain deadline
	refusedSYNs  uint64
	peerQueues   peerQueues
}

// heldPackets holds a SYN that may still be forwarded, or the packets of a recovery probe, and the header
// of the first of them.
type heldPackets struct {
	header  encap.Header
	packets [][]byte
}

// Table is the flow table of an agent. It is not safe for concurrent use.
type Table struct {
	cfg           Config
	store         store
	wheel         *wheel
	endpoints     map[model.ServiceID]*endpoint
	heldByRecord  map[uint32]*heldPackets
	recovering    bool
	stopping      bool // the agent is stopping
	targetLeaving bool // the target itself is leaving
	viewReceived  bool
	// lastControlContact is when a controller with a quorum was last heard from. It is valid if
	// hasControlContact is set.
	lastControlContact time.Duration
	hasControlContact  bool
	stateCounts        [stateLingering + 1]int

	now       time.Duration // of the current call
	nowMillis millis        // now in milliseconds
	lastTick  time.Duration
	actions   []Action
	scratch   flow.Packet // result of parse
}

// New returns an empty table.
func New(cfg Config) *Table {
	t := &Table{
		cfg:          cfg,
		store:        newStore(),
		endpoints:    map[model.ServiceID]*endpoint{},
		heldByRecord: map[uint32]*heldPackets{},
		recovering:   cfg.Recovering,
	}
	t.wheel = newWheel(&t.store)
	return t
}

func (t *Table) begin(now time.Duration) {
	t.now = now
	t.nowMillis = millis(now / time.Millisecond)
	clear(t.actions)
	t.actions = t.actions[:0]
}

// FromFabric handles a packet that a balancer or another agent has sent. It may change h and p.
func (t *Table) FromFabric(now time.Duration, h *encap.Header, p *flow.Packet) []Action {
	t.begin(now)
	flow.ClampMSS(p, MaxMSS)
	if !t.viewReceived {
		// The flow may belong to this target. An agent resets only flows whose header has its generation,
		// so with generation 0 no later agent resets this one.
		h.Generation = 0
	}
	ep := t.endpoints[h.Service]
	if ep == nil || !ep.present || ep.Service.Address != p.Key.Service {
		t.forwardToNext(h, p.Raw, nil, result.NoTarget)
		return t.actions
	}
	ep.admission.ObserveGeneration(now, h.Generation)
	i, r := t.store.find(packKey(p.Key))
	switch {
	case p.IsSYN():
		t.synPacket(h, p, ep, i, r)
	case p.TCP.SYN:
		t.drop(DropTCPFlags)
	case r == nil || r.service != h.Service:
		t.unknownPacket(h, p, ep, r)
	default:
		t.knownPacket(h, p, ep, i, r)
	}
	return t.actions
}

// knownPacket handles a packet without SYN of a flow that has a record of the service.
func (t *Table) knownPacket(h *encap.Header, p *flow.Packet, ep *endpoint, i uint32, r *record) {
	switch r.state {
	case stateEstablished, stateClosing:
		if !r.sameConnection(p) {
			t.countEvent(EventForeignConnection)
			t.forwardToNext(h, p.Raw, ep, result.OK)
			return
		}
		t.establishedPacket(h, p, ep, i, r)
	case stateQueued:
		t.queuedPacket(h, p, ep, i, r)
	case stateHalfOpen, stateSynAckSeen:
		t.handshakePacket(h, p, ep, i, r)
	case stateProbing:
		t.probingPacket(p, i, r)
	case stateClosed:
		t.closedPacket(h, p, ep, r)
	default:
		r.lastFromCaller = t.nowMillis
		t.forwardToNext(h, p.Raw, ep, result.OK)
	}
}

// establishedPacket handles a packet from the caller of an established flow.
func (t *Table) establishedPacket(h *encap.Header, p *flow.Packet, ep *endpoint, i uint32, r *record) {
	r.lastFromCaller = t.nowMillis
	r.callerProbes = 0
	if p.TCP.ACK && !seqAfter(p.TCP.Ack, r.targetNext) && advanceSeq(&r.callerAck, p.TCP.Ack) {
		t.callerAcknowledged(r)
	}
	if p.TCP.Window == 0 {
		r.set(flagZeroWindow)
	} else {
		r.clear(flagZeroWindow)
	}
	t.deliver(p.Raw)
	if p.TCP.RST {
		t.callerReset(p, ep, i, r)
		return
	}
	r.clear(flagCheckTarget)
	end := p.TCP.Seq + p.SegmentLength()
	if p.TCP.FIN && !seqAfter(r.targetAck, end) {
		// A late duplicate of an earlier flow may have advanced callerNext too far; the FIN tells the end.
		r.callerNext = end
		t.recordFIN(ep, i, r, flagCallerFIN)
	} else if !r.has(flagCallerFIN) {
		advanceSeq(&r.callerNext, end)
	}
	if h.Hops > 0 {
		t.sendHint(h, p, r)
	}
	t.closeIfDone(ep, i, r)
}

// callerReset ends a flow if its target will accept the RST. A target ignores a RST with another sequence
// number, so the flow then stays until a probe shows whether the target still has it.
func (t *Table) callerReset(p *flow.Packet, ep *endpoint, i uint32, r *record) {
	if p.TCP.Seq == r.targetAck || p.TCP.Seq == r.callerNext {
		t.endFlow(ep, i, r)
		return
	}
	r.set(flagCheckTarget)
	t.armCheck(ep, i, r)
}

// sendHint tells the ingress balancer which candidate owns the flow, at most once per hintInterval.
func (t *Table) sendHint(h *encap.Header, p *flow.Packet, r *record) {
	if r.has(flagHinted) && t.nowMillis-r.hintedAt < toMillis(hintInterval) {
		return
	}
	r.set(flagHinted)
	r.hintedAt = t.nowMillis
	hint := &encap.Hint{Service: h.Service, Flow: p.Key, Owner: h.Current()}
	t.actions = append(t.actions, Action{Kind: SendHint, Header: h, Hint: hint})
}

// recordFIN records the first FIN of an end; f is flagCallerFIN or flagTargetFIN.
func (t *Table) recordFIN(ep *endpoint, i uint32, r *record, f flag) {
	if r.has(f) {
		return
	}
	r.set(f)
	t.setState(r, stateClosing)
	t.armCheck(ep, i, r)
}

// closeIfDone closes a flow once each end has acknowledged the FIN of the other.
func (t *Table) closeIfDone(ep *endpoint, i uint32, r *record) {
	if !r.has(flagCallerFIN) || !r.has(flagTargetFIN) {
		return
	}
	if r.callerNext != r.targetAck || r.targetNext != r.callerAck {
		return
	}
	t.setState(r, stateClosed)
	t.release(ep, r, true)
	t.countEvent(EventEnded)
	t.wheel.arm(i, t.nowMillis+toMillis(closedTimeout))
	t.serveQueue(ep)
}

// closedPacket handles a packet of the caller for a closed flow: retransmissions go to the target; any
// other packet belongs to a new flow with the same ports at another target.
func (t *Table) closedPacket(h *encap.Header, p *flow.Packet, ep *endpoint, r *record) {
	bytesBehind := r.callerNext - (p.TCP.Seq + p.SegmentLength())
	if bytesBehind < attemptWindow && (!p.TCP.ACK || p.TCP.Ack == r.targetNext) {
		t.deliver(p.Raw)
		return
	}
	t.forwardToNext(h, p.Raw, ep, result.OK)
}

// setState changes the state of a flow and the number of flows in each state.
func (t *Table) setState(r *record, s state) {
	t.stateCounts[r.state]--
	t.stateCounts[s]++
	r.state = s
}

// acquire counts a flow against the limits of its target: a slot or a connection.
func (t *Table) acquire(ep *endpoint, r *record) {
	if r.has(flagAcquired) {
		return
	}
	r.set(flagAcquired)
	r.startedAt = t.nowMillis
	ep.admission.Acquire()
}

// release undoes acquire. The parameter established tells admission whether the flow was established.
func (t *Table) release(ep *endpoint, r *record, established bool) {
	if !r.has(flagAcquired) {
		return
	}
	r.clear(flagAcquired)
	ep.admission.Release(time.Duration(t.nowMillis-r.startedAt)*time.Millisecond, established)
}

// endFlow ends an established flow and serves the queue with its slot.
func (t *Table) endFlow(ep *endpoint, i uint32, r *record) {
	t.release(ep, r, true)
	t.countEvent(EventEnded)
	t.linger(ep, i, r)
	t.serveQueue(ep)
}

// linger keeps the record of a flow that the target no longer has, so that late answers are dropped.
func (t *Table) linger(ep *endpoint, i uint32, r *record) {
	t.release(ep, r, false)
	delete(t.heldByRecord, i)
	t.setState(r, stateLingering)
	r.flags = 0
	r.lastFromCaller = t.nowMillis
	t.wheel.arm(i, t.nowMillis+toMillis(LingerDuration))
}

func toMillis(d time.Duration) millis {
	return millis(d / time.Millisecond)
}
