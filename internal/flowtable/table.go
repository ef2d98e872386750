// Package flowtable is the flow state machine of an agent. Its inputs are packets from balancers
// and other agents, packets from the target, the view of control, and time; its outputs are
// actions for the shell. It contains no clock, no goroutine and no I/O.
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
	// HandshakeTimeout bounds the time until the target answers a SYN. It leaves two further
	// targets time to answer before the caller retransmits after 1 s.
	HandshakeTimeout = 250 * time.Millisecond
	// HalfOpenTimeout bounds the time until the caller completes the handshake.
	HalfOpenTimeout = 10 * time.Second
	// ClosedLinger is how long an ended flow is remembered.
	ClosedLinger = 60 * time.Second
	// ProbeWait is how long a recovering agent waits for the target to disown a flow.
	ProbeWait = 20 * time.Millisecond
	// ClampMSS is the largest MSS of a flow: a 1,500-byte path less 132 bytes of encapsulation
	// and 40 bytes of IPv4 and TCP headers.
	ClampMSS = 1328

	// ControlFresh is the largest control age with which a view counts as current: changes are in
	// force everywhere within 4 s.
	ControlFresh = 4 * time.Second
	// UnknownHold is the time between the first packet of a flow that no candidate owns and the RST
	// for it. It is above ControlFresh, so that a target that joined before the first packet is in
	// every current view by the time of the RST.
	UnknownHold = 5 * time.Second

	hintInterval = time.Second
	// maxUnknown bounds the ended flows beyond which a flow without an owner gets no record.
	maxUnknown = 1 << 16
	// closedWait keeps a closed flow for retransmissions of its last FIN.
	closedWait = 2 * time.Second
	// targetIdle is the time between checks of a silent target whose connection may have ended
	// without a packet: after its FIN the kernel gives up silently, and before the start of the
	// agent a FIN may have passed unseen.
	targetIdle   = 60 * time.Second
	targetProbes = 3
	// unconfirmedWait is the time between probes of a target that has not sent a packet of an
	// adopted flow, and unconfirmedProbes the number of probes before the flow is forgotten.
	unconfirmedWait   = 5 * time.Second
	unconfirmedProbes = 3
	// checkWait is the time between a RST that may not be valid and the check of the target.
	checkWait = time.Second
	// orphanIdle ends an idle flow of a target that has left the membership.
	orphanIdle = 10 * time.Minute
	// probeCopies bounds the packets kept for one flow during a recovery probe.
	probeCopies = 4
	// attemptWindow is how far a packet may be ahead of the SYN to count as the same connection
	// attempt. No caller sends more before its first acknowledgement.
	attemptWindow = 1 << 20
)

// Extend returns the candidates at positions 8k to 8k+7 of the ranking of the bucket that the flow
// hash selects, of the admitting targets only for a packet with SYN.
type Extend func(service model.ServiceID, bucketHash uint64, k int, syn bool) []encap.Candidate

// Config holds the dependencies of a table.
type Config struct {
	Extend Extend // nil: chains are not extended
	// Recovering is set if the target may hold flows from before the start of the agent.
	Recovering bool
}

