package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// maxWorkerLease is the longest lease that a worker accepts.
const maxWorkerLease = maxLeaseMillis * time.Millisecond

// workerStub defines the answers of the worker "w". The other workers work normally.
type workerStub struct {
	hold  func(h dispatch.Hold) dispatch.HoldReport
	start func(s dispatch.Start) dispatch.Outcome
	stop  func(s dispatch.Stop) dispatch.Outcome
	// observe is called with all effects of the core.
	observe func(e dispatch.Effects)
}

func unreachableHold(dispatch.Hold) dispatch.HoldReport {
	return dispatch.HoldReport{Outcome: dispatch.OutcomeNotSent}
}

// runFor runs the core for a time in steps of 10 ms. Proposals are committed at once.
func (b *testbed) runFor(d time.Duration, stub workerStub) {
	for deadline := b.now.Add(d); b.now.Before(deadline); {
		e := b.tick(10 * time.Millisecond)
		b.execute(e, stub)
	}
}

func (b *testbed) execute(e dispatch.Effects, stub workerStub) {
	if stub.observe != nil {
		stub.observe(e)
	}
	clock := b.now.Sub(epoch).Milliseconds() + 1000
	for _, p := range e.Proposals {
		b.core.Apply(b.now, b.now, 0, p.Command)
		b.core.ProposalCommitted(b.now, p.ID)
	}
	for _, s := range e.Starts {
		outcome := dispatch.OutcomeOK
		if s.Worker == "w" && stub.start != nil {
			outcome = stub.start(s)
		}
		b.core.StartAnswered(b.now, s, outcome, 0)
	}
	for _, s := range e.Stops {
		outcome := dispatch.OutcomeOK
		if s.Worker == "w" && stub.stop != nil {
			outcome = stub.stop(s)
		}
		b.core.StopAnswered(b.now, s, outcome, 0)
	}
	holds := b.openHolds
	b.openHolds = nil
	for _, h := range holds {
		report := dispatch.HoldReport{Boot: h.Boot}
		if h.Worker == "w" {
			report = stub.hold(h)
		}
		if report.Clock == 0 && report.Outcome == dispatch.OutcomeOK {
			report.Clock = clock
		}
		b.core.HoldAnswered(b.now, h.Call, report)
	}
}

// startsOf returns the starts of a task for runs with a number above the given one.
func startsOf(e dispatch.Effects, task workload.TaskID, above workload.RunNumber) []dispatch.Start {
	var found []dispatch.Start
	for _, s := range e.Starts {
		if s.Task == task && s.Run > above {
			found = append(found, s)
		}
	}
	return found
}

// A task must not be placed elsewhere while the later boot of its first worker lists the earlier
// run as active, however long that takes (platform rule TWICE).
func TestTaskWaitsWhileItsEarlierRunIsListed(t *testing.T) {
	b, task := startWithOutcome(t, dispatch.OutcomeNoAnswer)
	startedAt := b.now
	b.apply(registerWorker("w", 2))
	b.runFor(2*maxCallDelay, workerStub{
		hold: func(dispatch.Hold) dispatch.HoldReport {
			return dispatch.HoldReport{Boot: 2, Active: []dispatch.ActiveRun{{Task: task, Run: 1}}}
		},
		stop: func(dispatch.Stop) dispatch.Outcome { return dispatch.OutcomeNoAnswer },
		observe: func(e dispatch.Effects) {
			for _, s := range startsOf(e, task, 1) {
				t.Fatalf("run %d starts on %s after %v while run 1 is listed", s.Run, s.Worker, b.now.Sub(startedAt))
			}
		},
	})
}

// A task must not be placed elsewhere as soon as its lost start can no longer be carried out. A
// later boot may have carried it out at the last moment and then has the lease that came with the
// start (platform rule TWICE).
func TestTaskWaitsForTheLeaseOfALateRun(t *testing.T) {
	b, task := startWithOutcome(t, dispatch.OutcomeNoAnswer)
	startedAt, delay := b.now, maxCallDelay*2
	placed := false
	b.runFor(delay, workerStub{
		hold: unreachableHold,
		stop: func(dispatch.Stop) dispatch.Outcome { return dispatch.OutcomeNotSent },
		observe: func(e dispatch.Effects) {
			if len(startsOf(e, task, 1)) > 0 && !placed {
				placed, delay = true, b.now.Sub(startedAt)
			}
		},
	})
	if delay < maxCallDelay+maxWorkerLease {
		t.Errorf("placed elsewhere after %v; the start may be carried out until %v and has a lease of %v", delay, maxCallDelay, maxWorkerLease)
	}
}

