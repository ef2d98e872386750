package main

import (
	"fmt"
	"net/http"
	"time"
)

// foreignHeartbeat judges FLOW: a heartbeat of another writer, which lacks a field, arrives at the node beside an endpoint.
func foreignHeartbeat(w *world, trouble bool) error {
	d, err := startDeployment(w, false)
	if err != nil {
		return err
	}
	first, err := startEndpoint(w, d.endpoint("i-first", 1))
	if err != nil {
		return err
	}
	time.Sleep(stableWindow)
	flows, err := d.openFlows(first)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	if trouble {
		url := fmt.Sprintf("http://%s/Instances.Heartbeat/i-foreign", w.at(d.node.ip, controlPort))
		body := fmt.Sprintf(`{"service":"migrator-core","address":%q,"zone":"bog-a","version":"v1","capacitySlots":2,"state":"ready","warmupLeftMs":0,"seqNo":1}`,
			w.at(d.node.ip, appPort))
		code, err := call(http.MethodPost, url, body, time.Second)
		w.recordf("a heartbeat of another writer, without born, arrives beside %s; answer: %d, %v", first.cfg.id, code, err)
	}
	broken := watchFlows(w, flows, first)
	w.recordf("resets sent by the endpoints: %d", d.resets()+first.resets)
	if broken > 0 {
		return fmt.Errorf("%w: FLOW: %d clients got a reset on an open flow that its endpoint did not send, while the endpoint lives", errBroken, broken)
	}
	return nil
}
