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

// reloaded waits until the file is written and loads it again, as a restart of the controller does.
func (n *incarnations) reloaded(g *WithT) *incarnations {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.runSaves(ctx, telemetry.Discard().Logger)
	}()
	g.Eventually(func() int { return len(n.dirty) }).Should(BeZero())
	cancel()
	<-done
	return loadIncarnations(n.folder, telemetry.Discard().Logger)
}

// Guards against a relay that gets the wrong previous target: a new relay process must get the last target
// of the process before it, also after a restart of the controller.
func TestPreviousTarget(t *testing.T) {
	g := NewWithT(t)
	n := loadIncarnations(t.TempDir(), telemetry.Discard().Logger)
	relay := hop.IP{10, 0, 0, 1}
	g.Expect(n.record(relay, 1, "a")).To(BeEmpty())
	g.Expect(n.record(relay, 1, "b")).To(BeEmpty(), "the same process")
	n = n.reloaded(g)
	g.Expect(n.record(relay, 2, "")).To(Equal("b"))
	g.Expect(n.record(relay, 2, "c")).To(Equal("b"))
	g.Expect(n.record(relay, 3, "c")).To(Equal("c"))
}

// Guards against a list of targets that counts as complete right after a controller has started, while
// running relays have not announced themselves to it yet.
func TestAllHeardOnceAllRelaysAnnounced(t *testing.T) {
	g := NewWithT(t)
	n := loadIncarnations(t.TempDir(), telemetry.Discard().Logger)
	g.Expect(n.allHeard()).To(BeFalse(), "there is no file")
	first, second, gone := hop.IP{10, 0, 0, 1}, hop.IP{10, 0, 0, 2}, hop.IP{10, 0, 0, 3}
	for _, ip := range []hop.IP{first, second, gone} {
		n.record(ip, 1, "t")
	}
	n.markLeft(gone)
	n = n.reloaded(g)
	g.Expect(n.allHeard()).To(BeFalse())
	n.record(first, 1, "t")
	g.Expect(n.allHeard()).To(BeFalse())
	n.record(second, 2, "")
	g.Expect(n.allHeard()).To(BeTrue())
	n = n.reloaded(g)
	n.record(first, 1, "t")
	n.markLeft(second)
	g.Expect(n.allHeard()).To(BeTrue())
}

// Guards against an unreadable file that counts as an empty list of relays.
func TestUnreadableIncarnations(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	g.Expect(os.WriteFile(filepath.Join(folder, incarnationsFile), []byte("?"), 0o600)).To(Succeed())
	n := loadIncarnations(folder, telemetry.Discard().Logger)
	g.Expect(n.allHeard()).To(BeFalse())
	g.Expect(n.record(hop.IP{10, 0, 0, 1}, 1, "a")).To(BeEmpty())
}

// Guards against relays that all become unsure of their flows at once because one more relay than the record has
// room for announces itself.
func TestFullRecordDropsOneRelay(t *testing.T) {
	g := NewWithT(t)
	n := loadIncarnations(t.TempDir(), telemetry.Discard().Logger)
	relay := func(i int) hop.IP { return hop.IP{10, 0, byte(i >> 8), byte(i)} }
	for i := range maxIncarnations {
		n.record(relay(i), 1, "before")
	}
	left := relay(1234)
	n.markLeft(left)
	for i := range 2 {
		n.record(hop.IP{10, 1, 0, byte(i)}, 1, "new")
	}
	g.Expect(n.relays).To(HaveLen(maxIncarnations))
	for i := range maxIncarnations {
		if ip := relay(i); ip != left && ip != relay(0) {
			g.Expect(n.record(ip, 2, "after")).To(Equal("before"))
		}
	}
}

// Guards against a file that is written whole for each change of a target, which took most of the syncs of a controller
// during a release, and against a record that is lost with the end of a damaged file.
func TestChangesAreAppended(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	n := loadIncarnations(folder, telemetry.Discard().Logger)
	relay := func(i int) hop.IP { return hop.IP{10, 0, byte(i >> 8), byte(i)} }
	for i := range 4100 {
		n.record(relay(i), 1, "0123456789abcdef")
	}
	g.Expect(n.save()).To(Succeed())
	written := func() int {
		info, err := os.Stat(filepath.Join(folder, incarnationChangesFile))
		g.Expect(err).NotTo(HaveOccurred())
		return int(info.Size())
	}
	for i := range 10 {
		n.record(relay(i), 2, "b")
		g.Expect(n.save()).To(Succeed())
	}
	g.Expect(written()).To(BeNumerically("<", 10*100))
	n.record(relay(4000), 2, "c")
	g.Expect(n.save()).To(Succeed())
	n.closeChanges()

	frames, err := os.ReadFile(filepath.Join(folder, incarnationChangesFile))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(filepath.Join(folder, incarnationChangesFile), frames[:len(frames)-1], 0o600)).To(Succeed())
	n = loadIncarnations(folder, telemetry.Discard().Logger)
	g.Expect(n.loaded).To(BeTrue())
	g.Expect(n.record(relay(9), 3, "")).To(Equal("b"))
	g.Expect(n.record(relay(4000), 3, "")).To(Equal("0123456789abcdef"), "the last frame is cut off")

	// The damaged end must not hide what is saved later.
	g.Expect(n.save()).To(Succeed())
	n.record(relay(1), 4, "d")
	g.Expect(n.save()).To(Succeed())
	n.closeChanges()
	n = loadIncarnations(folder, telemetry.Discard().Logger)
	g.Expect(n.record(relay(1), 5, "")).To(Equal("d"))

	// The file of changes does not grow without bound.
	for i := range 5000 {
		n.record(relay(i%100), uint64(10+i), "0123456789abcdef")
		g.Expect(n.save()).To(Succeed())
	}
	g.Expect(written()).To(BeNumerically("<", 3*max(minChangesBytes, n.snapshotBytes)))
	n.closeChanges()
}

// Guards against a controller that does not call the processes of before its restart, or calls those that have left,
// and against entry VMs that keep its list of relays from counting as complete.
func TestProcessesOfBeforeAreCalled(t *testing.T) {
	g := NewWithT(t)
	n := loadIncarnations(t.TempDir(), telemetry.Discard().Logger)
	relay, gone, entry, otherEntry := hop.IP{10, 0, 0, 1}, hop.IP{10, 0, 0, 2}, hop.IP{10, 0, 0, 3}, hop.IP{10, 0, 0, 4}
	n.record(relay, 1, "t")
	n.record(gone, 1, "t")
	n.recordEntry(entry)
	n.recordEntry(otherEntry)
	n.markLeft(gone)
	n.markLeft(otherEntry)
	g.Expect(n.notHeard()).To(BeEmpty(), "they have just been heard")
	n = n.reloaded(g)
	g.Expect(n.notHeard()).To(ConsistOf([]hop.IP{relay, entry}))
	n.record(relay, 2, "t")
	g.Expect(n.notHeard()).To(ConsistOf([]hop.IP{entry}))
	g.Expect(n.allHeard()).To(BeTrue(), "entry VMs have no target")
	n.recordEntry(entry)
	g.Expect(n.notHeard()).To(BeEmpty())
	n.recordEntry(relay) // another process has taken the address
	n = n.reloaded(g)
	g.Expect(n.allHeard()).To(BeTrue())
}
