package controller

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/goleak"

	"github.com/greengagelock/greengagelock/internal/devcerts"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/node"
	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/rpc"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	"github.com/greengagelock/greengagelock/internal/testkit"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

// Guards against goroutine leaks.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// harness starts the components of a test and stops them at its end.
type harness struct {
	t     testing.TB
	certs *devcerts.Authority
	wg    sync.WaitGroup
	stop  context.CancelFunc
	// wrapListener wraps the listeners of controllers, for measurements; may be nil.
	wrapListener func(net.Listener) net.Listener
	// tracer records the spans of all components; nil records none.
	tracer trace.Tracer
	ctx    context.Context
}

func newHarness(t testing.TB) *harness {
	t.Helper()
	certs := testkit.NewAuthority(t)
	ctx, cancel := context.WithCancel(context.Background())
	h := &harness{t: t, certs: certs, ctx: ctx, stop: cancel}
	t.Cleanup(func() {
		cancel()
		h.wg.Wait()
	})
	return h
}

func (h *harness) telemetry() telemetry.Handle {
	handle := telemetry.Discard()
	if h.tracer != nil {
		handle.Tracer = h.tracer
	}
	return handle
}

func (h *harness) files(role model.Role, name string) rpc.TLSFiles {
	h.t.Helper()
	return testkit.IssueCertificate(h.t, h.certs, role, name)
}

func (h *harness) listen() net.Listener {
	h.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	testkit.Check(h.t, err)
	if h.wrapListener != nil {
		return h.wrapListener(l)
	}
	return l
}

// run starts a component. The returned function stops it and waits until it has ended.
func (h *harness) run(f func(ctx context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(h.ctx)
	done := make(chan struct{})
	h.wg.Go(func() {
		defer close(done)
		if err := f(ctx); err != nil {
			h.t.Errorf("component failed: %v", err)
		}
	})
	return func() {
		cancel()
		<-done
	}
}

func (h *harness) operator(controllers ...string) *operator.Client {
	h.t.Helper()
	client, err := operator.NewClient(operator.Config{
		Controllers: controllers, TLS: h.files(model.RoleOperator, "ana"), Timeout: testkit.WaitTimeout, Tracer: h.telemetry().Tracer,
	})
	testkit.Check(h.t, err)
	h.t.Cleanup(client.Close)
	return client
}

// cluster is a group of controllers in one process. Its maps have the names of controllers as keys.
type cluster struct {
	h           *harness
	members     map[string]string
	folders     map[string]string
	stops       map[string]func()
	controllers map[string]*Controller
	blackholes  map[string]*blackhole
	diskFull    map[string]*atomic.Bool // switches that make disks full
}

// cluster starts n controllers named c1, c2, ...
func (h *harness) cluster(n int) *cluster {
	h.t.Helper()
	c := &cluster{
		h: h, members: map[string]string{}, folders: map[string]string{}, stops: map[string]func(){}, controllers: map[string]*Controller{},
		blackholes: map[string]*blackhole{}, diskFull: map[string]*atomic.Bool{},
	}
	listeners := map[string]net.Listener{}
	for i := range n {
		name := fmt.Sprintf("c%d", i+1)
		listeners[name] = c.blackhole(name).listener(h.listen())
		c.members[name] = listeners[name].Addr().String()
	}
	for name, listener := range listeners {
		c.start(name, listener, c.members)
	}
	return c
}

// start starts a controller. If listener is nil, the controller listens on its former address.
func (c *cluster) start(name string, listener net.Listener, members map[string]string) {
	c.h.t.Helper()
	if c.folders[name] == "" {
		c.folders[name] = c.h.t.TempDir()
	}
	started, err := New(Config{
		Name: name, Members: members, Listen: c.members[name], Listener: listener, DataDir: c.folders[name],
		TLS: c.h.files(model.RoleController, name), Dial: c.blackhole(name).dial, FS: c.disk(name),
	}, c.h.telemetry())
	testkit.Check(c.h.t, err)
	c.controllers[name] = started
	c.stops[name] = c.h.run(started.Run)
}

func (c *cluster) stop(name string) {
	c.stops[name]()
	delete(c.controllers, name)
}

func (c *cluster) addresses() []string { return slices.Sorted(maps.Values(c.members)) }

// leader returns the name of the leader, or "" if there is none.
func (c *cluster) leader() string {
	for name, controller := range c.controllers {
		if controller.log.Status().IsLeader {
			return name
		}
	}
	return ""
}

// fakeNode is a balancer or agent without a data path.
type fakeNode struct{ testkit.Node }

func (s *fakeNode) lastView() *model.View {
	s.Lock()
	defer s.Unlock()
	if len(s.Views) == 0 {
		return model.NewView()
	}
	return s.Views[len(s.Views)-1]
}

func (h *harness) node(role model.Role, name string, s node.Handler, controllers ...string) (*node.Session, func()) {
	h.t.Helper()
	session, err := node.New(node.Config{
		Name: name, Role: role, Controllers: controllers, TLS: h.files(role, name),
	}, s, h.telemetry())
	testkit.Check(h.t, err)
	return session, h.run(session.Run)
}

func newFakeAgent(vm string, port uint16, service string) *fakeNode {
	return &fakeNode{testkit.Node{Announced: model.Announcement{VM: model.VM(vm), Targets: []model.TargetAnnouncement{{
		Service: service, Agent: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port), Slots: 2, MaxConns: 2000,
		Evidence: model.Evidence{EndpointHealthy: true},
	}}}}}
}

// document returns a configuration with services s0, s1, ... and the given number of VMs for each. extra is
// appended to the top-level object.
func document(services, vms int, extra string) []byte {
	return renderDocument(0, services, vms, extra)
}

// documentFrom returns a configuration with the services from number first on.
func documentFrom(first, services, vms int) []byte { return renderDocument(first, services, vms, "") }

func renderDocument(first, services, vms int, extra string) []byte {
	var inventory, serviceEntries []string
	for s := first; s < services; s++ {
		for v := range vms {
			inventory = append(inventory, fmt.Sprintf(
				`{"name": "vm-%d-%d", "zone": "a", "workspace": "andinas", "labels": {"for": "s%d"}}`, s, v, s))
		}
		serviceEntries = append(serviceEntries, fmt.Sprintf(
			`{"name": "s%d", "workspace": "andinas", "address": "10.10.%d.%d:7001", "class": "stream", "select": {"for": "s%d"}}`,
			s, s/250, s%250+1, s))
	}
	return []byte(fmt.Sprintf("{\n\"inventory\": {\"vms\": [%s]},\n\"services\": [%s]%s\n}\n",
		strings.Join(inventory, ",\n"), strings.Join(serviceEntries, ",\n"), extra))
}
