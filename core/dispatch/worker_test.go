package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/testclock"
)

// Tests and simulations name the rules of the platform that they check. TWICE: a task runs on one
// worker at a time, and not again after its successful end was acknowledged. LIMIT: a worker's runs
// fit its capacity. LOST: an accepted job is not lost. MIXED: the reported states of jobs agree with
// their tasks.

// testbed drives one core step by step.
type testbed struct {
	t         *testing.T
	core      *dispatch.Core
	now       time.Time
	openHolds []dispatch.Hold // holds that were not answered yet
}

func newTestbed(t *testing.T, commands ...workload.Command) *testbed {
	state := workload.New()
	apply := func(c workload.Command) { state.Apply(epoch, 0, c) }
	apply(workload.Command{Configure: &workload.Config{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "shop", MaxAttempts: 3}}}})
	for _, c := range commands {
		apply(c)
	}
	b := &testbed{t: t, now: testclock.At(epoch)}
	b.core = dispatch.New(dispatch.Options{Term: 1, Lease: workerLease, MaxLease: maxWorkerLease, HoldWait: time.Second, ClockLagPPM: 20_000, SelfAddress: "self"}, state, b.now)
	return b
}

func registerWorker(id workload.WorkerID, boot workload.Boot) workload.Command {
	return workload.Command{Register: &workload.Register{Worker: workload.Worker{
		ID: id, Boot: boot, Service: "shop", Address: string(id), Capacity: workload.Resources{MilliCPU: 4000},
	}}}
}

func submitJob(id workload.JobID, step workload.StepSpec) workload.Command {
	return workload.Command{Submit: &workload.Submit{ID: id, Spec: workload.JobSpec{Queue: "q", Steps: []workload.StepSpec{step}}}}
}

// tick advances the time under a valid leader lease and returns the effects.
func (b *testbed) tick(d time.Duration) dispatch.Effects {
	b.now = b.now.Add(d)
	b.core.SetLeaderLease(b.now, lease.DeadlineIn(b.now, leaderLease))
	b.core.Tick(b.now)
	e := b.core.Effects()
	b.openHolds = append(b.openHolds, e.Holds...)
	return e
}

// commit commits the proposals of effects and returns the effects that follow.
func (b *testbed) commit(e dispatch.Effects) dispatch.Effects {
	for _, p := range e.Proposals {
		b.core.Apply(b.now, b.now, 0, p.Command)
		b.core.ProposalCommitted(b.now, p.ID)
	}
	return b.tick(time.Millisecond)
}

// answerHolds answers all open holds with a report.
func (b *testbed) answerHolds(report dispatch.HoldReport) {
	holds := b.openHolds
	b.openHolds = nil
	for _, h := range holds {
		if report.Outcome == dispatch.OutcomeOK {
			report.Clock = b.now.Sub(epoch).Milliseconds() + 1000
		}
		b.core.HoldAnswered(b.now, h.Call, report)
	}
}

// startTasks returns a testbed with one worker, for which the tasks of a job were started, and the
// starts.
func startTasks(t *testing.T, step workload.StepSpec) (*testbed, []dispatch.Start) {
	b := newTestbed(t, registerWorker("w", 1), submitJob("j", step))
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	e := b.commit(b.tick(replanDelay))
	if len(e.Starts) != step.Tasks {
		t.Fatalf("%d starts, want %d", len(e.Starts), step.Tasks)
	}
	return b, e.Starts
}

var oneTask = workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 1000}}

// Calls to a worker that has left must not extend its lease forever, because its runs would never
// be given up (hunt 3991, platform rule LOST).
func TestRunsOfAnUnresponsiveWorkerAreGivenUp(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	for b.now.Before(epoch.Add(2 * workerLease)) {
		e := b.tick(50 * time.Millisecond)
		b.answerHolds(dispatch.HoldReport{Outcome: dispatch.OutcomeNotSent})
		for _, p := range e.Proposals {
			if p.Command.EndBoot != nil {
				if at := b.now.Sub(epoch); at < workerLease {
					t.Errorf("given up after %v, within the lease", at)
				}
				return
			}
		}
	}
	t.Errorf("the boot is not given up within %v", 2*workerLease)
}

// No run may be started on a worker that has announced that it leaves.
func TestNoStartOnALeavingWorker(t *testing.T) {
	b := newTestbed(t, registerWorker("w", 1), submitJob("j", oneTask))
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	e := b.tick(replanDelay)
	b.core.Apply(b.now, b.now, 0, workload.Command{Drain: &workload.Drain{Worker: "w", Boot: 1}})
	if after := b.commit(e); len(after.Starts) != 0 {
		t.Errorf("started %+v", after.Starts)
	}
}

