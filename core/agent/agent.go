package agent

import (
	"sort"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/lease"
)

// firstSyncInterval is used until the cell has told its own interval.
const firstSyncInterval = 500 * time.Millisecond

// retryInterval is the wait before a failed sync is repeated. It is short
// against the lease, so that a worker tries many entry processes within it.
const retryInterval = 200 * time.Millisecond

// refusedInterval is the wait of a worker that is not admitted. Each try is a
// command in the log, and only a new cell file changes the answer.
const refusedInterval = 10 * time.Second

// taskState is the state of a task on this worker.
type taskState uint8

const (
	taskRunning  taskState = iota + 1
	taskStopping           // the owner was told to end it
	taskEnded              // ended; kept until the cell no longer assigns it
)

type localTask struct {
	task    Task
	state   taskState
	outcome Outcome
	detail  string
	used    cell.Resources
}

// Agent is the state of a worker. It is not safe for concurrent use.
type Agent struct {
	holder   *lease.Holder
	epoch    cell.Epoch // 0: not registered
	version  uint64
	interval time.Duration
	tasks    map[cell.AllocationID]*localTask

	now       lease.Reading
	nextSync  time.Duration // monotonic time of the next renewal
	reportNow bool          // there is news that should not wait for the interval
	leaving   bool
	leaveSent uint64 // sequence of the first sync with Leaving set; 0: none
	left      bool
	refused   bool

	stops  []Stop
	starts []Task
}

// New returns an agent that is not registered yet.
func New(now lease.Reading) *Agent {
	return &Agent{
		holder:   lease.NewHolder(),
		interval: firstSyncInterval,
		tasks:    map[cell.AllocationID]*localTask{},
		now:      now,
		nextSync: now.Monotonic,
	}
}

// Tick moves the time and ends tasks whose lease has run out.
func (a *Agent) Tick(now lease.Reading) {
	a.now = now
	if !a.holder.Valid(now) {
		a.endWithoutLease()
	}
}

// endWithoutLease stops every running task that may not outlive the lease.
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

// Synced takes the cell's answer to a sync.
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

// epochEnded makes the agent register again. Tasks that outlive the lease run
// on until the new epoch's assignments say whether they are still wanted.
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

// assign takes a complete list of assignments.
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
		// Never started here; the cell waits for the word that it has stopped.
		a.tasks[task.Allocation] = &localTask{task: task, state: taskEnded, outcome: OutcomeStopped}
		a.reportNow = true
	case local == nil:
		a.start(task)
	case local.state == taskRunning && task.Stop != StopNone:
		a.stop(local, task.Stop)
	}
}

// start begins a task, or reports it as stopped where the worker leaves. Where
// the lease has run out the task is left alone: it is assigned again with the
// next version, or expires with the epoch.
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

// drop ends a task that the cell no longer assigns.
func (a *Agent) drop(local *localTask) {
	switch local.state {
	case taskEnded:
		delete(a.tasks, local.task.Allocation)
	case taskRunning:
		a.stop(local, StopNow)
	}
}

// Ended says that a task has ended, by itself or as told.
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

// Used records the measured usage of a task, sent with the next renewal.
func (a *Agent) Used(allocation cell.AllocationID, used cell.Resources) {
	if local := a.tasks[allocation]; local != nil {
		local.used = used
	}
}

// Leave begins a planned stop: all tasks are ended, checkpointed where they
// can, and reported; then the epoch ends.
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

// Effects returns what is to be done now and forgets it.
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

// renewal builds a sync and schedules the next one.
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

// reports lists every allocation that the cell still assigns. Each is repeated
// until the assignment is gone, so that a lost message or a lost command does
// no harm. Before registration there is nobody to report to.
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

// Watch returns the sync that asks for assignments newer than the ones held,
// without a renewal.
func (a *Agent) Watch() Sync { return Sync{Epoch: a.epoch, Version: a.version} }

// Registered reports whether the agent has an epoch.
func (a *Agent) Registered() bool { return a.epoch != 0 }

// Refused reports whether the cell refused to admit this worker.
func (a *Agent) Refused() bool { return a.refused }

// running returns the allocations that still run or stop.
func (a *Agent) running() []cell.AllocationID {
	var ids []cell.AllocationID
	for _, id := range a.sortedIDs() {
		if a.tasks[id].state != taskEnded {
			ids = append(ids, id)
		}
	}
	return ids
}

// wake returns the time to the next renewal or the end of the lease.
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
