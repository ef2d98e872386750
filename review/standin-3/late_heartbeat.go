package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// Figures of the case. maxHeldUp is the longest partition of single machines in the sites (node_cut, for_s 5.5).
const (
	maxHeldUp    = 5500 * time.Millisecond
	downTime     = 300 * time.Millisecond // between the two incarnations
	flowTime     = 1500 * time.Millisecond
	restartDelay = 100 * time.Millisecond
	heldUpBeyond = 600 * time.Millisecond // after stableWindowMs
)

// lateHeartbeat judges FLOW: a heartbeat that was held up arrives after its sender has crashed and a new incarnation has
// registered at its address, just after a planned restart of the process beside them.
func lateHeartbeat(w *world, trouble bool) error {
	d, err := startPair(w, false)
	if err != nil {
		return err
	}
	before, other, node := d.first, d.second, d.node
	sentAt := time.Now()
	url, body := before.heartbeat()
	w.recordf("%s (born %d) sends a heartbeat, which is held up", before.cfg.id, before.born)
	before.crash()
	w.recordf("%s has crashed", before.cfg.id)
	time.Sleep(downTime)
	after, err := startEndpoint(w, d.endpoint("i-after", 1))
	if err != nil {
		return err
	}
	w.recordf("i-after (born %d) has started at the same address", after.born)
	opening := time.Now()
	flows, err := d.openFlows(after, other)
	if err != nil {
		return err
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
		w.recordf("the heartbeat of %s arrives after %v; answer: %d, %v", before.cfg.id, heldUp.Round(time.Millisecond), code, err)
	}

	broken := watchFlows(w, flows, after)
	w.recordf("resets sent by the endpoints: %d by %s, %d by %s", after.resets, after.cfg.id, other.resets, other.cfg.id)
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
