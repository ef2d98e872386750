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

// simAgent simulates an agent with its target: the kernel and the application.
type simAgent struct {
	simNode
	addr      netip.AddrPort
	target    model.TargetID
	service   model.ServiceID
	table     *flowtable.Table
	tickTimer int
	down      bool

	conns       map[flow.Key]*tcpEnd
	refusesSYNs bool // the target answers every SYN with RST
	silent      bool // the target receives and sends nothing
	serviceTime time.Duration
}

// addTarget adds an active target and its agent.
func (w *world) addTarget(id model.TargetID, service model.ServiceID, addr netip.AddrPort, slots int) *simAgent {
	a := &simAgent{addr: addr, target: id, service: service, conns: map[flow.Key]*tcpEnd{}, serviceTime: 300 * time.Millisecond}
	a.simNode = simNode{w: w, onView: a.applyView}
	a.table = flowtable.New(flowtable.Config{Extend: a.extend})
	w.agents[addr] = a
	w.changeService(service, func(v *model.View) {
		v.Targets[id] = model.Target{ID: id, Service: service, Agent: addr, Slots: slots, MaxConns: 50}
	})
	a.poll()
	return a
}

// setState changes the state of a target in the view of control.
func (w *world) setState(id model.TargetID, s model.TargetState) {
	t, ok := w.controlView.Targets[id]
	if !ok {
		return
	}
	t.State = s
	w.changeService(t.Service, func(v *model.View) { v.Targets[id] = t })
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
	a.execute(a.table.SetEndpoints(a.w.Now, endpoints), 0)
}

// restart replaces the agent process after a downtime; the target and its kernel keep running.
func (a *simAgent) restart(downtime time.Duration) {
	a.down, a.stopped = true, true
	a.w.After(downtime, func() {
		a.down, a.stopped = false, false
		a.view = nil
		a.table = flowtable.New(flowtable.Config{Extend: a.extend, Recovering: true})
		a.poll()
	})
}

// restartTarget restarts the target with its kernel, which loses all connections.
func (a *simAgent) restartTarget() {
	for _, e := range a.conns {
		e.state = tcpClosed
	}
	a.conns = map[flow.Key]*tcpEnd{}
	if !a.down {
		a.execute(a.table.TargetRestarted(a.w.Now), 0)
	}
}

func (a *simAgent) fromFabric(h encap.Header, raw []byte) {
	if a.down {
		return
	}
	var p flow.Packet
	if p.Parse(raw) != flow.DropNone {
		a.w.fail("an agent received a malformed packet")
	}
	a.table.SetControlAge(a.w.Now, a.controlAge())
	a.execute(a.table.FromFabric(a.w.Now, &h, &p), h.Service)
}

// execute carries out actions. The service is that of the packet from the fabric that caused them, or 0 for
// other causes.
func (a *simAgent) execute(actions []flowtable.Action, service model.ServiceID) {
	w := a.w
	// Carrying out an action may call the table again, which reuses the slice.
	actions = append([]flowtable.Action(nil), actions...)
	for _, action := range actions {
		switch action.Kind {
		case flowtable.Deliver:
			if service != 0 {
				a.checkIsolation(service, action.Packet)
			}
			a.deliverToKernel(action.Packet)
		case flowtable.SendToCaller:
			w.sendToCaller(action.Packet)
		case flowtable.Forward:
			w.sendToAgent(action.Header, action.Packet)
		case flowtable.SendHint:
			for _, b := range w.balancers {
				if b.addr == action.Header.Ingress && !b.stopped {
					b.hints[action.Hint.Flow] = action.Hint.Owner
				}
			}
		case flowtable.SendSignal:
			w.sendSignal(action.Signal, action.To)
		case flowtable.Drop:
			w.dropCounts[action.Reason]++
		case flowtable.CountEvent:
			w.eventCounts[action.Event]++
			if action.Event == flowtable.EventAdmitted && a.view.Targets[a.target].State == model.TargetDraining {
				w.fail("target %d admits while it is draining", a.target)
			}
		}
	}
	a.armTick()
}

// checkIsolation verifies that a packet for a service is delivered to a target of that service.
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
	wait, ok := a.table.Next(a.w.Now)
	if !ok {
		return
	}
	a.tickTimer++
	armed, table := a.tickTimer, a.table
	a.w.After(wait, func() {
		if armed == a.tickTimer && table == a.table && !a.down {
			a.table.SetControlAge(a.w.Now, a.controlAge())
			a.execute(a.table.Tick(a.w.Now), 0)
		}
	})
}

// deliverToKernel delivers a packet to the target's kernel after 100 µs, in order and without loss.
func (a *simAgent) deliverToKernel(raw []byte) {
	raw = append([]byte(nil), raw...)
	a.w.After(100*time.Microsecond, func() { a.kernelReceive(raw) })
}

func (a *simAgent) kernelReceive(raw []byte) {
	var p flow.Packet
	if p.Parse(raw) != flow.DropNone {
		a.w.fail("a target received a malformed packet")
	}
	if a.silent {
		return
	}
	if e := a.conns[p.Key]; e != nil {
		if !e.handle(&p) || e.fullyClosed() {
			delete(a.conns, p.Key)
		}
		return
	}
	if p.IsSYN() && !a.refusesSYNs {
		a.listen(&p)
		return
	}
	if !p.TCP.RST {
		answer, err := flow.Reset(&p)
		if err != nil {
			a.w.fail("reset: %v", err)
		}
		a.kernelSend(answer)
	}
}

func (a *simAgent) kernelSend(raw []byte) {
	a.w.After(100*time.Microsecond, func() {
		var p flow.Packet
		if !a.down && !a.silent && p.Parse(raw) == flow.DropNone {
			a.execute(a.table.FromTarget(a.w.Now, &p), 0)
		}
	})
}

// listen accepts a connection. The application runs every request that it receives: a "stream" gets data
// every few seconds, an "idle" flow nothing, and any other request one answer.
func (a *simAgent) listen(p *flow.Packet) {
	w, key := a.w, p.Key
	e := &tcpEnd{w: w, local: key.Service, remote: key.Caller, iss: w.rng.Uint32(), window: 60000, send: a.kernelSend}
	e.onData = func(id string) {
		w.runCounts[id]++
		if strings.HasPrefix(id, "stream") {
			a.pushUntilClosed(e)
			return
		}
		if strings.HasPrefix(id, "idle") {
			return
		}
		w.After(a.serviceTime, func() { e.write(chunk{data: "answer " + id}) })
	}
	e.onEOF = func() { e.write(chunk{fin: true}) }
	a.conns[key] = e
	e.accept(p.TCP.Seq)
}

func (a *simAgent) pushUntilClosed(e *tcpEnd) {
	if e.state != tcpOpen {
		return
	}
	e.write(chunk{data: "push"})
	a.w.After(time.Second+time.Duration(a.w.rng.Int64N(int64(6*time.Second))), func() { a.pushUntilClosed(e) })
}
