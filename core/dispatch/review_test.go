package dispatch_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// rebornWorker is the worker "w", whose boot 1 crashes. Its boot 2 gets late calls for boot 1 only.
type rebornWorker struct {
	*fakeWorker
	b         *testbed
	crashAt   time.Duration
	startLate time.Duration // delay of the first start, which gets no answer
	resets    bool          // the hold in flight is reset at the crash instead of timing out
	ticketTTL time.Duration
	started   bool
	late      []lateCall
	answers   []lateCall
}

type lateCall struct {
	sentAt, at time.Duration
	do         func()
}

func newRebornWorker(b *testbed, crashAt, startLate time.Duration) *rebornWorker {
	return &rebornWorker{fakeWorker: &fakeWorker{id: "w", clockRate: 0.98}, b: b, crashAt: crashAt, startLate: startLate, ticketTTL: time.Second}
}

func (w *rebornWorker) now() time.Duration { return w.b.now.Sub(epoch) }

// answer returns an answer to the core, with a delay if boot 1 has crashed.
func (w *rebornWorker) answer(timeout time.Duration, live, lost func()) {
	if w.now() < w.crashAt {
		live()
		return
	}
	w.answers = append(w.answers, lateCall{at: w.now() + timeout, do: lost})
}

// advance carries out the late calls that are due. A hold arrives just before the lease expires or
// maxCallDelay late.
func (w *rebornWorker) advance() {
	if w.now() >= w.crashAt && w.boot == 0 {
		w.startBoot(2, w.now())
	}
	kept := w.answers[:0]
	for _, a := range w.answers {
		if a.at <= w.now() {
			a.do()
		} else {
			kept = append(kept, a)
		}
	}
	w.answers = kept
	for id := range w.runs {
		for len(w.late) > 0 && (w.leaseUntil-w.clock(w.now()) < 100 || w.now()-w.late[0].sentAt >= maxCallDelay) {
			w.late[0].do()
			w.late = w.late[1:]
		}
		if w.leaseUntil <= w.clock(w.now()) {
			w.endRun(id, workload.EndLeaseExpired)
		}
	}
}

func (w *rebornWorker) handle(e dispatch.Effects) {
	const formerClock = 1_000_000
	core := w.b.core
	for _, s := range e.Starts {
		unanswered := func() { core.StartAnswered(w.b.now, s, dispatch.OutcomeNoAnswer, 0) }
		if w.started {
			w.answer(s.Timeout, func() { core.StartAnswered(w.b.now, s, dispatch.OutcomeUnhealthy, 0) }, unanswered)
			continue
		}
		w.started = true
		w.answers = append(w.answers, lateCall{at: w.now() + s.Timeout, do: unanswered},
			lateCall{at: w.now() + w.startLate, do: func() { w.start(s, workload.Resources{}, w.now()) }})
	}
	for _, s := range e.Stops {
		w.answer(s.Timeout, func() { core.StopAnswered(w.b.now, s, dispatch.OutcomeOK, 0) },
			func() { core.StopAnswered(w.b.now, s, dispatch.OutcomeNoAnswer, 0) })
	}
	for _, h := range e.Holds {
		timeout := h.Timeout
		if w.resets && len(w.late) == 0 {
			timeout = 0
		}
		w.answer(timeout,
			func() {
				core.HoldAnswered(w.b.now, h.Call, dispatch.HoldReport{Boot: 1, Clock: formerClock + w.now().Milliseconds()})
			},
			func() { core.HoldAnswered(w.b.now, h.Call, dispatch.HoldReport{Outcome: dispatch.OutcomeNoAnswer}) })
		if w.now() >= w.crashAt && h.LeaseUntil > 0 {
			w.late = append(w.late, lateCall{sentAt: w.now(), do: func() { w.hold(h, w.now()) }})
		}
	}
}

// grantAll answers advice calls with a ticket for each worker that they name.
func (b *testbed) grantAll(e dispatch.Effects, validity time.Duration) {
	for _, a := range e.Advice {
		tickets := map[workload.WorkerID]string{}
		for _, id := range a.Workers {
			tickets[id] = "ticket"
		}
		b.core.AdviceAnswered(b.now, a.ID, dispatch.Grant{OK: true, TicketTTL: validity, Tickets: tickets})
	}
}

