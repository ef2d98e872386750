package hop

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/testkit"
)

// Guards against a message that processes of the production build and of this one read differently while they run side by
// side.
func TestMessagesOfTheProductionBuild(t *testing.T) {
	g := NewWithT(t)
	key := packet.Key{
		Caller: packet.Addr{IP: [4]byte{100, 64, 0, 7}, Port: 40001}, Service: packet.Addr{IP: [4]byte{198, 18, 0, 1}, Port: 443},
	}
	entry, relays := IP{10, 1, 0, 1}, []IP{{10, 2, 0, 1}, {10, 2, 0, 2}}
	for name, m := range map[string]Message{
		"forward":     {Kind: Forward, Service: 5, Entry: entry, MaxWait: 250, Timeout: 1500, Waited: 40, Packet: []byte{1, 2, 3}},
		"offer":       {Kind: Forward, Service: 5, Entry: entry, Candidates: relays, At: 1, BestLoad: 9, MaxWait: 125, Packet: []byte{1}},
		"probe":       {Kind: Forward, Service: 5, Entry: entry, Candidates: relays, Probe: true, Packet: []byte{1}},
		"refused":     {Kind: Refused, Service: 5, Entry: entry, Candidates: relays, Busy: true, Packet: []byte{1}},
		"returned":    {Kind: Returned, Service: 5, Entry: entry, Timeout: 1500, Packet: []byte{1}},
		"admitted":    {Kind: Admitted, Key: key, Seq: 77, Load: Load{Busy: 2, Mean: 19}},
		"probe-owned": {Kind: ProbeOwned, Key: key}, "probe-not-owned": {Kind: ProbeNotOwned, Key: key},
		"owner-query":  {Kind: OwnerQuery, Batch: 8, Questions: []Question{{Key: key, Ack: 3}}},
		"owner-reply":  {Kind: OwnerReply, Batch: 8, Answers: []Answer{Owned, Unsure}},
		"fanout-query": {Kind: FanoutQuery, Batch: 9, Relays: relays, Questions: []Question{{Key: key, Ack: 3}}},
		"fanout-reply": {Kind: FanoutReply, Batch: 9, Relays: relays, Owners: relays, Answers: []Answer{Owned, NoReply}},
	} {
		golden := testkit.Golden(t, name, m.Append(nil))
		got := Message{}
		g.Expect(got.Parse(golden)).To(Succeed(), name)
		g.Expect(got).To(Equal(m), name)
	}
}
