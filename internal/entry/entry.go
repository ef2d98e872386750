// Package entry is the datagram data path of an entry VM: it offers the SYN of each new flow to the targets
// that package targetpicker ranks, and forwards every other packet to the relay of the target that owns its
// flow.
//
// The flow cache may be incomplete, because packets of a flow may arrive at any entry VM. The owner of an
// unknown flow is looked up in stages, each a flow state: owner queries to the likely owners
// (queryingLikely), fan-out queries to all relays through a coordinator relay (queryingAll), and the packet
// itself as a probe to targets whose relays are unsure (probing). A lookup ends in owned, in a reset if no
// target has the flow, or in notFound. A new flow starts in offering.
//
// Package hop defines the messages. An entry VM sends packets, offered SYNs and probes as Forward, besides
// the owner and fan-out queries; it receives Admitted, Refused, Returned, and the replies to queries and
// probes.
package entry

import (
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/decision"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/routing"
	"github.com/greengagelock/greengagelock/internal/targetpicker"
)

const (
	// firstRequestWindow is the time after admission in which the first request of a flow arrives: the
	// SYN-ACK and the request take one round trip to the caller.
	firstRequestWindow = 100 * time.Millisecond
	// maxHeldPackets bounds the packets of one flow that wait for its owner. A sender has at most 16 in
	// flight.
	maxHeldPackets = 16
	// maxStartupQueue bounds the packets that wait for the first configuration and list of targets, and
	// startupQueueTimeout the time for which they wait. Callers retransmit a SYN after 200 ms, so older
	// packets arrive again.
	maxStartupQueue     = 512
	startupQueueTimeout = 250 * time.Millisecond
	// startupDelay is the time from the first list of targets until flows are offered, if the list may lack running
	// relays. Relays find a newly started controller within that time; offering earlier would send the flows of
	// all callers to the first target listed.
	startupDelay = 70 * time.Millisecond
	// maxFlows bounds the flow cache to about 8 MB.
	maxFlows = 65536
	// flowIdleTimeout is the time without packets after which a flow is evicted from the cache.
	flowIdleTimeout = 20 * time.Second
)

// Ports sends packets to callers, and datagrams to nodes: the VMs that run relays. The slices are valid
// only until the call returns.
type Ports interface {
	ToCaller(to packet.Addr, raw []byte)
	ToNode(to hop.IP, datagram []byte)
}

// Config configures an Entry.
type Config struct {
	Codec packet.Codec
	Self  hop.IP
	Zone  string // availability zone
	// LinkBytesPerSecond is the bandwidth of the VM; zero for no limit.
	LinkBytesPerSecond float64
	// FirstQuery numbers the owner queries. It is random in each process, so that a late reply to an earlier process of the VM is
	// not taken for one to another query.
	FirstQuery uint32
	// Decisions logs the decisions on flows; nil to log none.
	Decisions *decision.Log
	// OnAdmission is called with the time from the first packet of a flow to its admission; may be nil.
	OnAdmission func(took time.Duration)
}

// Entry holds the state of the data path and makes its decisions. It uses no clock, goroutine or socket and
// is not safe for concurrent use. Times are durations since the start of the process.
type Entry struct {
	cfg    Config
	ports  Ports
	picker *targetpicker.Picker
	View   *roster.View
	Stats  Stats

	table          *routing.Table
	lastCheck      time.Duration // last call of CheckReach
	resumedAt      time.Duration // end of the last pause of the process
	refreshing     bool          // no controller has answered since resumedAt
	newestVersion  uint64        // version of the newest configuration that a controller has named
	firstTargetsAt time.Duration // negative before the first list of targets
	ready          bool
	startupQueue   []queuedPacket

	flows   map[packet.Key]*flow
	timers  timerQueue
	nextDue time.Duration // earliest time passed to requestTick since the last call of NextDue; negative if none

	offerRetries retryPolicy
	queries      queryBatcher
	reach        reach

	message    hop.Message // scratch space, as the next two
	out        []byte
	candidates []hop.IP
}

// Stats counts what the entry VM has done; all counters only grow. Some names differ from the terms in the
// code:
//
//   - Finds, Found, FoundNone, FindsFailed: owner lookups started, owners found, lookups that proved that
//     no target has the flow, and lookups without a result.
//   - Questions: owner and fan-out queries. Swept: flows queued for a fan-out query. Probed: rounds of probes.
//   - NoTarget: SYNs answered with a reset. Refused: SYNs that a chain of candidates gave back.
//   - OfferedAgain: offers repeated after a timeout. OffersHeld: timeouts without retry budget.
//     OffersBusy: SYNs held because all targets were busy. OffersEarly: SYNs held because targets of the
//     service may not be known yet.
//   - HeldDropped: packets dropped from a full or outdated queue. FlowsDropped: flows beyond maxFlows.
//   - EarlyReplayed: packets of the startup queue that were handled.
//   - ReachProbes: queries that show whether relays in other availability zones answer.
//   - LostOwners: flows reset because their relay is lost. Returned: packets that a relay gave back.
type Stats struct {
	Packets, Malformed, NoRoute               uint64
	Offered, Admitted, OfferedAgain           uint64
	Refused, NoTarget, OffersHeld, OffersBusy uint64
	OffersEarly                               uint64
	Forwarded, Finds, Found, FoundNone        uint64
	Swept, FindsFailed, Resets, Probed        uint64
	HeldDropped, FlowsDropped, Returned       uint64
	LostOwners, Questions, EarlyReplayed      uint64
	ReachProbes                               uint64
}

