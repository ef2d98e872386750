package main

import (
	"fmt"
	"time"
)

const (
	flowCount = 24
	// watchTime is the time for which idle flows are watched.
	watchTime = 3 * time.Second
	// stableWindow is stableWindowMs: after it, machines that were started are in touch.
	stableWindow = 4 * time.Second
)

var pairZones = []string{"bog-a", "bog-b", "bog-c"}

// pair is a small deployment: three controllers, one front, and two endpoints of one service with their nodes.
type pair struct {
	w             *world
	withoutBorn   bool
	host          *clientHost
	node          *machine // beside the first endpoint
	first, second *endpoint
}

func (d *pair) endpoint(id string, number int) endpointConfig {
	return endpointConfig{
		id: id, service: "migrator-core", zone: pairZones[number-1], ip: d.w.ip(sideGroup, number), slots: 2, work: 15 * time.Millisecond,
		phase: heartbeatInterval, withoutBorn: d.withoutBorn,
	}
}

// startPair starts the deployment and waits until all machines are in touch.
func startPair(w *world, withoutBorn bool) (*pair, error) {
	for n, zone := range pairZones {
		w.addCore(n+1, zone)
	}
	d := &pair{w: w, withoutBorn: withoutBorn}
	front := w.addFront(1, pairZones[0])
	d.node = w.addSide(1, pairZones[0], "migrator-core")
	w.addSide(2, pairZones[1], "migrator-core")
	if err := w.launchAll(); err != nil {
		return nil, err
	}
	var err error
	if d.first, err = startEndpoint(w, d.endpoint("i-first", 1)); err != nil {
		return nil, err
	}
	if d.second, err = startEndpoint(w, d.endpoint("i-second", 2)); err != nil {
		return nil, err
	}
	config := `{"version":7,"routes":[{"name":"r-1","host":"198.18.0.1","pathPrefix":"/8443/","routeType":"unsafe","timeoutMs":1500,` +
		`"targetLatencyMs":250,"priority":1,"service":"migrator-core","maxAttempts":2}],"services":[{"name":"migrator-core","healthPath":"/health",` +
		`"maxConnections":2000,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,` +
		`"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
	if err := w.order("/Config.Replace", config); err != nil {
		return nil, err
	}
	if err := w.awaitFronts(front); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow)
	d.host, err = newClientHost(w, 1, toFront(front), end{addressOf(0xc6120001), 8443})
	return d, err
}

// openFlows opens flows with one answered request each, some of them at the endpoint in question.
func (d *pair) openFlows(e, other *endpoint) ([]*clientFlow, error) {
	var flows []*clientFlow
	for range flowCount {
		f, o := d.host.open()
		if o == answered {
			o = f.request()
		}
		if o != answered {
			d.w.recordf("flow %s: %s", f.id, o)
			continue
		}
		flows = append(flows, f)
	}
	here, there := 0, 0
	for _, f := range flows {
		switch {
		case e.hasOpen(f.local):
			here++
		case other.hasOpen(f.local):
			there++
		}
	}
	d.w.recordf("%d flows are open at %s and %d at %s; one request was answered on each", here, e.cfg.id, there, other.cfg.id)
	if here == 0 {
		return nil, fmt.Errorf("no flow is open at %s", e.cfg.id)
	}
	return flows, nil
}

// watchFlows waits for resets of idle flows, and returns how many were reset although their endpoint has them.
func watchFlows(w *world, flows []*clientFlow, e *endpoint) int {
	type seen struct {
		f     *clientFlow
		at    time.Time
		reset bool
	}
	results := make(chan seen, len(flows))
	for _, f := range flows {
		go func() {
			_, reset := f.awaitReset(watchTime)
			results <- seen{f, time.Now(), reset}
		}()
	}
	broken, served := 0, 0
	for range flows {
		s := <-results
		switch {
		case s.reset && e.hasOpen(s.f.local):
			broken++
			w.recordf("flow %s: the client got a reset; %s still has the flow open", s.f.id, e.cfg.id)
		case s.reset:
			w.recordf("flow %s: the client got a reset; its endpoint does not have the flow", s.f.id)
		case s.f.request() == answered:
			served++
		default:
			w.recordf("flow %s: a further request was not answered", s.f.id)
		}
	}
	w.recordf("%d flows: %d were reset while %s had them open, a further request was answered on %d", len(flows), broken, e.cfg.id, served)
	return broken
}
