package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// maxLease is the longest lease that a worker accepts (maxHold).
const maxLease = maxHold * time.Millisecond

// script is how the worker "w" answers; the others answer soundly.
type script struct {
	hold  func(h dispatch.Hold) dispatch.Report
	start func(s dispatch.Start) dispatch.Outcome
	stop  func(s dispatch.Stop) dispatch.Outcome
	// seen is called with all that the core sends.
	seen func(e dispatch.Effects)
}

func notSentHold(dispatch.Hold) dispatch.Report {
	return dispatch.Report{Outcome: dispatch.OutcomeNotSent}
}

// playFor plays for a time in steps of 10 ms. Proposals are committed at once.
func (b *bench) playFor(d time.Duration, w script) {
	for ends := b.now.Add(d); b.now.Before(ends); {
		e := b.pass(10 * time.Millisecond)
		b.carryOut(e, w)
	}
}

func (b *bench) carryOut(e dispatch.Effects, w script) {
	if w.seen != nil {
		w.seen(e)
	}
	clock := b.now.Sub(epoch).Milliseconds() + 1000
	for _, p := range e.Proposals {
		b.core.Applied(b.now, b.now, 0, p.Command)
		b.core.ProposalDone(b.now, p.ID)
	}
	for _, s := range e.Starts {
		outcome := dispatch.OutcomeOK
		if s.Worker == "w" && w.start != nil {
			outcome = w.start(s)
		}
		b.core.StartAnswered(b.now, s, outcome, 0)
	}
	for _, s := range e.Stops {
		outcome := dispatch.OutcomeOK
		if s.Worker == "w" && w.stop != nil {
			outcome = w.stop(s)
		}
		b.core.StopAnswered(b.now, s, outcome, 0)
	}
	open := b.open
	b.open = nil
	for _, h := range open {
		report := dispatch.Report{Boot: h.Boot}
		if h.Worker == "w" {
			report = w.hold(h)
		}
		if report.Clock == 0 && report.Outcome == dispatch.OutcomeOK {
			report.Clock = clock
		}
		b.core.HoldAnswered(b.now, h.Call, report)
	}
}

// startsOf returns the starts of a task with a run above a number.
func startsOf(e dispatch.Effects, task workload.TaskID, above workload.RunNumber) []dispatch.Start {
	var found []dispatch.Start
	for _, s := range e.Starts {
		if s.Task == task && s.Run > above {
			found = append(found, s)
		}
	}
	return found
}

// Guards against a task that is placed elsewhere while the later boot of its first worker lists the earlier run as active: the wait ends by time alone (TWICE).
func TestTaskWaitsWhileItsEarlierRunIsListed(t *testing.T) {
	b, task := lostStart(t, dispatch.OutcomeNoAnswer)
	begun := b.now
	b.apply(workerOf("w", 2))
	b.playFor(2*lateLimit, script{
		hold: func(dispatch.Hold) dispatch.Report {
			return dispatch.Report{Boot: 2, Active: []dispatch.ActiveRun{{Task: task, Run: 1}}}
		},
		stop: func(dispatch.Stop) dispatch.Outcome { return dispatch.OutcomeNoAnswer },
		seen: func(e dispatch.Effects) {
			for _, s := range startsOf(e, task, 1) {
				t.Fatalf("run %d starts on %s after %v while run 1 is listed", s.Run, s.Worker, b.now.Sub(begun))
			}
		},
	})
}

// Guards against a task that is placed elsewhere once its lost start can no longer begin it, while a later boot that took it at the last moment still has the lease that came with it (TWICE).
func TestTaskWaitsForTheLeaseOfALateRun(t *testing.T) {
	b, task := lostStart(t, dispatch.OutcomeNoAnswer)
	begun, after := b.now, lateLimit*2
	placed := false
	b.playFor(after, script{
		hold: notSentHold,
		stop: func(dispatch.Stop) dispatch.Outcome { return dispatch.OutcomeNotSent },
		seen: func(e dispatch.Effects) {
			if len(startsOf(e, task, 1)) > 0 && !placed {
				placed, after = true, b.now.Sub(begun)
			}
		},
	})
	if after < lateLimit+maxLease {
		t.Errorf("placed elsewhere after %v; the start may begin it until %v, and it then runs for %v", after, lateLimit, maxLease)
	}
}

