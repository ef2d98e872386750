// Package target polls the health and load endpoints of a target. Both can lag or be wrong, so evidence from
// handshakes takes precedence over their reports.
package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/greengagelock/greengagelock/internal/telemetry"
)

// Defaults and limits of a request to an endpoint.
const (
	defaultInterval = time.Second
	defaultTimeout  = 500 * time.Millisecond
	maxBodyBytes    = 4096
)

// Config names the endpoints of a target. An empty URL means that the target has no such endpoint.
type Config struct {
	HealthURL string
	LoadURL   string
	Interval  time.Duration // between two reports
	Timeout   time.Duration // of one request
}

// Report is the result of polling the endpoints once.
type Report struct {
	Healthy  bool
	Draining bool // the target announces that it will leave
	HasLoad  bool
	Load     Load
	// Restarted says that the target process changed since the last load report.
	Restarted bool
}

// Load is the body of the load endpoint.
type Load struct {
	SlotsInUse  int    `json:"slots_in_use"`
	Connections int    `json:"connections"`
	Instance    string `json:"instance"` // identifies the target process
}

// health is the body of the health endpoint.
type health struct {
	Draining bool `json:"draining"`
}

// Module provides the Watcher.
var Module = fx.Module("target", fx.Provide(New))

// Watcher polls the endpoints of a target at an interval.
type Watcher struct {
	cfg      Config
	client   *http.Client
	reports  chan Report
	instance string
	failures *prometheus.CounterVec
}

// New returns a Watcher. It registers the metric of failed requests.
func New(cfg Config, t telemetry.Handle) (*Watcher, error) {
	if cfg.Interval <= 0 {
		cfg.Interval = defaultInterval
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	failures := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "greengagelock_target_endpoint_failures_total",
		Help: "Requests to the endpoints of the target without a valid answer.",
	}, []string{"endpoint"})
	if err := t.Metrics.Register(failures); err != nil {
		return nil, err
	}
	client := &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	return &Watcher{cfg: cfg, client: client, reports: make(chan Report, 1), failures: failures}, nil
}

// Reports returns the channel of reports. It holds one report; a new one replaces a report that was not
// received.
func (w *Watcher) Reports() <-chan Report {
	return w.reports
}

// Run polls the endpoints until ctx is done.
func (w *Watcher) Run(ctx context.Context) error {
	defer w.client.CloseIdleConnections()
	if w.cfg.HealthURL == "" && w.cfg.LoadURL == "" {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(w.cfg.Interval)
	defer ticker.Stop()
	for {
		w.publish(w.poll(ctx))
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// publish sends a report in place of one that was not received, of which it keeps the restart.
func (w *Watcher) publish(r Report) {
	select {
	case old := <-w.reports:
		r.Restarted = r.Restarted || old.Restarted
	default:
	}
	w.reports <- r
}

// poll requests both endpoints.
func (w *Watcher) poll(ctx context.Context) Report {
	r := Report{Healthy: true}
	if w.cfg.HealthURL != "" {
		w.pollHealth(ctx, &r)
	}
	if w.cfg.LoadURL != "" {
		w.pollLoad(ctx, &r)
	}
	return r
}

func (w *Watcher) pollHealth(ctx context.Context, r *Report) {
	var h health
	status, err := w.get(ctx, w.cfg.HealthURL, &h)
	if status == 0 || err != nil && status == http.StatusOK {
		w.failures.WithLabelValues("health").Inc()
	}
	r.Healthy = status == http.StatusOK
	r.Draining = err == nil && h.Draining
}

func (w *Watcher) pollLoad(ctx context.Context, r *Report) {
	var l Load
	status, err := w.get(ctx, w.cfg.LoadURL, &l)
	if err != nil || status != http.StatusOK || l.SlotsInUse < 0 || l.Connections < 0 {
		w.failures.WithLabelValues("load").Inc()
		return
	}
	r.HasLoad = true
	r.Load = l
	r.Restarted = w.instance != "" && l.Instance != "" && l.Instance != w.instance
	if l.Instance != "" {
		w.instance = l.Instance
	}
}

// get decodes the body of a response into v. The status is zero if there was no response.
func (w *Watcher) get(ctx context.Context, url string, v any) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, w.cfg.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	response, err := w.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1))
	if err != nil {
		return response.StatusCode, err
	}
	if len(body) > maxBodyBytes {
		return response.StatusCode, errors.Newf("answer of %s is longer than %d bytes", url, maxBodyBytes)
	}
	return response.StatusCode, json.Unmarshal(body, v)
}
