package replica

import (
	"context"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/codec"
)

// WorkUpdate is a message from the replica task to the task that dispatches jobs of steps. Its
// fields are handled in their order.
type WorkUpdate struct {
	// LeadershipStart is set when this replica becomes leader, otherwise nil.
	LeadershipStart *LeadershipStart
	// LeadershipEnded is set when this replica stops being leader.
	LeadershipEnded bool
	Applied         []AppliedWork
	// LeaseEnd is the end of the leader lease; nil if it did not change. Without a lease it has
	// passed.
	LeaseEnd         *lease.Deadline
	AdviceRequesters []string // addresses of processes that can call the adviser
}

// LeadershipStart is the state that a new leader starts with.
type LeadershipStart struct {
	Term     uint64
	Snapshot workload.Snapshot
}

// AppliedWork is a committed command with the clocks of the state after it.
type AppliedWork struct {
	At       time.Time
	Retained time.Duration // retention clock
	Steady   time.Duration // steady clock
	Command  workload.Command
	Expire   bool   // only the clocks advanced; there is no command
	Tag      uint64 // tag of the ProposeWork call of this process, otherwise 0
	Index    uint64 // of the entry
}

// workFeed holds the updates that the dispatching task has not received yet. The replica task
// never waits for that task.
type workFeed struct {
	updates  chan<- WorkUpdate
	pending  []WorkUpdate
	leaseEnd time.Time
	// timeoutNow holds messages that wait until the dispatching task has received all updates.
	timeoutNow []replog.Message
}

// next returns the channel and the next update, or nil if there is none.
func (f *workFeed) next() (chan<- WorkUpdate, WorkUpdate) {
	if len(f.pending) == 0 {
		return nil, WorkUpdate{}
	}
	return f.updates, f.pending[0]
}

func (f *workFeed) markSent() { f.pending = f.pending[1:] }

// lastPending returns the pending update to add to.
func (f *workFeed) lastPending() *WorkUpdate {
	if len(f.pending) == 0 {
		f.pending = append(f.pending, WorkUpdate{})
	}
	return &f.pending[len(f.pending)-1]
}

func (t *task) publishLeadershipStart() {
	if t.workFeed.updates == nil {
		return
	}
	t.workFeed.pending = []WorkUpdate{{LeadershipStart: &LeadershipStart{Term: t.status.Term, Snapshot: t.state.Workload().Snapshot()}}}
	t.workFeed.leaseEnd = time.Time{}
}

func (t *task) publishLeadershipEnd() {
	if t.workFeed.updates != nil {
		t.workFeed.pending = []WorkUpdate{{LeadershipEnded: true}}
	}
}

func (t *task) publishApplied(command state.Command, tag uint64) {
	if t.workFeed.updates == nil || t.leader == nil || command.Workload == nil && command.Advance == nil {
		return
	}
	now, retained := t.state.Clocks()
	applied := AppliedWork{At: now, Retained: retained, Steady: t.state.Workload().SteadyClock(), Expire: command.Advance != nil, Tag: tag, Index: t.applied}
	if command.Workload != nil {
		applied.Command = *command.Workload
	}
	update := t.workFeed.lastPending()
	update.Applied = append(update.Applied, applied)
}

// minLeaseExtension is the least extension of the leader lease that is published. Every answer of
// a follower extends the lease, and each update wakes the dispatching task.
const minLeaseExtension = 25 * time.Millisecond

func (t *task) publishLeaseEnd(now time.Time) {
	if t.workFeed.updates == nil || t.leader == nil {
		return
	}
	gain := t.status.LeaseEnd.Sub(t.workFeed.leaseEnd)
	if gain == 0 || gain > 0 && gain < minLeaseExtension {
		return
	}
	t.workFeed.leaseEnd = t.status.LeaseEnd
	// The wall clock may have been set since the replica started, so the wall clock reading of
	// status.LeaseEnd does not count.
	until := lease.DeadlineIn(now, t.status.LeaseEnd.Sub(now)).OnBootClock(t.clock.lastBoot)
	t.workFeed.lastPending().LeaseEnd = &until
}

