package wal_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	"github.com/greengagelock/greengagelock/internal/testkit"
	"github.com/greengagelock/greengagelock/internal/wal"
)

// Guards against a data folder of the production build that this build reads differently, or that this build writes so
// that the production build could not read it after a return to that build.
func TestFilesOfTheProductionBuild(t *testing.T) {
	g := NewWithT(t)
	identity := wal.Identity{Cluster: "andinas", Member: 2}
	written := filepath.Join(t.TempDir(), "written")
	l, err := wal.New(wal.Config{Folder: written, Identity: identity}, telemetry.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	snapshot := consensus.Snapshot{
		SnapshotMeta: consensus.SnapshotMeta{Index: 2, Term: 1, Members: consensus.Members{Voters: []consensus.MemberID{1, 2, 3}}}, Data: []byte("state"),
	}
	g.Expect(l.Persist(batch(1, 3, 4))).To(Succeed())
	g.Expect(l.SaveSnapshot(snapshot, 1)).To(Succeed())
	g.Expect(l.Close()).To(Succeed())

	copied := filepath.Join(t.TempDir(), "copied")
	g.Expect(os.MkdirAll(copied, 0o755)).To(Succeed())
	files, err := os.ReadDir(written)
	g.Expect(err).NotTo(HaveOccurred())
	for _, f := range files {
		content, err := os.ReadFile(filepath.Join(written, f.Name()))
		g.Expect(err).NotTo(HaveOccurred())
		if len(content) == 0 {
			continue // the lock file
		}
		g.Expect(os.WriteFile(filepath.Join(copied, f.Name()), testkit.Golden(t, f.Name(), content), 0o600)).To(Succeed())
	}
	l, err = wal.New(wal.Config{Folder: copied, Identity: identity}, telemetry.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	restored, err := l.Restored()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(restored.Snapshot.Data).To(Equal(snapshot.Data))
	g.Expect(restored.HardState.Term).To(Equal(uint64(1)))
	g.Expect(l.Close()).To(Succeed())
}
