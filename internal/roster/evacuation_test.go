package roster

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/hop"
)

// Guards against an entry VM of an earlier build that offers flows to an evacuated zone, or that offers it none after
// the zone was restored. Such a build knows the list only.
func TestListShowsEvacuatedTargetsAsSilent(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1)
	inZone, elsewhere := testTarget("a", Ready), testTarget("b", Ready)
	elsewhere.Zone = "zone-b"
	f.set(0, inZone)
	f.set(1, elsewhere)
	f.askAll()
	registry := f.controllers[0].registry

	g.Expect(registry.SetEvacuations(Evacuations{Revision: 9, Zones: []string{"zone-a"}})).To(BeTrue())
	f.askAll()
	g.Expect(f.view.Get(relayIP(0)).Admits()).To(BeFalse())
	g.Expect(f.view.Get(relayIP(1)).Admits()).To(BeTrue())
	f.announceAll() // the relay still says that its target is ready
	f.askAll()
	g.Expect(f.view.Get(relayIP(0)).Admits()).To(BeFalse())

	g.Expect(registry.SetEvacuations(Evacuations{Revision: 8})).To(BeFalse(), "an older revision")
	g.Expect(registry.SetEvacuations(Evacuations{Revision: 12})).To(BeTrue())
	f.askAll()
	g.Expect(f.view.Get(relayIP(0)).Admits()).To(BeTrue())
	f.expectLists(t)
}

// Guards against a controller that was cut off, does not know of an evacuation, and lists the targets as ready: the
// newest evacuation that the entry VM was told of stays in force.
func TestEvacuationStaysWhileAnOlderControllerListsTheTargets(t *testing.T) {
	g := NewWithT(t)
	v := NewView(hop.IP{10, 2, 0, 1})
	v.SetEvacuations(Evacuations{Revision: 9, Zones: []string{"zone-a"}})
	v.SetEvacuations(Evacuations{Revision: 4})
	k := &KnownTarget{Target: testTarget("a", Ready)}
	g.Expect(v.Evacuated(k)).To(BeTrue())
	v.SetEvacuations(Evacuations{Revision: 10})
	g.Expect(v.Evacuated(k)).To(BeFalse())
}

// Guards against a process that misses an evacuation because a datagram was lost or it restarted, and against messages
// to a process that does not understand them.
func TestEvacuationsAreSentUntilConfirmed(t *testing.T) {
	g := NewWithT(t)
	registry, ip := NewRegistry(1), hop.IP{10, 2, 0, 1}
	registry.SetEvacuations(Evacuations{Revision: 9, Zones: []string{"zone-a"}})
	announce := func(process uint64) {
		registry.RecordAnnouncement(time.Second, ip, &Announcement{Role: RoleEntry, Name: "e", Process: process})
	}
	announce(0)
	g.Expect(registry.LacksEvacuations(ip)).To(BeFalse(), "a build without levels")
	g.Expect(registry.ProcessesBelow(Level)).To(Equal([]string{"e"}))

	first := NewInstanceID()
	announce(first)
	g.Expect(registry.ProcessesWithoutEvacuations()).To(Equal([]hop.IP{ip}))
	registry.ConfirmEvacuations(ip, &EvacuationsHeld{Revision: 8, Process: first})
	g.Expect(registry.LacksEvacuations(ip)).To(BeTrue(), "an older revision")
	registry.ConfirmEvacuations(ip, &EvacuationsHeld{Revision: 9, Process: first})
	announce(first)
	g.Expect(registry.LacksEvacuations(ip)).To(BeFalse())

	announce(NewInstanceID())
	registry.ConfirmEvacuations(ip, &EvacuationsHeld{Revision: 9, Process: first})
	g.Expect(registry.LacksEvacuations(ip)).To(BeTrue(), "a new process, and a late confirmation of the one before")
}

// Guards against a level that is read from the random ID of a build without levels.
func TestLevelOfAnInstanceID(t *testing.T) {
	g := NewWithT(t)
	g.Expect(LevelOf(NewInstanceID())).To(Equal(Level))
	g.Expect(LevelOf(0)).To(BeZero())
	g.Expect(LevelOf(0x1234_5678_9abc_def0)).To(BeZero())
}

// Guards against malformed zones, in which a search would miss an evacuated one.
func TestMalformedEvacuationsAreRejected(t *testing.T) {
	g := NewWithT(t)
	b, err := (&Evacuations{Revision: 1, Zones: []string{"b", "a"}}).Encode()
	g.Expect(err).NotTo(HaveOccurred())
	_, err = DecodeEvacuations(b)
	g.Expect(err).To(HaveOccurred())
}
