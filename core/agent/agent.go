package agent

import (
	"sort"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/lease"
)

// initialSyncInterval is used until the cell has sent its configured interval.
const initialSyncInterval = 500 * time.Millisecond

// retryInterval is the delay before a failed sync is retried. It is short compared with the lease,
// so that a worker can try many entry processes before its lease ends.
const retryInterval = 200 * time.Millisecond

// refusedRetryInterval is the sync interval of a worker that is not admitted. Each attempt adds a
// command to the log, and the result changes only with a new cell file.
const refusedRetryInterval = 10 * time.Second

// taskState is the local state of a task.
type taskState uint8

const (
	taskRunning  taskState = iota + 1
	taskStopping           // a stop was returned to the owner
	taskEnded              // kept until the cell no longer assigns the task
)

type localTask struct {
	task    Task
	state   taskState
	outcome Outcome
	detail  string
	usage   cell.Resources
}

// Agent is the protocol state of a worker. It is not safe for concurrent use.
type Agent struct {
	holder       *lease.Holder
	epoch        cell.Epoch // 0 if not registered
	version      uint64
	syncInterval time.Duration
	tasks        map[cell.AllocationID]*localTask

	now           lease.ClockReading
	nextSync      time.Duration // monotonic time of the next renewal
	reportDue     bool          // a state change should be reported before the interval has passed
	leaving       bool
	leaveSequence uint64 // sequence of the first sync with Leaving set, or 0
	done          bool
	refused       bool

	stops  []Stop
	starts []Task
}

// New returns an agent that is not registered.
func New(now lease.ClockReading) *Agent {
	return &Agent{
		holder:       lease.NewHolder(),
		syncInterval: initialSyncInterval,
		tasks:        map[cell.AllocationID]*localTask{},
		now:          now,
		nextSync:     now.Monotonic,
	}
}

// Tick advances the time and stops tasks whose lease has expired.
func (a *Agent) Tick(now lease.ClockReading) {
	a.now = now
	if !a.holder.Valid(now) {
		a.stopTasksWithoutLease()
	}
}

// stopTasksWithoutLease stops every running task that must not outlive the lease.
func (a *Agent) stopTasksWithoutLease() {
	for _, id := range a.sortedAllocations() {
		local := a.tasks[id]
		if local.state == taskRunning && !local.task.KeepOnDisconnect {
			a.stop(local, StopNow)
		}
	}
}

func (a *Agent) stop(local *localTask, kind StopKind) {
	local.state = taskStopping
	a.stops = append(a.stops, Stop{Allocation: local.task.Allocation, Kind: kind})
}

// HandleResponse handles the cell's response to a sync.
func (a *Agent) HandleResponse(now lease.ClockReading, response Response) {
	a.Tick(now)
	switch {
	case response.Failed:
		a.nextSync = min(a.nextSync, now.Monotonic+retryInterval)
		return
	case response.Refused:
		a.refused = true
		a.nextSync = now.Monotonic + refusedRetryInterval
		return
	case response.EpochEnded:
		a.handleEpochEnd(response.Epoch)
		return
	}
	a.refused = false
	if a.epoch == 0 && response.Granted {
		a.epoch = response.Epoch
		a.version = 0
		a.reportDue = true
	}
	if response.Epoch != a.epoch {
		return
	}
	if response.Granted {
		a.holder.ApplyGrant(now, response.Sequence, response.Terms)
		a.syncInterval = response.SyncInterval
	}
	if response.Changed && response.Version >= a.version {
		a.applyAssignments(response)
	}
	if response.Granted && a.leaveSequence != 0 && response.Sequence >= a.leaveSequence {
		a.done = true
	}
}

// handleEpochEnd makes the agent register again. Tasks with KeepOnDisconnect continue until the
// assignments of the new epoch show whether they are still assigned.
func (a *Agent) handleEpochEnd(epoch cell.Epoch) {
	if epoch != a.epoch {
		return
	}
	if a.leaveSequence != 0 {
		a.done = true
		return
	}
	a.epoch = 0
	a.version = 0
	a.holder.End()
	a.stopTasksWithoutLease()
	a.nextSync = a.now.Monotonic
}

// applyAssignments handles a complete list of assignments.
func (a *Agent) applyAssignments(response Response) {
	a.version = response.Version
	wanted := make(map[cell.AllocationID]bool, len(response.Tasks))
	for _, task := range response.Tasks {
		wanted[task.Allocation] = true
		a.reconcileTask(task)
	}
	for _, id := range a.sortedAllocations() {
		if !wanted[id] {
			a.removeUnassigned(a.tasks[id])
		}
	}
}

func (a *Agent) reconcileTask(task Task) {
	local := a.tasks[task.Allocation]
	switch {
	case local == nil && task.Stop != StopNone:
		// The task was never started here, but the cell waits for a report that it has stopped.
		a.tasks[task.Allocation] = &localTask{task: task, state: taskEnded, outcome: OutcomeStopped}
		a.reportDue = true
	case local == nil:
		a.start(task)
	case local.state == taskRunning && task.Stop != StopNone:
		a.stop(local, task.Stop)
	}
}

