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
