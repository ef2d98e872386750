package entry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/entry"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/targetpicker"
)

// zones are relays in four availability zones and an entry VM in the first one.
type zones struct {
	entry   *entry.Entry
	now     time.Duration
	silent  map[byte]bool // zones whose replies do not arrive
	probes  int
	halfOff bool // every second reply is lost
}

func (z *zones) ToCaller(packet.Addr, []byte) {}

func (z *zones) ToNode(to hop.IP, datagram []byte) {
	m := hop.Message{}
	if err := m.Parse(datagram); err != nil || m.Kind != hop.OwnerQuery {
		panic(fmt.Sprintf("unexpected datagram: %v", err))
	}
	z.probes++
	if !z.silent[to[1]] && (!z.halfOff || z.probes%2 == 0) {
		z.entry.FromNode(z.now, to, (&hop.Message{Kind: hop.OwnerReply, Batch: m.Batch}).Append(nil))
	}
}

func newZones() *zones {
	z := &zones{silent: map[byte]bool{}}
	z.entry = entry.New(entry.Config{Codec: testCodec{}, Self: hop.IP{10, 0, 0, 1}, Zone: "zone-0"},
		targetpicker.NewPicker("zone-0", rand.New(rand.NewPCG(1, 1))), z)
	registry := roster.NewRegistry(1)
	for zone := range byte(4) {
		for n := range byte(3) {
			registry.RecordAnnouncement(0, hop.IP{10, zone, 1, n}, &roster.Announcement{Role: roster.RoleRelay, Target: &roster.Target{
				ID: "i", Zone: fmt.Sprintf("zone-%d", zone), Service: service, State: roster.Ready, Slots: 2,
			}})
		}
	}
	answers := registry.AnswersFor(0, roster.Answer{Current: true}, hop.IP{}, &roster.Announcement{Role: roster.RoleEntry, Answers: 255})
	for i := range answers {
		z.entry.View.HandleAnswer(0, hop.IP{10, 0, 3, 1}, &answers[i])
	}
	for zone := range byte(4) {
		z.entry.FromNode(0, hop.IP{10, zone, 1, 0}, (&hop.Message{Kind: hop.OwnerReply}).Append(nil))
	}
	return z
}

// cutOffAfter runs for a time and returns when the zone first counted as cut off, negative if it did not.
func (z *zones) cutOffAfter(d time.Duration) time.Duration {
	start := z.now
	for z.now < start+d {
		z.now += entry.ReachInterval
		z.entry.CheckReach(z.now)
		if z.entry.CutOff() {
			return z.now - start
		}
	}
	return -1
}

// Guards against entry VMs of a zone that nothing gets out of and that stay in rotation: they send all new flows to
// targets of their own zone, and the packets of all other flows are lost until the cut is over.
func TestEntryVMOfACutOffZoneLeavesTheRotation(t *testing.T) {
	g := NewWithT(t)
	z := newZones()
	g.Expect(z.cutOffAfter(3 * time.Second)).To(BeNumerically("<", 0))
	z.silent = map[byte]bool{1: true, 2: true, 3: true}
	g.Expect(z.cutOffAfter(3 * time.Second)).To(BeNumerically("<=", 800*time.Millisecond))
	for range 30 { // without other datagrams than the replies of its own zone
		z.now += entry.ReachInterval
		z.entry.CheckReach(z.now)
		g.Expect(z.entry.CutOff()).To(BeTrue(), "at %v", z.now)
	}
	z.silent = map[byte]bool{1: true}
	g.Expect(z.cutOffAfter(3*time.Second)).To(BeNumerically("<", 0), "it is back with the first reply")
}

// Guards against entry VMs that leave the rotation although no other would serve the callers better.
func TestEntryVMStaysInRotation(t *testing.T) {
	for name, change := range map[string]func(*zones){
		"one other zone is lost":     func(z *zones) { z.silent = map[byte]bool{2: true} },
		"nothing answers":            func(z *zones) { z.silent = map[byte]bool{0: true, 1: true, 2: true, 3: true} },
		"every second reply is lost": func(z *zones) { z.halfOff = true },
		"the process was paused":     func(z *zones) { z.now += 10 * time.Second },
	} {
		g := NewWithT(t)
		z := newZones()
		change(z)
		g.Expect(z.cutOffAfter(5*time.Second)).To(BeNumerically("<", 0), name)
	}
}

// Guards against new flows that go to a zone which nothing gets out of: its targets accept them, and their callers never
// hear of it.
func TestSilentZoneGetsNewFlowsLast(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(60, 1, 9)
	for i, v := range w.targets {
		v.zone = []string{"zone", "east", "west"}[i%3]
	}
	w.run(2 * rosterInterval)
	for range 30 {
		w.openFlow()
	}
	w.run(2 * time.Second)
	for _, v := range w.targets {
		v.mute = v.zone == "east"
	}
	w.run(time.Second) // without new flows, so that no offer shows it
	before := 0
	for _, v := range w.targets {
		if v.mute {
			before += v.acceptedSYNs
		}
	}
	for range 100 {
		w.openFlow()
		w.run(10 * time.Millisecond)
	}
	for _, v := range w.targets {
		if v.mute {
			before -= v.acceptedSYNs
		}
	}
	g.Expect(-before).To(BeZero(), "flows that targets in the silent zone accepted")
}
