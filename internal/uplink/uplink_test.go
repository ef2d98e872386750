package uplink

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

// Guards against a relay that stays unsure of its flows for an announcement interval after a loss of
// power: it had an answer of the first controller that was back and did not look for the others.
func TestControllersThatStartLaterAreFound(t *testing.T) {
	g := NewWithT(t)
	ips := []hop.IP{{10, 0, 0, 1}, {10, 0, 0, 2}, {10, 0, 0, 3}}
	var seeds []netip.Addr
	for _, ip := range ips {
		seeds = append(seeds, netip.AddrFrom4(ip))
	}
	var sent []hop.IP
	u := New(Config{
		Seeds: seeds, Logger: telemetry.Discard().Logger,
		Announce: func(hop.IP) roster.Announcement { return roster.Announcement{} },
		Send:     func(to netip.AddrPort, _ []byte) { sent = append(sent, to.Addr().As4()) },
	})
	now := time.Unix(1000, 0)
	u.clock = func() time.Time { return now }
	step := func() []hop.IP {
		sent = nil
		now = now.Add(u.step())
		return sent
	}
	g.Expect(step()).To(ConsistOf(ips))
	g.Expect(step()).To(ConsistOf(ips), "nobody has answered")
	u.Answer(ips[0], &roster.Answer{})
	start := now
	g.Expect(step()).To(ConsistOf(ips[1], ips[2]))
	g.Expect(now.Sub(start)).To(Equal(searchInterval))
	u.Answer(ips[1], &roster.Answer{})
	g.Expect(step()).To(Equal([]hop.IP{ips[2]}))
	u.Answer(ips[2], &roster.Answer{})
	g.Expect(step()).To(BeEmpty(), "all have answered")
	g.Expect(step()).To(ConsistOf(ips))
	// One that stays away is not looked for any longer, only announced to like the others.
	g.Expect(now.Sub(start)).To(BeNumerically("<", searchSpan))
	for now.Sub(start) < searchSpan+lostAfter {
		step()
		u.Answer(ips[0], &roster.Answer{})
	}
	start, sent = now, nil
	count := 0
	for now.Sub(start) < 10*roster.AnnounceInterval {
		count += len(step())
		u.Answer(ips[0], &roster.Answer{})
	}
	g.Expect(count).To(BeNumerically("<=", 11*len(ips)))
}

// Guards against entry VMs that leave the rotation because all controllers were lost between the news of a
// configuration and its fetch: in ma-bogota-lb-grown scale-2 the others of their zone were choked by it.
func TestCaughtUpForAMomentAfterNews(t *testing.T) {
	g := NewWithT(t)
	u := New(Config{Logger: telemetry.Discard().Logger})
	now := time.Unix(1000, 0)
	u.clock = func() time.Time { return now }
	from := hop.IP{10, 0, 0, 1}
	u.Answer(from, &roster.Answer{Version: 1, Current: true})
	g.Expect(u.CaughtUp()).To(BeFalse(), "nothing is in force after the start")
	now = now.Add(time.Millisecond)
	u.version = 1
	g.Expect(u.CaughtUp()).To(BeTrue())
	now = now.Add(time.Minute)
	u.Answer(from, &roster.Answer{Version: 2, Current: true})
	g.Expect(u.CaughtUp()).To(BeTrue())
	now = now.Add(behindGrace / 2)
	u.Answer(from, &roster.Answer{Version: 3, Current: true})
	now = now.Add(behindGrace/2 - 1)
	g.Expect(u.CaughtUp()).To(BeTrue())
	now = now.Add(1)
	g.Expect(u.CaughtUp()).To(BeFalse(), "the time counts from the first configuration that is missing")
	u.distrust(from)
	g.Expect(u.CaughtUp()).To(BeFalse(), "a fetch that fails changes nothing")
	now = now.Add(lostAfter + 1)
	g.Expect(u.CaughtUp()).To(BeTrue(), "no controller is heard")
	u.Answer(from, &roster.Answer{Version: 3, Current: true})
	g.Expect(u.CaughtUp()).To(BeFalse())
	u.version = 3
	g.Expect(u.CaughtUp()).To(BeTrue())
}
