package entry_test

import (
	"testing"
	"time"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
)

// Guards against an entry VM or a relay that ends because of a malformed datagram of another process, a caller
// or a target. The sender is one that the receiver knows, so that the handlers behind the decoders run.
func FuzzDatagrams(f *testing.F) {
	key := packet.Key{Caller: packet.Addr{IP: [4]byte{100, 64, 0, 0}, Port: 1000}, Service: serviceAddr}
	syn := encode(packet.View{Source: key.Caller, Destination: key.Service, Flags: packet.SYN, Seq: 7})
	data := encode(packet.View{Source: key.Caller, Destination: key.Service, Flags: packet.ACK, Seq: 8, Ack: 9, DataBytes: 10})
	relay, other := hop.IP{10, 0, 2, 1}, hop.IP{10, 0, 2, 2}
	for _, m := range []hop.Message{
		{Kind: hop.Forward, Service: uint64(service), Candidates: []hop.IP{relay, other}, Packet: syn},
		{Kind: hop.Forward, Service: uint64(service), Candidates: []hop.IP{relay}, Packet: data, Probe: true},
		{Kind: hop.Admitted, Key: key, Seq: 7},
		{Kind: hop.Refused, Candidates: []hop.IP{relay}, Packet: syn, Busy: true},
		{Kind: hop.Returned, Packet: data},
		{Kind: hop.OwnerQuery, Batch: 1, Questions: []hop.Question{{Key: key}}},
		{Kind: hop.OwnerReply, Batch: 1, Answers: []hop.Answer{hop.Owned}},
		{Kind: hop.FanoutQuery, Batch: 1, Relays: []hop.IP{relay, other}, Questions: []hop.Question{{Key: key}}},
		{Kind: hop.FanoutReply, Batch: 1, Answers: []hop.Answer{hop.NoReply}, Owners: []hop.IP{other}, Relays: []hop.IP{other}},
		{Kind: hop.ProbeOwned, Key: key},
		{Kind: hop.ProbeNotOwned, Key: key},
	} {
		f.Add(m.Append(nil))
	}
	f.Add(syn)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		w := newWorld(50, 1, 2)
		for range 2 {
			w.openFlow()
		}
		w.run(10 * time.Millisecond)
		e, t := w.entries[0].entry, w.targets[0]
		for range 2 { // the second one meets the state that the first one has left
			e.FromNode(w.Now, relay, datagram)
			e.FromCaller(w.Now, datagram)
			t.relay.FromNode(w.Now, w.entries[0].ip, datagram)
			t.relay.FromTarget(w.Now, datagram)
			t.armTimer()
			w.run(300 * time.Millisecond)
		}
	})
}