// Guards against a task that starts again after its end as done was taken note of: a later boot has carried out a start for the former one and lists its end (TWICE).
func TestDoneEndOfALateRunIsNotPassedOver(t *testing.T) {
	for name, outcome := range map[string]dispatch.Outcome{
		"start without an answer":          dispatch.OutcomeNoAnswer,
		"start answered by the later boot": dispatch.OutcomeOK,
	} {
		b, task := lostStart(t, outcome)
		b.apply(workerOf("w", 2))
		for i := range 8 {
			b.apply(jobOf(workload.JobID(fmt.Sprint("k", i)), oneTask))
		}
		noted, again := false, false
		ends := []dispatch.ListedEnd{{Number: 1, Task: task, Run: 1, How: workload.EndDone}}
		b.playFor(2*lateLimit, script{
			hold: func(h dispatch.Hold) dispatch.Report {
				report := dispatch.Report{Boot: 2}
				for _, end := range ends {
					if h.Boot == 2 && end.Number > h.Seen {
						report.Ends = append(report.Ends, end)
					}
				}
				return report
			},
			// Whatever else starts there ends as done: its end is taken note of,
			// and with it the earlier one.
			start: func(s dispatch.Start) dispatch.Outcome {
				ends = append(ends, dispatch.ListedEnd{Number: uint64(len(ends) + 1), Task: s.Task, Run: s.Run, How: workload.EndDone})
				return dispatch.OutcomeOK
			},
			seen: func(e dispatch.Effects) {
				for _, h := range e.Holds {
					noted = noted || h.Worker == "w" && h.Boot == 2 && h.Seen >= 1
				}
				again = again || len(startsOf(e, task, 1)) > 0
			},
		})
		if noted && again {
			t.Errorf("%s: the end is taken note of, and the task starts again", name)
		}
	}
}

