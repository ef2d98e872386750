package capacity

const (
	xServices = "services (5.5 targets each)"
	xTargets  = "targets"
	xChanged  = "targets changed at once"
	xSessions = "sessions at the controller"
	xNodes    = "balancers at three controllers"
)

// quantities returns the series of all measured quantities, without points.
func quantities() []Series {
	return append(append(nodeQuantities(), controlQuantities()...), clusterQuantities()...)
}

func nodeQuantities() []Series {
	return []Series{
		{ID: "balancer-table-memory", Table: balancerTable, Title: "memory of the tables", XLabel: xServices, Unit: "MB", At: designServices, Limit: limitMemoryMB, Mechanism: "1,024 buckets of 8 positions per service", File: "internal/placement/table.go"},
		{ID: "balancer-targets-memory", Table: balancerTable, Title: "memory of the tables, number of services fixed", XLabel: xTargets, Unit: "MB", At: designTargets, Limit: limitMemoryMB, Mechanism: "targets and encoded candidates beside the buckets", File: "internal/placement/table.go"},
		{ID: "balancer-resident", Table: balancerTable, Title: "largest anonymous memory of a process that decodes a view and applies deltas in a row", XLabel: xServices, Unit: "MB", At: designServices, Limit: limitMemoryMB, Mechanism: "garbage of copied views until the collector runs", File: "internal/node/session.go"},
		{ID: "balancer-resident-limited", Table: balancerTable, Title: "the same with a memory limit of 22 MiB for the Go runtime", XLabel: xServices, Unit: "MB", At: designServices, Limit: limitMemoryMB, Mechanism: "the collector runs earlier", File: "internal/capacity/resident.go"},
		{ID: "view-memory", Table: balancerTable, Title: "memory of the view", XLabel: xTargets, Unit: "MB", At: designTargets, Limit: limitMemoryMB, Mechanism: "maps of services and targets", File: "internal/model/view.go"},
		{ID: "balancer-hints-memory", Table: balancerTable, Title: "memory of the hints", XLabel: "flows with a hint", Unit: "MB", At: flowsPerBalancer, Mechanism: "LRU cache of at most 65,536 owners", File: "internal/balancer/decide.go"},
		{ID: "view-bytes", Table: balancerTable, Title: "bytes of a whole view", XLabel: xTargets, Unit: "KB", At: designTargets, Mechanism: "gob of the view after a restart", File: "internal/controller/nodeservice.go"},
		{ID: "balancer-build-all", Table: balancerTable, Title: "time to build all tables", XLabel: xServices, Unit: "ms", At: designServices, Mechanism: "a ranking for each bucket", File: "internal/placement/placement.go"},
		{ID: "balancer-rebuild", Table: balancerTable, Title: "time to rebuild after one change", XLabel: xServices, Unit: "µs", At: designServices, Mechanism: "only changed services are ranked; both maps are copied", File: "internal/placement/table.go"},
		{ID: "balancer-apply", Table: balancerTable, Title: "processor time to apply a delta with one target", XLabel: xServices, Unit: "µs", At: designServices, Mechanism: "copy of the view, digest, rebuild", File: "internal/node/session.go"},
		{ID: "delta-apply", Table: balancerTable, Title: "processor time to apply a delta at the largest view", XLabel: xChanged, Unit: "ms", At: designTargets, Mechanism: "copy of the view, digest, rebuild", File: "internal/node/session.go"},
		{ID: "delta-bytes", Table: balancerTable, Title: "bytes of a delta", XLabel: xChanged, Unit: "KB", At: designTargets, Mechanism: "whole targets and their services in gob", File: "internal/catalog/update.go"},
		{ID: "balancer-packet", Table: balancerTable, Title: "processor time for a packet, without sockets", XLabel: xServices, Unit: "ns", At: designServices, Mechanism: "one lookup, one copy of a chain, one SipHash", File: "internal/balancer/decide.go"},
		{ID: "balancer-packet-ratio", Table: balancerTable, Title: "the same as a multiple of one hash and one map lookup", XLabel: xServices, Unit: "times", At: designServices, Mechanism: "as above", File: "internal/balancer/decide.go"},
		{ID: "agent-flow-memory", Table: agentTable, Title: "memory of the flow table", XLabel: "flows", Unit: "MB", At: flowsPerAgent, Limit: limitMemoryMB, Mechanism: "records without pointers in chunks, a map by key", File: "internal/flowtable/record.go"},
		{ID: "agent-packet", Table: agentTable, Title: "processor time for a packet, without sockets", XLabel: "flows", Unit: "ns", At: flowsPerAgent, Mechanism: "decoding with one SipHash, parsing, one map lookup", File: "internal/flowtable/table.go"},
		{ID: "agent-probes", Table: agentTable, Title: "keep-alive probes of idle streams", XLabel: "idle streams", Unit: "probes/s", At: flowsPerAgent, Mechanism: "a probe to each end after 30 s without a packet", File: "internal/flowtable/silence.go"},
		{ID: "agent-probe-time", Table: agentTable, Title: "processor time of the probes", XLabel: "idle streams", Unit: "% of a core", At: flowsPerAgent, Limit: limitCPUPercent, Mechanism: "timing wheel in steps of 8 ms", File: "internal/flowtable/wheel.go"},
	}
}

