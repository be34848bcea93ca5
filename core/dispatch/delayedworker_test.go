package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// delayedWorker answers the calls to "w" with delays. Its behaviour changes with the time.
type delayedWorker struct {
	*fakeWorker
	b      *testbed
	queue  []lateCall
	starts func(s dispatch.Start)
	stops  func(s dispatch.Stop)
	holds  func(h dispatch.Hold)
}

func newDelayedWorker(b *testbed) *delayedWorker {
	w := &delayedWorker{fakeWorker: &fakeWorker{id: "w", clockRate: 0.98, clockBase: 1_000_000}, b: b}
	w.startBoot(1, 0)
	w.clockBase = 1_000_000
	w.starts = w.answerStart
	w.stops = func(s dispatch.Stop) {
		w.in(10*time.Millisecond, func() { w.b.core.StopAnswered(w.b.now, s, w.stop(s), w.clock(w.now())) })
	}
	w.holds = w.answerHold
	return w
}

func (w *delayedWorker) now() time.Duration { return w.b.now.Sub(epoch) }

func (w *delayedWorker) in(d time.Duration, do func()) {
	w.queue = append(w.queue, lateCall{at: w.now() + d, do: do})
}

// answerStart carries out a start and answers it after 10 ms.
func (w *delayedWorker) answerStart(s dispatch.Start) {
	w.in(10*time.Millisecond, func() {
		outcome, _ := w.start(s, workload.Resources{}, w.now())
		w.b.core.StartAnswered(w.b.now, s, outcome, w.clock(w.now()))
	})
}

// answerHold carries out a hold at once and answers it after the wait.
func (w *delayedWorker) answerHold(h dispatch.Hold) {
	report := w.hold(h, w.now())
	if report.Outcome != dispatch.OutcomeOK || len(report.Ends) > 0 {
		w.in(10*time.Millisecond, func() { w.b.core.HoldAnswered(w.b.now, h.Call, report) })
		return
	}
	boot := w.boot
	w.in(h.Wait+10*time.Millisecond, func() {
		if w.boot == boot {
			w.b.core.HoldAnswered(w.b.now, h.Call, w.report(w.now()))
		}
	})
}

// crashUnnoticed replaces the boot by a later one. Answers of the former boot are lost.
func (w *delayedWorker) crashUnnoticed(boot workload.Boot) {
	w.clockBase = 0
	w.startBoot(boot, w.now())
}

// step advances the time by 10 ms and returns the starts on other workers.
func (w *delayedWorker) step() (elsewhere []dispatch.Start) {
	e := w.b.tick(10 * time.Millisecond)
	due := w.queue
	w.queue = nil
	for _, call := range due {
		if call.at <= w.now() {
			call.do()
		} else {
			w.queue = append(w.queue, call)
		}
	}
	for id := range w.runs {
		if w.leaseUntil <= w.clock(w.now()) {
			w.endRun(id, workload.EndLeaseExpired)
		}
	}
	w.b.grantAll(e, time.Second)
	for _, s := range e.Starts {
		if s.Worker == "w" {
			w.starts(s)
		} else {
			elsewhere = append(elsewhere, s)
			w.b.core.StartAnswered(w.b.now, s, dispatch.OutcomeOK, 0)
		}
	}
	for _, s := range e.Stops {
		if s.Worker == "w" {
			w.stops(s)
		}
	}
	holds := w.b.openHolds
	w.b.openHolds = nil
	for _, h := range holds {
		if h.Worker == "w" {
			w.holds(h)
		} else {
			w.b.core.HoldAnswered(w.b.now, h.Call, dispatch.HoldReport{Boot: h.Boot, Clock: w.now().Milliseconds() + 1000})
		}
	}
	for _, p := range e.Proposals {
		w.b.core.Apply(w.b.now, w.b.now, 0, p.Command)
		w.b.core.ProposalCommitted(w.b.now, p.ID)
	}
	return elsewhere
}

// failIfActive fails the test if a start on another worker is of a task that is active on "w".
func (w *delayedWorker) failIfActive(elsewhere []dispatch.Start, task workload.TaskID) (placed bool) {
	for _, s := range elsewhere {
		if s.Task != task {
			continue
		}
		placed = true
		if r := w.runs[task]; r != nil {
			w.b.t.Fatalf("%v run %d starts on %s at %v while boot %d of w runs run %d, started at %v, lease for another %d ms",
				s.Task, s.Run, s.Worker, w.now(), w.boot, r.number, r.startedAt, w.leaseUntil-w.clock(w.now()))
		}
	}
	return placed
}

