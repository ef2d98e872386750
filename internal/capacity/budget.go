package capacity

import (
	"fmt"
	"time"

	"github.com/greengagelock/greengagelock/internal/consensus"
)

// Figure is a figure of the page that is derived from the fitted lines.
type Figure struct {
	Table string
	Role  string
	Name  string
	Value float64
	Unit  string
	Limit float64 // in the same unit; zero if there is none
	From  string  // how the figure is derived, as text for the page
}

// Assumptions about an average day, and constants of the derivation.
const (
	secondsPerDay = 86_400
	// changesPerRestart is the number of generations that the restart of a VM causes: lost, registered again, active.
	changesPerRestart = 3
	changesPerFailure = 2 // generations: lost, removed
	changesPerDay     = designEditsPerDay + designVMRestartsPerDay*changesPerRestart + designVMFailuresPerDay*changesPerFailure
	// targetsPerChange is the number of targets of a service.
	targetsPerChange = 6
	// gcHeapFactor is the heap size per live byte at the default garbage collection target, GOGC=100.
	gcHeapFactor = 2
	// reportsPerSecond and decisionsPerSecond are derived from the intervals in controller/leader.go.
	reportsPerSecond   = 2
	decisionsPerSecond = 4
	probeBytes         = 40 // IPv4 and TCP headers
	// maxLogEntriesInMemory is the sum of the entries between two snapshots and those kept before a snapshot, see
	// controller.compactEvery and controller.keptEntries.
	maxLogEntriesInMemory = 4096 + 2048
)

const (
	budgetTable     = "budget"
	worstTable      = "worst"
	worstHoursTable = "worst-hours"
	// electionTimeoutMs is consensus.DefaultElectionTimeout in milliseconds.
	electionTimeoutMs = float64(consensus.DefaultElectionTimeout / time.Millisecond)
)

// Figures returns the figures of the page that are derived from the measurements.
func (r *Measurements) Figures() []Figure {
	return append(append(r.balancerFigures(), r.agentFigures()...), append(r.controllerFigures(), r.worstFigures()...)...)
}

// meanChangeTraffic returns the mean traffic in KB/s of all changes of a day, for changes of the given size.
func (r *Measurements) meanChangeTraffic(kilobytes float64) float64 {
	return kilobytes * changesPerDay / secondsPerDay
}

func (r *Measurements) balancerFigures() []Figure {
	session := r.Line("balancer-session-processor").Slope
	apply := r.Line("delta-apply").At(targetsPerChange) / 1e3 * changesPerDay / secondsPerDay * 100
	view, table := r.Find("view-memory").AtDesignSize(), r.Find("balancer-table-memory").AtDesignSize()
	steady := r.Line("balancer-session-bytes").Slope
	return []Figure{
		{budgetTable, "balancer", "processor time of control", session + apply, "% of a core", limitCPUPercent, fmt.Sprintf("session, both ends: %s; %s deltas a day: %s", formatNumber(session), formatNumber(changesPerDay), formatNumber(apply))},
		{budgetTable, "balancer", "live memory of view and tables while a delta is applied", 2*view + table, "MB", limitMemoryMB, "two views and the tables; unchanged services are shared"},
		{budgetTable, "balancer", "anonymous memory", r.Find("balancer-resident").AtDesignSize(), "MB", limitMemoryMB, fmt.Sprintf("balancer-resident; a process that has done nothing: %s", formatNumber(r.Process))},
		{budgetTable, "balancer", "anonymous memory with a memory limit for the runtime", r.Find("balancer-resident-limited").AtDesignSize(), "MB", limitMemoryMB, "balancer-resident-limited"},
		{budgetTable, "balancer", "traffic, steady", steady, "KB/s", limitTrafficKBPerSecond, "slope of balancer-session-bytes"},
		{budgetTable, "balancer", "traffic, day's mean with changes", steady + r.meanChangeTraffic(r.Line("delta-bytes").At(targetsPerChange)), "KB/s", limitTrafficKBPerSecond, fmt.Sprintf("steady and %s deltas of %d targets a day", formatNumber(changesPerDay), targetsPerChange)},
		{budgetTable, "balancer", "whole view after a restart, at the limit of traffic", r.Find("view-bytes").AtDesignSize() / limitTrafficKBPerSecond, "s", 0, "view-bytes over 19 KB/s; the balancer forwards nothing before"},
		{budgetTable, "balancer", "targets that one delta may carry within 4 s at the limit of traffic", maxTargetsPerDelta(r.Line("delta-bytes")), "targets", 0, "delta-bytes solved for 4 s of 19 KB/s"},
	}
}

