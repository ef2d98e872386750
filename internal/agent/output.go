package agent

import (
	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/fabric"
	"github.com/greengagelock/greengagelock/internal/flowtable"
)

// output turns actions into datagrams and sends them once for each batch.
type output struct {
	agent    *Agent
	toFabric []fabric.Datagram
	toTarget []fabric.Datagram
	toCaller []fabric.Datagram
	buffers  [][]byte // for encoded datagrams
	used     int
}

func newOutput(a *Agent) output {
	return output{agent: a}
}

// run collects the datagrams of actions.
func (o *output) run(actions []flowtable.Action) {
	for i := range actions {
		o.one(&actions[i])
	}
}

func (o *output) one(action *flowtable.Action) {
	a := o.agent
	switch action.Kind {
	case flowtable.Deliver:
		o.toTarget = append(o.toTarget, fabric.Datagram{Data: action.Packet, Addr: a.cfg.TargetAddr})
	case flowtable.SendToCaller:
		o.toCaller = append(o.toCaller, fabric.Datagram{Data: action.Packet, Addr: a.cfg.Gateway})
	case flowtable.Forward:
		data := action.Header.Append(o.buffer(), &a.cfg.FleetKey, action.Packet)
		o.encoded(fabric.Datagram{Data: data, Addr: action.Header.Current().Agent})
	case flowtable.SendHint:
		data := action.Hint.Append(o.buffer(), &a.cfg.FleetKey)
		o.encoded(fabric.Datagram{Data: data, Addr: action.Header.Ingress})
	case flowtable.SendSignal:
		data := action.Signal.Append(o.buffer(), &a.cfg.FleetKey)
		o.encoded(fabric.Datagram{Data: data, Addr: action.To})
	case flowtable.Drop:
		a.metrics.drop(action.Reason)
	case flowtable.CountEvent:
		a.metrics.event(action.Event)
		if action.Event == flowtable.EventRefused {
			a.metrics.refusals.WithLabelValues(action.Code.String()).Inc()
		}
	}
}

// buffer returns an empty buffer that is free until the next flush.
func (o *output) buffer() []byte {
	if o.used == len(o.buffers) {
		o.buffers = append(o.buffers, make([]byte, 0, encap.MaxDatagramBytes))
	}
	o.used++
	return o.buffers[o.used-1][:0]
}

func (o *output) encoded(d fabric.Datagram) {
	o.toFabric = append(o.toFabric, d)
}

// flush sends the collected datagrams.
func (o *output) flush() {
	m := o.agent.metrics
	o.toTarget = m.toTarget.send(o.agent.cfg.Target, o.toTarget)
	o.toCaller = m.toCaller.send(o.agent.cfg.Outbound, o.toCaller)
	o.toFabric = m.toFabric.send(o.agent.cfg.Data, o.toFabric)
	o.used = 0
}

// send writes the datagrams and returns the empty slice. A datagram that cannot be sent is
// counted and skipped: TCP retransmits it.
func (c *portCounters) send(conn fabric.Conn, datagrams []fabric.Datagram) []fabric.Datagram {
	rest := datagrams
	for len(rest) > 0 {
		n, err := conn.WriteBatch(rest)
		c.sent.Add(float64(n))
		rest = rest[min(n, len(rest)):]
		if err != nil && len(rest) > 0 {
			c.failed.Inc()
			rest = rest[1:]
		}
	}
	clear(datagrams)
	return datagrams[:0]
}
