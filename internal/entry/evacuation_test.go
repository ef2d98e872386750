package entry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/roster"
)

// evacuate puts evacuations in force at all entry VMs and relays.
func (w *world) evacuate(revision uint64, zones ...string) {
	e := roster.Evacuations{Revision: revision, Zones: zones}
	for _, v := range w.entries {
		v.entry.View.SetEvacuations(e)
	}
	for _, v := range w.targets {
		v.relay.SetEvacuated(e.Includes(v.zone))
	}
}

// Guards against a load that the rest of the zones cannot bear and that spills over into an evacuated one, and against
// open flows that an evacuation breaks.
func TestEvacuatedZoneStaysEmptyUnderOverload(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(70, 2, 4)
	w.targets[0].zone, w.targets[1].zone = "east", "east"
	for range 20 {
		w.openFlow()
	}
	w.run(time.Second)
	before := w.targets[0].acceptedSYNs + w.targets[1].acceptedSYNs
	g.Expect(before).To(BeNumerically(">", 0))
	w.evacuate(1, "east")
	for range 800 { // twice what two targets of two slots and 10 ms bear
		w.openFlow().singleRequest = true
		w.run(1250 * time.Microsecond)
	}
	w.run(time.Second)
	g.Expect(w.targets[0].acceptedSYNs + w.targets[1].acceptedSYNs).To(Equal(before))
	g.Expect(w.wrongResets).To(BeEmpty())
	w.evacuate(2)
	for range 20 {
		w.openFlow()
	}
	w.run(time.Second)
	g.Expect(w.targets[0].acceptedSYNs+w.targets[1].acceptedSYNs).To(BeNumerically(">", before), "the zone is used again")
}

// Guards against callers that wait although every zone is evacuated, so that no target will take their flow.
func TestFlowsAreRefusedAtOnceWhenAllZonesAreEvacuated(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(71, 1, 3)
	w.evacuate(1, "zone")
	c := w.openFlow()
	w.run(10 * time.Millisecond)
	g.Expect(c.resets).To(Equal(1))
	g.Expect(w.entries[0].entry.Stats.Offered).To(BeZero())
}
