package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// Guards against a second run on a worker that lists an earlier one after the assignment was proposed.
func TestNoStartBesideAnEarlierRunOnTheSameWorker(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	task := starts[0].Task
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	b.apply(workload.Command{EndBoot: &workload.EndBoot{Worker: "w", Boot: 1}})
	e := dispatch.Effects{}
	for range 2 { // the second answer is to a hold with the token of the worker after the end of the boot
		b.answerHolds(dispatch.HoldReport{Boot: 1})
		e = b.tick(replanDelay)
	}
	if len(e.Proposals) != 1 {
		t.Fatalf("proposals %+v, want one that opens run 2", e.Proposals)
	}
	listed := dispatch.HoldReport{Boot: 1, Active: []dispatch.ActiveRun{{Task: task, Run: 1}}}
	b.answerHolds(listed)
	e = b.commit(e)
	for range 50 {
		if len(startsOf(e, task, 1)) > 0 {
			t.Fatal("run 2 starts while run 1 is listed on the same worker")
		}
		for _, p := range e.Proposals {
			b.core.Apply(b.now, b.now, 0, p.Command)
			b.core.ProposalCommitted(b.now, p.ID)
		}
		b.answerHolds(listed)
		e = b.tick(10 * time.Millisecond)
	}
	if reserved := b.core.Reserved()["w"]; reserved.MilliCPU != 1000 {
		t.Errorf("%v reserved on w, want the 1000 millicores of run 1", reserved)
	}
}