// Guards against a proposal to end a boot with each commit for as long as a lost start may still be carried out.
func TestBootOfASilentWorkerIsEndedOnce(t *testing.T) {
	b, _ := lostStart(t, dispatch.OutcomeNoAnswer)
	ends := 0
	b.playFor(2*lateLimit, script{
		hold: notSentHold,
		stop: func(dispatch.Stop) dispatch.Outcome { return dispatch.OutcomeNotSent },
		seen: func(e dispatch.Effects) {
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

// movedTwice is a task whose run 1 got no answer on "w" and was refused there,
// whose run 2 has failed on "spare", while "w" has started again.
func movedTwice() []workload.Command {
	task := workload.TaskID{Job: "j"}
	decide := func(ends []workload.EndedRun, worker workload.WorkerID) workload.Command {
		d := &workload.Decide{Ends: ends}
		if worker != "" {
			d.Assigns = []workload.Assign{{Step: workload.StepID{Job: "j"}, Members: []workload.TaskAssignment{{Worker: worker, Boot: 1}}}}
		}
		return workload.Command{Decide: d}
	}
	return []workload.Command{
		workerOf("w", 1), workerOf("spare", 1), jobOf("j", oneTask),
		decide(nil, "w"),
		decide([]workload.EndedRun{{Worker: "w", Boot: 1, Task: task, Run: 1, How: workload.EndNeverStarted}}, "spare"),
		workerOf("w", 2),
		decide([]workload.EndedRun{{Worker: "spare", Boot: 1, Task: task, Run: 2, How: workload.EndFailed}}, ""),
	}
}

// Guards against a new leader that knows only of the last worker of a task: an earlier one, which has started again since and has seen no token, may still begin a start of the former leader (TWICE).
func TestNewLeaderWaitsForLostStartsOfEarlierRuns(t *testing.T) {
	b := newBench(t, movedTwice()...)
	task := workload.TaskID{Job: "j"}
	b.playFor(lateLimit, script{
		hold: notSentHold,
		stop: func(dispatch.Stop) dispatch.Outcome { return dispatch.OutcomeNotSent },
		seen: func(e dispatch.Effects) {
			for _, s := range startsOf(e, task, 2) {
				t.Fatalf("run %d starts on %s %v after the election; boot 2 of w has not answered this leader", s.Run, s.Worker, b.now.Sub(epoch))
			}
		},
	})
}

// Guards against a start that leaves although an earlier run of its task was found while the assignment was on its way to the log (TWICE).
func TestNoStartOnceAnEarlierRunIsFound(t *testing.T) {
	b := newBench(t, movedTwice()...)
	task := workload.TaskID{Job: "j"}
	listing := script{
		hold: func(h dispatch.Hold) dispatch.Report {
			return dispatch.Report{Boot: h.Boot, Active: []dispatch.ActiveRun{{Task: task, Run: 1}}}
		},
		stop: func(dispatch.Stop) dispatch.Outcome { return dispatch.OutcomeNoAnswer },
	}
	// Only "spare" answers until the task is placed there.
	var waiting []dispatch.Hold
	e := dispatch.Effects{}
	for range 50 {
		e = b.pass(10 * time.Millisecond)
		if len(e.Proposals) > 0 {
			break
		}
		for _, s := range e.Stops {
			if s.Worker == "spare" {
				b.core.StopAnswered(b.now, s, dispatch.OutcomeOK, 0)
			}
		}
		open := b.open
		b.open = nil
		for _, h := range open {
			if h.Worker == "w" {
				waiting = append(waiting, h)
				continue
			}
			b.core.HoldAnswered(b.now, h.Call, dispatch.Report{Boot: h.Boot, Clock: b.now.Sub(epoch).Milliseconds() + 1000})
		}
	}
	if len(e.Proposals) != 1 {
		// Held back before the answer of w: nothing can leave too early.
		return
	}
	b.open = append(b.open, waiting...)
	// w answers while the assignment is on its way.
	b.carryOut(dispatch.Effects{}, listing)
	listing.seen = func(e dispatch.Effects) {
		for _, s := range startsOf(e, task, 2) {
			t.Fatalf("run %d starts on %s while w lists run 1", s.Run, s.Worker)
		}
	}
	b.carryOut(e, listing)
	b.playFor(time.Second, listing)
}

// Guards against a task that is placed elsewhere once a later boot has refused the later one of two lost starts, while it lists the run of the earlier one (TWICE).
func TestTaskWaitsForAnEarlierOfTwoLateRuns(t *testing.T) {
	b, starts := placed(t, oneTask)
	task := starts[0].Task
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeNoAnswer, 1100)
	// The other tries of run 1 get no answer either; the boot refuses run 1, and
	// run 2 is placed there and gets no answer.
	second := false
	b.playFor(5*time.Second, script{
		hold: func(dispatch.Hold) dispatch.Report { return dispatch.Report{Boot: 1} },
		start: func(s dispatch.Start) dispatch.Outcome {
			second = second || s.Run == 2
			return dispatch.OutcomeNoAnswer
		},
	})
	if !second {
		t.Fatal("run 2 was not started on w")
	}
	b.apply(workerOf("spare", 1))
	b.apply(workerOf("w", 2))
	last := b.now
	b.playFor(3*time.Second, script{
		hold: func(h dispatch.Hold) dispatch.Report {
			last = b.now
			return dispatch.Report{Boot: 2, Active: []dispatch.ActiveRun{{Task: task, Run: 1}}}
		},
		stop: func(s dispatch.Stop) dispatch.Outcome {
			if s.Run == 1 {
				return dispatch.OutcomeNoAnswer
			}
			return dispatch.OutcomeOK
		},
		seen: func(e dispatch.Effects) {
			for _, s := range startsOf(e, task, 2) {
				t.Fatalf("run %d starts on %s; w listed run 1 %v ago", s.Run, s.Worker, b.now.Sub(last))
			}
		},
	})
}

// Guards against a run that a later boot has taken under the lease of the former one, which it counts by its own clock: a boot that is given up by the former clock may still run it (TWICE). The answer shows a clock that went back.
func TestRunOnAnUnnoticedBootOutlastsTheLeaseOfTheFormerOne(t *testing.T) {
	b, starts := placed(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 50)
	b.apply(workerOf("spare", 1))
	if after := b.untilNextRun(starts[0].Task, unreachable); after < maxLease {
		t.Errorf("placed elsewhere after %v; the later boot has shortened the lease to %v", after, maxLease)
	}
}

// Guards against a job that counts as begun though its only start was lost with the boot: it waits for 13 s, and its queue lists no job that waits (MIXED).
func TestJobWhoseStartWasLostWithItsBootIsPending(t *testing.T) {
	b, task := lostStart(t, dispatch.OutcomeNoAnswer)
	replica := workload.New()
	apply := func(c workload.Command) { replica.Apply(b.now, 0, c) }
	apply(workload.Command{Configure: &workload.Config{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "shop", MaxAttempts: 3}}}})
	for _, c := range opened() {
		apply(c)
	}
	ended, wrong, begun := time.Time{}, time.Duration(0), false
	b.playFor(2*lateLimit, script{
		hold:  notSentHold,
		start: func(dispatch.Start) dispatch.Outcome { return dispatch.OutcomeNotSent },
		stop:  func(dispatch.Stop) dispatch.Outcome { return dispatch.OutcomeNotSent },
		seen: func(e dispatch.Effects) {
			for _, p := range e.Proposals {
				apply(p.Command)
				if p.Command.EndBoot != nil && ended.IsZero() {
					ended = b.now
				}
			}
			begun = begun || len(startsOf(e, task, 1)) > 0
			if !ended.IsZero() && !begun && replica.PendingJobs("q") != 1 {
				wrong = b.now.Sub(ended)
			}
		},
	})
	if wrong > 0 {
		t.Errorf("the job has not begun, and its queue lists no job that waits for %v", wrong)
	}
}

// Guards against a new leader that tells every worker to stop every task that has ended there: the answer to its first hold refuses earlier orders already.
func TestNewLeaderDoesNotStopWhatHasEnded(t *testing.T) {
	const tasks = 200
	commands := []workload.Command{workerOf("w", 1)}
	for i := range tasks {
		id := workload.JobID(fmt.Sprint("j", i))
		// The second step keeps the job alive.
		commands = append(commands, workload.Command{Submit: &workload.Submit{ID: id, Spec: workload.JobSpec{Queue: "q", Steps: []workload.StepSpec{
			oneTask, {Tasks: 1, Size: workload.Resources{MilliCPU: 9000}, DependsOn: []int{0}},
		}}}})
		commands = append(commands, workload.Command{Decide: &workload.Decide{Assigns: []workload.Assign{{
			Step: workload.StepID{Job: id}, Members: []workload.TaskAssignment{{Worker: "w", Boot: 1}},
		}}}}, workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{{
			Worker: "w", Boot: 1, Task: workload.TaskID{Job: id}, Run: 1, How: workload.EndDone,
		}}}})
	}
	b := newBench(t, commands...)
	stops := 0
	b.playFor(time.Second, script{
		hold: func(h dispatch.Hold) dispatch.Report { return dispatch.Report{Boot: 1} },
		seen: func(e dispatch.Effects) { stops += len(e.Stops) },
	})
	if stops > tasks/10 {
		t.Errorf("%d stops to a worker that runs nothing and has answered this leader", stops)
	}
}

