package telemetry

import (
	"runtime/debug"
	"sync"
)

// Build returns the revision that the program was built from, "modified" appended if its files had been changed, or
// "unknown" if the build recorded none.
var Build = sync.OnceValue(func() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return buildRevision(info.Settings)
})

func buildRevision(settings []debug.BuildSetting) string {
	revision, modified := "unknown", ""
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
	return revision + modified
}
