package soak

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Deployment names the sizes and bounds of the system that a plan is played on.
type Deployment string

// Deployments.
const (
	// Small has three controllers in two zones, one of which may be lost at a time.
	Small Deployment = ""
	// Five has five controllers in four zones, two of which may be lost at a time.
	Five Deployment = "five"
)

// layout are the sizes and bounds of a deployment.
type layout struct {
	stores, zones int
	// losses is the number of controllers that may be lost at once, which they are told; zero if they are not. Events of
	// controllers wait until no more are lost, see lossBudget.
	losses int
	// seedLag is the time after which the settings no longer name a controller that is gone.
	seedLag time.Duration
	// syncTime is the time for which a controller still counts as lost after its start.
	syncTime time.Duration
	// recoveryBound is the time after the last fault in which the system has to work again, and ackBound that in which it has
	// to accept a change from then on.
	recoveryBound, ackBound time.Duration
}

func (p *Plan) layout() layout {
	if p.Deployment == Five {
		return layout{
			stores: 5, zones: 4, losses: 2, seedLag: 3 * time.Second, syncTime: 6 * time.Second, recoveryBound: 15 * time.Second,
			ackBound: 6 * time.Second,
		}
	}
	return layout{stores: 3, zones: 2, seedLag: time.Second, recoveryBound: settleTime, ackBound: startTimeout}
}

// seedCount is the number of controllers that the settings name in the deployment of five.
const seedCount = 3

// validate checks a plan that may have been edited by hand.
func (p *Plan) validate() error {
	l := p.layout()
	if p.Deployment != Small && p.Deployment != Five {
		return errors.Newf("%q is no deployment", p.Deployment)
	}
	stores := func(places []int) bool {
		return !slices.ContainsFunc(places, func(i int) bool { return i < 0 || i >= l.stores })
	}
	for i, e := range p.Events {
		limit := map[Kind]int{
			TermEntry: entryCount, KillEntry: entryCount, PauseEntry: entryCount, TermRelay: relayCount, KillRelay: relayCount,
			PauseRelay: relayCount, DrainTarget: relayCount, CrashTarget: relayCount, TermStore: l.stores, KillStore: l.stores,
			WipeStore: l.stores, PauseStore: l.stores, ReplaceStore: l.stores, LoseStore: l.stores, RemoveStore: l.stores, ExchangeSeeds: l.stores,
			ReplaceConfig: 1, KillStores: 1, KillAll: 1, LosePackets: 1, EvacuateZone: l.zones, UpgradeEntry: entryCount,
			RevertEntry: entryCount, UpgradeRelay: relayCount, RevertRelay: relayCount, UpgradeStore: l.stores, RevertStore: l.stores,
		}[e.Kind]
		if e.Index < 0 || e.Index >= limit || e.AtMS < 0 || e.ForMS < 0 || !stores(e.Seeds) {
			return errors.Newf("event %d is invalid: %+v", i, e)
		}
	}
	if !stores(p.Seeds) {
		return errors.Newf("the first seeds are invalid: %v", p.Seeds)
	}
	if p.Final != nil {
		return p.Final.validate(l)
	}
	return nil
}
