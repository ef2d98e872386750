package experiment

import (
	"math/rand/v2"
	"slices"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/placement"
)

// Change is a kind of change that happens while flows are established.
type Change string

// Kinds of change.
const (
	Join           Change = "a target joins"
	Drain          Change = "a target drains"
	SeveralChanges Change = "a target drains, another joins, a second drains"
	BalancerLost   Change = "a balancer is lost"
	LeaseLost      Change = "a live target loses its lease"
	VMLost         Change = "a target VM is lost"
	MixedTables    Change = "half of the balancers have the table before a join"
	AgentRestart   Change = "an agent restarts"
	// MixedTablesStaleAgents is MixedTables with agents that have the old table as well. A joining target is already
	// part of the owners chain before it admits flows, so that the last agent does not reset a flow of that target
	// as unknown.
	MixedTablesStaleAgents Change = "half of the balancers and all agents have the table before a join"
	// NoJoiningState is MixedTablesStaleAgents with a target that admits flows as soon as some node knows it. It is
	// a baseline; the system does not do this.
	NoJoiningState Change = "the same, if a new target admits at once"
)

// Changes lists the kinds of change in the order of the published table.
var Changes = []Change{Join, Drain, SeveralChanges, BalancerLost, LeaseLost, VMLost, MixedTables, AgentRestart, MixedTablesStaleAgents}

// FlowResult counts the flows that were established before a change, by what the change did to them.
type FlowResult struct {
	Change Change
	Flows  int
	// Unavoidable counts flows whose target was on the lost VM; no policy can keep them.
	Unavoidable int
	// Chain, Ring and Modulo count the broken flows of each policy, without the unavoidable ones: the
	// chain over all owners, the first position of a consistent hash, and the hash modulo the number
	// of targets.
	Chain, Ring, Modulo int
	// Delayed counts flows of the chain policy that stall until all tables agree, and then continue.
	Delayed int
	// Hops is the mean number of agents that a delivered packet visits with the chain policy after the change.
	Hops float64
}

// FlowScenario describes the flows of a service.
type FlowScenario struct {
	Targets, Flows int
	// Busy is the probability that a candidate had no free slot when a flow was admitted.
	Busy float64
	Seed uint64
}

// changedTarget is the target that drains, is lost or loses its lease.
const changedTarget model.TargetID = 1

// RunFlows establishes flows, applies a change and routes one packet of each flow.
func RunFlows(s FlowScenario, change Change) FlowResult {
	tables := newChangeTables(s.Targets, change)
	random := rand.New(rand.NewPCG(s.Seed, 2))
	result := FlowResult{Change: change, Flows: s.Flows}
	hops, delivered := 0, 0
	for range s.Flows {
		hash := random.Uint64()
		// The balancer that admitted a flow and the one that serves it later may have different tables.
		admitting, serving := random.IntN(2), random.IntN(2)
		owner := admit(tables.before[admitting], hash, s.Busy, random)
		switch n, outcome := tables.routePacket(tables.after[serving], hash, owner); outcome {
		case outcomeTargetLost:
			result.Unavoidable++
		case outcomeBroken:
			result.Chain++
		case outcomeDelayed:
			result.Delayed++
		case outcomeDelivered:
			hops += n
			delivered++
		}
		if moved(consistentHash, tables.before[admitting], tables.after[serving], hash, tables.lostTarget) {
			result.Ring++
		}
		if moved(moduloHash, tables.before[admitting], tables.after[serving], hash, tables.lostTarget) {
			result.Modulo++
		}
	}
	if delivered > 0 {
		result.Hops = float64(hops) / float64(delivered)
	}
	return result
}

// moved reports whether a policy without a chain sends a flow to another target than the one that
// admitted it. It is false if the VM of that target is lost.
func moved(choose func(*placement.Service, uint64) model.TargetID, before, after *placement.Service,
	hash uint64, lost model.TargetID,
) bool {
	owner := choose(before, hash)
	return owner != lost && owner != choose(after, hash)
}

// changeTables holds the placement tables around a change. Balancers form two groups, which may get the table of
// the change at different times.
type changeTables struct {
	before, after [2]*placement.Service
	agents        *placement.Service // of all agents
	final         *placement.Service // of all nodes once the tables agree
	lostTarget    model.TargetID     // target whose VM is lost; zero if none is
}

