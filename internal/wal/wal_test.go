package wal_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	"github.com/greengagelock/greengagelock/internal/testseed"
	"github.com/greengagelock/greengagelock/internal/wal"
)

func TestWAL(t *testing.T) { testseed.RunSpecs(t, "wal") }

func batch(from uint64, count, size int) consensus.Ready {
	r := consensus.Ready{MustSync: true, HardState: consensus.HardState{Term: 1, Vote: 2}}
	for i := range uint64(count) {
		r.Entries = append(r.Entries, consensus.Entry{Index: from + i, Term: 1, Data: make([]byte, size)})
	}
	return r
}

var _ = Describe("a log in a folder", func() {
	var config wal.Config
	handle := telemetry.Discard()
	open := func() *wal.Log {
		l, err := wal.New(config, handle)
		Expect(err).NotTo(HaveOccurred())
		return l
	}
	list := func() []string {
		names, err := filepath.Glob(filepath.Join(config.Folder, "*.log"))
		Expect(err).NotTo(HaveOccurred())
		return names
	}
	haveCode := func(code result.Code) OmegaMatcher { return WithTransform(result.CodeOf, Equal(code)) }

	BeforeEach(func() {
		config = wal.Config{
			Folder: filepath.Join(GinkgoT().TempDir(), "data", "log"), SegmentSize: 1000,
			Identity: wal.Identity{Cluster: "andinas", Member: 2},
		}
	})

	// Guards against state in several segments that is lost by an ordinary restart.
	It("keeps hard state, entries and snapshot", func() {
		l := open()
		for i := range 10 {
			Expect(l.Persist(batch(uint64(1+3*i), 3, 100))).To(Succeed())
		}
		s := consensus.Snapshot{
			SnapshotMeta: consensus.SnapshotMeta{Index: 20, Term: 1, Members: consensus.Members{Voters: []consensus.MemberID{1, 2, 3}}},
			Data:         []byte("state"),
		}
		before := len(list())
		Expect(l.SaveSnapshot(s, 18)).To(Succeed())
		Expect(len(list())).To(BeNumerically("<", before))
		Expect(l.Close()).To(Succeed())
		l = open()
		r, err := l.Restored()
		Expect(err).NotTo(HaveOccurred())
		Expect(r.HardState).To(Equal(consensus.HardState{Term: 1, Vote: 2}))
		Expect(r.Snapshot).To(Equal(s))
		Expect(r.Entries[0].Index).To(BeNumerically("<=", 19))
		Expect(r.Entries[len(r.Entries)-1].Index).To(BeEquivalentTo(30))
		Expect(l.Close()).To(Succeed())
		Expect(l.Persist(batch(31, 1, 1))).NotTo(Succeed())
	})

	// Guards against two processes that write the same data folder, and against a member that starts
	// with the votes of another one.
	It("opens a folder only once, and only for the member of the cluster that it belongs to", func() {
		l := open()
		_, err := wal.New(config, handle)
		Expect(err).To(haveCode(result.StorageFailed))
		Expect(l.Close()).To(Succeed())
		Expect(open().Close()).To(Succeed())
		for _, other := range []wal.Identity{{Cluster: "andinas", Member: 3}, {Cluster: "baenatimi", Member: 2}} {
			config.Identity = other
			_, err = wal.New(config, handle)
			Expect(err).To(haveCode(result.SettingsInvalid))
		}
	})

	// Guards against a member that starts with an empty log after its files were deleted, and so
	// forgets its votes.
	It("does not open a folder whose segments are missing", func() {
		Expect(open().Close()).To(Succeed())
		for _, name := range list() {
			Expect(os.Remove(name)).To(Succeed())
		}
		_, err := wal.New(config, handle)
		Expect(err).To(haveCode(result.StorageCorrupt))
	})
})
