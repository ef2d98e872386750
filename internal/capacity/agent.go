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
	// Initial sequence numbers of all simulated flows.
	targetISN = 5000
	callerISN = 1000
	// simulatedIdleTime is how long, in simulated time, the streams are idle.
	simulatedIdleTime = 5 * time.Minute
)

// agentFlows is an agent's flow table with established streams, in simulated time.
type agentFlows struct {
	table *flowtable.Table
	flows int
	now   time.Duration
}

// newAgentFlows establishes a number of flows by simulating their handshakes.
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

func balancerHeader() *encap.Header {
	target := targetAt(0, 1)
	h := &encap.Header{Service: target.Service, Generation: 1, Count: 1, BestWait: encap.NoBestWait, Ingress: agentAddress(1)}
	h.Candidates[0] = encap.CandidateOf(&target)
	return h
}

// receive passes a segment to the table: as a packet of the target if its source is the service, or of a caller.
func (a *agentFlows) receive(s flow.Segment) error {
	raw, err := flow.Build(s)
	if err != nil {
		return err
	}
	var p flow.Packet
	if drop := p.Parse(raw); drop != flow.DropNone {
		return errors.Newf("parse a simulated packet: dropped as %s", drop)
	}
	if s.From == serviceAddress(0) {
		a.table.FromTarget(a.now, &p)
		return nil
	}
	a.table.FromFabric(a.now, balancerHeader(), &p)
	return nil
}

// measureAgent measures the memory and processor time of an agent without its control session.
func measureAgent(r *recorder) error {
	for _, flows := range r.sizes.Flows {
		var built *agentFlows
		var err error
		bytes := retainedBytes(func() *agentFlows {
			built, err = newAgentFlows(flows)
			return built
		})
		if err != nil {
			return err
		}
		r.record("agent-flow-memory", float64(flows), bytes/bytesPerMB)
		if err := r.recordAgentPackets(built); err != nil {
			return err
		}
	}
	for _, flows := range r.sizes.Idle {
		if err := r.recordProbes(flows); err != nil {
			return err
		}
	}
	return nil
}

// recordAgentPackets measures the processing of a packet from a balancer to an established flow: decoding,
// parsing and the flow table, without sockets.
func (r *recorder) recordAgentPackets(a *agentFlows) error {
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
		buffers[i] = balancerHeader().Append(nil, &key, raw)
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
	r.record("agent-packet", float64(a.flows), nanosecondsPerPacket(d, r.sizes.Packets))
	return nil
}

// recordProbes measures the keep-alive probes of idle streams, whose ends answer every probe.
func (r *recorder) recordProbes(flows int) error {
	a, err := newAgentFlows(flows)
	if err != nil {
		return err
	}
	sent := 0
	var tickTime time.Duration
	for a.now < simulatedIdleTime {
		wait, ok := a.table.Next(a.now)
		if !ok {
			return errors.New("idle streams have no timer")
		}
		a.now += wait
		start := time.Now()
		actions := a.table.Tick(a.now)
		tickTime += time.Since(start)
		count, err := a.answerProbes(actions)
		if err != nil {
			return err
		}
		sent += count
	}
	if open := a.table.OpenFlows(); open != flows {
		return errors.Newf("%d of %d idle streams are still open", open, flows)
	}
	r.record("agent-probes", float64(flows), float64(sent)/simulatedIdleTime.Seconds())
	r.record("agent-probe-time", float64(flows), microseconds(tickTime)/simulatedIdleTime.Seconds()/1e4)
	return nil
}

// answerProbes passes answers to the probes among the actions to the table, and returns the number of probes.
func (a *agentFlows) answerProbes(actions []flowtable.Action) (int, error) {
	var answers []flow.Segment
	for _, action := range actions {
		if action.Kind != flowtable.Deliver && action.Kind != flowtable.SendToCaller {
			continue
		}
		var p flow.Packet
		if drop := p.Parse(action.Packet); drop != flow.DropNone {
			return 0, errors.Newf("parse a probe: dropped as %s", drop)
		}
		// The sequence number of a probe is one below the expected one.
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
