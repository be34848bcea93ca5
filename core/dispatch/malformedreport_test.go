package dispatch_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// oddReport returns a report that decodes but names jobs, steps, tasks and runs that may not exist.
func oddReport(random *rand.Rand) dispatch.HoldReport {
	numbers := []int{math.MinInt, -1, 0, 1, 2, 3, 1000, math.MaxInt}
	number := func() int { return numbers[random.IntN(len(numbers))] }
	task := func() workload.TaskID {
		jobs := []workload.JobID{"j", "gang", "ended", "unknown", ""}
		return workload.TaskID{Job: jobs[random.IntN(len(jobs))], Occurrence: number(), Step: number(), Index: number()}
	}
	results := []workload.RunEnd{workload.EndDone, workload.EndFailed, workload.EndLost, workload.EndNeverStarted, "", "other"}
	report := dispatch.HoldReport{Clock: int64(number()), Boot: workload.Boot(random.IntN(2))}
	for range random.IntN(4) {
		report.Active = append(report.Active, dispatch.ActiveRun{Task: task(), Run: workload.RunNumber(number()), Percent: number()})
	}
	for range random.IntN(4) {
		report.Ends = append(report.Ends, dispatch.ListedEnd{
			Number: uint64(number()), Task: task(), Run: workload.RunNumber(number()), Result: results[random.IntN(len(results))],
		})
	}
	return report
}

// Guards against a worker whose reports name tasks that do not exist and end the leader, and then each
// leader after it.
func TestReportOfUnknownTasksEndsNoLeader(t *testing.T) {
	for seed := range uint64(400) {
		random := rand.New(rand.NewPCG(seed, 1))
		gang := workload.StepSpec{Tasks: 2, Size: workload.Resources{MilliCPU: 1000}, Gang: true}
		b := newTestbed(t, registerWorker("w", 1), registerWorker("v", 1), submitJob("j", oneTask), submitJob("gang", gang), submitJob("ended", oneTask))
		b.apply(workload.Command{Cancel: &workload.Cancel{ID: "ended"}})
		for range 40 {
			before := b.tick(100 * time.Millisecond)
			after := b.commit(before)
			for _, start := range append(before.Starts, after.Starts...) {
				b.core.StartAnswered(b.now, start, dispatch.Outcome(random.IntN(int(dispatch.OutcomeNoSocket)+1)), int64(random.IntN(5_000)))
			}
			for _, stop := range append(before.Stops, after.Stops...) {
				b.core.StopAnswered(b.now, stop, dispatch.OutcomeOK, 0)
			}
			holds := b.openHolds
			b.openHolds = nil
			for _, hold := range holds {
				if random.IntN(4) == 0 {
					b.core.LateHoldAnswered(b.now, hold.Call, oddReport(random))
				}
				b.core.HoldAnswered(b.now, hold.Call, oddReport(random))
			}
		}
	}
}

// Guards against an answer of the adviser that names workers which it was not asked about, or no time of
// validity that makes sense.
func TestOddGrantEndsNoLeader(t *testing.T) {
	b := newTestbed(t)
	config := configureQueues(workload.Queue{
		Name: "advised", Service: "shop", MaxAttempts: 2,
		Advice: &workload.AdviserConfig{Base: 400 * time.Millisecond, PerWorker: 5 * time.Millisecond, TicketTTL: time.Second},
	})
	config.Configure.Version = 2
	b.apply(config)
	b.apply(registerWorker("w", 1))
	b.apply(submitJobTo("advised", "j", workload.StepSpec{Tasks: 3, Size: workload.Resources{MilliCPU: 1000}, Gang: true}))
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	asked := 0
	for i := range 200 {
		before := b.tick(50 * time.Millisecond)
		after := b.commit(before)
		b.answerHolds(dispatch.HoldReport{})
		for _, call := range append(before.Advice, after.Advice...) {
			asked++
			ttl := []time.Duration{math.MinInt64, -1, 0, math.MaxInt64}[i%4]
			b.core.AdviceAnswered(b.now, call.ID, dispatch.Grant{OK: true, TicketTTL: ttl, Tickets: map[workload.WorkerID]string{"unknown": "t", "": "t", "w": ""}})
		}
	}
	if asked == 0 {
		t.Error("the adviser was not asked")
	}
}