// Endpoint is a target of this agent with its service.
type Endpoint struct {
	Service model.Service
	Target  model.Target
	// Peers are the other targets of the service that take flows, and Capacity what all of them and
	// this one hold: slots for requests, connections for streams.
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

// endpoint is an Endpoint with its state. It stays after it left the view, because its flows do.
type endpoint struct {
	Endpoint
	admission *admission.Target
	present   bool
	draining  bool
	drainedAt time.Duration // start of the drain
	drained   bool          // the flows were reset at the drain deadline
	refused   uint64
	pool      pool
}

// pending is a SYN that may still be passed on, or the packets of a recovery probe.
type pending struct {
	header  encap.Header
	packets [][]byte
}

// Table is the flow table of an agent.
type Table struct {
	cfg        Config
	store      store
	wheel      *wheel
	endpoints  map[model.ServiceID]*endpoint
	pending    map[uint32]*pending
	recovering bool
	stopping   bool
	leaving    bool // the target itself is leaving
	hasView    bool
	// contact is when control was last heard from, if hasContact.
	contact    time.Duration
	hasContact bool
	counts     [stateLingering + 1]int

	now     time.Duration
	millis  millis
	ticked  time.Duration // the last Tick
	actions []Action
	scratch flow.Packet // for packets that were kept
}

// New returns an empty table.
func New(cfg Config) *Table {
	t := &Table{
		cfg:        cfg,
		store:      newStore(),
		endpoints:  map[model.ServiceID]*endpoint{},
		pending:    map[uint32]*pending{},
		recovering: cfg.Recovering,
	}
	t.wheel = newWheel(&t.store)
	return t
}

func (t *Table) begin(now time.Duration) {
	t.now = now
	t.millis = millis(now / time.Millisecond)
	clear(t.actions)
	t.actions = t.actions[:0]
}

// FromFabric handles a packet that a balancer or another agent has sent. It may change h.
func (t *Table) FromFabric(now time.Duration, h *encap.Header, p *flow.Packet) []Action {
	t.begin(now)
	flow.ClampMSS(p, ClampMSS)
	if !t.hasView {
		// The flow may belong to the target. Without a generation no later agent resets it.
		h.Generation = 0
	}
	ep := t.endpoints[h.Service]
	if ep == nil || !ep.present || ep.Service.Address != p.Key.Service {
		t.passOn(h, p.Raw, nil, result.NoTarget)
		return t.actions
	}
	ep.admission.SawGeneration(now, h.Generation)
	i, r := t.store.find(pack(p.Key))
	switch {
	case p.IsSYN():
		t.syn(h, p, ep, i, r)
	case p.TCP.SYN:
		t.drop(DropMalformed)
	case r == nil || r.service != h.Service:
		t.unknown(h, p, ep, r)
	default:
		t.known(h, p, ep, i, r)
	}
	return t.actions
}

// known handles a packet without SYN of a flow that has a record.
func (t *Table) known(h *encap.Header, p *flow.Packet, ep *endpoint, i uint32, r *record) {
	switch r.state {
	case stateEstablished, stateClosing:
		if !r.sameConnection(p) {
			t.note(EventForeign)
			t.passOn(h, p.Raw, ep, result.OK)
			return
		}
		t.fromCaller(h, p, ep, i, r)
	case stateQueued:
		t.queuedPacket(h, p, ep, i, r)
	case stateHalfOpen, stateSynAckSeen:
		t.handshakePacket(h, p, ep, i, r)
	case stateProbing:
		t.probingPacket(p, i, r)
	case stateClosed:
		t.closedPacket(h, p, ep, r)
	default:
		r.lastCaller = t.millis
		t.passOn(h, p.Raw, ep, result.OK)
	}
}

// fromCaller handles a packet from the caller of an established flow.
func (t *Table) fromCaller(h *encap.Header, p *flow.Packet, ep *endpoint, i uint32, r *record) {
	r.lastCaller = t.millis
	r.probesCaller = 0
	if p.TCP.ACK && !after(p.TCP.Ack, r.targetNext) && advance(&r.callerAck, p.TCP.Ack) {
		t.acknowledged(r)
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
	if p.TCP.FIN && !after(r.targetAck, end) {
		// A late duplicate of an earlier flow may have moved callerNext too far.
		r.callerNext = end
		t.fin(ep, i, r, flagCallerFIN)
	} else if !r.has(flagCallerFIN) {
		advance(&r.callerNext, end)
	}
	if h.Hops > 0 {
		t.hint(h, p, r)
	}
	t.closeIfDone(ep, i, r)
}

// callerReset ends a flow if the target accepts the RST. Otherwise the target is checked later,
// because it ignores a RST with a wrong sequence number.
func (t *Table) callerReset(p *flow.Packet, ep *endpoint, i uint32, r *record) {
	if p.TCP.Seq == r.targetAck || p.TCP.Seq == r.callerNext {
		t.end(ep, i, r)
		return
	}
	r.set(flagCheckTarget)
	t.watch(ep, i, r)
}

// hint tells the ingress balancer which candidate owns the flow, at most once a second.
func (t *Table) hint(h *encap.Header, p *flow.Packet, r *record) {
	if r.has(flagHinted) && t.millis-r.hintedAt < ms(hintInterval) {
		return
	}
	r.set(flagHinted)
	r.hintedAt = t.millis
	hint := &encap.Hint{Service: h.Service, Flow: p.Key, Owner: h.Current()}
	t.actions = append(t.actions, Action{Kind: SendHint, Header: h, Hint: hint})
}

// fin records a FIN.
func (t *Table) fin(ep *endpoint, i uint32, r *record, f flag) {
	if r.has(f) {
		return
	}
	r.set(f)
	t.setState(r, stateClosing)
	t.watch(ep, i, r)
}

// closeIfDone ends a flow once both ends have acknowledged the other's FIN.
func (t *Table) closeIfDone(ep *endpoint, i uint32, r *record) {
	if !r.has(flagCallerFIN) || !r.has(flagTargetFIN) {
		return
	}
	if r.callerNext != r.targetAck || r.targetNext != r.callerAck {
		return
	}
	t.setState(r, stateClosed)
	t.release(ep, r, true)
	t.note(EventEnded)
	t.wheel.arm(i, t.millis+ms(closedWait))
	t.serveQueue(ep)
}

// closedPacket handles a packet for a closed flow: retransmissions go to the target, anything else
// belongs to a new flow with the same ports at another target.
func (t *Table) closedPacket(h *encap.Header, p *flow.Packet, ep *endpoint, r *record) {
	behind := r.callerNext - (p.TCP.Seq + p.SegmentLength())
	if behind < attemptWindow && (!p.TCP.ACK || p.TCP.Ack == r.targetNext) {
		t.deliver(p.Raw)
		return
	}
	t.passOn(h, p.Raw, ep, result.OK)
}

// setState changes the state of a flow and the counts of flows in each state.
func (t *Table) setState(r *record, s state) {
	t.counts[r.state]--
	t.counts[s]++
	r.state = s
}

// take counts a flow against the limits of its target.
func (t *Table) take(ep *endpoint, r *record) {
	if r.has(flagTaken) {
		return
	}
	r.set(flagTaken)
	r.takenAt = t.millis
	ep.admission.Take()
}

// release takes a flow off the limits of its target.
func (t *Table) release(ep *endpoint, r *record, established bool) {
	if !r.has(flagTaken) {
		return
	}
	r.clear(flagTaken)
	ep.admission.Release(time.Duration(t.millis-r.takenAt)*time.Millisecond, established)
}

// end moves an established flow to lingering.
func (t *Table) end(ep *endpoint, i uint32, r *record) {
	t.release(ep, r, true)
	t.note(EventEnded)
	t.linger(ep, i, r)
	t.serveQueue(ep)
}

// linger remembers a flow that the target no longer has, so that late answers are dropped.
func (t *Table) linger(ep *endpoint, i uint32, r *record) {
	t.release(ep, r, false)
	delete(t.pending, i)
	t.setState(r, stateLingering)
	r.flags = 0
	r.lastCaller = t.millis
	t.wheel.arm(i, t.millis+ms(ClosedLinger))
}

func ms(d time.Duration) millis {
	return millis(d / time.Millisecond)
}
