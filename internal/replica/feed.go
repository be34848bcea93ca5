package replica

import (
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

// feeds holds the long polls of the entry processes.
type feeds struct {
	waiting        map[cell.EntryName]*waitingFeed
	changed        map[cell.WorkerName]bool // since the last answers
	membersChanged bool
	configChanged  bool
}

type waitingFeed struct {
	call     feedCall
	workers  map[cell.WorkerName]bool
	deadline time.Time
	due      bool // there is news already
}

// note marks a worker whose epoch or allocations have changed.
func (f *feeds) note(worker cell.WorkerName) {
	if worker != "" && len(f.waiting) > 0 {
		f.changed[worker] = true
	}
}

func (f *feeds) refuseAll(err error) {
	for _, waiting := range f.waiting {
		waiting.call.refuse(err)
	}
	clear(f.waiting)
}

func (f *feeds) nextDeadline() time.Time {
	var first time.Time
	for _, waiting := range f.waiting {
		first = earliest(first, waiting.deadline)
	}
	return first
}

// follow keeps the leader's memory of allocations and returns the worker that
// an event concerns.
func (l *leading) follow(event state.Event) cell.WorkerName {
	switch {
	case event.TaskPlaced != nil:
		allocation := event.TaskPlaced.Allocation
		l.allocations[allocation.ID] = allocationNews{worker: allocation.Worker}
		return allocation.Worker
	case event.TaskStarted != nil:
		news := l.allocations[event.TaskStarted.Allocation]
		news.started = true
		l.allocations[event.TaskStarted.Allocation] = news
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

// feed takes a long poll. A second one of an entry process replaces the first,
// whose caller has gone.
func (t *task) feed(now time.Time, c feedCall) {
	if !t.mayAnswer(now) {
		c.refuse(t.notLeader())
		return
	}
	request := c.request
	entry := cell.EntryName(request.Entry)
	member := t.sighted(now, request)
	wait := min(time.Duration(request.MaxWaitMillis)*time.Millisecond, maxFeedWait)
	waiting := &waitingFeed{call: c, workers: map[cell.WorkerName]bool{}, deadline: now.Add(wait)}
	for _, known := range request.Workers {
		waiting.workers[cell.WorkerName(known.Worker)] = true
		waiting.due = waiting.due || differs(t.state.Worker(cell.WorkerName(known.Worker)), known)
	}
	waiting.due = waiting.due || !member || request.MembersVersion != t.membersIndex || t.newerConfig(request.Generation) != nil
	if former := t.feeds.waiting[entry]; former != nil {
		former.call.refuse(ErrOverloaded)
	}
	t.feeds.waiting[entry] = waiting
}

// differs reports whether a worker's assignments are other ones than those
// that an entry process knows.
func differs(view state.WorkerView, known *rpcpb.WorkerVersion) bool {
	epoch := cell.Epoch(0)
	if view.Registered {
		epoch = view.Epoch
	}
	return uint64(epoch) != known.Epoch || view.Version != known.Version
}

// mayAnswer reports whether what this replica says is current: it leads and
// nobody else can.
func (t *task) mayAnswer(now time.Time) bool {
	return t.leading != nil && t.status.HoldsLease(now)
}

// sighted records that an entry process is alive and what it has in force. It
// returns false where its incarnation is not a member.
func (t *task) sighted(now time.Time, request *rpcpb.FeedRequest) bool {
	entry := cell.EntryName(request.Entry)
	last, known := t.leading.seen[entry]
	if !known || uint64(last.incarnation) != request.EntryIncarnation || last.leaving {
		return false
	}
	last.at, last.generation = now, cell.Generation(request.Generation)
	t.leading.seen[entry] = last
	return true
}

// answerFeeds answers the polls with news and those that have waited enough.
func (t *task) answerFeeds(now time.Time) {
	if len(t.feeds.waiting) > 0 && t.leading == nil {
		t.feeds.refuseAll(t.notLeader())
	}
	for entry, waiting := range t.feeds.waiting {
		if !t.feedDue(now, waiting) {
			continue
		}
		delete(t.feeds.waiting, entry)
		if !t.mayAnswer(now) {
			waiting.call.refuse(t.notLeader())
			continue
		}
		t.answerFeed(entry, waiting)
	}
	clear(t.feeds.changed)
	t.feeds.membersChanged, t.feeds.configChanged = false, false
}

func (t *task) feedDue(now time.Time, waiting *waitingFeed) bool {
	if waiting.due || t.feeds.membersChanged || t.feeds.configChanged || !now.Before(waiting.deadline) {
		return true
	}
	for worker := range t.feeds.changed {
		if waiting.workers[worker] {
			return true
		}
	}
	return false
}

func (t *task) answerFeed(entry cell.EntryName, waiting *waitingFeed) {
	request := waiting.call.request
	response := &rpcpb.FeedResponse{MembersVersion: t.membersIndex}
	for _, known := range request.Workers {
		if view := t.state.Worker(cell.WorkerName(known.Worker)); differs(view, known) {
			response.Assignments = append(response.Assignments, encodeAssignments(view))
		}
	}
	member := t.leading.seen[entry]
	response.Left = uint64(member.incarnation) != request.EntryIncarnation || member.leaving
	if request.MembersVersion != t.membersIndex {
		for _, member := range t.members() {
			response.Members = append(response.Members, encodeMember(member))
		}
	}
	waiting.call.send(feedAnswer{response: response, config: t.newerConfig(request.Generation)})
}

// newerConfig returns the file in force where it is newer than generation.
func (t *task) newerConfig(generation uint64) *state.ConfigRecord {
	if t.file == nil || uint64(t.file.Generation) <= generation {
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

// Ways in which a worker ends a task.
const (
	stopAtOnce     = "stop"
	stopCheckpoint = "checkpoint"
)

// encodeAssignments lists the allocations of a worker. A worker without an
// epoch has none to run, also where the state keeps some for its return.
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
		out.Stop = stopAtOnce
		if a.Allocation.Checkpoints {
			out.Stop = stopCheckpoint
		}
	}
	return out
}