// maxTargetsPerDelta returns the number of targets in a delta that takes 4 s to send at the limit of traffic.
func maxTargetsPerDelta(l Line) float64 {
	return (limitInForceSeconds*limitTrafficKBPerSecond - l.Intercept) / l.Slope
}

func (r *Measurements) agentFigures() []Figure {
	session := r.Line("session-processor").Slope
	probes := r.Find("agent-probe-time").AtDesignSize()
	flows := r.Line("agent-flow-memory").At(flowsPerAgent)
	memory := r.Line("session-memory").Slope
	return []Figure{
		{budgetTable, "agent", "processor time of the session", session, "% of a core", limitCPUPercent, "slope of session-processor, both ends"},
		{budgetTable, "agent", "processor time of probes, all streams idle", probes, "% of a core", limitCPUPercent, "agent-probe-time; sending and answers not included"},
		{budgetTable, "agent", "live memory of flows and session", flows + memory, "MB", limitMemoryMB, "agent-flow-memory at 2,243 flows and session-memory, both ends"},
		{budgetTable, "agent", "anonymous memory, reasoned", gcHeapFactor*(flows+memory) + r.Process, "MB", limitMemoryMB, fmt.Sprintf("live memory doubled by the collector, and a process that has done nothing: %s", formatNumber(r.Process))},
		{budgetTable, "agent", "traffic, steady", r.Line("session-bytes").Slope, "KB/s", limitTrafficKBPerSecond, "slope of session-bytes"},
		{budgetTable, "agent", "probes, all streams idle, data path", r.Find("agent-probes").AtDesignSize() * probeBytes / 1e3, "KB/s", 0, "agent-probes of 40 bytes, without answers and encapsulation"},
	}
}

func (r *Measurements) controllerFigures() []Figure {
	agents := float64(designTargets) / designControllers
	balancers := float64(designBalancers) / designControllers
	sessions := agents*r.Line("session-processor").Slope + balancers*r.Line("balancer-session-processor").Slope
	leaderWork := r.Find("leader-observe").AtDesignSize()*reportsPerSecond/10 + r.Find("leader-decide").AtDesignSize()*decisionsPerSecond/10
	changes := r.Find("batch-targets").AtDesignSize() / 10 * changesPerDay / secondsPerDay
	edits := r.Find("edit-apply").AtDesignSize() / 10 * designEditsPerDay / secondsPerDay
	memory := r.Find("catalog-memory").AtDesignSize() + r.Find("history-memory").AtDesignSize() + r.Find("results-memory").AtDesignSize() +
		r.Find("session-memory").AtDesignSize()
	bytes := agents*r.Line("session-bytes").Slope + balancers*r.Line("balancer-session-bytes").Slope
	reports := r.Line("report-bytes").Slope
	return []Figure{
		{budgetTable, "controller", "processor time of a poll of an agent, both ends", r.Line("session-processor").Slope * 1e4, "µs", 0, "slope of session-processor at one poll a second"},
		{budgetTable, "controller", "processor time of a poll of a balancer, both ends", r.Line("balancer-session-processor").Slope * 1e4, "µs", 0, "slope of balancer-session-processor at one poll a second"},
		{budgetTable, "controller follower", "processor time", sessions + changes + edits, "% of a core", 0, fmt.Sprintf("%d sessions, both ends: %s; batches and edits: %s", sessionsPerController, formatNumber(sessions), formatNumber(changes+edits))},
		{budgetTable, "controller follower", "live memory", memory, "MB", 0, "state, 1,000 revisions, 10,000 results, sessions with both ends; log entries not included"},
		{budgetTable, "controller follower", "live memory of log entries, reasoned", maxLogEntriesInMemory * float64(designEditsPerDay) / changesPerDay * r.Find("edit-bytes").AtDesignSize() / 1e3, "MB", 0, fmt.Sprintf("%s entries before a snapshot, of which %d in %s are edits of the size of edit-bytes", formatNumber(maxLogEntriesInMemory), designEditsPerDay, formatNumber(changesPerDay))},
		{budgetTable, "controller follower", "traffic of sessions and reports", bytes + sessionsPerController*reports, "KB/s", 0, "slopes of session-bytes, balancer-session-bytes and report-bytes"},
		{budgetTable, "controller leader", "processor time", sessions + changes + edits + leaderWork, "% of a core", 0, fmt.Sprintf("as a follower, and reports and decisions: %s", formatNumber(leaderWork))},
		{budgetTable, "controller leader", "traffic", bytes + (designControllers-1)*sessionsPerController*reports, "KB/s", 0, "sessions, and the reports of 6 followers"},
		{budgetTable, "controllers", "VMs", designControllers, "VMs", designControllers, "4 in one region and 3 in the other"},
	}
}

