package confstore

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

// saved writes the file and reads it again, as after a restart.
func (n *incarnations) saved(g *WithT) *incarnations {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.save(ctx, telemetry.Discard().Logger)
	}()
	g.Eventually(func() int { return len(n.dirty) }).Should(BeZero())
	cancel()
	<-done
	return loadIncarnations(n.folder, telemetry.Discard().Logger)
}

// Guards against a relay that is told of a target of another time: it must learn which target its
// predecessor had, also from a controller that was restarted.
func TestPreviousTarget(t *testing.T) {
	g := NewWithT(t)
	n := loadIncarnations(t.TempDir(), telemetry.Discard().Logger)
	relay := hop.IP{10, 0, 0, 1}
	g.Expect(n.note(relay, 1, "a")).To(BeEmpty())
	g.Expect(n.note(relay, 1, "b")).To(BeEmpty(), "the same process")
	n = n.saved(g)
	g.Expect(n.note(relay, 2, "")).To(Equal("b"))
	g.Expect(n.note(relay, 2, "c")).To(Equal("b"))
	g.Expect(n.note(relay, 3, "c")).To(Equal("c"))
}

// Guards against a controller that has just started and whose list is taken for whole while relays that
// run have not announced themselves.
func TestCompleteOnceAllRelaysAreHeard(t *testing.T) {
	g := NewWithT(t)
	n := loadIncarnations(t.TempDir(), telemetry.Discard().Logger)
	g.Expect(n.complete()).To(BeFalse(), "without a file nothing is known")
	first, second, gone := hop.IP{10, 0, 0, 1}, hop.IP{10, 0, 0, 2}, hop.IP{10, 0, 0, 3}
	for _, ip := range []hop.IP{first, second, gone} {
		n.note(ip, 1, "t")
	}
	n.leave(gone)
	n = n.saved(g)
	g.Expect(n.complete()).To(BeFalse())
	n.note(first, 1, "t")
	g.Expect(n.complete()).To(BeFalse())
	n.note(second, 2, "")
	g.Expect(n.complete()).To(BeTrue())
	n = n.saved(g)
	n.note(first, 1, "t")
	n.leave(second)
	g.Expect(n.complete()).To(BeTrue())
}

// Guards against a file that cannot be read and is taken for an empty list.
func TestUnreadableIncarnations(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	g.Expect(os.WriteFile(filepath.Join(folder, incarnationsFile), []byte("?"), 0o600)).To(Succeed())
	n := loadIncarnations(folder, telemetry.Discard().Logger)
	g.Expect(n.complete()).To(BeFalse())
	g.Expect(n.note(hop.IP{10, 0, 0, 1}, 1, "a")).To(BeEmpty())
}
