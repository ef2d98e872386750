package flowtable_test

import (
	"net/netip"
	"strings"
	"time"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/flowtable"
	"github.com/greengagelock/greengagelock/internal/model"
)

// simAgent is an agent with the kernel and the application of its target.
type simAgent struct {
	simNode
	addr    netip.AddrPort
	target  model.TargetID
	service model.ServiceID
	table   *flowtable.Table
	ticking int
	down    bool

	conns    map[flow.Key]*tcpEnd
	deaf     bool // the listener answers SYNs with RST
	mute     bool // the kernel receives and sends nothing
	workTime time.Duration
}

// join adds a target with its agent.
func (w *world) join(id model.TargetID, service model.ServiceID, addr netip.AddrPort, slots int) *simAgent {
	a := &simAgent{addr: addr, target: id, service: service, conns: map[flow.Key]*tcpEnd{}, workTime: 300 * time.Millisecond}
	a.simNode = simNode{w: w, apply: a.applyView}
	a.table = flowtable.New(flowtable.Config{Extend: a.extend})
	w.agents[addr] = a
	w.change(service, func(v *model.View) {
		v.Targets[id] = model.Target{ID: id, Service: service, Agent: addr, Slots: slots, MaxConns: 50}
	})
	a.poll()
	return a
}

// setState changes the state of a target in the truth.
func (w *world) setState(id model.TargetID, s model.TargetState) {
	t, ok := w.truth.Targets[id]
	if !ok {
		return
	}
	t.State = s
	w.change(t.Service, func(v *model.View) { v.Targets[id] = t })
}

func (a *simAgent) extend(service model.ServiceID, hash uint64, k int, syn bool) []encap.Candidate {
	if a.view == nil {
		return nil
	}
	list := chain(a.view, service, hash, syn)
	return list[min(len(list), k*encap.MaxCandidates):min(len(list), (k+1)*encap.MaxCandidates)]
}

func (a *simAgent) applyView() {
	var endpoints []flowtable.Endpoint
	if t, ok := a.view.Targets[a.target]; ok {
		endpoints = append(endpoints, flowtable.NewEndpoint(a.view, t))
	}
	a.act(a.table.SetEndpoints(a.w.now, endpoints), 0)
}

// restart replaces the agent process; its target and the target's kernel go on.
func (a *simAgent) restart(downtime time.Duration) {
	a.down, a.dead = true, true
	a.w.after(downtime, func() {
		a.down, a.dead = false, false
		a.view = nil
		a.table = flowtable.New(flowtable.Config{Extend: a.extend, Recovering: true})
		a.poll()
	})
}

// restartTarget replaces the target process and its kernel.
func (a *simAgent) restartTarget() {
	for _, e := range a.conns {
		e.state = tcpClosed
	}
	a.conns = map[flow.Key]*tcpEnd{}
	if !a.down {
		a.act(a.table.TargetRestarted(a.w.now), 0)
	}
}

func (a *simAgent) fromFabric(h encap.Header, raw []byte) {
	if a.down {
		return
	}
	var p flow.Packet
	if p.Parse(raw) != flow.DropNone {
		a.w.fail("an agent received a bad packet")
	}
	a.table.SetControlAge(a.w.now, a.age())
	a.act(a.table.FromFabric(a.w.now, &h, &p), h.Service)
}

