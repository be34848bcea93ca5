package workload

import (
	"slices"
	"time"
)

// backlog is the demand of the tasks that could start if there were room: those without an open run whose
// dependencies are done.
type backlog struct {
	demand Resources // to run all of them at the same time
	work   Resources // demand times estimated run time, in units of milliseconds
}

func (b backlog) add(o backlog) backlog {
	return backlog{demand: b.demand.Add(o.demand), work: b.work.Add(o.work)}
}

// maxBacklogEstimate limits the run time that is counted for a task, so that sums do not overflow.
const maxBacklogEstimate = 10 * time.Minute

func backlogOf(spec *StepSpec, tasks int) backlog {
	demand := spec.Size.Times(tasks)
	return backlog{demand: demand, work: demand.Times(int(min(spec.Estimate, maxBacklogEstimate).Milliseconds()))}
}

// backlogKey is what the backlog is counted by.
type backlogKey struct {
	team     TeamName
	service  string
	priority int
}

func (j *Job) backlogKey() backlogKey {
	return backlogKey{team: j.Team, service: j.Queue.Service, priority: j.Queue.Priority}
}

// addBacklog counts tasks of a step that began to wait, or no longer wait if the number is negative.
func (s *State) addBacklog(job *Job, spec *StepSpec, tasks int) {
	key := job.backlogKey()
	if sum := s.backlogs[key].add(backlogOf(spec, tasks)); sum != (backlog{}) {
		s.backlogs[key] = sum
	} else {
		delete(s.backlogs, key)
	}
}

// addWaitingTasks counts the waiting tasks of all steps of a job that could start, with the sign given.
func (s *State) addWaitingTasks(job *Job, sign int) {
	if job.State.Ended() {
		return
	}
	for i := range job.Steps {
		if job.DependenciesDone(i) {
			s.addBacklog(job, &job.Spec.Steps[i], sign*job.Steps[i].waitingTasks())
		}
	}
}

// addDependents counts the tasks of the steps that could not start before a step was done.
func (s *State) addDependents(job *Job, done *Step) {
	for i := range job.Steps {
		spec := &job.Spec.Steps[i]
		depends := slices.ContainsFunc(spec.DependsOn, func(dependency int) bool { return &job.Steps[dependency] == done })
		if depends && job.DependenciesDone(i) {
			s.addBacklog(job, spec, job.Steps[i].waitingTasks())
		}
	}
}

func (step *Step) waitingTasks() int {
	waiting := 0
	for i := range step.Tasks {
		if step.Tasks[i].waits() {
			waiting++
		}
	}
	return waiting
}

func (t *Task) waits() bool { return t.State == TaskPending && !t.Open }

// serviceUse is the capacity of the workers of a service that may get runs, and the demand of their open
// runs.
type serviceUse struct{ capacity, used Resources }

// ServiceCapacity returns the capacity of the workers of a service that may get runs.
func (s *State) ServiceCapacity(service string) Resources { return s.services[service].capacity }

// addToService counts a worker, or counts it no longer if the sign is negative. A worker must be taken out
// before it changes.
func (s *State) addToService(w *workerState, sign int) {
	if w.Gone || w.Draining {
		return
	}
	sum := s.services[w.Service]
	sum.capacity, sum.used = sum.capacity.Add(w.Capacity.Times(sign)), sum.used.Add(w.used.Times(sign))
	if sum == (serviceUse{}) {
		delete(s.services, w.Service)
		return
	}
	s.services[w.Service] = sum
}

// addUse changes the demand of the open runs of a worker.
func (s *State) addUse(w *workerState, demand Resources) {
	s.addToService(w, -1)
	w.used = w.used.Add(demand)
	s.addToService(w, 1)
}

// replaceWorker replaces the description of a worker.
func (s *State) replaceWorker(known *workerState, w Worker) {
	s.addToService(known, -1)
	known.Worker = w
	s.addToService(known, 1)
}

// addBeyondUse counts the demand of an opened run of a job beyond its team's share, or of a closed one if it is
// negative.
func (s *State) addBeyondUse(job *Job, demand Resources) {
	if !job.BeyondShare {
		return
	}
	key := job.backlogKey()
	if use := s.beyondUse[key].Add(demand); use != (Resources{}) {
		s.beyondUse[key] = use
	} else {
		delete(s.beyondUse, key)
	}
}
