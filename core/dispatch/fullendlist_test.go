package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// maxListedEnds is the maximum number of ends that a worker lists at once.
const maxListedEnds = 500

// Guards against a run that counts as lost, and starts again, because its end does not fit in the list of
// ends (platform rule TWICE).
func TestRunWhoseEndDoesNotFitInTheListIsNotLost(t *testing.T) {
	b, task := startWithOutcome(t, dispatch.OutcomeOK)
	var ends []dispatch.ListedEnd
	for number := range uint64(maxListedEnds) {
		ends = append(ends, dispatch.ListedEnd{Number: number + 1, Task: workload.TaskID{Job: "unknown", Index: int(number)}, Run: 1, Result: workload.EndFailed})
	}
	ends = append(ends, dispatch.ListedEnd{Number: maxListedEnds + 1, Task: task, Run: 1, Result: workload.EndDone})
	b.runFor(100*time.Millisecond, workerStub{hold: func(h dispatch.Hold) dispatch.HoldReport {
		return dispatch.HoldReport{Boot: h.Boot, Active: []dispatch.ActiveRun{{Task: task, Run: 1}}}
	}})
	acked := uint64(0)
	b.runFor(5*time.Second, workerStub{
		hold: func(h dispatch.Hold) dispatch.HoldReport {
			acked = max(acked, h.AckedEnd)
			return dispatch.HoldReport{Boot: h.Boot, Ends: ends[acked:min(len(ends), int(acked)+maxListedEnds)]}
		},
		observe: func(e dispatch.Effects) {
			if len(startsOf(e, task, 1)) > 0 {
				t.Error("the task starts again")
			}
		},
	})
	if acked != maxListedEnds+1 {
		t.Errorf("ends up to %d are acknowledged, want %d", acked, maxListedEnds+1)
	}
}
