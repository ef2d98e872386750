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
	var one, other *fabric.UDP

	ginkgo.BeforeEach(func() {
		for _, port := range []**fabric.UDP{&one, &other} {
			conn, err := fabric.ListenUDP(netip.MustParseAddrPort("127.0.0.1:0"))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			ginkgo.DeferCleanup(func() { _ = conn.Close() })
			*port = conn
		}
	})

	// Guards against datagrams that get the data or the sender of another one of the batch, also in
	// batches larger than one system call.
	ginkgo.It("keeps data and addresses of a batch apart", func() {
		const count = fabric.BatchSize + 10
		var out []fabric.Datagram
		for i := range count {
			out = append(out, fabric.Datagram{Data: []byte{byte(i), byte(i)}, Addr: other.LocalAddr()})
		}
		n, err := one.WriteBatch(out)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(n).To(gomega.Equal(count))
		var got []byte
		for len(got) < count {
			in := make([]fabric.Datagram, fabric.BatchSize+1)
			for i := range in {
				in[i].Data = make([]byte, 0, 16)
			}
			n, err := other.ReadBatch(in)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			for i := range n {
				gomega.Expect(in[i].Addr).To(gomega.Equal(one.LocalAddr()))
				gomega.Expect(in[i].Data).To(gomega.Equal([]byte{in[i].Data[0], in[i].Data[0]}))
				got = append(got, in[i].Data[0])
			}
		}
		for i := range count {
			gomega.Expect(got).To(gomega.ContainElement(byte(i)))
		}
	})

	// Guards against a panic on an address that is not IPv4, and against a report that does not
	// name the datagram at fault.
	ginkgo.It("stops at a datagram that cannot be sent", func() {
		good := fabric.Datagram{Data: []byte("x"), Addr: other.LocalAddr()}
		for _, addr := range []string{"[::1]:9", "0.0.0.0:0"} {
			bad := fabric.Datagram{Data: []byte("x"), Addr: netip.MustParseAddrPort(addr)}
			n, err := one.WriteBatch([]fabric.Datagram{good, good, bad, good})
			gomega.Expect(err).To(gomega.HaveOccurred())
			gomega.Expect(n).To(gomega.Equal(2))
		}
		n, err := one.WriteBatch([]fabric.Datagram{{Data: []byte("x")}})
		gomega.Expect(err).To(gomega.MatchError(fabric.ErrAddress))
		gomega.Expect(n).To(gomega.BeZero())
	})

	// Guards against a reader that cannot be stopped.
	ginkgo.It("ends a blocked read when it is closed", func() {
		ended := make(chan error, 1)
		go func() {
			_, err := one.ReadBatch([]fabric.Datagram{{Data: make([]byte, 0, 16)}})
			ended <- err
		}()
		gomega.Expect(one.Close()).To(gomega.Succeed())
		gomega.Expect(<-ended).To(gomega.MatchError(net.ErrClosed))
	})
})

var _ = ginkgo.Describe("TUN", func() {
	// Guards against a name that the kernel would cut to that of another device.
	ginkgo.It("refuses a name that is too long", func() {
		_, err := fabric.OpenTUN(fabric.TUNConfig{Name: "greengagelock-tun0"})
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("longer than 15 bytes")))
	})
})
