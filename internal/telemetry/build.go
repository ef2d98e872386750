package telemetry

import (
	"runtime/debug"
	"strconv"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
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

// RegisterBuild registers a gauge whose labels name the build and its protocol level.
func RegisterBuild(r prometheus.Registerer, level uint8) error {
	info := prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "greengagelock_build_info", Help: "Always 1; the labels name the build and its protocol level.",
		ConstLabels: prometheus.Labels{"revision": Build(), "level": strconv.Itoa(int(level))},
	})
	info.Set(1)
	return r.Register(info)
}
