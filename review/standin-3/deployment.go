package main

import (
	"fmt"
	"time"
)

const (
	// endpointCount is the number of endpoints of the service on the site.
	endpointCount = 7
	flowCount     = 84
	// watchTime is the time for which idle flows are watched.
	watchTime = 3 * time.Second
	// stableWindow is stableWindowMs: after it, machines that were started are in touch.
	stableWindow = 4 * time.Second
)

var coreZones = []string{"bog-a", "bog-b", "bog-c"}

// deployment is a small one: three controllers, one front, and the endpoints of one service with their nodes.
type deployment struct {
	w           *world
	withoutBorn bool
	host        *clientHost
	node        *machine    // beside endpoint number 1
	endpoints   []*endpoint // all but number 1
}

func (d *deployment) endpoint(id string, number int) endpointConfig {
	return endpointConfig{
		id: id, service: "migrator-core", zone: coreZones[number%len(coreZones)], ip: d.w.ip(sideGroup, number), slots: 2, work: 15 * time.Millisecond,
		phase: heartbeatInterval, withoutBorn: d.withoutBorn,
	}
}

// startDeployment starts everything but endpoint number 1, and waits until all machines are in touch.
func startDeployment(w *world, withoutBorn bool) (*deployment, error) {
	for n, zone := range coreZones {
		w.addCore(n+1, zone)
	}
	d := &deployment{w: w, withoutBorn: withoutBorn}
	front := w.addFront(1, coreZones[0])
	for n := range endpointCount {
		side := w.addSide(n+1, coreZones[(n+1)%len(coreZones)], "migrator-core")
		if n == 0 {
			d.node = side
		}
	}
	if err := w.launchAll(); err != nil {
		return nil, err
	}
	for n := 2; n <= endpointCount; n++ {
		e, err := startEndpoint(w, d.endpoint(fmt.Sprintf("i-other-%d", n), n))
		if err != nil {
			return nil, err
		}
		d.endpoints = append(d.endpoints, e)
	}
	config := `{"version":7,"routes":[{"name":"r-1","host":"` + w.service().ip.String() + `","pathPrefix":"/8443/","routeType":"unsafe","timeoutMs":1500,` +
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
	var err error
	d.host, err = newClientHost(w, 1, toFront(front), w.service())
	return d, err
}

// resets returns the number of resets that the endpoints have sent, without number 1.
func (d *deployment) resets() int {
	sum := 0
	for _, e := range d.endpoints {
		sum += e.resets
	}
	return sum
}

// openFlows opens flows with one answered request each, some of them at the endpoint in question.
func (d *deployment) openFlows(e *endpoint) ([]*clientFlow, error) {
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
	here := 0
	for _, f := range flows {
		if e.hasOpen(f.local) {
			here++
		}
	}
	d.w.recordf("%d flows are open, %d of them at %s; one request was answered on each", len(flows), here, e.cfg.id)
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
