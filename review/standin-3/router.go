package main

import (
	"encoding/binary"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// toFront routes all packets to one front.
func toFront(front *machine) func(flow end) netip.AddrPort {
	at := front.w.at(front.ip, datagramPort)
	return func(end) netip.AddrPort { return at }
}

// router stands in for the routers of a zone: it checks the readiness of its fronts twice per second, takes a front out of
// rotation after two misses, and uses all of them while fewer than half are in rotation. It hashes steadily.
type router struct {
	w      *world
	fronts []*machine

	mu     sync.Mutex
	misses []int
	used   []netip.AddrPort
}

func startRouter(w *world, fronts []*machine) *router {
	r := &router{w: w, fronts: fronts, misses: make([]int, len(fronts))}
	stop := make(chan struct{})
	w.cleanup(func() { close(stop) })
	r.check()
	go func() {
		for ticker := time.NewTicker(time.Second / 2); ; {
			select {
			case <-stop:
				ticker.Stop()
				return
			case <-ticker.C:
				r.check()
			}
		}
	}()
	return r
}

// check asks all fronts whether they are ready.
func (r *router) check() {
	var rotation, all []netip.AddrPort
	for i, f := range r.fronts {
		code, err := call(http.MethodGet, "http://"+r.w.at(f.ip, readyPort).String()+"/readiness", "", 400*time.Millisecond)
		r.mu.Lock()
		before := r.misses[i]
		if err == nil && code == http.StatusOK {
			r.misses[i] = 0
		} else {
			r.misses[i]++
		}
		out := r.misses[i] >= 2
		if out != (before >= 2) {
			r.w.recordf("router: %s is out of rotation: %t (readiness answered %d)", f.name, out, code)
		}
		r.mu.Unlock()
		at := r.w.at(f.ip, datagramPort)
		all = append(all, at)
		if !out {
			rotation = append(rotation, at)
		}
	}
	if 2*len(rotation) < len(all) {
		rotation = all
	}
	r.mu.Lock()
	r.used = rotation
	r.mu.Unlock()
}

// route returns the front of a flow.
func (r *router) route(flow end) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best netip.AddrPort
	highest := uint64(0)
	for _, at := range r.used {
		ip, client := at.Addr().As4(), flow.ip.As4()
		sum := xxhash.Sum64(binary.BigEndian.AppendUint16(append(ip[:], client[:]...), flow.port))
		if sum >= highest {
			best, highest = at, sum
		}
	}
	return best
}
