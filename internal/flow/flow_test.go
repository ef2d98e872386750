package flow_test

import (
	"encoding/binary"
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/testseed"
)

func TestFlow(t *testing.T) {
	testseed.RunSpecs(t, "flow")
}

var (
	caller  = netip.MustParseAddrPort("10.1.0.1:40000")
	service = netip.MustParseAddrPort("10.9.0.1:443")
)

func build(s flow.Segment) []byte {
	s.From, s.To = caller, service
	raw, err := flow.Build(s)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return raw
}

func mss(value uint16) layers.TCPOption {
	return layers.TCPOption{
		OptionType: layers.TCPOptionKindMSS, OptionLength: 4, OptionData: binary.BigEndian.AppendUint16(nil, value),
	}
}

var nop = layers.TCPOption{OptionType: layers.TCPOptionKindNop, OptionLength: 1}

// edit returns a function that builds a packet with payload and overwrites one byte of it.
func edit(offset int, value byte) func() []byte {
	return func() []byte {
		raw := build(flow.Segment{ACK: true, Payload: []byte("data")})
		raw[offset] = value
		return raw
	}
}

// expectValidChecksums decodes a packet and compares its checksums with those that gopacket computes.
func expectValidChecksums(raw []byte) flow.Packet {
	var p flow.Packet
	gomega.Expect(p.Parse(raw)).To(gomega.Equal(flow.DropNone))
	ip, tcp := p.IP, p.TCP
	gomega.Expect(tcp.SetNetworkLayerForChecksum(&ip)).To(gomega.Succeed())
	buf := gopacket.NewSerializeBuffer()
	gomega.Expect(gopacket.SerializeLayers(buf, gopacket.SerializeOptions{ComputeChecksums: true}, &ip, &tcp,
		gopacket.Payload(p.Payload))).To(gomega.Succeed())
	gomega.Expect(buf.Bytes()).To(gomega.Equal(p.Raw))
	return p
}

var _ = ginkgo.Describe("Parse", func() {
	// Guards against a balancer and an agent that assign the same packet to different flows.
	ginkgo.It("agrees with the summary", func() {
		raw := build(flow.Segment{SYN: true, Seq: 99, Options: []layers.TCPOption{mss(1460)}})
		var p flow.Packet
		var s flow.Summary
		gomega.Expect(p.Parse(append(raw, 0, 0))).To(gomega.Equal(flow.DropNone))
		gomega.Expect(s.Parse(append(raw, 0, 0))).To(gomega.Equal(flow.DropNone))
		key := flow.Key{Caller: caller, Service: service}
		destination, ok := flow.AddressKey(service)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(p.Key).To(gomega.Equal(key))
		gomega.Expect(p.Raw).To(gomega.Equal(raw))
		gomega.Expect(p.IsSYN()).To(gomega.BeTrue())
		gomega.Expect(s).To(gomega.Equal(flow.Summary{
			Hash: key.Hash(), Destination: destination, Seq: 99, SYN: true, Length: len(raw),
		}))
	})

	// Guards against hashing bytes at fixed offsets, which IP options shift.
	ginkgo.It("finds the same flow if the IP header has options", func() {
		raw := build(flow.Segment{ACK: true, Payload: []byte("data")})
		withOption := append(append([]byte{0x46}, raw[1:20]...), append([]byte{1, 1, 1, 0}, raw[20:]...)...)
		binary.BigEndian.PutUint16(withOption[2:], uint16(len(withOption)))
		var plain, other flow.Summary
		gomega.Expect(plain.Parse(raw)).To(gomega.Equal(flow.DropNone))
		gomega.Expect(other.Parse(withOption)).To(gomega.Equal(flow.DropNone))
		gomega.Expect(other.Hash).To(gomega.Equal(plain.Hash))
		gomega.Expect(flow.KeyOf(withOption)).To(gomega.Equal(flow.KeyOf(raw)))
	})

	ginkgo.DescribeTable("drops", func(make func() []byte, want flow.DropReason) {
		// Guards against malformed packets that reach a target, and against counts under a wrong reason.
		var p flow.Packet
		var s flow.Summary
		gomega.Expect(p.Parse(make())).To(gomega.Equal(want))
		gomega.Expect(s.Parse(make())).To(gomega.Equal(want))
	},
		ginkgo.Entry("an empty input", func() []byte { return nil }, flow.DropTruncated),
		ginkgo.Entry("a short IP header", func() []byte { return edit(0, 0x45)()[:19] }, flow.DropTruncated),
		ginkgo.Entry("a short packet", func() []byte { return edit(0, 0x45)()[:41] }, flow.DropTruncated),
		ginkgo.Entry("a total length beyond the packet", edit(3, 200), flow.DropTruncated),
		ginkgo.Entry("a total length of zero", edit(3, 0), flow.DropMalformed),
		ginkgo.Entry("a total length within the TCP header", edit(3, 39), flow.DropTruncated),
		ginkgo.Entry("IPv6", edit(0, 0x65), flow.DropNotIPv4),
		ginkgo.Entry("an IP header length below the minimum", edit(0, 0x44), flow.DropMalformed),
		ginkgo.Entry("an IP header length beyond the packet", edit(0, 0x4f), flow.DropMalformed),
		ginkgo.Entry("the first fragment", edit(6, 0x20), flow.DropFragment),
		ginkgo.Entry("a later fragment", edit(7, 0x10), flow.DropFragment),
		ginkgo.Entry("UDP", edit(9, 17), flow.DropNotTCP),
		ginkgo.Entry("a TCP data offset below the minimum", edit(32, 0x40), flow.DropMalformed),
		ginkgo.Entry("a TCP data offset beyond the packet", edit(32, 0xf0), flow.DropMalformed),
		ginkgo.Entry("an oversized packet", func() []byte {
			return build(flow.Segment{ACK: true, Payload: make([]byte, flow.MaxPacketBytes-39)})
		}, flow.DropOversized),
	)

	// Guards against an off-by-one error that drops packets of the largest size.
	ginkgo.It("accepts the largest packet", func() {
		var p flow.Packet
		raw := build(flow.Segment{ACK: true, Payload: make([]byte, flow.MaxPacketBytes-40)})
		gomega.Expect(p.Parse(raw)).To(gomega.Equal(flow.DropNone))
	})
})

