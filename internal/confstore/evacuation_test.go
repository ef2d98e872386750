package confstore

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/roster"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

// applyOrder applies an order at an index of the log.
func applyOrder(g Gomega, s *stateMachine, index uint64, o evacuationOrder) {
	data, err := encodeLeveled(roster.LevelEvacuation, command{Evacuate: &o})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Apply(replica.Committed{Position: consensus.Position{Index: index, Term: 1}, Data: data})).To(Succeed())
}

// Guards against an evacuation that returns after its end was acknowledged: a copy of the order, held up between two
// controllers, is committed later than the end.
func TestDelayedEvacuationDoesNotUndoItsEnd(t *testing.T) {
	g := NewWithT(t)
	s := newStateMachine()
	var seen []roster.Evacuations
	s.onEvacuations = func(e roster.Evacuations, _ bool) { seen = append(seen, e) }
	begin := evacuationOrder{Zone: "a", Evacuate: true}
	applyOrder(g, s, 5, begin)
	g.Expect(s.evacuations()).To(Equal(roster.Evacuations{Revision: 5, Zones: []string{"a"}}))
	applyOrder(g, s, 6, evacuationOrder{Zone: "a", Base: 5})
	g.Expect(s.evacuations()).To(Equal(roster.Evacuations{Revision: 6}))
	applyOrder(g, s, 7, begin)
	g.Expect(s.evacuations()).To(Equal(roster.Evacuations{Revision: 6}), "the copy is void")
	g.Expect(seen).To(HaveLen(2))
	applyOrder(g, s, 8, evacuationOrder{Zone: "a", Evacuate: true, Base: 6})
	g.Expect(s.evacuations().Zones).To(Equal([]string{"a"}), "a new order is in force")
}

// Guards against an evacuation that is lost with the log entries that a snapshot replaces.
func TestSnapshotKeepsEvacuations(t *testing.T) {
	g := NewWithT(t)
	s := newStateMachine()
	applyOrder(g, s, 3, evacuationOrder{Zone: "b", Evacuate: true})
	applyOrder(g, s, 4, evacuationOrder{Zone: "a", Evacuate: true})
	data, err := s.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	restored := newStateMachine()
	g.Expect(restored.Apply(replica.Committed{Position: consensus.Position{Index: 4, Term: 1}, Snapshot: data})).To(Succeed())
	g.Expect(restored.evacuations()).To(Equal(roster.Evacuations{Revision: 4, Zones: []string{"a", "b"}}))
	g.Expect(restored.protocolLevel()).To(Equal(roster.LevelEvacuation))
}

// Layouts of builds without protocol levels, such as 31152b4.
type (
	levelZeroCommand struct {
		Replace *Content
		Members []string
	}
	levelZeroSnapshot struct {
		Content *Content
		Members []string
	}
)

// Guards against a controller of an earlier build that skips an evacuation: it must fail to decode the entry and every
// later snapshot, and must read all that precedes the first evacuation.
func TestEarlierBuildNeverSkipsAnEvacuation(t *testing.T) {
	g := NewWithT(t)
	content := &Content{Version: 7, Packed: []byte{1, 2}}
	old, err := cbor.Marshal(levelZeroCommand{Replace: content})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(encodeLeveled(0, command{Replace: content})).To(Equal(old), "entries of level zero do not change")

	s := newStateMachine()
	g.Expect(s.Apply(replica.Committed{Position: consensus.Position{Index: 1, Term: 1}, Data: old})).To(Succeed())
	snap, err := s.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	oldSnapshot, err := cbor.Marshal(levelZeroSnapshot{Content: content})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(snap).To(Equal(oldSnapshot), "snapshots of level zero do not change")

	entry, err := encodeLeveled(roster.LevelEvacuation, command{Evacuate: &evacuationOrder{Zone: "a", Evacuate: true}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cbor.Unmarshal(entry, &levelZeroCommand{})).NotTo(Succeed())
	applyOrder(g, s, 2, evacuationOrder{Zone: "a", Evacuate: true})
	applyOrder(g, s, 3, evacuationOrder{Zone: "a", Base: 2})
	snap, err = s.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cbor.Unmarshal(snap, &levelZeroSnapshot{})).NotTo(Succeed(), "the level is never lowered")
}

// Guards against a build that skips entries of a level that it does not know.
func TestEntryOfALaterLevelIsNotApplied(t *testing.T) {
	g := NewWithT(t)
	data, err := encodeLeveled(roster.Level+1, map[string]string{"New": "x"})
	g.Expect(err).NotTo(HaveOccurred())
	err = newStateMachine().Apply(replica.Committed{Position: consensus.Position{Index: 1, Term: 1}, Data: data})
	g.Expect(result.CodeOf(err)).To(Equal(result.BuildTooOld))
}
