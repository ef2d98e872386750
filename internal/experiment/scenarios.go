package experiment

import (
	"fmt"
	"time"
)

// Parameters of the published tables.
const (
	Seed     = 20261203
	Requests = 50_000
	// MaxWait is the limit on the queue wait of the services.
	MaxWait = 500 * time.Millisecond
	// flowsPerTarget is the number of connections per endpoint in today's deployments.
	flowsPerTarget = 2_000
)

// Shape is the number of targets of a service and of the slots of each.
type Shape struct{ Targets, Slots int }

// String returns "targets × slots".
func (s Shape) String() string { return fmt.Sprintf("%d × %d", s.Targets, s.Slots) }

// Shapes are those of today's services, Loads are the offered loads as shares of all slots, and Means
// are the mean times that a request holds its slot. The holding time determines how much load a queue
// with a wait of at most MaxWait can absorb. It is not known, so the tables cover three orders of
// magnitude.
var (
	Shapes = []Shape{{7, 2}, {4, 2}, {7, 5}, {4, 5}}
	Loads  = []float64{0.5, 0.8, 0.95}
	Means  = []time.Duration{100 * time.Millisecond, time.Second, 10 * time.Second}
)

// NewScenario returns a scenario of the published tables. Load reports are sent every second, the usual
// interval of health and load endpoints, and arrive 100 ms later.
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