// start starts a task. If the worker is leaving, the task is reported as stopped instead. If the
// lease has expired, the task is skipped: it is assigned again with the next version, or expires
// with the epoch.
func (a *Agent) start(task Task) {
	if a.leaving {
		a.tasks[task.Allocation] = &localTask{task: task, state: taskEnded, outcome: OutcomeStopped}
		a.reportDue = true
		return
	}
	if !a.holder.Valid(a.now) {
		a.version = 0
		return
	}
	a.tasks[task.Allocation] = &localTask{task: task, state: taskRunning, outcome: OutcomeRunning}
	a.starts = append(a.starts, task)
	a.reportDue = true
}

// removeUnassigned stops a task that the cell no longer assigns, and forgets it once it has ended.
func (a *Agent) removeUnassigned(local *localTask) {
	switch local.state {
	case taskEnded:
		delete(a.tasks, local.task.Allocation)
	case taskRunning:
		a.stop(local, StopNow)
	}
}

// TaskEnded records that a task has ended, on its own or because it was stopped.
func (a *Agent) TaskEnded(allocation cell.AllocationID, outcome Outcome, detail string) {
	local := a.tasks[allocation]
	if local == nil || local.state == taskEnded {
		return
	}
	local.state = taskEnded
	local.outcome = outcome
	local.detail = detail
	a.reportDue = true
}

// RecordUsage records the measured resource usage of a task. It is sent with the next renewal.
func (a *Agent) RecordUsage(allocation cell.AllocationID, used cell.Resources) {
	if local := a.tasks[allocation]; local != nil {
		local.usage = used
	}
}

// Leave starts a planned shutdown: all tasks are stopped, with a checkpoint if they support it, and
// reported; then the epoch ends.
func (a *Agent) Leave(now lease.ClockReading) {
	a.Tick(now)
	a.leaving = true
	for _, id := range a.sortedAllocations() {
		if local := a.tasks[id]; local.state == taskRunning {
			a.stop(local, StopCheckpoint)
		}
	}
	a.reportDue = true
}

// Effects returns the pending effects and clears them.
func (a *Agent) Effects(now lease.ClockReading) Effects {
	a.Tick(now)
	effects := Effects{Stops: a.stops, Starts: a.starts, Done: a.done}
	a.stops, a.starts = nil, nil
	if !a.done && (a.reportDue || a.now.Monotonic >= a.nextSync) {
		effects.Sync = a.newRenewal()
	}
	effects.Wake = a.timeUntilWake()
	effects.Lease = max(a.holder.Remaining(a.now), 0)
	return effects
}

// newRenewal returns a sync with a renewal and schedules the next one.
func (a *Agent) newRenewal() *Sync {
	a.reportDue = false
	a.nextSync = a.now.Monotonic + a.syncInterval
	sync := &Sync{
		Epoch:    a.epoch,
		Sequence: a.holder.BeginRenewal(a.now),
		Reports:  a.reports(),
		Version:  a.version,
		Leaving:  a.leaving && len(a.unfinishedAllocations()) == 0,
	}
	if sync.Leaving && a.leaveSequence == 0 {
		a.leaveSequence = sync.Sequence
	}
	return sync
}

// reports returns a report for every allocation that the cell still assigns. Each is repeated until
// the assignment is gone, so that the loss of a message or of a command has no effect. There is
// nothing to report before registration.
func (a *Agent) reports() []Report {
	if a.epoch == 0 {
		return nil
	}
	var reports []Report
	for _, id := range a.sortedAllocations() {
		local := a.tasks[id]
		reports = append(reports, Report{
			Allocation: id, Outcome: local.outcome, Detail: local.detail, Used: local.usage,
		})
	}
	return reports
}

// WatchSync returns the sync that requests assignments newer than the current version, without
// renewing the lease.
func (a *Agent) WatchSync() Sync { return Sync{Epoch: a.epoch, Version: a.version} }

// Registered reports whether the agent has an epoch.
func (a *Agent) Registered() bool { return a.epoch != 0 }

// Refused reports whether the cell refused to admit this worker.
func (a *Agent) Refused() bool { return a.refused }

// unfinishedAllocations returns the allocations whose task is running or stopping.
func (a *Agent) unfinishedAllocations() []cell.AllocationID {
	var ids []cell.AllocationID
	for _, id := range a.sortedAllocations() {
		if a.tasks[id].state != taskEnded {
			ids = append(ids, id)
		}
	}
	return ids
}

// timeUntilWake returns the time until the next renewal or the end of the lease, whichever comes
// first.
func (a *Agent) timeUntilWake() time.Duration {
	wake := a.nextSync - a.now.Monotonic
	if remaining := a.holder.Remaining(a.now); remaining > 0 {
		wake = min(wake, remaining)
	}
	return max(wake, 0)
}

func (a *Agent) sortedAllocations() []cell.AllocationID {
	ids := make([]cell.AllocationID, 0, len(a.tasks))
	for id := range a.tasks {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
