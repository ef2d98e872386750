// Package entry is the datagram data path of an entry VM. It offers the SYN of a new flow to targets
// in the order that package place gives, and sends every other packet to the target that owns its
// flow. What an entry VM remembers of flows is a cache: packets may arrive at any entry VM, which
// then asks the relays who owns the flow.
package entry

import (
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/place"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/routing"
)

const (
	// admitTimeout is the time after which a SYN that nobody has accepted is offered to others. A chain
	// of four relays and the answer of the target take below 10 ms between availability zones.
	admitTimeout = 50 * time.Millisecond
	// callerPatience is the time after which a caller gives up a SYN.
	callerPatience = 1400 * time.Millisecond
	// maxRounds bounds the chains that one SYN is offered to.
	maxRounds = 4
	// findTimeout is the time after which relays that did not answer are asked again.
	findTimeout = 25 * time.Millisecond
	// findRounds bounds the questions. Then the relays that are not sure get the packet.
	findRounds = 3
	// findPause is the time after a search without a result in which the flow is not searched again.
	// Both ends repeat their packets, the first time after 200 ms.
	findPause = 150 * time.Millisecond
	// probeTimeout is the time that the targets of unsure relays have for taking or returning a packet.
	probeTimeout = 40 * time.Millisecond
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
	flows     map[packet.Key]*flow
	// waiting are the flows with a timer, in no particular order.
	waiting map[packet.Key]*flow
	soonest time.Duration // earliest timer set since the last look, negative if none

	message hop.Message // scratch
	out     []byte
	chain   []hop.IP
}

// Stats counts what the entry VM has done. All counters only grow.
type Stats struct {
	Packets, Malformed, NoRoute         uint64
	Offered, Admitted, OfferedAgain     uint64
	Refused, NoTarget                   uint64
	Forwarded, Finds, Found, FoundNone  uint64
	FindsFailed, ResetUnowned, Probed   uint64
	HeldDropped, FlowsDropped, Returned uint64
}

// earlyPacket is a packet that arrived before anything was known.
type earlyPacket struct {
	raw []byte
	at  time.Duration
}

type flowState uint8

const (
	offering flowState = iota // the SYN is at the candidates
	owned
	searching
	unowned // a search has failed
)

type flow struct {
	state flowState
	owner hop.IP
	seen  time.Duration
	due   time.Duration // next step of offering or searching
	began time.Duration
	round int

	// While offering.
	syn     []byte
	isn     uint32
	service routing.ServiceID
	tried   []hop.IP

	// While searching.
	ack     uint32
	held    [][]byte
	asked   []hop.IP
	unsure  []hop.IP
	notHere []hop.IP
	probing bool // the packet is at the targets of unsure relays
}

// New returns an entry VM without configuration and targets.
func New(cfg Config, picker *place.Picker, ports Ports) *Entry {
	return &Entry{
		cfg: cfg, ports: ports, picker: picker, View: roster.NewView(),
		flows: map[packet.Key]*flow{}, waiting: map[packet.Key]*flow{}, soonest: -1, firstList: -1,
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
	if err != nil || v.Accepts() || v.Flags.Has(packet.Returned) {
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
			e.handle(now, &v, p.raw)
		}
	}
	return false
}

func (e *Entry) handle(now time.Duration, v *packet.View, raw []byte) {
	key := v.FromCaller()
	if !e.table.Has(v.Destination) {
		e.noRoute(key, v)
		return
	}
	if v.Opens() {
		e.open(now, key, v, raw)
		return
	}
	e.forward(now, key, v, raw)
}

// noRoute ends a flow for whose address there is no route, or no longer one.
func (e *Entry) noRoute(key packet.Key, v *packet.View) {
	e.Stats.NoRoute++
	delete(e.flows, key)
	delete(e.waiting, key)
	if v.Flags.Has(packet.RST) {
		return
	}
	e.reset(key, v.Ack)
}

