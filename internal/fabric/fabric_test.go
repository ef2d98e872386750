package fabric_test

import (
	"net"
	"net/netip"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/fabric"
	"github.com/greengagelock/greengagelock/internal/testseed"
)

func TestFabric(t *testing.T) {
	testseed.RunSpecs(t, "fabric")
}

var _ = ginkgo.Describe("UDP", func() {
	var first, second *fabric.UDP

	ginkgo.BeforeEach(func() {
		for _, port := range []**fabric.UDP{&first, &second} {
			conn, err := fabric.ListenUDP(netip.MustParseAddrPort("127.0.0.1:0"))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			ginkgo.DeferCleanup(func() { _ = conn.Close() })
			*port = conn
		}
	})

	// Guards against datagrams with the data or the sender of another datagram of the batch, also if the
	// batch takes more than one system call.
	ginkgo.It("keeps the data and the address of each datagram in a batch", func() {
		const count = fabric.BatchSize + 10
		var out []fabric.Datagram
		for i := range count {
			out = append(out, fabric.Datagram{Data: []byte{byte(i), byte(i)}, Addr: second.LocalAddr()})
		}
		n, err := first.WriteBatch(out)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(n).To(gomega.Equal(count))
		var got []byte
		for len(got) < count {
			in := make([]fabric.Datagram, fabric.BatchSize+1)
			for i := range in {
				in[i].Data = make([]byte, 0, 16)
			}
			n, err := second.ReadBatch(in)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			for i := range n {
				gomega.Expect(in[i].Addr).To(gomega.Equal(first.LocalAddr()))
				gomega.Expect(in[i].Data).To(gomega.Equal([]byte{in[i].Data[0], in[i].Data[0]}))
				got = append(got, in[i].Data[0])
			}
		}
		for i := range count {
			gomega.Expect(got).To(gomega.ContainElement(byte(i)))
		}
	})

	// Guards against a panic on an address that is not IPv4, and against a returned count that does not
	// identify the datagram at fault.
	ginkgo.It("stops at a datagram that cannot be sent", func() {
		good := fabric.Datagram{Data: []byte("x"), Addr: second.LocalAddr()}
		for _, addr := range []string{"[::1]:9", "0.0.0.0:0"} {
			bad := fabric.Datagram{Data: []byte("x"), Addr: netip.MustParseAddrPort(addr)}
			n, err := first.WriteBatch([]fabric.Datagram{good, good, bad, good})
			gomega.Expect(err).To(gomega.HaveOccurred())
			gomega.Expect(n).To(gomega.Equal(2))
		}
		n, err := first.WriteBatch([]fabric.Datagram{{Data: []byte("x")}})
		gomega.Expect(err).To(gomega.MatchError(fabric.ErrNoIPv4Address))
		gomega.Expect(n).To(gomega.BeZero())
	})

	// Guards against a blocked read that cannot be stopped.
	ginkgo.It("ends a blocked read when the socket is closed", func() {
		ended := make(chan error, 1)
		go func() {
			_, err := first.ReadBatch([]fabric.Datagram{{Data: make([]byte, 0, 16)}})
			ended <- err
		}()
		gomega.Expect(first.Close()).To(gomega.Succeed())
		gomega.Expect(<-ended).To(gomega.MatchError(net.ErrClosed))
	})
})

var _ = ginkgo.Describe("TUN", func() {
	// Guards against a long name that the kernel would truncate to the name of another device.
	ginkgo.It("rejects a name that is too long", func() {
		_, err := fabric.OpenTUN(fabric.TUNConfig{Name: "greengagelock-tun0"})
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("longer than 15 bytes")))
	})
})