// Guards against room that is lost for the life of a boot: a run that the state had closed has room reserved, and the next run of its task, placed on the same worker, takes its place.
func TestRoomOfAClosedRunIsGivenBack(t *testing.T) {
	b, starts := placed(t, oneTask)
	task := starts[0].Task
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeNoAnswer, 1100)
	b.apply(workerOf("w", 2))
	listing := func(numbers ...dispatch.ActiveRun) script {
		return script{
			hold: func(dispatch.Hold) dispatch.Report { return dispatch.Report{Boot: 2, Active: numbers} },
			stop: func(dispatch.Stop) dispatch.Outcome { return dispatch.OutcomeNoAnswer },
		}
	}
	first := dispatch.ActiveRun{Task: task, Run: 1}
	b.playFor(time.Second, listing())
	// What was sent to the former boot begins while the stops get lost.
	closed := listing(first)
	closed.seen = func(e dispatch.Effects) {
		for _, s := range startsOf(e, task, 1) {
			t.Logf("run %d starts on %s, which lists run 1", s.Run, s.Worker)
		}
	}
	b.playFor(lateLimit+2*time.Second, closed)
	// The worker has ended it, and takes stops again.
	sound := listing()
	sound.stop = nil
	sound.start = func(dispatch.Start) dispatch.Outcome { return dispatch.OutcomeNotSent }
	b.playFor(5*time.Second, sound)
	b.apply(cancelOf("j"))
	b.playFor(5*time.Second, sound)
	if left := b.core.Reserved(); len(left) > 0 {
		t.Errorf("reserved with nothing running and nothing proposed: %v", left)
	}
}

