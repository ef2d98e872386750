package wal

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the metrics of a Log.
type Metrics struct {
	frames      prometheus.Counter
	bytes       prometheus.Counter
	syncSeconds prometheus.Histogram
	segments    prometheus.Gauge
	failed      prometheus.Gauge
}

// Histogram buckets for the duration of a sync, in seconds: 50 µs to about 1.6 s.
const (
	syncBucketStart  = 50e-6
	syncBucketFactor = 2
	syncBucketCount  = 16
)

func newMetrics(r prometheus.Registerer) (*Metrics, error) {
	m := &Metrics{
		frames: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "greengagelock_wal_frames_total", Help: "Frames written to the log.",
		}),
		bytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "greengagelock_wal_bytes_total", Help: "Bytes written to the log.",
		}),
		syncSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "greengagelock_wal_sync_seconds", Help: "Duration of a sync.",
			Buckets: prometheus.ExponentialBuckets(syncBucketStart, syncBucketFactor, syncBucketCount),
		}),
		segments: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "greengagelock_wal_segments", Help: "Segment files of the log.",
		}),
		failed: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "greengagelock_wal_failed", Help: "1 if the log refuses writes after a failure.",
		}),
	}
	var err error
	m.frames, err = register(r, m.frames, err)
	m.bytes, err = register(r, m.bytes, err)
	m.syncSeconds, err = register(r, m.syncSeconds, err)
	m.segments, err = register(r, m.segments, err)
	m.failed, err = register(r, m.failed, err)
	if err == nil {
		m.failed.Set(0)
	}
	return m, err
}

// register registers c, or returns the collector that an earlier Log of this process registered: the log
// is reopened after a failure. It does nothing if previous is an error.
func register[C prometheus.Collector](r prometheus.Registerer, c C, previous error) (C, error) {
	if previous != nil {
		return c, previous
	}
	err := r.Register(c)
	var registered prometheus.AlreadyRegisteredError
	if errors.As(err, &registered) {
		if existing, ok := registered.ExistingCollector.(C); ok {
			return existing, nil
		}
	}
	return c, err
}
