package capacity

import (
	"os"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"
)

// minSizesPerSeries is the minimum number of points for fitting a line.
const minSizesPerSeries = 3

// recorder collects the points of a run.
type recorder struct {
	sizes  Sizes
	folder string // for temporary files of the measurements
	points map[string][]Point
}

func (r *recorder) record(id string, x, y float64) {
	r.points[id] = append(r.points[id], Point{X: x, Y: y})
}

// Measurements holds the results and the conditions of a run.
type Measurements struct {
	Series     []Series
	Date       time.Time
	Elapsed    time.Duration
	LoadBefore string
	LoadAfter  string
	Processors int
	Memory     float64 // largest resident size in MB
	Process    float64 // anonymous memory of the process before the first measurement, in MB
}

// Run runs all measurements at the given sizes. It calls progress with the name of each before it starts.
func Run(sizes Sizes, progress func(name string)) (*Measurements, error) {
	folder, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, errors.Wrap(err, "create a temporary folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	r := &recorder{sizes: sizes, folder: folder, points: map[string][]Point{}}
	result := &Measurements{Date: time.Now(), LoadBefore: loadAverages(), Processors: runtime.NumCPU()}
	steps := []struct {
		name string
		run  func(*recorder) error
	}{
		{"resident memory of a balancer", measureResident},
		{"balancer", measureBalancer},
		{"agent", measureAgent},
		{"replicated state", measureCatalog},
		{"commits", measureStorage},
		{"handshakes", measureHandshakes},
		{"agent sessions", measureSessions},
		{"edits", measureEdits},
		{"edits in force", measureInForce},
		{"catch-up", measureCatchUp},
	}
	for _, step := range steps {
		progress(step.name)
		if err := step.run(r); err != nil {
			return nil, errors.Wrapf(err, "measure %s", step.name)
		}
	}
	result.Elapsed, result.LoadAfter = time.Since(result.Date), loadAverages()
	if result.Memory, err = processMemoryMB("VmHWM:"); err != nil {
		return nil, err
	}
	result.Process = r.points["process"][0].Y
	delete(r.points, "process")
	result.Series, err = r.allSeries()
	return result, err
}

// allSeries returns all quantities with their points.
func (r *recorder) allSeries() ([]Series, error) {
	list := quantities()
	for i := range list {
		list[i].Points = r.points[list[i].ID]
		if len(list[i].Points) < minSizesPerSeries {
			return nil, errors.Newf("quantity %s was measured at %d sizes, want %d", list[i].ID, len(list[i].Points), minSizesPerSeries)
		}
		delete(r.points, list[i].ID)
	}
	for id := range r.points {
		return nil, errors.Newf("points recorded for unknown quantity %s", id)
	}
	return list, nil
}

// Find returns the series with the ID, or nil.
func (r *Measurements) Find(id string) *Series {
	for i := range r.Series {
		if r.Series[i].ID == id {
			return &r.Series[i]
		}
	}
	return nil
}

// Line returns the fitted line of the series with the ID.
func (r *Measurements) Line(id string) Line { return Fit(r.Find(id).Points) }
