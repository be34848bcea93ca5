package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/core/workload"
)

// BenchmarkCommands measures how many commands the leader proposes for a job of one task, at several rates
// of jobs. Each command costs a message to every follower and a write on every disk.
func BenchmarkCommands(b *testing.B) {
	for _, interval := range []time.Duration{5 * time.Second, 500 * time.Millisecond, 50 * time.Millisecond, 10 * time.Millisecond} {
		b.Run(fmt.Sprint("every", interval), func(b *testing.B) { benchmarkCommands(b, interval) })
	}
}

func benchmarkCommands(b *testing.B, interval time.Duration) {
	const workers, duration, runTime = 50, time.Minute, 1500 * time.Millisecond
	commands, jobs := 0, 0
	for b.Loop() {
		f := newJobFlow(workers)
		for f.now < duration {
			if f.now%interval == 0 {
				f.submit()
			}
			f.step(runTime)
		}
		commands, jobs = commands+f.commands, jobs+f.jobs
	}
	b.ReportMetric(float64(commands)/float64(jobs), "commands/job")
	b.ReportMetric(float64(commands)/float64(b.N)/duration.Seconds(), "commands/s")
}

// jobFlow drives a core with workers that always answer. Commands are committed at once.
type jobFlow struct {
	core           *dispatch.Core
	now            time.Duration
	workers        map[workload.WorkerID]*fakeWorker
	holds          []openHold
	ends           map[workload.TaskID]time.Duration // active runs with the time of their end
	commands, jobs int
}

type openHold struct {
	dispatch.Hold
	sentAt time.Duration
}

func newJobFlow(workers int) *jobFlow {
	state := workload.New()
	f := &jobFlow{workers: map[workload.WorkerID]*fakeWorker{}, ends: map[workload.TaskID]time.Duration{}}
	state.Apply(epoch, 0, configureQueues(workload.Queue{Name: "q", Service: "shop", MaxAttempts: 3}))
	for i := range workers {
		w := &fakeWorker{id: workload.WorkerID(fmt.Sprintf("w%03d", i)), clockRate: 1}
		w.startBoot(1, 0)
		f.workers[w.id] = w
		state.Apply(epoch, 0, registerWorker(w.id, 1))
	}
	f.core = dispatch.New(dispatch.Options{Term: 1, Lease: workerLease, MaxLease: maxWorkerLease, HoldWait: time.Second, ClockLagPPM: 20_000, SelfAddress: "self"}, state, epoch)
	return f
}

func (f *jobFlow) clock() time.Time { return epoch.Add(f.now) }

func (f *jobFlow) submit() {
	f.jobs++
	f.core.Apply(f.clock(), f.clock(), f.now, submitJob(workload.JobID(fmt.Sprint("j", f.jobs)), workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 1000}}))
}

// step advances the time by 10 ms.
func (f *jobFlow) step(runTime time.Duration) {
	f.now += 10 * time.Millisecond
	f.core.SetLeaderLease(f.clock(), lease.DeadlineIn(f.clock(), time.Minute))
	for _, w := range f.workers {
		for _, task := range tasksOf(w) {
			if f.ends[task] <= f.now {
				w.endRun(task, workload.EndDone)
			}
		}
	}
	f.answerHolds()
	f.core.Tick(f.clock())
	effects := f.core.Effects()
	for _, p := range effects.Proposals {
		f.commands++
		f.core.Apply(f.clock(), f.clock(), f.now, p.Command)
		f.core.ProposalCommitted(f.clock(), p.ID)
	}
	for _, s := range effects.Starts {
		outcome, _ := f.workers[s.Worker].start(s, workload.Resources{}, f.now)
		f.ends[s.Task] = f.now + runTime
		f.core.StartAnswered(f.clock(), s, outcome, f.workers[s.Worker].clock(f.now))
	}
	for _, h := range effects.Holds {
		f.holds = append(f.holds, openHold{h, f.now})
	}
}

// answerHolds answers the holds that list ends or have waited long enough.
func (f *jobFlow) answerHolds() {
	open := f.holds
	f.holds = nil
	for _, h := range open {
		w := f.workers[h.Worker]
		if f.now < h.sentAt+h.Wait && (w.lastEnd == h.AckedEnd || len(w.ends) == 0) {
			f.holds = append(f.holds, h)
			continue
		}
		f.core.HoldAnswered(f.clock(), h.Call, w.hold(h.Hold, f.now))
	}
}
