package flowtable_test

import (
	"cmp"
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
	"github.com/greengagelock/greengagelock/internal/testkit"
)

// maxEvents is far more than the packets of a scenario need. Two ends that answer each other without end
// exceed it at once.
const maxEvents = 1_000_000

// faults are the probabilities that a packet between callers, balancers and agents is lost, duplicated or
// delayed.
type faults struct {
	loss, duplicate, late float64
}

// world simulates callers, balancers, agents and targets in virtual time.
type world struct {
	fail func(format string, args ...any)
	rng  *rand.Rand
	testkit.Timeline
	handledEvents         int
	faults                faults
	controlView           *model.View
	agents                map[netip.AddrPort]*simAgent
	balancers             []*simBalancer
	callers               map[netip.AddrPort]*tcpEnd
	runCounts             map[string]int
	silentCallers         map[netip.AddrPort]bool // callers that no longer receive or send anything
	brokenFlows           []string
	mayReceiveForeignData bool // services exchange addresses, so a request may receive stream data
	refused               map[string]string
	finishedRequests      int
	eventCounts           map[flowtable.Event]int
	dropCounts            map[flow.DropReason]int
}

func newWorld(seed uint64, fail func(string, ...any)) *world {
	return &world{
		fail: fail, rng: rand.New(rand.NewPCG(seed, 1)), controlView: model.NewView(),
		agents: map[netip.AddrPort]*simAgent{}, callers: map[netip.AddrPort]*tcpEnd{},
		runCounts: map[string]int{}, silentCallers: map[netip.AddrPort]bool{},
		refused: map[string]string{}, eventCounts: map[flowtable.Event]int{}, dropCounts: map[flow.DropReason]int{},
	}
}

// runUntil runs the world up to a time.
func (w *world) runUntil(end time.Duration) {
	for w.RunNext(end) {
		if w.handledEvents++; w.handledEvents > maxEvents {
			w.fail("packets are answered without end: %d events until %v", w.handledEvents, w.Now)
		}
	}
}

// transfer sends a packet over the network, which may lose, duplicate or delay it.
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
		w.After(delay, func() { arrive(data) })
	}
}

// changeService changes the view of control and gives the changed service a new generation.
func (w *world) changeService(id model.ServiceID, f func(v *model.View)) {
	next := w.controlView.Clone()
	f(next)
	next.Generation++
	if s, ok := next.Services[id]; ok {
		s.Generation = next.Generation
		next.Services[id] = s
	}
	w.controlView = next
}

// chain returns the ranked candidates of a view: for a SYN the admitting targets, for other packets all
// targets with the lost ones last.
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

// simNode is the part of a simulated balancer or agent that polls the view of control.
type simNode struct {
	w                 *world
	view              *model.View
	lastContact       time.Duration
	disconnectedUntil time.Duration
	stopped           bool
	onView            func()
}

// poll fetches the view every 0.1 to 1.1 s, unless the node is disconnected from control.
func (n *simNode) poll() {
	if n.stopped {
		return
	}
	if n.w.Now >= n.disconnectedUntil {
		n.lastContact = n.w.Now
		if n.view != n.w.controlView {
			n.view = n.w.controlView
			n.onView()
		}
	}
	n.w.After(100*time.Millisecond+time.Duration(n.w.rng.Int64N(int64(time.Second))), n.poll)
}

func (n *simNode) controlAge() time.Duration { return n.w.Now - n.lastContact }

// simBalancer is a simulated balancer with its own view and hints.
type simBalancer struct {
	simNode
	addr  netip.AddrPort
	hints map[flow.Key]encap.Candidate
}

func (w *world) addBalancer() {
	b := &simBalancer{hints: map[flow.Key]encap.Candidate{}}
	b.addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(len(w.balancers))}), 7000)
	b.simNode = simNode{w: w, view: w.controlView, lastContact: w.Now, onView: func() {}}
	w.balancers = append(w.balancers, b)
	b.poll()
}

// sendToBalancer hands a packet of a caller to a random balancer.
func (w *world) sendToBalancer(raw []byte) {
	b := w.balancers[w.rng.IntN(len(w.balancers))]
	if b.stopped {
		return
	}
	var p flow.Packet
	if reason := p.Parse(raw); reason != flow.DropNone {
		w.fail("caller sent a malformed packet: %s", reason)
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
	h := encap.Header{Service: s.ID, Generation: s.Generation, BestWait: encap.NoBestWait, Ingress: b.addr}
	h.ControlAge = uint8(min(b.controlAge()/encap.ControlAgeUnit+1, encap.MaxControlAge))
	h.Count = uint8(copy(h.Candidates[:], list))
	b.w.sendToAgent(&h, p.Raw)
}

// sendToAgent sends a datagram to the agent of the current candidate.
func (w *world) sendToAgent(h *encap.Header, raw []byte) {
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

// sendSignal sends a signal to an agent.
func (w *world) sendSignal(s encap.Signal, to netip.AddrPort) {
	w.transfer(nil, func([]byte) {
		if a := w.agents[to]; a != nil && !a.down {
			a.execute(a.table.Signal(w.Now, &s), 0)
		}
	})
}

// addService adds a service to the view of control.
func (w *world) addService(s model.Service) {
	w.changeService(s.ID, func(v *model.View) { v.Services[s.ID] = s })
}

// sendToCaller sends a packet to a caller.
func (w *world) sendToCaller(raw []byte) {
	w.transfer(raw, func(raw []byte) {
		var p flow.Packet
		if reason := p.Parse(raw); reason != flow.DropNone {
			w.fail("agent sent a malformed packet: %s", reason)
		}
		if w.silentCallers[p.Key.Service] {
			return
		}
		if e := w.callers[p.Key.Service]; e != nil && e.state != tcpClosed {
			e.handle(&p)
			return
		}
		if p.TCP.RST {
			return
		}
		// A host without the connection answers with a RST, as RFC 9293 requires.
		if answer, err := flow.Reset(&p); err == nil {
			w.sendToBalancer(answer)
		}
	})
}

// call opens a flow. A request closes it after its answer; a stream receives data until the end of the
// test.
func (w *world) call(id string, from, to netip.AddrPort, request bool) *tcpEnd {
	e := &tcpEnd{w: w, local: from, remote: to, iss: w.rng.Uint32(), window: 60000}
	e.send = func(raw []byte) {
		if !w.silentCallers[from] {
			w.transfer(raw, w.sendToBalancer)
		}
	}
	e.onOpen = func() { e.write(chunk{data: id}) }
	e.onRefused = func(reason string) { w.refused[id] = reason }
	e.onBroken = func(why string) {
		w.brokenFlows = append(w.brokenFlows, fmt.Sprintf("%s at %s: %s", id, w.Now, why))
	}
	e.onData = func(data string) {
		if request && data == "answer "+id {
			w.finishedRequests++
			e.write(chunk{fin: true})
		}
		if request && !w.mayReceiveForeignData && data != "answer "+id {
			w.fail("caller %s received %q", id, data)
		}
	}
	w.callers[from] = e
	e.connect()
	return e
}