func controlQuantities() []Series {
	return []Series{
		{ID: "leader-observe", Table: leaderTable, Title: "one report of all sessions", XLabel: "sessions", Unit: "ms", At: designSessions, Mechanism: "a map of sessions, every 500 ms", File: "internal/membership/membership.go"},
		{ID: "leader-decide", Table: leaderTable, Title: "one decision about all targets", XLabel: xTargets, Unit: "ms", At: designTargets, Mechanism: "a pass over all targets, every 250 ms", File: "internal/membership/decide.go"},
		{ID: "edit-apply", Table: leaderTable, Title: "one edit of one service in the state machine", XLabel: xTargets, Unit: "ms", At: designTargets, Mechanism: "the whole document is parsed and compared", File: "internal/catalog/configure.go"},
		{ID: "document-bytes", Table: leaderTable, Title: "bytes of the document", XLabel: xTargets, Unit: "KB", At: designTargets, Mechanism: "an inventory line for each VM", File: "internal/config/document.go"},
		{ID: "edit-bytes", Table: leaderTable, Title: "bytes of an edit in the log", XLabel: xTargets, Unit: "KB", At: designTargets, Mechanism: "the compressed document", File: "internal/catalog/command.go"},
		{ID: "edit-accepted", Table: leaderTable, Title: "from sending an edit to its acceptance without nodes, median", XLabel: "VMs in the document", Unit: "s", At: designTargets, Limit: limitInForceSeconds, Mechanism: "checked by the leader, committed, applied", File: "internal/controller/operatorservice.go"},
		{ID: "edit-terms", Table: leaderTable, Title: "changes of term per edit", XLabel: "VMs in the document", Unit: "terms", At: designTargets, Mechanism: "the goroutine that sends heartbeats also applies entries", File: "internal/replica/replica.go"},
		{ID: "commit", Table: leaderTable, Title: "one synced commit", XLabel: "entry in KB", Unit: "ms", At: 100, Mechanism: "one write and one sync", File: "internal/wal/wal.go"},
		{ID: "commit-bare", Table: leaderTable, Title: "one bare write and sync of the same bytes", XLabel: "entry in KB", Unit: "ms", At: 100, Mechanism: "baseline of the disk", File: "internal/capacity/storage.go"},
		{ID: "batch-targets", Table: followerTable, Title: "a batch with one lost target", XLabel: xTargets, Unit: "ms", At: designTargets, Mechanism: "copy of the view and digest", File: "internal/catalog/catalog.go"},
		{ID: "batch-changed", Table: followerTable, Title: "a batch of lost targets at the largest fleet", XLabel: xChanged, Unit: "ms", At: zoneTargets, Mechanism: "copy of the view and digest", File: "internal/catalog/batch.go"},
		{ID: "catalog-memory", Table: followerTable, Title: "memory of the replicated state", XLabel: xTargets, Unit: "MB", At: designTargets, Mechanism: "document, index, targets, view", File: "internal/catalog/catalog.go"},
		{ID: "history-memory", Table: followerTable, Title: "memory of the revisions", XLabel: "revisions", Unit: "MB", At: 1000, Mechanism: "differences between documents", File: "internal/catalog/history.go"},
		{ID: "results-memory", Table: followerTable, Title: "memory of kept results", XLabel: "results", Unit: "MB", At: 10_000, Mechanism: "results of the last 10,000 commands", File: "internal/catalog/catalog.go"},
		{ID: "snapshot-bytes", Table: followerTable, Title: "size of a snapshot", XLabel: xTargets, Unit: "MB", At: designTargets, Mechanism: "gob of the whole state", File: "internal/catalog/snapshot.go"},
		{ID: "history-snapshot", Table: followerTable, Title: "part of the revisions in a snapshot", XLabel: "revisions", Unit: "MB", At: 1000, Mechanism: "differences between documents", File: "internal/catalog/snapshot.go"},
		{ID: "results-snapshot", Table: followerTable, Title: "part of kept results in a snapshot", XLabel: "results", Unit: "MB", At: 10_000, Mechanism: "results of the last 10,000 commands", File: "internal/catalog/snapshot.go"},
		{ID: "snapshot-time", Table: followerTable, Title: "time to make a snapshot", XLabel: xTargets, Unit: "ms", At: designTargets, Mechanism: "every 4,096 entries", File: "internal/controller/controller.go"},
		{ID: "restore-time", Table: followerTable, Title: "time to restore a snapshot", XLabel: xTargets, Unit: "ms", At: designTargets, Mechanism: "decoding, digest, parsing of the document", File: "internal/catalog/snapshot.go"},
		{ID: "update-agent", Table: followerTable, Title: "answer to one held poll of an agent after a change", XLabel: xTargets, Unit: "µs", At: designTargets, Mechanism: "changes since a generation, view of the agent", File: "internal/catalog/update.go"},
		{ID: "update-balancer", Table: followerTable, Title: "answer to one held poll of a balancer after a change", XLabel: xTargets, Unit: "µs", At: designTargets, Mechanism: "changes since a generation", File: "internal/catalog/update.go"},
	}
}

