// Package metricstext writes a metrics registry in the Prometheus text format.
package metricstext

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// ContentType is the media type of the output of Write.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

const (
	// metricPrefix is the prefix of all metric names.
	metricPrefix = "vt_"
	// nanosecondsPerSecond converts the values of timers to seconds.
	nanosecondsPerSecond = 1e9
)

// quantiles lists the quantiles of histograms and timers that are written.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Write writes all metrics of a registry in the Prometheus text format, sorted by
// name. Timers are written in seconds.
func Write(out *bytes.Buffer, registry metrics.Registry) {
	byName := make(map[string]any)
	registry.Each(func(name string, metric any) { byName[metricName(name)] = metric })
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		writeMetric(out, name, byName[name])
	}
}

// metricName converts a name of the registry, such as "ingress.latency", to a name
// that Prometheus allows, such as "vt_ingress_latency".
func metricName(name string) string {
	return metricPrefix + strings.Map(func(c rune) rune {
		if c == '_' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' {
			return c
		}
		return '_'
	}, name)
}

func writeMetric(out *bytes.Buffer, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		writeValue(out, name, "counter", float64(m.Count()))
	case metrics.Gauge:
		writeValue(out, name, "gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		writeValue(out, name, "gauge", m.Value())
	case metrics.Meter:
		writeValue(out, name+"_total", "counter", float64(m.Snapshot().Count()))
	case metrics.Timer:
		writeSummary(out, name+"_seconds", m.Snapshot(), nanosecondsPerSecond)
	case metrics.Histogram:
		writeSummary(out, name, m.Snapshot(), 1)
	}
}

func writeValue(out *bytes.Buffer, name, kind string, value float64) {
	fmt.Fprintf(out, "# TYPE %s %s\n%s %s\n", name, kind, name, formatValue(value))
}

// distribution holds the methods that timers and histograms have in common.
type distribution interface {
	Percentiles([]float64) []float64
	Sum() int64
	Count() int64
}

func writeSummary(out *bytes.Buffer, name string, d distribution, unit float64) {
	fmt.Fprintf(out, "# TYPE %s summary\n", name)
	for i, value := range d.Percentiles(quantiles) {
		fmt.Fprintf(out, "%s{quantile=\"%s\"} %s\n", name, formatValue(quantiles[i]), formatValue(value/unit))
	}
	fmt.Fprintf(out, "%s_sum %s\n", name, formatValue(float64(d.Sum())/unit))
	fmt.Fprintf(out, "%s_count %d\n", name, d.Count())
}

func formatValue(value float64) string {
	return strconv.FormatFloat(value, 'g', -1, 64)
}
