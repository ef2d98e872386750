package controller

import (
	"maps"
	"testing"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/model"
)

// Guards against an imbalance that counts targets which take no new flows or have no evidence.
func TestImbalanceCountsOnlyActiveTargets(t *testing.T) {
	var targets []catalog.TargetStatus
	evidence := map[model.TargetID]model.Evidence{}
	add := func(id model.TargetID, service string, state model.TargetState, flows int) {
		targets = append(targets, catalog.TargetStatus{Model: model.Target{ID: id, State: state}, ServiceName: service})
		evidence[id] = model.Evidence{OpenFlows: flows}
	}
	add(1, "plans", model.TargetActive, 3)
	add(2, "plans", model.TargetActive, 1)
	add(3, "plans", model.TargetDraining, 90)
	add(4, "idle", model.TargetActive, 0)
	add(5, "plans", model.TargetActive, 70)
	delete(evidence, 5)
	if got, want := imbalanceOf(targets, evidence), map[string]float64{"plans": 1.5}; !maps.Equal(got, want) {
		t.Errorf("imbalance %v, want %v", got, want)
	}
}
