package soak

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/loopback"
	"github.com/greengagelock/greengagelock/platform/standin"
)

const (
	// startTimeout bounds the start of the whole system.
	startTimeout = 30 * time.Second
	// settleTime is the time after the last event before the recovery of the deployment of three is judged, and recoveryWindow
	// the time in which the requests then count. recoveryShare of them have to be answered.
	settleTime     = 10 * time.Second
	recoveryWindow = 4 * time.Second
	recoveryShare  = 0.9
	// pollInterval is the time between two looks at readiness, and at the configuration in force.
	pollInterval = 200 * time.Millisecond
	callerCount  = 24
	// bindTimeout bounds the time in which the address of a target may be in use, and bindRetryInterval is the time
	// between two attempts.
	bindTimeout       = 2 * time.Second
	bindRetryInterval = 5 * time.Millisecond
	// drainTime is the time between the acknowledgement of a drain and the end of the target.
	drainTime = 1500 * time.Millisecond
	// entryVersionMetric is the version of the configuration that an entry VM has in force.
	entryVersionMetric = "greengagelock_entry_config_version"
)

// Config configures a run.
type Config struct {
	// Binary is the daemon, Dir an existing folder for the plan, settings, logs and the result.
	Binary, Dir string
	// Production is the daemon of the production build, which plans of upgrades need.
	Production string
	// Untimed leaves out the checks that a slow machine could fail: the bounds of time for configurations, for the end of
	// a process and for recovery.
	Untimed bool
}

// Result is the result of a run.
type Result struct {
	Plan       *Plan    `json:"plan"`
	Violations []string `json:"violations"`
	// Notes are resets of flows whose target lived, in the time of faults.
	Notes  []string `json:"notes"`
	Counts Counts   `json:"counts"`
	// Evacuations are the evacuations that were acknowledged.
	Evacuations int `json:"evacuations"`
	// VersionsSeen is the number of times that an entry VM told which configuration it has in force.
	VersionsSeen int `json:"versions_seen"`
	// Restored says that the newest acknowledged configuration was in force and another one accepted after the last fault.
	Restored bool `json:"restored,omitempty"`
	// Asked and Served are the requests after the system had time to recover.
	Asked  int `json:"asked"`
	Served int `json:"served"`
}

// run is a run in progress.
type run struct {
	plan           *Plan
	d              *deployment
	check          *checker
	membership     sync.Mutex // held while the following fields change
	stores         []*program // by index of events; a successor takes the place of the controller that it replaces
	storesAdded    int
	named          []netip.Addr // by index of events: the controllers as the settings name them
	seeds          []int        // the controllers that the settings name
	seedWriting    sync.Mutex   // held while settings are written
	losses         *lossBudget
	killing        sync.Mutex // held while processes are killed at the same time
	entries        []*program
	relays         []*program
	targets        []*targetSlot
	router         *router
	version        atomic.Uint64 // of the newest configuration sent
	accepted       acceptedVersions
	operator       sync.Mutex   // held while a configuration is sent
	unavailable    bool         // a configuration was not accepted in time
	evacuations    atomic.Int64 // that were acknowledged
	versionsSeen   atomic.Int64
	evacuating     sync.Mutex // held during an evacuation; one zone at a time keeps targets for the callers
	restored       bool
	evacuatedAtEnd string         // the zone that is evacuated before the final fault
	lastID         atomic.Uint64  // of requests
	incarnations   atomic.Uint64  // numbers the incarnations of targets
	background     sync.WaitGroup // callers, the observer, and checks of configurations
}

// targetSlot is the VM of a target.
type targetSlot struct {
	mu      sync.Mutex
	target  *standin.Target
	leaving bool // it has ended, or drains and ends soon

	replacing sync.Mutex // held while the next incarnation starts, so that two events do not overlap
}

func (s *targetSlot) current() (t *standin.Target, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.target, s.leaving
}

// leave marks the target as one that has ended or ends soon, and returns it.
func (s *targetSlot) leave() *standin.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	return s.target
}