func (e *Entry) reset(key packet.Key, ack uint32) {
	e.ports.ToCaller(key.Caller, e.cfg.Codec.Reset(key, ack))
}

// open handles a SYN.
func (e *Entry) open(now time.Duration, key packet.Key, v *packet.View, raw []byte) {
	if f := e.flows[key]; f != nil && f.isn == v.Seq && (f.state == offering || f.state == owned) {
		f.seen = now
		if f.state == owned {
			e.send(f.owner, f.service, raw)
			return
		}
		// The copies of the caller come after 200 ms and 600 ms; the SYN is at other candidates by then.
		return
	}
	if len(e.flows) >= maxFlows {
		e.Stats.FlowsDropped++
		return
	}
	_, service, _ := e.table.Lookup(v.Destination, key.Hash())
	f := &flow{state: offering, seen: now, began: now, isn: v.Seq, service: service, syn: slices.Clone(raw)}
	e.flows[key] = f
	e.offer(now, key, f)
}

// offer sends the SYN to the next candidates, or refuses it if there are none.
func (e *Entry) offer(now time.Duration, key packet.Key, f *flow) {
	e.chain = e.picker.Candidates(now, e.View, f.service, f.tried, e.chain)
	if len(e.chain) == 0 || f.round >= maxRounds {
		e.refuse(key, f)
		return
	}
	e.Stats.Offered++
	f.round++
	f.owner = e.chain[0]
	f.tried = append(f.tried, e.chain[0])
	e.wait(key, f, now+admitTimeout)
	e.picker.Offered(now, e.chain[0])
	m := hop.Message{Kind: hop.Forward, Service: uint64(f.service), Entry: e.cfg.Self, Candidates: e.chain, Packet: f.syn}
	e.toNode(e.chain[0], &m)
}

// refuse tells the caller at once that the flow will not open.
func (e *Entry) refuse(key packet.Key, f *flow) {
	e.Stats.NoTarget++
	delete(e.waiting, key)
	delete(e.flows, key)
	e.reset(key, 0)
	f.syn = nil
}

func (e *Entry) toNode(to hop.IP, m *hop.Message) {
	e.out = m.Append(e.out[:0])
	e.ports.ToNode(to, e.out)
}

// send hands a packet to the relay of its owner.
func (e *Entry) send(to hop.IP, service routing.ServiceID, raw []byte) {
	e.Stats.Forwarded++
	e.toNode(to, &hop.Message{Kind: hop.Forward, Service: uint64(service), Entry: e.cfg.Self, Packet: raw})
}

// forward handles a packet of a flow that should be open.
func (e *Entry) forward(now time.Duration, key packet.Key, v *packet.View, raw []byte) {
	f := e.flows[key]
	switch {
	case f == nil:
		e.search(now, key, v, raw, nil)
	case f.state == searching:
		e.hold(f, raw)
	case f.state == unowned && now < f.due:
		f.seen = now
	case f.state == unowned:
		e.search(now, key, v, raw, nil)
	default:
		// While offering, the caller has an answer that this process has not been told of; the candidate
		// it was offered to first most likely has the flow.
		f.seen = now
		e.send(f.owner, f.service, raw)
	}
}

func (e *Entry) hold(f *flow, raw []byte) {
	if len(f.held) >= maxHeld {
		e.Stats.HeldDropped++
		return
	}
	f.held = append(f.held, slices.Clone(raw))
}

// search asks all relays who owns a flow, except those that have given a packet of it back.
func (e *Entry) search(now time.Duration, key packet.Key, v *packet.View, raw []byte, notHere []hop.IP) {
	if v.Flags.Has(packet.RST) && e.View.Len() == 0 {
		return
	}
	if len(e.flows) >= maxFlows {
		e.Stats.FlowsDropped++
		return
	}
	e.Stats.Finds++
	f := &flow{state: searching, seen: now, began: now, ack: v.Ack, notHere: notHere}
	e.flows[key] = f
	e.hold(f, raw)
	e.ask(now, key, f)
}

