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

// seedLag is the time after which the settings no longer name a controller that is gone.
const seedLag = time.Second

// addStore adds a controller at an address of its own, without starting it.
func (r *run) addStore() (*program, error) {
	i := r.storesAdded
	r.storesAdded++
	folder := filepath.Join(r.d.dir, fmt.Sprintf("data-%d", i))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, errors.Wrap(err, "create a data folder")
	}
	return r.d.add("store", storeGroup, i, map[string]any{
		"operators": r.d.address(storeGroup, i, operatorPort), "data_dir": folder,
	}), nil
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
	return netip.AddrPortFrom(r.store(i).ip, operatorPort)
}

// replaceStore replaces a controller for good by an empty one at another address. As planned, the successor starts first.
func (r *run) replaceStore(i int, planned bool, pause func()) {
	replaced := r.store(i)
	r.membership.Lock()
	successor, err := r.addStore()
	r.membership.Unlock()
	if err != nil {
		r.check.violate("%v", err)
		return
	}
	successor.joins = true
	successor.setOld(replaced.isOld())
	successor.settings["controllers"] = r.seeds(-1)
	start := func() {
		if err := successor.start(); err != nil {
			r.check.violate("%v", err)
		}
	}
	if planned {
		start()
		pause()
	}
	replaced.restarting.Lock() // beside a restart of all
	replaced.retire()
	replaced.signal(syscall.SIGCONT) // a paused process cannot end
	if planned {
		replaced.terminate()
	} else {
		replaced.kill()
	}
	replaced.restarting.Unlock()
	if !planned {
		pause()
		start()
	}
	r.membership.Lock()
	r.stores[i] = successor
	r.membership.Unlock()
	time.Sleep(seedLag)
	r.writeSeeds(r.seeds(-1))
}

// exchangeSeeds names other controllers in all settings, without one of them.
func (r *run) exchangeSeeds(without int) { r.writeSeeds(r.seeds(without)) }

// seeds returns the addresses of the controllers, without the one with the given index.
func (r *run) seeds(without int) []string {
	var seeds []string
	for i, p := range r.allStores() {
		if i != without {
			seeds = append(seeds, netip.AddrPortFrom(p.ip, operatorPort).String())
		}
	}
	slices.Reverse(seeds)
	return seeds
}

func (r *run) writeSeeds(seeds []string) {
	for _, p := range r.d.list() {
		if err := p.setSeeds(seeds); err != nil {
			r.check.violate("%v", err)
		}
	}
}
