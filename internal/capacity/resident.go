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

// residentDeltas is the number of deltas that a balancer applies for its resident size. It is
// enough for several cycles of the garbage collector.
const residentDeltas = 200

// collectorLimit is the memory limit of the runtime that the page proposes for balancers.
const collectorLimit = 22 << 20

// measureResident measures the largest anonymous memory of this process as a balancer: it decodes a
// whole view, builds the tables and applies deltas. It has to run before anything else, because
// memory that other measurements leave behind would count.
func measureResident(r *recorder) error {
	bare, err := memoryOf("RssAnon:")
	if err != nil {
		return err
	}
	r.point("process", 0, bare)
	if err := r.balancers("balancer-resident"); err != nil {
		return err
	}
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(collectorLimit))
	return r.balancers("balancer-resident-limited")
}

func (r *recorder) balancers(id string) error {
	for _, services := range r.sizes.Services {
		encoded, err := encodeView(services)
		if err != nil {
			return err
		}
		debug.FreeOSMemory()
		largest, err := runBalancer(encoded)
		if err != nil {
			return err
		}
		r.point(id, float64(services), largest)
	}
	return nil
}

func encodeView(services int) ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(&node.PollReply{View: fleetView(services, targetsOf(services))})
	return buffer.Bytes(), errors.Wrap(err, "encode a view")
}

// runBalancer returns the largest anonymous memory after a delta.
func runBalancer(encoded []byte) (largest float64, err error) {
	var reply node.PollReply
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&reply); err != nil {
		return 0, errors.Wrap(err, "decode a view")
	}
	view := reply.View
	table, _ := placement.Build(nil, view)
	for i := range residentDeltas {
		next := view.Clone()
		next.Apply(stateDelta(view, model.TargetID(i%len(view.Targets)+1)))
		next.Digest()
		table, _ = placement.Build(table, next)
		view = next
		memory, err := memoryOf("RssAnon:")
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

// stateDelta returns a delta that marks one target as lost, or as active again.
func stateDelta(v *model.View, id model.TargetID) *model.Delta {
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
