package replica

import (
	"testing"
	"time"
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
