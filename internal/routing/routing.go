// Package routing is the configuration of the datagram data path: which service takes the new flows
// to an address. A configuration has a version that its operators choose; the highest is in force.
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

// ServiceID identifies a service by the hash of its name. It is the same in every process.
type ServiceID uint64

// IDOf returns the ID of the service with this name.
func IDOf(name string) ServiceID { return ServiceID(xxhash.Sum64String(name)) }

// Share is the part of a route's new flows that a service takes.
type Share struct {
	Service string
	Weight  int // of the sum of the weights of the route
}

// RequestKind says what a client may do with a request whose outcome it does not know.
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

// Route sends the new flows to an address to one or more services.
type Route struct {
	Name    string
	Address netip.AddrPort
	Shares  []Share
	Kind    RequestKind
	// Timeout is the time that a request on the route may take, Objective the time within which its
	// answer is useful.
	Timeout   time.Duration
	Objective time.Duration
	Priority  int // 0 is the highest
}

// Service is a group of targets that can stand in for each other.
type Service struct {
	Name       string
	HealthPath string
	// MaxFlows is the number of flows that one target holds.
	MaxFlows int
}

// Document is a whole configuration.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	// IdleTimeout is the time without packets after which a flow may be discarded.
	IdleTimeout time.Duration
}

// Check returns the first reason for which a configuration must not be accepted.
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

// Table is a configuration prepared for lookups. It does not change.
type Table struct {
	Version     uint64
	IdleTimeout time.Duration
	routes      map[packet.Addr]*entry
	services    map[ServiceID]Service
}

type entry struct {
	route  Route
	shares []weighted
	total  uint64
}

type weighted struct {
	service ServiceID
	below   uint64 // sum of the weights up to and including this one
}

// NewTable returns the table of a configuration that Check has accepted.
func NewTable(d *Document) *Table {
	t := &Table{
		Version: d.Version, IdleTimeout: d.IdleTimeout,
		routes: make(map[packet.Addr]*entry, len(d.Routes)), services: map[ServiceID]Service{},
	}
	for _, s := range d.Services {
		t.services[IDOf(s.Name)] = s
	}
	for _, r := range d.Routes {
		e := &entry{route: r}
		for _, s := range r.Shares {
			if s.Weight == 0 {
				continue
			}
			e.total += uint64(s.Weight)
			e.shares = append(e.shares, weighted{service: IDOf(s.Service), below: e.total})
		}
		address, _ := packet.AddrOf(r.Address)
		t.routes[address] = e
	}
	return t
}

// Lookup returns the route of an address and the service that takes a new flow with this hash.
// Flows with the same hash stay with a service as long as the weights stay.
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
		if point < s.below {
			return &e.route, s.service, true
		}
	}
	return nil, 0, false
}

// Services returns the services that take flows to an address.
func (t *Table) Services(to packet.Addr) []ServiceID {
	if t == nil || t.routes[to] == nil {
		return nil
	}
	var ids []ServiceID
	for _, s := range t.routes[to].shares {
		ids = append(ids, s.service)
	}
	return ids
}

// AllServices returns the services of the configuration, in a fixed order.
func (t *Table) AllServices() []ServiceID {
	if t == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(t.services))
}

// Times returns the objective and the timeout of the route to an address, zero without one.
func (t *Table) Times(to packet.Addr) (objective, timeout time.Duration) {
	if !t.Has(to) {
		return 0, 0
	}
	r := &t.routes[to].route
	return r.Objective, r.Timeout
}

// Has reports whether there is a route for the address.
func (t *Table) Has(to packet.Addr) bool { return t != nil && t.routes[to] != nil }

// Service returns a service of the configuration.
func (t *Table) Service(id ServiceID) (Service, bool) {
	if t == nil {
		return Service{}, false
	}
	s, ok := t.services[id]
	return s, ok
}

// Routes returns the number of routes.
func (t *Table) Routes() int {
	if t == nil {
		return 0
	}
	return len(t.routes)
}
