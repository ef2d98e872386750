// Package soak runs the real programs of the datagram path as separate processes on loopback addresses, injects faults
// from outside by signals, lost data folders and lost packets, and checks what callers, targets and operators see.
//
// A plan is drawn from a seed before the run and saved, so that a failed one can be shortened by hand and played again.
package soak

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
)

// Kind is the kind of an event.
type Kind string

// Kinds of events. Planned work may not break an open flow; the others are faults.
const (
	TermEntry     Kind = "term_entry"      // planned: SIGTERM to entry VM Index, and a new process
	TermRelay     Kind = "term_relay"      // planned, for a relay
	TermStore     Kind = "term_store"      // planned, for a controller
	DrainTarget   Kind = "drain_target"    // planned: the target drains, ends and starts again under another ID
	ReplaceConfig Kind = "replace_config"  // planned: Count configurations in a row
	KillEntry     Kind = "kill_entry"      // SIGKILL, and a new process after ForMS
	KillRelay     Kind = "kill_relay"      // the same for a relay
	KillStore     Kind = "kill_store"      // the same for a controller
	WipeStore     Kind = "wipe_store"      // the same, with an empty data folder
	PauseEntry    Kind = "pause_entry"     // SIGSTOP for ForMS
	PauseRelay    Kind = "pause_relay"     // the same for a relay
	PauseStore    Kind = "pause_store"     // the same for a controller
	ReplaceStore  Kind = "replace_store"   // planned: an empty controller at another address; after ForMS, SIGTERM to the old one, for good
	ExchangeSeeds Kind = "exchange_seeds"  // planned: all settings name the controllers in another order, without number Index
	LoseStore     Kind = "lose_store"      // SIGKILL for good; after ForMS an empty controller at another address
	RemoveStore   Kind = "remove_store"    // as ReplaceStore, but SIGKILL to the old one
	KillStores    Kind = "kill_all_stores" // all controllers at once
	KillAll       Kind = "kill_all"        // all processes at once
	CrashTarget   Kind = "crash_target"    // the target ends without notice; another starts after ForMS
	LosePackets   Kind = "lose_packets"    // a share of Count percent of the callers' packets for ForMS
	EvacuateZone  Kind = "evacuate_zone"   // planned: zone Index is evacuated for ForMS
	UpgradeEntry  Kind = "upgrade_entry"   // planned: as TermEntry, and the new process is of the build under test
	UpgradeRelay  Kind = "upgrade_relay"   // planned, for a relay
	UpgradeStore  Kind = "upgrade_store"   // planned, for a controller
	RevertEntry   Kind = "revert_entry"    // planned: as UpgradeEntry, back to the production build
	RevertRelay   Kind = "revert_relay"    // planned, for a relay
	RevertStore   Kind = "revert_store"    // planned, for a controller
)

// Event is an entry of a plan.
type Event struct {
	AtMS  int  `json:"at_ms"` // from the start of traffic
	Kind  Kind `json:"kind"`
	Index int  `json:"index,omitempty"` // of the process or target, from 0
	ForMS int  `json:"for_ms,omitempty"`
	Count int  `json:"count,omitempty"`
	// Seeds are the controllers that ExchangeSeeds names in the deployment of five.
	Seeds []int `json:"seeds,omitempty"`
}

// planned reports whether the event is planned work.
func (e *Event) planned() bool {
	return slices.Contains([]Kind{
		TermEntry, TermRelay, TermStore, DrainTarget, ReplaceConfig, EvacuateZone, UpgradeEntry, UpgradeRelay, UpgradeStore,
		RevertEntry, RevertRelay, RevertStore, ReplaceStore, ExchangeSeeds,
	}, e.Kind)
}

// ofStore reports whether the event stops a controller for a time.
func (e *Event) ofStore() bool {
	return slices.Contains([]Kind{TermStore, KillStore, WipeStore, PauseStore, UpgradeStore, RevertStore, ReplaceStore, LoseStore, RemoveStore}, e.Kind)
}

// losesDisk reports whether a controller comes back without its disk, or another one takes its place.
func (e *Event) losesDisk() bool {
	return slices.Contains([]Kind{WipeStore, ReplaceStore, LoseStore, RemoveStore}, e.Kind)
}

// end returns the time at which the event is over.
func (e *Event) end() int { return e.AtMS + e.ForMS }

// Plan is the plan of a run.
type Plan struct {
	Seed       uint64     `json:"seed"`
	Deployment Deployment `json:"deployment,omitempty"`
	LengthMS   int        `json:"length_ms"` // of the part with events
	// Production says that all processes start as the production build.
	Production bool `json:"production,omitempty"`
	// Seeds are the controllers that the settings name at first in the deployment of five.
	Seeds  []int       `json:"seeds,omitempty"`
	Events []Event     `json:"events"`
	Final  *FinalFault `json:"final,omitempty"`
}

// Sizes that all deployments share.
const (
	entryCount = 3
	relayCount = 5
	// relaysOfX is the number of relays of service x, to which the route leads; the others are of service y.
	relaysOfX = 3
)

const (
	// eventsPerSecond is the mean rate of events in a plan.
	eventsPerSecond = 0.6
	maxFaultMS      = 2500
	// storeFaultGapMS is the least time between the end of a fault of one controller and the next one. A majority of
	// three bears one at a time.
	storeFaultGapMS = 3000
	// storeSyncMS is the same after the loss of a disk: the time to catch up, and that in which a process stops.
	storeSyncMS = 5000
	// evacuationMS is the length of an evacuation: the bound within which it must be obeyed, and some time to see that it is.
	evacuationMS = 8000
)

