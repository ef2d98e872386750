package telemetry

import (
	"debug/elf"
	"encoding/binary"
	"encoding/hex"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// unknownBuild is the build of a program without a revision and without a build ID that can be read.
const unknownBuild = "unknown"

// Build returns the revision that the program was built from, "modified" appended if its files had been changed. If the
// build recorded none, it returns the build ID of the program file, which tells two programs apart and can be compared
// with that of a file, or "unknown".
var Build = sync.OnceValue(func() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		if revision := buildRevision(info.Settings); revision != "" {
			return revision
		}
	}
	// The first names the running file also after another one has been installed in its place.
	for _, path := range []string{"/proc/self/exe", programPath()} {
		if id := fileBuildID(path); id != "" {
			return id
		}
	}
	return unknownBuild
})

// programPath returns the path that the program was started with, "" if there is none.
func programPath() string {
	if len(os.Args) == 0 {
		return ""
	}
	return os.Args[0]
}

// buildRevision returns the revision in the settings of a build, or "".
func buildRevision(settings []debug.BuildSetting) string {
	revision, modified := "", ""
	for _, s := range settings {
		switch s.Key {
		case "vcs.revision":
			revision = s.Value
		case "vcs.modified":
			if s.Value == "true" {
				modified = "-modified"
			}
		}
	}
	if revision == "" {
		return ""
	}
	return revision + modified
}

// Notes of an ELF file with a build ID, by the name of their owner.
const (
	gnuBuildIDNote = 3
	goBuildIDNote  = 4
	// maxNoteBytes bounds what is read of a section with notes; a build ID has some 100 bytes.
	maxNoteBytes = 4096
)

// fileBuildID returns the build ID of a program file: that of the C linker, or else the hash of the content in that of the Go
// linker. It returns "" if the file cannot be read or has none.
func fileBuildID(path string) string {
	f, err := elf.Open(path)
	if err != nil {
		return ""
	}
	defer f.Close()
	goID := ""
	for _, section := range f.Sections {
		if section.Type != elf.SHT_NOTE || section.Size > maxNoteBytes {
			continue
		}
		data, err := section.Data()
		if err != nil {
			continue
		}
		switch owner, kind, id := parseNote(data, f.ByteOrder); {
		case owner == "GNU" && kind == gnuBuildIDNote && len(id) > 0:
			return "gnu-build-id:" + hex.EncodeToString(id)
		case owner == "Go" && kind == goBuildIDNote && len(id) > 0:
			goID = "go-build-id:" + string(id[strings.LastIndexByte(string(id), '/')+1:])
		}
	}
	return goID
}

// parseNote returns the first note of a section. The owner of a damaged one is empty.
func parseNote(data []byte, order binary.ByteOrder) (owner string, kind uint32, content []byte) {
	const headerBytes = 12
	if len(data) < headerBytes {
		return "", 0, nil
	}
	ownerBytes, contentBytes := uint64(order.Uint32(data)), uint64(order.Uint32(data[4:]))
	contentAt := headerBytes + (ownerBytes+3)/4*4
	if contentAt+contentBytes > uint64(len(data)) {
		return "", 0, nil
	}
	owner = strings.TrimRight(string(data[headerBytes:headerBytes+ownerBytes]), "\x00")
	return owner, order.Uint32(data[8:]), data[contentAt : contentAt+contentBytes]
}

// RegisterBuild registers a gauge whose labels name the build and its protocol level.
func RegisterBuild(r prometheus.Registerer, level uint8) error {
	info := prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "greengagelock_build_info", Help: "Always 1; the labels name the build and its protocol level.",
		ConstLabels: prometheus.Labels{"revision": Build(), "level": strconv.Itoa(int(level))},
	})
	info.Set(1)
	return r.Register(info)
}
