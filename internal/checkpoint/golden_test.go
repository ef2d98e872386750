package checkpoint

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/testkit"
)

// Guards against a message or a file that controllers and relays of the production build and of this one read
// differently while they run side by side, or after a return to that build.
func TestMessagesAndFileOfTheProductionBuild(t *testing.T) {
	g := NewWithT(t)
	key := packet.Key{
		Caller: packet.Addr{IP: [4]byte{100, 64, 0, 7}, Port: 40001}, Service: packet.Addr{IP: [4]byte{198, 18, 0, 1}, Port: 443},
	}
	part := Part{Process: 3, Target: Target{ID: "i-1", Born: 1_700_000_000_000}, Number: 4, Part: 0, Parts: 1, Packed: Pack([]Flow{{key, 5}}), Base: 2, Closed: key.Append(nil)}
	for name, m := range map[string]interface{ Encode() ([]byte, error) }{
		"part": &part, "request": &Request{Process: 3}, "resync": &Resync{Process: 3},
	} {
		b, err := m.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		got, err := Decode(testkit.Golden(t, name, b))
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(got).To(Equal(m), name)
	}
	saved := time.UnixMilli(1_700_000_000_000)
	s, relay := NewStore(), hop.IP{10, 2, 0, 1}
	all := part
	all.Base, all.Closed = 0, nil
	s.RecordPart(0, relay, &all)
	data, _, err := s.encode(saved)
	g.Expect(err).NotTo(HaveOccurred())
	folder := t.TempDir()
	g.Expect(os.WriteFile(filepath.Join(folder, fileName), testkit.Golden(t, "flows.cbor", data), 0o600)).To(Succeed())
	restored := NewStore()
	g.Expect(restored.Load(folder, 0, saved)).To(Succeed())
	earlier := restored.Earlier(relay, 99)
	g.Expect(earlier).To(HaveLen(1))
	g.Expect(earlier[0].Flows()).To(Equal([]Flow{{key, 5}}))
}