func cancelOf(id workload.JobID) workload.Command {
	return workload.Command{Cancel: &workload.Cancel{ID: id}}
}

// Guards against ends of a later boot that a late hold for the former one makes it forget: the number of the last end that it names is that of the former boot. A run that was done counts as lost, and its task starts again (TWICE).
func TestLateHoldOfAFormerBootForgetsEnds(t *testing.T) {
	b := newBench(t, workerOf("w", 1))
	w := &fakeWorker{id: "w", capacity: workload.Resources{MilliCPU: 4000}, rate: 1}
	w.reset(1, 0)
	at := func() time.Duration { return b.now.Sub(epoch) }
	task := workload.TaskID{Job: "j"}
	noted := false
	hold := func(h dispatch.Hold) dispatch.Report {
		for _, end := range w.ends {
			noted = noted || end.Task == task && end.How == workload.EndDone && end.Number <= h.Seen
		}
		report := w.hold(h, at())
		report.Clock++
		return report
	}
	behave := script{
		hold:  hold,
		start: func(s dispatch.Start) dispatch.Outcome { o, _ := w.start(s, oneTask.Size, at()); return o },
		stop:  func(s dispatch.Stop) dispatch.Outcome { return w.stop(s) },
	}
	// Boot 1 has ended a run, and its end is taken note of.
	b.apply(jobOf("first", oneTask))
	b.playFor(100*time.Millisecond, behave)
	w.end(workload.TaskID{Job: "first"}, workload.EndDone)
	b.playFor(100*time.Millisecond, behave)
	b.pass(10 * time.Millisecond)
	if len(b.open) != 1 || b.open[0].Seen != 1 {
		t.Fatalf("holds %+v, want one that has seen end 1", b.open)
	}
	late := b.open[0]
	b.open = nil
	b.core.HoldAnswered(b.now, late.Call, dispatch.Report{Outcome: dispatch.OutcomeNoAnswer})
	// Boot 2 runs the task to its end. The late hold comes before the next one.
	w.reset(2, at())
	b.apply(workerOf("w", 2))
	b.apply(jobOf("j", oneTask))
	again := false
	behave.seen = func(e dispatch.Effects) { again = again || noted && len(startsOf(e, task, 1)) > 0 }
	b.playFor(200*time.Millisecond, behave)
	if w.runs[task] == nil {
		t.Fatal("not started on boot 2")
	}
	w.end(task, workload.EndDone)
	hold(late)
	b.playFor(time.Second, behave)
	if again {
		t.Error("the task starts again after its end as done was taken note of")
	}
}

