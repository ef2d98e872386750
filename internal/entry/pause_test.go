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

// offers records the services whose targets are offered SYNs.
type offers struct{ services []uint64 }

func (o *offers) ToCaller(packet.Addr, []byte) {}

func (o *offers) ToNode(_ hop.IP, datagram []byte) {
	m := hop.Message{}
	if m.Parse(datagram) == nil && m.Kind == hop.Forward {
		o.services = append(o.services, m.Service)
	}
}

// Guards against a process that was paused and acts on what it knew before: the route leads to another service by now.
// The SYN waits until a controller has answered and its configuration is in force, and not for ever.
func TestPausedEntryVMWaitsForControllers(t *testing.T) {
	other := routing.ServiceIDOf("other")
	for name, c := range map[string]struct {
		controllersAnswer bool
		want              routing.ServiceID
	}{"controllers answer": {true, other}, "all controllers are off": {false, service}} {
		g := NewWithT(t)
		table := func(version uint64, to string) *routing.Table {
			return routing.NewTable(&routing.Document{
				Version: version, Services: []routing.Service{{Name: "service"}, {Name: "other"}},
				Routes: []routing.Route{{Address: serviceAddr.AddrPort(), Timeout: time.Second, Shares: []routing.Share{{Service: to, Weight: 1}}}},
			})
		}
		sent := &offers{}
		e := entry.New(entry.Config{Codec: testCodec{}}, targetpicker.NewPicker("z", rand.New(rand.NewPCG(1, 1))), sent)
		e.SetTable(table(1, "service"))
		registry := roster.NewRegistry(1)
		for n, s := range []routing.ServiceID{service, other} {
			registry.RecordAnnouncement(0, hop.IP{10, 0, 2, byte(n)}, &roster.Announcement{Role: roster.RoleRelay, Target: &roster.Target{
				ID: "i", Service: s, State: roster.Ready, Slots: 2,
			}})
		}
		controller := hop.IP{10, 0, 3, 1}
		answers := registry.AnswersFor(0, roster.Answer{Version: 1, Current: true, Controllers: []hop.IP{controller}}, hop.IP{}, &roster.Announcement{Role: roster.RoleEntry, Answers: 255})
		e.HandleAnswer(0, controller, &answers[0])
		e.CheckReach(entry.ReachInterval)
		syn := func(now time.Duration, port uint16) {
			e.FromCaller(now, encode(packet.View{
				Source: packet.Addr{IP: [4]byte{100, 64, 0, 1}, Port: port}, Destination: serviceAddr, Flags: packet.SYN, Seq: 1,
			}))
		}
		syn(2*entry.ReachInterval, 1)
		g.Expect(sent.services).To(Equal([]uint64{uint64(service)}), "no pause")

		now := 10 * time.Second
		syn(now, 2)
		g.Expect(sent.services).To(HaveLen(1), name)
		if c.controllersAnswer {
			e.HandleAnswer(now+time.Millisecond, controller, &roster.Answer{Version: 2, Run: 1, Current: true, From: 2, To: 2, Head: 2})
			g.Expect(e.ReplayStartupQueue(now+2*time.Millisecond)).To(BeTrue(), "its configuration is not in force yet")
			e.SetTable(table(2, "other"))
			e.ReplayStartupQueue(now + 3*time.Millisecond)
		}
		e.ReplayStartupQueue(now + 250*time.Millisecond)
		g.Expect(sent.services).To(Equal([]uint64{uint64(service), uint64(c.want)}), name)
	}
}
