package dispatcher

import (
	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// Metrics of learned run times.
var (
	metricRunTimeRatio = metrics.Declare("run_time_ratio", metrics.KindHistogram, "measured run time of a task as a multiple of the predicted one, by queue")
	metricLateJobs     = metrics.Declare("jobs_late_total", metrics.KindCounter, "jobs completed after their objective, by cause: restarted, long-run or waited")
)

const (
	// maxQueueLabels bounds the queues that have a histogram of their own, because a configuration may
	// list thousands. The others share the label otherQueues.
	maxQueueLabels = 64
	otherQueues    = "(other)"
)

// recordRunTimes publishes how well run times were predicted, and why jobs were late.
func (l *eventLoop) recordRunTimes(e dispatch.Effects) {
	for _, r := range e.RunTimes {
		if r.Predicted > 0 {
			l.opts.Metrics.ObserveRatioFor(metricRunTimeRatio, l.queueLabel(r.Queue), r.Measured.Seconds()/r.Predicted.Seconds())
		}
	}
	for _, late := range e.LateJobs {
		l.opts.Metrics.Add(metricLateJobs, string(late.Cause), 1)
	}
}

func (l *eventLoop) queueLabel(queue string) string {
	if l.queueLabels[queue] {
		return queue
	}
	if len(l.queueLabels) >= maxQueueLabels {
		return otherQueues
	}
	if l.queueLabels == nil {
		l.queueLabels = map[string]bool{}
	}
	l.queueLabels[queue] = true
	return queue
}
