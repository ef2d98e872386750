package encap_test

import (
	"net/netip"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/testseed"
)

func TestEncap(t *testing.T) {
	testseed.RunSpecs(t, "encap")
}

var key = encap.Key{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}

func addrPort(t *rapid.T, label string) netip.AddrPort {
	b := rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, label)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), rapid.Uint16().Draw(t, label+"port"))
}

func candidate(t *rapid.T, label string) encap.Candidate {
	return encap.Candidate{Agent: addrPort(t, label), Target: rapid.Uint16().Draw(t, label+"target")}
}

func header(t *rapid.T) encap.Header {
	h := encap.Header{
		Final:      rapid.Bool().Draw(t, "final"),
		Waiting:    rapid.Uint16().Draw(t, "waiting"),
		Waited:     rapid.Uint8().Draw(t, "waited"),
		Extensions: rapid.Uint8Max(encap.MaxExtensions).Draw(t, "extensions"),
		Hops:       rapid.Uint8Max(encap.MaxHops-1).Draw(t, "hops"),
		Service:    model.ServiceID(rapid.Uint32().Draw(t, "service")),
		Generation: model.Generation(rapid.Uint64().Draw(t, "generation")),
		BestWait:   rapid.Uint16().Draw(t, "wait"),
		ControlAge: rapid.Byte().Draw(t, "age"),
		Ingress:    addrPort(t, "ingress"),
		Count:      rapid.Uint8Range(1, encap.MaxCandidates).Draw(t, "count"),
	}
	h.Cursor = rapid.Uint8Max(h.Count-1).Draw(t, "cursor")
	h.BestIndex = rapid.Uint8Max(h.Count-1).Draw(t, "best")
	for i := range h.Count {
		h.Candidates[i] = candidate(t, "candidate")
	}
	return h
}

// Guards against a field that changes by encoding and decoding, and against Prepend and Append that
// encode differently, also if the buffer of Prepend holds old data.
func TestHeaderRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := header(t)
		packet := rapid.SliceOfN(rapid.Byte(), 0, 100).Draw(t, "packet")
		datagram := want.Append([]byte("before"), &key, packet)[len("before"):]
		buf := make([]byte, encap.MaxHeaderBytes, encap.MaxHeaderBytes+len(packet))
		for i := range buf {
			buf[i] = 0xff
		}
		inPlace := want.Prepend(append(buf, packet...), encap.MaxHeaderBytes, &key)
		if string(inPlace) != string(datagram) {
			t.Fatal("Prepend and Append encode differently")
		}
		var got encap.Header
		inner, drop := got.Decode(datagram, &key)
		if drop != flow.DropNone || got != want || string(inner) != string(packet) {
			t.Fatalf("decoded %+v, %q", got, drop)
		}
	})
}

// Guards against a hint that names another flow or owner after encoding and decoding.
func TestHintRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := encap.Hint{
			Service: model.ServiceID(rapid.Uint32().Draw(t, "service")),
			Flow:    flow.Key{Caller: addrPort(t, "caller"), Service: addrPort(t, "address")},
			Owner:   candidate(t, "owner"),
		}
		var got encap.Hint
		datagram := want.Append(nil, &key)
		if drop := got.Decode(datagram, &key); drop != flow.DropNone || got != want || !encap.IsHint(datagram) {
			t.Fatalf("decoded %+v, %q", got, drop)
		}
	})
}

// Guards against a signal that names another target after encoding and decoding, and against a signal that
// is decoded as a hint.
func TestSignalRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := encap.Signal{
			Kind:    encap.SignalKind(rapid.IntRange(1, 3).Draw(t, "kind")),
			Service: model.ServiceID(rapid.Uint32().Draw(t, "service")),
			From:    candidate(t, "from"),
		}
		var got encap.Signal
		var hint encap.Hint
		datagram := want.Append(nil, &key)
		if drop := got.Decode(datagram, &key); drop != flow.DropNone || got != want || !encap.IsSignal(datagram) {
			t.Fatalf("decoded %+v, %q", got, drop)
		}
		if hint.Decode(datagram, &key) != encap.DropType {
			t.Fatal("a signal was decoded as a hint")
		}
	})
}

