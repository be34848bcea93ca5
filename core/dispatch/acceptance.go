package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/acceptance"
)

// queueClass is the queues of which the jobs wait for the same workers in the same order.
type queueClass struct {
	service  string
	priority int
}

const (
	// slowLeaderThreshold is from when on the lateness of a leader without a backlog matters for jobs. It is
	// a fraction of the shortest objectives.
	slowLeaderThreshold = 250 * time.Millisecond
)

// QueueWaits returns the waits of the queues of which some jobs could not end in time any more (package
// acceptance). passLength is how long the owner's last pass took. Each wait is how late this leader is, and
// the time that all workers of the service need for the ready work that comes first. Work that may arrive later
// is not counted: a burst ends within seconds, and a job that could end in time once it is over must not be
// refused. Work that follows steps
// in progress is not counted, nor are tasks that run, jobs that their team is not guaranteed, or steps that
// the cap of their team blocks.
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
		onTimeWait, allWork := late, time.Duration(0)
		for class, w := range work {
			switch {
			case class.service != queue.Service || class.priority > queue.Priority:
				continue
			case class.priority < queue.Priority:
				onTimeWait += w.all
			default:
				onTimeWait += w.onTime
			}
			allWork += w.all
		}
		wait := acceptance.QueueWait{
			Queue: queue.Name, OnTime: onTimeWait, Overdue: late + allWork,
			Capacity: c.state.ServiceCapacity(queue.Service), Ratio: ratios[queue.Name],
		}
		if wait.Relevant(queue) {
			waits = append(waits, wait)
		}
	}
	return waits
}

// classWork is the ready work of a class, as the time that all workers of its service need for it.
type classWork struct{ onTime, all time.Duration }

// readyWork returns the work by class, and by queue how much longer its tasks take than declared, as far as
// that is learned.
func (c *Core) readyWork() (work map[queueClass]classWork, ratios map[string]float64) {
	work, ratios = map[queueClass]classWork{}, map[string]float64{}
	for _, j := range c.liveJobs {
		ratios[j.Queue.Name] = j.groupRatio
		if j.BeyondShare {
			continue
		}
		for i := range j.steps {
			s := &j.steps[i]
			if s.waitingTasks == 0 || !j.DependenciesDone(i) || c.isBlockedByTeamCap(j, &j.Spec.Steps[i]) {
				continue
			}
			added, sum := c.workersTime(j, i, s.waitingTasks), work[classOf(j)]
			switch j.timeliness(i, c.now) {
			case onTime:
				sum.onTime += added
				sum.all += added
			case overdue:
				sum.all += added
			}
			work[classOf(j)] = sum
		}
	}
	return work, ratios
}

func classOf(j *job) queueClass { return queueClass{j.Queue.Service, j.Queue.Priority} }

// workersTime returns how long all workers of the service of a step need for a number of its tasks.
func (c *Core) workersTime(j *job, index, tasks int) time.Duration {
	share := j.Spec.Steps[index].Size.DominantShare(c.state.ServiceCapacity(j.Queue.Service))
	return time.Duration(float64(tasks) * share * float64(j.steps[index].expected))
}
