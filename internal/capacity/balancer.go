package capacity

import (
	"encoding/binary"
	"encoding/gob"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagelock/greengagelock/internal/balancer"
	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/node"
	"github.com/greengagelock/greengagelock/internal/placement"
)

const balancerTable = "balancer"

// measureBalancer measures the memory and processor time of a balancer without its control session.
func measureBalancer(r *recorder) error {
	for _, services := range r.sizes.Services {
		targets := targetsOf(services)
		x := float64(services)
		r.record("balancer-table-memory", x, retainedBytes(func() *placement.Table {
			table, _ := placement.Build(nil, fleetView(services, targets))
			return table
		})/bytesPerMB)
		v := fleetView(services, targets)
		table, _ := placement.Build(nil, v)
		delta := lossDelta(v, 1)
		r.record("balancer-apply", x, microseconds(fastest(r.sizes.Repeat, func() { applyDelta(table, v, delta) })))
		changed := v.Clone()
		changed.Apply(delta)
		r.record("balancer-rebuild", x, microseconds(fastest(r.sizes.Repeat, func() { placement.Build(table, changed) })))
		r.record("balancer-build-all", x, milliseconds(fastest(min(r.sizes.Repeat, 3), func() { placement.Build(nil, v) })))
		if err := r.recordBalancerPackets(x, table); err != nil {
			return err
		}
	}
	for _, targets := range r.sizes.Targets {
		services := max(targets*designServices/designTargets, 1)
		x := float64(targets)
		v := fleetView(services, targets)
		r.record("view-memory", x, retainedBytes(func() *model.View { return fleetView(services, targets) })/bytesPerMB)
		if err := r.recordEncodedSize("view-bytes", x, &node.PollReply{View: v}); err != nil {
			return err
		}
		r.record("balancer-targets-memory", x, retainedBytes(func() *placement.Table {
			table, _ := placement.Build(nil, fleetView(r.sizes.Services[0]*2, targets))
			return table
		})/bytesPerMB)
	}
	for _, hints := range r.sizes.Hints {
		var err error
		r.record("balancer-hints-memory", float64(hints), retainedBytes(func() *balancer.Decider {
			var d *balancer.Decider
			d, err = deciderWithHints(hints)
			return d
		})/bytesPerMB)
		if err != nil {
			return err
		}
	}
	return r.recordDeltas()
}

// deciderWithHints returns a decider that has cached the owners of a number of flows.
func deciderWithHints(hints int) (*balancer.Decider, error) {
	decider, err := balancer.NewDecider(encap.Key{}, agentAddress(0))
	if err != nil {
		return nil, err
	}
	target := targetAt(0, 1)
	for i := range hints {
		key := flow.Key{Caller: callerAddress(i), Service: serviceAddress(0)}
		decider.AddHint(encap.Hint{Service: target.Service, Flow: key, Owner: encap.CandidateOf(&target)})
	}
	return decider, nil
}

// applyDelta does the work of the session and the balancer for one delta. It reports whether the digests match.
func applyDelta(table *placement.Table, v *model.View, delta *model.Delta) bool {
	next := v.Clone()
	next.Apply(delta)
	if next.Digest() != delta.Digest {
		return false
	}
	placement.Build(table, next)
	return true
}

// recordDeltas measures deltas of different sizes with the largest view.
func (r *recorder) recordDeltas() error {
	services := r.sizes.Services[len(r.sizes.Services)-1]
	v := fleetView(services, targetsOf(services))
	table, _ := placement.Build(nil, v)
	for _, changed := range r.sizes.Changed {
		delta := lossDelta(v, changed)
		if err := r.recordEncodedSize("delta-bytes", float64(changed), &node.PollReply{Delta: delta}); err != nil {
			return err
		}
		r.record("delta-apply", float64(changed), milliseconds(fastest(r.sizes.Repeat, func() { applyDelta(table, v, delta) })))
	}
	return nil
}

// recordEncodedSize measures the size of a message on a connection that has already sent one of the same type, since
// gob sends type information only once.
func (r *recorder) recordEncodedSize(id string, x float64, message any) error {
	var counter byteCounter
	encoder := gob.NewEncoder(&counter)
	if err := encoder.Encode(message); err != nil {
		return err
	}
	first := counter
	if err := encoder.Encode(message); err != nil {
		return err
	}
	r.record(id, x, float64(counter-first)/1e3)
	return nil
}

type byteCounter int

// Write implements io.Writer.
func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))
	return len(p), nil
}

// recordBalancerPackets measures the forwarding decision for a packet, and as a baseline for the machine one
// hash of the 5-tuple and one map lookup.
func (r *recorder) recordBalancerPackets(x float64, table *placement.Table) error {
	const flows = 1 << 12
	buffers, err := packetBuffers(flows, table.Len())
	if err != nil {
		return err
	}
	decider, err := balancer.NewDecider(encap.Key{}, agentAddress(0))
	if err != nil {
		return err
	}
	decide := fastest(r.sizes.Repeat, func() {
		for i := range r.sizes.Packets {
			decider.Decide(table, buffers[i%flows], encap.MaxHeaderBytes, 0)
		}
	})
	services := map[uint64]model.ServiceID{}
	for i := range table.Len() {
		key, _ := flow.AddressKey(serviceAddress(i))
		services[key] = model.ServiceID(i)
	}
	var sum uint64
	baseline := fastest(r.sizes.Repeat, func() {
		for i := range r.sizes.Packets {
			raw := buffers[i%flows][encap.MaxHeaderBytes:]
			key := uint64(binary.BigEndian.Uint32(raw[16:]))<<16 | uint64(binary.BigEndian.Uint16(raw[22:]))
			sum += xxhash.Sum64(raw[12:24]) + uint64(services[key])
		}
	})
	r.record("balancer-packet", x, nanosecondsPerPacket(decide, r.sizes.Packets))
	r.record("balancer-packet-ratio", x, float64(decide)/float64(max(baseline, 1)))
	return nil
}

func nanosecondsPerPacket(d time.Duration, packets int) float64 {
	return float64(d.Nanoseconds()) / float64(packets)
}

// packetBuffers returns packets of flows to different services, each with space for a header in front.
func packetBuffers(flows, services int) ([][]byte, error) {
	buffers := make([][]byte, flows)
	for i := range buffers {
		raw, err := flow.Build(flow.Segment{
			From: callerAddress(i), To: serviceAddress(i % services), ACK: true, Payload: make([]byte, 100),
		})
		if err != nil {
			return nil, err
		}
		buffers[i] = append(make([]byte, encap.MaxHeaderBytes), raw...)
	}
	return buffers, nil
}

func callerAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 16), byte(i >> 8)}), uint16(1024+i&0xff))
}