// queuedPacket is a packet that arrived before the first configuration and list of targets.
type queuedPacket struct {
	raw []byte
	at  time.Duration
}

type flowState uint8

const (
	offering       flowState = iota // the SYN was sent to the candidates
	owned                           // owner has the flow
	queryingLikely                  // the likely owners are queried
	queryingAll                     // all relays are queried
	probing                         // the packet was sent to targets whose relays are unsure
	notFound                        // the last lookup failed; no new one starts before due
)

type flow struct {
	state     flowState
	owner     hop.IP
	lastSeen  time.Duration
	due       time.Duration // time of the timer, or end of the lookup backoff
	timerSet  bool          // the timer for due is set
	startedAt time.Duration
	attempts  int // offers of the SYN, or queries to likely owners

	// State of the SYN.
	syn         []byte
	isn         uint32
	service     routing.ServiceID
	route       *routing.Route
	tried       []hop.IP
	held        bool          // no target can take the SYN yet; it is offered again at due
	unconfirmed bool          // owner was guessed from the offer and has not confirmed that it has the flow
	admittedAt  time.Duration // zero if this process has not seen the admission

	// State of the owner lookup.
	ack            uint32
	heldPackets    [][]byte
	likelyOwners   []hop.IP
	unsure         []hop.IP
	notOwners      []hop.IP
	probed         []hop.IP   // relays whose targets were sent the packet
	probeChains    [][]hop.IP // chains of relays that pass on the packet of the last probe
	paidProbes     int        // probes that were taken from the budget and not sent yet
	ruledOut       []hop.IP   // relays whose targets returned a packet in the lookups that failed last
	failedLookups  int        // consecutive lookups without a result
	queriedAll     bool       // all relays were queried
	repliesMissing bool       // some of them did not reply to the last fan-out queries
	fanouts        int        // rounds of fan-out queries
	pendingFanouts []uint32   // numbers of the fan-out queries of the last round whose reply is missing
	answeredGroups [][]hop.IP // groups of relays that have all answered a fan-out query
}

// New returns an Entry without a configuration or targets.
func New(cfg Config, picker *targetpicker.Picker, ports Ports) *Entry {
	return &Entry{
		cfg: cfg, ports: ports, picker: picker, View: roster.NewView(cfg.Self),
		flows: map[packet.Key]*flow{}, nextDue: -1, firstTargetsAt: -1,
		reach: reach{zones: map[string]*zoneReach{}}, offerRetries: retryPolicy{retryBudget: retryBurst}, queries: newQueryBatcher(cfg.LinkBytesPerSecond, cfg.FirstQuery),
	}
}

// SetTable puts a configuration in force, and reports false if a newer one or this one already is.
func (e *Entry) SetTable(t *routing.Table) bool {
	if e.table != nil && t.Version <= e.table.Version {
		return false
	}
	e.table = t
	return true
}

// Version returns the version of the configuration in force, zero before the first.
func (e *Entry) Version() uint64 {
	if e.table == nil {
		return 0
	}
	return e.table.Version
}

// FromCaller handles a packet of a caller.
func (e *Entry) FromCaller(now time.Duration, raw []byte) {
	e.Stats.Packets++
	v, err := e.cfg.Codec.Parse(raw)
	if err != nil || v.IsSYNACK() || v.Flags.Has(packet.Returned) {
		e.Stats.Malformed++
		return
	}
	if !e.checkReady(now) || (v.IsSYN() && e.refreshesAfterPause(now)) {
		e.queueUntilReady(now, raw)
		return
	}
	e.dispatch(now, &v, raw)
}

// refreshesAfterPause reports whether the process has slept for longer than its list and configuration are good for, and
// waits for a controller to confirm them. Targets may have drained, zones may be evacuated, and routes may lead elsewhere
// by now. It waits for startupQueueTimeout at most, since all controllers may be off.
func (e *Entry) refreshesAfterPause(now time.Duration) bool {
	if e.lastCheck > 0 && now-e.lastCheck > roster.Lease {
		e.refreshing, e.resumedAt, e.lastCheck = true, now, now
	}
	if e.refreshing && (now-e.resumedAt >= startupQueueTimeout || (e.View.AnsweredSince(e.resumedAt) && e.Version() >= e.newestVersion)) {
		e.refreshing = false
	}
	return e.refreshing
}