// A hold that is repeated after a lost one has a lease end if no start is in doubt. If a later boot answers
// it, the wait for a run that this boot has begun must cover the lease that the hold gave to it (platform
// rule TWICE).
func TestWaitCoversAHoldThatALaterBootHasAnswered(t *testing.T) {
	b := newTestbed(t, configureQueues(advisedQueue("a", 0, time.Millisecond)), registerWorker("w", 1))
	w := newDelayedWorker(b)
	task := workload.TaskID{Job: "j"}
	for w.now() < 500*time.Millisecond {
		w.step()
	}
	crashed, lateHold := false, false
	w.holds = func(h dispatch.Hold) {
		switch {
		case !crashed:
			// The worker crashes when the hold has just been sent, and starts again at once.
			crashed = true
			w.crashUnnoticed(2)
			b.apply(submitJobTo("a", "j", oneTask))
			w.in(h.Wait+600*time.Millisecond, func() {
				b.core.HoldAnswered(b.now, h.Call, dispatch.HoldReport{Outcome: dispatch.OutcomeNoAnswer})
			})
		case !lateHold:
			lateHold = true
			w.in(570*time.Millisecond, func() {
				report := w.hold(h, w.now())
				w.in(10*time.Millisecond, func() { b.core.HoldAnswered(b.now, h.Call, report) })
			})
		default:
			w.in(600*time.Millisecond, func() {
				b.core.HoldAnswered(b.now, h.Call, dispatch.HoldReport{Outcome: dispatch.OutcomeNoAnswer})
			})
		}
	}
	began := false
	for w.now() < 30*time.Second {
		if lateHold {
			b.apply(registerWorker("spare", 1))
		}
		placed := w.failIfActive(w.step(), task)
		began = began || w.runs[task] != nil
		if placed {
			if !began {
				t.Fatal("the task was not started on w")
			}
			return
		}
	}
	t.Fatal("the task was not placed elsewhere")
}

// A start that a later boot has carried out and answered counts as carried out by the boot that was called.
// The wait for an earlier in-doubt start, which the later boot has carried out late, must cover the lease
// that the answered start gave to all runs there (platform rule TWICE).
func TestWaitCoversAStartThatALaterBootHasAnswered(t *testing.T) {
	const lateness = 11_900 * time.Millisecond
	const lastHoldAt = lateness - 200*time.Millisecond // after the start that is carried out late
	b := newTestbed(t, configureQueues(workload.Queue{Name: "urgent", Service: "shop", MaxAttempts: 3},
		workload.Queue{Name: "q", Service: "shop", MaxAttempts: 3, Priority: 1}),
		registerWorker("w", 1), submitJobTo("q", "j", workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 2000}}))
	w := newDelayedWorker(b)
	submitUrgent := func(id workload.JobID, tasks int, milliCPU int64) {
		b.apply(submitJobTo("urgent", id, workload.StepSpec{Tasks: tasks, Size: workload.Resources{MilliCPU: milliCPU}}))
	}
	task := workload.TaskID{Job: "j"}
	sentAt := time.Duration(-1)
	w.starts = func(s dispatch.Start) {
		switch {
		case s.Task.Job == "inflight":
			w.in(150*time.Millisecond, func() { b.core.StartAnswered(b.now, s, dispatch.OutcomeOK, 0) })
		case s.Task != task:
			w.answerStart(s)
		case sentAt < 0:
			sentAt = w.now()
			w.in(lateness, func() { w.start(s, workload.Resources{}, w.now()) })
			w.in(s.Timeout, func() { b.core.StartAnswered(b.now, s, dispatch.OutcomeNoAnswer, 0) })
			// These runs keep the task from being placed on w again.
			submitUrgent("filler", 2, 1900)
		default:
			w.in(10*time.Millisecond, func() { b.core.StartAnswered(b.now, s, dispatch.OutcomeNoCapacity, 0) })
		}
	}
	lose := func(h dispatch.Hold) {
		w.in(h.Wait+600*time.Millisecond, func() {
			b.core.HoldAnswered(b.now, h.Call, dispatch.HoldReport{Outcome: dispatch.OutcomeNoAnswer})
		})
	}
	unresponsive := false
	w.holds = func(h dispatch.Hold) {
		left := sentAt + lastHoldAt - w.now()
		switch cycle := h.Wait + 10*time.Millisecond; {
		case sentAt >= 0 && left <= 0 && w.boot == 1:
			lose(h)
		case w.boot == 2:
			unresponsive = true
			lose(h)
		case sentAt >= 0 && left >= cycle && h.Wait > 0:
			// The answers are slow enough that the last hold is sent at lastHoldAt.
			report := w.hold(h, w.now())
			w.in(left/(left/cycle), func() {
				report.Clock = w.clock(w.now())
				b.core.HoldAnswered(b.now, h.Call, report)
			})
		default:
			w.answerHold(h)
		}
	}
	began, spares := false, false
	for w.now() < 40*time.Second {
		if sentAt >= 0 {
			switch w.now() - sentAt {
			case lastHoldAt - 30*time.Millisecond:
				submitUrgent("inflight", 1, 50)
			case lateness - 20*time.Millisecond:
				w.crashUnnoticed(2)
			case lastHoldAt + 1530*time.Millisecond:
				submitUrgent("late", 1, 50)
			}
		}
		if unresponsive && !spares {
			spares = true
			for i := range 3 {
				b.apply(registerWorker(workload.WorkerID(fmt.Sprint("spare", i)), 1))
			}
		}
		placed := w.failIfActive(w.step(), task)
		began = began || w.runs[task] != nil
		if placed {
			if !began {
				t.Fatalf("the task was placed elsewhere at %v before the late start", w.now())
			}
			return
		}
	}
	t.Fatal("the task was not placed elsewhere")
}

