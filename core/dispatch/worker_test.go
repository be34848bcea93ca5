package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// bench drives one core by hand.
type bench struct {
	t    *testing.T
	core *dispatch.Core
	now  time.Time
	open []dispatch.Hold // not answered yet
}

func newBench(t *testing.T, commands ...workload.Command) *bench {
	state := workload.New()
	apply := func(c workload.Command) { state.Apply(epoch, 0, c) }
	apply(workload.Command{Configure: &workload.Config{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "shop", MaxAttempts: 3}}}})
	for _, c := range commands {
		apply(c)
	}
	b := &bench{t: t, now: epoch}
	b.core = dispatch.New(dispatch.Options{Token: 1, Lease: lease, HoldWait: time.Second, ClockLagPPM: 20_000, Self: "self"}, state, b.now)
	return b
}

func workerOf(id workload.WorkerID, boot workload.Boot) workload.Command {
	return workload.Command{Register: &workload.Register{Worker: workload.Worker{
		ID: id, Boot: boot, Service: "shop", Address: string(id), Capacity: workload.Resources{MilliCPU: 4000},
	}}}
}

func jobOf(id workload.JobID, step workload.StepSpec) workload.Command {
	return workload.Command{Submit: &workload.Submit{ID: id, Spec: workload.JobSpec{Queue: "q", Steps: []workload.StepSpec{step}}}}
}

// pass lets time pass with a valid leader lease and returns what there is to do.
func (b *bench) pass(d time.Duration) dispatch.Effects {
	b.now = b.now.Add(d)
	b.core.Authority(b.now, b.now.Add(authority))
	b.core.Tick(b.now)
	e := b.core.Effects()
	b.open = append(b.open, e.Holds...)
	return e
}

// commit applies the proposals of effects and returns what follows.
func (b *bench) commit(e dispatch.Effects) dispatch.Effects {
	for _, p := range e.Proposals {
		b.core.Applied(b.now, b.now, 0, p.Command)
		b.core.ProposalDone(b.now, p.ID)
	}
	return b.pass(time.Millisecond)
}

// answerHolds answers the open holds.
func (b *bench) answerHolds(report dispatch.Report) {
	open := b.open
	b.open = nil
	for _, h := range open {
		if report.Outcome == dispatch.OutcomeOK {
			report.Clock = b.now.Sub(epoch).Milliseconds() + 1000
		}
		b.core.HoldAnswered(b.now, h.Call, report)
	}
}

// placed returns a bench with one worker on which the tasks of a job are
// started, and the starts.
func placed(t *testing.T, step workload.StepSpec) (*bench, []dispatch.Start) {
	b := newBench(t, workerOf("w", 1), jobOf("j", step))
	b.pass(0)
	b.answerHolds(dispatch.Report{})
	e := b.commit(b.pass(planned))
	if len(e.Starts) != step.Tasks {
		t.Fatalf("%d starts, want %d", len(e.Starts), step.Tasks)
	}
	return b, e.Starts
}

var oneTask = workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 1000}}

