package flowtable_test

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/flowtable"
	"github.com/greengagelock/greengagelock/internal/model"
)

// event is something that happens at a time in the world.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), q[i].order-q[j].order) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// maxEvents is far above what the packets of a scenario need, and is exceeded at once when two ends
// answer each other for ever.
const maxEvents = 1_000_000

// faults are the faults of the network between balancers, agents and callers.
type faults struct {
	loss, duplicate, late float64
}

// world runs callers, balancers, agents and targets in virtual time.
type world struct {
	fail      func(format string, args ...any)
	rng       *rand.Rand
	now       time.Duration
	events    eventQueue
	order     int
	handled   int // events
	faults    faults
	truth     *model.View
	agents    map[netip.AddrPort]*simAgent
	balancers []*simBalancer
	callers   map[netip.AddrPort]*tcpEnd
	runs      map[string]int
	silenced  map[netip.AddrPort]bool // callers that receive and send nothing any more
	broken    []string
	mayBreak  bool // services exchange their addresses, so that a caller may get a push
	refused   map[string]string
	finished  int
	noted     map[flowtable.Event]int
	drops     map[flow.DropReason]int
}

func newWorld(seed uint64, fail func(string, ...any)) *world {
	return &world{
		fail: fail, rng: rand.New(rand.NewPCG(seed, 1)), truth: model.NewView(),
		agents: map[netip.AddrPort]*simAgent{}, callers: map[netip.AddrPort]*tcpEnd{},
		runs: map[string]int{}, silenced: map[netip.AddrPort]bool{},
		refused: map[string]string{}, noted: map[flowtable.Event]int{}, drops: map[flow.DropReason]int{},
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now + d, w.order, do})
}

// runUntil runs the world up to a time.
func (w *world) runUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		if w.handled++; w.handled > maxEvents {
			w.fail("a packet storm: %d events until %v", w.handled, w.now)
		}
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// transfer carries a packet over the network, where it may be lost, doubled or late.
func (w *world) transfer(raw []byte, arrive func([]byte)) {
	copies := 1
	if w.rng.Float64() < w.faults.duplicate {
		copies = 2
	}
	for range copies {
		if w.rng.Float64() < w.faults.loss {
			continue
		}
		delay := time.Millisecond + time.Duration(w.rng.Int64N(int64(2*time.Millisecond)))
		if w.rng.Float64() < w.faults.late {
			delay += time.Duration(w.rng.Int64N(int64(3 * time.Second)))
		}
		data := slices.Clone(raw)
		w.after(delay, func() { arrive(data) })
	}
}

// change changes the truth and gives the changed service a new generation.
func (w *world) change(id model.ServiceID, f func(v *model.View)) {
	next := w.truth.Clone()
	f(next)
	next.Generation++
	if s, ok := next.Services[id]; ok {
		s.Generation = next.Generation
		next.Services[id] = s
	}
	w.truth = next
}

// chain is the list of candidates of a view: admitting targets for a SYN; for other packets all
// targets, lost ones last.
func chain(v *model.View, id model.ServiceID, hash uint64, syn bool) []encap.Candidate {
	type ranked struct {
		c     encap.Candidate
		lost  bool
		score uint64
	}
	var all []ranked
	for _, t := range v.TargetsOf(id) {
		if syn && t.State != model.TargetActive {
			continue
		}
		var buf [16]byte
		binary.BigEndian.PutUint64(buf[:], hash%1024)
		binary.BigEndian.PutUint64(buf[8:], uint64(t.ID))
		all = append(all, ranked{encap.CandidateOf(&t), t.State == model.TargetLost, xxhash.Sum64(buf[:])})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.lost != b.lost {
			if a.lost {
				return 1
			}
			return -1
		}
		return cmp.Compare(b.score, a.score)
	})
	list := make([]encap.Candidate, len(all))
	for i := range all {
		list[i] = all[i].c
	}
	return list
}

// simNode is the control side of a balancer or an agent: it polls the truth.
type simNode struct {
	w       *world
	view    *model.View
	contact time.Duration
	cutTill time.Duration
	dead    bool
	apply   func()
}

// poll fetches the view now and then, unless the node is cut from control.
func (n *simNode) poll() {
	if n.dead {
		return
	}
	if n.w.now >= n.cutTill {
		n.contact = n.w.now
		if n.view != n.w.truth {
			n.view = n.w.truth
			n.apply()
		}
	}
	n.w.after(100*time.Millisecond+time.Duration(n.w.rng.Int64N(int64(time.Second))), n.poll)
}