// A task must not start again after its successful end was acknowledged. The end is that of a start
// for the former boot, which a later boot has carried out (platform rule TWICE).
func TestDoneEndOfALateRunCounts(t *testing.T) {
	for name, outcome := range map[string]dispatch.Outcome{
		"start without an answer":          dispatch.OutcomeNoAnswer,
		"start answered by the later boot": dispatch.OutcomeOK,
	} {
		b, task := startWithOutcome(t, outcome)
		b.apply(registerWorker("w", 2))
		for i := range 8 {
			b.apply(submitJob(workload.JobID(fmt.Sprint("k", i)), oneTask))
		}
		acked, restarted := false, false
		ends := []dispatch.ListedEnd{{Number: 1, Task: task, Run: 1, Result: workload.EndDone}}
		b.runFor(2*maxCallDelay, workerStub{
			hold: func(h dispatch.Hold) dispatch.HoldReport {
				report := dispatch.HoldReport{Boot: 2}
				for _, end := range ends {
					if h.Boot == 2 && end.Number > h.AckedEnd {
						report.Ends = append(report.Ends, end)
					}
				}
				return report
			},
			// All other runs started there end with success. Acknowledging their ends also
			// acknowledges the earlier end.
			start: func(s dispatch.Start) dispatch.Outcome {
				ends = append(ends, dispatch.ListedEnd{Number: uint64(len(ends) + 1), Task: s.Task, Run: s.Run, Result: workload.EndDone})
				return dispatch.OutcomeOK
			},
			observe: func(e dispatch.Effects) {
				for _, h := range e.Holds {
					acked = acked || h.Worker == "w" && h.Boot == 2 && h.AckedEnd >= 1
				}
				restarted = restarted || len(startsOf(e, task, 1)) > 0
			},
		})
		if acked && restarted {
			t.Errorf("%s: the task starts again after its end was acknowledged", name)
		}
	}
}

// The end of a boot must not be proposed again after each commit while a start is in doubt.
func TestBootOfAnUnresponsiveWorkerIsEndedOnce(t *testing.T) {
	b, _ := startWithOutcome(t, dispatch.OutcomeNoAnswer)
	ends := 0
	b.runFor(2*maxCallDelay, workerStub{
		hold: unreachableHold,
		stop: func(dispatch.Stop) dispatch.Outcome { return dispatch.OutcomeNotSent },
		observe: func(e dispatch.Effects) {
			for _, p := range e.Proposals {
				if p.Command.EndBoot != nil {
					ends++
				}
			}
		},
	})
	if ends > 1 {
		t.Errorf("the end of one boot is proposed %d times", ends)
	}
}

// taskMovedTwice returns commands for a task with two earlier runs. Run 1 got no answer on "w" and
// was then refused there. Run 2 has failed on "spare". "w" has restarted since.
func taskMovedTwice() []workload.Command {
	task := workload.TaskID{Job: "j"}
	decide := func(ends []workload.EndedRun, worker workload.WorkerID) workload.Command {
		d := &workload.Decide{Ends: ends}
		if worker != "" {
			d.Assigns = []workload.Assign{{Step: workload.StepID{Job: "j"}, Members: []workload.TaskAssignment{{Worker: worker, Boot: 1}}}}
		}
		return workload.Command{Decide: d}
	}
	return []workload.Command{
		registerWorker("w", 1), registerWorker("spare", 1), submitJob("j", oneTask),
		decide(nil, "w"),
		decide([]workload.EndedRun{{Worker: "w", Boot: 1, Task: task, Run: 1, How: workload.EndNeverStarted}}, "spare"),
		registerWorker("w", 2),
		decide([]workload.EndedRun{{Worker: "spare", Boot: 1, Task: task, Run: 2, How: workload.EndFailed}}, ""),
	}
}

// A new leader must take into account more than the last worker of a task. An earlier worker that
// has restarted since and has seen no token may still carry out a start of the previous leader
// (platform rule TWICE).
func TestNewLeaderWaitsForLostStartsOfEarlierRuns(t *testing.T) {
	b := newTestbed(t, taskMovedTwice()...)
	task := workload.TaskID{Job: "j"}
	b.runFor(maxCallDelay, workerStub{
		hold: unreachableHold,
		stop: func(dispatch.Stop) dispatch.Outcome { return dispatch.OutcomeNotSent },
		observe: func(e dispatch.Effects) {
			for _, s := range startsOf(e, task, 2) {
				t.Fatalf("run %d starts on %s %v after the election; boot 2 of w has not answered this leader", s.Run, s.Worker, b.now.Sub(epoch))
			}
		},
	})
}

