// Package metrics collects metrics in a tally scope and serves them as text for scrapers. Names end
// in their unit, for example "commit_delay_seconds". Every metric is declared once, so that a test
// can compare docs/metrics.md with the code.
package metrics

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
)

// Metric is an entry of the catalogue.
type Metric struct {
	Name string
	Kind Kind
	Help string
}

// Kind is the type of a metric.
type Kind string

// Kinds of metrics.
const (
	KindCounter   Kind = "counter"
	KindGauge     Kind = "gauge"
	KindHistogram Kind = "histogram"
)

// catalogue holds every declared metric. It is written only during the initialization of package
// variables and needs no lock.
var catalogue = map[string]Metric{}

// Declare adds a metric to the catalogue. It may be called only to initialize a package variable,
// and panics when the name is already in use.
func Declare(name string, kind Kind, help string) Metric {
	if _, taken := catalogue[name]; taken {
		panic(fmt.Sprintf("metric name %q is already in use", name))
	}
	metric := Metric{Name: name, Kind: kind, Help: help}
	catalogue[name] = metric
	return metric
}

// Catalogue returns all declared metrics in the order of their names.
func Catalogue() []Metric {
	sorted := make([]Metric, 0, len(catalogue))
	for _, metric := range catalogue {
		sorted = append(sorted, metric)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	return sorted
}

// delayBuckets are the bucket bounds of all delay histograms.
var delayBuckets = tally.DurationBuckets{
	500 * time.Microsecond, time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond,
	10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second,
	5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// Set holds the metrics of one process.
type Set struct {
	scope tally.TestScope
}

// New returns an empty set.
func New() *Set {
	// A test scope keeps its values in memory until Snapshot reads them for a scrape, and needs no
	// reporter.
	return &Set{scope: tally.NewTestScope("", nil)}
}

// Add adds n to a counter. The label reason is left out when reason is empty.
func (s *Set) Add(m Metric, reason string, n int64) {
	s.scopeFor(reason).Counter(m.Name).Inc(n)
}

// SetGauge sets the value of a gauge.
func (s *Set) SetGauge(m Metric, value float64) {
	s.scope.Gauge(m.Name).Update(value)
}

// SetGaugeFor sets the value of a gauge that has the label reason.
func (s *Set) SetGaugeFor(m Metric, reason string, value float64) {
	s.scopeFor(reason).Gauge(m.Name).Update(value)
}

// AddForTeam adds n to a counter that has the labels team and reason.
func (s *Set) AddForTeam(m Metric, team, reason string, n int64) {
	s.scopeForTeam(team, reason).Counter(m.Name).Inc(n)
}

// SetGaugeForTeam sets the value of a gauge that has the labels team and reason.
func (s *Set) SetGaugeForTeam(m Metric, team, reason string, value float64) {
	s.scopeForTeam(team, reason).Gauge(m.Name).Update(value)
}

// Observe records a delay in a histogram.
func (s *Set) Observe(m Metric, delay time.Duration) {
	s.scope.Histogram(m.Name, delayBuckets).RecordDuration(delay)
}

// ratioBuckets are the bucket bounds of all histograms of ratios.
var ratioBuckets = tally.ValueBuckets{0.1, 0.25, 0.5, 0.7, 0.85, 1, 1.15, 1.4, 2, 4, 10}

// ObserveRatioFor records a ratio in a histogram that has the label reason.
func (s *Set) ObserveRatioFor(m Metric, reason string, ratio float64) {
	s.scopeFor(reason).Histogram(m.Name, ratioBuckets).RecordValue(ratio)
}

func (s *Set) scopeFor(reason string) tally.Scope {
	if reason == "" {
		return s.scope
	}
	return s.scope.Tagged(map[string]string{"reason": reason})
}

func (s *Set) scopeForTeam(team, reason string) tally.Scope {
	return s.scope.Tagged(map[string]string{"team": team, "reason": reason})
}

// Text returns all metrics in the Prometheus text exposition format.
func (s *Set) Text() string {
	snapshot := s.scope.Snapshot()
	var lines []string
	for _, c := range snapshot.Counters() {
		lines = append(lines, fmt.Sprintf("%s%s %d", c.Name(), labels(c.Tags()), c.Value()))
	}
	for _, g := range snapshot.Gauges() {
		lines = append(lines, fmt.Sprintf("%s%s %g", g.Name(), labels(g.Tags()), g.Value()))
	}
	for _, h := range snapshot.Histograms() {
		if len(h.Values()) > 0 {
			lines = append(lines, ratioLines(h)...)
			continue
		}
		lines = append(lines, histogramLines(h)...)
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n") + "\n"
}

func histogramLines(h tally.HistogramSnapshot) []string {
	bounds := make([]time.Duration, 0, len(h.Durations()))
	for bound := range h.Durations() {
		bounds = append(bounds, bound)
	}
	sort.Slice(bounds, func(i, j int) bool { return bounds[i] < bounds[j] })
	var lines []string
	var cumulative int64
	for _, bound := range bounds {
		cumulative += h.Durations()[bound]
		lines = append(lines, fmt.Sprintf("%s_bucket{le=%q} %d", h.Name(), bucketLabel(bound), cumulative))
	}
	return append(lines, fmt.Sprintf("%s_count %d", h.Name(), cumulative))
}

// ratioLines returns the lines of a histogram of ratios.
func ratioLines(h tally.HistogramSnapshot) []string {
	bounds := slices.Sorted(maps.Keys(h.Values()))
	tags := map[string]string{}
	maps.Copy(tags, h.Tags())
	var lines []string
	var cumulative int64
	for _, bound := range bounds {
		cumulative += h.Values()[bound]
		tags["le"] = "+Inf"
		if bound <= ratioBuckets[len(ratioBuckets)-1] {
			tags["le"] = fmt.Sprintf("%g", bound)
		}
		lines = append(lines, fmt.Sprintf("%s_bucket%s %d", h.Name(), labels(tags), cumulative))
	}
	return append(lines, fmt.Sprintf("%s_count%s %d", h.Name(), labels(h.Tags()), cumulative))
}

func bucketLabel(bound time.Duration) string {
	if bound > delayBuckets[len(delayBuckets)-1] {
		return "+Inf"
	}
	return fmt.Sprintf("%g", bound.Seconds())
}

func labels(tags map[string]string) string {
	if len(tags) == 0 {
		return ""
	}
	parts := make([]string, 0, len(tags))
	for name, value := range tags {
		parts = append(parts, fmt.Sprintf("%s=%q", name, value))
	}
	sort.Strings(parts)
	return "{" + strings.Join(parts, ",") + "}"
}

// ServeHTTP responds with Text.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	// A write error means that the scraper has disconnected.
	_, _ = w.Write([]byte(s.Text()))
}