// newChangeTables builds the tables before and after a change.
func newChangeTables(targets int, change Change) *changeTables {
	view := model.NewView()
	view.Generation = 1
	view.Services[1] = model.Service{ID: 1, Generation: 1}
	for i := range targets {
		addTarget(view, model.TargetID(i+1))
	}
	newTarget := model.TargetID(targets + 1)
	if change == MixedTablesStaleAgents {
		addTarget(view, newTarget)
		setState(view, newTarget, model.TargetJoining)
	}
	old := buildService(view)
	tables := &changeTables{before: [2]*placement.Service{old, old}}
	view = view.Clone()
	view.Generation = 2
	view.Services[1] = model.Service{ID: 1, Generation: 2}
	switch change {
	case Join, MixedTables, MixedTablesStaleAgents, NoJoiningState:
		addTarget(view, newTarget)
	case Drain:
		setState(view, changedTarget, model.TargetDraining)
	case SeveralChanges:
		setState(view, changedTarget, model.TargetDraining)
		addTarget(view, newTarget)
		setState(view, changedTarget+1, model.TargetDraining)
	case LeaseLost:
		setState(view, changedTarget, model.TargetLost)
	case VMLost:
		setState(view, changedTarget, model.TargetLost)
		tables.lostTarget = changedTarget
	case BalancerLost, AgentRestart:
		// The tables do not change. The other balancers have the same ones, and a restarted agent
		// learns the open flows from its target, so it owns the same flows as before.
	}
	latest := buildService(view)
	tables.after = [2]*placement.Service{latest, latest}
	tables.agents, tables.final = latest, latest
	if change == MixedTables || change == MixedTablesStaleAgents || change == NoJoiningState {
		tables.before[1] = latest
		tables.after[0] = old
	}
	if change == MixedTablesStaleAgents || change == NoJoiningState {
		tables.agents = old
	}
	return tables
}

func buildService(view *model.View) *placement.Service {
	table, _ := placement.Build(nil, view)
	return table.Service(1)
}

func addTarget(view *model.View, id model.TargetID) {
	view.Targets[id] = model.Target{ID: id, Service: 1}
}

func setState(view *model.View, id model.TargetID, state model.TargetState) {
	target := view.Targets[id]
	target.State = state
	view.Targets[id] = target
}

// admit returns the target that admits a new flow: the first candidate that is not busy, or else the last one.
func admit(s *placement.Service, hash uint64, busyProbability float64, random *rand.Rand) model.TargetID {
	chain := s.FullChain(placement.Admitting, placement.BucketOf(hash))
	for _, candidate := range chain {
		if random.Float64() >= busyProbability {
			return candidate.ID
		}
	}
	return chain[len(chain)-1].ID
}

// outcome is the result of routing a packet of an established flow.
type outcome uint8

const (
	outcomeDelivered outcome = iota
	outcomeDelayed
	outcomeBroken
	outcomeTargetLost // the VM of the flow's target is lost
)

// routePacket forwards a packet along the owners chain of the balancer's table and returns the number
// of agents that it visits. If no agent in the chain owns the flow, the last agent resets the flow if
// its table has the generation of the balancer's, and drops the packet if not; a dropped packet is
// retransmitted, and the flow continues if the final table has its owner in the chain.
func (tables *changeTables) routePacket(balancer *placement.Service, hash uint64, owner model.TargetID) (int, outcome) {
	if owner == tables.lostTarget {
		return 0, outcomeTargetLost
	}
	if index := ownerPosition(balancer, hash, owner); index >= 0 {
		return index + 1, outcomeDelivered
	}
	if balancer.Generation != tables.agents.Generation && ownerPosition(tables.final, hash, owner) >= 0 {
		return 0, outcomeDelayed
	}
	return 0, outcomeBroken
}

// ownerPosition returns the index of an owner in the owners chain of a flow, or -1.
func ownerPosition(s *placement.Service, hash uint64, owner model.TargetID) int {
	chain := s.FullChain(placement.Owners, placement.BucketOf(hash))
	return slices.IndexFunc(chain, func(t model.Target) bool { return t.ID == owner })
}

// consistentHash returns the target of a consistent hash without a chain: the first admitting target.
func consistentHash(s *placement.Service, hash uint64) model.TargetID {
	return s.FullChain(placement.Admitting, placement.BucketOf(hash))[0].ID
}

// moduloHash returns the active target at the index of the hash modulo the number of active targets.
func moduloHash(s *placement.Service, hash uint64) model.TargetID {
	var active []model.TargetID
	for _, t := range s.Targets() {
		if t.State == model.TargetActive {
			active = append(active, t.ID)
		}
	}
	return active[hash%uint64(len(active))]
}