// A start must not be sent if an earlier run of its task was found while the assignment was being
// committed (platform rule TWICE).
func TestNoStartOnceAnEarlierRunIsFound(t *testing.T) {
	b := newTestbed(t, taskMovedTwice()...)
	task := workload.TaskID{Job: "j"}
	listingRun1 := workerStub{
		hold: func(h dispatch.Hold) dispatch.HoldReport {
			return dispatch.HoldReport{Boot: h.Boot, Active: []dispatch.ActiveRun{{Task: task, Run: 1}}}
		},
		stop: func(dispatch.Stop) dispatch.Outcome { return dispatch.OutcomeNoAnswer },
	}
	// Only "spare" answers until the task is placed there.
	var unanswered []dispatch.Hold
	e := dispatch.Effects{}
	for range 50 {
		e = b.tick(10 * time.Millisecond)
		if len(e.Proposals) > 0 {
			break
		}
		for _, s := range e.Stops {
			if s.Worker == "spare" {
				b.core.StopAnswered(b.now, s, dispatch.OutcomeOK, 0)
			}
		}
		holds := b.openHolds
		b.openHolds = nil
		for _, h := range holds {
			if h.Worker == "w" {
				unanswered = append(unanswered, h)
				continue
			}
			b.core.HoldAnswered(b.now, h.Call, dispatch.HoldReport{Boot: h.Boot, Clock: b.now.Sub(epoch).Milliseconds() + 1000})
		}
	}
	if len(e.Proposals) != 1 {
		// The task is not placed before w has answered, so no start can be sent too early.
		return
	}
	b.openHolds = append(b.openHolds, unanswered...)
	// w answers while the assignment is being committed.
	b.execute(dispatch.Effects{}, listingRun1)
	listingRun1.observe = func(e dispatch.Effects) {
		for _, s := range startsOf(e, task, 2) {
			t.Fatalf("run %d starts on %s while w lists run 1", s.Run, s.Worker)
		}
	}
	b.execute(e, listingRun1)
	b.runFor(time.Second, listingRun1)
}

// A task has two lost starts, and a later boot has refused the later one. The task must not be
// placed elsewhere while that boot lists the run of the earlier one (platform rule TWICE).
func TestTaskWaitsForAnEarlierOfTwoLateRuns(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	task := starts[0].Task
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeNoAnswer, 1100)
	// The other attempts of run 1 get no answer either. The boot refuses run 1, and run 2 is placed
	// there and gets no answer.
	run2Started := false
	b.runFor(5*time.Second, workerStub{
		hold: func(dispatch.Hold) dispatch.HoldReport { return dispatch.HoldReport{Boot: 1} },
		start: func(s dispatch.Start) dispatch.Outcome {
			run2Started = run2Started || s.Run == 2
			return dispatch.OutcomeNoAnswer
		},
	})
	if !run2Started {
		t.Fatal("run 2 was not started on w")
	}
	b.apply(registerWorker("spare", 1))
	b.apply(registerWorker("w", 2))
	lastListed := b.now
	b.runFor(3*time.Second, workerStub{
		hold: func(h dispatch.Hold) dispatch.HoldReport {
			lastListed = b.now
			return dispatch.HoldReport{Boot: 2, Active: []dispatch.ActiveRun{{Task: task, Run: 1}}}
		},
		stop: func(s dispatch.Stop) dispatch.Outcome {
			if s.Run == 1 {
				return dispatch.OutcomeNoAnswer
			}
			return dispatch.OutcomeOK
		},
		observe: func(e dispatch.Effects) {
			for _, s := range startsOf(e, task, 2) {
				t.Fatalf("run %d starts on %s; w listed run 1 %v ago", s.Run, s.Worker, b.now.Sub(lastListed))
			}
		},
	})
}

// A later boot may have started a run under the lease of the former boot, which it counts by its
// own clock. It may still run the task when the former boot is given up by the former clock
// (platform rule TWICE). The clock value in the answer to the start is lower than before, because it
// comes from the later boot.
func TestRunOnAnUnnoticedBootOutlastsTheLeaseOfTheFormerOne(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 50)
	b.apply(registerWorker("spare", 1))
	if after := b.timeToNextRun(starts[0].Task, unreachable); after < maxWorkerLease {
		t.Errorf("placed elsewhere after %v; the later boot limits the lease to %v", after, maxWorkerLease)
	}
}

