package main

import (
	"fmt"
	"time"
)

func init() { cases["first-heartbeat"] = firstHeartbeat }

// firstHeartbeat crashes an endpoint and starts its next incarnation, which takes flows before it sends its first heartbeat.
// The relay is killed in that time. It does so in three rounds, with one endpoint each. Without the trouble neither ends.
func firstHeartbeat(w *world, trouble bool) (int, error) {
	d, err := startDeployment(w, 3, 2, 7, 4)
	if err != nil {
		return cannotRun, err
	}
	c, err := w.newClients(1)
	if err != nil {
		return cannotRun, err
	}
	w.firstBeat = heartbeatEvery
	status := held
	for host := 1; host <= 3; host++ {
		broke, err := d.firstBeatRound(c, host, trouble)
		if err != nil {
			return cannotRun, err
		}
		if broke {
			status = broken
		}
	}
	return status, nil
}

func (d *deployment) firstBeatRound(c *clients, host int, trouble bool) (broke bool, err error) {
	if trouble {
		d.endpoints[host].crash()
		time.Sleep(100 * time.Millisecond)
		if err := d.startEndpoint(host, fmt.Sprintf("i-%d-2", host)); err != nil {
			return false, err
		}
	}
	flows, err := d.openFlows(c, host)
	if err != nil {
		return false, err
	}
	if trouble {
		side := d.sides[host]
		side.kill()
		time.Sleep(500 * time.Millisecond)
		if err := side.start(); err != nil {
			return false, err
		}
	}
	return d.useFlows(flows, host)
}
