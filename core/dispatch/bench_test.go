package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/core/workload"
)

// fleetSizes are the numbers of workers of the enlarged sites, of the large one, and of the size that it
// names as its target.
var fleetSizes = []int{350, 1_100, 6_500}

// BenchmarkPlan measures one plan with workers that are nearly full and steps that wait for free
// resources.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range fleetSizes {
		for _, waiting := range []int{10, 100, 400} {
			b.Run(fmt.Sprint(workers, "workers/", waiting, "waiting"), func(b *testing.B) { benchmarkPlan(b, workers, waiting) })
		}
	}
}

func benchmarkPlan(b *testing.B, workers, waiting int) {
	state := workload.New()
	apply := func(c workload.Command) { state.Apply(epoch, 0, c) }
	apply(configureQueues(workload.Queue{Name: "q", Service: "shop", MaxAttempts: 1}))
	for i := range workers {
		apply(registerWorker(workload.WorkerID(fmt.Sprintf("w%04d", i)), 1))
	}
	for i := range waiting {
		step := workload.StepSpec{Tasks: 25, Size: workload.Resources{MilliCPU: 4001}, Gang: i%4 == 0}
		apply(submitJobTo("q", workload.JobID(fmt.Sprint("j", i)), step))
	}
	core := dispatch.New(dispatch.Options{Term: 1, Lease: workerLease, MaxLease: maxWorkerLease, HoldWait: time.Second, ClockLagPPM: 20_000, SelfAddress: "self"}, state, epoch)
	now := epoch
	tick := func() dispatch.Effects {
		now = now.Add(10 * time.Millisecond)
		core.SetLeaderLease(now, lease.DeadlineIn(now, time.Minute))
		core.Tick(now)
		return core.Effects()
	}
	for _, hold := range tick().Holds {
		core.HoldAnswered(now, hold.Call, dispatch.HoldReport{Clock: 1})
	}
	for b.Loop() {
		core.RequesterSeen(now, "other")
		core.Apply(now, now, 0, workload.Command{Cancel: &workload.Cancel{ID: "none"}})
		tick()
	}
}

// BenchmarkPlanBlockedGangs measures one plan with gangs that have named all workers and wait for
// free resources. Their number grows with the fleet, as the load does.
func BenchmarkPlanBlockedGangs(b *testing.B) {
	for _, workers := range fleetSizes {
		b.Run(fmt.Sprint(workers, "workers"), func(b *testing.B) { benchmarkPlanBlockedGangs(b, workers, workers/5) })
	}
}

func benchmarkPlanBlockedGangs(b *testing.B, workers, gangs int) {
	state := workload.New()
	apply := func(c workload.Command) { state.Apply(epoch, 0, c) }
	apply(configureQueues(workload.Queue{
		Name: "q", Service: "shop", MaxAttempts: 1,
		Advice: &workload.AdviserConfig{Base: 430 * time.Millisecond, PerWorker: 6 * time.Millisecond, TicketTTL: 1500 * time.Millisecond},
	}))
	id := func(i int) workload.WorkerID { return workload.WorkerID(fmt.Sprintf("w%04d", i)) }
	for i := range workers {
		apply(registerWorker(id(i), 1))
	}
	for i := range gangs {
		// The gangs need more than the resources that they are granted, so they stay blocked.
		step := workload.StepSpec{Tasks: workers, Size: workload.Resources{MilliCPU: 3000}, Gang: true, Estimate: 5 * time.Second}
		apply(submitJobTo("q", workload.JobID(fmt.Sprint("j", i)), step))
	}
	core := dispatch.New(dispatch.Options{Term: 1, Lease: workerLease, MaxLease: maxWorkerLease, HoldWait: time.Second, ClockLagPPM: 20_000, SelfAddress: "self"}, state, epoch)
	now := epoch
	tick := func() {
		now = now.Add(20 * time.Millisecond)
		for i := range workers / 9 {
			core.RequesterSeen(now, fmt.Sprint("requester", i))
		}
		core.SetLeaderLease(now, lease.DeadlineIn(now, time.Minute))
		core.Apply(now, now, 0, workload.Command{Cancel: &workload.Cancel{ID: "none"}})
		core.Tick(now)
		effects := core.Effects()
		for _, hold := range effects.Holds {
			core.HoldAnswered(now, hold.Call, dispatch.HoldReport{Clock: now.Sub(epoch).Milliseconds() + 1})
		}
		for _, call := range effects.Advice {
			core.AdviceAnswered(now, call.ID, grantEvery(3, call, 1500*time.Millisecond))
		}
	}
	for range 500 {
		tick()
	}
	for b.Loop() {
		tick()
	}
}

// grantEvery grants every nth worker that a call names.
func grantEvery(n int, call dispatch.AdviceCall, validity time.Duration) dispatch.Grant {
	grant := dispatch.Grant{OK: true, Tickets: map[workload.WorkerID]string{}, TicketTTL: validity}
	for i, worker := range call.Workers {
		if i%n == 0 {
			grant.Tickets[worker] = "t"
		}
	}
	return grant
}

// BenchmarkPlanAdvisedBacklog measures one plan, 70 ms after the one before, with a backlog of steps that
// need advice while all workers are full.
func BenchmarkPlanAdvisedBacklog(b *testing.B) {
	for _, workers := range fleetSizes {
		b.Run(fmt.Sprint(workers, "workers"), func(b *testing.B) { benchmarkPlanAdvisedBacklog(b, workers, 2*workers) })
	}
}

