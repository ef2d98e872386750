// Package entry is the datagram data path of an entry VM. It offers the SYN of a new flow to targets
// in the order that package place gives, and sends every other packet to the target that owns its
// flow. What an entry VM remembers of flows is a cache: packets may arrive at any entry VM, which
// then asks the relays who owns the flow.
package entry

import (
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/decision"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/place"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/routing"
)

const (
	// firstRequest is the time after the opening of a flow in which its first request arrives: the answer to
	// the SYN and the request take a round trip to the caller.
	firstRequest = 100 * time.Millisecond
	// maxHeld bounds the packets of a flow that wait for its owner; an end has at most 16 in flight.
	maxHeld = 16
	// maxEarly bounds the packets that wait for the first configuration and the first list of targets,
	// earlyPatience the time that they wait. Callers repeat a SYN after 200 ms, so older ones come again.
	maxEarly      = 512
	earlyPatience = 250 * time.Millisecond
	// settleTime is the time from the first target that is known until flows are placed. Relays find a
	// controller that has just started within that time; placing at once would pile the flows of all
	// callers on the first target.
	settleTime = 70 * time.Millisecond
	// maxFlows bounds the memory of the flow cache to about 8 MB.
	maxFlows = 65536
	// flowLifetime is the time without packets after which a flow leaves the cache.
	flowLifetime = 20 * time.Second
)

// Ports is where an entry VM sends packets to. Packets are valid until the call returns.
type Ports interface {
	ToCaller(to packet.Addr, raw []byte)
	ToNode(to hop.IP, datagram []byte)
}

// Config configures an Entry.
type Config struct {
	Codec packet.Codec
	Self  hop.IP
	// LinkBytes is the bandwidth of the VM in bytes a second; zero for no limit.
	LinkBytes float64
	// Decisions takes the log lines of flows; nil for none.
	Decisions *decision.Log
	// Admission takes the time from the first packet of a flow to its admission; nil for nobody.
	Admission func(took time.Duration)
}

// Entry is the decision logic. It has no clock, goroutine or socket; one goroutine at a time may use
// it. Time is the duration since the start of the process.
type Entry struct {
	cfg    Config
	ports  Ports
	picker *place.Picker
	View   *roster.View
	Stats  Stats

	table     *routing.Table
	firstList time.Duration // time of the first list of targets, negative before
	settled   bool
	early     []earlyPacket

	flows   map[packet.Key]*flow
	timers  timerQueue
	soonest time.Duration // earliest time set since the last look, negative if none

	offers    pacer
	questions questions

	message hop.Message // scratch
	out     []byte
	chain   []hop.IP
}

// Stats counts what the entry VM has done. All counters only grow.
type Stats struct {
	Packets, Malformed, NoRoute               uint64
	Offered, Admitted, OfferedAgain           uint64
	Refused, NoTarget, OffersHeld, OffersBusy uint64
	Forwarded, Finds, Found, FoundNone        uint64
	Swept, FindsFailed, Resets, Probed        uint64
	HeldDropped, FlowsDropped, Returned       uint64
	LostOwners, Questions, EarlyReplayed      uint64
}

// earlyPacket is a packet that arrived before anything was known.
type earlyPacket struct {
	raw []byte
	at  time.Duration
}

type flowState uint8

const (
	offering  flowState = iota // the SYN is at the candidates
	owned                      // by the target of owner
	searching                  // the likely owners are asked
	sweeping                   // all relays are asked
	probing                    // the packet is at the targets of relays that are not sure
	unowned                    // a search has failed
)

type flow struct {
	state flowState
	owner hop.IP
	seen  time.Duration
	due   time.Duration // next step of offering or searching
	waits bool          // the timer for due is set
	began time.Duration
	round int

	// Of the SYN.
	syn     []byte
	isn     uint32
	service routing.ServiceID
	route   *routing.Route
	tried   []hop.IP
	busy    bool          // all targets were too busy at the last offer
	guessed bool          // the owner has not confirmed that it has the flow
	opened  time.Duration // when a target had accepted it; zero if this process has not seen that

	// While searching.
	ack      uint32
	held     [][]byte
	asked    []hop.IP
	unsure   []hop.IP
	notHere  []hop.IP
	probed   []hop.IP   // relays whose targets were handed the packet
	chains   [][]hop.IP // in which the relays of the last probe pass it on
	failures int        // searches in a row without a result
	swept    bool       // all relays were asked
	partial  bool       // and some did not answer
	sweeps   int        // surveys that were asked for
	groups   int        // groups of relays whose survey has not been answered
}

