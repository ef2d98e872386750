package entry_test

import (
	"math/rand/v2"
	"slices"
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

// sentQuery is a query that an entry VM has sent to a relay.
type sentQuery struct {
	hop.Message
	to hop.IP
}

// lookupFixture is an entry VM that has just started and looks up the owner of a flow. Its relays answer as the test says.
type lookupFixture struct {
	entry    *entry.Entry
	registry *roster.Registry
	now      time.Duration
	queries  []sentQuery // that have not been answered
	resets   int
}

var fixtureController = hop.IP{10, 0, 3, 1}

func (l *lookupFixture) ToCaller(packet.Addr, []byte) { l.resets++ }

func (l *lookupFixture) ToNode(to hop.IP, datagram []byte) {
	var m hop.Message
	if err := m.Parse(datagram); err == nil && (m.Kind == hop.OwnerQuery || m.Kind == hop.FanoutQuery) {
		l.queries = append(l.queries, sentQuery{m, to})
	}
}

// newLookupFixture returns a fixture in which a number of relays is listed.
func newLookupFixture(relays int) *lookupFixture {
	l := &lookupFixture{registry: roster.NewRegistry(1)}
	l.entry = entry.New(entry.Config{Codec: testCodec{}}, targetpicker.NewPicker("zone", rand.New(rand.NewPCG(1, 1))), l)
	l.entry.SetTable(routing.NewTable(&routing.Document{
		Version: 1, Services: []routing.Service{{Name: "service"}},
		Routes: []routing.Route{{Name: "r", Address: serviceAddr.AddrPort(), Timeout: time.Second, Shares: []routing.Share{{Service: "service", Weight: 1}}}},
	}))
	l.list(0, relays)
	caller := packet.Addr{IP: [4]byte{100, 64, 0, 1}, Port: 1000}
	l.entry.FromCaller(0, encode(packet.View{Source: caller, Destination: serviceAddr, Flags: packet.ACK, Seq: 8, Ack: 9, DataBytes: 10}))
	return l
}

// list adds the relays from one number up to another to the complete list of the controller.
func (l *lookupFixture) list(from, to int) {
	for n := from; n < to; n++ {
		l.registry.RecordAnnouncement(l.now, hop.IP{10, 1, byte(n >> 8), byte(n)}, &roster.Announcement{
			Role: roster.RoleRelay, Target: &roster.Target{Service: service, ID: "i", State: roster.Ready, Slots: 2},
		})
	}
	base := roster.Answer{Current: true, Controllers: []hop.IP{fixtureController}}
	for range 8 { // a long list takes several answers
		a := roster.Announcement{Role: roster.RoleEntry, Answers: 255}
		a.Position, a.Digest, _ = l.entry.View.Position(l.now, fixtureController)
		for _, answer := range l.registry.AnswersFor(l.now, base, hop.IP{}, &a) {
			l.entry.View.HandleAnswer(l.now, fixtureController, &answer)
		}
	}
}

// run lets time pass. Queries to single relays are answered at once: none of them owns the flow.
func (l *lookupFixture) run(d time.Duration) {
	for end := l.now + d; l.now < end; l.now += time.Millisecond {
		l.entry.Tick(l.now)
		for _, q := range slices.Clone(l.queries) {
			if q.Kind == hop.OwnerQuery {
				l.answer(q)
			}
		}
	}
}

// answer answers a query: no relay owns the flow.
func (l *lookupFixture) answer(q sentQuery) {
	l.queries = slices.DeleteFunc(l.queries, func(o sentQuery) bool { return o.Batch == q.Batch && o.to == q.to })
	m := hop.Message{Kind: hop.OwnerReply, Batch: q.Batch, Answers: []hop.Answer{hop.NotOwned}}
	if q.Kind == hop.FanoutQuery {
		m.Kind, m.Owners = hop.FanoutReply, make([]hop.IP, 1)
	}
	l.entry.FromNode(l.now, q.to, m.Append(nil))
}

// Guards against open flows that are reset although a group of relays has not answered: beyond the relays of one fan-out query, the
// late reply of one group to an earlier round counted for the other group.
func TestLateReplyOfOneGroupDoesNotCountForAnother(t *testing.T) {
	g := NewWithT(t)
	l := newLookupFixture(hop.MaxFanoutRelays + 2)
	l.run(100 * time.Millisecond)
	g.Expect(l.queries).To(HaveLen(2), "one fan-out query to each group")
	first := slices.Clone(l.queries)
	l.run(150 * time.Millisecond)
	g.Expect(len(l.queries)).To(BeNumerically(">", 2), "the next round")
	for _, q := range l.queries {
		if len(q.Relays) == len(first[1].Relays) {
			l.answer(q) // of both rounds
		}
	}
	g.Expect(l.resets).To(BeZero(), "the first group has not answered")
	for _, q := range slices.Clone(l.queries) {
		l.answer(q)
	}
	g.Expect(l.resets).To(Equal(1))
}

// Guards against open flows that are reset although their relay was never asked: it was listed after the queries were sent, and
// only the end of the lookup looked whether the list was complete.
func TestRelayThatIsListedDuringALookupIsAsked(t *testing.T) {
	g := NewWithT(t)
	l := newLookupFixture(20)
	l.run(100 * time.Millisecond)
	g.Expect(l.queries).To(HaveLen(1))
	l.list(20, 21)
	l.answer(l.queries[0])
	g.Expect(l.resets).To(BeZero())
	l.run(100 * time.Millisecond)
	g.Expect(l.queries).To(HaveLen(1))
	g.Expect(l.queries[0].Relays).To(HaveLen(21))
	l.answer(l.queries[0])
	g.Expect(l.resets).To(Equal(1))
}

// Guards against replies that are counted for another lookup than the one that they answer: of a relay that was not asked, and to
// a query of an earlier lookup of the same flow.
func TestRepliesCountOnlyForTheirQuery(t *testing.T) {
	g := NewWithT(t)
	l := newLookupFixture(20)
	l.run(100 * time.Millisecond)
	q := l.queries[0]
	stranger := q
	stranger.to = hop.IP{10, 1, 0, 99}
	l.answer(stranger)
	g.Expect(l.resets).To(BeZero())
	l.queries = nil
	l.run(2 * time.Second) // the lookup fails
	l.queries = nil
	caller := packet.Addr{IP: [4]byte{100, 64, 0, 1}, Port: 1000}
	l.entry.FromCaller(l.now, encode(packet.View{Source: caller, Destination: serviceAddr, Flags: packet.ACK, Seq: 8, Ack: 9, DataBytes: 10}))
	l.run(100 * time.Millisecond)
	g.Expect(l.queries).NotTo(BeEmpty(), "another lookup")
	l.answer(q)
	g.Expect(l.resets).To(BeZero())
}
