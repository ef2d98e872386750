package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["evacuate"] = evacuate }

// ackLimit is the bound ackMs of the sites with evacuations.
const ackLimit = 6 * time.Second

// evacuate leaves one of five core machines down, stops and starts the others in turn, and orders the evacuation of an
// availability zone once the core is stable.
func evacuate(w *world, trouble bool) (int, error) {
	d, err := startDeployment(w, 5, 2, 4, 1)
	if err != nil {
		return cannotRun, err
	}
	if trouble {
		d.cores[4].kill()
		time.Sleep(stableWindow)
	}
	for i := range 4 {
		p := d.cores[i]
		p.signal(syscall.SIGTERM)
		<-p.done
		time.Sleep(500 * time.Millisecond)
		if err := p.start(); err != nil {
			return cannotRun, err
		}
		time.Sleep(syncTime + 500*time.Millisecond) // it counts as lost until then
	}
	if !d.replace(map[int]string{routePort: "alpha", 444: "beta"}, ackLimit) {
		return cannotRun, fmt.Errorf("the core acknowledges no configuration")
	}
	// The operator sends the order to all core machines but the one that may be down, until it is acknowledged.
	start := time.Now()
	for time.Since(start) < 2*ackLimit {
		for i := range 4 {
			code, body := w.call(http.MethodPost, "http://"+w.addr(coreGroup, i+1, controlPort)+"/Evacuation.Begin/z-d", "", time.Second)
			w.rec.printf("operator: Evacuation.Begin/z-d at core-%d: %d %s", i+1, code, body)
			if code == http.StatusOK {
				if took := time.Since(start); took > ackLimit {
					w.rec.printf("Acks: the order was acknowledged after %.1f s", took.Seconds())
					return broken, nil
				}
				return held, nil
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	w.rec.printf("Acks: the order was not acknowledged within %v", 2*ackLimit)
	return broken, nil
}
