package docs_test

import (
	"maps"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/greengagelock/greengagelock/internal/agent"
	"github.com/greengagelock/greengagelock/internal/balancer"
	"github.com/greengagelock/greengagelock/internal/confstore"
	"github.com/greengagelock/greengagelock/internal/controller"
	"github.com/greengagelock/greengagelock/internal/devcerts"
	"github.com/greengagelock/greengagelock/internal/entry"
	"github.com/greengagelock/greengagelock/internal/fabric"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/node"
	"github.com/greengagelock/greengagelock/internal/relay"
	"github.com/greengagelock/greengagelock/internal/rpc"
	"github.com/greengagelock/greengagelock/internal/targetpicker"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	"github.com/greengagelock/greengagelock/internal/wal"
)

var (
	metricName = regexp.MustCompile(`greengagelock_[a-z_]+[a-z]`)
	fullName   = regexp.MustCompile(`fqName: "([^"]+)"`)
	labelValue = regexp.MustCompile(`(?:Event|DropReason) += "([a-z0-9_]+)"`)
)

// recorder records the names of all registered metrics, also of those without a value yet.
type recorder struct {
	prometheus.Registerer
	names map[string]bool
}

func (r *recorder) Register(c prometheus.Collector) error {
	descriptions := make(chan *prometheus.Desc)
	go func() {
		defer close(descriptions)
		c.Describe(descriptions)
	}()
	for d := range descriptions {
		r.names[fullName.FindStringSubmatch(d.String())[1]] = true
	}
	return r.Registerer.Register(c)
}

func (r *recorder) MustRegister(collectors ...prometheus.Collector) {
	for _, c := range collectors {
		if err := r.Register(c); err != nil {
			panic(err)
		}
	}
}

// registered returns the names of the metrics that the components of all roles register.
func registered(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	handle := func() telemetry.Handle {
		h := telemetry.Discard()
		h.Metrics = &recorder{Registerer: h.Metrics, names: names}
		return h
	}
	authority, err := devcerts.New(t.TempDir())
	check(t, err)
	files := func(role model.Role) rpc.TLSFiles {
		f, err := authority.Issue(role, "one")
		check(t, err)
		return f
	}
	listen := func() fabric.Conn {
		conn, err := fabric.ListenUDP(netip.MustParseAddrPort("127.0.0.1:0"))
		check(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	_, err = controller.New(controller.Config{
		Name: "one", Members: map[string]string{"one": "127.0.0.1:1", "two": "127.0.0.1:2", "three": "127.0.0.1:3"},
		Listen: "127.0.0.1:0", DataDir: t.TempDir(), TLS: files(model.RoleController),
	}, handle())
	check(t, err)
	_, err = wal.New(wal.Config{Folder: t.TempDir(), Identity: wal.Identity{Cluster: "one", Member: 1}}, handle())
	check(t, err)
	b, err := balancer.New(balancer.Config{Name: "one", Ingress: listen(), Egress: listen()}, handle())
	check(t, err)
	_, err = agent.New(agent.Config{
		Name: "one", VM: "one", Data: listen(), Target: listen(), Outbound: listen(), Services: []string{"one"}, Slots: 1, MaxConns: 1,
		HealthURL: "http://127.0.0.1:1/health", LoadURL: "http://127.0.0.1:1/load",
	}, handle())
	check(t, err)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	_, err = entry.NewProcess(entry.ProcessConfig{Callers: loopback, IP: loopback.Addr()}, targetpicker.NewPicker("", nil), handle())
	check(t, err)
	_, err = relay.NewProcess(relay.ProcessConfig{FromTarget: loopback, IP: loopback.Addr()}, handle())
	check(t, err)
	_, err = confstore.New(confstore.Config{IP: loopback.Addr(), DataDir: t.TempDir()}, handle())
	check(t, err)
	_, err = node.New(node.Config{
		Name: "one", Role: model.RoleBalancer, Controllers: []string{"127.0.0.1:1"}, TLS: files(model.RoleBalancer),
	}, b, handle())
	check(t, err)
	return names
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against metrics that are missing from the metrics page, and against pages that name metrics
// which no role registers.
func TestMetricsPageHasEveryMetric(t *testing.T) {
	names, page := registered(t), codeIn(t, "metrics.md")
	if len(names) < 40 {
		t.Fatalf("only %d metrics found: %q", len(names), slices.Sorted(maps.Keys(names)))
	}
	for name := range names {
		if !page[name] {
			t.Errorf("metrics.md lacks `%s`", name)
		}
	}
	for _, file := range []string{"metrics.md", "OPERATIONS.md"} {
		text, err := os.ReadFile(file)
		check(t, err)
		for _, name := range metricName.FindAllString(string(text), -1) {
			if !names[name] && !names[strings.TrimSuffix(name, "_bucket")] {
				t.Errorf("%s names %s, which no role registers", file, name)
			}
		}
	}
}

// Guards against a label value (an event or a drop reason) that is missing from the metrics page.
func TestMetricsPageHasEveryEventAndReason(t *testing.T) {
	page, found := codeIn(t, "metrics.md"), 0
	for _, file := range []string{
		"../internal/flow/packet.go", "../internal/encap/encap.go", "../internal/flowtable/action.go",
		"../internal/balancer/metrics.go", "../internal/balancer/decide.go",
	} {
		text, err := os.ReadFile(file)
		check(t, err)
		for _, match := range labelValue.FindAllStringSubmatch(string(text), -1) {
			found++
			if !page[match[1]] {
				t.Errorf("metrics.md lacks `%s`", match[1])
			}
		}
	}
	if found < 40 {
		t.Errorf("only %d events and reasons found in the source", found)
	}
}
