package target_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/target"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	"github.com/greengagelock/greengagelock/internal/testseed"
)

func TestTarget(t *testing.T) {
	testseed.RunSpecs(t, "target")
}

// endpoints serves the health and load endpoints of a target.
type endpoints struct {
	status       atomic.Int64
	health, load atomic.Pointer[string]
}

func (e *endpoints) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/hang":
		<-r.Context().Done()
	case r.URL.Path == "/health":
		w.WriteHeader(int(e.status.Load()))
		_, _ = w.Write([]byte(*e.health.Load()))
	default:
		_, _ = w.Write([]byte(*e.load.Load()))
	}
}

func (e *endpoints) set(status int, health, load string) {
	e.status.Store(int64(status))
	e.health.Store(&health)
	e.load.Store(&load)
}

// watch runs a watcher until the spec ends.
func watch(cfg target.Config) *target.Watcher {
	cfg.Interval, cfg.Timeout = 5*time.Millisecond, 2*time.Second
	w, err := target.New(cfg, telemetry.Discard())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	ginkgo.DeferCleanup(func() {
		cancel()
		gomega.Eventually(done, "10s").Should(gomega.Receive(gomega.BeNil()))
	})
	return w
}

var _ = ginkgo.Describe("the watcher of a target", func() {
	var e *endpoints
	var server *httptest.Server
	ginkgo.BeforeEach(func() {
		e = &endpoints{}
		e.set(200, `{"draining":false}`, `{"slots_in_use":2,"connections":7,"instance":"a"}`)
		server = httptest.NewServer(e)
		ginkgo.DeferCleanup(server.Close)
	})
	eventually := func(w *target.Watcher, want func(target.Report) bool) {
		ginkgo.GinkgoHelper()
		gomega.Eventually(w.Reports(), "10s").Should(gomega.Receive(gomega.Satisfy(want)))
	}

	// The reports must carry what the endpoints say.
	ginkgo.It("reports health, drain and load", func() {
		w := watch(target.Config{HealthURL: server.URL + "/health", LoadURL: server.URL + "/load"})
		load := target.Load{SlotsInUse: 2, Connections: 7, Instance: "a"}
		eventually(w, func(r target.Report) bool { return r == target.Report{Healthy: true, HasLoad: true, Load: load} })
		e.set(503, `{"draining":true}`, `{}`)
		eventually(w, func(r target.Report) bool { return !r.Healthy && r.Draining })
	})

	// A restart must be reported, and only once.
	ginkgo.It("reports a restart of the target process once", func() {
		w := watch(target.Config{LoadURL: server.URL + "/load"})
		eventually(w, func(r target.Report) bool { return r.HasLoad && !r.Restarted })
		e.set(200, "", `{"instance":"b"}`)
		eventually(w, func(r target.Report) bool { return r.Restarted })
		eventually(w, func(r target.Report) bool { return r.HasLoad && !r.Restarted })
	})

	// Answers that are too long, malformed or missing must not be taken as a load.
	ginkgo.It("takes no load from a bad answer", func() {
		for _, answer := range []string{"not JSON", `{"slots_in_use":-1}`, `{"instance":"` + strings.Repeat("x", 5000) + `"}`} {
			e.set(200, answer, answer)
			w := watch(target.Config{HealthURL: server.URL + "/health", LoadURL: server.URL + "/load"})
			eventually(w, func(r target.Report) bool { return r == target.Report{Healthy: true} })
		}
	})

	// An endpoint that never answers must not block the watcher.
	ginkgo.It("reports an endpoint without an answer as unhealthy", func() {
		w, err := target.New(target.Config{HealthURL: server.URL + "/hang", Timeout: 20 * time.Millisecond, Interval: time.Millisecond}, telemetry.Discard())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = w.Run(ctx) }()
		eventually(w, func(r target.Report) bool { return !r.Healthy })
	})
})