// backAfterACut returns a bench on which the start of a task got no answer, its
// worker was silent until its lease was over, and is about to answer again.
func backAfterACut(t *testing.T, step workload.StepSpec) (*bench, workload.TaskID) {
	b, starts := placed(t, step)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeNoAnswer, 0)
	ended := false
	b.playFor(6*time.Second, script{
		hold:  notSentHold,
		start: func(dispatch.Start) dispatch.Outcome { return dispatch.OutcomeNotSent },
		stop:  func(dispatch.Stop) dispatch.Outcome { return dispatch.OutcomeNotSent },
		seen: func(e dispatch.Effects) {
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

// Guards against a worker that gets more than it has room for when it is back after its lease was over: a start that was lost before, and that it rejects to refuse, may still begin there (LIMIT).
func TestRoomIsKeptForALateStartOfTheSameBoot(t *testing.T) {
	whole := workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 4000}}
	b, task := backAfterACut(t, whole)
	b.apply(jobOf("k", whole))
	b.playFor(2*time.Second, script{
		hold: func(dispatch.Hold) dispatch.Report { return dispatch.Report{Boot: 1} },
		stop: func(dispatch.Stop) dispatch.Outcome { return dispatch.OutcomeUnhealthy },
		seen: func(e dispatch.Effects) {
			for _, s := range e.Starts {
				if s.Task != task {
					t.Fatalf("%v starts on a worker that may still begin %v, which needs all of its room", s.Task, task)
				}
			}
		},
	})
}

// Guards against a task that starts again after its end as done was taken note of: a worker that is back after its lease was over carries out the lost start, ends the run as done before it takes the stop, and has its ends noted (TWICE).
func TestDoneEndOfALateRunOfTheSameBootIsNotPassedOver(t *testing.T) {
	b, task := backAfterACut(t, oneTask)
	b.apply(workerOf("spare", 1))
	for i := range 8 {
		b.apply(jobOf(workload.JobID(fmt.Sprint("k", i)), oneTask))
	}
	noted, again := false, false
	ends := []dispatch.ListedEnd{{Number: 1, Task: task, Run: 1, How: workload.EndDone}}
	b.playFor(5*time.Second, script{
		hold: func(h dispatch.Hold) dispatch.Report {
			report := dispatch.Report{Boot: 1}
			for _, end := range ends {
				if end.Number > h.Seen {
					report.Ends = append(report.Ends, end)
				}
			}
			return report
		},
		start: func(s dispatch.Start) dispatch.Outcome {
			ends = append(ends, dispatch.ListedEnd{Number: uint64(len(ends) + 1), Task: s.Task, Run: s.Run, How: workload.EndDone})
			return dispatch.OutcomeOK
		},
		stop: func(dispatch.Stop) dispatch.Outcome { return dispatch.OutcomeUnhealthy },
		seen: func(e dispatch.Effects) {
			for _, h := range e.Holds {
				noted = noted || h.Worker == "w" && h.Seen >= 1
			}
			again = again || len(startsOf(e, task, 1)) > 0
		},
	})
	if noted && again {
		t.Error("the end is taken note of, and the task starts again")
	}
}

// Guards against late calls for a former boot, or from before a lease was over, that a worker still takes: the token rises with each end of a boot (TWICE, LIMIT).
func TestTokenRisesWithEachEndOfABoot(t *testing.T) {
	b, starts := placed(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeNoAnswer, 1100)
	tokens := map[workload.Boot]uint64{1: starts[0].Token}
	ended := false
	note := func(boot workload.Boot) script {
		return script{
			hold: func(h dispatch.Hold) dispatch.Report {
				tokens[h.Boot] = h.Token
				return dispatch.Report{Outcome: dispatch.OutcomeNotSent}
			},
			start: func(dispatch.Start) dispatch.Outcome { return dispatch.OutcomeNotSent },
			stop:  func(dispatch.Stop) dispatch.Outcome { return dispatch.OutcomeNotSent },
			seen: func(e dispatch.Effects) {
				for _, p := range e.Proposals {
					ended = ended || p.Command.EndBoot != nil
				}
			},
		}
	}
	b.playFor(2*lease, note(1))
	if !ended || tokens[1] <= starts[0].Token {
		t.Fatalf("ended %v, token %d after the lease, %d before", ended, tokens[1], starts[0].Token)
	}
	b.apply(workerOf("w", 2))
	b.playFor(time.Second, note(2))
	if tokens[2] <= tokens[1] {
		t.Errorf("token %d for the later boot, %d before", tokens[2], tokens[1])
	}
}

// Guards against a leader that takes the rejection of its own earlier call for a later leader.
func TestRejectionOfAnEarlierTokenIsNoLaterLeader(t *testing.T) {
	b, _ := lostStart(t, dispatch.OutcomeNoAnswer)
	b.apply(workerOf("w", 2))
	b.pass(planned)
	var early dispatch.Hold
	for _, hold := range b.open {
		if hold.Worker == "w" && hold.Boot == 2 {
			early = hold
		}
	}
	b.core.Applied(b.now, b.now, 0, workload.Command{EndBoot: &workload.EndBoot{Worker: "w", Boot: 2}})
	b.core.HoldAnswered(b.now, early.Call, dispatch.Report{Outcome: dispatch.OutcomeFenced})
	if e := b.pass(planned); len(e.Holds) != 1 || e.Holds[0].Token <= early.Token {
		t.Errorf("holds %+v after the rejection of token %d, want one with a higher token", e.Holds, early.Token)
	}
}

// Guards against a leader that stops for good because a worker rejects a stop that its next calls have overtaken.
func TestRejectionOfAnOvertakenStopIsNoLaterLeader(t *testing.T) {
	b, starts := placed(t, oneTask)
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	b.apply(workload.Command{Cancel: &workload.Cancel{ID: "j"}})
	stops := b.pass(planned).Stops
	if len(stops) != 1 {
		t.Fatalf("stops %+v, want one", stops)
	}
	b.apply(workload.Command{EndBoot: &workload.EndBoot{Worker: "w", Boot: 1}})
	b.answerHolds(dispatch.Report{Active: []dispatch.ActiveRun{{Task: starts[0].Task, Run: 1}}})
	b.core.StopAnswered(b.now, stops[0], dispatch.OutcomeFenced, 0)
	if e := b.pass(planned); len(e.Stops) != 1 || e.Stops[0].Token <= stops[0].Token {
		t.Errorf("stops %+v after the rejection of token %d, want one with a higher token", e.Stops, stops[0].Token)
	}
}

// Guards against a task that each new leader holds back for 13 s of its own: where leaders change more often it is never placed.
func TestEmbargoDoesNotBeginAgainWithEachLeader(t *testing.T) {
	const term = 5 * time.Second
	state := workload.New()
	apply := func(retained time.Duration, c workload.Command) { state.Apply(epoch, retained, c) }
	apply(0, workload.Command{Configure: &workload.Config{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "shop", MaxAttempts: 3}}}})
	for _, c := range append(opened(), workerOf("spare", 1), workload.Command{EndBoot: &workload.EndBoot{Worker: "w", Boot: 1}}) {
		apply(0, c)
	}
	for elapsed := time.Duration(0); elapsed < 2*lateLimit; elapsed += term {
		apply(elapsed, workload.Command{Cancel: &workload.Cancel{ID: "none"}})
		restored, err := workload.Restore(state.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		b := &bench{t: t, now: epoch}
		b.core = dispatch.New(dispatch.Options{Token: 1, Lease: lease, HoldWait: time.Second, ClockLagPPM: 20_000, Self: "self"}, restored, b.now)
		placedAt := time.Duration(-1)
		b.playFor(term, script{
			hold: notSentHold,
			seen: func(e dispatch.Effects) {
				if len(startsOf(e, workload.TaskID{Job: "j"}, 1)) > 0 && placedAt < 0 {
					placedAt = elapsed + b.now.Sub(epoch)
				}
			},
		})
		if placedAt >= 0 {
			if placedAt < lateLimit {
				t.Errorf("placed %v after the end of its boot, within %v", placedAt, lateLimit)
			}
			return
		}
	}
	t.Errorf("not placed within %v, in terms of %v", 2*lateLimit, term)
}