func (n *simNode) age() time.Duration { return n.w.now - n.contact }

// simBalancer is a balancer with a view and hints of its own.
type simBalancer struct {
	simNode
	addr  netip.AddrPort
	hints map[flow.Key]encap.Candidate
}

func (w *world) addBalancer() {
	b := &simBalancer{hints: map[flow.Key]encap.Candidate{}}
	b.addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(len(w.balancers))}), 7000)
	b.simNode = simNode{w: w, view: w.truth, contact: w.now, apply: func() {}}
	w.balancers = append(w.balancers, b)
	b.poll()
}

// ingress sprays a packet of a caller over the balancers.
func (w *world) ingress(raw []byte) {
	b := w.balancers[w.rng.IntN(len(w.balancers))]
	if b.dead {
		return
	}
	var p flow.Packet
	if reason := p.Parse(raw); reason != flow.DropNone {
		w.fail("caller sent a bad packet: %s", reason)
	}
	for _, s := range b.view.Services {
		if s.Address == p.Key.Service {
			b.forward(s, &p)
			return
		}
	}
}

func (b *simBalancer) forward(s model.Service, p *flow.Packet) {
	list := chain(b.view, s.ID, p.Key.Hash(), p.IsSYN())
	if len(list) == 0 {
		return
	}
	if owner, ok := b.hints[p.Key]; ok && !p.IsSYN() {
		if i := slices.Index(list, owner); i > 0 {
			list = slices.Insert(slices.Delete(list, i, i+1), 0, owner)
		}
	}
	h := encap.Header{Service: s.ID, Generation: s.Generation, BestWait: encap.NoWait, Ingress: b.addr}
	h.ControlAge = uint8(min(b.age()/encap.ControlAgeUnit+1, encap.MaxControlAge))
	h.Count = uint8(copy(h.Candidates[:], list))
	b.w.toAgent(&h, p.Raw)
}

// toAgent carries a datagram to the current candidate.
func (w *world) toAgent(h *encap.Header, raw []byte) {
	if h.Hops >= encap.MaxHops {
		w.fail("a packet was forwarded after %d hops", h.Hops)
	}
	header := *h
	w.transfer(raw, func(raw []byte) {
		if a := w.agents[header.Current().Agent]; a != nil {
			a.fromFabric(header, raw)
		}
	})
}

// signal carries a signal to an agent.
func (w *world) signal(s encap.Signal, to netip.AddrPort) {
	w.transfer(nil, func([]byte) {
		if a := w.agents[to]; a != nil && !a.down {
			a.act(a.table.Signal(w.now, &s), 0)
		}
	})
}

// newService adds a service with policy s.
func (w *world) newService(s model.Service) {
	w.change(s.ID, func(v *model.View) { v.Services[s.ID] = s })
}

// toCaller carries a packet to a caller.
func (w *world) toCaller(raw []byte) {
	w.transfer(raw, func(raw []byte) {
		var p flow.Packet
		if reason := p.Parse(raw); reason != flow.DropNone {
			w.fail("agent sent a bad packet: %s", reason)
		}
		if w.silenced[p.Key.Service] {
			return
		}
		if e := w.callers[p.Key.Service]; e != nil && e.state != tcpClosed {
			e.handle(&p)
			return
		}
		if p.TCP.RST {
			return
		}
		// A host without the connection answers as RFC 9293 asks.
		if answer, err := flow.Reset(&p); err == nil {
			w.ingress(answer)
		}
	})
}

// call opens a flow. A request gets one answer; a stream gets pushes until the end.
func (w *world) call(id string, from, to netip.AddrPort, request bool) *tcpEnd {
	e := &tcpEnd{w: w, local: from, remote: to, iss: w.rng.Uint32(), window: 60000}
	e.send = func(raw []byte) {
		if !w.silenced[from] {
			w.transfer(raw, w.ingress)
		}
	}
	e.onOpen = func() { e.write(chunk{data: id}) }
	e.onRefuse = func(reason string) { w.refused[id] = reason }
	e.onBreak = func(why string) {
		w.broken = append(w.broken, fmt.Sprintf("%s at %s: %s", id, w.now, why))
	}
	e.onData = func(data string) {
		if request && data == "answer "+id {
			w.finished++
			e.write(chunk{fin: true})
		}
		if request && !w.mayBreak && data != "answer "+id {
			w.fail("caller %s received %q", id, data)
		}
	}
	w.callers[from] = e
	e.connect()
	return e
}
