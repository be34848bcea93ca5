package fakecell

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

// Cell is the fake. Events are passed to Emit while a method runs.
type Cell struct {
	Emit       func(state.Event)
	Violations []string // what a placement broke

	Jobs        map[cell.JobID]*Job
	Workers     map[cell.WorkerName]*Worker
	Allocations map[cell.AllocationID]*cell.Allocation

	backoff   time.Duration
	kinds     map[cell.PolicyName]cell.PolicyKind
	quotas    map[cell.Team]cell.Resources
	teamUse   map[cell.Team]cell.Resources
	lastJob   cell.JobID
	lastAlloc cell.AllocationID
	lastEpoch cell.Epoch
}

// Job is a job and the states of its tasks.
type Job struct {
	Spec     cell.JobSpec
	Tasks    []cell.TaskState
	Attempts []int
	Placed   []cell.AllocationID // last one of each task
	Live     int                 // tasks that are not in a terminal state
	Ended    bool                // cancelled; its allocations may still hold room
}

// Worker is a registered worker and what is reserved on it.
type Worker struct {
	cell.Worker
	Epoch       cell.Epoch
	Used        cell.Resources
	Allocations []cell.AllocationID
}

// New returns a cell in which the file is in force.
func New(file Layout, emit func(state.Event)) *Cell {
	c := &Cell{
		Emit:        emit,
		Jobs:        map[cell.JobID]*Job{},
		Workers:     map[cell.WorkerName]*Worker{},
		Allocations: map[cell.AllocationID]*cell.Allocation{},
		teamUse:     map[cell.Team]cell.Resources{},
	}
	c.Configure(file)
	return c
}

// Configure puts another file in force.
func (c *Cell) Configure(file Layout) {
	c.kinds, c.quotas = map[cell.PolicyName]cell.PolicyKind{}, map[cell.Team]cell.Resources{}
	for _, p := range file.Policies {
		c.kinds[p.Name] = p.Kind
	}
	for _, t := range file.Teams {
		c.quotas[t.Name] = t.quota()
	}
	c.backoff = file.Backoff
	c.Emit(state.Event{ConfigChanged: &state.ConfigChanged{Record: state.ConfigRecord{Body: file.TOML()}}})
}

// AddWorker registers a worker and returns its epoch.
func (c *Cell) AddWorker(w cell.Worker) cell.Epoch {
	c.lastEpoch++
	c.Workers[w.Name] = &Worker{Worker: w, Epoch: c.lastEpoch}
	c.Emit(state.Event{WorkerAdded: &state.WorkerAdded{Worker: w, Epoch: c.lastEpoch}})
	return c.lastEpoch
}

// RemoveWorker ends a worker's epoch; its tasks are queued again.
func (c *Cell) RemoveWorker(now time.Time, name cell.WorkerName) {
	w := c.Workers[name]
	for _, id := range slices.Clone(w.Allocations) {
		c.End(now, id, "")
	}
	delete(c.Workers, name)
	c.Emit(state.Event{WorkerRemoved: &state.WorkerRemoved{Worker: name, Epoch: w.Epoch}})
}

// Submit adds a job.
func (c *Cell) Submit(spec cell.JobSpec) cell.JobID {
	c.lastJob++
	id := c.lastJob
	j := &Job{Spec: spec, Tasks: make([]cell.TaskState, spec.Tasks), Attempts: make([]int, spec.Tasks), Placed: make([]cell.AllocationID, spec.Tasks), Live: spec.Tasks}
	c.Jobs[id] = j
	c.Emit(state.Event{JobAdded: &state.JobAdded{ID: id, Spec: spec}})
	for i := range j.Tasks {
		c.queue(cell.TaskID{Job: id, Index: i}, false, time.Time{})
	}
	return id
}

