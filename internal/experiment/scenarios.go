package experiment

import (
	"fmt"
	"time"
)

// Parameters of the published tables.
const (
	Seed     = 20261203
	Requests = 50_000
	// MaxWait is the bound on the queue wait of the services.
	MaxWait = 500 * time.Millisecond
	// flowsPerTarget is the number of connections per endpoint today.
	flowsPerTarget = 2_000
)

// Shape is the number of targets of a service and of the slots of each.
type Shape struct{ Targets, Slots int }

// String returns "targets × slots".
func (s Shape) String() string { return fmt.Sprintf("%d × %d", s.Targets, s.Slots) }

// Shapes are those of the services today, Loads the shares of their slots, and Means the mean
// holding times. The holding time decides what a queue of at most MaxWait can absorb, and it is not
// known, so the tables cover three orders of magnitude.
var (
	Shapes = []Shape{{7, 2}, {4, 2}, {7, 5}, {4, 5}}
	Loads  = []float64{0.5, 0.8, 0.95}
	Means  = []time.Duration{100 * time.Millisecond, time.Second, 10 * time.Second}
)

// NewScenario returns a scenario of the published tables. Load reports come every second, as the
// interval of health and load endpoints usually is, over a network with a delay of 100 ms in all.
func NewScenario(policy Policy, shape Shape, load float64, mean time.Duration) Scenario {
	return Scenario{
		Policy: policy, Targets: shape.Targets, Slots: shape.Slots, Load: load, Mean: mean, MaxWait: MaxWait,
		Requests: Requests, Seed: Seed, Balancers: 4, ReportEvery: time.Second, ReportDelay: 100 * time.Millisecond,
	}
}

// NewFlowScenario returns the scenario of the published table of broken flows.
func NewFlowScenario() FlowScenario {
	return FlowScenario{Targets: 7, Flows: 7 * flowsPerTarget, Busy: 0.3, Seed: Seed}
}