// Run plays a plan. Violations are part of the result; an error says that the run could not be made.
func Run(ctx context.Context, cfg Config, plan *Plan) (*Result, error) {
	if plan.Production && cfg.Production == "" {
		return nil, errors.New("the plan needs the daemon of the production build")
	}
	if err := plan.Save(filepath.Join(cfg.Dir, "plan.json")); err != nil {
		return nil, err
	}
	block, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	defer func() { _ = block.Close() }()
	check := newChecker()
	r := &run{plan: plan, check: check, losses: newLossBudget(plan.layout()), d: &deployment{
		binary: cfg.Binary, production: cfg.Production, dir: cfg.Dir, untimed: cfg.Untimed, layout: plan.layout(), block: block, check: check,
		processes: map[string]*program{},
	}}
	r.router = &router{run: r}
	defer r.stopAll()
	if err := r.startAll(ctx); err != nil {
		return nil, err
	}
	r.play(ctx)
	asked, served := r.awaitRecovery(ctx)
	if !cfg.Untimed && (float64(served) < recoveryShare*float64(asked) || asked == 0) {
		check.violate("%d of %d requests were answered after the last fault and %v", served, asked, r.d.layout.recoveryBound)
	}
	violations, notes, counts := check.result()
	return &Result{
		Plan: plan, Violations: violations, Notes: notes, Counts: counts, Asked: asked, Served: served,
		Evacuations: int(r.evacuations.Load()), VersionsSeen: int(r.versionsSeen.Load()), Restored: r.restored,
	}, ctx.Err()
}

