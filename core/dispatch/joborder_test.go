package dispatch_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// servedShare is the worth that the callers must get of what the capacity allows.
const servedShare = 0.9

// Under a load of 95 to 140 percent, the callers must get nearly as much as the workers can do. In order
// of arrival, many jobs ended just too late, and a large one delayed several small ones: 0.88, 0.78 and
// 0.62 of the jobs were worth their work.
func TestSmallJobsGoFirst(t *testing.T) {
	for _, load := range []float64{0.95, 1.1, 1.4} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			t.Parallel()
			all := cellResult{}
			var jobs []*loadJob
			for seed := range uint64(4) {
				s := newLoadSim(loadedCell(load), seed, nil)
				s.play()
				for _, r := range s.results {
					all.add(*r)
				}
				for _, j := range s.jobs {
					jobs = append(jobs, j)
				}
			}
			slices.SortFunc(jobs, func(a, b *loadJob) int { return cmp.Compare(a.size, b.size) })
			share := func(jobs []*loadJob) float64 {
				inTime := 0
				for _, j := range jobs {
					if j.inTime {
						inTime++
					}
				}
				return float64(inTime) / float64(len(jobs))
			}
			fifth := len(jobs) / 5
			small, large := share(jobs[:fifth]), share(jobs[4*fifth:])
			t.Logf("worth %.3f of %d jobs, in time %.2f of the smallest and %.2f of the largest", all.meanWorth(), all.jobs, small, large)
			if least := servedShare * min(1, 1/load); all.meanWorth() < least {
				t.Errorf("worth %.3f, want %.3f", all.meanWorth(), least)
			}
			if large > small {
				t.Errorf("%.2f of the smallest jobs are in time, but %.2f of the largest", small, large)
			}
		})
	}
}

// A small job must overtake one that needs at least four times as much, but not one of similar size that
// must start earlier. A job without an objective must not delay one that has one.
func TestSmallJobOvertakesLargerOne(t *testing.T) {
	queue := workload.Queue{Name: "q", Service: "shop", MaxAttempts: 3, SlackFactor: 3, TargetLatency: time.Second}
	for name, c := range map[string]struct {
		first, second time.Duration // run times of the jobs in order of their arrival
		firstQueue    string
		want          workload.JobID
	}{
		"much smaller": {8 * time.Second, 500 * time.Millisecond, "q", "second"},
		"similar":      {1100 * time.Millisecond, 1150 * time.Millisecond, "q", "first"},
		"no objective": {500 * time.Millisecond, 500 * time.Millisecond, "idle", "second"},
	} {
		step := func(estimate time.Duration) workload.StepSpec {
			return workload.StepSpec{Tasks: 1, Size: wholeWorker, Estimate: estimate}
		}
		configuration := configureQueues(queue, workload.Queue{Name: "idle", Service: "shop", MaxAttempts: 3})
		configuration.Configure.Version = 2
		b := newTestbed(t, configuration, registerWorker("w", 1), submitJob("running", step(time.Second)))
		b.tick(0)
		b.answerHolds(dispatch.HoldReport{})
		running := b.commit(b.tick(replanDelay)).Starts
		b.core.StartAnswered(b.now, running[0], dispatch.OutcomeOK, 0)
		b.core.Apply(b.now, b.now, 0, submitJobTo(c.firstQueue, "first", step(c.first)))
		b.tick(50 * time.Millisecond)
		b.core.Apply(b.now, b.now, 0, submitJob("second", step(c.second)))
		b.tick(50 * time.Millisecond)
		b.answerHolds(dispatch.HoldReport{Ends: []dispatch.ListedEnd{{Number: 1, Task: running[0].Task, Run: running[0].Run, Result: workload.EndDone}}})
		b.commit(b.tick(replanDelay))
		starts := b.commit(b.tick(replanDelay)).Starts
		if len(starts) != 1 || starts[0].Task.Job != c.want {
			t.Errorf("%s: starts %+v, want %s", name, starts, c.want)
		}
	}
}

// Claims must let the gangs of the urgent queue run in time under a load of 110 percent, and the callers of
// all queues must still get nearly as much as the workers can do. Without claims, 0.53 of these gangs were
// in time.
func TestClaimsServeUrgentGangs(t *testing.T) {
	cell := loadedCell(1.1)
	cell.gangs, cell.gangWidth = 0.1, 15
	all, gangs := cellResult{}, cellResult{}
	for seed := range uint64(4) {
		s := newLoadSim(cell, seed, nil)
		s.play()
		for _, r := range s.results {
			all.add(*r)
		}
		for _, j := range s.jobs {
			if j.queue == "urgent" && slices.ContainsFunc(j.spec.Steps, func(spec workload.StepSpec) bool { return spec.Gang }) {
				gangs.jobs++
				if j.inTime {
					gangs.inTime++
				}
			}
		}
	}
	t.Logf("worth %.3f, urgent gangs in time %.2f of %d", all.meanWorth(), gangs.inTimeShare(), gangs.jobs)
	if gangs.inTimeShare() < 0.8 {
		t.Errorf("%.2f of the urgent gangs are in time", gangs.inTimeShare())
	}
	if least := servedShare / cell.load; all.meanWorth() < least {
		t.Errorf("worth %.3f, want %.3f", all.meanWorth(), least)
	}
}

// A gang that is overdue must not keep workers idle that a job in time can use.
func TestOverdueGangClaimsNothing(t *testing.T) {
	for name, target := range map[string]time.Duration{"in time": time.Minute, "overdue": time.Second} {
		b, filled := newFilledTestbed(t)
		queues := configureQueues(
			workload.Queue{Name: "gangs", Service: "shop", MaxAttempts: 1, TargetLatency: target, SlackFactor: 1},
			workload.Queue{Name: "batch", Service: "shop", MaxAttempts: 1, Priority: 1},
		)
		queues.Configure.Version = 3
		b.apply(queues)
		b.apply(submitJobTo("gangs", "gang", workload.StepSpec{Tasks: 3, Size: workload.Resources{MilliCPU: 2000}, Gang: true, Estimate: time.Second}))
		b.tick(1500 * time.Millisecond)
		b.answerHolds(dispatch.HoldReport{})
		b.apply(submitJobTo("batch", "small", workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 1500}}))
		ended := filled[0]
		b.apply(workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{{Worker: ended.Worker, Boot: 1, Task: ended.Task, Run: 1, How: workload.EndDone}}}})
		starts := b.commit(b.tick(replanDelay)).Starts
		if started := len(starts) == 1 && starts[0].Task.Job == "small"; started != (name == "overdue") {
			t.Errorf("gang %s: starts %+v", name, starts)
		}
	}
}
