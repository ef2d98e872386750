package capacity

import "time"

// The target size, as docs/design.md states it.
const (
	targetNodes       = 460
	targetTargets     = 4100
	targetServices    = 750
	targetFlows       = 9_200_000
	targetNewFlows    = 26_000 // per second
	targetEdits       = 550    // per day
	targetFailures    = 7      // VMs per day
	targetRestarts    = 320    // VMs per day
	targetZones       = 6
	targetControllers = 7
	targetSessions    = targetNodes + targetTargets
	// flowsPerAgent and sessionsPerController assume an even spread.
	flowsPerAgent         = targetFlows / targetTargets
	flowsPerBalancer      = targetFlows / targetNodes
	sessionsPerController = (targetSessions + targetControllers - 1) / targetControllers
	rackTargets           = 40
	zoneTargets           = (targetTargets + targetZones - 1) / targetZones
)

// Limits for control on one node.
const (
	limitCore    = 1.2 // percent of a core
	limitMemory  = 32  // MB
	limitTraffic = 19  // KB/s
	limitInForce = 4   // seconds
)

// Sizes are the sizes at which the quantities are measured.
type Sizes struct {
	Services  []int // of balancer tables
	Targets   []int // of catalogs and of the leader's table
	Changed   []int // targets in one delta or batch
	Packets   int   // per timing of packets
	Flows     []int // of an agent's table
	Idle      []int // idle streams
	Hints     []int // owners that a balancer remembers
	Sessions  []int // agents at one controller
	Nodes     []int // balancers at three controllers
	Edits     int   // per number of nodes, and per size of a document
	Revisions []int
	Results   []int // kept results of commands
	Missed    []int // entries that a follower has missed
	Entries   []int // bytes of an entry
	Handshake []int // connections at once
	Repeat    int   // of each timing; the fastest counts
	Commits   int   // of each entry size; the median counts
	Window    time.Duration
	// Fleet is the deployment in the document of the cluster measurements.
	FleetServices, FleetVMs int
}

// Fixed returns the sizes of the capacity page.
func Fixed() Sizes {
	return Sizes{
		Services: []int{100, 250, 500, 750}, Targets: []int{500, 1000, 2000, 4100},
		Changed: []int{1, 6, 40, 200, 683}, Packets: 1 << 16,
		Flows: []int{2000, 20_000, 60_000, 200_000}, Idle: []int{2000, 5000, 10_000}, Hints: []int{4096, 16_384, 65_536},
		Sessions: []int{1, 10, 50, 100, 200}, Nodes: []int{50, 150, 300, 460}, Edits: 3,
		Revisions: []int{100, 300, 600}, Results: []int{1000, 2000, 5000}, Missed: []int{20, 100, 300},
		Entries: []int{256, 4096, 65_536, 262_144}, Handshake: []int{50, 100, 200, 400},
		Repeat: 9, Commits: 60, Window: 4 * time.Second,
		FleetServices: targetServices, FleetVMs: targetTargets,
	}
}

// Small returns sizes for tests of the measurements themselves.
func Small() Sizes {
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
