// Package routing is the configuration of the datagram data path: which service gets the new flows to an
// address. Operators choose the version of a configuration; the highest version is in force.
package routing

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/result"
)

// ServiceID is the hash of a service's name, the same in every process.
type ServiceID uint64

// ServiceIDOf returns the ID of the service with this name.
func ServiceIDOf(name string) ServiceID { return ServiceID(xxhash.Sum64String(name)) }

// Share is the part of a route's new flows that a service gets.
type Share struct {
	Service string
	Weight  int // relative to the sum of the weights of the route
}

// RequestKind says whether a caller may repeat a request whose outcome it does not know.
type RequestKind uint8

// Kinds of requests.
const (
	// Repeatable requests may run more than once.
	Repeatable RequestKind = iota
	// AtMostOnce requests must not be repeated once they may have run.
	AtMostOnce
	// Download requests may be repeated and have long answers.
	Download
)

// Route distributes the new flows to an address over one or more services.
type Route struct {
	Name    string
	Address netip.AddrPort
	Shares  []Share
	Kind    RequestKind
	// Timeout is the longest time for a request on the route, Objective the time within which its answer is
	// useful.
	Timeout   time.Duration
	Objective time.Duration
	Priority  int // 0 is the highest
}

// Service is a group of interchangeable targets.
type Service struct {
	Name       string
	HealthPath string
	// MaxFlows is the highest number of flows of one target.
	MaxFlows int
	// ColdPerSecond is the number of requests a second that a target bears while it is cold; zero if not given.
	ColdPerSecond float64
}

// Document is a whole configuration.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	// IdleTimeout is the time without packets after which a flow may be discarded.
	IdleTimeout time.Duration
}

// Check validates a configuration and returns the first problem found.
func (d *Document) Check() error {
	if d.Version == 0 {
		return invalid("the version must be above 0")
	}
	services := map[string]bool{}
	for _, s := range d.Services {
		if s.Name == "" {
			return invalid("a service has no name")
		}
		if services[s.Name] {
			return invalid("service %q appears twice", s.Name)
		}
		if s.ColdPerSecond < 0 {
			return invalid("service %q gives cold targets %g requests a second, want 0 or more", s.Name, s.ColdPerSecond)
		}
		services[s.Name] = true
	}
	addresses := map[netip.AddrPort]string{}
	for i := range d.Routes {
		r := &d.Routes[i]
		if other, taken := addresses[r.Address]; taken {
			return invalid("routes %q and %q share the address %s", other, r.Name, r.Address)
		}
		addresses[r.Address] = r.Name
		if err := r.check(services); err != nil {
			return err
		}
	}
	return nil
}

func (r *Route) check(services map[string]bool) error {
	if _, ok := packet.AddrOf(r.Address); !ok || r.Address.Port() == 0 {
		return invalid("route %q has the address %s, want an IPv4 address and port", r.Name, r.Address)
	}
	if r.Timeout <= 0 {
		return invalid("route %q has the timeout %s, want more than 0", r.Name, r.Timeout)
	}
	total := 0
	for _, s := range r.Shares {
		if !services[s.Service] {
			return invalid("route %q names the unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return invalid("route %q gives service %q the weight %d, want 0 or more", r.Name, s.Service, s.Weight)
		}
		total += s.Weight
	}
	if total <= 0 {
		return invalid("route %q gives weight to no service", r.Name)
	}
	return nil
}

func invalid(format string, args ...any) error {
	return result.New(result.ConfigInvalid, format, args...)
}

// Table is a configuration prepared for lookups. It is immutable; a nil Table has no routes and no services.
type Table struct {
	Version     uint64
	IdleTimeout time.Duration
	routes      map[packet.Addr]*routeEntry
	services    map[ServiceID]Service
}

// routeEntry is a route with its shares of a weight above 0.
type routeEntry struct {
	route  Route
	shares []weightedService
	total  uint64
}

// weightedService is a service with its range of hash values.
type weightedService struct {
	service    ServiceID
	upperBound uint64 // sum of the weights up to and including this service
}

// NewTable returns the table of a configuration that Check has accepted.
func NewTable(d *Document) *Table {
	t := &Table{
		Version: d.Version, IdleTimeout: d.IdleTimeout,
		routes: make(map[packet.Addr]*routeEntry, len(d.Routes)), services: map[ServiceID]Service{},
	}
	for _, s := range d.Services {
		t.services[ServiceIDOf(s.Name)] = s
	}
	for _, r := range d.Routes {
		e := &routeEntry{route: r}
		for _, s := range r.Shares {
			if s.Weight == 0 {
				continue
			}
			e.total += uint64(s.Weight)
			e.shares = append(e.shares, weightedService{service: ServiceIDOf(s.Service), upperBound: e.total})
		}
		address, _ := packet.AddrOf(r.Address)
		t.routes[address] = e
	}
	return t
}

// Lookup returns the route of an address and the service that gets a new flow with this hash. Flows with the
// same hash get the same service as long as the weights stay the same.
func (t *Table) Lookup(to packet.Addr, hash uint64) (*Route, ServiceID, bool) {
	if t == nil {
		return nil, 0, false
	}
	e := t.routes[to]
	if e == nil {
		return nil, 0, false
	}
	point := hash % e.total
	for _, s := range e.shares {
		if point < s.upperBound {
			return &e.route, s.service, true
		}
	}
	return nil, 0, false
}

// ServicesFor returns the services that get flows to an address.
func (t *Table) ServicesFor(to packet.Addr) []ServiceID {
	if t == nil || t.routes[to] == nil {
		return nil
	}
	var ids []ServiceID
	for _, s := range t.routes[to].shares {
		ids = append(ids, s.service)
	}
	return ids
}

// AllServices returns the services of the configuration, sorted.
func (t *Table) AllServices() []ServiceID {
	if t == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(t.services))
}

// RouteTimes returns the objective and the timeout of the route to an address; zero if there is no route.
func (t *Table) RouteTimes(to packet.Addr) (objective, timeout time.Duration) {
	if !t.HasRoute(to) {
		return 0, 0
	}
	r := &t.routes[to].route
	return r.Objective, r.Timeout
}

// HasRoute reports whether there is a route for the address.
func (t *Table) HasRoute(to packet.Addr) bool { return t != nil && t.routes[to] != nil }

// Service returns a service of the configuration.
func (t *Table) Service(id ServiceID) (Service, bool) {
	if t == nil {
		return Service{}, false
	}
	s, ok := t.services[id]
	return s, ok
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	if t == nil {
		return 0
	}
	return len(t.routes)
}
