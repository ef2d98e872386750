package capacity

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/greengagelock/greengagelock/internal/testseed"
)

func TestCapacity(t *testing.T) { testseed.RunSpecs(t, "capacity") }

// Guards against a fit or an extrapolation that misses points which lie on a line.
func TestFitFindsALine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		intercept := rapid.Float64Range(-1000, 1000).Draw(t, "intercept")
		slope := rapid.Float64Range(-1000, 1000).Draw(t, "slope")
		xs := rapid.SliceOfNDistinct(rapid.IntRange(0, 5000), 3, 8, rapid.ID[int]).Draw(t, "sizes")
		s := Series{At: 4100}
		for _, x := range xs {
			s.Points = append(s.Points, Point{X: float64(x), Y: intercept + slope*float64(x)})
		}
		want, scale := intercept+slope*s.At, math.Abs(intercept)+math.Abs(slope)*5000+1
		if got := s.AtDesignSize(); math.Abs(got-want) > 1e-6*scale {
			t.Fatalf("the line through %v has %v at the target size, want %v", s.Points, got, want)
		}
	})
}

var _ = Describe("a fitted line", func() {
	// Guards against a residual that does not show that a quantity is not linear.
	It("reports the largest distance as a share of the largest value", func() {
		line := Fit([]Point{{0, 0}, {1, 4}, {2, 0}, {3, 4}})
		Expect(line.Slope).To(BeNumerically("~", 0.8, 1e-9))
		Expect(line.Intercept).To(BeNumerically("~", 0.8, 1e-9))
		Expect(line.Residual).To(BeNumerically("~", 0.6, 1e-9))
	})
})

var _ = Describe("the page", func() {
	page := "before\n" + beginMarker("a") + "\nold\n" + endMarker("a") + "\nafter\n"

	// Guards against a run that changes the page outside of the markers, or changes it again when repeated.
	It("changes only between the markers, and the same way each time", func() {
		once, err := ReplaceBetweenMarkers(page, "a", "new")
		Expect(err).NotTo(HaveOccurred())
		Expect(once).To(Equal("before\n" + beginMarker("a") + "\n\nnew\n\n" + endMarker("a") + "\nafter\n"))
		Expect(ReplaceBetweenMarkers(once, "a", "new")).To(Equal(once))
	})

	// Guards against tables that are silently not updated.
	DescribeTable("refuses markers that are not one pair in order", func(text string) {
		_, err := ReplaceBetweenMarkers(text, "a", "new")
		Expect(err).To(HaveOccurred())
	},
		Entry("none", "text"),
		Entry("no end", beginMarker("a")),
		Entry("two pairs", page+page),
		Entry("wrong order", endMarker("a")+beginMarker("a")),
		Entry("another name", strings.ReplaceAll(page, ":a ", ":b ")),
	)

	// Guards against an edit of the page in the repository that removes a marker.
	It("in the repository has all markers", func() {
		text, err := os.ReadFile("../../docs/CAPACITY.md")
		Expect(err).NotTo(HaveOccurred())
		for _, name := range append(append([]string{"run"}, seriesTables...), figureTables...) {
			_, err := ReplaceBetweenMarkers(string(text), name, "")
			Expect(err).NotTo(HaveOccurred())
		}
	})

	// Guards against a series that names a source file which was moved or removed.
	It("names files that exist", func() {
		for _, s := range quantities() {
			Expect(filepath.Join("../..", s.File)).To(BeAnExistingFile(), s.ID)
		}
	})

	// Guards against an exceeded limit that the page reports as kept.
	DescribeTable("compares with limits", func(value, bound float64, want string) {
		Expect(compareLimit(value, bound)).To(Equal(want))
	},
		Entry("none", 5.0, 0.0, "-"),
		Entry("kept", 5.0, 5.0, "5, kept"),
		Entry("exceeded", 5.1, 5.0, "5, **exceeded**"),
	)

	// Guards against formatted numbers that are off by a power of ten.
	DescribeTable("prints numbers", func(value float64, want string) {
		Expect(formatNumber(value)).To(Equal(want))
	},
		Entry("small", 0.012345, "0.0123"),
		Entry("medium", 12.345, "12.3"),
		Entry("large", 1234567.8, "1,234,568"),
		Entry("negative", -1234.0, "-1,234"),
	)
})