// If a member of a gang is refused, the other members must be stopped at once instead of waiting
// for it until they time out.
func TestRestOfAnIncompleteGangIsStopped(t *testing.T) {
	gang := workload.StepSpec{Tasks: 2, Size: workload.Resources{MilliCPU: 1000}, Gang: true}
	b, starts := startTasks(t, gang)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	b.core.StartAnswered(b.now, starts[1], dispatch.OutcomeNoCapacity, 1100)
	e := b.commit(b.tick(time.Millisecond))
	if len(e.Stops) != 1 || e.Stops[0].Task != starts[0].Task {
		t.Errorf("stops %+v, want that of %v", e.Stops, starts[0].Task)
	}
}

// No calls may be sent after the leader lease has expired or a worker has seen a later leader.
func TestNoCallsWithoutALeaderLease(t *testing.T) {
	b := newTestbed(t, registerWorker("w", 1), submitJob("j", oneTask))
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	b.now = b.now.Add(2 * leaderLease)
	b.core.Tick(b.now)
	if e := b.core.Effects(); len(e.Holds)+len(e.Starts)+len(e.Proposals) != 0 {
		t.Errorf("without a leader lease: effects %+v", e)
	}
	b.tick(100 * time.Millisecond)
	b.answerHolds(dispatch.HoldReport{Outcome: dispatch.OutcomeFenced})
	if e := b.tick(time.Second); len(e.Holds)+len(e.Starts) != 0 {
		t.Errorf("after a later leader was seen: effects %+v", e)
	}
}

// A new leader must stop the run of a cancelled job (TestSoak, seed 35).
func TestNewLeaderStopsRunsOfEndedJobs(t *testing.T) {
	b := newTestbed(t, registerWorker("w", 1), submitJob("j", oneTask),
		workload.Command{Decide: &workload.Decide{Assigns: []workload.Assign{{
			Step: workload.StepID{Job: "j"}, Members: []workload.TaskAssignment{{Worker: "w", Boot: 1}},
		}}}},
		workload.Command{Cancel: &workload.Cancel{ID: "j"}})
	e := b.tick(0)
	b.answerHolds(dispatch.HoldReport{Active: []dispatch.ActiveRun{{Task: workload.TaskID{Job: "j"}, Run: 1}}})
	if e.Stops = append(e.Stops, b.tick(time.Millisecond).Stops...); len(e.Stops) == 0 {
		t.Error("the run is not stopped")
	}
}

// Ends must not be acknowledged before they are committed, and their resources must not be assigned
// twice.
func TestEndsAreAcknowledgedAfterTheirCommit(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	b.answerHolds(dispatch.HoldReport{Ends: []dispatch.ListedEnd{{Number: 5, Task: starts[0].Task, Run: 1, Result: workload.EndDone}}})
	e := b.tick(time.Millisecond)
	for _, h := range e.Holds {
		if h.AckedEnd != 0 {
			t.Errorf("end %d acknowledged before its commit", h.AckedEnd)
		}
	}
	e = b.commit(e)
	if len(e.Holds) != 1 || e.Holds[0].AckedEnd != 5 {
		t.Errorf("after the commit: holds %+v", e.Holds)
	}
}

// A step must not wait forever for an avoided worker, although no event marks the end of the
// avoidance (TestSoak, seed 30).
func TestAvoidedWorkerIsUsedAgain(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeUnhealthy, 1100)
	e := b.commit(b.tick(time.Millisecond))
	if len(e.Starts) != 0 {
		t.Fatalf("started again at once: %+v", e.Starts)
	}
	for range 100 {
		wait := e.Deadline.Sub(b.now)
		if e.Deadline.IsZero() {
			break
		}
		if e = b.tick(max(wait, time.Millisecond)); len(e.Proposals) > 0 {
			return
		}
	}
	t.Error("the task is never placed again")
}

// A worker that fails its runs must not attract more and more work because its resources are always
// free.
func TestFailingWorkerIsAvoided(t *testing.T) {
	b := newTestbed(t, registerWorker("w", 1), submitJob("a", oneTask), submitJob("b", oneTask), submitJob("c", oneTask))
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	e := b.commit(b.tick(replanDelay))
	var ends []dispatch.ListedEnd
	for i, start := range e.Starts {
		b.core.StartAnswered(b.now, start, dispatch.OutcomeOK, 1100)
		ends = append(ends, dispatch.ListedEnd{Number: uint64(i + 1), Task: start.Task, Run: start.Run, Result: workload.EndFailed})
	}
	b.answerHolds(dispatch.HoldReport{Ends: ends})
	if e = b.commit(b.tick(replanDelay)); len(e.Starts)+len(e.Proposals) != 0 {
		t.Errorf("placed again at once: effects %+v", e)
	}
}