// Guards against the calls to a worker that has left for good prolonging its
// lease for ever: its runs were never given up (hunt 3991, LOST).
func TestRunsOfASilentWorkerAreGivenUp(t *testing.T) {
	b, starts := placed(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	for b.now.Before(epoch.Add(2 * lease)) {
		e := b.pass(50 * time.Millisecond)
		b.answerHolds(dispatch.Report{Outcome: dispatch.OutcomeNotSent})
		for _, p := range e.Proposals {
			if p.Command.EndBoot != nil {
				if at := b.now.Sub(epoch); at < lease {
					t.Errorf("given up after %v, within the lease", at)
				}
				return
			}
		}
	}
	t.Errorf("the boot is not given up within %v", 2*lease)
}

// Guards against a start on a worker that has said that it leaves.
func TestNoStartOnALeavingWorker(t *testing.T) {
	b := newBench(t, workerOf("w", 1), jobOf("j", oneTask))
	b.pass(0)
	b.answerHolds(dispatch.Report{})
	e := b.pass(planned)
	b.core.Applied(b.now, b.now, 0, workload.Command{Drain: &workload.Drain{Worker: "w", Boot: 1}})
	if after := b.commit(e); len(after.Starts) != 0 {
		t.Errorf("started %+v", after.Starts)
	}
}

// Guards against a gang waiting for a member that was refused: the others are
// stopped at once rather than ending alone.
func TestRestOfAnIncompleteGangIsStopped(t *testing.T) {
	gang := workload.StepSpec{Tasks: 2, Size: workload.Resources{MilliCPU: 1000}, Gang: true}
	b, starts := placed(t, gang)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	b.core.StartAnswered(b.now, starts[1], dispatch.OutcomeNoRoom, 1100)
	e := b.commit(b.pass(time.Millisecond))
	if len(e.Stops) != 1 || e.Stops[0].Task != starts[0].Task {
		t.Errorf("stops %+v, want that of %v", e.Stops, starts[0].Task)
	}
}

// Guards against orders after the leader lease is over or a worker has seen a
// later leader.
func TestNoOrdersWithoutAuthority(t *testing.T) {
	b := newBench(t, workerOf("w", 1), jobOf("j", oneTask))
	b.pass(0)
	b.answerHolds(dispatch.Report{})
	b.now = b.now.Add(2 * authority)
	b.core.Tick(b.now)
	if e := b.core.Effects(); len(e.Holds)+len(e.Starts)+len(e.Proposals) != 0 {
		t.Errorf("without a lease: %+v", e)
	}
	b.pass(100 * time.Millisecond)
	b.answerHolds(dispatch.Report{Outcome: dispatch.OutcomeFenced})
	if e := b.pass(time.Second); len(e.Holds)+len(e.Starts) != 0 {
		t.Errorf("after a later leader was seen: %+v", e)
	}
}

// Guards against a new leader leaving the run of a cancelled job alone
// (TestSoak, seed 35).
func TestNewLeaderStopsRunsOfEndedJobs(t *testing.T) {
	b := newBench(t, workerOf("w", 1), jobOf("j", oneTask),
		workload.Command{Decide: &workload.Decide{Assigns: []workload.Assign{{
			Step: workload.StepID{Job: "j"}, Members: []workload.TaskAssignment{{Worker: "w", Boot: 1}},
		}}}},
		workload.Command{Cancel: &workload.Cancel{ID: "j"}})
	e := b.pass(0)
	b.answerHolds(dispatch.Report{Active: []dispatch.ActiveRun{{Task: workload.TaskID{Job: "j"}, Run: 1}}})
	if e.Stops = append(e.Stops, b.pass(time.Millisecond).Stops...); len(e.Stops) == 0 {
		t.Error("the run is not stopped")
	}
}

// Guards against reported ends being forgotten before they are committed, and
// against their room being given away twice.
func TestEndsAreForgottenAfterTheirCommit(t *testing.T) {
	b, starts := placed(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	b.answerHolds(dispatch.Report{Ends: []dispatch.ListedEnd{{Number: 5, Task: starts[0].Task, Run: 1, How: workload.EndDone}}})
	e := b.pass(time.Millisecond)
	for _, h := range e.Holds {
		if h.Seen != 0 {
			t.Errorf("end %d forgotten before its commit", h.Seen)
		}
	}
	e = b.commit(e)
	if len(e.Holds) != 1 || e.Holds[0].Seen != 5 {
		t.Errorf("after the commit: %+v", e.Holds)
	}
}

// Guards against a step that waits for ever for a worker that was avoided: its
// return is no event of its own (TestSoak, seed 30).
func TestAvoidedWorkerIsUsedAgain(t *testing.T) {
	b, starts := placed(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeUnhealthy, 1100)
	e := b.commit(b.pass(time.Millisecond))
	if len(e.Starts) != 0 {
		t.Fatalf("started again at once: %+v", e.Starts)
	}
	for range 100 {
		wait := e.Deadline.Sub(b.now)
		if e.Deadline.IsZero() {
			break
		}
		if e = b.pass(max(wait, time.Millisecond)); len(e.Proposals) > 0 {
			return
		}
	}
	t.Error("the task is never placed again")
}

// Guards against a worker that fails what it starts drawing more and more work
// because its room is always free.
func TestFailingWorkerIsAvoided(t *testing.T) {
	b := newBench(t, workerOf("w", 1), jobOf("a", oneTask), jobOf("b", oneTask), jobOf("c", oneTask))
	b.pass(0)
	b.answerHolds(dispatch.Report{})
	e := b.commit(b.pass(planned))
	var ends []dispatch.ListedEnd
	for i, start := range e.Starts {
		b.core.StartAnswered(b.now, start, dispatch.OutcomeOK, 1100)
		ends = append(ends, dispatch.ListedEnd{Number: uint64(i + 1), Task: start.Task, Run: start.Run, How: workload.EndFailed})
	}
	b.answerHolds(dispatch.Report{Ends: ends})
	if e = b.commit(b.pass(planned)); len(e.Starts)+len(e.Proposals) != 0 {
		t.Errorf("placed again at once: %+v", e)
	}
}

// Guards against ends that are heard late because the answer with them was lost:
// with one answer in twenty lost, half of the short jobs were late.
func TestLostAnswerIsAskedForAtOnce(t *testing.T) {
	b, starts := placed(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	b.answerHolds(dispatch.Report{Outcome: dispatch.OutcomeNoAnswer})
	e := b.pass(time.Millisecond)
	if len(e.Holds) != 1 || e.Holds[0].Wait != 0 {
		t.Fatalf("after a lost answer: holds %+v", e.Holds)
	}
	active := []dispatch.ActiveRun{{Task: starts[0].Task, Run: 1}}
	b.answerHolds(dispatch.Report{Active: active})
	if e = b.pass(time.Millisecond); len(e.Holds) != 1 || e.Holds[0].Wait > 200*time.Millisecond {
		t.Fatalf("while answers are lost: holds %+v", e.Holds)
	}
	b.pass(5 * time.Second)
	b.answerHolds(dispatch.Report{Active: active})
	if e = b.pass(time.Millisecond); len(e.Holds) != 1 || e.Holds[0].Wait != time.Second {
		t.Fatalf("later: holds %+v", e.Holds)
	}
}

// Guards against a stop that is sent to a silent worker with every turn, and
// against one that waits when the worker is back.
func TestStopsToASilentWorkerBackOff(t *testing.T) {
	step := workload.StepSpec{Tasks: 1, Size: wholeWorker}
	b, runs := running(t, 1, step)
	b.core.Applied(b.now, b.now, 0, workload.Command{Cancel: &workload.Cancel{ID: "j"}})
	sent := 0
	pass := func() {
		for _, stop := range b.pass(10 * time.Millisecond).Stops {
			sent++
			b.core.StopAnswered(b.now, stop, dispatch.OutcomeNotSent, 0)
		}
	}
	for range 300 {
		pass()
		b.answerHolds(dispatch.Report{Outcome: dispatch.OutcomeNotSent})
	}
	if sent < 3 || sent > 8 {
		t.Errorf("%d stops in 3 s, want a few", sent)
	}
	for len(b.open) == 0 {
		pass()
	}
	b.listing(runs, func(dispatch.Start) int { return 50 })
	if stops := b.pass(time.Millisecond).Stops; len(stops) != 1 {
		t.Errorf("stops after the worker is back: %+v, want one", stops)
	}
}

// Guards against orders that are repeated at once, until its end is committed, to a boot that has ended.
func TestNoOrdersToABootThatHasEnded(t *testing.T) {
	b, starts := placed(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	b.core.Applied(b.now, b.now, 0, workload.Command{Cancel: &workload.Cancel{ID: "j"}})
	sent := 0
	var proposed []dispatch.Proposal
	for range 20 {
		e := b.pass(time.Millisecond)
		proposed = append(proposed, e.Proposals...)
		for _, stop := range e.Stops {
			sent++
			b.core.StopAnswered(b.now, stop, dispatch.OutcomeOtherBoot, 0)
		}
	}
	if sent != 1 || len(proposed) != 1 {
		t.Fatalf("%d stops and %d proposals in 20 ms, want 1 and 1", sent, len(proposed))
	}
	b.core.ProposalFailed(b.now, proposed[0].ID)
	if e := b.pass(time.Millisecond); len(e.Stops) != 1 {
		t.Errorf("after the proposal failed: stops %+v, want one", e.Stops)
	}
}

// Guards against a task that starts again although its run, closed while the worker was silent, was done.
func TestRunThatWasDoneBeforeItsBootWasGivenUp(t *testing.T) {
	b, starts := placed(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	for closed := false; !closed; {
		e := b.pass(50 * time.Millisecond)
		b.answerHolds(dispatch.Report{Outcome: dispatch.OutcomeNotSent})
		closed = len(e.Proposals) > 0
		b.commit(e)
	}
	back := dispatch.Report{Ends: []dispatch.ListedEnd{{Number: 1, Task: starts[0].Task, Run: 1, How: workload.EndDone}}}
	for range 50 {
		b.answerHolds(back)
		e := b.commit(b.pass(planned))
		if len(e.Starts) > 0 {
			t.Fatalf("started again: %+v", e.Starts)
		}
		for _, hold := range e.Holds {
			if hold.Seen > 0 {
				return
			}
		}
	}
	t.Error("the end is never taken note of")
}
