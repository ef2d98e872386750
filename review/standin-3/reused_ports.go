package main

import (
	"fmt"
	"sync"
	"time"
)

// Figures of the case.
const (
	portCount  = 60
	firstPort  = 30000
	reuseAfter = 10 * time.Second // less than idleTimeoutMs
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 100 * time.Millisecond
	sideCount    = 6
)

// reusedPorts judges FLOW: clients use ports again whose flows have closed, and a front is restarted as planned.
func reusedPorts(w *world, trouble bool) error {
	zones := []string{"bog-a", "bog-b", "bog-c"}
	for n, zone := range zones {
		w.addCore(n+1, zone)
	}
	fronts := []*machine{w.addFront(1, zones[0]), w.addFront(2, zones[0]), w.addFront(3, zones[0])}
	for n := range sideCount {
		w.addSide(n+1, zones[n%3], "migrator-core")
	}
	if err := w.launchAll(); err != nil {
		return err
	}
	var endpoints []*endpoint
	for n := range sideCount {
		e, err := startEndpoint(w, endpointConfig{
			id: fmt.Sprintf("i-%d", n+1), service: "migrator-core", zone: zones[n%3], ip: w.ip(sideGroup, n+1), slots: 2, work: 15 * time.Millisecond,
			phase: heartbeatInterval,
		})
		if err != nil {
			return err
		}
		endpoints = append(endpoints, e)
	}
	config := `{"version":7,"routes":[{"name":"r-1","host":"` + w.service().ip.String() + `","pathPrefix":"/8443/","routeType":"unsafe","timeoutMs":1500,` +
		`"targetLatencyMs":250,"priority":1,"service":"migrator-core","maxAttempts":2}],"services":[{"name":"migrator-core","healthPath":"/health",` +
		`"maxConnections":2000,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,` +
		`"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
	if err := w.order("/Config.Replace", config); err != nil {
		return err
	}
	if err := w.awaitFronts(fronts...); err != nil {
		return err
	}
	time.Sleep(stableWindow)
	routers := startRouter(w, fronts)
	host, err := newClientHost(w, 1, routers.route, w.service())
	if err != nil {
		return err
	}
	open := func(finish bool) []*clientFlow {
		var mu sync.Mutex
		var flows []*clientFlow
		var wg sync.WaitGroup
		for n := range portCount {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 10 * time.Millisecond)
				f, o := host.openFrom(uint16(firstPort + n))
				if o == answered {
					o = f.request()
				}
				if o != answered {
					w.recordf("flow %s: %s", f.id, o)
					return
				}
				if finish {
					f.finish()
				}
				mu.Lock()
				flows = append(flows, f)
				mu.Unlock()
			})
		}
		wg.Wait()
		return flows
	}
	closed := open(true)
	w.recordf("%d flows had one request each and have closed, with a FIN of both ends", len(closed))
	time.Sleep(reuseAfter)
	flows := open(false)
	w.recordf("%d flows from the same ports are open, with one answered request each", len(flows))
	time.Sleep(time.Second)
	if trouble {
		w.recordf("%s gets SIGTERM, as in a rolling restart", fronts[0].name)
		fronts[0].terminate()
		w.recordf("%s has ended", fronts[0].name)
		time.Sleep(restartDelay)
		if err := fronts[0].launch(); err != nil {
			return err
		}
	} else {
		time.Sleep(3 * time.Second)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	broken, served := 0, 0
	for _, f := range flows {
		wg.Go(func() {
			o := f.request()
			mu.Lock()
			defer mu.Unlock()
			owner := ""
			for _, e := range endpoints {
				if e.hasOpen(f.local) {
					owner = e.cfg.id
				}
			}
			switch {
			case o == answered:
				served++
			case o == wasReset && owner != "":
				broken++
				w.recordf("flow %s: the client got a reset; %s still has the flow open", f.id, owner)
			default:
				w.recordf("flow %s: %s; open at %q", f.id, o, owner)
			}
		})
	}
	wg.Wait()
	w.recordf("%d flows: a further request was answered on %d, %d were reset while their endpoint had them open", len(flows), served, broken)
	if broken > 0 {
		return fmt.Errorf("%w: FLOW: %d clients got a reset on an open flow that its endpoint did not send, while the endpoint lives", errBroken, broken)
	}
	return nil
}
