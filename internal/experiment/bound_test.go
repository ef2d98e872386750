package experiment

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// outageOfOneSecond is a loss of everything at one second for exactly a second.
func outageOfOneSecond() Outage {
	up := []time.Duration{2 * time.Second}
	return Outage{At: time.Second, Entries: up, Targets: up, Controllers: up, RoundTrip: 10 * time.Millisecond}
}

func kind(repeatable bool, newFlows float64) RequestKind {
	return RequestKind{
		PerSecond: 1000, Work: 10 * time.Millisecond, Objective: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond,
		Repeatable: repeatable, NewFlows: newFlows,
	}
}

// Guards against a bound that differs from what follows by hand from the behaviour of callers.
func TestBound(t *testing.T) {
	g := NewWithT(t)
	o := outageOfOneSecond()
	// Without an outage in sight everything is in its objective.
	g.Expect(rounded(Bound(kind(true, 1), o, 0, 900*time.Millisecond))).To(Equal(Outcome{InObjective: 900}))
	// Copies of a SYN after 0, 200 and 600 ms. Of the second of the outage, the last 200 ms are helped by the second copy,
	// the 400 ms before them by the third, which is late, and the first 400 ms by the next attempt, which begins after
	// 1.4 s and ends at 1.43 s.
	g.Expect(rounded(Bound(kind(false, 1), o, time.Second, 2*time.Second))).To(Equal(Outcome{InObjective: 200, Late: 800}))
	// On open flows a request that must not be repeated is lost; others are sent again as soon as the flow is reset.
	g.Expect(rounded(Bound(kind(false, 0), o, time.Second, 2*time.Second))).To(Equal(Outcome{Failed: 1000}))
	g.Expect(rounded(Bound(kind(true, 0), o, time.Second, 2*time.Second))).To(Equal(Outcome{InObjective: 370, Late: 630}))
	// A request that is at its target when that is lost has run.
	g.Expect(rounded(Bound(kind(false, 0), o, 980*time.Millisecond, time.Second))).To(Equal(Outcome{InObjective: 1, Failed: 19}))
}

// rounded rounds the counts, which are sums of shares.
func rounded(o Outcome) Outcome {
	round := func(n float64) float64 { return float64(int(n + 0.5)) }
	return Outcome{InObjective: round(o.InObjective), Late: round(o.Late), Failed: round(o.Failed)}
}

// Guards against a later return that improves the bound, and against requests that are not counted.
func TestBoundFallsWithLaterReturn(t *testing.T) {
	g := NewWithT(t)
	o := outageOfOneSecond()
	before := Bound(kind(true, 0.5), o, 0, 3*time.Second)
	for range 5 {
		for _, list := range [][]time.Duration{o.Entries, o.Targets, o.Controllers} {
			list[0] += 50 * time.Millisecond
		}
		after := Bound(kind(true, 0.5), o, 0, 3*time.Second)
		g.Expect(after.InObjective).To(BeNumerically("<=", before.InObjective))
		g.Expect(after.InObjective + after.Late + after.Failed).To(BeNumerically("~", 3000, 0.1))
		before = after
	}
}

// Guards against a file whose problems are not named.
func TestInvalidBoundScenario(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "scenario.jsonc")
	g.Expect(os.WriteFile(file, []byte(`{"from_ms": 5, "to_ms": 1, "round_trip_ms": 8, "entries_ms": [1], "targets_ms": [1], "kind": []}`), 0o600)).To(Succeed())
	_, err := LoadBoundScenario(file)
	g.Expect(err).To(MatchError(ContainSubstring("to_ms")))
	g.Expect(err).To(MatchError(ContainSubstring("controllers_ms")))
	g.Expect(err).To(MatchError(ContainSubstring("kind")))
}

// Guards against files in docs/bounds that the command does not read.
func TestBoundScenariosOfTheDocs(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob("../../docs/bounds/*.jsonc")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).NotTo(BeEmpty())
	for _, file := range files {
		s, err := LoadBoundScenario(file)
		g.Expect(err).NotTo(HaveOccurred(), file)
		g.Expect(s.Rows()).To(HaveLen(len(s.Kinds) + 1))
	}
}