// runUntilOverlap runs the core until a task starts on "spare" while "w" runs it.
func (w *rebornWorker) runUntilOverlap(registerSpareAt time.Duration) {
	w.b.t.Helper()
	registered, active := false, false
	for w.now() < 40*time.Second {
		if w.now() >= registerSpareAt && !registered {
			registered = true
			w.b.apply(registerWorker("spare", 1))
		}
		e := w.b.tick(10 * time.Millisecond)
		w.advance()
		w.b.grantAll(e, w.ticketTTL)
		toReborn := dispatch.Effects{Proposals: e.Proposals}
		for _, s := range e.Starts {
			if s.Worker == "w" {
				toReborn.Starts = append(toReborn.Starts, s)
				continue
			}
			for id, r := range w.runs {
				w.b.t.Fatalf("%v run %d starts on %s at %v while boot 2 of w runs %v run %d, started at %v, lease until %v",
					s.Task, s.Run, s.Worker, w.now(), id, r.number, r.startedAt, w.now()+time.Duration(w.leaseUntil-w.clock(w.now()))*time.Millisecond)
			}
			w.b.core.StartAnswered(w.b.now, s, dispatch.OutcomeOK, 0)
			if !active {
				w.b.t.Fatalf("%v starts on %s at %v before the late start on w", s.Task, s.Worker, w.now())
			}
			return
		}
		for _, s := range e.Stops {
			if s.Worker == "w" {
				toReborn.Stops = append(toReborn.Stops, s)
			}
		}
		for _, h := range w.b.openHolds {
			if h.Worker == "w" {
				toReborn.Holds = append(toReborn.Holds, h)
				continue
			}
			w.b.core.HoldAnswered(w.b.now, h.Call, dispatch.HoldReport{Boot: h.Boot, Clock: w.now().Milliseconds()})
		}
		w.b.openHolds = nil
		w.handle(toReborn)
		for _, p := range e.Proposals {
			w.b.core.Apply(w.b.now, w.b.now, 0, p.Command)
			w.b.core.ProposalCommitted(w.b.now, p.ID)
		}
		w.advance()
		active = active || len(w.runs) > 0
	}
	w.b.t.Fatal("the task was not placed on spare")
}

// Late holds need no ticket. They extend the lease of an advised run on a boot that nobody has noticed.
func TestAdvisedTaskWaitsForALeaseExtendedByLateHolds(t *testing.T) {
	b := newTestbed(t, configureQueues(advisedQueue("a", 0, time.Millisecond)), registerWorker("w", 1), submitJobTo("a", "j", oneTask))
	newRebornWorker(b, 20*time.Millisecond, 0).runUntilOverlap(500 * time.Millisecond)
}

// A later configuration may raise the validity of tickets. The job keeps the queue of its submission.
func TestAdvisedTaskWaitsForTheValidityThatItsTicketWasGranted(t *testing.T) {
	b := newTestbed(t, configureQueues(advisedQueue("a", 0, time.Millisecond)), registerWorker("w", 1), submitJobTo("a", "j", oneTask))
	w := newRebornWorker(b, 20*time.Millisecond, 9*time.Second)
	w.ticketTTL = 10 * time.Second
	w.runUntilOverlap(500 * time.Millisecond)
}

// The end of a boot without open runs is never proposed, but its last holds may extend a late run.
func TestTaskWaitsForALateRunOfAnIdleBootThatWasHeld(t *testing.T) {
	b := newTestbed(t, registerWorker("w", 1), submitJob("j", oneTask))
	w := newRebornWorker(b, 2*time.Second, 11900*time.Millisecond)
	w.resets = true
	w.runUntilOverlap(3 * time.Second)
}

// The former leader may have extended the lease of an unnoticed boot after it closed the run.
func TestNewLeaderWaitsForALeaseThatTheFormerOneExtended(t *testing.T) {
	const closedBefore, heldBefore = 10 * time.Second, 600 * time.Millisecond
	task := workload.TaskID{Job: "j"}
	commands := append(openedRun(), workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{{
		Worker: "w", Boot: 1, Task: task, Run: 1, How: workload.EndNeverStarted,
	}}}}, registerWorker("spare", 1))
	state := workload.New()
	state.Apply(epoch, 0, workload.Command{Configure: &workload.Config{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "shop", MaxAttempts: 3}}}})
	for _, c := range commands {
		state.Apply(epoch, 0, c)
	}
	state.Expire(closedBefore, closedBefore)
	b := &testbed{t: t, now: epoch}
	b.core = dispatch.New(dispatch.Options{Term: 2, Lease: workerLease, MaxLease: maxWorkerLease, HoldWait: time.Second, ClockLagPPM: 20_000}, state, b.now)
	if after := b.timeToNextRun(task, unreachable); after < maxCallDelay+maxWorkerLease-heldBefore {
		t.Errorf("placed elsewhere %v after the election; a hold of %v before it may extend a late run until %v", after, heldBefore, maxCallDelay+maxWorkerLease-heldBefore)
	}
}

