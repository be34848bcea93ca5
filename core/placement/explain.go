package placement

import (
	"fmt"
	"strings"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// Reason is the reason why a task waits.
type Reason string

// Reasons for waiting.
const (
	ReasonNone        Reason = ""                 // no task waits
	ReasonUnknownJob  Reason = "unknown-job"      // no job with this id, or it has ended
	ReasonTurn        Reason = "turn"             // ready; one of the next plans will try it
	ReasonShare       Reason = "share"            // tasks of teams that use less of their share come first
	ReasonNoRoom      Reason = "no-room"          // no worker has enough free resources
	ReasonNoWorker    Reason = "no-worker"        // no usable worker of the pools is large enough
	ReasonNoPolicy    Reason = "no-policy"        // the policy is no longer in the cell file
	ReasonReserved    Reason = "gang-reservation" // the workers with enough free resources are reserved for a gang or a large task
	ReasonReserving   Reason = "reserving"        // reserved workers are waiting for running tasks to end
	ReasonGangTasks   Reason = "gang-tasks"       // other tasks of the gang are not queued yet
	ReasonPreempting  Reason = "preempting"       // preempted allocations have not ended yet
	ReasonQuota       Reason = "quota"            // the team would exceed its quota
	ReasonUrgentLimit Reason = "urgent-limit"     // the team would exceed its limit of urgent work
	ReasonBackoff     Reason = "backoff"          // the task failed or its placement was refused, and the next attempt is delayed
)

// Resource is the name of a dimension of cell.Resources.
type Resource string

// Resources that can be insufficient.
const (
	ResourceCPU          Resource = "cpu"
	ResourceMemory       Resource = "memory"
	ResourceAccelerators Resource = "accelerators"
)

// Explanation describes why the tasks of a job wait.
type Explanation struct {
	Job      cell.JobID
	Waiting  int // tasks without a placement
	Reason   Reason
	Resource Resource    // the resource that is insufficient in the quota or on most workers
	Pools    []cell.Pool // pools of the job's policy
	Until    time.Time   // end of the backoff, or expected start on reserved workers
	Share    float64     // usage of the team divided by its share
}

// String formats the explanation for operators and logs.
func (e Explanation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "job %d: %d waiting, reason %q", e.Job, e.Waiting, e.Reason)
	if e.Resource != "" {
		fmt.Fprintf(&b, ", short of %s", e.Resource)
	}
	if len(e.Pools) > 0 {
		fmt.Fprintf(&b, ", pools %v", e.Pools)
	}
	if !e.Until.IsZero() {
		fmt.Fprintf(&b, ", until %s", e.Until.UTC().Format(time.RFC3339))
	}
	if e.Waiting > 0 {
		fmt.Fprintf(&b, ", team at %.2f of its share", e.Share)
	}
	return b.String()
}

// Explain returns why a job waits. It may visit every worker and is meant for requests of
// operators.
func (s *Scheduler) Explain(now time.Time, id cell.JobID) Explanation {
	s.advance(now)
	j := s.jobs[id]
	if j == nil {
		return Explanation{Job: id, Reason: ReasonUnknownJob}
	}
	e := Explanation{Job: id, Waiting: len(j.queued) + j.backingOff, Share: j.team.shareRatio}
	for _, set := range j.claims {
		e.Waiting += len(set.claims)
	}
	switch {
	case j.class != nil:
		s.explainClass(&e, j)
	case len(j.claims) > 0:
		e.Reason = ReasonPreempting
	case j.backingOff > 0:
		e.Reason, e.Until = ReasonBackoff, s.backoffEnd(j)
	case len(j.queued) > 0:
		e.Reason = ReasonGangTasks
	}
	return e
}

// backoffEnd returns the earliest time at which a delayed task of the job is queued again.
func (s *Scheduler) backoffEnd(j *job) time.Time {
	var first time.Time
	for _, t := range s.timers {
		if at := time.Unix(0, t.at); t.job == j && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

func (s *Scheduler) explainClass(e *Explanation, j *job) {
	c := j.class
	e.Reason = c.waitReason
	e.Pools = c.scope.policy.Pools
	switch c.waitReason {
	case ReasonQuota:
		e.Resource = scarcestResource(c.team.quota.Sub(c.team.usage), c.key.size.Scale(int64(c.tasksPerPlacement())))
	case ReasonNoRoom:
		s.explainNoRoom(e, c)
	case ReasonTurn:
		if first := s.nextClass(); first != nil && first.team != c.team && first.team.shareRatio < c.team.shareRatio {
			e.Reason = ReasonShare
		}
	}
}

// explainNoRoom counts which resource is insufficient on the workers of the scope.
func (s *Scheduler) explainNoRoom(e *Explanation, c *taskClass) {
	if !c.scope.policyKnown {
		e.Reason = ReasonNoPolicy
		return
	}
	size := c.key.size
	short := map[Resource]int{}
	largeEnough, fitting := 0, 0
	for _, g := range c.scope.groups {
		for _, w := range g.index.workers {
			if !w.usable() || !size.Fits(w.Capacity) {
				continue
			}
			largeEnough++
			if free := w.free(); size.Fits(free) {
				fitting++
			} else {
				short[scarcestResource(free, size)]++
			}
		}
	}
	e.Resource = mostFrequentShortage(short)
	switch {
	case len(c.reservations) > 0:
		e.Reason, e.Until = ReasonReserving, c.reservations[0].expectedStart
	case largeEnough == 0:
		e.Reason = ReasonNoWorker
	case fitting > 0 && !c.gang():
		e.Reason = ReasonReserved
	}
}

// scarcestResource returns the resource of which free has the smallest fraction of size, or "" if
// size fits free.
func scarcestResource(free, size cell.Resources) Resource {
	short, least := Resource(""), 1.0
	for _, r := range []struct {
		name       Resource
		room, size int64
	}{
		{ResourceCPU, free.MilliCPU, size.MilliCPU},
		{ResourceMemory, free.MemoryBytes, size.MemoryBytes},
		{ResourceAccelerators, free.Accelerators, size.Accelerators},
	} {
		if r.size > 0 && fraction(r.room, r.size) < least {
			short, least = r.name, fraction(r.room, r.size)
		}
	}
	return short
}

func mostFrequentShortage(short map[Resource]int) Resource {
	most := Resource("")
	for _, r := range []Resource{ResourceCPU, ResourceMemory, ResourceAccelerators} {
		if short[r] > short[most] {
			most = r
		}
	}
	return most
}
