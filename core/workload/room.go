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

// minRoomWait is the time that every job can wait for its first run. It covers the commit and the calls for
// runs that have room.
const minRoomWait = time.Second

// usedSlack is the part of the slack on a job's own work, 1/usedSlack, that it can spend waiting. The rest is
// left for the errors of the estimates.
const usedSlack = 2

// Limits of the time after which a refused caller may come back. The lower one is the smallest value of the
// header, the upper one stays below the time for which callers usually keep a job.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// room is a part of the cell that a job needs: the workers of its service, or its team's cap.
type room struct {
	limit, used Resources
	beyondUsed  Resources // part of used by jobs beyond their team's share
	capped      bool      // a limit of 0 means no limit
	ahead       backlog   // what waits and does not come later in the order of steps
}

// minSparePart is the part of a limit, 1/minSparePart, that jobs beyond a share are assumed to get at least,
// so that an estimate is finite.
const minSparePart = 20

// spare returns what is left for jobs beyond a share. What the jobs within the shares use now is taken as
// what they will use, because more of them arrive and go first.
func (r room) spare() Resources {
	part := func(limit, used, beyond int64) int64 {
		return max(limit-(used-beyond), limit/minSparePart, min(limit, 1))
	}
	return Resources{
		MilliCPU: part(r.limit.MilliCPU, r.used.MilliCPU, r.beyondUsed.MilliCPU),
		MemoryMB: part(r.limit.MemoryMB, r.used.MemoryMB, r.beyondUsed.MemoryMB),
		GPUs:     part(r.limit.GPUs, r.used.GPUs, r.beyondUsed.GPUs),
	}
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
	return time.Duration(r.ahead.work.DominantShare(r.spare()) * float64(time.Millisecond))
}

// allowedWait returns how long a job can wait for its first run and still end in time.
func (j *Job) allowedWait() time.Duration {
	slack := max(j.Queue.SlackFactor-1, 0) * float64(j.Spec.longestChain()) / usedSlack
	wait := max(j.Queue.TargetLatency+time.Duration(slack), minRoomWait)
	if j.Queue.Advice != nil {
		// What waits for the adviser is ahead of the job, although it may have room.
		wait += j.Queue.Advice.Base
	}
	return wait
}

// longestChain returns the longest sum of the estimates of steps that wait for each other.
func (spec JobSpec) longestChain() time.Duration {
	ends, longest := make([]time.Duration, len(spec.Steps)), time.Duration(0)
	for i, step := range spec.Steps {
		for _, dependency := range step.DependsOn {
			ends[i] = max(ends[i], ends[dependency])
		}
		ends[i] += min(step.Estimate, maxBacklogEstimate)
		longest = max(longest, ends[i])
	}
	return longest
}

// refusedBeyondShare reports whether a new job is refused because it is beyond its team's share and finds no
// room, and when it may find some.
func (s *State) refusedBeyondShare(job *Job) (retryAfter time.Duration, refused bool) {
	if !job.BeyondShare {
		return 0, false
	}
	wait, allowed := s.waitForRoom(job), job.allowedWait()
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
	for key, used := range s.beyondUse {
		if key.service == job.Queue.Service {
			cell.beyondUsed = cell.beyondUsed.Add(used)
		}
		if key.team == job.Team {
			team.beyondUsed = team.beyondUsed.Add(used)
		}
	}
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