// A job must not count as started if its only start was lost with the boot. Otherwise its queue lists
// no pending job during the 13 s for which the job waits (platform rule MIXED).
func TestJobWhoseStartWasLostWithItsBootIsPending(t *testing.T) {
	b, task := startWithOutcome(t, dispatch.OutcomeNoAnswer)
	replica := workload.New()
	apply := func(c workload.Command) { replica.Apply(b.now, 0, c) }
	apply(workload.Command{Configure: &workload.Config{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "shop", MaxAttempts: 3}}}})
	for _, c := range openedRun() {
		apply(c)
	}
	bootEndedAt, notPendingFor, started := time.Time{}, time.Duration(0), false
	b.runFor(2*maxCallDelay, workerStub{
		hold:  unreachableHold,
		start: func(dispatch.Start) dispatch.Outcome { return dispatch.OutcomeNotSent },
		stop:  func(dispatch.Stop) dispatch.Outcome { return dispatch.OutcomeNotSent },
		observe: func(e dispatch.Effects) {
			for _, p := range e.Proposals {
				apply(p.Command)
				if p.Command.EndBoot != nil && bootEndedAt.IsZero() {
					bootEndedAt = b.now
				}
			}
			started = started || len(startsOf(e, task, 1)) > 0
			if !bootEndedAt.IsZero() && !started && replica.PendingJobs("q") != 1 {
				notPendingFor = b.now.Sub(bootEndedAt)
			}
		},
	})
	if notPendingFor > 0 {
		t.Errorf("the job has not started, but its queue still listed no pending job %v after the end of the boot", notPendingFor)
	}
}

// A new leader must not send a stop for every task that has ended on a worker. The answer to its
// first hold already makes the worker refuse earlier starts.
func TestNewLeaderSendsNoStopsForEndedTasks(t *testing.T) {
	const tasks = 200
	commands := []workload.Command{registerWorker("w", 1)}
	for i := range tasks {
		id := workload.JobID(fmt.Sprint("j", i))
		// The second step prevents the job from ending.
		commands = append(commands, workload.Command{Submit: &workload.Submit{ID: id, Spec: workload.JobSpec{Queue: "q", Steps: []workload.StepSpec{
			oneTask, {Tasks: 1, Size: workload.Resources{MilliCPU: 9000}, DependsOn: []int{0}},
		}}}})
		commands = append(commands, workload.Command{Decide: &workload.Decide{Assigns: []workload.Assign{{
			Step: workload.StepID{Job: id}, Members: []workload.TaskAssignment{{Worker: "w", Boot: 1}},
		}}}}, workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{{
			Worker: "w", Boot: 1, Task: workload.TaskID{Job: id}, Run: 1, How: workload.EndDone,
		}}}})
	}
	b := newTestbed(t, commands...)
	stops := 0
	b.runFor(time.Second, workerStub{
		hold:    func(h dispatch.Hold) dispatch.HoldReport { return dispatch.HoldReport{Boot: 1} },
		observe: func(e dispatch.Effects) { stops += len(e.Stops) },
	})
	if stops > tasks/10 {
		t.Errorf("%d stops to a worker that runs nothing and has answered this leader", stops)
	}
}

// Resources reserved for a run that is closed in the state must be released when the next run of
// the task is placed on the same worker. Otherwise they stay reserved for the life of the boot.
func TestReservationOfAClosedRunIsReleased(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	task := starts[0].Task
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeNoAnswer, 1100)
	b.apply(registerWorker("w", 2))
	stubListing := func(active ...dispatch.ActiveRun) workerStub {
		return workerStub{
			hold: func(dispatch.Hold) dispatch.HoldReport { return dispatch.HoldReport{Boot: 2, Active: active} },
			stop: func(dispatch.Stop) dispatch.Outcome { return dispatch.OutcomeNoAnswer },
		}
	}
	run1 := dispatch.ActiveRun{Task: task, Run: 1}
	b.runFor(time.Second, stubListing())
	// The start for the former boot is carried out while the stops get lost.
	listingRun1 := stubListing(run1)
	listingRun1.observe = func(e dispatch.Effects) {
		for _, s := range startsOf(e, task, 1) {
			t.Logf("run %d starts on %s, which lists run 1", s.Run, s.Worker)
		}
	}
	b.runFor(maxCallDelay+2*time.Second, listingRun1)
	// The worker has ended the run and accepts stops again.
	listingNothing := stubListing()
	listingNothing.stop = nil
	listingNothing.start = func(dispatch.Start) dispatch.Outcome { return dispatch.OutcomeNotSent }
	b.runFor(5*time.Second, listingNothing)
	b.apply(cancelJob("j"))
	b.runFor(5*time.Second, listingNothing)
	if reserved := b.core.Reserved(); len(reserved) > 0 {
		t.Errorf("reserved although nothing is running or proposed: %v", reserved)
	}
}

func cancelJob(id workload.JobID) workload.Command {
	return workload.Command{Cancel: &workload.Cancel{ID: id}}
}

