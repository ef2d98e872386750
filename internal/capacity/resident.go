package capacity

import (
	"bytes"
	"encoding/gob"
	"runtime/debug"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/node"
	"github.com/greengagelock/greengagelock/internal/placement"
)

// residentDeltas is the number of deltas that are applied to measure the memory of a balancer. It is
// enough for several garbage collection cycles.
const residentDeltas = 200

// goMemoryLimitBytes is the memory limit for the Go runtime that the capacity page proposes for balancers.
const goMemoryLimitBytes = 22 << 20

// measureResident measures the largest anonymous memory of this process while it does the work of a
// balancer: it decodes a whole view, builds the tables and applies deltas. It must run first, because
// memory left by other measurements would be counted.
func measureResident(r *recorder) error {
	bare, err := processMemoryMB("RssAnon:")
	if err != nil {
		return err
	}
	r.record("process", 0, bare)
	if err := r.recordResident("balancer-resident"); err != nil {
		return err
	}
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(goMemoryLimitBytes))
	return r.recordResident("balancer-resident-limited")
}

func (r *recorder) recordResident(id string) error {
	for _, services := range r.sizes.Services {
		encoded, err := encodeView(services)
		if err != nil {
			return err
		}
		debug.FreeOSMemory()
		largest, err := maxBalancerMemoryMB(encoded)
		if err != nil {
			return err
		}
		r.record(id, float64(services), largest)
	}
	return nil
}

func encodeView(services int) ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(&node.PollReply{View: fleetView(services, targetsOf(services))})
	return buffer.Bytes(), errors.Wrap(err, "encode a view")
}

// maxBalancerMemoryMB returns the largest anonymous memory of the process, measured after each delta.
func maxBalancerMemoryMB(encoded []byte) (largest float64, err error) {
	var reply node.PollReply
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&reply); err != nil {
		return 0, errors.Wrap(err, "decode a view")
	}
	view := reply.View
	table, _ := placement.Build(nil, view)
	for i := range residentDeltas {
		next := view.Clone()
		next.Apply(toggleLostDelta(view, model.TargetID(i%len(view.Targets)+1)))
		next.Digest()
		table, _ = placement.Build(table, next)
		view = next
		memory, err := processMemoryMB("RssAnon:")
		if err != nil {
			return 0, err
		}
		largest = max(largest, memory)
	}
	if table.Generation() != view.Generation {
		return 0, errors.Newf("the tables are at generation %d, the view at %d", table.Generation(), view.Generation)
	}
	return largest, nil
}

// toggleLostDelta returns a delta that marks a target as lost, or as active if it is lost.
func toggleLostDelta(v *model.View, id model.TargetID) *model.Delta {
	d := &model.Delta{From: v.Generation, To: v.Generation + 1, Revision: v.Revision}
	t := v.Targets[id]
	if t.State == model.TargetLost {
		t.State = model.TargetActive
	} else {
		t.State = model.TargetLost
	}
	s := v.Services[t.Service]
	s.Generation = d.To
	d.Targets, d.Services = []model.Target{t}, []model.Service{s}
	return d
}
