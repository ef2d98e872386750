package roster

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/testkit"
)

// Guards against an announcement or an answer that processes of the production build and of this one read differently
// while they run side by side. Both are arrays of a fixed length, so that a further field would make them unreadable.
func TestMessagesOfTheProductionBuild(t *testing.T) {
	g := NewWithT(t)
	target := Target{Relay: hop.IP{10, 2, 0, 1}, Service: 5, Zone: "z", ID: "i-1", Born: 1_700_000_000_000, State: Silent, Slots: 2, Cold: true}
	announcements := map[string]Announcement{
		"announcement-entry": {
			Role: RoleEntry, Name: "front-1", Version: 7, Position: &Position{Run: 3, Seq: 4, Base: 2, Complete: true}, Digest: 6, Answers: 16, Push: true,
			MembersDigest: 9, Loads: true, Process: 0x47474c01_00000007,
		},
		"announcement-relay": {
			Role: RoleRelay, Name: "side-1", Target: &target, TargetDigest: 11, Load: hop.Load{Busy: 1, Mean: 8}, Gone: true, Process: 0x47474c01_00000009,
		},
	}
	for name, a := range announcements {
		b, err := a.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		got, err := DecodeAnnouncement(testkit.Golden(t, name, b))
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(*got).To(Equal(a), name)
	}
	answer := Answer{
		Version: 7, Current: true, Controllers: []hop.IP{{10, 0, 0, 1}}, TargetDigest: 11, Run: 0x47474c01_00000005, From: 1, To: 2, Head: 3, Digest: 4,
		Targets: []Target{target}, States: []byte{10, 2, 0, 1, 3}, Removed: []hop.IP{{10, 2, 0, 9}}, Restart: true, Last: true, Loads: []byte{0x21},
		LoadsFrom: 4, Fresh: true, Call: true, Previous: "i-0",
	}
	b, err := answer.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	got, err := DecodeAnswer(testkit.Golden(t, "answer", b))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(*got).To(Equal(answer))
}