// New returns an entry VM without configuration and targets.
func New(cfg Config, picker *place.Picker, ports Ports) *Entry {
	return &Entry{
		cfg: cfg, ports: ports, picker: picker, View: roster.NewView(),
		flows: map[packet.Key]*flow{}, soonest: -1, firstList: -1,
		questions: newQuestions(cfg.LinkBytes),
	}
}

// SetTable puts a configuration in force. An older one than that in force is ignored; it reports
// whether the configuration is in force now.
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

// FromCaller takes in a packet of a caller.
func (e *Entry) FromCaller(now time.Duration, raw []byte) {
	e.Stats.Packets++
	v, err := e.cfg.Codec.Parse(raw)
	if err != nil || v.IsSYNACK() || v.Flags.Has(packet.Returned) {
		e.Stats.Malformed++
		return
	}
	if !e.knows(now) {
		e.keepEarly(now, raw)
		return
	}
	e.handle(now, &v, raw)
}

// knows reports whether packets can be handled: a configuration is in force and the targets are known.
func (e *Entry) knows(now time.Duration) bool {
	if e.settled {
		return true
	}
	if e.firstList < 0 && e.View.Len() > 0 {
		e.firstList = now
	}
	e.settled = e.table != nil && e.firstList >= 0 && now-e.firstList >= settleTime
	return e.settled
}

// keepEarly keeps a packet until the first configuration and the first targets are known.
func (e *Entry) keepEarly(now time.Duration, raw []byte) {
	if len(e.early) >= maxEarly {
		e.Stats.HeldDropped++
		return
	}
	e.early = append(e.early, earlyPacket{raw: slices.Clone(raw), at: now})
}

// Settle handles the packets that waited, once that is possible. It reports whether it has to be
// called again.
func (e *Entry) Settle(now time.Duration) bool {
	if !e.knows(now) {
		return true
	}
	early := e.early
	e.early = nil
	for _, p := range early {
		if now-p.at > earlyPatience {
			e.Stats.HeldDropped++
			continue
		}
		if v, err := e.cfg.Codec.Parse(p.raw); err == nil {
			e.Stats.EarlyReplayed++
			e.handle(now, &v, p.raw)
		}
	}
	return false
}

func (e *Entry) handle(now time.Duration, v *packet.View, raw []byte) {
	key := v.KeyFromCaller()
	if !e.table.HasRoute(v.Destination) {
		e.noRoute(now, key, v)
		return
	}
	if v.IsSYN() {
		e.open(now, key, v, raw)
		return
	}
	e.forward(now, key, v, raw)
}

// noRoute ends a flow for whose address there is no route, or no longer one.
func (e *Entry) noRoute(now time.Duration, key packet.Key, v *packet.View) {
	e.Stats.NoRoute++
	e.drop(key)
	if !v.Flags.Has(packet.RST) {
		e.note(now, decision.Decision{Kind: decision.Reset, Flow: key, Seq: v.Seq, Code: result.ServiceNotFound})
		e.reset(key, v.Ack)
	}
}

// note logs a decision with what it was based on.
func (e *Entry) note(now time.Duration, d decision.Decision) {
	if e.cfg.Decisions == nil {
		return
	}
	d.Version, d.ListAge = e.Version(), e.View.Age(now)
	if k := e.View.Get(d.Target); k != nil {
		d.Busy, d.Slots = k.Load/16, k.Slots
	}
	e.cfg.Decisions.Note(now, d)
}

// drop forgets a flow.
func (e *Entry) drop(key packet.Key) {
	delete(e.flows, key)
}

func (e *Entry) reset(key packet.Key, ack uint32) {
	e.Stats.Resets++
	e.ports.ToCaller(key.Caller, e.cfg.Codec.Reset(key, ack))
}

func (e *Entry) toNode(to hop.IP, m *hop.Message) {
	e.out = m.Append(e.out[:0])
	e.ports.ToNode(to, e.out)
}

// synWait is the time for which the first request of a flow has waited already, because its SYN was held.
func (f *flow) synWait(now time.Duration) time.Duration {
	if f.opened == 0 || now-f.opened > firstRequest {
		return 0
	}
	return f.opened - f.began
}

// send hands a packet to the relay of its owner.
func (e *Entry) send(to hop.IP, service routing.ServiceID, key packet.Key, raw []byte) {
	e.sendAged(to, service, key, raw, 0)
}