var _ = ginkgo.Describe("built packets", func() {
	// Guards against a SYN whose checksum the target's kernel rejects after clamping, also if padding puts
	// the MSS at an odd offset.
	ginkgo.DescribeTable("have valid checksums after the MSS is clamped", func(padding ...layers.TCPOption) {
		options := append(padding, mss(1461))
		p := expectValidChecksums(build(flow.Segment{SYN: true, Options: options}))
		gomega.Expect(flow.ClampMSS(&p, 1328)).To(gomega.BeTrue())
		clamped := expectValidChecksums(p.Raw)
		gomega.Expect(clamped.TCP.Options[len(padding)].OptionData).To(gomega.Equal([]byte{0x05, 0x30}))
		gomega.Expect(flow.ClampMSS(&clamped, 1328)).To(gomega.BeFalse())
		data := expectValidChecksums(build(flow.Segment{ACK: true, Options: options}))
		gomega.Expect(flow.ClampMSS(&data, 1328)).To(gomega.BeFalse())
	},
		ginkgo.Entry("without padding"),
		ginkgo.Entry("after one byte", nop),
		ginkgo.Entry("after two bytes", nop, nop),
	)

	// Guards against refusals and resets that a caller ignores because their sequence numbers do not match.
	ginkgo.It("have the sequence numbers of the packet that they refuse or reset", func() {
		syn := expectValidChecksums(build(flow.Segment{SYN: true, Seq: 41}))
		raw, err := flow.Refusal(&syn, []byte("GGL-2001"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		refusal := expectValidChecksums(raw)
		gomega.Expect(refusal.Key).To(gomega.Equal(syn.Key.Reverse()))
		gomega.Expect(refusal.TCP.RST && refusal.TCP.ACK).To(gomega.BeTrue())
		gomega.Expect(refusal.TCP.Ack).To(gomega.Equal(uint32(42)))
		gomega.Expect(refusal.Payload).To(gomega.Equal([]byte("GGL-2001")))

		data := expectValidChecksums(build(flow.Segment{ACK: true, Ack: 7, Seq: 41, Payload: []byte("x")}))
		raw, err = flow.Reset(&data)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		reset := expectValidChecksums(raw)
		gomega.Expect(reset.TCP.RST).To(gomega.BeTrue())
		gomega.Expect(reset.TCP.ACK).To(gomega.BeFalse())
		gomega.Expect(reset.TCP.Seq).To(gomega.Equal(uint32(7)))
	})
})

var _ = ginkgo.Describe("Sampled and TraceID", func() {
	// Guards against hops that derive different trace IDs, and against one trace for two connections that
	// use the same ports.
	ginkgo.It("depend only on the flow and the connection", func() {
		key := flow.Key{Caller: caller, Service: service}
		gomega.Expect(flow.TraceID(key, 1)).To(gomega.Equal(flow.TraceID(key, 1)))
		gomega.Expect(flow.TraceID(key, 1)).NotTo(gomega.Equal(flow.TraceID(key, 2)))
		gomega.Expect(flow.SpanContext(key, 1).IsValid()).To(gomega.BeTrue())
		gomega.Expect(flow.Sampled(key.Hash(), 1)).To(gomega.BeTrue())
		gomega.Expect(flow.Sampled(key.Hash(), 0)).To(gomega.BeFalse())
	})

	// Guards against a sampling rate that differs from the configured one.
	ginkgo.It("selects one flow in oneIn", func() {
		sampled := 0
		for port := range uint16(10240) {
			key := flow.Key{Caller: netip.AddrPortFrom(caller.Addr(), port), Service: service}
			if flow.Sampled(key.Hash(), 16) {
				sampled++
			}
		}
		// 640 expected, with a standard deviation of 24.5; the tolerance is five standard deviations.
		gomega.Expect(sampled).To(gomega.BeNumerically("~", 640, 123))
	})
})
