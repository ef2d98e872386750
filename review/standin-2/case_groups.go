package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["groups"] = groups }

// sides is the number of relays. A fan-out query goes to 128 relays at most, so that an entry VM needs two.
const sides = 130

// groups opens flows at endpoints of a service, gives their route to another service, and stops the entry VM that has them, so
// that they go to one that does not know them. Three relays stand still for a moment meanwhile.
func groups(w *world, trouble bool) (int, error) {
	serviceNames = []string{"alpha", "beta", "gamma", "delta"}
	d, err := startDeployment(w, 3, 3, sides-2, 2)
	if err != nil {
		return cannotRun, err
	}
	c, err := w.newClients(1)
	if err != nil {
		return cannotRun, err
	}
	// Entry VMs ask the second and the fourth relay first, and the first one of the rest.
	paused := []int{2, 4, 129}
	front := 1
	owner := map[*flow]*endpoint{}
	for n := range 12 {
		f := c.newFlow(d.route, func() int { return front })
		if f.connect() != "open" {
			continue
		}
		if outcome, _ := f.request(fmt.Sprintf("first request %d", n), time.Second); outcome != "answered" {
			continue
		}
		for host, e := range d.endpoints {
			if e.holds(f.self) && host != paused[0] && host != paused[1] && host != paused[2] {
				owner[f] = e
			}
		}
	}
	if len(owner) == 0 {
		return cannotRun, fmt.Errorf("no flow is open")
	}
	// Open flows stay where they are.
	if !d.replace(map[int]string{routePort: "beta", 444: "alpha"}, 5*time.Second) {
		return cannotRun, fmt.Errorf("the change of the route was not acknowledged")
	}
	time.Sleep(stableWindow)
	// The first entry VM is stopped as planned. Once two checks of it have failed, its flows go to the second one.
	d.fronts[0].signal(syscall.SIGTERM)
	for w.ready(1) {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	w.rec.printf("front-1 is out of rotation")
	front = 2
	if trouble {
		for _, host := range paused {
			d.sides[host].signal(syscall.SIGSTOP)
		}
	}
	results := make(chan bool, len(owner))
	for f, e := range owner {
		go func() {
			outcome, _ := f.request("second request", 3*time.Second)
			broke := outcome == "reset" && e.holds(f.self)
			if broke {
				w.rec.printf("FLOW: flow %d was reset, and endpoint %s, which has it open, did not send that", f.self.port, e.id)
			}
			results <- broke
		}()
	}
	if trouble {
		time.Sleep(300 * time.Millisecond)
		for _, host := range paused {
			d.sides[host].signal(syscall.SIGCONT)
		}
	}
	status := held
	for range owner {
		if <-results {
			status = broken
		}
	}
	return status, nil
}
