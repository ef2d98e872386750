package main

import (
	"fmt"
	"net/http"
	"time"
)

// lateFirst judges FLOW: the first heartbeat of an endpoint is held up by a partition, and arrives after its sender has
// crashed and a new incarnation has registered at the same address. Heartbeats are those of PROTOCOL.md, without born.
func lateFirst(w *world, trouble bool) error {
	d, err := startPair(w, true)
	if err != nil {
		return err
	}
	d.first.crash()
	w.recordf("%s has crashed", d.first.cfg.id)
	time.Sleep(downTime)
	cfg := d.endpoint("i-short", 1)
	cfg.cutOff = true
	short, err := startEndpoint(w, cfg)
	if err != nil {
		return err
	}
	sentAt := time.Now()
	url, body := short.heartbeat()
	w.recordf("%s has started and sends its first heartbeat, which is held up", short.cfg.id)
	short.crash()
	w.recordf("%s has crashed", short.cfg.id)
	time.Sleep(downTime)
	after, err := startEndpoint(w, d.endpoint("i-after", 1))
	if err != nil {
		return err
	}
	w.recordf("%s has started at the same address", after.cfg.id)
	time.Sleep(heartbeatInterval / 2) // its first heartbeat has been acknowledged
	flows, err := d.openFlows(after, d.second)
	if err != nil {
		return err
	}
	time.Sleep(time.Until(sentAt.Add(stableWindow + heldUpBeyond)))
	if trouble {
		heldUp := time.Since(sentAt)
		if heldUp > maxHeldUp {
			return fmt.Errorf("the heartbeat would have been held up for %v", heldUp)
		}
		code, err := call(http.MethodPost, url, body, time.Second)
		w.recordf("the heartbeat of %s arrives after %v; answer: %d, %v", short.cfg.id, heldUp.Round(time.Millisecond), code, err)
	}
	broken := watchFlows(w, flows, after)
	w.recordf("resets sent by the endpoints: %d by %s, %d by %s", after.resets, after.cfg.id, d.second.resets, d.second.cfg.id)
	if broken > 0 {
		return fmt.Errorf("%w: FLOW: %d clients got a reset on an open flow that its endpoint did not send, while the endpoint lives", errBroken, broken)
	}
	return nil
}
