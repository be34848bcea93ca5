package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// Guards against tickets for all steps of a backlog while the workers are full: nearly all of them expire
// unused, and the answers delay those for the steps that can run. A step must ask once there is room.
func TestOnlyStepsThatWillFindRoomAskForTickets(t *testing.T) {
	const workers, jobs = 20, 500
	plain := workload.Queue{Name: "plain", Service: "shop", MaxAttempts: 1}
	b := newTestbed(t, append(registerWorkers(workers), configureQueues(plain, advisedQueue("fast", 1, 20*time.Millisecond)))...)
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	full := workload.StepSpec{Tasks: workers, Size: workload.Resources{MilliCPU: 4000}}
	b.core.Apply(b.now, b.now, 0, submitJobTo("plain", "filler", full))
	b.carryOut(b.tick(replanDelay), 0)
	b.carryOut(b.tick(replanDelay), 0)
	step := workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 1000}, Estimate: 10 * time.Second}
	for i := range jobs {
		b.core.Apply(b.now, b.now, 0, submitJobTo("fast", workload.JobID(fmt.Sprint("j", i)), step))
	}
	asked := map[workload.JobID]int{}
	play := func(d time.Duration) {
		for end := b.now.Add(d); b.now.Before(end); {
			for i := range 10 {
				b.core.RequesterSeen(b.now, fmt.Sprint("requester", i))
			}
			e := b.tick(replanDelay)
			for _, call := range e.Advice {
				asked[call.Step.Job]++
			}
			b.carryOut(e, 2*time.Second)
		}
	}
	play(time.Second)
	// Of 80 tasks that the workers can run, a quarter is expected to end while the tickets are valid.
	if len(asked) == 0 || len(asked) > workers*4/4+1 {
		t.Errorf("%d steps have asked while the workers are full", len(asked))
	}
	b.core.Apply(b.now, b.now, 0, workload.Command{Cancel: &workload.Cancel{ID: "filler"}})
	for i := range workers {
		id := workload.WorkerID(fmt.Sprintf("w%03d", i))
		b.core.Apply(b.now, b.now, 0, workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{
			{Worker: id, Boot: 1, Task: workload.TaskID{Job: "filler", Index: i}, Run: 1, How: workload.EndStopped},
		}}})
	}
	before := len(asked)
	play(time.Second)
	if added := len(asked) - before; added < workers*2 {
		t.Errorf("%d further steps have asked after the workers had become free", added)
	}
}
