package entry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/entry"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/routing"
	"github.com/greengagelock/greengagelock/internal/targetpicker"
)

// smallestLink is the link of the smallest entry VM of the users, in bytes a second.
const smallestLink = 250_000

// lookupPorts counts what an entry VM sends to relays, and queues answers that no target has a flow.
type lookupPorts struct {
	bytes   int
	replies []reply
}

type reply struct {
	from     hop.IP
	datagram []byte
}

func (p *lookupPorts) ToCaller(packet.Addr, []byte) {}

func (p *lookupPorts) ToNode(to hop.IP, datagram []byte) {
	p.bytes += len(datagram) + 28 // with the IP and UDP headers
	var m hop.Message
	if m.Parse(datagram) != nil || m.Kind != hop.OwnerQuery {
		return
	}
	answer := hop.Message{Kind: hop.OwnerReply, Batch: m.Batch}
	for range m.Questions {
		answer.Answers = append(answer.Answers, hop.NotOwned)
	}
	p.replies = append(p.replies, reply{to, answer.Append(nil)})
}

// lookupBytes returns the bytes that an entry VM, which has just started, sends to relays within a second to look up the
// owners of flows that no target has, of the likely owners and of all relays.
func lookupBytes(t *testing.T, targets, flows int) (likely, all int) {
	t.Helper()
	registry, ports := roster.NewRegistry(1), &lookupPorts{}
	for n := range targets {
		registry.RecordAnnouncement(0, hop.IP{10, 1, byte(n >> 8), byte(n)}, &roster.Announcement{
			Role: roster.RoleRelay, Target: &roster.Target{Service: service, ID: "i", State: roster.Ready, Slots: 2},
		})
	}
	e := entry.New(entry.Config{Codec: testCodec{}, LinkBytesPerSecond: smallestLink}, targetpicker.NewPicker("zone", rand.New(rand.NewPCG(1, 1))), ports)
	e.SetTable(routing.NewTable(&routing.Document{
		Version: 1, Services: []routing.Service{{Name: "service"}},
		Routes: []routing.Route{{Name: "r", Address: serviceAddr.AddrPort(), Timeout: time.Second, Shares: []routing.Share{{Service: "service", Weight: 1}}}},
	}))
	controller := hop.IP{10, 0, 3, 1}
	for e.View.Len() < targets {
		position, digest, answers := e.View.Position(0, controller)
		for _, a := range registry.AnswersFor(0, roster.Answer{Current: true, Controllers: []hop.IP{controller}}, hop.IP{}, &roster.Announcement{Role: roster.RoleEntry, Position: position, Digest: digest, Answers: answers}) {
			e.View.HandleAnswer(0, controller, &a)
		}
	}
	for n := range flows {
		caller := packet.Addr{IP: [4]byte{100, 64, byte(n >> 8), byte(n)}, Port: 1000}
		e.FromCaller(0, encode(packet.View{Source: caller, Destination: serviceAddr, Flags: packet.ACK, Seq: 8, Ack: 9, DataBytes: 10}))
	}
	for now := time.Duration(0); now < time.Second; now += time.Millisecond {
		e.Tick(now)
		before := ports.bytes
		replies := ports.replies
		ports.replies = nil
		for _, r := range replies {
			e.FromNode(now, r.from, r.datagram)
		}
		if len(replies) > 0 && likely == 0 {
			likely = before
		}
	}
	return likely, ports.bytes
}

// Guards against lookups whose bytes grow with the square of the fleet, or fill the link of an entry VM that has just
// started: the likely owners of a flow are as many at any size, the queries of all relays grow with the relays, and all
// of them stay within their share of the link.
func TestBytesOfLookups(t *testing.T) {
	g := NewWithT(t)
	small, _ := lookupBytes(t, 136, 1)
	for _, targets := range []int{136, 1000, 4100} {
		likely, one := lookupBytes(t, targets, 1)
		_, many := lookupBytes(t, targets, 400)
		t.Logf("%d targets: one flow %d bytes to the likely owners, %d in all; 400 flows %d in a second", targets, likely, one, many)
		g.Expect(likely).To(Equal(small))
		// A fan-out query names each relay once, in 4 bytes and a part of the headers, and is sent three times without a reply.
		g.Expect(one).To(BeNumerically("<", 1000+3*5*targets))
		// A quarter of the link for a second, and that of a quarter of a second at once.
		g.Expect(many).To(BeNumerically("<=", smallestLink*5/16))
	}
}