// HandleAnswer handles an answer of a controller. It returns the controllers to announce to at once.
func (e *Entry) HandleAnswer(now time.Duration, from hop.IP, a *roster.Answer) (announceTo []hop.IP) {
	e.refreshesAfterPause(now)
	e.newestVersion = max(e.newestVersion, a.Version)
	return e.View.HandleAnswer(now, from, a)
}

// checkReady reports whether packets can be handled: a configuration is in force, and a list of targets has arrived
// that lacks no running relay, or any list at least startupDelay ago.
func (e *Entry) checkReady(now time.Duration) bool {
	if e.ready {
		return true
	}
	if e.firstTargetsAt < 0 && e.View.Len() > 0 {
		e.firstTargetsAt = now
	}
	e.ready = e.table != nil && e.firstTargetsAt >= 0 && (e.View.HasCompleteList(now) || now-e.firstTargetsAt >= startupDelay)
	return e.ready
}

// queueUntilReady queues a packet that arrived before checkReady reports true.
func (e *Entry) queueUntilReady(now time.Duration, raw []byte) {
	if len(e.startupQueue) >= maxStartupQueue {
		e.Stats.HeldDropped++
		return
	}
	e.startupQueue = append(e.startupQueue, queuedPacket{raw: slices.Clone(raw), at: now})
}

// ReplayStartupQueue handles the queued packets once the entry VM is ready. It returns true if it has to be
// called again.
func (e *Entry) ReplayStartupQueue(now time.Duration) bool {
	if !e.checkReady(now) || e.refreshesAfterPause(now) {
		return true
	}
	queue := e.startupQueue
	e.startupQueue = nil
	for _, p := range queue {
		if now-p.at > startupQueueTimeout {
			e.Stats.HeldDropped++
			continue
		}
		if v, err := e.cfg.Codec.Parse(p.raw); err == nil {
			e.Stats.EarlyReplayed++
			e.dispatch(now, &v, p.raw)
		}
	}
	return false
}

func (e *Entry) dispatch(now time.Duration, v *packet.View, raw []byte) {
	key := v.KeyFromCaller()
	if !e.table.HasRoute(v.Destination) {
		e.resetUnrouted(now, key, v)
		return
	}
	if v.IsSYN() {
		e.handleSYN(now, key, v, raw)
		return
	}
	e.handlePacket(now, key, v, raw)
}

// resetUnrouted resets a flow to an address without a route.
func (e *Entry) resetUnrouted(now time.Duration, key packet.Key, v *packet.View) {
	e.Stats.NoRoute++
	e.dropFlow(key)
	if !v.Flags.Has(packet.RST) {
		e.logDecision(now, decision.Decision{Kind: decision.Reset, Flow: key, Seq: v.Seq, Code: result.ServiceNotFound})
		e.sendReset(key, v.Ack)
	}
}

// logDecision logs a decision with the configuration, the age of the list and the target's load behind it.
func (e *Entry) logDecision(now time.Duration, d decision.Decision) {
	if e.cfg.Decisions == nil {
		return
	}
	d.Version, d.ListAge = e.Version(), e.View.Age(now)
	if k := e.View.Get(d.Target); k != nil {
		d.Busy, d.Slots = k.Load/16, k.Slots
	}
	e.cfg.Decisions.Record(now, d)
}

func (e *Entry) dropFlow(key packet.Key) {
	delete(e.flows, key)
}

func (e *Entry) sendReset(key packet.Key, ack uint32) {
	e.Stats.Resets++
	e.ports.ToCaller(key.Caller, e.cfg.Codec.Reset(key, ack))
}

func (e *Entry) sendMessage(to hop.IP, m *hop.Message) {
	e.out = m.Append(e.out[:0])
	e.ports.ToNode(to, e.out)
}

// synHoldTime returns the time for which the SYN was held, which counts as waiting time of the first
// request.
func (f *flow) synHoldTime(now time.Duration) time.Duration {
	if f.admittedAt == 0 || now-f.admittedAt > firstRequestWindow {
		return 0
	}
	return f.admittedAt - f.startedAt
}

// forwardTo sends a packet to the relay that owns its flow.
func (e *Entry) forwardTo(to hop.IP, service routing.ServiceID, key packet.Key, raw []byte) {
	e.forwardWaited(to, service, key, raw, 0)
}

