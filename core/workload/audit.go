package workload

import (
	"fmt"
	"maps"
)

// Audit returns a description of each violated invariant: the open runs of a worker fit its
// capacity, the open runs of each team are counted, each open run is the latest run of its task, no
// task has two open runs, the listed closed runs are closed runs of tasks that are not done, and the
// pending jobs are counted.
func (s *State) Audit() []string {
	var violations []string
	holder := map[TaskID]WorkerID{}
	teamUse := map[TeamName]Resources{}
	counted := New()
	for _, w := range s.Workers() {
		used := Resources{}
		for _, run := range s.OpenRuns(w.ID) {
			job, _, task := s.findTask(run.Task)
			if task == nil || !task.Open || task.Run != run.Run || task.Worker != w.ID {
				violations = append(violations, fmt.Sprintf("run %d of %v on %s is not the open one", run.Run, run.Task, w.ID))
				continue
			}
			if other, twice := holder[run.Task]; twice {
				violations = append(violations, fmt.Sprintf("%v has runs on %s and %s", run.Task, other, w.ID))
			}
			holder[run.Task] = w.ID
			used = used.Add(job.Spec.Steps[run.Task.Step].Size)
			counted.addBeyondUse(job, job.Spec.Steps[run.Task.Step].Size)
			if use := teamUse[job.Team].Add(job.Spec.Steps[run.Task.Step].Size); use != (Resources{}) {
				teamUse[job.Team] = use
			}
		}
		if used != s.workers[w.ID].used {
			violations = append(violations, fmt.Sprintf("worker %s: %v reserved, %v counted", w.ID, used, s.workers[w.ID].used))
		}
		if !used.Fits(w.Capacity) {
			violations = append(violations, fmt.Sprintf("worker %s: %v reserved of %v", w.ID, used, w.Capacity))
		}
	}
	violations = append(violations, s.auditBacklog(counted)...)
	violations = append(violations, s.auditJobMemory()...)
	if !maps.Equal(teamUse, s.teamUse) {
		violations = append(violations, fmt.Sprintf("teams: %v in use, %v counted", teamUse, s.teamUse))
	}
	pending := map[string]int{}
	s.ForEachJob(func(job *Job) {
		if job.isPending() {
			pending[job.Queue.Name]++
		}
		for i := range job.Steps {
			violations = append(violations, job.auditClosedRuns(i)...)
		}
	})
	for queue, counted := range s.pendingJobs {
		if counted != pending[queue] {
			violations = append(violations, fmt.Sprintf("queue %s: %d pending jobs counted, %d found", queue, counted, pending[queue]))
		}
	}
	return violations
}

func (j *Job) auditClosedRuns(index int) []string {
	var violations []string
	step := &j.Steps[index]
	for i, r := range step.ClosedRuns {
		task := step.Tasks[r.Index]
		if j.State.Ended() || task.State == TaskDone || r.Run > task.Run || r.Run == task.Run && task.Open {
			violations = append(violations, fmt.Sprintf("step %d of job %s lists the closed run %+v of task %+v", index, j.ID, r, task))
		}
		if i > 0 && compareClosedRuns(step.ClosedRuns[i-1], r) >= 0 {
			violations = append(violations, fmt.Sprintf("closed runs of step %d of job %s are not sorted: %+v", index, j.ID, step.ClosedRuns))
		}
	}
	return violations
}

// auditBacklog compares the counts that decide on jobs beyond a share. counted has the open runs of such jobs.
func (s *State) auditBacklog(counted *State) []string {
	s.ForEachJob(func(job *Job) { counted.addWaitingTasks(job, 1) })
	for _, w := range s.workers {
		counted.addToService(w, 1)
	}
	if !maps.Equal(counted.backlogs, s.backlogs) || !maps.Equal(counted.services, s.services) || !maps.Equal(counted.beyondUse, s.beyondUse) {
		return []string{fmt.Sprintf("backlog %v, use beyond the shares %v, capacity %v; counted %v, %v and %v",
			s.backlogs, s.beyondUse, s.services, counted.backlogs, counted.beyondUse, counted.services)}
	}
	return nil
}

// auditJobMemory compares the memory of the jobs that was summed with that of the jobs in the state.
func (s *State) auditJobMemory() []string {
	counted := newJobMemory()
	for _, job := range s.jobs {
		counted.addJob(job, 1)
	}
	for _, ended := range s.ended {
		counted.addEnded(ended, 1)
	}
	if counted.Total != s.jobMemory.Total || !maps.Equal(counted.ByQueue, s.jobMemory.ByQueue) || !maps.Equal(counted.ByTeam, s.jobMemory.ByTeam) {
		return []string{fmt.Sprintf("memory of jobs %+v, counted %+v", s.jobMemory, counted)}
	}
	if len(s.jobs) != len(s.jobOrder) || len(s.ended) != len(s.endedOrder) {
		return []string{fmt.Sprintf("%d jobs and %d ended ones, in order %d and %d", len(s.jobs), len(s.ended), len(s.jobOrder), len(s.endedOrder))}
	}
	return nil
}