// withholdTimeoutNow removes the messages of a leadership transfer. Their receiver may become leader at
// once, so the dispatching task must have received the end of the leader lease before.
func (t *task) withholdTimeoutNow(messages []replog.Message) []replog.Message {
	if t.workFeed.updates == nil {
		return messages
	}
	return slices.DeleteFunc(messages, func(m replog.Message) bool {
		if m.Type != replog.MessageTimeoutNow {
			return false
		}
		t.workFeed.timeoutNow = append(t.workFeed.timeoutNow, m)
		return true
	})
}

// sendTimeoutNow sends the withheld messages once the dispatching task has received all updates.
func (t *task) sendTimeoutNow() {
	if len(t.workFeed.timeoutNow) == 0 || len(t.workFeed.pending) > 0 {
		return
	}
	t.sender.Send(t.workFeed.timeoutNow)
	t.workFeed.timeoutNow = nil
}

func (t *task) publishAdviceRequester(address string) {
	if t.workFeed.updates == nil || t.leader == nil || address == "" {
		return
	}
	update := t.workFeed.lastPending()
	update.AdviceRequesters = append(update.AdviceRequesters, address)
}

// ProposeWork proposes a command of the dispatching task; wait waits for its commit. Calls are
// handled in order. The update that contains the command carries tag. An error means that the
// command was not accepted or that its outcome is unknown.
func (r *Replica) ProposeWork(ctx context.Context, command workload.Command, tag uint64) (wait func() error, err error) {
	whole := state.Command{At: time.Now(), Workload: &command}
	encoded, err := codec.EncodeCommand(whole)
	if err != nil {
		return nil, err
	}
	reply := newReply[proposeResult]()
	select {
	case r.calls <- proposeCall{reply: reply, command: whole, encoded: encoded, tag: tag, callerDone: ctx.Done()}:
	default:
		return nil, ErrOverloaded
	}
	return func() error {
		_, err := awaitReply(ctx, r, reply)
		return err
	}, nil
}

// ReadLocal answers a query from the state that this replica has applied, which may be behind the
// leader.
func (r *Replica) ReadLocal(ctx context.Context, query state.Query) (state.Answer, error) {
	return ask(ctx, r, func(reply reply[state.Answer]) call { return localReadCall{reply, query} })
}

// LocalWorkload returns a worker from the state that this replica has applied.
func (r *Replica) LocalWorkload(ctx context.Context, id workload.WorkerID) (workload.Worker, bool, error) {
	answer, err := r.ReadLocal(ctx, state.Query{Called: &state.StepWorkerQuery{Worker: id}})
	if err != nil || answer.Called == nil {
		return workload.Worker{}, false, err
	}
	return *answer.Called, true, nil
}

// LocalServices returns the services of the queue configuration that this replica has applied, and
// whether there is one.
func (r *Replica) LocalServices(ctx context.Context) (services []string, ok bool, err error) {
	answer, err := r.ReadLocal(ctx, state.Query{Queues: &state.QueuesQuery{}})
	if err != nil || answer.Queues == nil || answer.Queues.Config == nil {
		return nil, false, err
	}
	return answer.Queues.Config.Services, true, nil
}

// GroupAddresses returns the addresses of the leader, empty if unknown, and of all members of the
// control group.
func (r *Replica) GroupAddresses(ctx context.Context) (leader string, members []string, err error) {
	report, err := r.Report(ctx)
	return report.LeaderAddress, report.Addresses, err
}

// replicaAddresses lists the addresses of the members of the group.
func (t *task) replicaAddresses() []string {
	var all []string
	for _, ids := range [][]replog.ReplicaID{t.status.Membership.Voters, t.status.Membership.Learners} {
		for _, id := range ids {
			if address := t.peers.directory.Address(id); address != "" {
				all = append(all, address)
			}
		}
	}
	return all
}
