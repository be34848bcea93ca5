package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// Guards against ends that are never acknowledged, because the list of ends is full and a run that was
// started and ended meanwhile is listed only after them (rules Acks and LOST).
func TestFullListOfEndsIsAcknowledgedWhileARunIsNotListed(t *testing.T) {
	const maxListedEnds = 500
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	var ends []dispatch.ListedEnd
	for n := range uint64(maxListedEnds) {
		ends = append(ends, dispatch.ListedEnd{Number: n + 1, Task: workload.TaskID{Job: "former", Index: int(n)}, Run: 1, Result: workload.EndStopped})
	}
	ends = append(ends, dispatch.ListedEnd{Number: maxListedEnds + 1, Task: starts[0].Task, Run: 1, Result: workload.EndDone})
	acked := uint64(0)
	b.runFor(10*time.Second, workerStub{hold: func(h dispatch.Hold) dispatch.HoldReport {
		acked = max(acked, h.AckedEnd)
		return dispatch.HoldReport{Boot: 1, Ends: ends[acked:min(acked+maxListedEnds, uint64(len(ends)))]}
	}})
	if acked != uint64(len(ends)) {
		t.Errorf("ends up to %d are acknowledged, want %d", acked, len(ends))
	}
}