// act carries out actions. The service is that of the header that caused them, or zero.
func (a *simAgent) act(actions []flowtable.Action, service model.ServiceID) {
	w := a.w
	// Carrying out an action may call the table again, which reuses the slice.
	actions = append([]flowtable.Action(nil), actions...)
	for _, action := range actions {
		switch action.Kind {
		case flowtable.Deliver:
			if service != 0 {
				a.checkIsolation(service, action.Packet)
			}
			a.toKernel(action.Packet)
		case flowtable.SendCaller:
			w.toCaller(action.Packet)
		case flowtable.Forward:
			w.toAgent(action.Header, action.Packet)
		case flowtable.SendHint:
			for _, b := range w.balancers {
				if b.addr == action.Header.Ingress && !b.dead {
					b.hints[action.Hint.Flow] = action.Hint.Owner
				}
			}
		case flowtable.SendSignal:
			w.signal(action.Signal, action.To)
		case flowtable.Drop:
			w.drops[action.Reason]++
		case flowtable.Note:
			w.noted[action.Event]++
			if action.Event == flowtable.EventAdmitted && a.view.Targets[a.target].State == model.TargetDraining {
				w.fail("target %d admits while it is draining", a.target)
			}
		}
	}
	a.armTick()
}

// checkIsolation verifies that a packet meant for a service goes to a target of that service.
func (a *simAgent) checkIsolation(service model.ServiceID, raw []byte) {
	if service != a.service {
		a.w.fail("target %d of service %d received a packet of service %d", a.target, a.service, service)
	}
	var p flow.Packet
	p.Parse(raw)
	if address := a.view.Services[service].Address; p.Key.Service != address {
		a.w.fail("target %d at %s received a packet for %s", a.target, address, p.Key.Service)
	}
}

func (a *simAgent) armTick() {
	wait, ok := a.table.Next(a.w.now)
	if !ok {
		return
	}
	a.ticking++
	armed, table := a.ticking, a.table
	a.w.after(wait, func() {
		if armed == a.ticking && table == a.table && !a.down {
			a.table.SetControlAge(a.w.now, a.age())
			a.act(a.table.Tick(a.w.now), 0)
		}
	})
}

// toKernel hands a packet to the target's kernel a moment later, in order and without loss.
func (a *simAgent) toKernel(raw []byte) {
	raw = append([]byte(nil), raw...)
	a.w.after(100*time.Microsecond, func() { a.kernel(raw) })
}

func (a *simAgent) kernel(raw []byte) {
	var p flow.Packet
	if p.Parse(raw) != flow.DropNone {
		a.w.fail("a target received a bad packet")
	}
	if a.mute {
		return
	}
	if e := a.conns[p.Key]; e != nil {
		if !e.handle(&p) || e.done() {
			delete(a.conns, p.Key)
		}
		return
	}
	if p.IsSYN() && !a.deaf {
		a.listen(&p)
		return
	}
	if !p.TCP.RST {
		answer, err := flow.Reset(&p)
		if err != nil {
			a.w.fail("reset: %v", err)
		}
		a.fromKernel(answer)
	}
}

func (a *simAgent) fromKernel(raw []byte) {
	a.w.after(100*time.Microsecond, func() {
		var p flow.Packet
		if !a.down && !a.mute && p.Parse(raw) == flow.DropNone {
			a.act(a.table.FromTarget(a.w.now, &p), 0)
		}
	})
}

// listen accepts a connection. The application runs each request once and answers it; "stream"
// requests get a push every few seconds.
func (a *simAgent) listen(p *flow.Packet) {
	w, key := a.w, p.Key
	e := &tcpEnd{w: w, local: key.Service, remote: key.Caller, iss: w.rng.Uint32(), window: 60000, send: a.fromKernel}
	e.onData = func(id string) {
		w.runs[id]++
		if strings.HasPrefix(id, "stream") {
			a.push(e)
			return
		}
		if strings.HasPrefix(id, "idle") {
			return
		}
		w.after(a.workTime, func() { e.write(chunk{data: "answer " + id}) })
	}
	e.onEOF = func() { e.write(chunk{fin: true}) }
	a.conns[key] = e
	e.accept(p.TCP.Seq)
}

func (a *simAgent) push(e *tcpEnd) {
	if e.state != tcpOpen {
		return
	}
	e.write(chunk{data: "push"})
	a.w.after(time.Second+time.Duration(a.w.rng.Int64N(int64(6*time.Second))), func() { a.push(e) })
}
