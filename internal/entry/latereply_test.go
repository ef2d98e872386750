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

// resetPorts counts the resets that callers get.
type resetPorts struct{ resets int }

func (p *resetPorts) ToCaller(packet.Addr, []byte) { p.resets++ }

func (p *resetPorts) ToNode(hop.IP, []byte) {}

// Guards against open flows that an entry VM resets right after its start: replies to queries of its earlier process, which say
// that no target has some other flows, arrived late and were taken for replies to its own first queries.
func TestLateRepliesToAnEarlierProcessAreIgnored(t *testing.T) {
	g := NewWithT(t)
	relay, controller := hop.IP{10, 1, 0, 1}, hop.IP{10, 0, 3, 1}
	for firstQuery, want := range map[uint32]int{0: 1, 1 << 31: 0} { // with equal numbers the replies cannot be told apart
		registry, ports := roster.NewRegistry(1), &resetPorts{}
		registry.RecordAnnouncement(0, relay, &roster.Announcement{
			Role: roster.RoleRelay, Target: &roster.Target{Service: service, ID: "i", State: roster.Ready, Slots: 2},
		})
		e := entry.New(entry.Config{Codec: testCodec{}, FirstQuery: firstQuery}, targetpicker.NewPicker("zone", rand.New(rand.NewPCG(1, 1))), ports)
		e.SetTable(routing.NewTable(&routing.Document{
			Version: 1, Services: []routing.Service{{Name: "service"}},
			Routes: []routing.Route{{Name: "r", Address: serviceAddr.AddrPort(), Timeout: time.Second, Shares: []routing.Share{{Service: "service", Weight: 1}}}},
		}))
		for _, a := range registry.AnswersFor(0, roster.Answer{Current: true, Controllers: []hop.IP{controller}}, hop.IP{}, &roster.Announcement{Role: roster.RoleEntry, Answers: 255}) {
			e.View.HandleAnswer(0, controller, &a)
		}
		caller := packet.Addr{IP: [4]byte{100, 64, 0, 1}, Port: 1000}
		e.FromCaller(0, encode(packet.View{Source: caller, Destination: serviceAddr, Flags: packet.ACK, Seq: 8, Ack: 9, DataBytes: 10}))
		for now := time.Duration(0); now < 100*time.Millisecond; now += time.Millisecond {
			e.Tick(now)
			for batch := range uint32(4) {
				e.FromNode(now, relay, (&hop.Message{Kind: hop.OwnerReply, Batch: batch, Answers: []hop.Answer{hop.NotOwned}}).Append(nil))
				e.FromNode(now, relay, (&hop.Message{Kind: hop.FanoutReply, Batch: batch, Answers: []hop.Answer{hop.NotOwned}, Owners: make([]hop.IP, 1)}).Append(nil))
			}
		}
		g.Expect(ports.resets).To(Equal(want))
	}
}