// sendAged hands on a packet of a request that has waited before it arrived.
func (e *Entry) sendAged(to hop.IP, service routing.ServiceID, key packet.Key, raw []byte, waited time.Duration) {
	e.Stats.Forwarded++
	objective, timeout := e.table.RouteTimes(key.Service)
	e.toNode(to, &hop.Message{
		Kind: hop.Forward, Service: uint64(service), Entry: e.cfg.Self, Packet: raw,
		MaxWait: hop.Milliseconds(objective), Timeout: hop.Milliseconds(timeout), Waited: hop.Milliseconds(waited),
	})
}

// forward handles a packet of a flow that should be open.
func (e *Entry) forward(now time.Duration, key packet.Key, v *packet.View, raw []byte) {
	f := e.flows[key]
	if f == nil {
		e.search(now, key, v, raw, nil)
		return
	}
	f.seen = now
	switch f.state {
	case searching, sweeping, probing:
		e.hold(f, raw)
	case unowned:
		if now >= f.due {
			e.search(now, key, v, raw, f.notHere)
		}
	case owned:
		if e.View.Lost(f.owner) {
			e.lostOwner(now, key, v, f)
			return
		}
		e.sendAged(f.owner, f.service, key, raw, f.synWait(now))
	default:
		if v.Flags&(packet.ACK|packet.RST) == packet.ACK && v.Seq-f.isn <= 1 {
			// The caller has an answer that this process has not been told of, so the SYN must not be refused
			// any more. The candidate that it was offered to first most likely has the flow; if not, its
			// relay gives the packet back, and the owner is searched.
			f.state, f.guessed, f.waits, f.tried = owned, true, false, nil
		}
		e.send(f.owner, f.service, key, raw)
	}
}

// lostOwner ends a flow whose relay no controller hears any more, so that its caller can go on with
// another target instead of waiting for its deadline.
func (e *Entry) lostOwner(now time.Duration, key packet.Key, v *packet.View, f *flow) {
	e.Stats.LostOwners++
	e.drop(key)
	if !v.Flags.Has(packet.RST) {
		e.note(now, decision.Decision{
			Kind: decision.Reset, Flow: key, Seq: f.isn, Target: f.owner, Took: now - f.began, Code: result.TargetNotFound,
		})
		e.reset(key, v.Ack)
	}
}

func (e *Entry) hold(f *flow, raw []byte) {
	if len(f.held) >= maxHeld {
		e.Stats.HeldDropped++
		return
	}
	f.held = append(f.held, slices.Clone(raw))
}

// FromNode takes in a datagram of a relay.
func (e *Entry) FromNode(now time.Duration, from hop.IP, datagram []byte) {
	m := &e.message
	if err := m.Parse(datagram); err != nil {
		e.Stats.Malformed++
		return
	}
	switch m.Kind {
	case hop.Admitted:
		e.admitted(now, from, m)
	case hop.Refused:
		e.refused(now, m)
	case hop.Returned:
		e.returned(now, from, m)
	case hop.FoundMany:
		e.foundMany(now, from, m)
	case hop.Owns, hop.Disowned:
		e.probed(now, from, m)
	case hop.Surveyed:
		e.surveyed(now, m)
	default:
		e.Stats.Malformed++
	}
}

// NextDue returns the time at which Tick has something to do, negative if nothing waits. It looks only
// at the times that were set since the last call.
func (e *Entry) NextDue() time.Duration {
	due := e.soonest
	e.soonest = -1
	return due
}

// Tick does what is due. It returns the time of the next call, or a negative one if nothing waits.
func (e *Entry) Tick(now time.Duration) time.Duration {
	e.sendQuestions(now)
	for len(e.timers) > 0 && e.timers[0].due <= now {
		t := e.timers.pop()
		if f := e.flows[t.key]; f == t.flow && f.waits && f.due == t.due {
			f.waits = false
			e.step(now, t.key, f)
		}
	}
	if len(e.timers) > 0 {
		e.due(e.timers[0].due)
	}
	return e.NextDue()
}

func (e *Entry) step(now time.Duration, key packet.Key, f *flow) {
	if f.state == offering {
		e.offerDue(now, key, f)
		return
	}
	e.searchDue(now, key, f)
}

// Sweep drops flows without packets from the cache. The caller calls it every few seconds.
func (e *Entry) Sweep(now time.Duration) {
	for key, f := range e.flows {
		if now-f.seen > flowLifetime {
			e.drop(key)
		}
	}
	e.picker.Forget(e.View)
}

// Flows returns the number of flows in the cache.
func (e *Entry) Flows() int { return len(e.flows) }
