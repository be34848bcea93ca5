package placement

import (
	"fmt"
	"strings"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// Reason says why a task waits.
type Reason string

// Reasons for waiting.
const (
	ReasonNone        Reason = ""                 // nothing waits
	ReasonUnknownJob  Reason = "unknown-job"      // no job with this id, or it has ended
	ReasonTurn        Reason = "turn"             // the next plans will try it
	ReasonShare       Reason = "share"            // work of teams that got less of their share is first
	ReasonNoRoom      Reason = "no-room"          // no worker has enough left
	ReasonNoWorker    Reason = "no-worker"        // no usable worker of the pools is large enough
	ReasonNoPolicy    Reason = "no-policy"        // the policy is not in the file any more
	ReasonReserved    Reason = "gang-reservation" // the room that would fit is kept for a gang or a large task
	ReasonReserving   Reason = "reserving"        // its own reservation waits for running work to end
	ReasonGangTasks   Reason = "gang-tasks"       // other tasks of the gang are not queued yet
	ReasonPreempting  Reason = "preempting"       // waits for preempted work to end
	ReasonQuota       Reason = "quota"            // the team would exceed its quota
	ReasonUrgentLimit Reason = "urgent-limit"     // the team has too much urgent work
	ReasonBackoff     Reason = "backoff"          // the task failed and waits before the next attempt
)

// Resource names a dimension of cell.Resources.
type Resource string

// Resources that can be short.
const (
	ResourceCPU          Resource = "cpu"
	ResourceMemory       Resource = "memory"
	ResourceAccelerators Resource = "accelerators"
)

// Explanation says why the tasks of a job wait.
type Explanation struct {
	Job      cell.JobID
	Waiting  int // tasks without a placement
	Reason   Reason
	Resource Resource    // that is short, on most workers or in the quota
	Pools    []cell.Pool // that were considered
	Until    time.Time   // of a backoff, or the expected start by a reservation
	Share    float64     // use of the team divided by its share
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

// Explain says why a job waits. It may look at every worker and is meant for
// operators.
func (s *Scheduler) Explain(now time.Time, id cell.JobID) Explanation {
	s.advance(now)
	j := s.jobs[id]
	if j == nil {
		return Explanation{Job: id, Reason: ReasonUnknownJob}
	}
	e := Explanation{Job: id, Waiting: len(j.queued) + j.backoff, Share: j.team.fairness}
	for _, set := range j.claims {
		e.Waiting += len(set.claims)
	}
	switch {
	case j.class != nil:
		s.explainClass(&e, j)
	case len(j.claims) > 0:
		e.Reason = ReasonPreempting
	case j.backoff > 0:
		e.Reason, e.Until = ReasonBackoff, s.backoffEnd(j)
	case len(j.queued) > 0:
		e.Reason = ReasonGangTasks
	}
	return e
}

// backoffEnd returns when the first task of a job that backs off is due.
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
	e.Reason = c.wait
	e.Pools = c.scope.policy.Pools
	switch c.wait {
	case ReasonQuota:
		e.Resource = shortIn(c.team.quota.Sub(c.team.usage), c.key.size.Scale(int64(c.together())))
	case ReasonNoRoom:
		s.explainRoom(e, c)
	case ReasonTurn:
		if first := s.next(); first != nil && first.team != c.team && first.team.fairness < c.team.fairness {
			e.Reason = ReasonShare
		}
	}
}

// explainRoom counts which resource the workers of the scope are short of.
func (s *Scheduler) explainRoom(e *Explanation, c *class) {
	if !c.scope.known {
		e.Reason = ReasonNoPolicy
		return
	}
	size := c.key.size
	short := map[Resource]int{}
	large, reserved := 0, 0
	for _, g := range c.scope.groups {
		for _, w := range g.index.workers {
			if !w.usable() || !size.Fits(w.Capacity) {
				continue
			}
			large++
			if free := w.free(); size.Fits(free) {
				reserved++
			} else {
				short[shortIn(free, size)]++
			}
		}
	}
	e.Resource = mostShort(short)
	switch {
	case len(c.reservations) > 0:
		e.Reason, e.Until = ReasonReserving, c.reservations[0].start
	case large == 0:
		e.Reason = ReasonNoWorker
	case reserved > 0 && !c.gang():
		e.Reason = ReasonReserved
	}
}

// shortIn returns the resource of which room has the smallest part of size.
func shortIn(room, size cell.Resources) Resource {
	short, least := Resource(""), 1.0
	for _, r := range []struct {
		name       Resource
		room, size int64
	}{
		{ResourceCPU, room.MilliCPU, size.MilliCPU},
		{ResourceMemory, room.MemoryBytes, size.MemoryBytes},
		{ResourceAccelerators, room.Accelerators, size.Accelerators},
	} {
		if r.size > 0 && share(r.room, r.size) < least {
			short, least = r.name, share(r.room, r.size)
		}
	}
	return short
}

func mostShort(short map[Resource]int) Resource {
	most := Resource("")
	for _, r := range []Resource{ResourceCPU, ResourceMemory, ResourceAccelerators} {
		if short[r] > short[most] {
			most = r
		}
	}
	return most
}
