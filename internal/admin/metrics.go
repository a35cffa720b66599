package admin

import (
	"bytes"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"

	metrics "github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles that are exposed for each distribution.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// nanosPerSecond converts timers, which have nanoseconds, to seconds, the base unit
// of the exposition format.
const nanosPerSecond = 1e9

// Label is a label of a metric.
type Label struct {
	Name  string
	Value string
}

// MetricName returns the name under which a metric with labels is registered. The
// registry has no labels, so the name contains them in the syntax of the
// exposition format.
func MetricName(name string, labels ...Label) string {
	if len(labels) == 0 {
		return name
	}
	parts := make([]string, len(labels))
	for i, l := range labels {
		parts[i] = sanitizeName(l.Name) + `="` + escapeLabelValue(l.Value) + `"`
	}
	return name + "{" + strings.Join(parts, ",") + "}"
}

// escapeLabelValue escapes a label value as the exposition format requires.
func escapeLabelValue(v string) string {
	return strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`).Replace(v)
}

// sanitizeName converts text to a valid metric or label name.
func sanitizeName(name string) string {
	valid := func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '_':
			return r
		}
		return '_'
	}
	name = strings.Map(valid, name)
	if name == "" || name[0] >= '0' && name[0] <= '9' {
		return "_" + name
	}
	return name
}

// labelsPattern matches the labels of a name returned by MetricName.
var labelsPattern = regexp.MustCompile(`^[a-zA-Z_][a-zA-Z0-9_]*="([^"\\\n]|\\.)*"(,[a-zA-Z_][a-zA-Z0-9_]*="([^"\\\n]|\\.)*")*$`)

// splitName is the reverse of MetricName. A name that MetricName can't have returned
// is sanitized as a whole, so that it can't make the page invalid.
func splitName(full string) (name, labels string) {
	name, labels, found := strings.Cut(full, "{")
	labels, closed := strings.CutSuffix(labels, "}")
	if found && (!closed || !labelsPattern.MatchString(labels)) {
		return sanitizeName(full), ""
	}
	return sanitizeName(name), labels
}

// family is the set of all metrics with one name. The exposition format requires
// that they follow one TYPE line without other metrics in between.
type family struct {
	name  string
	kind  string
	lines []string
}

// exposition returns the metrics of a registry in the Prometheus text exposition
// format, version 0.0.4.
func exposition(r metrics.Registry) []byte {
	all := map[string]any{}
	r.Each(func(full string, m any) { all[full] = m })
	families := map[string]*family{}
	for _, full := range slices.Sorted(maps.Keys(all)) {
		name, labels := splitName(full)
		addMetric(families, name, labels, all[full])
	}
	var b bytes.Buffer
	for _, n := range slices.Sorted(maps.Keys(families)) {
		f := families[n]
		slices.Sort(f.lines)
		fmt.Fprintf(&b, "# TYPE %s %s\n", f.name, f.kind)
		for _, l := range f.lines {
			b.WriteString(l)
		}
	}
	return b.Bytes()
}

// addMetric adds the lines of one metric to its family. A metric of another kind
// than the rest of its family is omitted, because it would make the whole page
// invalid. Summaries have no _sum: the registry stores only a sample of the values,
// so its sum is not the total, and a mean calculated from it would be wrong.
func addMetric(families map[string]*family, name, labels string, m any) {
	add := func(name, kind, suffix, labels string, value float64) {
		f := families[name]
		if f == nil {
			f = &family{name: name, kind: kind}
			families[name] = f
		}
		if f.kind != kind {
			return
		}
		f.lines = append(f.lines, formatSample(name+suffix, labels, value))
	}
	switch t := m.(type) {
	case metrics.Counter:
		add(withSuffix(name, "_total"), "counter", "", labels, float64(t.Count()))
	case metrics.Meter:
		add(withSuffix(name, "_total"), "counter", "", labels, float64(t.Count()))
	case metrics.Gauge:
		add(name, "gauge", "", labels, float64(t.Value()))
	case metrics.GaugeFloat64:
		add(name, "gauge", "", labels, t.Value())
	case metrics.Histogram:
		s := t.Snapshot()
		for i, v := range s.Percentiles(quantiles) {
			add(name, "summary", "", withQuantile(labels, quantiles[i]), v)
		}
		add(name, "summary", "_count", labels, float64(s.Count()))
	case metrics.Timer:
		s := t.Snapshot()
		name := withSuffix(name, "_seconds")
		for i, v := range s.Percentiles(quantiles) {
			add(name, "summary", "", withQuantile(labels, quantiles[i]), v/nanosPerSecond)
		}
		add(name, "summary", "_count", labels, float64(s.Count()))
	}
}

func withSuffix(name, suffix string) string {
	return strings.TrimSuffix(name, suffix) + suffix
}

func withQuantile(labels string, q float64) string {
	label := `quantile="` + strconv.FormatFloat(q, 'g', -1, 64) + `"`
	if labels == "" {
		return label
	}
	return labels + "," + label
}

func formatSample(name, labels string, v float64) string {
	if labels != "" {
		name += "{" + labels + "}"
	}
	return name + " " + strconv.FormatFloat(v, 'g', -1, 64) + "\n"
}
