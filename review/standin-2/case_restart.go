package main

import (
	"fmt"
	"time"
)

func init() { cases["relay-restart"] = relayRestart }

// relayRestart crashes an endpoint and starts its next incarnation, opens flows there, kills the relay beside it, and sends
// a second request on each flow once all machines are in touch again. It does so in three rounds, with one endpoint each.
// Without the trouble neither the endpoint nor the relay ends.
func relayRestart(w *world, trouble bool) (int, error) {
	d, err := startDeployment(w, 3, 2, 7, 4)
	if err != nil {
		return cannotRun, err
	}
	c, err := w.newClients(1)
	if err != nil {
		return cannotRun, err
	}
	status := held
	for host := 1; host <= 3; host++ {
		broke, err := d.restartRound(c, host, trouble)
		if err != nil {
			return cannotRun, err
		}
		if broke {
			status = broken
		}
	}
	return status, nil
}

func (d *deployment) restartRound(c *clients, host int, trouble bool) (broke bool, err error) {
	if trouble {
		d.endpoints[host].crash()
		time.Sleep(600 * time.Millisecond)
		if err := d.startEndpoint(host, fmt.Sprintf("i-%d-2", host)); err != nil {
			return false, err
		}
	}
	<-d.endpoints[host].beats
	flows, err := d.openFlows(c, host)
	if err != nil {
		return false, err
	}
	if trouble {
		side := d.sides[host]
		side.kill()
		time.Sleep(300 * time.Millisecond)
		if err := side.start(); err != nil {
			return false, err
		}
	}
	return d.useFlows(flows, host)
}

// openFlows connects until some flows are open at the endpoint beside a relay.
func (d *deployment) openFlows(c *clients, host int) ([]*flow, error) {
	e := d.endpoints[host]
	var flows []*flow
	for n := 0; n < 200 && len(flows) < 3; n++ {
		f := c.newFlow(d.route, func() int { return 1 })
		if f.connect() != "open" {
			continue
		}
		if outcome, _ := f.request(fmt.Sprintf("first request %d-%d", host, n), time.Second); outcome == "answered" && e.holds(f.self) {
			flows = append(flows, f)
		}
	}
	if len(flows) == 0 {
		return nil, fmt.Errorf("no flow is open at %s", e.id)
	}
	return flows, nil
}

// useFlows sends a request on each flow once all machines are in touch again, and judges the resets.
func (d *deployment) useFlows(flows []*flow, host int) (broke bool, err error) {
	e := d.endpoints[host]
	time.Sleep(stableWindow + time.Second)
	for n, f := range flows {
		if !e.isAlive() || !e.holds(f.self) || time.Since(e.startedAt) < stableWindow || !d.sides[host].inTouch(time.Now()) || !d.fronts[0].inTouch(time.Now()) {
			return false, fmt.Errorf("flow %d does not count", f.self.port)
		}
		if outcome, _ := f.request(fmt.Sprintf("second request %d-%d", host, n), 3*time.Second); outcome == "reset" && e.holds(f.self) {
			d.w.rec.printf("FLOW: flow %d was reset, and endpoint %s, which has it open, did not send that", f.self.port, e.id)
			broke = true
		}
	}
	return broke, nil
}
