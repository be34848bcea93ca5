package workload

import "time"

// A job beyond its team's share is accepted only if it finds room: the present work leaves resources for
// its first tasks, or the work that is ahead of it takes no longer than the job can wait.
//
// This handles a team that sends 4 to 7.5 times its guaranteed rate for some seconds while the cell is full.
// Its callers need an answer at once that they can trust, and a time to come back. The other teams need
// that the leader's work for jobs that cannot run soon stays bounded: jobs beyond a share come last in the
// order of steps, so they add to the length of every plan and get nothing. Jobs within a share are not
// refused here.

// minRoomWait is the time that every job can wait for its first run. It is that of queues without a target
// latency, and covers the commit and the calls for runs that have room.
const minRoomWait = time.Second

// Limits of the time after which a refused caller may come back. The lower one is the smallest value of the
// header, the upper one stays below the time for which callers usually keep a job.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// room is a part of the cell that a job needs: the workers of its service, or its team's cap.
type room struct {
	limit, used Resources
	capped      bool    // a limit of 0 means no limit
	ahead       backlog // what waits and does not come later in the order of steps
}

// wait returns how long it takes until what is ahead of a job of the given demand has found room. It is 0
// if there is room for all of it and for the job.
func (r room) wait(demand Resources) time.Duration {
	needed := r.used.Add(r.ahead.demand).Add(demand)
	if r.capped && needed.WithinCap(r.limit) || !r.capped && needed.Fits(r.limit) {
		return 0
	}
	if !r.capped && r.limit == (Resources{}) {
		return maxRetryAfter // no worker; nobody knows when one comes
	}
	return time.Duration(r.ahead.work.DominantShare(r.limit) * float64(time.Millisecond))
}

// allowedWait returns how long a job of a queue can wait for its first run. The rest of its objective is
// left for its work, whose estimate may be far off.
func (q *Queue) allowedWait() time.Duration {
	wait := max(q.TargetLatency, minRoomWait)
	if q.Advice != nil {
		// What waits for the adviser is ahead of the job, although it may have room.
		wait += q.Advice.Base
	}
	return wait
}

// refusedBeyondShare reports whether a new job is refused because it is beyond its team's share and finds no
// room, and when it may find some.
func (s *State) refusedBeyondShare(job *Job) (retryAfter time.Duration, refused bool) {
	if !job.BeyondShare {
		return 0, false
	}
	wait, allowed := s.waitForRoom(job), job.Queue.allowedWait()
	if wait <= allowed {
		return 0, false
	}
	return min(max(wait-allowed, minRetryAfter), maxRetryAfter), true
}

// waitForRoom returns how long it takes until a new job finds room.
func (s *State) waitForRoom(job *Job) time.Duration {
	service := s.services[job.Queue.Service]
	cell := room{limit: service.capacity, used: service.used}
	team := room{limit: s.TeamCap(job.Team), used: s.TeamUse(job.Team), capped: true}
	for key, waiting := range s.backlogs {
		if key.priority > job.Queue.Priority {
			continue
		}
		if key.service == job.Queue.Service {
			cell.ahead = cell.ahead.add(waiting)
		}
		if key.team == job.Team {
			team.ahead = team.ahead.add(waiting)
		}
	}
	demand := Resources{}
	for i := range job.Spec.Steps {
		if job.DependenciesDone(i) {
			demand = demand.Add(job.Spec.Steps[i].Size.Times(job.Spec.Steps[i].Tasks))
		}
	}
	return max(cell.wait(demand), team.wait(demand))
}