// ask sends the question to the relays that have not answered. Targets of every service are asked:
// a flow stays where it is when the route changes its service.
func (e *Entry) ask(now time.Duration, key packet.Key, f *flow) {
	f.round++
	e.wait(key, f, now+findTimeout*time.Duration(f.round))
	f.asked = f.asked[:0]
	m := hop.Message{Kind: hop.Find, Key: key, Ack: f.ack}
	e.out = m.Append(e.out[:0])
	e.View.Each(func(k *roster.Known) {
		f.asked = append(f.asked, k.Relay)
		if !slices.Contains(f.notHere, k.Relay) && !slices.Contains(f.unsure, k.Relay) {
			e.ports.ToNode(k.Relay, e.out)
		}
	})
	e.conclude(now, key, f)
}

// unanswered returns the number of relays that have not said whether they have the flow.
func (f *flow) unanswered() int {
	open := 0
	for _, ip := range f.asked {
		if !slices.Contains(f.notHere, ip) && !slices.Contains(f.unsure, ip) {
			open++
		}
	}
	return open
}

// conclude goes on with a search once every relay has answered.
func (e *Entry) conclude(now time.Duration, key packet.Key, f *flow) {
	switch {
	case f.unanswered() > 0:
	case len(f.unsure) > 0:
		e.probe(now, key, f)
	case len(f.asked) > 0:
		e.nobody(key, f)
	}
}

// searchDue goes on with a search at its timer.
func (e *Entry) searchDue(now time.Duration, key packet.Key, f *flow) {
	switch {
	case f.probing:
		e.giveUp(now, key, f)
	case f.round < findRounds:
		e.ask(now, key, f)
	case len(f.unsure) > 0:
		e.probe(now, key, f)
	default:
		e.giveUp(now, key, f)
	}
}

// nobody ends a search when every relay knows that it does not have the flow.
func (e *Entry) nobody(key packet.Key, f *flow) {
	e.Stats.FoundNone++
	delete(e.waiting, key)
	delete(e.flows, key)
	if v, err := e.cfg.Codec.Parse(f.held[0]); err == nil && !v.Flags.Has(packet.RST) {
		e.Stats.ResetUnowned++
		e.reset(key, f.ack)
	}
}

// giveUp ends a search without a result. The flow may be at a target that cannot be reached now, so it
// is not reset.
func (e *Entry) giveUp(now time.Duration, key packet.Key, f *flow) {
	e.Stats.FindsFailed++
	delete(e.waiting, key)
	f.held, f.unsure = nil, nil
	f.state, f.due = unowned, now+findPause
}

// probe hands the first packet to the targets whose relays are not sure. The one that has the flow
// answers it, the others return it.
func (e *Entry) probe(now time.Duration, key packet.Key, f *flow) {
	e.Stats.Probed++
	f.probing = true
	unsure := f.unsure
	f.unsure = nil
	e.wait(key, f, now+probeTimeout)
	for _, ip := range unsure {
		e.send(ip, f.service, f.held[0])
	}
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
	case hop.Found:
		e.found(now, from, m)
	default:
		e.Stats.Malformed++
	}
}

func (e *Entry) admitted(now time.Duration, from hop.IP, m *hop.Message) {
	e.View.SetLoad(now, from, m.Load)
	e.picker.Answered(from)
	f := e.flows[m.Key]
	if f == nil || f.isn != m.Seq || f.state != offering {
		return // a second target has accepted a copy; the caller's next packet tells who has the flow
	}
	e.Stats.Admitted++
	delete(e.waiting, m.Key)
	f.state, f.owner, f.syn, f.tried = owned, from, nil, nil
}

