package controller

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/model"
)

// imbalanceCollector reports the imbalance of every service when the metrics are read. Only the
// leader knows the flows of the targets, so other controllers report nothing.
type imbalanceCollector struct {
	c    *Controller
	desc *prometheus.Desc
}

func newImbalanceCollector(c *Controller) *imbalanceCollector {
	return &imbalanceCollector{c: c, desc: prometheus.NewDesc("greengagelock_controller_imbalance",
		"Open flows of the fullest target of a service over the mean of its admitting targets.", []string{"service"}, nil)}
}

// Describe implements prometheus.Collector.
func (i *imbalanceCollector) Describe(descs chan<- *prometheus.Desc) { descs <- i.desc }

// Collect implements prometheus.Collector.
func (i *imbalanceCollector) Collect(metrics chan<- prometheus.Metric) {
	var targets []catalog.TargetStatus
	i.c.state.read(func(cat *catalog.Catalog) { targets = cat.Targets() })
	for service, value := range imbalanceOf(targets, i.c.evidence(targets)) {
		metrics <- prometheus.MustNewConstMetric(i.desc, prometheus.GaugeValue, value, service)
	}
}

// imbalanceOf returns maximum over mean of the open flows for each service that has flows.
func imbalanceOf(targets []catalog.TargetStatus, evidence map[model.TargetID]model.Evidence) map[string]float64 {
	type sums struct{ most, total, count int }
	services := map[string]sums{}
	for _, t := range targets {
		e, known := evidence[t.Model.ID]
		if !known || t.Model.State != model.TargetActive {
			continue
		}
		s := services[t.ServiceName]
		services[t.ServiceName] = sums{most: max(s.most, e.OpenFlows), total: s.total + e.OpenFlows, count: s.count + 1}
	}
	imbalance := map[string]float64{}
	for name, s := range services {
		if s.total > 0 {
			imbalance[name] = float64(s.most) * float64(s.count) / float64(s.total)
		}
	}
	return imbalance
}
