package controllerclient

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/checkpoint"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

// After a loss of power, a relay that had an answer of the first controller did not look for the others, and
// stayed unsure of its flows for an announcement interval.
func TestLateControllersAreDiscovered(t *testing.T) {
	g := NewWithT(t)
	ips := []hop.IP{{10, 0, 0, 1}, {10, 0, 0, 2}, {10, 0, 0, 3}}
	var seeds []netip.Addr
	for _, ip := range ips {
		seeds = append(seeds, netip.AddrFrom4(ip))
	}
	var sent []hop.IP
	cl := New(Config{
		Seeds: seeds, Logger: telemetry.Discard().Logger,
		Announce: func(hop.IP) roster.Announcement { return roster.Announcement{} },
		Send:     func(to netip.AddrPort, _ []byte) { sent = append(sent, to.Addr().As4()) },
	})
	now := time.Unix(1000, 0)
	cl.clock = func() time.Time { return now }
	step := func() []hop.IP {
		sent = nil
		now = now.Add(cl.announceDue())
		return sent
	}
	g.Expect(step()).To(ConsistOf(ips))
	g.Expect(step()).To(ConsistOf(ips), "no controller has answered")
	cl.HandleAnswer(ips[0], &roster.Answer{})
	start := now
	g.Expect(step()).To(ConsistOf(ips[1], ips[2]))
	g.Expect(now.Sub(start)).To(Equal(discoveryInterval))
	cl.HandleAnswer(ips[1], &roster.Answer{})
	g.Expect(step()).To(Equal([]hop.IP{ips[2]}))
	cl.HandleAnswer(ips[2], &roster.Answer{})
	g.Expect(step()).To(BeEmpty(), "all have answered")
	g.Expect(step()).To(ConsistOf(ips))
	// A controller that stays away gets only regular announcements after the window.
	g.Expect(now.Sub(start)).To(BeNumerically("<", discoveryWindow))
	for now.Sub(start) < discoveryWindow+controllerTimeout {
		step()
		cl.HandleAnswer(ips[0], &roster.Answer{})
	}
	start, sent = now, nil
	count := 0
	for now.Sub(start) < 10*roster.AnnounceInterval {
		count += len(step())
		cl.HandleAnswer(ips[0], &roster.Answer{})
	}
	g.Expect(count).To(BeNumerically("<=", 11*len(ips)))
}

// Entry VMs must not leave the rotation because all controllers are lost between the news of a configuration
// and its fetch: in ma-bogota-lb-grown scale-2 that overloaded the other entry VMs of the zone.
func TestCaughtUpDuringGracePeriod(t *testing.T) {
	g := NewWithT(t)
	cl := New(Config{Logger: telemetry.Discard().Logger})
	now := time.Unix(1000, 0)
	cl.clock = func() time.Time { return now }
	from := hop.IP{10, 0, 0, 1}
	cl.HandleAnswer(from, &roster.Answer{Version: 1, Current: true})
	g.Expect(cl.CaughtUp()).To(BeFalse(), "nothing is in force after the start")
	now = now.Add(time.Millisecond)
	cl.versionInForce = 1
	g.Expect(cl.CaughtUp()).To(BeTrue())
	now = now.Add(time.Minute)
	cl.HandleAnswer(from, &roster.Answer{Version: 2, Current: true})
	g.Expect(cl.CaughtUp()).To(BeTrue())
	now = now.Add(outdatedGrace / 2)
	cl.HandleAnswer(from, &roster.Answer{Version: 3, Current: true})
	now = now.Add(outdatedGrace/2 - 1)
	g.Expect(cl.CaughtUp()).To(BeTrue())
	now = now.Add(1)
	g.Expect(cl.CaughtUp()).To(BeFalse(), "the time counts from the first configuration that is missing")
	cl.forgetVersion(from)
	g.Expect(cl.CaughtUp()).To(BeFalse(), "a fetch that fails changes nothing")
	now = now.Add(controllerTimeout + 1)
	g.Expect(cl.CaughtUp()).To(BeTrue(), "no controller is heard")
	cl.HandleAnswer(from, &roster.Answer{Version: 3, Current: true})
	g.Expect(cl.CaughtUp()).To(BeFalse())
	cl.versionInForce = 3
	g.Expect(cl.CaughtUp()).To(BeTrue())
}

