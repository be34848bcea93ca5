package dispatcher

import (
	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// Metrics of the bounds of a leader that is late.
var (
	metricBounds    = metrics.Declare("dispatch_bounds_active", metrics.KindGauge, "bounds that limit the leader because it is late")
	metricBoundHits = metrics.Declare("dispatch_bound_hits_total", metrics.KindCounter, "what the bounds of the leader have put off, by bound and reason")
)

// recordBounds publishes which bounds limit the core and what they have put off since the last pass.
func (l *eventLoop) recordBounds(load dispatch.Load) {
	if load.Bounds != l.term.boundsActive {
		l.term.boundsActive = load.Bounds
		l.opts.Metrics.SetGauge(metricBounds, float64(load.Bounds))
	}
	for i, hits := range load.BoundHits {
		if i == len(l.term.boundHits) {
			l.term.boundHits = append(l.term.boundHits, 0)
		}
		if added := hits.Count - l.term.boundHits[i]; added > 0 {
			l.opts.Metrics.Add(metricBoundHits, string(hits.Bound)+"-"+hits.Reason, int64(added))
			l.term.boundHits[i] = hits.Count
		}
	}
}