func (r *run) startAll(ctx context.Context) error {
	if err := r.addFirstStores(); err != nil {
		return err
	}
	for i := range entryCount {
		r.entries = append(r.entries, r.d.add("entry", entryGroup, i, map[string]any{
			"callers": r.d.address(entryGroup, i, callerPort), "readiness": r.d.address(entryGroup, i, readinessPort),
		}))
	}
	for i := range relayCount {
		r.relays = append(r.relays, r.d.add("relay", relayGroup, i, map[string]any{
			"callers": r.d.address(relayGroup, i, callerPort), "heartbeats": r.d.address(relayGroup, i, operatorPort), "service": serviceOf(i),
			"target": r.d.address(relayGroup, i, targetPort), "from_target": r.d.address(relayGroup, i, outboundPort),
			"heartbeat_ms": int(heartbeatInterval.Milliseconds()),
		}))
	}
	for _, p := range r.d.list() {
		p.setOld(r.plan.Production)
		if err := p.start(); err != nil {
			return err
		}
	}
	for i := range relayCount {
		r.targets = append(r.targets, &targetSlot{})
		if err := r.startTarget(i); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	r.replaceConfig(ctx)
	for r.router.poll(ctx) < entryCount {
		if !ctxtime.Sleep(ctx, pollInterval) {
			return errors.New("the system did not start in time")
		}
	}
	return nil
}

func serviceOf(relay int) string {
	if relay < relaysOfX {
		return "x"
	}
	return "y"
}

// startTarget starts another incarnation of a target. Its address may be in use for a moment: a process that is being
// started holds the closed sockets of this one until it runs its own program.
func (r *run) startTarget(i int) error {
	err := r.tryStartTarget(i)
	for deadline := time.Now().Add(bindTimeout); err != nil && time.Now().Before(deadline); err = r.tryStartTarget(i) {
		time.Sleep(bindRetryInterval)
	}
	return err
}

func (r *run) tryStartTarget(i int) error {
	id := fmt.Sprintf("i-%d-%d", i, r.incarnations.Add(1))
	t, err := standin.StartTarget(standin.TargetConfig{
		ID: id, Service: serviceOf(i), Number: i + 1,
		Address: r.d.address(relayGroup, i, targetPort), Outbound: r.d.address(relayGroup, i, outboundPort),
		Heartbeats: r.d.address(relayGroup, i, operatorPort), HeartbeatInterval: heartbeatInterval,
		Answer: func(request []byte) []byte {
			if len(request) != requestBytes {
				r.check.violate("target %s got a request of %d bytes", id, len(request))
				return []byte{0}
			}
			r.check.recordRun(binary.BigEndian.Uint64(request), id)
			return request
		},
		Invalid: func(err error) { r.check.violate("target %s got an invalid packet: %v", id, err) },
	})
	if err != nil {
		return err
	}
	s := r.targets[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.target, s.leaving = t, false
	return nil
}

// stopAll ends everything that the run has started.
func (r *run) stopAll() {
	for _, s := range r.targets {
		if t, _ := s.current(); t != nil {
			t.Stop()
		}
	}
	for _, p := range r.d.list() {
		if p.command != nil {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
}

// play starts callers and observers, and plays the events. The callers go on until awaitRecovery has ended.
func (r *run) play(ctx context.Context) {
	for i := range callerCount {
		r.background.Go(func() { r.runCaller(ctx, i) })
	}
	r.background.Go(func() { r.observe(ctx) })
	r.background.Go(func() { r.observeReads(ctx) })
	start := time.Now()
	var work sync.WaitGroup
	for _, e := range r.plan.Events {
		ctxtime.Sleep(ctx, time.Until(start.Add(time.Duration(e.AtMS)*time.Millisecond)))
		work.Go(func() { r.playEvent(ctx, e) })
	}
	ctxtime.Sleep(ctx, time.Until(start.Add(time.Duration(r.plan.LengthMS)*time.Millisecond)))
	work.Wait()
	if r.plan.Final != nil {
		r.playFinal(ctx)
	}
}

// awaitRecovery waits until the system has had time to recover, and returns the requests that began then.
func (r *run) awaitRecovery(ctx context.Context) (asked, served int) {
	var restored sync.WaitGroup
	if r.plan.Deployment == Five {
		restored.Go(func() { r.checkRestored(ctx) })
	}
	ctxtime.Sleep(ctx, r.d.layout.recoveryBound)
	from := time.Now()
	opened := r.openedIn(r.evacuatedAtEnd)
	ctxtime.Sleep(ctx, recoveryWindow)
	r.checkEvacuationKept(opened)
	restored.Wait()
	r.router.stop.Store(true)
	r.background.Wait()
	return r.check.servedSince(from)
}

// playEvent plays one event. It returns when it is over.
func (r *run) playEvent(ctx context.Context, e Event) {
	if e.ofStore() {
		r.losses.begin(ctx, e.Index, e.losesDisk())
	}
	if !e.planned() {
		r.check.beginFault()
		defer r.check.endFault()
	}
	pause := func() { ctxtime.Sleep(ctx, time.Duration(e.ForMS)*time.Millisecond) }
	switch e.Kind {
	case TermEntry:
		r.restart(r.entries[e.Index], (*program).terminate, func() {})
	case TermRelay:
		r.restart(r.relays[e.Index], (*program).terminate, func() {})
	case TermStore, KillStore, WipeStore, PauseStore, UpgradeStore, RevertStore, ReplaceStore, LoseStore, RemoveStore:
		r.playStoreEvent(e, pause)
	case UpgradeEntry, RevertEntry:
		r.changeBuild(r.entries[e.Index], e.Kind == RevertEntry)
	case UpgradeRelay, RevertRelay:
		r.changeBuild(r.relays[e.Index], e.Kind == RevertRelay)
	case EvacuateZone:
		r.evacuate(ctx, e.Index, pause)
	case KillEntry:
		r.restart(r.entries[e.Index], (*program).kill, pause)
	case KillRelay:
		r.restart(r.relays[e.Index], (*program).kill, pause)
	case PauseEntry, PauseRelay:
		p := map[Kind][]*program{PauseEntry: r.entries, PauseRelay: r.relays}[e.Kind][e.Index]
		p.signal(syscall.SIGSTOP)
		pause()
		p.signal(syscall.SIGCONT)
	case ExchangeSeeds:
		r.exchangeSeeds(e)
	case KillStores:
		r.restartMany(r.runningStores(), pause)
		r.losses.restartSync()
	case KillAll:
		r.restartMany(slices.Concat(r.runningStores(), r.entries, r.relays), pause)
		r.losses.restartSync()
	case DrainTarget:
		r.drainTarget(ctx, e.Index)
	case CrashTarget:
		r.targets[e.Index].leave().Stop()
		pause()
		r.startNextTarget(e.Index)
	case ReplaceConfig:
		for range e.Count {
			r.replaceConfig(ctx)
		}
	case LosePackets:
		r.router.lossPercent.Add(int64(e.Count))
		pause()
		r.router.lossPercent.Add(-int64(e.Count))
	}
}

// restart ends a process and starts another one in its place.
func (r *run) restart(p *program, end func(*program), between func()) {
	p.restarting.Lock()
	defer p.restarting.Unlock()
	p.signal(syscall.SIGCONT) // a paused process cannot end
	end(p)
	between()
	if p.isRetired() {
		return
	}
	if err := p.start(); err != nil {
		r.check.violate("%v", err)
	}
}

// changeBuild stops a process as planned and starts one of another build in its place.
func (r *run) changeBuild(p *program, old bool) {
	r.restart(p, (*program).terminate, func() { p.setOld(old) })
}

// restartMany kills processes at the same time and starts others in their place.
func (r *run) restartMany(programs []*program, between func()) {
	r.killing.Lock()
	defer r.killing.Unlock()
	var all, ended sync.WaitGroup
	ended.Add(len(programs))
	for _, p := range programs {
		all.Go(func() {
			r.restart(p, func(p *program) { p.kill(); ended.Done() }, func() { ended.Wait(); between() })
		})
	}
	all.Wait()
}

// drainTarget drains a target, ends it after the platform's time, and starts another one.
func (r *run) drainTarget(ctx context.Context, i int) {
	t := r.targets[i].leave()
	t.Drain()
	for deadline := time.Now().Add(stableWindow); !t.DrainAcknowledged() && time.Now().Before(deadline); {
		ctxtime.Sleep(ctx, pollInterval)
	}
	ctxtime.Sleep(ctx, drainTime)
	t.Stop()
	r.startNextTarget(i)
}

func (r *run) startNextTarget(i int) {
	r.targets[i].replacing.Lock()
	defer r.targets[i].replacing.Unlock()
	r.targets[i].leave().Stop() // another event may have started it meanwhile
	if err := r.startTarget(i); err != nil {
		r.check.violate("%v", err)
	}
}

// observe polls readiness, checks that no process goes back to an older configuration, and checks their resources.
func (r *run) observe(ctx context.Context) {
	type process struct {
		name  string
		start int
	}
	newest := map[process]float64{}
	for ctxtime.Sleep(ctx, pollInterval) && !r.router.stop.Load() {
		r.router.poll(ctx)
		for _, p := range r.entries {
			inForce, start, ok := p.metric(ctx, entryVersionMetric)
			if ok {
				r.versionsSeen.Add(1)
			}
			id := process{p.name, start}
			if ok && inForce < newest[id] {
				r.check.violate("%s went from configuration %v back to %v", p.name, newest[id], inForce)
			}
			newest[id] = max(newest[id], inForce)
			mismatches, _, ok := p.metric(ctx, "greengagelock_entry_list_mismatches_total")
			if ok && mismatches > 0 {
				r.check.violate("%s had %v lists of targets that differed from the controllers'", p.name, mismatches)
			}
		}
		for _, p := range r.d.list() {
			p.checkResources()
		}
	}
}

// router chooses the entry VM for a packet among those that were ready at the last look, as routers do.
type router struct {
	run         *run
	mu          sync.Mutex
	ready       []netip.AddrPort
	lossPercent atomic.Int64
	stop        atomic.Bool
}

// poll asks all entry VMs whether they are ready, and returns how many are.
func (o *router) poll(ctx context.Context) int {
	var ready []netip.AddrPort
	for i := range entryCount {
		asking, cancel := context.WithTimeout(ctx, pollInterval)
		if standin.Ready(asking, o.run.d.address(entryGroup, i, readinessPort)) {
			ready = append(ready, o.run.d.address(entryGroup, i, callerPort))
		}
		cancel()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ready = ready
	return len(ready)
}

// route returns the entry VM for a packet of a flow.
func (o *router) route(hash uint64) (netip.AddrPort, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.ready) == 0 || rand.Int64N(100) < o.lossPercent.Load() {
		return netip.AddrPort{}, false
	}
	return o.ready[hash%uint64(len(o.ready))], true
}
