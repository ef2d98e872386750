package controller

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/model"
)

// imbalanceCollector computes the imbalance of every service when the metrics are read. Only the leader
// knows the open flows of targets, so the other controllers export no value.
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

// imbalanceOf returns the maximum of the open flows per target divided by their mean, for each service
// that has open flows. Only active targets with evidence count.
func imbalanceOf(targets []catalog.TargetStatus, evidence map[model.TargetID]model.Evidence) map[string]float64 {
	type flowSums struct{ largest, total, targetCount int }
	services := map[string]flowSums{}
	for _, t := range targets {
		e, known := evidence[t.Model.ID]
		if !known || t.Model.State != model.TargetActive {
			continue
		}
		s := services[t.ServiceName]
		services[t.ServiceName] = flowSums{largest: max(s.largest, e.OpenFlows), total: s.total + e.OpenFlows, targetCount: s.targetCount + 1}
	}
	imbalance := map[string]float64{}
	for name, s := range services {
		if s.total > 0 {
			imbalance[name] = float64(s.largest) * float64(s.targetCount) / float64(s.total)
		}
	}
	return imbalance
}
