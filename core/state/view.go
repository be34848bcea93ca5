package state

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/workload"
)

// Query answers a query from the current state.
func (s *State) Query(q Query) Answer {
	switch {
	case q.Config != nil:
		return Answer{Config: s.configRecord(q.Config.Generation)}
	case q.Job != nil:
		return Answer{Job: s.jobView(q.Job.Job)}
	case q.Status != nil:
		return Answer{Status: s.status()}
	case q.Workers != nil:
		return Answer{Workers: s.workerViews(q.Workers.Names)}
	case q.Request != nil:
		return Answer{Request: s.requestView(q.Request.Key)}
	case q.Members != nil:
		return Answer{Members: s.memberList()}
	case q.StepJob != nil:
		return Answer{StepJob: s.stepJobView(*q.StepJob)}
	case q.Where != nil:
		return Answer{Where: &WhereView{Explanation: s.workload.Explain(s.now, *q.Where), AsOf: s.now}}
	case q.Queue != nil:
		return Answer{Queue: &QueueView{Pending: s.workload.PendingJobs(q.Queue.Name)}}
	case q.Queues != nil:
		return Answer{Queues: s.queuesView(*q.Queues)}
	case q.Called != nil:
		if w, ok := s.workload.Worker(q.Called.Worker); ok {
			return Answer{Called: &w}
		}
	}
	return Answer{}
}

// Workload returns the state of multi-step jobs with their workers and queues. The caller must not
// modify it.
func (s *State) Workload() *workload.State { return s.workload }

// Clocks returns the largest command time so far and the retention clock.
func (s *State) Clocks() (now time.Time, retention time.Duration) { return s.now, s.retentionElapsed() }

func (s *State) stepJobView(q StepJobQuery) *StepJobView {
	job := s.workload.JobFor(q.ID, workload.Caller{Team: q.Team, AnonymousQueue: q.AnonymousQueue})
	if job == nil {
		return nil
	}
	return &StepJobView{State: job.State}
}

func (s *State) queuesView(q QueuesQuery) *QueuesView {
	config := s.workload.Config()
	if config == nil {
		return &QueuesView{}
	}
	view := &QueuesView{Version: config.Version}
	if config.Version > q.Known {
		asked := *config
		if !q.Document {
			asked.Document = nil
		}
		view.Config = &asked
	}
	return view
}

// configRecord returns the newest record of a generation, or of the file in force if generation is 0.
func (s *State) configRecord(generation cell.Generation) *ConfigRecord {
	for _, record := range slices.Backward(s.records) {
		if generation == 0 || record.Generation == generation {
			return &record
		}
	}
	return nil
}

func (s *State) jobView(id cell.JobID) *JobView {
	j := s.jobs[id]
	if j == nil {
		return nil
	}
	view := &JobView{ID: id, Spec: j.spec, State: j.state, SubmittedAt: j.submittedAt, Tasks: make([]TaskView, len(j.tasks))}
	for i, t := range j.tasks {
		view.Tasks[i] = TaskView{State: t.state, Attempts: t.attempts, Detail: t.detail}
		if t.allocation != 0 {
			view.Tasks[i].Worker = s.allocations[t.allocation].Worker
		}
	}
	return view
}

func (s *State) status() *StatusView {
	view := &StatusView{
		Jobs:        map[cell.JobState]int{},
		Allocations: len(s.allocations),
		Members:     len(s.members),
	}
	if s.config != nil {
		view.Generation = s.config.file.Generation
		view.Digest = s.config.digest
	}
	for _, j := range s.jobs {
		view.Jobs[j.state]++
	}
	for _, w := range s.workers {
		view.Reserved = view.Reserved.Add(w.reserved)
		if w.registered {
			view.Workers++
			view.Capacity = view.Capacity.Add(w.info.Capacity)
		}
	}
	return view
}

func (s *State) requestView(key RequestKey) *RequestResult {
	r := s.requests[key]
	if r == nil {
		return nil
	}
	return &RequestResult{State: r.state, Answer: r.answer}
}

// Worker returns the epoch and the assignments of a worker. Registered is false if the worker is
// unknown or its epoch has ended; in the latter case the allocations kept on it are listed.
func (s *State) Worker(name cell.WorkerName) WorkerView {
	w := s.workers[name]
	if w == nil {
		return WorkerView{Name: name}
	}
	view := WorkerView{
		Name:        name,
		Registered:  w.registered,
		Incarnation: w.info.Incarnation,
		Epoch:       w.epoch,
		Version:     w.version,
	}
	for _, a := range w.allocations {
		view.Assignments = append(view.Assignments, Assignment{
			Allocation: a.Allocation,
			Command:    a.job.spec.Command,
			RunTime:    a.job.spec.RunTime,
			Stop:       a.stopping,
		})
	}
	return view
}

// Workers returns all known workers, sorted by name.
func (s *State) Workers() []WorkerView { return s.workerViews(s.workerNames()) }

func (s *State) workerViews(names []cell.WorkerName) []WorkerView {
	views := make([]WorkerView, len(names))
	for i, name := range names {
		views[i] = s.Worker(name)
	}
	return views
}
