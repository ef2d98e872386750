package main

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case. The bounds are those of the site shifted/ma-bogota-lb-now-grown.
const (
	warmupOverrun = 1.5
	warmupSlack   = 5
	warmupTime    = 2 * time.Second
	warmupPerS    = 8
	// coldBefore is the time before the end of the evacuation at which the endpoints of the zone have become cold.
	coldBefore    = 200 * time.Millisecond
	evacuatedTime = 6 * time.Second
	flowsPerS     = 120 // of each of the two zones of clients
	perZone       = 3   // endpoints
)

// arrival is the opening packet of a flow at an endpoint.
type arrival struct{ sent, at time.Time }

// returnedCold judges FAILBACK: the endpoints of an evacuated zone become cold shortly before the zone is taken back.
func returnedCold(w *world, trouble bool) error {
	zones := []string{"bog-a", "bog-b", "bog-c"}
	for n, zone := range zones {
		w.addCore(n+1, zone)
	}
	fronts := []*machine{w.addFront(1, zones[0]), w.addFront(2, zones[1])}
	for n := range 2 * perZone {
		w.addSide(n+1, zones[n/perZone], "migrator-core")
	}
	if err := w.launchAll(); err != nil {
		return err
	}
	service := w.service()
	var hosts []*clientHost
	for n, front := range fronts {
		host, err := newClientHost(w, n+1, toFront(front), service)
		if err != nil {
			return err
		}
		hosts = append(hosts, host)
	}
	var mu sync.Mutex
	arrivals := make([][]arrival, 2*perZone)
	var endpoints []*endpoint
	for n := range 2 * perZone {
		e, err := startEndpoint(w, endpointConfig{
			id: fmt.Sprintf("i-%d", n+1), service: "migrator-core", zone: zones[n/perZone], ip: w.ip(sideGroup, n+1), slots: 2,
			work: 15 * time.Millisecond, phase: heartbeatInterval * time.Duration(1+n%perZone) / perZone,
			opened: func(client end, at time.Time) {
				for _, h := range hosts {
					h.mu.Lock()
					sent, ok := h.sentAt[client]
					h.mu.Unlock()
					if ok {
						mu.Lock()
						arrivals[n] = append(arrivals[n], arrival{sent, at})
						mu.Unlock()
					}
				}
			},
		})
		if err != nil {
			return err
		}
		endpoints = append(endpoints, e)
	}
	config := fmt.Sprintf(`{"version":7,"routes":[{"name":"r-1","host":%q,"pathPrefix":"/8443/","routeType":"safe","timeoutMs":1500,`+
		`"targetLatencyMs":250,"priority":2,"service":"migrator-core","maxAttempts":2}],"services":[{"name":"migrator-core","healthPath":"/health",`+
		`"maxConnections":2000,"protocol":"h1","tls":false,"warmupS":2.0,"warmupPerS":%d.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,`+
		`"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, w.service().ip, warmupPerS)
	if err := w.order("/Config.Replace", config); err != nil {
		return err
	}
	if err := w.awaitFronts(fronts...); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // stableWindowMs: all machines are in touch from here on

	var counts [3]atomic.Int64
	stop := make(chan struct{})
	var load sync.WaitGroup
	for _, h := range hosts {
		load.Go(func() { h.offer(stop, flowsPerS, &counts) })
	}
	time.Sleep(2 * time.Second)
	var coldFrom, finished time.Time
	if trouble {
		if err := w.order("/Evacuation.Begin/"+zones[0], ""); err != nil {
			return err
		}
		time.Sleep(evacuatedTime)
		coldFrom = time.Now()
		for _, e := range endpoints[:perZone] {
			e.becomeCold(warmupTime)
		}
		w.recordf("the endpoints of %s have become cold for %v", zones[0], warmupTime)
		time.Sleep(coldBefore)
		if err := w.order("/Evacuation.Finish/"+zones[0], ""); err != nil {
			return err
		}
		finished = time.Now()
	}
	time.Sleep(4 * time.Second)
	close(stop)
	load.Wait()
	w.recordf("requests: %d answered, %d reset, %d without an answer", counts[0].Load(), counts[1].Load(), counts[2].Load())
	if counts[0].Load() == 0 {
		return fmt.Errorf("nothing was served")
	}
	if !trouble {
		return nil
	}
	mu.Lock()
	defer mu.Unlock()
	limit := warmupPerS*warmupOverrun + warmupSlack
	worst := 0
	for n, e := range endpoints[:perZone] {
		most := mostInASecond(arrivals[n], coldFrom, coldFrom.Add(warmupTime))
		e.mu.Lock()
		told := e.coldSent.Sub(finished)
		e.mu.Unlock()
		w.recordf("%s: at most %d requests in one second while it was cold, the rule allows %.0f; its first heartbeat that said so began %v after the end of the evacuation",
			e.cfg.id, most, limit, told.Round(time.Millisecond))
		worst = max(worst, most)
	}
	if float64(worst) > limit {
		return fmt.Errorf("%w: FAILBACK: a cold endpoint got %d requests in one second, more than %.0f", errBroken, worst, limit)
	}
	return nil
}

// offer opens flows with one request each.
func (c *clientHost) offer(stop chan struct{}, perS int, counts *[3]atomic.Int64) {
	var flows sync.WaitGroup
	defer flows.Wait()
	ticker := time.NewTicker(time.Second / time.Duration(perS))
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		flows.Go(func() {
			f, o := c.open()
			if o == answered {
				if o = f.request(); o == answered {
					f.finish()
				}
			}
			counts[slices.Index([]outcome{answered, wasReset, expired}, o)].Add(1)
		})
	}
}

// mostInASecond returns the highest number of requests that were sent and arrived inside one second between two times.
func mostInASecond(all []arrival, from, to time.Time) int {
	var cold []arrival
	for _, a := range all {
		if !a.at.Before(from) && a.at.Before(to) {
			cold = append(cold, a)
		}
	}
	most := 0
	for _, first := range cold {
		count := 0
		for _, a := range cold {
			if !a.sent.Before(first.sent) && a.at.Before(first.sent.Add(time.Second)) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