// NewPlan draws a plan for the deployment of three.
func NewPlan(seed uint64, lengthMS int) *Plan {
	r := rand.New(rand.NewPCG(seed, 1))
	p := &Plan{Seed: seed, LengthMS: lengthMS}
	l := p.layout()
	kinds := []Kind{
		TermEntry, TermRelay, TermStore, DrainTarget, ReplaceConfig, ReplaceConfig, KillEntry, KillRelay, KillStore, WipeStore,
		PauseEntry, PauseRelay, PauseStore, KillStores, KillAll, CrashTarget, LosePackets, EvacuateZone,
		ReplaceStore, LoseStore, ExchangeSeeds,
	}
	for range max(int(float64(lengthMS)/1000*eventsPerSecond), 1) {
		e := Event{AtMS: r.IntN(lengthMS), Kind: kinds[r.IntN(len(kinds))], ForMS: 200 + r.IntN(maxFaultMS)}
		switch e.Kind {
		case TermEntry, KillEntry, PauseEntry:
			e.Index = r.IntN(entryCount)
		case TermRelay, KillRelay, PauseRelay, DrainTarget, CrashTarget:
			e.Index = r.IntN(relayCount)
		case TermStore, KillStore, WipeStore, PauseStore, ReplaceStore, LoseStore, ExchangeSeeds:
			e.Index = r.IntN(l.stores)
		case ReplaceConfig:
			e.Count = 1 + r.IntN(5)
		case LosePackets:
			e.Count = 2 + r.IntN(20)
		case EvacuateZone:
			e.Index, e.ForMS = r.IntN(l.zones), evacuationMS
		}
		p.Events = append(p.Events, e)
	}
	p.order()
	return p
}

// upgradeShape is how far an upgrade goes.
type upgradeShape int

const (
	upgradeAll    upgradeShape = iota // every process, one after the other
	upgradeHalf                       // it stops halfway
	upgradeRevert                     // it stops halfway, and all return to the production build
	upgradeShapes
)

// NewUpgradePlan draws a plan in which the processes of the production build are replaced one after the other, in any
// order, beside the events of NewPlan.
func NewUpgradePlan(seed uint64, lengthMS int) *Plan {
	p := NewPlan(seed, lengthMS)
	p.Production = true
	l := p.layout()
	r := rand.New(rand.NewPCG(seed, 2))
	var upgrades []Event
	for kind, count := range map[Kind]int{UpgradeEntry: entryCount, UpgradeRelay: relayCount, UpgradeStore: l.stores} {
		for i := range count {
			upgrades = append(upgrades, Event{Kind: kind, Index: i})
		}
	}
	slices.SortFunc(upgrades, func(a, b Event) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Index, b.Index)) })
	r.Shuffle(len(upgrades), func(i, j int) { upgrades[i], upgrades[j] = upgrades[j], upgrades[i] })
	shape := upgradeShape(r.IntN(int(upgradeShapes)))
	if shape != upgradeAll {
		upgrades = upgrades[:len(upgrades)/2]
		// One controller stays, since the log is not taken to a later level before all have been replaced.
		kept := r.IntN(l.stores)
		upgrades = slices.DeleteFunc(upgrades, func(e Event) bool { return e.Kind == UpgradeStore && e.Index == kept })
	}
	if shape == upgradeRevert {
		reverted := map[Kind]Kind{UpgradeEntry: RevertEntry, UpgradeRelay: RevertRelay, UpgradeStore: RevertStore}
		for _, e := range slices.Clone(upgrades) {
			upgrades = append(upgrades, Event{Kind: reverted[e.Kind], Index: e.Index})
		}
	}
	for i := range upgrades {
		upgrades[i].AtMS = lengthMS * i / len(upgrades)
	}
	p.Events = append(p.Events, upgrades...)
	p.order()
	if shape == upgradeAll {
		last := p.Events[len(p.Events)-1].AtMS + storeFaultGapMS
		p.Events = append(p.Events, Event{AtMS: last, Kind: EvacuateZone, Index: r.IntN(l.zones), ForMS: evacuationMS})
	}
	return p
}

// order sorts the events by time, with enough time between faults of controllers.
func (p *Plan) order() {
	slices.SortStableFunc(p.Events, func(a, b Event) int { return cmp.Compare(a.AtMS, b.AtMS) })
	p.separateStoreFaults()
}

// separateStoreFaults delays faults of controllers that would take away a majority.
func (p *Plan) separateStoreFaults() {
	free := 0
	for i := range p.Events {
		e := &p.Events[i]
		if !e.ofStore() {
			continue
		}
		e.AtMS = max(e.AtMS, free)
		free = e.end() + storeFaultGapMS
		if e.Kind == WipeStore || e.Kind == ReplaceStore || e.Kind == LoseStore {
			free = e.end() + storeSyncMS
		}
	}
	slices.SortStableFunc(p.Events, func(a, b Event) int { return cmp.Compare(a.AtMS, b.AtMS) })
}

// Load reads a plan from a file.
func Load(file string) (*Plan, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read the plan")
	}
	p := &Plan{}
	if err := json.Unmarshal(data, p); err != nil {
		return nil, errors.Wrapf(err, "decode the plan %s", file)
	}
	return p, errors.Wrapf(p.validate(), "the plan %s", file)
}

// Save writes the plan to a file.
func (p *Plan) Save(file string) error {
	data, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the plan")
	}
	return errors.Wrap(os.WriteFile(file, append(data, '\n'), 0o600), "write the plan")
}