// A late hold for a former boot must not make a later boot forget its ends by acknowledging the
// former boot's numbers. A run that ended with success would count as lost, and its task would
// start again (platform rule TWICE).
func TestLateHoldForAFormerBootDropsNoEnds(t *testing.T) {
	b := newTestbed(t, registerWorker("w", 1))
	w := &fakeWorker{id: "w", capacity: workload.Resources{MilliCPU: 4000}, clockRate: 1}
	w.startBoot(1, 0)
	elapsed := func() time.Duration { return b.now.Sub(epoch) }
	task := workload.TaskID{Job: "j"}
	acked := false
	hold := func(h dispatch.Hold) dispatch.HoldReport {
		for _, end := range w.ends {
			acked = acked || end.Task == task && end.Result == workload.EndDone && end.Number <= h.AckedEnd
		}
		report := w.hold(h, elapsed())
		report.Clock++
		return report
	}
	stub := workerStub{
		hold:  hold,
		start: func(s dispatch.Start) dispatch.Outcome { o, _ := w.start(s, oneTask.Size, elapsed()); return o },
		stop:  func(s dispatch.Stop) dispatch.Outcome { return w.stop(s) },
	}
	// Boot 1 has ended a run, and the end is acknowledged.
	b.apply(submitJob("first", oneTask))
	b.runFor(100*time.Millisecond, stub)
	w.endRun(workload.TaskID{Job: "first"}, workload.EndDone)
	var lateHold dispatch.Hold
	for range 10 {
		e := b.tick(10 * time.Millisecond)
		if len(b.openHolds) == 1 && b.openHolds[0].AckedEnd == 1 {
			lateHold = b.openHolds[0]
			break
		}
		b.execute(e, stub)
	}
	if lateHold.AckedEnd != 1 {
		t.Fatalf("holds %+v, want one that acknowledges end 1", b.openHolds)
	}
	b.openHolds = nil
	b.core.HoldAnswered(b.now, lateHold.Call, dispatch.HoldReport{Outcome: dispatch.OutcomeNoAnswer})
	// Boot 2 runs the task to its end. The late hold arrives before the next one.
	w.startBoot(2, elapsed())
	b.apply(registerWorker("w", 2))
	b.apply(submitJob("j", oneTask))
	restarted := false
	stub.observe = func(e dispatch.Effects) { restarted = restarted || acked && len(startsOf(e, task, 1)) > 0 }
	b.runFor(200*time.Millisecond, stub)
	if w.runs[task] == nil {
		t.Fatal("not started on boot 2")
	}
	w.endRun(task, workload.EndDone)
	hold(lateHold)
	b.runFor(time.Second, stub)
	if restarted {
		t.Error("the task starts again after its successful end was acknowledged")
	}
}

// afterLeaseExpiry returns a testbed in which the start of a task got no answer and its worker was
// unresponsive until its lease had expired. The worker is about to answer again.
func afterLeaseExpiry(t *testing.T, step workload.StepSpec) (*testbed, workload.TaskID) {
	b, starts := startTasks(t, step)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeNoAnswer, 0)
	ended := false
	b.runFor(maxWorkerLease+time.Second, workerStub{
		hold:  unreachableHold,
		start: func(dispatch.Start) dispatch.Outcome { return dispatch.OutcomeNotSent },
		stop:  func(dispatch.Stop) dispatch.Outcome { return dispatch.OutcomeNotSent },
		observe: func(e dispatch.Effects) {
			for _, p := range e.Proposals {
				ended = ended || p.Command.EndBoot != nil
			}
		},
	})
	if !ended {
		t.Fatal("the boot was not given up")
	}
	return b, starts[0].Task
}

// A worker must not be overcommitted when it answers again after its lease has expired. A start
// that was lost before, and whose stop the worker rejects, may still be carried out there (platform
// rule LIMIT).
func TestResourcesAreKeptForAnInDoubtStartOfTheSameBoot(t *testing.T) {
	whole := workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 4000}}
	b, task := afterLeaseExpiry(t, whole)
	b.apply(submitJob("k", whole))
	b.runFor(2*time.Second, workerStub{
		hold: func(dispatch.Hold) dispatch.HoldReport { return dispatch.HoldReport{Boot: 1} },
		stop: func(dispatch.Stop) dispatch.Outcome { return dispatch.OutcomeUnhealthy },
		observe: func(e dispatch.Effects) {
			for _, s := range e.Starts {
				if s.Task != task {
					t.Fatalf("%v starts on a worker that may still start %v, which needs all of its resources", s.Task, task)
				}
			}
		},
	})
}

