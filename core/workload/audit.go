package workload

import "fmt"

// Audit returns a description of each violated invariant: the open runs of a worker fit its
// capacity, each open run is the latest run of its task, and no task has two open runs.
func (s *State) Audit() []string {
	var violations []string
	holder := map[TaskID]WorkerID{}
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
		}
		if used != s.workers[w.ID].used {
			violations = append(violations, fmt.Sprintf("worker %s: %v reserved, %v counted", w.ID, used, s.workers[w.ID].used))
		}
		if !used.Fits(w.Capacity) {
			violations = append(violations, fmt.Sprintf("worker %s: %v reserved of %v", w.ID, used, w.Capacity))
		}
	}
	return violations
}
