package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

// deployment is a running small system: core machines, entry VMs, and endpoints beside relays.
type deployment struct {
	w         *world
	cores     []*process
	fronts    []*process
	sides     map[int]*process
	endpoints map[int]*endpoint
	services  map[int]string
	zonesOf   map[int]string
	route     end
	version   int
}

// route is the address of the only route that clients use.
const (
	routeIP   = "127.18.0.1"
	routePort = 443
)

// serviceNames are the services of the configuration. Only the first two have endpoints.
var serviceNames = []string{"alpha", "beta"}

// configuration returns a configuration whose routes lead to the services given by port.
func configuration(version int, routes map[int]string) string {
	var list, services []string
	for _, name := range serviceNames {
		services = append(services, fmt.Sprintf(`{"name":%q,"healthPath":"/health","maxConnections":2000,"protocol":"h1","tls":false}`, name))
	}
	for _, p := range slices.Sorted(maps.Keys(routes)) {
		list = append(list, fmt.Sprintf(`{"name":"r-%d","host":%q,"pathPrefix":"/%d/","routeType":"safe","timeoutMs":2000,"targetLatencyMs":200,"priority":2,"service":%q,"maxAttempts":2}`, p, routeIP, p, routes[p]))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		version, strings.Join(list, ","), strings.Join(services, ","))
}

// startDeployment starts everything and waits until the entry VMs are ready.
func startDeployment(w *world, cores, fronts, alpha, beta int) (*deployment, error) {
	zones := []string{"z-a", "z-b", "z-c", "z-d"}
	w.losses = (cores - 1) / 2
	d := &deployment{w: w, sides: map[int]*process{}, endpoints: map[int]*endpoint{}, services: map[int]string{}, zonesOf: map[int]string{}, route: endOf(routeIP, routePort)}
	for i := 1; i <= 3; i++ {
		w.seeds = append(w.seeds, w.addr(coreGroup, i, controlPort))
	}
	for i := 1; i <= cores; i++ {
		d.cores = append(d.cores, w.core(i, zones[(i-1)%len(zones)]))
	}
	for i := 1; i <= fronts; i++ {
		d.fronts = append(d.fronts, w.front(i, zones[(i-1)%len(zones)]))
	}
	for i := 1; i <= alpha+beta; i++ {
		d.services[i], d.zonesOf[i] = "alpha", zones[(i-1)%len(zones)]
		if i > alpha {
			d.services[i] = "beta"
		}
		d.sides[i] = w.side(i, d.zonesOf[i], d.services[i])
	}
	for _, p := range w.processes {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	if !d.replace(map[int]string{routePort: "alpha", 444: "beta"}, 10*time.Second) {
		return nil, fmt.Errorf("the first configuration was not acknowledged")
	}
	for i := range d.sides {
		if err := d.startEndpoint(i, fmt.Sprintf("i-%d-1", i)); err != nil {
			return nil, err
		}
	}
	for i := 1; i <= fronts; i++ {
		for limit := time.Now().Add(10 * time.Second); !w.ready(i); time.Sleep(100 * time.Millisecond) {
			if time.Now().After(limit) {
				return nil, fmt.Errorf("the entry VMs are not ready")
			}
		}
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	return d, nil
}

func (d *deployment) startEndpoint(host int, id string) error {
	e, err := d.w.startEndpoint(host, id, d.services[host], d.zonesOf[host])
	d.endpoints[host] = e
	return err
}

// replace sends the next configuration until it is acknowledged.
func (d *deployment) replace(routes map[int]string, limit time.Duration) bool {
	d.version += 3
	body := configuration(d.version, routes)
	for start := time.Now(); time.Since(start) < limit; time.Sleep(50 * time.Millisecond) {
		for i := range d.cores {
			if code, _ := d.w.call(http.MethodPost, "http://"+d.w.addr(coreGroup, i+1, controlPort)+"/Config.Replace", body, time.Second); code == http.StatusOK {
				d.w.rec.printf("operator: version %d is acknowledged by core-%d", d.version, i+1)
				return true
			}
		}
	}
	return false
}
