package telemetry_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	"github.com/greengagelock/greengagelock/internal/testseed"
)

func TestTelemetry(t *testing.T) { testseed.RunSpecs(t, "telemetry") }

var _ = Describe("Telemetry", func() {
	// Guards against a registration that fails because two components of a process have the same metric.
	It("labels metrics and log lines with the component", func() {
		var logs bytes.Buffer
		t, stop := start(telemetry.Config{Node: "exec-1", LogLevel: "info", Logs: &logs})
		for _, component := range []string{"agent", "balancer"} {
			h := t.Handle(component)
			h.Metrics.MustRegister(prometheus.NewCounter(prometheus.CounterOpts{Name: "test_total", Help: "Tests."}))
			h.Logger.Info().Msg("started")
			h.Logger.Debug().Msg("hidden")
		}
		body, status := get(t, "/metrics")
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(ContainSubstring(`test_total{component="agent"} 0`))
		Expect(body).To(ContainSubstring(`test_total{component="balancer"} 0`))
		Expect(stop()).To(Succeed())
		Expect(logs.String()).To(ContainSubstring(`"process":"exec-1","component":"agent","message":"started"`))
		Expect(logs.String()).NotTo(ContainSubstring("hidden"))
	})

	// Guards against a process that is sent traffic before it can serve it, or after.
	It("is ready only while every condition holds", func() {
		t, stop := start(telemetry.Config{})
		var failed atomic.Bool
		t.Readiness.Add("view", func() error {
			if failed.Load() {
				return errors.New("no view yet")
			}
			return nil
		})
		t.Readiness.Add("port", func() error { return nil })
		body, status := get(t, "/readyz")
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(Equal("view: ok\nport: ok\n"))
		failed.Store(true)
		body, status = get(t, "/readyz")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(body).To(Equal("view: no view yet\nport: ok\n"))
		_, status = get(t, "/healthz")
		Expect(status).To(Equal(http.StatusOK))
		Expect(stop()).To(Succeed())
	})

	// Guards against the loss of the last spans, which still wait for their export when the process stops.
	It("writes the sampled spans to standard output", func() {
		var spans bytes.Buffer
		t, stop := start(telemetry.Config{Spans: &spans, Trace: telemetry.TraceConfig{Exporter: "stdout", SampleRatio: 1}})
		_, span := t.Handle("agent").Tracer.Start(context.Background(), "admit")
		span.End()
		Expect(stop()).To(Succeed())
		Expect(spans.String()).To(ContainSubstring(`"Name":"admit"`))
	})

	// Guards against a setting of the sampler or exporter that is ignored.
	DescribeTable("records nothing",
		func(trace telemetry.TraceConfig) {
			var spans bytes.Buffer
			t, stop := start(telemetry.Config{Spans: &spans, Trace: trace})
			_, span := t.Handle("agent").Tracer.Start(context.Background(), "admit")
			Expect(span.SpanContext().IsSampled()).To(BeFalse())
			span.End()
			telemetry.StartChangeSpan(t.Handle("agent").Tracer, model.TraceOf("edit"), "node.apply").End()
			Expect(stop()).To(Succeed())
			Expect(spans.Len()).To(BeZero())
		},
		Entry("without an exporter", telemetry.TraceConfig{Exporter: "none", SampleRatio: 1}),
		Entry("at ratio 0", telemetry.TraceConfig{Exporter: "stdout"}),
	)

	// Guards against spans that are sent to another path than the one at which collectors receive them.
	It("sends spans to a collector by OTLP", func() {
		paths := make(chan string, 1)
		collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { paths <- r.URL.Path }))
		defer collector.Close()
		t, stop := start(telemetry.Config{
			Trace: telemetry.TraceConfig{Exporter: "otlp", Endpoint: collector.URL, SampleRatio: 1},
		})
		_, span := t.Handle("agent").Tracer.Start(context.Background(), "admit")
		span.End()
		Expect(stop()).To(Succeed())
		Expect(paths).To(Receive(Equal("/v1/traces")))
	})

	// Guards against a typing error that silently turns tracing off.
	It("rejects an unknown exporter", func() {
		_, err := telemetry.New(telemetry.Config{Trace: telemetry.TraceConfig{Exporter: "zipkin"}})
		Expect(err).To(MatchError(ContainSubstring("zipkin")))
	})
})

// start runs the telemetry on a free port. The returned function stops it and returns the error of Run.
func start(cfg telemetry.Config) (*telemetry.Telemetry, func() error) {
	cfg.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	t, err := telemetry.New(cfg)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- t.Run(ctx) }()
	return t, func() error {
		cancel()
		return <-done
	}
}

func get(t *telemetry.Telemetry, path string) (string, int) {
	response, err := http.Get("http://" + t.Addr().String() + path)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(body), response.StatusCode
}
