package soak

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// addFirstStores adds the controllers that are started together with the whole system.
func (r *run) addFirstStores() error {
	l := r.d.layout
	r.seeds = r.plan.Seeds
	if len(r.seeds) == 0 {
		r.seeds = []int{0, 1, 2}
	}
	for i := range l.stores {
		r.named = append(r.named, r.d.address(storeGroup, i, operatorPort).Addr())
	}
	r.d.seeds = r.seedAddresses()
	for i := range l.stores {
		p, err := r.addStore(i)
		if err != nil {
			return err
		}
		r.stores = append(r.stores, p)
	}
	return nil
}

// playStoreEvent plays an event of one controller.
func (r *run) playStoreEvent(e Event, pause func()) {
	p := r.store(e.Index)
	switch e.Kind {
	case TermStore:
		r.restart(p, (*program).terminate, func() {})
	case UpgradeStore, RevertStore:
		r.changeBuild(p, e.Kind == RevertStore)
	case KillStore:
		r.restart(p, (*program).kill, pause)
	case WipeStore:
		r.restart(p, (*program).kill, func() { r.emptyDisk(p); pause() })
	case PauseStore:
		p.signal(syscall.SIGSTOP)
		pause()
		p.signal(syscall.SIGCONT)
	case ReplaceStore, LoseStore, RemoveStore:
		r.replaceStore(e, pause)
		return
	}
	r.losses.end(e.Index, time.Now())
}

// emptyDisk empties the data folder of a controller that does not run.
func (r *run) emptyDisk(p *program) {
	if err := errors.CombineErrors(os.RemoveAll(p.folder), os.MkdirAll(p.folder, 0o700)); err != nil {
		r.check.violate("cannot empty %s: %v", p.folder, err)
	}
}

// addStore adds a controller at an address of its own in the zone of a place, without starting it.
func (r *run) addStore(place int) (*program, error) {
	i := r.storesAdded
	r.storesAdded++
	folder := filepath.Join(r.d.dir, fmt.Sprintf("data-%d", i))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, errors.Wrap(err, "create a data folder")
	}
	p := r.d.add("store", storeGroup, i, map[string]any{
		"operators": r.d.address(storeGroup, i, operatorPort), "data_dir": folder, "zone": r.d.zoneOf(place),
	})
	p.number, p.folder = i, folder
	return p, nil
}

// store returns the controller that has the place with the given index now.
func (r *run) store(i int) *program {
	r.membership.Lock()
	defer r.membership.Unlock()
	return r.stores[i]
}

// allStores returns the controllers that have a place now.
func (r *run) allStores() []*program {
	r.membership.Lock()
	defer r.membership.Unlock()
	return slices.Clone(r.stores)
}

// storeAddress returns the address for operators of the controller with the given index.
func (r *run) storeAddress(i int) netip.AddrPort {
	return operatorAddress(r.store(i))
}

func operatorAddress(p *program) netip.AddrPort { return netip.AddrPortFrom(p.ip, operatorPort) }

// replaceStore replaces a controller for good by an empty one at another address. The successor starts first, unless the
// controller is lost.
func (r *run) replaceStore(e Event, pause func()) {
	i, successorFirst := e.Index, e.Kind != LoseStore
	replaced := r.store(i)
	r.membership.Lock()
	successor, err := r.addStore(i)
	r.membership.Unlock()
	if err != nil {
		r.check.violate("%v", err)
		return
	}
	successor.joins = true
	successor.setOld(replaced.isOld())
	var back time.Time
	start := func() {
		back = time.Now()
		if err := successor.start(); err != nil {
			r.check.violate("%v", err)
		}
	}
	if successorFirst {
		start()
		pause()
	}
	replaced.restarting.Lock() // beside a restart of all
	replaced.retire()
	replaced.signal(syscall.SIGCONT) // a paused process cannot end
	if e.Kind == ReplaceStore {
		replaced.terminate()
	} else {
		replaced.kill()
	}
	replaced.restarting.Unlock()
	switch e.Kind {
	case LoseStore:
		pause()
		start()
	case RemoveStore:
		back = time.Now() // nobody could know before that it would be removed
	}
	r.membership.Lock()
	r.stores[i] = successor
	r.membership.Unlock()
	r.losses.end(i, back)
	r.background.Go(func() {
		time.Sleep(r.d.layout.seedLag)
		r.membership.Lock()
		r.named[i] = successor.ip
		r.membership.Unlock()
		r.writeSeeds()
	})
}

// exchangeSeeds names other controllers in all settings. In the deployment of three these are all but one.
func (r *run) exchangeSeeds(e Event) {
	seeds := e.Seeds
	if len(seeds) == 0 {
		for i := range r.d.layout.stores {
			if i != e.Index {
				seeds = append(seeds, i)
			}
		}
		slices.Reverse(seeds)
	}
	r.membership.Lock()
	r.seeds = seeds
	r.membership.Unlock()
	r.writeSeeds()
}

// seedAddresses returns the addresses of the controllers that the settings name.
func (r *run) seedAddresses() []string {
	r.membership.Lock()
	defer r.membership.Unlock()
	var seeds []string
	for _, i := range r.seeds {
		seeds = append(seeds, netip.AddrPortFrom(r.named[i], operatorPort).String())
	}
	return seeds
}

// writeSeeds writes the seeds into the settings of all processes, and of those that are added later.
func (r *run) writeSeeds() {
	r.seedWriting.Lock()
	defer r.seedWriting.Unlock()
	seeds := r.seedAddresses()
	r.d.mu.Lock()
	r.d.seeds = seeds
	r.d.mu.Unlock()
	for _, p := range r.d.list() {
		if err := p.setSeeds(seeds); err != nil {
			r.check.violate("%v", err)
		}
	}
}
