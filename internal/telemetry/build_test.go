package telemetry

import (
	"encoding/binary"
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against logs that do not say which program wrote them because the build recorded no revision.
func TestBuildWithoutARevisionIsNamedByItsFile(t *testing.T) {
	g := NewWithT(t)
	g.Expect(buildRevision(nil)).To(BeEmpty())
	g.Expect(buildRevision([]debug.BuildSetting{{Key: "vcs.revision", Value: "1a"}, {Key: "vcs.modified", Value: "true"}})).To(Equal("1a-modified"))
	g.Expect(fileBuildID("/proc/self/exe")).To(MatchRegexp(`^(gnu-build-id:[0-9a-f]+|go-build-id:[\w-]+)$`))
	g.Expect(Build()).NotTo(Equal(unknownBuild))
}

// Guards against a process that fails to start because its program file cannot be read or is damaged.
func TestUnreadableProgramFileHasNoBuildID(t *testing.T) {
	g := NewWithT(t)
	g.Expect(fileBuildID(filepath.Join(t.TempDir(), "missing"))).To(BeEmpty())
	program, err := os.ReadFile("/proc/self/exe")
	g.Expect(err).NotTo(HaveOccurred())
	for _, size := range []int{0, 3, 64, 4096} {
		file := filepath.Join(t.TempDir(), "cut")
		g.Expect(os.WriteFile(file, program[:size], 0o600)).To(Succeed())
		g.Expect(fileBuildID(file)).To(BeEmpty(), "%d bytes", size)
	}
	note := []byte{4, 0, 0, 0, 2, 0, 0, 0, 3, 0, 0, 0, 'G', 'N', 'U', 0, 1, 2}
	owner, _, id := parseNote(note, binary.LittleEndian)
	g.Expect(owner + string(id)).To(Equal("GNU\x01\x02"))
	binary.LittleEndian.PutUint32(note, math.MaxUint32) // the length of the owner
	for _, damaged := range [][]byte{note, note[:5]} {
		owner, _, _ = parseNote(damaged, binary.LittleEndian)
		g.Expect(owner).To(BeEmpty())
	}
}
