package agent

import (
	"sort"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/lease"
)

// firstSyncInterval is used until the cell has sent its configured interval.
const firstSyncInterval = 500 * time.Millisecond

// retryInterval is the delay before a failed sync is retried. It is short compared with the lease,
// so that a worker can try many entry processes before its lease ends.
const retryInterval = 200 * time.Millisecond

// refusedInterval is the sync interval of a worker that is not admitted. Each attempt adds a
// command to the log, and the result changes only with a new cell file.
const refusedInterval = 10 * time.Second

// taskState is the local state of a task.
type taskState uint8

const (
	taskRunning  taskState = iota + 1
	taskStopping           // the owner was told to stop it
	taskEnded              // kept until the cell no longer assigns the task
)

type localTask struct {
	task    Task
	state   taskState
	outcome Outcome
	detail  string
	used    cell.Resources
}

// Agent is the protocol state of a worker. It is not safe for concurrent use.
type Agent struct {
	holder   *lease.Holder
	epoch    cell.Epoch // 0 if not registered
	version  uint64
	interval time.Duration
	tasks    map[cell.AllocationID]*localTask

	now       lease.Reading
	nextSync  time.Duration // monotonic time of the next renewal
	reportNow bool          // a state change should be reported before the interval has passed
	leaving   bool
	leaveSent uint64 // sequence of the first sync with Leaving set, or 0
	left      bool
	refused   bool

	stops  []Stop
	starts []Task
}

// New returns an agent that is not registered.
func New(now lease.Reading) *Agent {
	return &Agent{
		holder:   lease.NewHolder(),
		interval: firstSyncInterval,
		tasks:    map[cell.AllocationID]*localTask{},
		now:      now,
		nextSync: now.Monotonic,
	}
}

// Tick advances the time and stops tasks whose lease has expired.
func (a *Agent) Tick(now lease.Reading) {
	a.now = now
	if !a.holder.Valid(now) {
		a.endWithoutLease()
	}
}