func (c *Cell) queue(task cell.TaskID, preempted bool, notBefore time.Time) {
	j := c.Jobs[task.Job]
	j.Tasks[task.Index] = cell.TaskQueued
	e := &state.TaskQueued{Task: task, Attempts: j.Attempts[task.Index], Preempted: preempted}
	if !notBefore.IsZero() {
		e.NotBefore = notBefore.UnixMilli()
	}
	c.Emit(state.Event{TaskQueued: e})
}

// Cancel ends a job. Its tasks that run are told to stop; it returns them.
func (c *Cell) Cancel(id cell.JobID) []cell.AllocationID {
	j := c.Jobs[id]
	j.Ended = true
	c.Emit(state.Event{JobEnded: &state.JobEnded{ID: id, State: cell.JobCancelled}})
	for i, s := range j.Tasks {
		if s == cell.TaskQueued {
			j.Tasks[i] = cell.TaskCancelled
			j.Live--
		}
	}
	var told []cell.AllocationID
	for i, s := range j.Tasks {
		if s == cell.TaskPlaced {
			told = append(told, j.Placed[i])
			c.stop(c.Allocations[j.Placed[i]])
		}
	}
	return told
}

func (c *Cell) stop(a *cell.Allocation) {
	c.Jobs[a.Task.Job].Tasks[a.Task.Index] = cell.TaskStopping
	c.Emit(state.Event{TaskStopping: &state.TaskStopping{Allocation: a.ID}})
}

// Apply commits a plan as core/state does.
func (c *Cell) Apply(now time.Time, plan state.CommitPlan) state.PlanResult {
	result := state.PlanResult{
		Placements:  make([]state.Refusal, len(plan.Placements)),
		Allocations: make([]cell.AllocationID, len(plan.Placements)),
	}
	for i, p := range plan.Placements {
		result.Placements[i], result.Allocations[i] = c.place(now, p)
	}
	c.checkGangs(plan)
	for _, id := range plan.Preemptions {
		if a := c.Allocations[id]; a != nil {
			c.stop(a)
		}
	}
	return result
}

func (c *Cell) place(now time.Time, p state.Placement) (state.Refusal, cell.AllocationID) {
	w, j := c.Workers[p.Worker], c.Jobs[p.Task.Job]
	if w == nil || w.Epoch != p.Epoch {
		return state.RefusalStaleEpoch, 0
	}
	if j.Ended || j.Tasks[p.Task.Index] != cell.TaskQueued {
		return state.RefusalTaskNotQueued, 0
	}
	used, team := w.Used.Add(j.Spec.Size), c.teamUse[j.Spec.Team].Add(j.Spec.Size)
	if !used.Fits(w.Capacity) {
		c.violate("worker %s cannot hold task %v", w.Name, p.Task)
		return state.RefusalNoCapacity, 0
	}
	if !team.Fits(c.quotas[j.Spec.Team]) {
		c.violate("team %s exceeds its quota with task %v", j.Spec.Team, p.Task)
		return state.RefusalQuotaExceeded, 0
	}
	w.Used, c.teamUse[j.Spec.Team] = used, team
	j.Tasks[p.Task.Index] = cell.TaskPlaced
	c.lastAlloc++
	j.Placed[p.Task.Index] = c.lastAlloc
	a := &cell.Allocation{
		ID: c.lastAlloc, Task: p.Task, Team: j.Spec.Team, Worker: w.Name, Epoch: w.Epoch, Size: j.Spec.Size,
		OnDisconnect: cell.DisconnectStop, Priority: j.Spec.Priority, Checkpoints: j.Spec.Checkpoints, PlacedAt: now,
	}
	c.Allocations[a.ID] = a
	w.Allocations = append(w.Allocations, a.ID)
	c.Emit(state.Event{TaskPlaced: &state.TaskPlaced{Allocation: *a}})
	return state.RefusalNone, a.ID
}

