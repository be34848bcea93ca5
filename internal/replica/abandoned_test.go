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
func TestAbandonedCommandsAreDropped(t *testing.T) {
	gone := make(chan struct{})
	close(gone)
	held := proposeCall{reply: newReply[proposed](), gone: gone}
	mailed := proposeCall{reply: newReply[proposed](), gone: gone}
	task := &task{} // without a log: proposing would panic
	task.proposals.held = []proposeCall{held}
	if task.proposeHeld(time.Time{}) {
		t.Error("an abandoned command was proposed")
	}
	task.propose(time.Time{}, mailed)
	for name, call := range map[string]proposeCall{"held": held, "in the mailbox": mailed} {
		if got := <-call.reply; got.err == nil {
			t.Errorf("%s: answered without an error", name)
		}
	}
}

// Guards against answering a command as not carried out whose entry left this log but may be in that of a later leader.
func TestReplacedEntryIsUnknown(t *testing.T) {
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
	task.proposals.waiting = map[uint64]waitingProposal{}
	var former error
	const firstAfterElection = 2 // 1 is the entry of the election
	task.proposals.waiting[firstAfterElection] = waitingProposal{finish: func(_ proposed, err error) { former = err }}
	task.append(now, state.Command{}, nil, 0, func(proposed, error) {})
	if !errors.Is(former, ErrOutcomeUnknown) {
		t.Errorf("former command at the index: %v", former)
	}
}