// A task must not start again after its successful end was acknowledged. A worker that answers
// again after its lease has expired carries out the lost start and ends the run before it accepts
// the stop (platform rule TWICE).
func TestDoneEndOfALateRunOfTheSameBootCounts(t *testing.T) {
	b, task := afterLeaseExpiry(t, oneTask)
	b.apply(registerWorker("spare", 1))
	for i := range 8 {
		b.apply(submitJob(workload.JobID(fmt.Sprint("k", i)), oneTask))
	}
	acked, restarted := false, false
	ends := []dispatch.ListedEnd{{Number: 1, Task: task, Run: 1, Result: workload.EndDone}}
	b.runFor(5*time.Second, workerStub{
		hold: func(h dispatch.Hold) dispatch.HoldReport {
			report := dispatch.HoldReport{Boot: 1}
			for _, end := range ends {
				if end.Number > h.AckedEnd {
					report.Ends = append(report.Ends, end)
				}
			}
			return report
		},
		start: func(s dispatch.Start) dispatch.Outcome {
			ends = append(ends, dispatch.ListedEnd{Number: uint64(len(ends) + 1), Task: s.Task, Run: s.Run, Result: workload.EndDone})
			return dispatch.OutcomeOK
		},
		stop: func(dispatch.Stop) dispatch.Outcome { return dispatch.OutcomeUnhealthy },
		observe: func(e dispatch.Effects) {
			for _, h := range e.Holds {
				acked = acked || h.Worker == "w" && h.AckedEnd >= 1
			}
			restarted = restarted || len(startsOf(e, task, 1)) > 0
		},
	})
	if acked && restarted {
		t.Error("the task starts again after its end was acknowledged")
	}
}

// A worker must not accept late calls for a former boot or from before its lease expired. The token
// therefore increases with each boot that ends (platform rules TWICE and LIMIT).
func TestTokenIncreasesWithEachEndOfABoot(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeNoAnswer, 1100)
	tokens := map[workload.Boot]uint64{1: starts[0].Token}
	ended := false
	recordTokens := func(boot workload.Boot) workerStub {
		return workerStub{
			hold: func(h dispatch.Hold) dispatch.HoldReport {
				tokens[h.Boot] = h.Token
				return dispatch.HoldReport{Outcome: dispatch.OutcomeNotSent}
			},
			start: func(dispatch.Start) dispatch.Outcome { return dispatch.OutcomeNotSent },
			stop:  func(dispatch.Stop) dispatch.Outcome { return dispatch.OutcomeNotSent },
			observe: func(e dispatch.Effects) {
				for _, p := range e.Proposals {
					ended = ended || p.Command.EndBoot != nil
				}
			},
		}
	}
	b.runFor(2*workerLease, recordTokens(1))
	if !ended || tokens[1] <= starts[0].Token {
		t.Fatalf("boot ended: %v; token %d after the lease expired, %d before", ended, tokens[1], starts[0].Token)
	}
	b.apply(registerWorker("w", 2))
	b.runFor(time.Second, recordTokens(2))
	if tokens[2] <= tokens[1] {
		t.Errorf("token %d for the later boot, %d before", tokens[2], tokens[1])
	}
}

// A leader must not take the rejection of its own earlier call for the sign of a later leader.
func TestRejectionOfAnEarlierTokenIsNotALaterLeader(t *testing.T) {
	b, _ := startWithOutcome(t, dispatch.OutcomeNoAnswer)
	b.apply(registerWorker("w", 2))
	b.tick(replanDelay)
	var earlierHold dispatch.Hold
	for _, hold := range b.openHolds {
		if hold.Worker == "w" && hold.Boot == 2 {
			earlierHold = hold
		}
	}
	b.core.Apply(b.now, b.now, 0, workload.Command{EndBoot: &workload.EndBoot{Worker: "w", Boot: 2}})
	b.core.HoldAnswered(b.now, earlierHold.Call, dispatch.HoldReport{Outcome: dispatch.OutcomeFenced})
	if e := b.tick(replanDelay); len(e.Holds) != 1 || e.Holds[0].Token <= earlierHold.Token {
		t.Errorf("holds %+v after the rejection of token %d, want one with a higher token", e.Holds, earlierHold.Token)
	}
}

// A leader must not stop dispatching because a worker rejects a stop that was overtaken by later
// calls of the same leader.
func TestRejectionOfAnOvertakenStopIsNoLaterLeader(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	b.apply(workload.Command{Cancel: &workload.Cancel{ID: "j"}})
	stops := b.tick(replanDelay).Stops
	if len(stops) != 1 {
		t.Fatalf("stops %+v, want one", stops)
	}
	b.apply(workload.Command{EndBoot: &workload.EndBoot{Worker: "w", Boot: 1}})
	b.answerHolds(dispatch.HoldReport{Active: []dispatch.ActiveRun{{Task: starts[0].Task, Run: 1}}})
	b.core.StopAnswered(b.now, stops[0], dispatch.OutcomeFenced, 0)
	if e := b.tick(replanDelay); len(e.Stops) != 1 || e.Stops[0].Token <= stops[0].Token {
		t.Errorf("stops %+v after the rejection of token %d, want one with a higher token", e.Stops, stops[0].Token)
	}
}

