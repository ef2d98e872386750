package agent

import (
	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/fabric"
	"github.com/greengagelock/greengagelock/internal/flowtable"
)

// output converts actions of the flow table to datagrams and sends them once per batch.
type output struct {
	agent       *Agent
	toFabric    []fabric.Datagram
	toTarget    []fabric.Datagram
	toCaller    []fabric.Datagram
	buffers     [][]byte // for encoded datagrams
	usedBuffers int
}

func newOutput(a *Agent) output {
	return output{agent: a}
}

// add appends the datagrams of actions, which flush sends.
func (o *output) add(actions []flowtable.Action) {
	for i := range actions {
		o.addAction(&actions[i])
	}
}

// addAction appends the datagram of an action, or counts the action.
func (o *output) addAction(action *flowtable.Action) {
	a := o.agent
	switch action.Kind {
	case flowtable.Deliver:
		o.toTarget = append(o.toTarget, fabric.Datagram{Data: action.Packet, Addr: a.cfg.TargetAddr})
	case flowtable.SendToCaller:
		o.toCaller = append(o.toCaller, fabric.Datagram{Data: action.Packet, Addr: a.cfg.Gateway})
	case flowtable.Forward:
		data := action.Header.Append(o.buffer(), &a.cfg.FleetKey, action.Packet)
		o.addToFabric(fabric.Datagram{Data: data, Addr: action.Header.Current().Agent})
	case flowtable.SendHint:
		data := action.Hint.Append(o.buffer(), &a.cfg.FleetKey)
		o.addToFabric(fabric.Datagram{Data: data, Addr: action.Header.Ingress})
	case flowtable.SendSignal:
		data := action.Signal.Append(o.buffer(), &a.cfg.FleetKey)
		o.addToFabric(fabric.Datagram{Data: data, Addr: action.To})
	case flowtable.Drop:
		a.metrics.drop(action.Reason)
	case flowtable.CountEvent:
		a.metrics.event(action.Event)
		if action.Event == flowtable.EventRefused {
			a.metrics.refusals.WithLabelValues(action.Code.String()).Inc()
		}
	}
}

// buffer returns an empty buffer that the caller may use until the next flush.
func (o *output) buffer() []byte {
	if o.usedBuffers == len(o.buffers) {
		o.buffers = append(o.buffers, make([]byte, 0, encap.MaxDatagramBytes))
	}
	o.usedBuffers++
	return o.buffers[o.usedBuffers-1][:0]
}

func (o *output) addToFabric(d fabric.Datagram) {
	o.toFabric = append(o.toFabric, d)
}

// flush sends the datagrams that were added.
func (o *output) flush() {
	m := o.agent.metrics
	o.toTarget = m.toTarget.send(o.agent.cfg.Target, o.toTarget)
	o.toCaller = m.toCaller.send(o.agent.cfg.Outbound, o.toCaller)
	o.toFabric = m.toFabric.send(o.agent.cfg.Data, o.toFabric)
	o.usedBuffers = 0
}

// send writes the datagrams and returns the emptied slice. A datagram that cannot be sent is counted and
// skipped, since TCP retransmits its content.
func (c *sendCounters) send(conn fabric.Conn, datagrams []fabric.Datagram) []fabric.Datagram {
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
