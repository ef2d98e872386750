package hop

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/greengagelock/greengagelock/internal/packet"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

func drawKey(t *rapid.T) packet.Key {
	return packet.ParseKey(rapid.SliceOfN(rapid.Byte(), packet.KeyBytes, packet.KeyBytes).Draw(t, "key"))
}

func drawMessage(t *rapid.T) Message {
	m := Message{Kind: rapid.SampledFrom([]Kind{Forward, Admitted, Refused, Returned, OwnerQuery, OwnerReply, FanoutQuery, FanoutReply, ProbeOwned, ProbeNotOwned}).Draw(t, "kind")}
	switch m.Kind {
	case Admitted:
		m.Key, m.Seq = drawKey(t), rapid.Uint32().Draw(t, "seq")
		m.Load = Load{rapid.Uint16().Draw(t, "busy"), rapid.Uint16().Draw(t, "mean")}
	case OwnerQuery:
		m.Batch = rapid.Uint32().Draw(t, "batch")
		for range rapid.IntRange(1, MaxQuestions).Draw(t, "questions") {
			m.Questions = append(m.Questions, Question{drawKey(t), rapid.Uint32().Draw(t, "ack")})
		}
	case OwnerReply:
		m.Batch = rapid.Uint32().Draw(t, "batch")
		for range rapid.IntRange(1, MaxQuestions).Draw(t, "answers") {
			m.Answers = append(m.Answers, Answer(rapid.IntRange(1, 3).Draw(t, "answer")))
		}
	case ProbeOwned, ProbeNotOwned:
		m.Key = drawKey(t)
	case FanoutQuery:
		m.Relays = []IP{{10, 0, 0, 1}, {10, 0, 0, 2}}
		m.Questions = []Question{{drawKey(t), rapid.Uint32().Draw(t, "ack")}}
	case FanoutReply:
		m.Relays = []IP{{10, 0, 0, 1}}
		m.Owners, m.Answers = []IP{{}, {10, 0, 0, 2}}, []Answer{NotOwned, Owned}
	default:
		m.Service, m.Entry = rapid.Uint64().Draw(t, "service"), IP{10, 0, 0, 1}
		for i := range rapid.IntRange(1, MaxChain).Draw(t, "candidates") {
			m.Candidates = append(m.Candidates, IP{10, 0, 1, byte(i)})
		}
		m.At = uint8(rapid.IntRange(0, len(m.Candidates)-1).Draw(t, "at"))
		m.Best = uint8(rapid.IntRange(0, len(m.Candidates)-1).Draw(t, "best"))
		m.BestLoad, m.Final = rapid.Uint8().Draw(t, "load"), rapid.Bool().Draw(t, "final")
		m.Probe = rapid.Bool().Draw(t, "probe")
		m.MaxWait, m.Busy = rapid.Uint16().Draw(t, "wait"), rapid.Bool().Draw(t, "busy")
		m.Timeout, m.Waited = rapid.Uint16().Draw(t, "timeout"), rapid.Uint16().Draw(t, "waited")
		if m.isOffer() {
			m.Timeout, m.ColdLimit = 0, m.Timeout // they share their place in the datagram
		}
		m.Packet = rapid.SliceOfN(rapid.Byte(), 1, 100).Draw(t, "packet")
	}
	return m
}

// Guards against fields that are lost or mixed up in the encoding, and against fields of an earlier message
// that remain when a Message is used again.
func TestRoundTrip(t *testing.T) {
	var got Message
	rapid.Check(t, func(rt *rapid.T) {
		want := drawMessage(rt)
		if err := got.Parse(want.Append(nil)); err != nil {
			rt.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			rt.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

// Guards against a panic on malformed datagrams, and against an index outside the candidates.
func FuzzMessage(f *testing.F) {
	m := Message{Kind: Forward, Candidates: []IP{{1}}, Packet: []byte{1}}
	f.Add(m.Append(nil))
	m = Message{Kind: OwnerQuery, Questions: []Question{{}}}
	f.Add(m.Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Message
		if m.Parse(b) == nil && len(m.Candidates) > 0 && int(m.At) >= len(m.Candidates) {
			t.Fatalf("position %d of %d", m.At, len(m.Candidates))
		}
	})
}
