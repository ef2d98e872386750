package experiment

import (
	"math/rand/v2"
	"slices"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/placement"
)

// Change is a kind of change that established flows meet.
type Change string

// Kinds of change.
const (
	Join        Change = "a target joins"
	Drain       Change = "a target drains"
	Several     Change = "a target drains, another joins, a second drains"
	BalancerOut Change = "a balancer is lost"
	FalseLoss   Change = "a live target loses its lease"
	TargetOut   Change = "a target VM is lost"
	Uneven      Change = "half of the balancers have the table before a join"
	Restart     Change = "an agent restarts"
	// StaleAgents is Uneven with agents that have the old table as well. A new target belongs to the
	// owners chain before it admits, so that the last agent does not take a flow of it for unknown.
	StaleAgents Change = "half of the balancers and all agents have the table before a join"
	// SkipsJoining is StaleAgents with a target that admits as soon as it is known to some node. It is
	// a baseline, and not what the system does.
	SkipsJoining Change = "the same, if a new target admits at once"
)

// Changes lists all kinds of change in the order of the table.
var Changes = []Change{Join, Drain, Several, BalancerOut, FalseLoss, TargetOut, Uneven, Restart, StaleAgents}

// FlowResult counts the flows that were established before a change, by what became of them.
type FlowResult struct {
	Change Change
	Flows  int
	// Unavoidable flows of the chain had their target on the VM that was lost.
	Unavoidable int
	// Chain, Ring and Modulo are the broken flows under each policy, without the unavoidable ones:
	// the chain over all owners, the first position of a consistent hash, and a hash modulo the
	// number of targets.
	Chain, Ring, Modulo int
	// Delayed flows of the chain wait until the tables agree, and go on then.
	Delayed int
	// Hops is the mean number of agents per packet under the chain after the change.
	Hops float64
}

// FlowScenario describes the flows of a service.
type FlowScenario struct {
	Targets, Flows int
	// Busy is the chance that a candidate had no room when a flow was admitted.
	Busy float64
	Seed uint64
}

// lostTarget is the target that the changes take out.
const lostTarget model.TargetID = 1

// RunFlows establishes flows, applies a change and follows one packet of each flow.
func RunFlows(s FlowScenario, change Change) FlowResult {
	w := newWorld(s.Targets, change)
	random := rand.New(rand.NewPCG(s.Seed, 2))
	result := FlowResult{Change: change, Flows: s.Flows}
	hops, delivered := 0, 0
	for range s.Flows {
		hash := random.Uint64()
		// A flow is admitted and later served by balancers that may have different tables.
		admitting, serving := random.IntN(2), random.IntN(2)
		owner := admit(w.before[admitting], hash, s.Busy, random)
		switch n, outcome := w.follow(w.after[serving], hash, owner); outcome {
		case unavoidable:
			result.Unavoidable++
		case broken:
			result.Chain++
		case waits:
			result.Delayed++
		case arrived:
			hops += n
			delivered++
		}
		if moved(first, w.before[admitting], w.after[serving], hash, w.dead) {
			result.Ring++
		}
		if moved(modulo, w.before[admitting], w.after[serving], hash, w.dead) {
			result.Modulo++
		}
	}
	if delivered > 0 {
		result.Hops = float64(hops) / float64(delivered)
	}
	return result
}

// moved reports whether a policy without a chain sends a flow elsewhere than where it was admitted,
// unless that target is dead.
func moved(choose func(*placement.Service, uint64) model.TargetID, before, after *placement.Service,
	hash uint64, dead model.TargetID,
) bool {
	owner := choose(before, hash)
	return owner != dead && owner != choose(after, hash)
}

// world holds the tables of two groups of balancers before and after a change, and of the agents.
type world struct {
	before, after [2]*placement.Service
	agents        *placement.Service // newer than or as old as that of the balancers
	final         *placement.Service // that all have once the tables agree
	dead          model.TargetID     // zero for none
}

