package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/platform/standin"
)

const (
	// readInterval is the time between two reads of the configuration by the operator.
	readInterval = 300 * time.Millisecond
	// readTimeout is the time after which the operator gives a read up.
	readTimeout = 2 * time.Second
)

// acceptedVersions are the configurations that controllers have acknowledged.
type acceptedVersions struct {
	mu     sync.Mutex
	newest uint64
	at     time.Time
}

func (a *acceptedVersions) add(version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version > a.newest {
		a.newest, a.at = version, time.Now()
	}
}

// last returns the newest version that was acknowledged so far, and when.
func (a *acceptedVersions) last() (version uint64, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.newest, a.at
}

// replaceConfig sends the next configuration to one controller after the other until it is accepted, and reports whether
// that happened in time.
func (r *run) replaceConfig(ctx context.Context) bool {
	r.operator.Lock()
	defer r.operator.Unlock()
	if r.unavailable {
		return false // reported once
	}
	version := r.version.Add(1)
	sent, limit := time.Now(), r.d.layout.recoveryBound+r.d.layout.ackBound
	for ctx.Err() == nil {
		to := r.storeAddress(rand.IntN(r.d.layout.stores))
		code, err := standin.ReplaceConfig(ctx, to, version, "x")
		switch {
		case err == nil && code == http.StatusOK:
			r.accepted.add(version)
			r.background.Go(func() { r.checkInForce(ctx, version) })
			return true
		case err == nil && code >= 400 && code < 500:
			r.check.violate("the valid configuration %d was refused with %d", version, code)
			return false
		case min(r.check.calmFor(), time.Since(sent)) > limit:
			r.unavailable = true
			r.check.violate("the valid configuration %d was not accepted within %v of the last fault", version, limit)
			return false
		}
		ctxtime.Sleep(ctx, pollInterval)
	}
	return false
}

// checkInForce checks that an accepted configuration is read by all controllers at once, and in force at all entry VMs
// after the bound.
func (r *run) checkInForce(ctx context.Context, version uint64) {
	for i := range r.d.layout.stores {
		if read := standin.ReadConfig(ctx, r.storeAddress(i)); read != 0 && read < version {
			r.check.violate("controller %d returned configuration %d after %d had been accepted", i, read, version)
		}
	}
	if r.d.untimed || !ctxtime.Sleep(ctx, configBound) || !r.check.isStable() {
		return
	}
	for _, p := range r.entries {
		inForce, start, ok := p.metric(ctx, entryVersionMetric)
		if p.runsLongerThan(stableWindow, start) && ok && uint64(inForce) < version && r.check.isStable() {
			r.check.violate("%s has configuration %v in force %v after %d was accepted", p.name, inForce, configBound, version)
		}
	}
}

// observeReads reads the configuration at one controller after the other until the run ends. No read may return an older
// version than the newest that was acknowledged before it was sent, or none.
func (r *run) observeReads(ctx context.Context) {
	for ctxtime.Sleep(ctx, readInterval) && !r.router.stop.Load() {
		r.readOnce(ctx, rand.IntN(r.d.layout.stores))
	}
}

// readOnce reads the configuration at a controller, checks it, and returns its version, or zero if none came.
func (r *run) readOnce(ctx context.Context, index int) uint64 {
	acknowledged, at := r.accepted.last()
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	p := r.store(index)
	version, code, err := standin.QueryConfig(ctx, operatorAddress(p))
	switch {
	case err != nil || code >= http.StatusInternalServerError:
		return 0
	case code != http.StatusOK && acknowledged > 0:
		r.check.violate("%s answered a read with %d, which was sent %v after configuration %d was acknowledged", p.name, code, sent.Sub(at), acknowledged)
	case version < acknowledged:
		r.check.violate("%s returned configuration %d to a read that was sent %v after %d was acknowledged", p.name, version, sent.Sub(at), acknowledged)
	}
	return version
}
