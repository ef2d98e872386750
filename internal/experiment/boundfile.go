package experiment

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/jsonc"
)

// BoundScenario is a file, in JSON with comments, that describes an outage, its callers, and what a system has served.
// All times are in milliseconds.
type BoundScenario struct {
	Name string `json:"name"`
	// From and To are the times between which the counted requests begin.
	From int `json:"from_ms"`
	To   int `json:"to_ms"`
	// Lost is the time of the loss, RoundTrip the time from a caller to a target and back.
	Lost      int `json:"lost_ms"`
	RoundTrip int `json:"round_trip_ms"`
	// Entries, Targets and Controllers are the times at which the processes run again.
	Entries     []int              `json:"entries_ms"`
	Targets     []int              `json:"targets_ms"`
	Controllers []int              `json:"controllers_ms"`
	Kinds       []BoundRequestKind `json:"kinds"`
	// Served is what was measured in the same time.
	Served struct {
		InObjective float64 `json:"in_objective"`
		Late        float64 `json:"late"`
		Failed      float64 `json:"failed"`
	} `json:"served"`
}

// BoundRequestKind is a RequestKind in a file.
type BoundRequestKind struct {
	Name       string  `json:"name"`
	PerSecond  float64 `json:"per_second"`
	Work       int     `json:"work_ms"`
	Objective  int     `json:"objective_ms"`
	Deadline   int     `json:"deadline_ms"`
	Repeatable bool    `json:"repeatable"`
	NewFlows   float64 `json:"new_flows"`
}

// LoadBoundScenario reads a file. The error lists every problem with its line.
func LoadBoundScenario(file string) (*BoundScenario, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read the scenario")
	}
	s := &BoundScenario{}
	doc := jsonc.Decode(file, data, s)
	positive := func(path string, ok bool) {
		if !ok {
			doc.Report(path, "a value above 0")
		}
	}
	if s.To <= s.From {
		doc.Report("to_ms", "a time after from_ms")
	}
	positive("round_trip_ms", s.RoundTrip > 0)
	for path, list := range map[string][]int{"entries_ms": s.Entries, "targets_ms": s.Targets, "controllers_ms": s.Controllers} {
		if len(list) == 0 {
			doc.Report(path, "at least one time")
		}
	}
	for _, k := range s.Kinds {
		if k.PerSecond <= 0 || k.NewFlows < 0 || k.NewFlows > 1 {
			doc.Report("kinds", "kinds with a rate above 0 and a share of new flows from 0 to 1")
		}
	}
	return s, doc.Err()
}

// BoundRow is the bound for one kind of request.
type BoundRow struct {
	Kind string
	Outcome
}

// Rows returns the bound for each kind of request, and for all together in the last row.
func (s *BoundScenario) Rows() []BoundRow {
	o := Outage{
		At: milliseconds(s.Lost), RoundTrip: milliseconds(s.RoundTrip),
		Entries: times(s.Entries), Targets: times(s.Targets), Controllers: times(s.Controllers),
	}
	all := BoundRow{Kind: "all"}
	var rows []BoundRow
	for _, k := range s.Kinds {
		outcome := Bound(RequestKind{
			Name: k.Name, PerSecond: k.PerSecond, Work: milliseconds(k.Work), Objective: milliseconds(k.Objective),
			Deadline: milliseconds(k.Deadline), Repeatable: k.Repeatable, NewFlows: k.NewFlows,
		}, o, milliseconds(s.From), milliseconds(s.To))
		rows = append(rows, BoundRow{Kind: k.Name, Outcome: outcome})
		all.Add(outcome)
	}
	return append(rows, all)
}

// ServedOutcome returns what was served.
func (s *BoundScenario) ServedOutcome() Outcome {
	return Outcome{InObjective: s.Served.InObjective, Late: s.Served.Late, Failed: s.Served.Failed}
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func times(list []int) []time.Duration {
	out := make([]time.Duration, len(list))
	for i, n := range list {
		out[i] = milliseconds(n)
	}
	return out
}
