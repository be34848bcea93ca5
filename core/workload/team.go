package workload

import (
	"slices"

	"github.com/godwitlink/godwitlink/core/fairshare"
)

// TeamName names a team. It is empty for jobs that were accepted without a key.
type TeamName string

// Key is a secret by which a team's calls are recognised. Its text is kept out of logs and JSON output.
type Key string

const redactedKey = "(secret)"

// String returns a placeholder.
func (Key) String() string { return redactedKey }

// MarshalJSON returns a placeholder.
func (Key) MarshalJSON() ([]byte, error) { return []byte(`"` + redactedKey + `"`), nil }

// Team is a customer of the cell.
type Team struct {
	Name   TeamName
	Keys   []Key
	Weight float64   // share of the resources when all are in use, and jobs per second that the team is owed
	Cap    Resources // limit of the total demand of its open runs; 0 in a dimension means no limit there
}

// Caller says on whose behalf a call acts on a job.
type Caller struct {
	Team TeamName // team of the call's key; empty without a key
	// AnonymousQueue is the queue of the call if that queue needs no key.
	AnonymousQueue string
}

// mayAccess reports whether a caller may read or cancel a job. A job without a team, and every job while
// the configuration has no teams, is open to all callers.
func (s *State) mayAccess(j *Job, caller Caller) bool {
	switch {
	case j.Team == "" || s.config == nil || !s.config.KeysRequired:
		return true
	case caller.AnonymousQueue != "":
		return caller.AnonymousQueue == j.Queue.Name
	}
	return caller.Team == j.Team
}

// JobFor returns a job if the caller may read it, otherwise nil. Of a job that ended a while ago it has no steps.
// The caller must not modify it.
func (s *State) JobFor(id JobID, caller Caller) *Job {
	if job := s.FindJob(id); job != nil && s.mayAccess(job, caller) {
		return job
	}
	return nil
}

// TeamCap returns the limit of a team's open runs. A team that the configuration does not list has none.
func (s *State) TeamCap(name TeamName) Resources {
	if team := s.teams[name]; team != nil {
		return team.Cap
	}
	return Resources{}
}

// TeamWeight returns the weight of a team. Jobs without a team have the mean weight of all teams, and a
// team that the configuration does not list has none.
func (s *State) TeamWeight(name TeamName) float64 {
	if name == "" && len(s.teams) > 0 {
		sum := 0.0
		for _, team := range s.config.Teams {
			sum += team.Weight
		}
		return sum / float64(len(s.teams))
	}
	if team := s.teams[name]; team != nil {
		return team.Weight
	}
	return 0
}

// TeamUse returns the total demand of the open runs of a team, or of all jobs without a team. A run stays open until its end is committed,
// so starts in doubt and runs that are being stopped count.
func (s *State) TeamUse(name TeamName) Resources { return s.teamUse[name] }

// fitsTeamCap reports whether a job's team may have more runs of the given total demand.
func (s *State) fitsTeamCap(j *Job, added Resources) bool {
	return j.Team == "" || s.teamUse[j.Team].Add(added).WithinCap(s.TeamCap(j.Team))
}

// addTeamUse counts the demand of an opened run of a job, or of a closed one if it is negative.
func (s *State) addTeamUse(job *Job, demand Resources) {
	if use := s.teamUse[job.Team].Add(demand); use != (Resources{}) {
		s.teamUse[job.Team] = use
	} else {
		delete(s.teamUse, job.Team)
	}
	s.addBeyondUse(job, demand)
}

// WithinCap reports whether r is at most limit in every dimension in which limit is not 0.
func (r Resources) WithinCap(limit Resources) bool {
	return (limit.MilliCPU == 0 || r.MilliCPU <= limit.MilliCPU) &&
		(limit.MemoryMB == 0 || r.MemoryMB <= limit.MemoryMB) &&
		(limit.GPUs == 0 || r.GPUs <= limit.GPUs)
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{MilliCPU: r.MilliCPU * int64(n), MemoryMB: r.MemoryMB * int64(n), GPUs: r.GPUs * int64(n)}
}

// DominantShare returns the largest share of total that r uses in any dimension.
func (r Resources) DominantShare(total Resources) float64 {
	return fairshare.DominantShare(
		fairshare.Part{Used: r.MilliCPU, Total: total.MilliCPU},
		fairshare.Part{Used: r.MemoryMB, Total: total.MemoryMB},
		fairshare.Part{Used: r.GPUs, Total: total.GPUs},
	)
}

// SlotsWithinCap returns how many tasks of a size, at most most, may be added to used without exceeding
// limit.
func SlotsWithinCap(limit, used, size Resources, most int) int {
	for _, d := range [][3]int64{
		{limit.MilliCPU, used.MilliCPU, size.MilliCPU}, {limit.MemoryMB, used.MemoryMB, size.MemoryMB}, {limit.GPUs, used.GPUs, size.GPUs},
	} {
		if d[0] > 0 && d[2] > 0 {
			most = min(most, int(max(d[0]-d[1], 0)/d[2]))
		}
	}
	return most
}

// hasUnrunnableGang reports whether a job has a gang that its team could not run even if nothing else of
// the team ran.
func (s *State) hasUnrunnableGang(team TeamName, spec JobSpec) bool {
	if team == "" {
		return false
	}
	limit := s.TeamCap(team)
	return slices.ContainsFunc(spec.Steps, func(step StepSpec) bool {
		return step.Gang && !step.Size.Times(step.Tasks).WithinCap(limit)
	})
}
