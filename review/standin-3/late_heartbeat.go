package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// Figures of the case. maxHeldUp is the longest partition of single machines in the sites (node_cut, for_s 5.5).
const (
	maxHeldUp     = 5500 * time.Millisecond
	downTime      = 300 * time.Millisecond // between the two incarnations
	flowTime      = 1500 * time.Millisecond
	restartDelay  = 100 * time.Millisecond
	flowsPerFront = 24
	watchTime     = 3 * time.Second
)

// lateHeartbeat judges FLOW: a heartbeat that was held up arrives after its sender has crashed and a new incarnation has
// registered at its address, just after a planned restart of the process beside them.
func lateHeartbeat(w *world, trouble bool) error {
	zones := []string{"bog-a", "bog-b", "bog-c"}
	for n, zone := range zones {
		w.addCore(n+1, zone)
	}
	front := w.addFront(1, zones[0])
	node := w.addSide(1, zones[0], "migrator-core")
	w.addSide(2, zones[1], "migrator-core")
	if err := w.launchAll(); err != nil {
		return err
	}
	start := func(id string, number int) (*endpoint, error) {
		return startEndpoint(w, endpointConfig{
			id: id, service: "migrator-core", zone: zones[number-1], ip: w.ip(sideGroup, number), slots: 2, work: 15 * time.Millisecond, phase: heartbeatInterval,
		})
	}
	before, err := start("i-before", 1)
	if err != nil {
		return err
	}
	other, err := start("i-other", 2)
	if err != nil {
		return err
	}
	config := `{"version":7,"routes":[{"name":"r-1","host":"198.18.0.1","pathPrefix":"/8443/","routeType":"unsafe","timeoutMs":1500,` +
		`"targetLatencyMs":250,"priority":1,"service":"migrator-core","maxAttempts":2}],"services":[{"name":"migrator-core","healthPath":"/health",` +
		`"maxConnections":2000,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,` +
		`"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
	if err := w.order("/Config.Replace", config); err != nil {
		return err
	}
	if err := w.awaitFronts(front); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // stableWindowMs: all machines are in touch from here on
	host, err := newClientHost(w, 1, front, end{addressOf(0xc6120001), 8443})
	if err != nil {
		return err
	}

	sentAt := time.Now()
	url, body := before.heartbeat()
	w.recordf("i-before (born %d) sends a heartbeat, which is held up", before.born)
	before.crash()
	w.recordf("i-before has crashed")
	time.Sleep(downTime)
	after, err := start("i-after", 1)
	if err != nil {
		return err
	}
	w.recordf("i-after (born %d) has started at the same address", after.born)
	opening := time.Now()
	var flows []*clientFlow
	for range flowsPerFront {
		f, o := host.open()
		if o == answered {
			o = f.request()
		}
		if o != answered {
			w.recordf("flow %s: %s", f.id, o)
			continue
		}
		flows = append(flows, f)
	}
	onAfter, onOther := 0, 0
	for _, f := range flows {
		switch {
		case after.hasOpen(f.local):
			onAfter++
		case other.hasOpen(f.local):
			onOther++
		}
	}
	w.recordf("%d flows are open at i-after and %d at i-other; one request was answered on each", onAfter, onOther)
	if onAfter == 0 {
		return fmt.Errorf("no flow is open at i-after")
	}
	time.Sleep(time.Until(opening.Add(flowTime)))

	w.recordf("%s gets SIGTERM, as in a rolling restart", node.name)
	node.terminate()
	w.recordf("%s has ended", node.name)
	time.Sleep(restartDelay)
	if err := node.launch(); err != nil {
		return err
	}
	if err := w.await(node.name+" listens again", func() bool { return listens(w.at(node.ip, controlPort).String()) }); err != nil {
		return err
	}
	if trouble {
		heldUp := time.Since(sentAt)
		if heldUp > maxHeldUp {
			return fmt.Errorf("the heartbeat would have been held up for %v", heldUp)
		}
		code, err := call(http.MethodPost, url, body, time.Second)
		w.recordf("the heartbeat of i-before arrives after %v; answer: %d, %v", heldUp.Round(time.Millisecond), code, err)
	}

	broken := watchFlows(w, flows, after)
	w.recordf("resets sent by the endpoints: %d by i-after, %d by i-other", after.resets, other.resets)
	if broken > 0 {
		return fmt.Errorf("%w: FLOW: %d clients got a reset on an open flow that its endpoint did not send, while the endpoint lives", errBroken, broken)
	}
	return nil
}

// listens reports whether a process accepts connections at an address.
func listens(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err == nil {
		_ = conn.Close()
	}
	return err == nil
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