func (e *Entry) refused(now time.Duration, m *hop.Message) {
	v, err := e.cfg.Codec.Parse(m.Packet)
	if err != nil {
		e.Stats.Malformed++
		return
	}
	key := v.FromCaller()
	f := e.flows[key]
	if f == nil || f.state != offering || f.isn != v.Seq {
		return
	}
	e.Stats.Refused++
	for _, c := range m.Candidates {
		if !slices.Contains(f.tried, c) {
			f.tried = append(f.tried, c)
		}
	}
	e.offer(now, key, f)
}

// returned handles a packet whose flow is not where it was sent.
func (e *Entry) returned(now time.Duration, from hop.IP, m *hop.Message) {
	e.Stats.Returned++
	v, err := e.cfg.Codec.Parse(m.Packet)
	if err != nil {
		e.Stats.Malformed++
		return
	}
	key := v.FromCaller()
	f := e.flows[key]
	switch {
	case f != nil && f.state == searching:
		if !slices.Contains(f.notHere, from) {
			f.notHere = append(f.notHere, from)
		}
		e.conclude(now, key, f)
	case f != nil && f.state == owned && f.owner != from:
		e.send(f.owner, f.service, m.Packet)
	case f != nil && f.state == unowned && now < f.due:
	default:
		delete(e.waiting, key)
		e.search(now, key, &v, m.Packet, []hop.IP{from})
	}
}

func (e *Entry) found(now time.Duration, from hop.IP, m *hop.Message) {
	f := e.flows[m.Key]
	if f == nil || f.state != searching {
		return
	}
	switch m.Answer {
	case hop.Owned:
		e.Stats.Found++
		delete(e.waiting, m.Key)
		f.state, f.owner = owned, from
		held := f.held
		f.held, f.asked, f.unsure, f.notHere = nil, nil, nil, nil
		for _, raw := range held {
			e.send(from, f.service, raw)
		}
	case hop.Unsure:
		if !slices.Contains(f.unsure, from) {
			f.unsure = append(f.unsure, from)
		}
		e.conclude(now, m.Key, f)
	default:
		if !slices.Contains(f.notHere, from) {
			f.notHere = append(f.notHere, from)
		}
		e.conclude(now, m.Key, f)
	}
}

// Tick does what is due. It returns the time of the next call, or a negative one if nothing waits.
func (e *Entry) Tick(now time.Duration) time.Duration {
	next := time.Duration(-1)
	for key, f := range e.waiting {
		if f.due <= now {
			e.step(now, key, f)
		}
		if e.waiting[key] == f && (next < 0 || f.due < next) {
			next = f.due
		}
	}
	return next
}

// NextDue returns the time at which Tick has something to do, negative if nothing waits. It looks at
// the earliest timer that was set since the last Tick only, so that a packet costs no scan.
func (e *Entry) NextDue() time.Duration {
	due := e.soonest
	e.soonest = -1
	return due
}

// wait sets the timer of a flow.
func (e *Entry) wait(key packet.Key, f *flow, due time.Duration) {
	f.due = due
	e.waiting[key] = f
	if e.soonest < 0 || due < e.soonest {
		e.soonest = due
	}
}

func (e *Entry) step(now time.Duration, key packet.Key, f *flow) {
	if f.state == searching {
		e.searchDue(now, key, f)
		return
	}
	// The candidate that the SYN was sent to is gone, or the chain behind it broke.
	e.picker.Suspect(now, f.owner)
	if now-f.began > callerPatience {
		delete(e.waiting, key)
		delete(e.flows, key)
		return
	}
	e.Stats.OfferedAgain++
	e.offer(now, key, f)
}

// Sweep drops flows without packets from the cache. The caller calls it every few seconds.
func (e *Entry) Sweep(now time.Duration) {
	for key, f := range e.flows {
		if now-f.seen > flowLifetime {
			delete(e.flows, key)
			delete(e.waiting, key)
		}
	}
	e.picker.Forget(e.View)
}

// Flows returns the number of flows in the cache.
func (e *Entry) Flows() int { return len(e.flows) }
