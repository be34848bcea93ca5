// Package metrics collects metrics in a tally scope and serves them as text on
// a scrape address. Names carry their unit, for example "commit_delay_seconds".
// Every metric is declared once, so that docs/metrics.md can be compared.
package metrics

import (
	"fmt"
	"net/http"
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

// Kind is the kind of a metric.
type Kind string

// Kinds of metrics.
const (
	KindCounter   Kind = "counter"
	KindGauge     Kind = "gauge"
	KindHistogram Kind = "histogram"
)

// catalogue holds every declared metric. It is written by package variable
// initialisation only and read-only after that.
var catalogue = map[string]Metric{}

// Declare adds a metric to the catalogue. It is for package variables only and
// panics where the name is taken, which is a fault in the code.
func Declare(name string, kind Kind, help string) Metric {
	if _, taken := catalogue[name]; taken {
		panic(fmt.Sprintf("metric name %q is taken", name))
	}
	metric := Metric{Name: name, Kind: kind, Help: help}
	catalogue[name] = metric
	return metric
}

// Catalogue returns all declared metrics by name.
func Catalogue() []Metric {
	sorted := make([]Metric, 0, len(catalogue))
	for _, metric := range catalogue {
		sorted = append(sorted, metric)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	return sorted
}

// delayBuckets are the bounds of all delay histograms.
var delayBuckets = tally.DurationBuckets{
	500 * time.Microsecond, time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond,
	10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second,
	5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// Set is the metrics of one process.
type Set struct {
	scope tally.TestScope
}

// New returns an empty set.
func New() *Set {
	// A scope without a reporter keeps its values in memory until Snapshot
	// reads them, which is what a scrape needs.
	return &Set{scope: tally.NewTestScope("", nil)}
}

// Add adds n to a counter. reason is an optional label for refusals and
// retries; it is left out where empty.
func (s *Set) Add(m Metric, reason string, n int64) {
	s.scopeFor(reason).Counter(m.Name).Inc(n)
}

// Gauge sets a gauge.
func (s *Set) Gauge(m Metric, value float64) {
	s.scope.Gauge(m.Name).Update(value)
}

// Observe records a delay in a histogram.
func (s *Set) Observe(m Metric, delay time.Duration) {
	s.scope.Histogram(m.Name, delayBuckets).RecordDuration(delay)
}

func (s *Set) scopeFor(reason string) tally.Scope {
	if reason == "" {
		return s.scope
	}
	return s.scope.Tagged(map[string]string{"reason": reason})
}

// Text returns all metrics in the text exposition format that scrapers read.
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

// ServeHTTP serves Text.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	// The scraper has gone where this fails; there is nobody to tell.
	_, _ = w.Write([]byte(s.Text()))
}
