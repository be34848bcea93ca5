package replica

import (
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

// feedPolls holds the long polls of the entry processes.
type feedPolls struct {
	pending        map[cell.EntryName]*pendingFeed
	changedWorkers map[cell.WorkerName]bool // since the last responses
	membersChanged bool
	configChanged  bool
}

type pendingFeed struct {
	call       feedCall
	workers    map[cell.WorkerName]bool
	deadline   time.Time
	hasChanges bool // the entry process is already out of date
}

// markChanged records that the epoch or the allocations of a worker have changed.
func (f *feedPolls) markChanged(worker cell.WorkerName) {
	if worker != "" && len(f.pending) > 0 {
		f.changedWorkers[worker] = true
	}
}

func (f *feedPolls) refuseAll(err error) {
	for _, poll := range f.pending {
		poll.call.refuse(err)
	}
	clear(f.pending)
}

func (f *feedPolls) nextDeadline() time.Time {
	var first time.Time
	for _, poll := range f.pending {
		first = earliest(first, poll.deadline)
	}
	return first
}

// trackAllocation updates the leader's allocation table and returns the worker that an event
// concerns.
func (l *leaderState) trackAllocation(event state.Event) cell.WorkerName {
	switch {
	case event.TaskPlaced != nil:
		allocation := event.TaskPlaced.Allocation
		l.allocations[allocation.ID] = allocationInfo{worker: allocation.Worker}
		return allocation.Worker
	case event.TaskStarted != nil:
		info := l.allocations[event.TaskStarted.Allocation]
		info.started = true
		l.allocations[event.TaskStarted.Allocation] = info
	case event.TaskStopping != nil:
		return l.allocations[event.TaskStopping.Allocation].worker
	case event.AllocationEnded != nil:
		delete(l.allocations, event.AllocationEnded.Allocation.ID)
		return event.AllocationEnded.Allocation.Worker
	case event.WorkerAdded != nil:
		return event.WorkerAdded.Worker.Name
	case event.WorkerRemoved != nil:
		return event.WorkerRemoved.Worker
	}
	return ""
}

// handleFeed registers a long poll. A second poll of the same entry process replaces the first
// one, whose caller has given up.
func (t *task) handleFeed(now time.Time, c feedCall) {
	if !t.holdsLeaderLease(now) {
		c.refuse(t.notLeaderError())
		return
	}
	request := c.request
	entry := cell.EntryName(request.Entry)
	member := t.recordFeedCall(now, request)
	wait := min(time.Duration(request.MaxWaitMillis)*time.Millisecond, maxFeedWait)
	poll := &pendingFeed{call: c, workers: map[cell.WorkerName]bool{}, deadline: now.Add(wait)}
	for _, known := range request.Workers {
		poll.workers[cell.WorkerName(known.Worker)] = true
		poll.hasChanges = poll.hasChanges || outOfDate(t.state.Worker(cell.WorkerName(known.Worker)), known)
	}
	poll.hasChanges = poll.hasChanges || !member || request.MembersVersion != t.membersIndex || t.newerConfig(request.Generation) != nil
	if former := t.feeds.pending[entry]; former != nil {
		former.call.refuse(ErrOverloaded)
	}
	t.feeds.pending[entry] = poll
}

// outOfDate reports whether a worker's assignments differ from the version that an entry process
// knows.
func outOfDate(view state.WorkerView, known *rpcpb.WorkerVersion) bool {
	epoch := cell.Epoch(0)
	if view.Registered {
		epoch = view.Epoch
	}
	return uint64(epoch) != known.Epoch || view.Version != known.Version
}

// holdsLeaderLease reports whether this replica may answer from its own state: it leads, and its
// lease rules out another leader.
func (t *task) holdsLeaderLease(now time.Time) bool {
	return t.leader != nil && t.status.HoldsLease(now)
}

// recordFeedCall records the time of a feed call and the configuration generation that the entry
// process uses. It returns false if the incarnation of the entry process is not a member.
func (t *task) recordFeedCall(now time.Time, request *rpcpb.FeedRequest) bool {
	entry := cell.EntryName(request.Entry)
	last, known := t.leader.entries[entry]
	if !known || uint64(last.incarnation) != request.EntryIncarnation || last.leaving {
		return false
	}
	last.lastFeed, last.generation = now, cell.Generation(request.Generation)
	t.leader.entries[entry] = last
	return true
}

// answerFeeds answers the polls that have changes to report or that have reached their deadline.
func (t *task) answerFeeds(now time.Time) {
	if len(t.feeds.pending) > 0 && t.leader == nil {
		t.feeds.refuseAll(t.notLeaderError())
	}
	for entry, poll := range t.feeds.pending {
		if !t.feedDue(now, poll) {
			continue
		}
		delete(t.feeds.pending, entry)
		if !t.holdsLeaderLease(now) {
			poll.call.refuse(t.notLeaderError())
			continue
		}
		t.answerFeed(entry, poll)
	}
	clear(t.feeds.changedWorkers)
	t.feeds.membersChanged, t.feeds.configChanged = false, false
}

func (t *task) feedDue(now time.Time, poll *pendingFeed) bool {
	if poll.hasChanges || t.feeds.membersChanged || t.feeds.configChanged || !now.Before(poll.deadline) {
		return true
	}
	for worker := range t.feeds.changedWorkers {
		if poll.workers[worker] {
			return true
		}
	}
	return false
}

func (t *task) answerFeed(entry cell.EntryName, poll *pendingFeed) {
	request := poll.call.request
	response := &rpcpb.FeedResponse{MembersVersion: t.membersIndex}
	for _, known := range request.Workers {
		if view := t.state.Worker(cell.WorkerName(known.Worker)); outOfDate(view, known) {
			response.Assignments = append(response.Assignments, encodeAssignments(view))
		}
	}
	member := t.leader.entries[entry]
	response.Left = uint64(member.incarnation) != request.EntryIncarnation || member.leaving
	if request.MembersVersion != t.membersIndex {
		for _, member := range t.cellMembers() {
			response.Members = append(response.Members, encodeMember(member))
		}
	}
	poll.call.send(feedResult{response: response, config: t.newerConfig(request.Generation)})
}

// newerConfig returns the cell file in force if it is newer than generation.
func (t *task) newerConfig(generation uint64) *state.ConfigRecord {
	if t.cellFile == nil || uint64(t.cellFile.Generation) <= generation {
		return nil
	}
	return t.state.Query(state.Query{Config: &state.ConfigQuery{}}).Config
}

func encodeMember(m state.Member) *rpcpb.Member {
	return &rpcpb.Member{
		Name: string(m.Name), Incarnation: uint64(m.Incarnation), Address: m.Address,
		Region: string(m.Region), FailureDomain: string(m.FailureDomain),
	}
}

// Values of Assignment.Stop: how a worker ends a task.
const (
	stopImmediately = "stop"
	stopCheckpoint  = "checkpoint"
)

// encodeAssignments lists the allocations of a worker. A worker without an epoch has none to run,
// even if the state keeps allocations for its return.
func encodeAssignments(view state.WorkerView) *rpcpb.WorkerAssignments {
	out := &rpcpb.WorkerAssignments{Worker: string(view.Name), Version: view.Version}
	if !view.Registered {
		return out
	}
	out.Epoch = uint64(view.Epoch)
	for _, assignment := range view.Assignments {
		out.Assignments = append(out.Assignments, encodeAssignment(assignment))
	}
	return out
}

func encodeAssignment(a state.Assignment) *rpcpb.Assignment {
	out := &rpcpb.Assignment{
		Allocation: uint64(a.Allocation.ID), Job: uint64(a.Allocation.Task.Job), Task: int32(a.Allocation.Task.Index),
		MilliCpu: a.Allocation.Size.MilliCPU, MemoryBytes: a.Allocation.Size.MemoryBytes, Accelerators: a.Allocation.Size.Accelerators,
		Command: a.Command, KeepOnDisconnect: a.Allocation.OnDisconnect == cell.DisconnectKeep, RunMillis: a.RunTime.Milliseconds(),
	}
	if a.Stop {
		out.Stop = stopImmediately
		if a.Allocation.Checkpoints {
			out.Stop = stopCheckpoint
		}
	}
	return out
}