// Guards against a memory size in the wrong unit, or read from another field.
func TestStatusFields(t *testing.T) {
	const status = "Name:\tcapacity\nVmPeak:\t  999999 kB\nVmHWM:\t   10000 kB\nVmRSS:\t    5000 kB\n"
	if got, err := statusFieldMB(status, "VmHWM:"); err != nil || got != 10.24 {
		t.Fatalf("got %v MB and %v, want 10.24 MB", got, err)
	}
	if _, err := statusFieldMB(status, "RssFile:"); err == nil {
		t.Fatal("a status without the field was accepted")
	}
}

// Guards against measurements that fail, and against quantities that are not measured or are missing
// from the page. The result does not depend on how long anything takes.
func TestMeasurementsAtSmallSizes(t *testing.T) {
	var steps []string
	report, err := Run(TestSizes(), func(name string) { steps = append(steps, name) })
	if err != nil {
		t.Fatal(err)
	}
	if len(steps) != 10 || len(report.Series) != len(quantities()) {
		t.Fatalf("%d steps gave %d series", len(steps), len(report.Series))
	}
	folder := t.TempDir()
	page := ""
	for _, name := range append(append([]string{"run"}, seriesTables...), figureTables...) {
		page += beginMarker(name) + "\n" + endMarker(name) + "\n"
	}
	updated, err := report.Update(page)
	if err != nil {
		t.Fatal(err)
	}
	for i := range report.Series {
		s := &report.Series[i]
		if !strings.Contains(updated, "plots/"+s.ID+".png") {
			t.Errorf("the page lacks %s", s.ID)
		}
		if err := Draw(folder, s); err != nil {
			t.Errorf("plot of %s: %v", s.ID, err)
		}
	}
	for _, f := range report.Figures() {
		if !strings.Contains(updated, f.Name) {
			t.Errorf("the page lacks %q", f.Name)
		}
	}
}

// Guards against simulated fleets that do not have the size for which they are measured.
func TestFleetsHaveTheirSize(t *testing.T) {
	c, err := newFleetCatalog(3, 12)
	if err != nil {
		t.Fatal(err)
	}
	v := c.View()
	if len(v.Services) != 3 || len(v.Targets) != 12 || len(c.Quarantine()) != 0 {
		t.Fatalf("%d services, %d targets, %d in quarantine", len(v.Services), len(v.Targets), len(c.Quarantine()))
	}
	before := v.Digest()
	c.setLost(1, true)
	if u := c.Update("balancer", "b1", v.Generation, before); u.Delta == nil || len(u.Delta.Targets) != 1 {
		t.Fatalf("the loss of a target gave the update %+v", u)
	}
	fleet := fleetView(3, 12)
	if delta := lossDelta(fleet, 4); !applyDelta(nil, fleet, delta) || len(delta.Targets) != 4 || len(delta.Services) != 3 {
		t.Fatalf("delta of %d targets and %d services", len(delta.Targets), len(delta.Services))
	}
}

// Guards against a measurement of probes whose flows end although both ends answer, or that counts more
// probes than the idle time allows.
func TestIdleStreamsStayOpen(t *testing.T) {
	r := &recorder{points: map[string][]Point{}}
	if err := r.recordProbes(7); err != nil {
		t.Fatal(err)
	}
	// Both ends of each stream are probed every 30 s.
	maxRate := 7 * 2 * simulatedIdleTime.Seconds() / (30 * time.Second).Seconds() / simulatedIdleTime.Seconds()
	if got := r.points["agent-probes"][0].Y; got <= 0 || got > maxRate*1.01 {
		t.Fatalf("%v probes per second, want at most %v", got, maxRate)
	}
}
