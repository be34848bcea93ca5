package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// pendingTestbed is a testbed with a worker "w", ten jobs of one task and a replica of the state.
type pendingTestbed struct {
	*testbed
	replica   *workload.State
	proposals int
}

const pendingTestJobs = 10

func newPendingTestbed(t *testing.T, commands ...workload.Command) *pendingTestbed {
	commands = append([]workload.Command{registerWorker("w", 1)}, commands...)
	for i := range pendingTestJobs {
		commands = append(commands, submitJob(workload.JobID(fmt.Sprint("j", i)), workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 100}}))
	}
	b := &pendingTestbed{testbed: newTestbed(t, commands...), replica: workload.New()}
	b.applyToReplica(workload.Command{Configure: &workload.Config{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "shop", MaxAttempts: 3}}}})
	for _, c := range commands {
		b.applyToReplica(c)
	}
	return b
}

func (b *pendingTestbed) applyToReplica(c workload.Command) { b.replica.Apply(b.now, 0, c) }

// observe applies the proposals to the replica.
func (b *pendingTestbed) observe(e dispatch.Effects) {
	b.proposals += len(e.Proposals)
	for _, p := range e.Proposals {
		b.applyToReplica(p.Command)
	}
}

// Jobs whose starts reach no worker must count as pending while they wait. They were counted as
// started when their runs were opened (platform rule MIXED).
func TestJobsWithoutAnAnsweredStartArePending(t *testing.T) {
	for _, outcome := range []dispatch.Outcome{dispatch.OutcomeNoAnswer, dispatch.OutcomeNotSent} {
		b := newPendingTestbed(t)
		leastPending, reachable := pendingTestJobs, true
		b.runFor(2*maxCallDelay, workerStub{
			hold: func(h dispatch.Hold) dispatch.HoldReport {
				if reachable {
					return dispatch.HoldReport{Boot: h.Boot}
				}
				return unreachableHold(h)
			},
			start: func(dispatch.Start) dispatch.Outcome {
				reachable = false
				return outcome
			},
			stop: func(dispatch.Stop) dispatch.Outcome { return outcome },
			observe: func(e dispatch.Effects) {
				b.observe(e)
				leastPending = min(leastPending, b.replica.PendingJobs("q"))
			},
		})
		if reachable {
			t.Fatal("no start was sent")
		}
		if leastPending != pendingTestJobs {
			t.Errorf("%v: %d jobs were pending at one time, want %d, because no worker has begun any", outcome, leastPending, pendingTestJobs)
		}
	}
}

// Jobs whose tasks run must not stay pending: the platform allows the number to be 2 s old. One
// command is enough for jobs that begin together.
func TestBegunJobsAreNotPending(t *testing.T) {
	b := newPendingTestbed(t)
	var begunAt time.Time
	var started []dispatch.ActiveRun
	pendingFor := time.Duration(0)
	b.runFor(5*time.Second, workerStub{
		hold: func(h dispatch.Hold) dispatch.HoldReport {
			return dispatch.HoldReport{Boot: h.Boot, Active: started}
		},
		start: func(s dispatch.Start) dispatch.Outcome {
			begunAt, started = b.now, append(started, dispatch.ActiveRun{Task: s.Task, Run: s.Run})
			return dispatch.OutcomeOK
		},
		observe: func(e dispatch.Effects) {
			b.observe(e)
			if !begunAt.IsZero() && b.replica.PendingJobs("q") > 0 {
				pendingFor = b.now.Sub(begunAt)
			}
		},
	})
	if len(started) != pendingTestJobs {
		t.Fatalf("%d starts, want %d", len(started), pendingTestJobs)
	}
	if pendingFor >= 2*time.Second {
		t.Errorf("jobs were pending %v after their tasks had begun, want less than 2 s", pendingFor)
	}
	if b.proposals > 2 {
		t.Errorf("%d commands, want 2: one opens the runs and one reports that they have begun", b.proposals)
	}
}

// A new leader must find out which jobs have begun from the runs that workers list: the former leader may
// have ended before it reported them, or may be of a version that reports none.
func TestNewLeaderReportsBegunJobs(t *testing.T) {
	opened := workload.Decide{}
	for i := range pendingTestJobs {
		opened.Assigns = append(opened.Assigns, workload.Assign{Step: workload.StepID{Job: workload.JobID(fmt.Sprint("j", i))}, Members: []workload.TaskAssignment{{Worker: "w", Boot: 1}}})
	}
	b := newPendingTestbed(t)
	open := workload.Command{Decide: &opened}
	b.apply(open)
	b.applyToReplica(open)
	b.core = dispatch.New(dispatch.Options{Term: 2, Lease: workerLease, MaxLease: maxWorkerLease, HoldWait: time.Second, ClockLagPPM: 20_000, SelfAddress: "self"}, b.restoredReplica(), b.now)
	if got := b.replica.PendingJobs("q"); got != pendingTestJobs {
		t.Errorf("%d pending jobs before any worker has listed a run, want %d", got, pendingTestJobs)
	}
	b.runFor(2*time.Second, workerStub{
		hold: func(h dispatch.Hold) dispatch.HoldReport {
			report := dispatch.HoldReport{Boot: h.Boot}
			for _, assign := range opened.Assigns {
				report.Active = append(report.Active, dispatch.ActiveRun{Task: assign.Step.Task(0), Run: 1})
			}
			return report
		},
		observe: b.observe,
	})
	if got := b.replica.PendingJobs("q"); got != 0 {
		t.Errorf("%d pending jobs 2 s after the worker could be asked for its runs, want 0", got)
	}
}

// restoredReplica returns a copy of the replica's state.
func (b *pendingTestbed) restoredReplica() *workload.State {
	restored, err := workload.Restore(b.replica.Snapshot())
	if err != nil {
		b.t.Fatal(err)
	}
	return restored
}
