package capacity

import "time"

// The design size, as docs/design.md states it. The capacity page calls it the target size.
const (
	designBalancers        = 460
	designTargets          = 4100
	designServices         = 750
	designFlows            = 9_200_000
	designEditsPerDay      = 550
	designVMFailuresPerDay = 7
	designVMRestartsPerDay = 320
	designZones            = 6
	designControllers      = 7
	designSessions         = designBalancers + designTargets
	// Flows per node and sessions per controller assume an even distribution.
	flowsPerAgent         = designFlows / designTargets
	flowsPerBalancer      = designFlows / designBalancers
	sessionsPerController = (designSessions + designControllers - 1) / designControllers
	rackTargets           = 40
	zoneTargets           = (designTargets + designZones - 1) / designZones
)

// Limits for the control plane's part of one node.
const (
	limitCPUPercent         = 1.2 // of one core
	limitMemoryMB           = 32
	limitTrafficKBPerSecond = 19
	limitInForceSeconds     = 4
)

// Sizes holds the sizes at which the quantities are measured.
type Sizes struct {
	Services  []int // in a balancer's tables
	Targets   []int // in the catalog and the leader's membership table
	Changed   []int // changed targets in one delta or batch
	Packets   int   // per timing
	Flows     []int // in an agent's flow table
	Idle      []int // idle streams
	Hints     []int // flow owners cached by a balancer
	Sessions  []int // agent sessions at one controller
	Nodes     []int // balancers at three controllers
	Edits     int   // per number of nodes and per document size
	Revisions []int // in the history
	Results   []int // stored command results
	Missed    []int // edits that a follower has missed
	Entries   []int // log entry size in bytes
	Handshake []int // simultaneous connections
	Repeat    int   // runs per timing; the fastest counts
	Commits   int   // per entry size; the median counts
	// Window is the duration of a steady-load measurement.
	Window time.Duration
	// FleetServices and FleetVMs are the size of the document in the measurements of edits in force.
	FleetServices, FleetVMs int
}

// PageSizes returns the sizes that the capacity page reports.
func PageSizes() Sizes {
	return Sizes{
		Services: []int{100, 250, 500, 750}, Targets: []int{500, 1000, 2000, 4100},
		Changed: []int{1, 6, 40, 200, 683}, Packets: 1 << 16,
		Flows: []int{2000, 20_000, 60_000, 200_000}, Idle: []int{2000, 5000, 10_000}, Hints: []int{4096, 16_384, 65_536},
		Sessions: []int{1, 10, 50, 100, 200}, Nodes: []int{50, 150, 300, 460}, Edits: 3,
		Revisions: []int{100, 300, 600}, Results: []int{1000, 2000, 5000}, Missed: []int{20, 100, 300},
		Entries: []int{256, 4096, 65_536, 262_144}, Handshake: []int{50, 100, 200, 400},
		Repeat: 9, Commits: 60, Window: 4 * time.Second,
		FleetServices: designServices, FleetVMs: designTargets,
	}
}

// TestSizes returns small sizes, for tests of the measurements themselves.
func TestSizes() Sizes {
	return Sizes{
		Services: []int{2, 4, 6}, Targets: []int{10, 20, 30}, Changed: []int{1, 2, 3}, Packets: 64,
		Flows: []int{10, 20, 30}, Idle: []int{5, 10, 15}, Hints: []int{1, 2, 3},
		Sessions: []int{1, 2, 3}, Nodes: []int{2, 3, 4}, Edits: 2,
		Revisions: []int{2, 4, 6}, Results: []int{2, 4, 6}, Missed: []int{1, 2, 3},
		Entries: []int{64, 128, 256}, Handshake: []int{1, 2, 3},
		Repeat: 1, Commits: 3, Window: 100 * time.Millisecond,
		FleetServices: 3, FleetVMs: 9,
	}
}
