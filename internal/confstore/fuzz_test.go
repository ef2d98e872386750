package confstore

import (
	"net/netip"
	"testing"

	"github.com/greengagelock/greengagelock/internal/checkpoint"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/loopback"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	"github.com/greengagelock/greengagelock/internal/testkit"
)

// newIdleController returns a controller that is not running, with the address to which answers may be sent.
func newIdleController(tb testing.TB) (*Controller, netip.AddrPort) {
	tb.Helper()
	block, err := loopback.Reserve()
	testkit.Check(tb, err)
	tb.Cleanup(func() { testkit.Check(tb, block.Close()) })
	address, err := block.NextTCP()
	testkit.Check(tb, err)
	c, err := New(Config{IP: address.Addr(), Port: address.Port(), DataDir: tb.TempDir()}, telemetry.Discard())
	testkit.Check(tb, err)
	tb.Cleanup(func() {
		testkit.Check(tb, c.tcp.Close())
		testkit.Check(tb, c.udp.Close())
	})
	return c, address
}

// Guards against a controller that ends because of an announcement that no process of the system sends: without
// the target of a relay, of an entry VM with a target, or in another role than before.
func TestControllerSurvivesForgedAnnouncements(t *testing.T) {
	c, to := newIdleController(t)
	target := &roster.Target{ID: "t", State: roster.Ready}
	announcements := []roster.Announcement{
		{Role: roster.RoleRelay},
		{Role: roster.RoleEntry, Target: target},
		{Target: target},
		{Role: roster.RoleRelay, Target: target},
		{Role: roster.RoleEntry},
		{Role: roster.RoleEntry, Gone: true},
	}
	for _, a := range announcements {
		c.handleAnnouncement(to, hop.IP{10, 0, 0, 1}, &a)
		if datagram, err := a.Encode(); err != nil {
			t.Fatal(err)
		} else if decoded, err := roster.DecodeAnnouncement(datagram); (err == nil) != (a.Role != 0 && (a.Role == roster.RoleRelay) == (a.Target != nil)) {
			t.Fatalf("announcement %+v was decoded as %+v, %v", a, decoded, err)
		}
	}
}

// Guards against a controller that ends because of malformed datagrams of entry VMs and relays.
func FuzzDatagrams(f *testing.F) {
	c, to := newIdleController(f)
	for _, a := range []roster.Announcement{
		{Role: roster.RoleEntry, Name: "e", Digest: 3, Answers: 9, Push: true, Loads: true},
		{Role: roster.RoleRelay, Name: "r", Process: 1, Target: &roster.Target{ID: "t", State: roster.Ready}},
		{Role: roster.RoleRelay, Name: "r", Process: 1, Gone: true, Target: &roster.Target{ID: "t"}},
	} {
		datagram, err := a.Encode()
		testkit.Check(f, err)
		f.Add(datagram)
	}
	part := checkpoint.Part{Process: 1, Target: checkpoint.Target{ID: "t"}, Parts: 1, Packed: make([]byte, 32)}
	request := checkpoint.Request{Process: 1}
	for _, encode := range []func() ([]byte, error){part.Encode, request.Encode} {
		datagram, err := encode()
		testkit.Check(f, err)
		f.Add(datagram)
	}
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		// Most inputs are malformed; only a panic is a failure.
		_ = c.handleDatagram(to, hop.IP{10, 0, 0, byte(len(datagram))}, datagram)
	})
}