func benchmarkPlanAdvisedBacklog(b *testing.B, workers, jobs int) {
	const validity = 2 * time.Second
	state := workload.New()
	apply := func(c workload.Command) { state.Apply(epoch, 0, c) }
	apply(configureQueues(
		workload.Queue{Name: "filler", Service: "shop", MaxAttempts: 1},
		workload.Queue{Name: "short", Service: "shop", MaxAttempts: 1, Advice: &workload.AdviserConfig{Base: 14 * time.Millisecond, PerWorker: 200 * time.Microsecond, TicketTTL: validity}},
		workload.Queue{Name: "long", Service: "shop", MaxAttempts: 1, Priority: 1, Advice: &workload.AdviserConfig{Base: 140 * time.Millisecond, PerWorker: 2 * time.Millisecond, TicketTTL: validity}},
	))
	for i := range workers {
		id, job := workload.WorkerID(fmt.Sprintf("w%04d", i)), workload.JobID(fmt.Sprint("filler", i))
		apply(registerWorker(id, 1))
		apply(submitJobTo("filler", job, workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 3100 + int64(i*37%800)}}))
		run := workload.Assign{Step: workload.StepID{Job: job}, Members: []workload.TaskAssignment{{Worker: id, Boot: 1}}}
		apply(workload.Command{Decide: &workload.Decide{Assigns: []workload.Assign{run}}})
	}
	core := dispatch.New(dispatch.Options{Term: 1, Lease: workerLease, MaxLease: maxWorkerLease, HoldWait: time.Second, ClockLagPPM: 20_000, SelfAddress: "self"}, state, epoch)
	for i := range jobs {
		job := submitJobTo([]string{"short", "long"}[i%2], workload.JobID(fmt.Sprint("j", i)), workload.StepSpec{Tasks: 10, Size: workload.Resources{MilliCPU: 1000}})
		core.Apply(epoch, epoch, 0, job)
	}
	now := epoch
	waiting := map[time.Time][]dispatch.AdviceCall{}
	tick := func() {
		now = now.Add(70 * time.Millisecond)
		for i := range workers / 9 {
			core.RequesterSeen(now, fmt.Sprint("requester", i))
		}
		core.SetLeaderLease(now, lease.DeadlineIn(now, time.Minute))
		core.Apply(now, now, 0, workload.Command{Cancel: &workload.Cancel{ID: "none"}})
		for _, call := range waiting[now] {
			core.AdviceAnswered(now, call.ID, grantEvery(2, call, validity))
		}
		delete(waiting, now)
		core.Tick(now)
		effects := core.Effects()
		for _, hold := range effects.Holds {
			core.HoldAnswered(now, hold.Call, dispatch.HoldReport{Clock: now.Sub(epoch).Milliseconds() + 1})
		}
		answeredAt := now.Add(210 * time.Millisecond)
		waiting[answeredAt] = append(waiting[answeredAt], effects.Advice...)
	}
	for range 30 {
		tick()
	}
	for b.Loop() {
		tick()
	}
}

// BenchmarkPlanInDoubtStarts measures one plan of a new leader while all waiting tasks have an
// in-doubt start of an earlier leader: 10,000 tasks on 350 workers that are full.
func BenchmarkPlanInDoubtStarts(b *testing.B) {
	const workers, jobs, tasks = 350, 400, 25
	state := workload.New()
	apply := func(c workload.Command) { state.Apply(epoch, 0, c) }
	apply(configureQueues(workload.Queue{Name: "q", Service: "shop", MaxAttempts: 9}))
	id := func(i int) workload.WorkerID { return workload.WorkerID(fmt.Sprintf("w%03d", i%workers)) }
	for i := range workers {
		apply(registerWorker(id(i), 1))
	}
	for i := range jobs {
		job := workload.JobID(fmt.Sprint("j", i))
		apply(submitJobTo("q", job, workload.StepSpec{Tasks: tasks, Size: workload.Resources{MilliCPU: 100}, Gang: i%4 == 0}))
		runs, ends := workload.Assign{Step: workload.StepID{Job: job}}, workload.Decide{}
		for k := range tasks {
			runs.Members = append(runs.Members, workload.TaskAssignment{Index: k, Worker: id(i + k), Boot: 1})
			ends.Ends = append(ends.Ends, workload.EndedRun{Worker: id(i + k), Boot: 1, Task: workload.TaskID{Job: job, Index: k}, Run: 1, How: workload.EndNeverStarted})
		}
		apply(workload.Command{Decide: &workload.Decide{Assigns: []workload.Assign{runs}}})
		apply(workload.Command{Decide: &ends})
	}
	filler := workload.Assign{Step: workload.StepID{Job: "filler"}}
	apply(submitJobTo("q", "filler", workload.StepSpec{Tasks: workers, Size: workload.Resources{MilliCPU: 4000}}))
	for i := range workers {
		filler.Members = append(filler.Members, workload.TaskAssignment{Index: i, Worker: id(i), Boot: 1})
	}
	apply(workload.Command{Decide: &workload.Decide{Assigns: []workload.Assign{filler}}})
	var core *dispatch.Core
	now := epoch
	tick := func() dispatch.Effects {
		now = now.Add(100 * time.Millisecond)
		core.SetLeaderLease(now, lease.DeadlineIn(now, time.Minute))
		core.Tick(now)
		return core.Effects()
	}
	for rounds := 0; b.Loop(); rounds++ {
		if rounds%100 == 0 {
			// After 13 s the starts are no longer in doubt.
			b.StopTimer()
			now = epoch
			core = dispatch.New(dispatch.Options{Term: 1, Lease: workerLease, MaxLease: maxWorkerLease, HoldWait: time.Second, ClockLagPPM: 20_000, SelfAddress: "self"}, state, epoch)
			tick()
			b.StartTimer()
		}
		core.Apply(now, now, 0, workload.Command{Cancel: &workload.Cancel{ID: "none"}})
		tick()
	}
}