func clusterQuantities() []Series {
	return []Series{
		{ID: "session-bytes", Table: followerTable, Title: "bytes of steady agent sessions, both ways", XLabel: xSessions, Unit: "KB/s", At: sessionsPerController, Mechanism: "a poll of 1 s over TLS with the announcement", File: "internal/node/session.go"},
		{ID: "session-processor", Table: followerTable, Title: "processor time of steady agent sessions, both ends, with three idle controllers", XLabel: xSessions, Unit: "% of a core", At: sessionsPerController, Mechanism: "gob and TLS of a poll of 1 s", File: "internal/rpc/codec.go"},
		{ID: "session-memory", Table: followerTable, Title: "memory of agent sessions, both ends", XLabel: xSessions, Unit: "MB", At: sessionsPerController, Mechanism: "TLS buffers, codecs, stacks", File: "internal/rpc/server.go"},
		{ID: "report-bytes", Table: followerTable, Title: "bytes of reports to the leader", XLabel: xSessions, Unit: "KB/s", At: sessionsPerController, Mechanism: "whole announcements whose evidence changed, every 500 ms", File: "internal/controller/sessions.go"},
		{ID: "balancer-session-bytes", Table: followerTable, Title: "bytes of steady balancer sessions, both ways", XLabel: xNodes, Unit: "KB/s", At: designBalancers, Mechanism: "a poll of 1 s over TLS", File: "internal/node/session.go"},
		{ID: "balancer-session-processor", Table: followerTable, Title: "processor time of steady balancer sessions, both ends, with three idle controllers", XLabel: xNodes, Unit: "% of a core", At: designBalancers, Mechanism: "gob and TLS of a poll of 1 s", File: "internal/rpc/codec.go"},
		{ID: "accepted", Table: leaderTable, Title: "from sending an edit to its acceptance, median", XLabel: xNodes, Unit: "s", At: designBalancers, Limit: limitInForceSeconds, Mechanism: "check, one commit, apply", File: "internal/controller/operatorservice.go"},
		{ID: "in-force-median", Table: leaderTable, Title: "from sending an edit to in force at a node, median", XLabel: xNodes, Unit: "s", At: designBalancers, Limit: limitInForceSeconds, Mechanism: "held polls are answered at once", File: "internal/controller/nodeservice.go"},
		{ID: "in-force-p99", Table: leaderTable, Title: "from sending an edit to in force at a node, 99th percentile", XLabel: xNodes, Unit: "s", At: designBalancers, Limit: limitInForceSeconds, Mechanism: "held polls are answered at once", File: "internal/controller/nodeservice.go"},
		{ID: "in-force-accepted-median", Table: leaderTable, Title: "from acceptance of an edit to in force at a node, median", XLabel: xNodes, Unit: "s", At: designBalancers, Limit: limitInForceSeconds, Mechanism: "held polls are answered at once", File: "internal/controller/nodeservice.go"},
		{ID: "in-force-accepted-p99", Table: leaderTable, Title: "from acceptance of an edit to in force at a node, 99th percentile", XLabel: xNodes, Unit: "s", At: designBalancers, Limit: limitInForceSeconds, Mechanism: "held polls are answered at once", File: "internal/controller/nodeservice.go"},
		{ID: "catch-up", Table: followerTable, Title: "from a restart to current, after missed edits", XLabel: "missed edits", Unit: "s", At: designEditsPerDay, Mechanism: "appends from the leader's log", File: "internal/consensus/replicate.go"},
		{ID: "handshake-time", Table: worstTable, Title: "sessions that all connect at once", XLabel: "sessions", Unit: "ms", At: designSessions / 2, Mechanism: "mutual TLS 1.3 with ECDSA P-256, first call", File: "internal/rpc/tls.go"},
		{ID: "handshake-processor", Table: worstTable, Title: "processor time of these, both ends", XLabel: "sessions", Unit: "ms", At: designSessions / 2, Mechanism: "mutual TLS 1.3 with ECDSA P-256, first call", File: "internal/rpc/tls.go"},
	}
}