// A new leader must not delay a task for another 13 s from its own start. If leaders change more
// often than that, the task would never be placed.
func TestDelayForInDoubtStartsIsNotRestartedByEachLeader(t *testing.T) {
	const term = 5 * time.Second
	state := workload.New()
	apply := func(retentionClock time.Duration, c workload.Command) { state.Apply(epoch, retentionClock, c) }
	apply(0, workload.Command{Configure: &workload.Config{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "shop", MaxAttempts: 3}}}})
	for _, c := range append(openedRun(), registerWorker("spare", 1), workload.Command{EndBoot: &workload.EndBoot{Worker: "w", Boot: 1}}) {
		apply(0, c)
	}
	for elapsed := time.Duration(0); elapsed < 2*maxCallDelay; elapsed += term {
		state.Expire(elapsed, elapsed)
		restored, err := workload.Restore(state.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		b := &testbed{t: t, now: epoch}
		b.core = dispatch.New(dispatch.Options{Term: 1, Lease: workerLease, MaxLease: maxWorkerLease, HoldWait: time.Second, ClockLagPPM: 20_000, SelfAddress: "self"}, restored, b.now)
		placedAt := time.Duration(-1)
		b.runFor(term, workerStub{
			hold: unreachableHold,
			observe: func(e dispatch.Effects) {
				if len(startsOf(e, workload.TaskID{Job: "j"}, 1)) > 0 && placedAt < 0 {
					placedAt = elapsed + b.now.Sub(epoch)
				}
			},
		})
		if placedAt >= 0 {
			if placedAt < maxCallDelay {
				t.Errorf("placed %v after the end of its boot, within %v", placedAt, maxCallDelay)
			}
			return
		}
	}
	t.Errorf("not placed within %v, in terms of %v", 2*maxCallDelay, term)
}

// Holds that a worker carries out without an answer must not keep a run alive on a later boot, for
// whose clock the lease end of the former one is far in the future (platform rule TWICE).
func TestRepeatedHoldsDoNotExtendTheLeaseOfAnUnnoticedBoot(t *testing.T) {
	b, _ := startWithOutcome(t, dispatch.OutcomeNoAnswer)
	var extending []time.Duration
	startedAt := b.now
	b.runFor(2*maxCallDelay, workerStub{
		hold:  func(dispatch.Hold) dispatch.HoldReport { return dispatch.HoldReport{Outcome: dispatch.OutcomeNoAnswer} },
		start: func(dispatch.Start) dispatch.Outcome { return dispatch.OutcomeNotSent },
		stop:  func(dispatch.Stop) dispatch.Outcome { return dispatch.OutcomeNotSent },
		observe: func(e dispatch.Effects) {
			for _, h := range e.Holds {
				if h.Worker == "w" && h.LeaseUntil > 0 {
					extending = append(extending, b.now.Sub(startedAt))
				}
			}
		},
	})
	if len(extending) > 2 {
		t.Errorf("%d holds without an answer extend the lease, the last after %v; want the first and one repetition", len(extending), extending[len(extending)-1])
	}
}

// A new leader must not shorten the wait for a lost start because the time of day, and with it the
// retention clock, has jumped ahead since the run was closed (platform rule TWICE).
func TestNewLeaderWaitsAfterTheTimeOfDayHasJumped(t *testing.T) {
	state := workload.New()
	state.Apply(epoch, 0, workload.Command{Configure: &workload.Config{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "shop", MaxAttempts: 3}}}})
	for _, c := range append(openedRun(), registerWorker("spare", 1), workload.Command{EndBoot: &workload.EndBoot{Worker: "w", Boot: 1}}) {
		state.Apply(epoch, 0, c)
	}
	state.Expire(10*time.Second, time.Second)
	state.Expire(20*time.Second, 2*time.Second)
	b := &testbed{t: t, now: epoch}
	b.core = dispatch.New(dispatch.Options{Term: 2, Lease: workerLease, MaxLease: maxWorkerLease, HoldWait: time.Second, ClockLagPPM: 20_000, SelfAddress: "self"}, state, b.now)
	// The run was closed 2 s ago at most.
	b.runFor(maxCallDelay-2*time.Second, workerStub{
		hold: unreachableHold,
		observe: func(e dispatch.Effects) {
			for _, s := range startsOf(e, workload.TaskID{Job: "j"}, 1) {
				t.Fatalf("run %d starts on %s %v after the election", s.Run, s.Worker, b.now.Sub(epoch))
			}
		},
	})
}

