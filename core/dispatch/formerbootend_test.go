package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
)

// Guards against a done end that was listed and does not count, because the registration of the worker's next
// boot was committed before it (rule TWICE).
func TestDoneEndCountsIfTheNextBootIsRegisteredBeforeItsCommit(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	b.answerHolds(listDone(starts[0].Task)(dispatch.Hold{Call: dispatch.Call{Boot: 1}}))
	done := b.tick(10 * time.Millisecond)
	if len(done.Proposals) != 1 {
		t.Fatalf("%d proposals, want the end", len(done.Proposals))
	}
	b.apply(registerWorker("w", 2))
	b.apply(registerWorker("spare", 1))
	b.commit(done)
	b.runFor(2*maxCallDelay, workerStub{
		hold: func(h dispatch.Hold) dispatch.HoldReport { return dispatch.HoldReport{Boot: h.Boot} },
		observe: func(e dispatch.Effects) {
			for _, s := range startsOf(e, starts[0].Task, 1) {
				t.Fatalf("run %d starts on %s", s.Run, s.Worker)
			}
		},
	})
}
