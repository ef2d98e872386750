package main

import (
	"fmt"
	"net/http"
	"time"
)

// foreignHeartbeat judges FLOW: a heartbeat of another writer, which lacks a field, arrives at the node beside an endpoint.
func foreignHeartbeat(w *world, trouble bool) error {
	d, err := startPair(w, false)
	if err != nil {
		return err
	}
	flows, err := d.openFlows(d.first, d.second)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	if trouble {
		url := fmt.Sprintf("http://%s/Instances.Heartbeat/i-foreign", w.at(d.node.ip, controlPort))
		body := fmt.Sprintf(`{"service":"migrator-core","address":%q,"zone":"bog-a","version":"v1","capacitySlots":2,"state":"ready","warmupLeftMs":0,"seqNo":1}`,
			w.at(d.node.ip, appPort))
		code, err := call(http.MethodPost, url, body, time.Second)
		w.recordf("a heartbeat of another writer, without born, arrives beside %s; answer: %d, %v", d.first.cfg.id, code, err)
	}
	broken := watchFlows(w, flows, d.first)
	w.recordf("resets sent by the endpoints: %d by %s, %d by %s", d.first.resets, d.first.cfg.id, d.second.resets, d.second.cfg.id)
	if broken > 0 {
		return fmt.Errorf("%w: FLOW: %d clients got a reset on an open flow that its endpoint did not send, while the endpoint lives", errBroken, broken)
	}
	return nil
}
