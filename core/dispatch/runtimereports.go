package dispatch

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/runtimes"
	"github.com/godwitlink/godwitlink/core/workload"
)

const (
	// runTimeReportInterval is the minimum time between two reports of run times. They are part of
	// proposals that are made anyway. A new leader misses what was learned since the last one.
	runTimeReportInterval = time.Second
	// maxReportedSamples bounds the samples of a queue in one report. Further ones are left out: a
	// histogram holds only a few hundred.
	maxReportedSamples = 128
)

// runTimeReports are the samples that have not been proposed yet, by queue.
type runTimeReports struct {
	samples map[string][]runtimes.Sample
	nextAt  time.Time
}

// addSample adds what a run says about the run times of its queue.
func (c *Core) addSample(j *job, sample runtimes.Sample) {
	j.group.Add(sample)
	queue := j.Queue.Name
	if reports := &c.runTimes.reports; c.state.KeepsRunTimes() && len(reports.samples[queue]) < maxReportedSamples {
		reports.samples[queue] = append(reports.samples[queue], sample)
	}
}

// queueReports adds the reports that end no run to the ends that are proposed next.
func (c *Core) queueReports() {
	c.queueBegunReports()
	c.queueRunTimeReports()
}

// queueRunTimeReports adds the reports to the ends that are proposed next.
func (c *Core) queueRunTimeReports() {
	reports := &c.runTimes.reports
	if len(reports.samples) == 0 || c.now.Before(reports.nextAt) {
		return
	}
	reports.nextAt = c.now.Add(runTimeReportInterval)
	queues := make([]string, 0, len(reports.samples))
	for queue := range reports.samples {
		queues = append(queues, queue)
	}
	slices.Sort(queues)
	for _, queue := range queues {
		c.pendingEnds = append(c.pendingEnds, workload.RunTimeReport(queue, reports.samples[queue]))
	}
	clear(reports.samples)
}

// recoverRunTimes takes over what earlier leaders have learned.
func (c *Core) recoverRunTimes() {
	if c.opts.TrustDeclared {
		return
	}
	c.state.RunTimes(func(queue string, group runtimes.Group) { *c.runTimes.groupOf(queue) = group })
}