// Guards against a spoofed datagram that changes the route of a packet. A change of any bit of the header,
// of a hint, or of the inner IPv4 and TCP headers must be detected.
func TestEveryChangedBitIsRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := header(t)
		packet := rapid.SliceOfN(rapid.Byte(), 40, 60).Draw(t, "packet")
		datagram := want.Append(nil, &key, packet)
		for bit := range (want.Size() + 40) * 8 {
			datagram[bit/8] ^= 1 << (bit % 8)
			var got encap.Header
			if _, drop := got.Decode(datagram, &key); drop == flow.DropNone {
				t.Fatalf("bit %d of byte %d is not checked", bit%8, bit/8)
			}
			datagram[bit/8] ^= 1 << (bit % 8)
		}
		hint := encap.Hint{Owner: candidate(t, "owner")}
		encoded := hint.Append(nil, &key)
		for bit := range len(encoded) * 8 {
			encoded[bit/8] ^= 1 << (bit % 8)
			if drop := hint.Decode(encoded, &key); drop == flow.DropNone {
				t.Fatalf("bit %d of byte %d of a hint is not checked", bit%8, bit/8)
			}
			encoded[bit/8] ^= 1 << (bit % 8)
		}
	})
}

var _ = ginkgo.Describe("Decode", func() {
	valid := encap.Header{Service: 3, Count: 2, Ingress: netip.MustParseAddrPort("10.2.0.1:6082")}
	packet := make([]byte, 40)

	ginkgo.DescribeTable("drops", func(change func(h *encap.Header, d []byte) []byte, want flow.DropReason) {
		// Guards against invalid datagrams that are counted under a wrong reason.
		h := valid
		datagram := change(&h, h.Append(nil, &key, packet))
		var got encap.Header
		_, drop := got.Decode(datagram, &key)
		gomega.Expect(drop).To(gomega.Equal(want))
	},
		ginkgo.Entry("nothing", func(_ *encap.Header, _ []byte) []byte { return nil }, encap.DropDatagramTruncated),
		ginkgo.Entry("a short header", func(_ *encap.Header, d []byte) []byte { return d[:39] }, encap.DropDatagramTruncated),
		ginkgo.Entry("missing candidates", func(_ *encap.Header, d []byte) []byte { return d[:50] }, encap.DropDatagramTruncated),
		ginkgo.Entry("an oversized datagram", func(_ *encap.Header, d []byte) []byte {
			return append(d, make([]byte, encap.MaxDatagramBytes)...)
		}, encap.DropDatagramOversized),
		ginkgo.Entry("another version", func(_ *encap.Header, d []byte) []byte {
			d[0] = 2
			return d
		}, encap.DropVersion),
		ginkgo.Entry("a hint", func(_ *encap.Header, _ []byte) []byte {
			return new(encap.Hint).Append(nil, &key)
		}, encap.DropType),
		ginkgo.Entry("unknown flags", func(_ *encap.Header, d []byte) []byte {
			d[2] = 0x80
			return d
		}, encap.DropHeader),
		ginkgo.Entry("no candidates", func(h *encap.Header, _ []byte) []byte {
			h.Count = 0
			return h.Append(nil, &key, packet)
		}, encap.DropHeader),
		ginkgo.Entry("too many candidates", func(_ *encap.Header, d []byte) []byte {
			d[16] = encap.MaxCandidates + 1
			return append(d, make([]byte, 100)...)
		}, encap.DropHeader),
		ginkgo.Entry("a cursor beyond the candidates", func(h *encap.Header, _ []byte) []byte {
			h.Cursor = 2
			return h.Append(nil, &key, packet)
		}, encap.DropHeader),
		ginkgo.Entry("a best index beyond the candidates", func(h *encap.Header, _ []byte) []byte {
			h.BestIndex = 2
			return h.Append(nil, &key, packet)
		}, encap.DropHeader),
		ginkgo.Entry("too many extensions", func(h *encap.Header, _ []byte) []byte {
			h.Extensions = encap.MaxExtensions + 1
			return h.Append(nil, &key, packet)
		}, encap.DropHeader),
		ginkgo.Entry("too many hops", func(h *encap.Header, _ []byte) []byte {
			h.Hops = encap.MaxHops
			return h.Append(nil, &key, packet)
		}, encap.DropHops),
		ginkgo.Entry("another fleet's key", func(h *encap.Header, _ []byte) []byte {
			return h.Append(nil, &encap.Key{}, packet)
		}, encap.DropTag),
	)

	// Guards against datagrams of another type or length that are accepted as hints.
	ginkgo.It("drops invalid hints", func() {
		var hint encap.Hint
		datagram := hint.Append(nil, &key)
		gomega.Expect(hint.Decode(datagram[:39], &key)).To(gomega.Equal(encap.DropDatagramTruncated))
		gomega.Expect(hint.Decode(append(datagram, 0), &key)).To(gomega.Equal(encap.DropDatagramTruncated))
		gomega.Expect(hint.Decode(datagram, &encap.Key{})).To(gomega.Equal(encap.DropTag))
		datagram[1] = 1
		gomega.Expect(hint.Decode(datagram, &key)).To(gomega.Equal(encap.DropType))
		datagram[0] = 0
		gomega.Expect(hint.Decode(datagram, &key)).To(gomega.Equal(encap.DropVersion))
	})
})