// The time of day, and with it born, may have been set back between two boots of a worker.
func TestAnswerOfABootThatIsBornBeforeTheFormerOneIsNotTakenForIt(t *testing.T) {
	b := newTestbed(t, registerWorker("w", 5), submitJob("j", oneTask))
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{Boot: 5})
	starts := b.commit(b.tick(replanDelay)).Starts
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeNoAnswer, 0)
	b.apply(registerWorker("spare", 1))
	listed := []dispatch.ActiveRun{{Task: starts[0].Task, Run: 1}}
	b.runFor(2*time.Second, workerStub{hold: func(dispatch.Hold) dispatch.HoldReport {
		return dispatch.HoldReport{Boot: 5, Active: listed, Ends: []dispatch.ListedEnd{{Number: 9, Task: workload.TaskID{Job: "k"}, Run: 1, Result: workload.EndDone}}}
	}})
	// Boot 4 has carried out the first start late. The end is number 1 there.
	reborn, forgotten, restarted := b.now, false, false
	b.runFor(3*time.Second, workerStub{
		hold: func(h dispatch.Hold) dispatch.HoldReport {
			report := dispatch.HoldReport{Boot: 4, Clock: 50 + b.now.Sub(reborn).Milliseconds()}
			forgotten = forgotten || h.AckedEnd >= 1
			if !forgotten {
				report.Ends = []dispatch.ListedEnd{{Number: 1, Task: starts[0].Task, Run: 1, Result: workload.EndDone}}
			}
			return report
		},
		observe: func(e dispatch.Effects) { restarted = restarted || len(startsOf(e, starts[0].Task, 1)) > 0 },
	})
	if restarted || forgotten {
		t.Errorf("boot 4 counts as boot 5: task started again %v, done end forgotten %v", restarted, forgotten)
	}
}

// A start that can no longer be carried out, and that a boot refused until then, must not hold its task
// back again when that boot ends.
func TestTaskDoesNotWaitAgainForAStartThatCanNoLongerBeCarriedOut(t *testing.T) {
	const cutAt = 14 * time.Second
	b := newTestbed(t, registerWorker("w", 1), submitJob("k", oneTask), submitJob("j", oneTask))
	lost, k, placedAt := false, workload.TaskID{Job: "k"}, time.Duration(0)
	var active []dispatch.ActiveRun
	stub := workerStub{
		hold: func(dispatch.Hold) dispatch.HoldReport {
			if b.now.Sub(epoch) >= cutAt {
				return dispatch.HoldReport{Outcome: dispatch.OutcomeNotSent}
			}
			return dispatch.HoldReport{Boot: 1, Active: active}
		},
		start: func(s dispatch.Start) dispatch.Outcome {
			switch {
			case s.Task == k:
				active = []dispatch.ActiveRun{{Task: k, Run: 1}}
				return dispatch.OutcomeOK
			case !lost:
				lost = true
				return dispatch.OutcomeNoAnswer
			}
			return dispatch.OutcomeUnhealthy
		},
		observe: func(e dispatch.Effects) {
			for _, s := range e.Starts {
				if s.Worker == "spare" && s.Task.Job == "j" && placedAt == 0 {
					placedAt = b.now.Sub(epoch)
				}
			}
		},
	}
	b.runFor(cutAt+time.Second, stub)
	b.apply(registerWorker("spare", 1))
	b.runFor(25*time.Second, stub)
	if latest := maxCallDelay + maxWorkerLease + 2*time.Second; placedAt > latest || placedAt == 0 {
		t.Errorf("placed at %v, want %v at the latest: no call may start the task after %v", placedAt, latest, maxCallDelay)
	}
}

// A later boot that nobody has noticed has carried out a start whose answer was lost, and its run was done
// at once as end 1. An acknowledgement for the former boot must not let it forget that end.
func TestNoAcknowledgementWhileAStartIsUnanswered(t *testing.T) {
	b, starts := startTasks(t, workload.StepSpec{Tasks: 2, Size: workload.Resources{MilliCPU: 1000}})
	b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 1100)
	b.answerHolds(dispatch.HoldReport{Boot: 1, Ends: []dispatch.ListedEnd{{Number: 5, Task: starts[0].Task, Run: 1, Result: workload.EndDone}}})
	b.core.StartAnswered(b.now, starts[1], dispatch.OutcomeNoAnswer, 0)
	forgotten := false
	b.runFor(2*time.Second, workerStub{
		hold: func(h dispatch.Hold) dispatch.HoldReport {
			forgotten = forgotten || h.AckedEnd >= 1
			if forgotten {
				return dispatch.HoldReport{Outcome: dispatch.OutcomeNoAnswer}
			}
			return dispatch.HoldReport{Boot: 2, Ends: []dispatch.ListedEnd{{Number: 1, Task: starts[1].Task, Run: 1, Result: workload.EndDone}}}
		},
		start: func(dispatch.Start) dispatch.Outcome { return dispatch.OutcomeRunClosed },
	})
	if forgotten {
		t.Error("the hold that acknowledges end 5 of boot 1 lets boot 2 forget end 1, which is that of an unanswered start")
	}
}