// A worker that answers each hold must keep its lease while the starts on it get no answer.
func TestLeaseOfAnAnsweringWorkerIsExtendedWhileStartsAreLost(t *testing.T) {
	for _, interval := range []time.Duration{50, 100, 200, 300, 400, 500, 700, 1000, 1400} {
		interval *= time.Millisecond
		b := newTestbed(t, registerWorker("w", 1), submitJob("long", oneTask))
		w := newDelayedWorker(b)
		long := workload.TaskID{Job: "long"}
		w.starts = func(s dispatch.Start) {
			if s.Task == long {
				w.answerStart(s)
				return
			}
			w.in(s.Timeout, func() { b.core.StartAnswered(b.now, s, dispatch.OutcomeNoAnswer, 0) })
		}
		least, jobs := int64(maxLeaseMillis), 0
		for w.now() < time.Minute {
			if w.now()%interval == 0 {
				jobs++
				b.apply(submitJob(workload.JobID(fmt.Sprint("j", jobs)), workload.StepSpec{Tasks: 1, Size: workload.Resources{MilliCPU: 10}}))
			}
			w.step()
			if w.now() > time.Second {
				least = min(least, w.leaseUntil-w.clock(w.now()))
				if w.runs[long] == nil {
					t.Errorf("a job each %v: the run has ended at %v because the lease has expired", interval, w.now())
					break
				}
			}
		}
		t.Logf("a job each %v: the lease had at least %d ms left", interval, least)
	}
}

// A start without an answer must be sent again before its run is given up, also if another start on the worker
// gets no answer meanwhile: giving up stops the run and keeps the worker unused for 2 s.
func TestStartIsRepeatedBeforeItsRunIsGivenUp(t *testing.T) {
	for gap := 100 * time.Millisecond; gap <= 1200*time.Millisecond; gap += 100 * time.Millisecond {
		b := newTestbed(t, registerWorker("w", 1))
		w := newDelayedWorker(b)
		sent := map[workload.JobID]int{}
		w.starts = func(s dispatch.Start) {
			if sent[s.Task.Job]++; sent[s.Task.Job] > 1 {
				w.answerStart(s)
				return
			}
			w.in(s.Timeout, func() { b.core.StartAnswered(b.now, s, dispatch.OutcomeNoAnswer, 0) })
		}
		stop := w.stops
		w.stops = func(s dispatch.Stop) {
			if sent[s.Task.Job] < 2 {
				t.Errorf("starts %v apart: stop of %v at %v after %d start", gap, s.Task, w.now(), sent[s.Task.Job])
			}
			stop(s)
		}
		for w.now() < 5*time.Second {
			switch w.now() {
			case 200 * time.Millisecond:
				b.apply(submitJob("first", oneTask))
			case 200*time.Millisecond + gap:
				b.apply(submitJob("second", oneTask))
			}
			w.step()
		}
	}
}

// A worker that has seen a later leader rejects every call. This leader must notice it and stop calling, although
// it raises its own token before each start, so that a rejected call may have been overtaken by another.
func TestLeaderNoticesALaterOneWhileItStartsRuns(t *testing.T) {
	for gap := 10 * time.Millisecond; gap <= 30*time.Millisecond; gap += 10 * time.Millisecond {
		b := newTestbed(t, registerWorker("w", 1))
		w := newDelayedWorker(b)
		calls := 0
		w.starts = func(s dispatch.Start) {
			calls++
			w.in(20*time.Millisecond, func() { b.core.StartAnswered(b.now, s, dispatch.OutcomeFenced, 0) })
		}
		for w.now() < 200*time.Millisecond {
			w.step()
		}
		w.token = 2 << 20
		fencedAt := w.now()
		b.apply(submitJob("first", oneTask))
		for w.now() < fencedAt+3*time.Second {
			if w.now() == fencedAt+gap {
				b.apply(submitJob("second", oneTask))
			}
			w.step()
		}
		// Each run needs one start, and one more if the first was overtaken.
		if calls > 4 {
			t.Errorf("starts %v apart: %d starts in 3 s after a later leader was seen, want 4 at most", gap, calls)
		}
	}
}