// forwardWaited sends a packet whose request has waited already.
func (e *Entry) forwardWaited(to hop.IP, service routing.ServiceID, key packet.Key, raw []byte, waited time.Duration) {
	e.Stats.Forwarded++
	objective, timeout := e.table.RouteTimes(key.Service)
	e.sendMessage(to, &hop.Message{
		Kind: hop.Forward, Service: uint64(service), Entry: e.cfg.Self, Packet: raw,
		MaxWait: hop.Milliseconds(objective), Timeout: hop.Milliseconds(timeout), Waited: hop.Milliseconds(waited),
	})
}

// handlePacket forwards a packet of an established flow, or looks up its owner.
func (e *Entry) handlePacket(now time.Duration, key packet.Key, v *packet.View, raw []byte) {
	f := e.flows[key]
	if f == nil {
		e.startLookup(now, key, v, raw, nil)
		return
	}
	f.lastSeen = now
	switch f.state {
	case queryingLikely, queryingAll, probing:
		e.holdPacket(f, raw)
	case notFound:
		if now >= f.due {
			e.startLookup(now, key, v, raw, nil)
		}
	case owned:
		if e.View.Lost(f.owner) {
			e.resetLostOwner(now, key, v, f)
			return
		}
		e.forwardWaited(f.owner, f.service, key, raw, f.synHoldTime(now))
	default:
		if v.Flags&(packet.ACK|packet.RST) == packet.ACK && v.Seq-f.isn <= 1 {
			// The caller has a SYN-ACK that this process has not been told of, so the SYN must not be
			// refused any more. The first candidate most likely has the flow; if not, its relay returns the
			// packet and the owner is looked up.
			f.state, f.unconfirmed, f.timerSet, f.tried = owned, true, false, nil
		}
		e.forwardTo(f.owner, f.service, key, raw)
	}
}

// resetLostOwner resets a flow whose relay no controller hears any more, so that the caller can connect to
// another target without waiting for its deadline.
func (e *Entry) resetLostOwner(now time.Duration, key packet.Key, v *packet.View, f *flow) {
	e.Stats.LostOwners++
	e.dropFlow(key)
	if !v.Flags.Has(packet.RST) {
		e.logDecision(now, decision.Decision{
			Kind: decision.Reset, Flow: key, Seq: f.isn, Target: f.owner, Took: now - f.startedAt, Code: result.TargetNotFound,
		})
		e.sendReset(key, v.Ack)
	}
}

func (e *Entry) holdPacket(f *flow, raw []byte) {
	if len(f.heldPackets) >= maxHeldPackets {
		e.Stats.HeldDropped++
		return
	}
	f.heldPackets = append(f.heldPackets, slices.Clone(raw))
}

// FromNode handles a datagram of a relay.
func (e *Entry) FromNode(now time.Duration, from hop.IP, datagram []byte) {
	m := &e.message
	if err := m.Parse(datagram); err != nil {
		e.Stats.Malformed++
		return
	}
	e.recordReach(now, from)
	switch m.Kind {
	case hop.Admitted:
		e.handleAdmitted(now, from, m)
	case hop.Refused:
		e.handleRefused(now, m)
	case hop.Returned:
		e.handleReturned(now, from, m)
	case hop.OwnerReply:
		e.handleOwnerReply(now, from, m)
	case hop.ProbeOwned, hop.ProbeNotOwned:
		e.handleProbeReply(now, from, m)
	case hop.FanoutReply:
		e.handleFanoutReply(now, from, m)
	default:
		e.Stats.Malformed++
	}
}

// NextDue returns the earliest time requested for Tick since the last call of NextDue, negative if none.
func (e *Entry) NextDue() time.Duration {
	due := e.nextDue
	e.nextDue = -1
	return due
}

// Tick runs the timers and queries that are due. It returns the time of the next call, negative if none is
// needed.
func (e *Entry) Tick(now time.Duration) time.Duration {
	e.sendQueries(now)
	for len(e.timers) > 0 && e.timers[0].due <= now {
		t := e.timers.pop()
		if f := e.flows[t.key]; f == t.flow && f.timerSet && f.due == t.due {
			f.timerSet = false
			e.onTimer(now, t.key, f)
		}
	}
	if len(e.timers) > 0 {
		e.requestTick(e.timers[0].due)
	}
	return e.NextDue()
}

func (e *Entry) onTimer(now time.Duration, key packet.Key, f *flow) {
	if f.state == offering {
		e.onOfferTimer(now, key, f)
		return
	}
	e.onLookupTimer(now, key, f)
}

// EvictIdle evicts idle flows from the cache, and drops load history of removed targets. It should be
// called every few seconds.
func (e *Entry) EvictIdle(now time.Duration) {
	for key, f := range e.flows {
		if now-f.lastSeen > flowIdleTimeout {
			e.dropFlow(key)
		}
	}
	e.picker.ForgetRemoved(e.View)
}

// Flows returns the number of flows in the cache.
func (e *Entry) Flows() int { return len(e.flows) }
