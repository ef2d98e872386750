package capacity

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/flowtable"
)

const (
	agentTable = "agent"
	// targetISN and callerISN are the initial sequence numbers of all simulated flows.
	targetISN = 5000
	callerISN = 1000
	// probedTime is the simulated time with idle streams.
	probedTime = 5 * time.Minute
)

// agentFlows is the flow table of an agent with established streams.
type agentFlows struct {
	table *flowtable.Table
	flows int
	now   time.Duration
}

// newAgentFlows takes flows through their handshakes.
func newAgentFlows(flows int) (*agentFlows, error) {
	a := &agentFlows{table: flowtable.New(flowtable.Config{}), flows: flows}
	endpoint := flowtable.Endpoint{Service: serviceAt(0), Target: targetAt(0, 1)}
	endpoint.Service.Ramp = 0
	endpoint.Target.MaxConns = flows
	a.table.SetEndpoints(a.now, []flowtable.Endpoint{endpoint})
	a.table.SetControlAge(a.now, 0)
	for i := range flows {
		steps := []flow.Segment{
			{From: callerAddress(i), To: serviceAddress(0), Seq: callerISN, SYN: true, Window: 1024},
			{From: serviceAddress(0), To: callerAddress(i), Seq: targetISN, Ack: callerISN + 1, SYN: true, ACK: true, Window: 1024},
			{From: callerAddress(i), To: serviceAddress(0), Seq: callerISN + 1, Ack: targetISN + 1, ACK: true, Window: 1024},
		}
		for _, s := range steps {
			if err := a.receive(s); err != nil {
				return nil, err
			}
		}
	}
	if open := a.table.OpenFlows(); open != flows {
		return nil, errors.Newf("%d of %d flows were established", open, flows)
	}
	return a, nil
}

func fabricHeader() *encap.Header {
	target := targetAt(0, 1)
	h := &encap.Header{Service: target.Service, Generation: 1, Count: 1, BestWait: encap.NoBestWait, Ingress: agentAddress(1)}
	h.Candidates[0] = encap.CandidateOf(&target)
	return h
}

// receive gives a segment to the table, from the target if it comes from the service address.
func (a *agentFlows) receive(s flow.Segment) error {
	raw, err := flow.Build(s)
	if err != nil {
		return err
	}
	var p flow.Packet
	if drop := p.Parse(raw); drop != flow.DropNone {
		return errors.Newf("a simulated packet is dropped: %s", drop)
	}
	if s.From == serviceAddress(0) {
		a.table.FromTarget(a.now, &p)
		return nil
	}
	a.table.FromFabric(a.now, fabricHeader(), &p)
	return nil
}

// measureAgent measures what an agent holds and does without its session.
func measureAgent(r *recorder) error {
	for _, flows := range r.sizes.Flows {
		var built *agentFlows
		var err error
		bytes := live(func() *agentFlows {
			built, err = newAgentFlows(flows)
			return built
		})
		if err != nil {
			return err
		}
		r.point("agent-flow-memory", float64(flows), bytes/megabyte)
		if err := r.agentPackets(built); err != nil {
			return err
		}
	}
	for _, flows := range r.sizes.Idle {
		if err := r.probes(flows); err != nil {
			return err
		}
	}
	return nil
}

// agentPackets measures a packet from a balancer to an established flow: decoding, parsing and the
// flow table, without sockets.
func (r *recorder) agentPackets(a *agentFlows) error {
	const datagrams = 1 << 12
	var key encap.Key
	buffers := make([][]byte, datagrams)
	for i := range buffers {
		raw, err := flow.Build(flow.Segment{
			From: callerAddress(i * a.flows / datagrams), To: serviceAddress(0), Seq: callerISN + 1, Ack: targetISN + 1, ACK: true,
			Window: 1024, Payload: make([]byte, 100),
		})
		if err != nil {
			return err
		}
		buffers[i] = fabricHeader().Append(nil, &key, raw)
	}
	var h encap.Header
	var p flow.Packet
	dropped := 0
	d := fastest(r.sizes.Repeat, func() {
		for i := range r.sizes.Packets {
			raw, reason := h.Decode(buffers[i%datagrams], &key)
			if reason != flow.DropNone || p.Parse(raw) != flow.DropNone {
				dropped++
				continue
			}
			a.table.FromFabric(a.now, &h, &p)
		}
	})
	if dropped > 0 {
		return errors.Newf("%d packets to established flows were dropped", dropped)
	}
	r.point("agent-packet", float64(a.flows), perPacket(d, r.sizes.Packets))
	return nil
}

// probes lets streams be idle whose ends answer every keep-alive probe.
func (r *recorder) probes(flows int) error {
	a, err := newAgentFlows(flows)
	if err != nil {
		return err
	}
	sent := 0
	var spent time.Duration
	for a.now < probedTime {
		wait, ok := a.table.Next(a.now)
		if !ok {
			return errors.New("idle streams have no timer")
		}
		a.now += wait
		start := time.Now()
		actions := a.table.Tick(a.now)
		spent += time.Since(start)
		count, err := a.answer(actions)
		if err != nil {
			return err
		}
		sent += count
	}
	if open := a.table.OpenFlows(); open != flows {
		return errors.Newf("%d of %d idle streams are left", open, flows)
	}
	r.point("agent-probes", float64(flows), float64(sent)/probedTime.Seconds())
	r.point("agent-probe-time", float64(flows), microseconds(spent)/probedTime.Seconds()/1e4)
	return nil
}

// answer answers the probes among the actions and returns their number.
func (a *agentFlows) answer(actions []flowtable.Action) (int, error) {
	var answers []flow.Segment
	for _, action := range actions {
		if action.Kind != flowtable.Deliver && action.Kind != flowtable.SendToCaller {
			continue
		}
		var p flow.Packet
		if drop := p.Parse(action.Packet); drop != flow.DropNone {
			return 0, errors.Newf("a probe is malformed: %s", drop)
		}
		// A probe lies one before the expected sequence number.
		answers = append(answers, flow.Segment{
			From: p.Key.Service, To: p.Key.Caller, Seq: p.TCP.Ack, Ack: p.TCP.Seq + 1, ACK: true, Window: 1024,
		})
	}
	for _, s := range answers {
		if err := a.receive(s); err != nil {
			return 0, err
		}
	}
	return len(answers), nil
}