// If an answer is lost, the hold must be repeated at once so that ends are received early. When one
// answer in twenty was lost, half of the short jobs were late.
func TestHoldIsRepeatedAtOnceAfterALostAnswer(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	b.answerHolds(dispatch.HoldReport{Outcome: dispatch.OutcomeNoAnswer})
	e := b.tick(time.Millisecond)
	if len(e.Holds) != 1 || e.Holds[0].Wait != 0 {
		t.Fatalf("after a lost answer: holds %+v", e.Holds)
	}
	active := []dispatch.ActiveRun{{Task: starts[0].Task, Run: 1}}
	b.answerHolds(dispatch.HoldReport{Active: active})
	if e = b.tick(time.Millisecond); len(e.Holds) != 1 || e.Holds[0].Wait > 200*time.Millisecond {
		t.Fatalf("while answers are lost: holds %+v", e.Holds)
	}
	b.tick(5 * time.Second)
	b.answerHolds(dispatch.HoldReport{Active: active})
	if e = b.tick(time.Millisecond); len(e.Holds) != 1 || e.Holds[0].Wait != time.Second {
		t.Fatalf("after the loss period: holds %+v", e.Holds)
	}
}

// Stops must not be sent to an unresponsive worker on every tick, but must be sent at once when the
// worker answers again.
func TestStopsToAnUnresponsiveWorkerBackOff(t *testing.T) {
	step := workload.StepSpec{Tasks: 1, Size: wholeWorker}
	b, runs := startRunningTasks(t, 1, step)
	b.core.Apply(b.now, b.now, 0, workload.Command{Cancel: &workload.Cancel{ID: "j"}})
	sent := 0
	tickAndRejectStops := func() {
		for _, stop := range b.tick(10 * time.Millisecond).Stops {
			sent++
			b.core.StopAnswered(b.now, stop, dispatch.OutcomeNotSent, 0)
		}
	}
	for range 300 {
		tickAndRejectStops()
		b.answerHolds(dispatch.HoldReport{Outcome: dispatch.OutcomeNotSent})
	}
	if sent < 3 || sent > 8 {
		t.Errorf("%d stops in 3 s, want a few", sent)
	}
	for len(b.openHolds) == 0 {
		tickAndRejectStops()
	}
	b.reportProgress(runs, func(dispatch.Start) int { return 50 })
	if stops := b.tick(time.Millisecond).Stops; len(stops) != 1 {
		t.Errorf("stops after the worker is back: %+v, want one", stops)
	}
}

// A call to a boot that has ended must not be repeated at once until the end of the boot is
// committed.
func TestNoCallsToABootThatHasEnded(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	b.core.Apply(b.now, b.now, 0, workload.Command{Cancel: &workload.Cancel{ID: "j"}})
	sent := 0
	var proposed []dispatch.Proposal
	for range 20 {
		e := b.tick(time.Millisecond)
		proposed = append(proposed, e.Proposals...)
		for _, stop := range e.Stops {
			sent++
			b.core.StopAnswered(b.now, stop, dispatch.OutcomeOtherWorker, 0)
		}
	}
	if sent != 1 || len(proposed) != 1 {
		t.Fatalf("%d stops and %d proposals in 20 ms, want 1 and 1", sent, len(proposed))
	}
	b.core.ProposalFailed(b.now, proposed[0].ID)
	if e := b.tick(time.Millisecond); len(e.Stops) != 1 {
		t.Errorf("after the proposal failed: stops %+v, want one", e.Stops)
	}
}

// startTaskOfAGivenUpBoot returns a testbed with one worker and the start of a task that it answered. The
// worker then answered no hold until its boot was given up.
func startTaskOfAGivenUpBoot(t *testing.T) (*testbed, []dispatch.Start) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	for closed := false; !closed; {
		e := b.tick(50 * time.Millisecond)
		b.answerHolds(dispatch.HoldReport{Outcome: dispatch.OutcomeNotSent})
		closed = len(e.Proposals) > 0
		b.commit(e)
	}
	return b, starts
}

// A task must not start again if its run, which was closed while the worker was unresponsive, has
// ended with success.
func TestRunThatWasDoneBeforeItsBootWasGivenUp(t *testing.T) {
	b, starts := startTaskOfAGivenUpBoot(t)
	doneReport := dispatch.HoldReport{Ends: []dispatch.ListedEnd{{Number: 1, Task: starts[0].Task, Run: 1, Result: workload.EndDone}}}
	for range 50 {
		b.answerHolds(doneReport)
		e := b.commit(b.tick(replanDelay))
		if len(e.Starts) > 0 {
			t.Fatalf("started again: %+v", e.Starts)
		}
		for _, hold := range e.Holds {
			if hold.AckedEnd > 0 {
				return
			}
		}
	}
	t.Error("the end is never acknowledged")
}

