package replica

import (
	"errors"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/state"
)

// Guards against carrying out commands whose callers have given up: under
// overload they hold back those that are still wanted, and every caller gives
// up in turn (TestRunPrintsAllTables of commitbench beside busy processes).
func TestCanceledCommandsAreDropped(t *testing.T) {
	callerDone := make(chan struct{})
	close(callerDone)
	queued := proposeCall{reply: newReply[proposeResult](), callerDone: callerDone}
	inMailbox := proposeCall{reply: newReply[proposeResult](), callerDone: callerDone}
	task := &task{} // without a log: proposing would panic
	task.proposals.queued = []proposeCall{queued}
	if task.proposeQueued(time.Time{}) {
		t.Error("an abandoned command was proposed")
	}
	task.handlePropose(time.Time{}, inMailbox)
	for name, call := range map[string]proposeCall{"queued": queued, "in the mailbox": inMailbox} {
		if got := <-call.reply; got.err == nil {
			t.Errorf("%s: answered without an error", name)
		}
	}
}

// Guards against answering a command as not carried out whose entry left this log but may be in that of a later leader.
func TestReplacedEntryHasUnknownOutcome(t *testing.T) {
	core, err := replog.New(replog.Config{
		ID: 1, Membership: replog.Membership{Voters: []replog.ReplicaID{1}},
		ElectionTimeoutMin: 400 * time.Millisecond, ElectionTimeoutMax: 800 * time.Millisecond,
		HeartbeatInterval: 100 * time.Millisecond, MaxBatchBytes: 1000, MaxInflight: 8, MaxPending: 8,
	}, time.Unix(0, 0))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1, 0)
	core.Tick(now)
	for range 4 { // a vote and an entry are written before the next step
		core.Persisted(now, core.Effects().Mark)
	}
	if role := core.Status().Role; role != replog.RoleLeader {
		t.Fatalf("role %v", role)
	}
	task := &task{core: core, status: core.Status()}
	task.proposals.pending = map[uint64]pendingProposal{}
	var former error
	const firstAfterElection = 2 // 1 is the entry of the election
	task.proposals.pending[firstAfterElection] = pendingProposal{complete: func(_ proposeResult, err error) { former = err }}
	task.appendCommand(now, state.Command{}, nil, 0, func(proposeResult, error) {})
	if !errors.Is(former, ErrOutcomeUnknown) {
		t.Errorf("former command at the index: %v", former)
	}
}
