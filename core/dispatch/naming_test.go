package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// backlogReplanDelay is long enough for the core to make another plan after one with a hundred steps.
const backlogReplanDelay = 100 * time.Millisecond

// fillWorkers starts a run on each of n workers that leaves free(i) of 4,000 millicores.
func (b *testbed) fillWorkers(n int, free func(i int) int64) (starts []dispatch.Start) {
	b.t.Helper()
	for i := range n {
		// The runs are placed one after the other, each on the worker that is still empty.
		b.apply(submitJob(workload.JobID(fmt.Sprint("filler", i)), workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 4000 - free(i)}}))
	}
	starts = b.commit(b.tick(backlogReplanDelay)).Starts
	for _, start := range starts {
		b.core.StartAnswered(b.now, start, dispatch.OutcomeOK, 1100)
	}
	return starts
}

// Guards against advice calls for each blocked step of a backlog about workers that are full, which use
// the time of the leader and of the adviser (rule LOST, SHORT on the large site).
func TestBlockedStepNamesNoFullWorkers(t *testing.T) {
	const workers = 120
	advised := advisedQueue("a", 0, time.Millisecond)
	b := newTestbed(t, append(registerWorkers(workers), configureQueues(advised, workload.Queue{Name: "q", Service: "shop", MaxAttempts: 1}))...)
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	running := b.fillWorkers(workers, func(int) int64 { return 500 })
	b.apply(submitJobTo("a", "j", workload.StepSpec{Tasks: 2, Size: workload.Resources{MilliCPU: 1000}}))
	first := b.tick(backlogReplanDelay).Advice
	if len(first) != 1 {
		t.Fatalf("advice calls %+v, want one", first)
	}
	named := map[workload.WorkerID]bool{}
	for _, worker := range first[0].Workers {
		named[worker] = true
	}
	b.core.AdviceAnswered(b.now, first[0].ID, dispatch.Grant{OK: true, TicketTTL: time.Second})
	for range 20 {
		if calls := b.tick(replanDelay).Advice; len(calls) > 0 {
			t.Fatalf("advice calls %+v while all workers are full", calls)
		}
	}
	for _, start := range running {
		if named[start.Worker] {
			continue
		}
		b.apply(workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{{Worker: start.Worker, Boot: 1, Task: start.Task, Run: 1, How: workload.EndDone}}}})
		calls := b.tick(replanDelay).Advice
		if len(calls) != 1 || len(calls[0].Workers) != 1 || calls[0].Workers[0] != start.Worker {
			t.Errorf("advice calls %+v once %s has room, want one about it", calls, start.Worker)
		}
		return
	}
}

// Guards against an index of the workers that does not follow their free resources.
func TestEmptiestWorkersAreNamedFirst(t *testing.T) {
	const workers = 40
	b := newTestbed(t, append(registerWorkers(workers), configureQueues(advisedQueue("a", 0, time.Millisecond), workload.Queue{Name: "q", Service: "shop", MaxAttempts: 1}))...)
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	free := map[workload.WorkerID]int64{}
	for _, start := range b.fillWorkers(workers, func(i int) int64 { return int64(i*17%workers) * 40 }) {
		var i int
		if _, err := fmt.Sscanf(string(start.Task.Job), "filler%d", &i); err != nil {
			t.Fatal(err)
		}
		free[start.Worker] = int64(i*17%workers) * 40
	}
	b.apply(submitJobTo("a", "j", workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 100}}))
	calls := b.tick(backlogReplanDelay).Advice
	if len(calls) != 1 {
		t.Fatalf("advice calls %+v, want one", calls)
	}
	for i, worker := range calls[0].Workers {
		if want := int64(workers-1-i) * 40; free[worker] != want {
			t.Errorf("worker %d of the call has %d millicores free, want %d", i, free[worker], want)
		}
	}
}