// expectAcknowledgement fails the test unless the effects have one hold, which acknowledges up to an end.
func expectAcknowledgement(t *testing.T, e dispatch.Effects, when string, acked uint64) {
	t.Helper()
	if len(e.Holds) != 1 || e.Holds[0].AckedEnd != acked {
		t.Fatalf("%s: holds %+v, want one that acknowledges up to end %d", when, e.Holds, acked)
	}
}

// Guards against a late hold that makes a later boot forget unreported ends (TestSoak, seed 73123).
func TestAcknowledgementIsSentUntilItIsAnswered(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	done := dispatch.ListedEnd{Number: 5, Task: starts[0].Task, Run: 1, Result: workload.EndDone}
	b.answerHolds(dispatch.HoldReport{Ends: []dispatch.ListedEnd{done}})
	e := b.commit(b.tick(time.Millisecond))
	expectAcknowledgement(t, e, "after the commit", 5)
	b.answerHolds(dispatch.HoldReport{Outcome: dispatch.OutcomeNoAnswer})
	e = b.tick(time.Millisecond)
	expectAcknowledgement(t, e, "after a hold without an answer", 0)
	b.answerHolds(dispatch.HoldReport{Ends: []dispatch.ListedEnd{done}})
	e = b.tick(time.Millisecond)
	expectAcknowledgement(t, e, "after an answer", 5)
	b.answerHolds(dispatch.HoldReport{})
	e = b.tick(time.Millisecond)
	expectAcknowledgement(t, e, "after the acknowledgement was answered", 0)
}

// Guards against an acknowledgement that lets a later boot, which has answered a start and is not known
// yet, forget the end of that run. Its task was started again (platform rule TWICE).
func TestAcknowledgementWaitsUntilAllStartsAreListed(t *testing.T) {
	b, starts := startTasks(t, workload.StepSpec{Tasks: 2, Size: workload.Resources{MilliCPU: 1000}})
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	done := dispatch.ListedEnd{Number: 5, Task: starts[0].Task, Run: 1, Result: workload.EndDone}
	b.answerHolds(dispatch.HoldReport{Ends: []dispatch.ListedEnd{done}})
	e := b.commit(b.tick(time.Millisecond))
	expectAcknowledgement(t, e, "start in flight", 0)
	b.answerHolds(dispatch.HoldReport{Ends: []dispatch.ListedEnd{done}})
	b.core.StartAnswered(b.now, starts[1], dispatch.OutcomeOK, 1100)
	e = b.tick(60 * time.Millisecond)
	expectAcknowledgement(t, e, "start answered", 0)
	b.answerHolds(dispatch.HoldReport{Ends: []dispatch.ListedEnd{done}, Active: []dispatch.ActiveRun{{Task: starts[1].Task, Run: 1}}})
	e = b.tick(time.Millisecond)
	expectAcknowledgement(t, e, "run listed", 5)
}

// Guards against a start after the last attempt, with a failure reported late (platform rule BUDGET).
func TestRunThatFailedBeforeItsBootWasGivenUp(t *testing.T) {
	b, starts := startTaskOfAGivenUpBoot(t)
	failedReport := dispatch.HoldReport{Ends: []dispatch.ListedEnd{{Number: 1, Task: starts[0].Task, Run: 1, Result: workload.EndFailed}}}
	proposed, acked := 0, false
	for range 50 {
		b.answerHolds(failedReport)
		e := b.tick(replanDelay)
		for _, p := range e.Proposals {
			if p.Command.Decide != nil {
				proposed += len(p.Command.Decide.Ends)
			}
		}
		for _, hold := range b.commit(e).Holds {
			acked = acked || hold.AckedEnd == 1
		}
	}
	if proposed != 1 || !acked {
		t.Errorf("failed end proposed %d times, acknowledged %v, want once and acknowledged", proposed, acked)
	}
}

// Guards against an end that stays listed, so that the next one is noticed up to a second late.
func TestEndThatDoesNotCountIsAcknowledged(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	earlier := starts[0].Task.StepID().Task(1)
	b.answerHolds(dispatch.HoldReport{
		Active: []dispatch.ActiveRun{{Task: starts[0].Task, Run: 1}},
		Ends:   []dispatch.ListedEnd{{Number: 3, Task: earlier, Run: 7, Result: workload.EndStopped}},
	})
	e := b.tick(time.Millisecond)
	if len(e.Holds) != 1 || e.Holds[0].AckedEnd != 3 {
		t.Errorf("holds %+v, want one that acknowledges end 3", e.Holds)
	}
}