// checkGangs notes a gang of which a plan placed only a part.
func (c *Cell) checkGangs(plan state.CommitPlan) {
	for _, p := range plan.Placements {
		j := c.Jobs[p.Task.Job]
		if c.kinds[j.Spec.Policy] == cell.KindGang && slices.Contains(j.Tasks, cell.TaskQueued) {
			c.violate("gang %d was placed in part", p.Task.Job)
		}
	}
}

func (c *Cell) violate(format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf(format, args...))
}

// Start reports that a worker runs an allocation.
func (c *Cell) Start(id cell.AllocationID) {
	if c.Allocations[id] != nil {
		c.Emit(state.Event{TaskStarted: &state.TaskStarted{Allocation: id}})
	}
}

// Use reports the measured usage of an allocation.
func (c *Cell) Use(id cell.AllocationID, used cell.Resources) {
	report := state.TaskReport{Allocation: id, Outcome: state.ReportRunning, Used: used}
	c.Emit(state.Event{UsageReported: &state.UsageReported{Allocation: id, Report: report}})
}

// End reports that an allocation has ended. A task that did not succeed is
// queued again unless it was cancelled.
func (c *Cell) End(now time.Time, id cell.AllocationID, outcome state.TaskOutcome) {
	a := c.Allocations[id]
	if a == nil {
		return
	}
	delete(c.Allocations, id)
	w, j := c.Workers[a.Worker], c.Jobs[a.Task.Job]
	w.Used = w.Used.Sub(a.Size)
	w.Allocations = slices.DeleteFunc(w.Allocations, func(o cell.AllocationID) bool { return o == id })
	c.teamUse[a.Team] = c.teamUse[a.Team].Sub(a.Size)
	c.Emit(state.Event{AllocationEnded: &state.AllocationEnded{Allocation: *a, Outcome: outcome}})
	c.settle(now, j, a.Task, outcome)
}

func (c *Cell) settle(now time.Time, j *Job, task cell.TaskID, outcome state.TaskOutcome) {
	switch {
	case j.Ended:
		j.Tasks[task.Index] = cell.TaskCancelled
		return
	case outcome == state.ReportSucceeded:
		j.Tasks[task.Index] = cell.TaskSucceeded
		j.Live--
		if j.Live == 0 {
			delete(c.Jobs, task.Job)
			c.Emit(state.Event{JobEnded: &state.JobEnded{ID: task.Job, State: cell.JobSucceeded}})
		}
	case outcome == state.ReportFailed:
		j.Attempts[task.Index]++
		c.queue(task, false, now.Add(c.backoff))
	default:
		c.queue(task, outcome != "", time.Time{})
	}
}

// Replay emits the events that rebuild a scheduler after a change of leader.
func (c *Cell) Replay(file Layout, emit func(state.Event)) {
	c.Emit = emit
	c.Configure(file)
	for _, name := range slices.Sorted(maps.Keys(c.Workers)) {
		w := c.Workers[name]
		emit(state.Event{WorkerAdded: &state.WorkerAdded{Worker: w.Worker, Epoch: w.Epoch}})
	}
	for _, id := range slices.Sorted(maps.Keys(c.Jobs)) {
		if j := c.Jobs[id]; !j.Ended {
			c.replayJob(id, j)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.Allocations)) {
		a := c.Allocations[id]
		emit(state.Event{TaskPlaced: &state.TaskPlaced{Allocation: *a}})
		if c.Jobs[a.Task.Job].Tasks[a.Task.Index] == cell.TaskStopping {
			emit(state.Event{TaskStopping: &state.TaskStopping{Allocation: id}})
		}
	}
}

func (c *Cell) replayJob(id cell.JobID, j *Job) {
	c.Emit(state.Event{JobAdded: &state.JobAdded{ID: id, Spec: j.Spec}})
	for i, t := range j.Tasks {
		if t == cell.TaskQueued {
			c.queue(cell.TaskID{Job: id, Index: i}, false, time.Time{})
		}
	}
}