// endWithoutLease stops every running task that must not outlive the lease.
func (a *Agent) endWithoutLease() {
	for _, id := range a.sortedIDs() {
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

// Synced handles the cell's response to a sync.
func (a *Agent) Synced(now lease.Reading, answer Answer) {
	a.Tick(now)
	switch {
	case answer.Failed:
		a.nextSync = min(a.nextSync, now.Monotonic+retryInterval)
		return
	case answer.Refused:
		a.refused = true
		a.nextSync = now.Monotonic + refusedInterval
		return
	case answer.EpochEnded:
		a.epochEnded(answer.Epoch)
		return
	}
	a.refused = false
	if a.epoch == 0 && answer.Granted {
		a.epoch = answer.Epoch
		a.version = 0
		a.reportNow = true
	}
	if answer.Epoch != a.epoch {
		return
	}
	if answer.Granted {
		a.holder.Granted(now, answer.Sequence, answer.Terms)
		a.interval = answer.SyncInterval
	}
	if answer.Changed && answer.Version >= a.version {
		a.assign(answer)
	}
	if answer.Granted && a.leaveSent != 0 && answer.Sequence >= a.leaveSent {
		a.left = true
	}
}

// epochEnded makes the agent register again. Tasks with KeepOnDisconnect continue until the
// assignments of the new epoch show whether they are still assigned.
func (a *Agent) epochEnded(epoch cell.Epoch) {
	if epoch != a.epoch {
		return
	}
	if a.leaveSent != 0 {
		a.left = true
		return
	}
	a.epoch = 0
	a.version = 0
	a.holder.Lost()
	a.endWithoutLease()
	a.nextSync = a.now.Monotonic
}

// assign handles a complete list of assignments.
func (a *Agent) assign(answer Answer) {
	a.version = answer.Version
	wanted := make(map[cell.AllocationID]bool, len(answer.Tasks))
	for _, task := range answer.Tasks {
		wanted[task.Allocation] = true
		a.reconcile(task)
	}
	for _, id := range a.sortedIDs() {
		if !wanted[id] {
			a.drop(a.tasks[id])
		}
	}
}

func (a *Agent) reconcile(task Task) {
	local := a.tasks[task.Allocation]
	switch {
	case local == nil && task.Stop != StopNone:
		// The task was never started here, but the cell waits for a report that it has stopped.
		a.tasks[task.Allocation] = &localTask{task: task, state: taskEnded, outcome: OutcomeStopped}
		a.reportNow = true
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
		a.reportNow = true
		return
	}
	if !a.holder.Valid(a.now) {
		a.version = 0
		return
	}
	a.tasks[task.Allocation] = &localTask{task: task, state: taskRunning, outcome: OutcomeRunning}
	a.starts = append(a.starts, task)
	a.reportNow = true
}

// drop stops a task that the cell no longer assigns, and forgets it once it has ended.
func (a *Agent) drop(local *localTask) {
	switch local.state {
	case taskEnded:
		delete(a.tasks, local.task.Allocation)
	case taskRunning:
		a.stop(local, StopNow)
	}
}

// Ended records that a task has ended, on its own or because it was stopped.
func (a *Agent) Ended(allocation cell.AllocationID, outcome Outcome, detail string) {
	local := a.tasks[allocation]
	if local == nil || local.state == taskEnded {
		return
	}
	local.state = taskEnded
	local.outcome = outcome
	local.detail = detail
	a.reportNow = true
}

// Used records the measured resource usage of a task. It is sent with the next renewal.
func (a *Agent) Used(allocation cell.AllocationID, used cell.Resources) {
	if local := a.tasks[allocation]; local != nil {
		local.used = used
	}
}

// Leave starts a planned shutdown: all tasks are stopped, with a checkpoint if they support it, and
// reported; then the epoch ends.
func (a *Agent) Leave(now lease.Reading) {
	a.Tick(now)
	a.leaving = true
	for _, id := range a.sortedIDs() {
		if local := a.tasks[id]; local.state == taskRunning {
			a.stop(local, StopCheckpoint)
		}
	}
	a.reportNow = true
}

// Effects returns the pending effects and clears them.
func (a *Agent) Effects(now lease.Reading) Effects {
	a.Tick(now)
	effects := Effects{Stops: a.stops, Starts: a.starts, Done: a.left}
	a.stops, a.starts = nil, nil
	if !a.left && (a.reportNow || a.now.Monotonic >= a.nextSync) {
		effects.Sync = a.renewal()
	}
	effects.Wake = a.wake()
	effects.Lease = max(a.holder.Remaining(a.now), 0)
	return effects
}

// renewal returns a sync with a renewal and schedules the next one.
func (a *Agent) renewal() *Sync {
	a.reportNow = false
	a.nextSync = a.now.Monotonic + a.interval
	sync := &Sync{
		Epoch:    a.epoch,
		Sequence: a.holder.Sending(a.now),
		Reports:  a.reports(),
		Version:  a.version,
		Leaving:  a.leaving && len(a.running()) == 0,
	}
	if sync.Leaving && a.leaveSent == 0 {
		a.leaveSent = sync.Sequence
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
	for _, id := range a.sortedIDs() {
		local := a.tasks[id]
		reports = append(reports, Report{
			Allocation: id, Outcome: local.outcome, Detail: local.detail, Used: local.used,
		})
	}
	return reports
}

// Watch returns the sync that requests assignments newer than the current version, without renewing
// the lease.
func (a *Agent) Watch() Sync { return Sync{Epoch: a.epoch, Version: a.version} }

// Registered reports whether the agent has an epoch.
func (a *Agent) Registered() bool { return a.epoch != 0 }

// Refused reports whether the cell refused to admit this worker.
func (a *Agent) Refused() bool { return a.refused }

// running returns the allocations whose task is running or stopping.
func (a *Agent) running() []cell.AllocationID {
	var ids []cell.AllocationID
	for _, id := range a.sortedIDs() {
		if a.tasks[id].state != taskEnded {
			ids = append(ids, id)
		}
	}
	return ids
}

// wake returns the time until the next renewal or the end of the lease, whichever comes first.
func (a *Agent) wake() time.Duration {
	wake := a.nextSync - a.now.Monotonic
	if remaining := a.holder.Remaining(a.now); remaining > 0 {
		wake = min(wake, remaining)
	}
	return max(wake, 0)
}

func (a *Agent) sortedIDs() []cell.AllocationID {
	ids := make([]cell.AllocationID, 0, len(a.tasks))
	for id := range a.tasks {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