// A boot must not be given up by a lease of 4.5 s if a late call to the former boot may have extended
// it to 6 s: the end by the former clock is far in the future for the later one (platform rule TWICE).
func TestLeaseExtendedByALateCallToTheFormerBootIsWaitedFor(t *testing.T) {
	giveUp := func(b *testbed) time.Duration {
		from := b.now
		for b.now.Before(from.Add(2 * maxWorkerLease)) {
			e := b.tick(10 * time.Millisecond)
			b.answerHolds(dispatch.HoldReport{Outcome: dispatch.OutcomeNotSent})
			for _, p := range e.Proposals {
				if p.Command.EndBoot != nil {
					return b.now.Sub(from)
				}
			}
		}
		return 2 * maxWorkerLease
	}
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	if after := giveUp(b); after < maxWorkerLease-100*time.Millisecond {
		t.Errorf("boot that has answered once is given up after %v, its lease may last %v", after, maxWorkerLease)
	}
	b = newTestbed(t, openedRun()...)
	if after := giveUp(b); after < maxWorkerLease {
		t.Errorf("boot that has not answered the new leader is given up after %v, its lease may last %v", after, maxWorkerLease)
	}
}

// A later boot that has answered but has not registered must not carry out late calls for the former one.
func TestLaterBootIsFencedBeforeItRegisters(t *testing.T) {
	b, starts := startTasks(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeNoAnswer, 0)
	b.answerHolds(dispatch.HoldReport{Boot: 1})
	b.tick(time.Millisecond)
	b.answerHolds(dispatch.HoldReport{Boot: 2})
	e := b.tick(time.Millisecond)
	if len(e.Holds) != 1 || e.Holds[0].Token <= starts[0].Token || e.Holds[0].LeaseUntil != 0 || e.Holds[0].AckedEnd != 0 {
		t.Fatalf("holds %+v, want one with a token above %#x, without a lease and an acknowledgement", e.Holds, starts[0].Token)
	}
	b.commit(e)
	b.answerHolds(dispatch.HoldReport{Boot: 2})
	for _, p := range b.tick(replanDelay).Proposals {
		if p.Command.EndBoot != nil {
			t.Errorf("the end of the boot is proposed again: %+v", p.Command.EndBoot)
		}
	}
}

// Guards against acknowledging the successful end of a closed run before it counts, and against going on
// with a later run of its task.
func TestLaterRunIsStoppedAfterAnEarlierOneIsDone(t *testing.T) {
	for _, later := range []workload.WorkerID{"w", "spare"} {
		t.Run("later run on "+string(later), func(t *testing.T) {
			task := workload.TaskID{Job: "j"}
			b := newTestbed(t, registerWorker("w", 1), registerWorker("spare", 1), submitJob("j", oneTask))
			b.tick(0)
			b.answerHolds(dispatch.HoldReport{Boot: 1})
			assign := func(w workload.WorkerID) {
				b.apply(workload.Command{Decide: &workload.Decide{Assigns: []workload.Assign{{Step: task.StepID(), Members: []workload.TaskAssignment{{Worker: w, Boot: 1}}}}}})
			}
			assign("w")
			b.apply(workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{{Worker: "w", Boot: 1, Task: task, Run: 1, How: workload.EndNeverStarted}}}})
			assign(later)
			for _, start := range b.tick(time.Millisecond).Starts {
				b.core.StartAnswered(b.now, start, dispatch.OutcomeOK, 0)
			}
			for _, h := range b.openHolds {
				report := dispatch.HoldReport{Boot: 1, Clock: 2000}
				if h.Worker == "w" {
					report.Ends = []dispatch.ListedEnd{{Number: 1, Task: task, Run: 1, Result: workload.EndDone}}
				}
				b.core.HoldAnswered(b.now, h.Call, report)
			}
			b.openHolds = nil
			e := b.tick(replanDelay)
			for _, h := range e.Holds {
				if h.AckedEnd != 0 {
					t.Errorf("end %d is acknowledged before it is committed", h.AckedEnd)
				}
			}
			stopped := false
			for range 3 {
				e = b.commit(e)
				for _, stop := range e.Stops {
					stopped = stopped || stop.Worker == later && stop.Run == 2
				}
			}
			if !stopped {
				t.Error("run 2 is not stopped after run 1 was done")
			}
		})
	}
}