// Guards against processes that wait for their seeds after a loss of power although other controllers are running: in
// ma-bogota-lb-large trouble-1 two of five controllers started 0.3 s before the first seed, and nobody knew of them.
func TestCallingControllerIsAnnouncedTo(t *testing.T) {
	g := NewWithT(t)
	seed, other, third := hop.IP{10, 0, 0, 1}, hop.IP{10, 0, 0, 2}, hop.IP{10, 0, 0, 3}
	var sent []hop.IP
	cl := New(Config{
		Seeds: []netip.Addr{netip.AddrFrom4(seed)}, Logger: telemetry.Discard().Logger,
		Announce: func(hop.IP) roster.Announcement { return roster.Announcement{} },
		Send:     func(to netip.AddrPort, _ []byte) { sent = append(sent, to.Addr().As4()) },
	})
	now := time.Unix(1000, 0)
	cl.clock = func() time.Time { return now }
	cl.announceDue()
	g.Expect(sent).To(Equal([]hop.IP{seed}))
	sent = nil
	cl.HandleAnswer(other, &roster.Answer{Call: true, Controllers: []hop.IP{seed, other, third}})
	g.Expect(sent).To(Equal([]hop.IP{other}))
	sent = nil
	now = now.Add(discoveryInterval)
	cl.announceDue()
	g.Expect(sent).To(ConsistOf(seed, third), "the controllers that the caller knows are looked for as well")

	// The list of a controller in contact with a majority takes precedence.
	cl.HandleAnswer(other, &roster.Answer{Current: true, Controllers: []hop.IP{seed, other}})
	now = now.Add(roster.AnnounceInterval)
	sent = nil
	cl.announceDue()
	g.Expect(sent).To(ConsistOf(seed, other))
	sent = nil
	cl.HandleAnswer(third, &roster.Answer{Call: true, Controllers: []hop.IP{third}})
	g.Expect(sent).To(Equal([]hop.IP{third}), "a controller that is joining needs the announcement as well")
}

// Guards against two kinds of datagrams with the same number: flows that controllers returned after a loss of power were
// taken for another message, and no flow was reset.
func TestDatagramsReachTheirHandlers(t *testing.T) {
	g := NewWithT(t)
	got := ""
	h := Handlers{
		Data:        func(hop.IP, []byte) { got = "data" },
		Answer:      func(hop.IP, *roster.Answer) { got = "answer" },
		Evacuations: func(hop.IP, *roster.Evacuations) { got = "evacuations" },
	}
	for want, encode := range map[string][]func() ([]byte, error){
		"data":        {(&checkpoint.Part{Parts: 1}).Encode, (&checkpoint.Resync{}).Encode},
		"answer":      {(&roster.Answer{}).Encode},
		"evacuations": {(&roster.Evacuations{Revision: 1}).Encode},
	} {
		for _, f := range encode {
			b, err := f()
			g.Expect(err).NotTo(HaveOccurred())
			got = ""
			g.Expect(h.handle(hop.IP{}, b)).To(Succeed())
			g.Expect(got).To(Equal(want))
		}
	}
}

// Guards against an evacuation that a controller which was cut off puts in force again after its end.
func TestNewestEvacuationsStayInForce(t *testing.T) {
	g := NewWithT(t)
	var inForce []uint64
	var confirmed *roster.EvacuationsHeld
	cl := New(Config{
		Logger: telemetry.Discard().Logger, Instance: 7,
		Evacuate: func(e *roster.Evacuations) { inForce = append(inForce, e.Revision) },
		Send: func(_ netip.AddrPort, b []byte) {
			held, err := roster.DecodeEvacuationsHeld(b)
			g.Expect(err).NotTo(HaveOccurred())
			confirmed = held
		},
	})
	for _, revision := range []uint64{5, 9, 5} {
		cl.HandleEvacuations(hop.IP{10, 0, 0, 1}, &roster.Evacuations{Revision: revision})
	}
	g.Expect(inForce).To(Equal([]uint64{5, 9}))
	g.Expect(confirmed).To(Equal(&roster.EvacuationsHeld{Revision: 9, Process: 7}))
}