// newWorld returns the tables around a change.
func newWorld(targets int, change Change) *world {
	view := model.NewView()
	view.Generation = 1
	view.Services[1] = model.Service{ID: 1, Generation: 1}
	for i := range targets {
		join(view, model.TargetID(i+1))
	}
	newcomer := model.TargetID(targets + 1)
	if change == StaleAgents {
		join(view, newcomer)
		setState(view, newcomer, model.TargetJoining)
	}
	old := serviceOf(view)
	w := &world{before: [2]*placement.Service{old, old}}
	view = view.Clone()
	view.Generation = 2
	view.Services[1] = model.Service{ID: 1, Generation: 2}
	switch change {
	case Join, Uneven, StaleAgents, SkipsJoining:
		join(view, newcomer)
	case Drain:
		setState(view, lostTarget, model.TargetDraining)
	case Several:
		setState(view, lostTarget, model.TargetDraining)
		join(view, newcomer)
		setState(view, lostTarget+1, model.TargetDraining)
	case FalseLoss:
		setState(view, lostTarget, model.TargetLost)
	case TargetOut:
		setState(view, lostTarget, model.TargetLost)
		w.dead = lostTarget
	case BalancerOut, Restart:
		// The tables stay. Another balancer has the same ones; the restarted agent learns from its
		// target which flows are there, so it owns what it owned.
	}
	latest := serviceOf(view)
	w.after = [2]*placement.Service{latest, latest}
	w.agents, w.final = latest, latest
	if change == Uneven || change == StaleAgents || change == SkipsJoining {
		w.before[1] = latest
		w.after[0] = old
	}
	if change == StaleAgents || change == SkipsJoining {
		w.agents = old
	}
	return w
}

func serviceOf(view *model.View) *placement.Service {
	table, _ := placement.Build(nil, view)
	return table.Service(1)
}

func join(view *model.View, id model.TargetID) {
	view.Targets[id] = model.Target{ID: id, Service: 1}
}

func setState(view *model.View, id model.TargetID, state model.TargetState) {
	target := view.Targets[id]
	target.State = state
	view.Targets[id] = target
}

// admit returns the target that takes a new flow: the first candidate with room, or the last one.
func admit(s *placement.Service, hash uint64, busy float64, random *rand.Rand) model.TargetID {
	chain := s.FullChain(placement.Admitting, placement.BucketOf(hash))
	for _, candidate := range chain {
		if random.Float64() >= busy {
			return candidate.ID
		}
	}
	return chain[len(chain)-1].ID
}

// outcome says what becomes of a packet of an established flow.
type outcome uint8

const (
	arrived outcome = iota
	waits
	broken
	unavoidable // the target is lost
)

// follow passes a packet along the owners chain of the balancer's table and returns the number of
// agents that it visits. If no agent owns the flow, the last one resets it when the tables agree and
// drops the packet when they do not; the flow goes on if the final table has its owner.
func (w *world) follow(balancer *placement.Service, hash uint64, owner model.TargetID) (int, outcome) {
	if owner == w.dead {
		return 0, unavoidable
	}
	if position := position(balancer, hash, owner); position >= 0 {
		return position + 1, arrived
	}
	if balancer.Generation != w.agents.Generation && position(w.final, hash, owner) >= 0 {
		return 0, waits
	}
	return 0, broken
}

// position returns the position of an owner in a chain, or -1.
func position(s *placement.Service, hash uint64, owner model.TargetID) int {
	chain := s.FullChain(placement.Owners, placement.BucketOf(hash))
	return slices.IndexFunc(chain, func(t model.Target) bool { return t.ID == owner })
}

// first returns the target of a consistent hash without a chain: the first active one.
func first(s *placement.Service, hash uint64) model.TargetID {
	return s.FullChain(placement.Admitting, placement.BucketOf(hash))[0].ID
}

// modulo returns the active target at the index hash modulo their number.
func modulo(s *placement.Service, hash uint64) model.TargetID {
	var active []model.TargetID
	for _, t := range s.Targets() {
		if t.State == model.TargetActive {
			active = append(active, t.ID)
		}
	}
	return active[hash%uint64(len(active))]
}
