package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/acceptance"
	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// acceptedJob is a job of an overloadedCell that was accepted.
type acceptedJob struct {
	id        workload.JobID
	at        time.Duration
	doneTasks int
	endedAt   time.Duration
}

// acceptanceCell submits jobs as clients do that are refused by the waits of the leader.
type acceptanceCell struct {
	*overloadedCell
	refuses bool
	waits   []acceptance.QueueWait
	// uncounted are the jobs that were accepted since, submitted the number of accepted jobs.
	uncounted acceptance.Uncounted
	submitted uint64
	applied   uint64 // number of the last one that the leader knows
	accepted  map[workload.JobID]*acceptedJob
	refused   int
}

func (c *acceptanceCell) updateWaits() {
	c.waits = nil
	if c.core != nil {
		c.uncounted.Counted(c.applied)
		c.waits = c.core.QueueWaits(c.time(), min(c.lastPass, c.passBefore))
	}
	c.after(250*time.Millisecond, c.updateWaits)
}

func (c *acceptanceCell) submitOrRefuse() {
	if c.core == nil {
		return
	}
	spec := workload.JobSpec{Steps: []workload.StepSpec{{Tasks: tasksPerJob, Size: workload.Resources{MilliCPU: 1000}, Estimate: overloadRunTime}}}
	queue := &c.committed.Config().Queues[0]
	if wait, found := acceptance.Find(c.waits, queue.Name); found && c.refuses {
		if _, refused := acceptance.Check(c.uncounted.AddTo(wait, queue), queue, &spec, workload.Resources{}); refused {
			c.refused++
			return
		}
	}
	c.submit()
	c.submitted++
	c.uncounted.Add(c.submitted, queue, &spec, c.committed.ServiceCapacity(queue.Service))
	last, number := &c.inbox[len(c.inbox)-1], c.submitted
	apply := last.do
	last.do = func(now time.Time) { apply(now); c.applied = number }
	id := c.jobs[len(c.jobs)-1]
	c.accepted[id] = &acceptedJob{id: id, at: c.now}
}

func (c *acceptanceCell) submitAtRate(interval, until time.Duration) {
	if c.now < until {
		c.submitOrRefuse()
		c.after(interval, func() { c.submitAtRate(interval, until) })
	}
}

// playAcceptance plays the outage with a queue of which jobs are of use for 21 s, and returns how many of the
// jobs that were accepted after it, early enough to be judged, ended in time, and how many were accepted.
func playAcceptance(t *testing.T, refuses bool) (c *acceptanceCell, inTime, accepted int) {
	const objective = 7 * time.Second // target latency and one run
	c = &acceptanceCell{overloadedCell: newOverloadedCell(), refuses: refuses, accepted: map[workload.JobID]*acceptedJob{}}
	c.apply(workload.Command{Configure: &workload.Config{Version: 3, Queues: []workload.Queue{{
		Name: "fast", Service: "shop", MaxAttempts: 5, SlackFactor: 1, TargetLatency: objective - overloadRunTime,
		Advice: &workload.AdviserConfig{Base: 14 * time.Millisecond, PerWorker: 200 * time.Microsecond, TicketTTL: overloadTicketTTL},
	}}}})
	for _, w := range c.workers {
		count := w.onEnd
		w.onEnd = func(end dispatch.ListedEnd) {
			before := len(c.doneAt)
			count(end)
			if job := c.accepted[end.Task.Job]; job != nil && len(c.doneAt) > before {
				job.doneTasks++
				job.endedAt = c.now
			}
		}
	}
	c.elect(t)
	c.updateWaits()
	const judged, horizon = outageEnd + 24*time.Second, outageEnd + 46*time.Second
	c.submitAtRate(time.Second*tasksPerJob*10/(taskRate*8), horizon)
	c.runUntil(outageBegin)
	if c.refused > 0 {
		t.Errorf("%d jobs are refused before the outage", c.refused)
	}
	c.core = nil
	c.runUntil(outageEnd)
	c.elect(t)
	for i := range backlogJobs {
		c.after(time.Duration(i)*time.Second/500, c.submitOrRefuse)
	}
	c.runUntil(horizon)
	for _, job := range c.accepted {
		if job.at < outageEnd || job.at > judged {
			continue
		}
		accepted++
		if job.doneTasks == tasksPerJob && job.endedAt-job.at <= workload.MaxLateness*objective {
			inTime++
		}
	}
	return c, inTime, accepted
}

// Guards against refusals that cost callers jobs that would have ended in time, and against a backlog after an
// outage that makes most accepted jobs end when they are of no use any more. Clients need an answer at once
// for what cannot be done.
func TestAcceptedJobsEndInTimeAfterAnOutage(t *testing.T) {
	_, inTimeBefore, acceptedBefore := playAcceptance(t, false)
	c, inTime, accepted := playAcceptance(t, true)
	t.Logf("without refusals %d of %d jobs end in time, with %d refusals %d of %d", inTimeBefore, acceptedBefore, c.refused, inTime, accepted)
	if c.refused == 0 || inTime < inTimeBefore {
		t.Errorf("%d jobs end in time, %d are refused; %d end in time without refusals", inTime, c.refused, inTimeBefore)
	}
	if share, before := float64(inTime)/float64(accepted), float64(inTimeBefore)/float64(acceptedBefore); share < 1.5*before {
		t.Errorf("%.2f of the accepted jobs end in time, %.2f without refusals", share, before)
	}
}
