package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/acceptance"
	"github.com/godwitlink/godwitlink/core/workload"
)

// queueClass is the queues of which the jobs wait for the same workers in the same order.
type queueClass struct {
	service  string
	priority int
}

// QueueWaits returns the waits of the queues of which some jobs could not end in time any more (package
// acceptance). passLength is how long the owner's last pass took. The wait of a new job is how late this
// leader is, and the time that all workers of the service need for the tasks that can run, are of use and
// come before it: those of queues with a higher or the same priority. It is a lower bound: work that follows
// steps in progress is not counted, nor are tasks that run, jobs that their team is not guaranteed, or steps
// that the cap of their team blocks.
func (c *Core) QueueWaits(now time.Time, passLength time.Duration) []acceptance.QueueWait {
	c.advanceClock(now)
	config := c.state.Config()
	late := c.oldestProposalAge() + passLength
	if config == nil || c.readyStepsInPlan == 0 && late < slowLeaderThreshold {
		return nil
	}
	work, ratios := c.readyWork()
	var waits []acceptance.QueueWait
	for i := range config.Queues {
		queue := &config.Queues[i]
		wait := late
		for class, w := range work {
			if class.service == queue.Service && class.priority <= queue.Priority {
				wait += w
			}
		}
		if acceptance.Relevant(queue, wait) {
			waits = append(waits, acceptance.QueueWait{Queue: queue.Name, Wait: wait, Capacity: c.state.ServiceCapacity(queue.Service), Ratio: ratios[queue.Name]})
		}
	}
	return waits
}

// slowLeaderThreshold is from when on the lateness of a leader without a backlog matters for jobs. It is a
// fraction of the shortest objectives.
const slowLeaderThreshold = 250 * time.Millisecond

// readyWork returns, by class, how long all workers of its service need for the tasks that can run, and by
// queue how much longer its tasks take than declared, as far as that is learned.
func (c *Core) readyWork() (work map[queueClass]time.Duration, ratios map[string]float64) {
	work, ratios = map[queueClass]time.Duration{}, map[string]float64{}
	for _, j := range c.liveJobs {
		ratios[j.Queue.Name] = j.groupRatio
		if j.BeyondShare {
			continue
		}
		capacity := c.state.ServiceCapacity(j.Queue.Service)
		for i := range j.steps {
			s, spec := &j.steps[i], &j.Spec.Steps[i]
			if s.waitingTasks == 0 || !j.DependenciesDone(i) || j.timeliness(i, c.now) == obsolete || c.isBlockedByTeamCap(j, spec) {
				continue
			}
			share := shareOf(spec.Size, capacity)
			work[queueClass{j.Queue.Service, j.Queue.Priority}] += time.Duration(float64(s.waitingTasks) * share * float64(s.expected))
		}
	}
	return work, ratios
}

// shareOf returns the largest share of a capacity that a size takes in any dimension, 0 without a capacity.
func shareOf(size, capacity workload.Resources) float64 {
	share := 0.0
	for _, d := range [][2]int64{{size.MilliCPU, capacity.MilliCPU}, {size.MemoryMB, capacity.MemoryMB}, {size.GPUs, capacity.GPUs}} {
		if d[1] > 0 {
			share = max(share, float64(d[0])/float64(d[1]))
		}
	}
	return share
}
