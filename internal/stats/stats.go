// Package stats exports the counters of a struct as Prometheus metrics.
package stats

import (
	"reflect"
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// collector is a prometheus.Collector over a struct of counters.
type collector[S any] struct {
	read   func() S
	descs  []*prometheus.Desc
	fields []int
}

// Register exports every uint64 field of the struct that read returns as a counter named PREFIX_FIELD_total,
// with FIELD in snake case. For a field with a tag `metric:"Name"`, Name takes the place of the field's name.
func Register[S any](r prometheus.Registerer, prefix string, read func() S) error {
	c := &collector[S]{read: read}
	t := reflect.TypeFor[S]()
	for i := range t.NumField() {
		field := t.Field(i)
		if field.Type.Kind() != reflect.Uint64 {
			continue
		}
		counter, tagged := field.Tag.Lookup("metric")
		if !tagged {
			counter = field.Name
		}
		name := prefix + "_" + snakeCase(counter) + "_total"
		c.descs = append(c.descs, prometheus.NewDesc(name, "See docs/metrics.md.", nil, nil))
		c.fields = append(c.fields, i)
	}
	return errors.Wrap(r.Register(c), "register metrics")
}

// Describe implements prometheus.Collector.
func (c *collector[S]) Describe(out chan<- *prometheus.Desc) {
	for _, d := range c.descs {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector[S]) Collect(out chan<- prometheus.Metric) {
	v := reflect.ValueOf(c.read())
	for i, field := range c.fields {
		out <- prometheus.MustNewConstMetric(c.descs[i], prometheus.CounterValue, float64(v.Field(field).Uint()))
	}
}

// snakeCase converts FindsFailed to finds_failed.
func snakeCase(name string) string {
	var b strings.Builder
	runes := []rune(name)
	for i, r := range runes {
		if unicode.IsUpper(r) && i > 0 && !unicode.IsUpper(runes[i-1]) {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
