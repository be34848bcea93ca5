package workload

// BegunReport returns an entry of Decide.Ends which reports that a worker has begun a task. It ends no
// run. It is part of Ends because a replica stops at a command with a field that its version does not
// have. Earlier versions ignore an entry without a run number.
func BegunReport(task TaskID) EndedRun { return EndedRun{Task: task, How: reportBegun} }

// reportBegun marks an entry of Decide.Ends as a BegunReport.
const reportBegun RunEnd = "begun"

// isPending reports whether no worker is known to have begun a task of the job and the job has not ended.
// That a run was opened is not enough: its start may not have reached the worker.
func (j *Job) isPending() bool { return !j.Begun && !j.State.Ended() }

// reportedBegun marks the job of a task that a worker has begun, if the task is known.
func (s *State) reportedBegun(id TaskID) {
	if job, _, _ := s.findTask(id); job != nil {
		s.markBegun(job)
		s.markStarted(job)
	}
}

// markBegun records that a worker has begun a task of a job.
func (s *State) markBegun(job *Job) {
	if job.isPending() {
		s.pendingJobs[job.Queue.Name]--
	}
	job.Begun = true
}
