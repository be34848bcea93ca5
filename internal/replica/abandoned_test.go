package replica

import (
	"errors"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/state"
)

// Guards against carrying out commands whose callers have given up. Under overload they delay the
// commands that are still needed, until every caller gives up in turn. Seen in
// TestRunPrintsAllTables of commitbench on a busy machine.
func TestCanceledCommandsAreDropped(t *testing.T) {
	callerDone := make(chan struct{})
	close(callerDone)
	queued := proposeCall{reply: newReply[proposeResult](), callerDone: callerDone}
	inMailbox := proposeCall{reply: newReply[proposeResult](), callerDone: callerDone}
	task := &task{} // has no log, so a proposal would panic
	task.proposals.queued = []proposeCall{queued}
	if task.proposeQueued(time.Time{}) {
		t.Error("a canceled command was proposed")
	}
	task.handlePropose(time.Time{}, inMailbox)
	for name, call := range map[string]proposeCall{"queued": queued, "in the mailbox": inMailbox} {
		if got := <-call.reply; got.err == nil {
			t.Errorf("%s: answered without an error", name)
		}
	}
}

// singleVoterLeader returns the log of a group of one replica, which has been elected.
func singleVoterLeader(t *testing.T, now time.Time) *replog.Core {
	t.Helper()
	core, err := replog.New(replog.Config{
		ID: 1, Membership: replog.Membership{Voters: []replog.ReplicaID{1}},
		ElectionTimeoutMin: 400 * time.Millisecond, ElectionTimeoutMax: 800 * time.Millisecond,
		HeartbeatInterval: 100 * time.Millisecond, MaxBatchBytes: 1000, MaxInflight: 8, MaxPending: 8,
	}, time.Unix(0, 0))
	if err != nil {
		t.Fatal(err)
	}
	core.Tick(now)
	for range 4 { // the vote and the entry of the election are written first
		core.Persisted(now, core.Effects().Mark)
	}
	if role := core.Status().Role; role != replog.RoleLeader {
		t.Fatalf("role %v", role)
	}
	return core
}

// Guards against answering a command as not carried out after its entry was replaced in this log.
// The log of a later leader may still contain the entry.
func TestReplacedEntryHasUnknownOutcome(t *testing.T) {
	now := time.Unix(1, 0)
	core := singleVoterLeader(t, now)
	task := &task{core: core, status: core.Status()}
	task.proposals.pending = map[uint64]pendingProposal{}
	var former error
	const firstAfterElection = 2 // the entry of the election has index 1
	task.proposals.pending[firstAfterElection] = pendingProposal{complete: func(_ proposeResult, err error) { former = err }}
	task.appendCommand(now, state.Command{}, nil, 0, func(proposeResult, error) {})
	if !errors.Is(former, ErrOutcomeUnknown) {
		t.Errorf("replaced command: error %v, want ErrOutcomeUnknown", former)
	}
}