func (r *Measurements) worstFigures() []Figure {
	delta, batch := r.Line("delta-bytes"), r.Line("batch-changed")
	handshake := r.Line("handshake-processor").Slope
	perController := float64(designSessions) / (designControllers - 1)
	pollAnswers := r.Find("update-agent").AtDesignSize()*designTargets/designControllers/1e3 + r.Find("update-balancer").AtDesignSize()*designBalancers/designControllers/1e3
	restarts := float64(designVMRestartsPerDay*changesPerRestart) / 3600
	figure := func(name string, value float64, unit string, limit float64, from string) Figure {
		return Figure{worstHoursTable, "", name, value, unit, limit, from}
	}
	return []Figure{
		figure("rack of 40 targets returns: batch", batch.At(rackTargets), "ms", 0, "batch-changed at 40"),
		figure("rack of 40 targets returns: delta to each balancer", delta.At(rackTargets), "KB", limitInForceSeconds*limitTrafficKBPerSecond, "delta-bytes at 40; the limit is 4 s of 19 KB/s"),
		figure("availability zone lost: batch of 684 targets", batch.At(zoneTargets), "ms", 0, "batch-changed at 684"),
		figure("availability zone lost: delta to each balancer", delta.At(zoneTargets), "KB", limitInForceSeconds*limitTrafficKBPerSecond, "delta-bytes at 684; the limit is 4 s of 19 KB/s"),
		figure("availability zone lost: delta to all balancers, per controller", delta.At(zoneTargets)*designBalancers/designControllers/1e3, "MB", 0, "66 balancers"),
		figure("regions rejoin: delta to each balancer", delta.At(designTargets/2), "KB", limitInForceSeconds*limitTrafficKBPerSecond, "delta-bytes at 2,050, half of the targets"),
		figure("edit that changes every target: delta to each balancer", delta.At(designTargets), "KB", limitInForceSeconds*limitTrafficKBPerSecond, "delta-bytes at 4,100"),
		figure("one edit: time in which a controller sends and answers no consensus message", r.Find("edit-apply").AtDesignSize(), "ms", electionTimeoutMs, "edit-apply; the limit is the shortest election timeout"),
		figure("320 restarts in an hour: changes", restarts, "1/s", 0, "3 generations each"),
		figure("320 restarts in an hour: traffic of a balancer for them", restarts*delta.At(targetsPerChange), "KB/s", limitTrafficKBPerSecond, "deltas of 6 targets"),
		figure("320 restarts in an hour: processor time of a balancer for them", restarts*r.Line("delta-apply").At(targetsPerChange)/10, "% of a core", limitCPUPercent, "delta-apply at 6"),
		figure("every change: held polls looked at, per controller", pollAnswers, "ms", 0, "update-agent and update-balancer for a seventh of the nodes"),
		figure("one of 7 controllers lost: handshakes to each other one", perController-float64(designSessions)/designControllers, "sessions", 0, "a seventh of 4,560 spread over 6"),
		figure("handshakes per second and core, both ends", 1e3/handshake, "1/s", 0, "slope of handshake-processor"),
		figure("all sessions at one controller: processor time", handshake*designSessions/1e3, "core-s", 0, "handshake-processor at 4,560, both ends"),
		figure("all sessions at 7 controllers: processor time of each", handshake*designSessions/designControllers/1e3, "core-s", 0, "a seventh of it"),
	}
}
