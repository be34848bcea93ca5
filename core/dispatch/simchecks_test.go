package dispatch_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// taskHistory is what the workers have seen of a task, over all boots.
type taskHistory struct {
	starts    []pastStart
	done      []*doneEnd // for a gang, the successful ends of all members
	failed    []*doneEnd // failed ends; empty for a gang
	firstSent map[workload.RunNumber]time.Duration
}

// sent records when the start of a run was first sent.
func (h *taskHistory) sent(run workload.RunNumber, now time.Duration) {
	if _, known := h.firstSent[run]; !known {
		h.firstSent[run] = now
	}
}

type pastStart struct {
	at        time.Duration
	worker    workload.WorkerID
	boot      workload.Boot
	run       workload.RunNumber
	refusedBy *formerBoot // as in fakeRun
}

// doneEnd is a successful or a failed end. It is taken note of when a hold acknowledges it, unless the lease of
// the worker has expired between the two.
type doneEnd struct {
	at     time.Duration
	worker workload.WorkerID
	boot   workload.Boot
	run    workload.RunNumber
	// listedAs is the task whose end the worker lists, a member of the gang if it represents all of it.
	listedAs workload.TaskID
	notedAt  time.Duration // 0 if the end was not taken note of
	// unreported is true if a call for a former boot acknowledged the end before any call for this
	// boot was carried out, so that the end was never reported (seeds 40007 and 41001).
	unreported bool
}

type history map[workload.TaskID]*taskHistory

func (h history) of(id workload.TaskID) *taskHistory {
	if h[id] == nil {
		h[id] = &taskHistory{firstSent: map[workload.RunNumber]time.Duration{}}
	}
	return h[id]
}

// maxStopTime is the longest time that a stop takes.
const maxStopTime = 900 * time.Millisecond

// observe makes the simulation record the starts and ends on a worker.
func (s *sim) observe(w *fakeWorker) {
	w.rules = s.rules
	if w.rules.saves {
		w.checkpoint = s.checkpoint
	}
	w.lacksRoom = func() bool { return s.now < faultsEnd && s.rulesRNG.IntN(30) == 0 }
	w.endStopped = func(task workload.TaskID, r *fakeRun) {
		s.after(s.randomDuration(0, maxStopTime), func() {
			if w.up && w.runs[task] == r {
				w.endRun(task, workload.EndStopped)
				s.endBrokenGang(task, r)
			}
		})
	}
	w.validTicket = func(st dispatch.Start) bool { return s.validTicket(w, st) }
	w.onStart = func(st dispatch.Start, r *fakeRun) {
		s.begunJobs[st.Task.Job] = true
		start := pastStart{at: s.now, worker: w.id, boot: w.boot, run: st.Run, refusedBy: r.refusedBy}
		task := s.history.of(st.Task)
		task.starts = append(task.starts, start)
		for _, end := range task.done {
			s.checkStartAfterEnd(st.Task, start, end)
		}
		s.checkAttempts(st.Task, task)
	}
	w.onEnd = func(end dispatch.ListedEnd) {
		s.trace(end.Task, "run %d ends on %s boot %d: %s, number %d", end.Run, w.id, w.boot, end.Result, end.Number)
		ended := &doneEnd{at: s.now, worker: w.id, boot: w.boot, run: end.Run, listedAs: end.Task}
		step := &s.committed.Job(end.Task.Job).Spec.Steps[end.Task.Step]
		switch {
		case end.Result == workload.EndDone:
			for _, id := range representedTasks(end.Task, step) {
				task := s.history.of(id)
				task.done = append(task.done, ended)
			}
		case end.Result == workload.EndFailed && !step.Gang:
			task := s.history.of(end.Task)
			task.failed = append(task.failed, ended)
		}
	}
	w.onAck = func(end dispatch.ListedEnd, h dispatch.Hold) {
		s.trace(end.Task, "end %d on %s boot %d is acknowledged by a hold for boot %d with token %#x", end.Number, w.id, w.boot, h.Boot, h.Token)
		task := s.history.of(end.Task)
		for _, failed := range task.failed {
			if failed.isListed(w, end) {
				failed.notedAt = s.now
				s.checkAttempts(end.Task, task)
			}
		}
		if done := task.doneOn(w, end); done != nil {
			s.takeNote(end.Task, done, h.Boot != w.boot && !w.calledAsBoot)
		}
	}
}

// isListed reports whether an end is one that the present boot of a worker lists.
func (e *doneEnd) isListed(w *fakeWorker, end dispatch.ListedEnd) bool {
	return e.worker == w.id && e.boot == w.boot && e.run == end.Run && e.listedAs == end.Task
}

// doneOn returns the successful end that the present boot of a worker lists, or nil.
func (h *taskHistory) doneOn(w *fakeWorker, end dispatch.ListedEnd) *doneEnd {
	for _, done := range h.done {
		if done.isListed(w, end) {
			return done
		}
	}
	return nil
}

func (s *sim) takeNote(id workload.TaskID, done *doneEnd, unreported bool) {
	done.notedAt, done.unreported = s.now, unreported
	for _, represented := range representedTasks(id, &s.committed.Job(id.Job).Spec.Steps[id.Step]) {
		for _, start := range s.history.of(represented).starts {
			s.checkStartAfterEnd(represented, start, done)
		}
	}
}

// listedTime is how long after its listing an end counts as taken note of, whether or not the leader has
// read the answer.
const listedTime = 100 * time.Millisecond

// endsListed lets the ends in an answer that has arrived at the machine of a slow leader count as taken note
// of, unless the lease of the worker expires before.
func (s *sim) endsListed(w *fakeWorker, report dispatch.HoldReport) {
	if !s.slowLeader {
		return
	}
	for _, end := range report.Ends {
		done := s.history.of(end.Task).doneOn(w, end)
		if done == nil {
			continue
		}
		s.after(listedTime, func() {
			if done.notedAt == 0 && end.Number > w.lapsedEnd {
				s.takeNote(end.Task, done, false)
			}
		})
	}
}

// checkpoint returns what a run has saved: the task, the run and the time of the last save.
func (s *sim) checkpoint(task workload.TaskID, r *fakeRun, stopped bool) string {
	worked := s.now - r.startedAt
	if !stopped {
		worked = worked.Truncate(time.Second)
	}
	if worked == 0 {
		return r.resumedAt
	}
	return fmt.Sprintf("%s %d %v", task, r.number, worked)
}

// checkCheckpoint checks that a start carries a checkpoint of its task, or of any member of its gang, and
// that all starts of one run of a gang carry the same.
func (s *sim) checkCheckpoint(st dispatch.Start, gang bool) {
	owner := st.Task.String() + " "
	if gang {
		owner = st.Task.StepID().String() + "/"
		key := fmt.Sprintf("%s%d", owner, st.Run)
		if first, known := s.gangCheckpoints[key]; known && first != st.Checkpoint {
			s.addViolation("%v run %d starts with the checkpoint %q, another member with %q", st.Task, st.Run, st.Checkpoint, first)
		}
		s.gangCheckpoints[key] = st.Checkpoint
	}
	if st.Checkpoint != "" && !strings.HasPrefix(st.Checkpoint, owner) {
		s.addViolation("%v run %d starts with the checkpoint %q", st.Task, st.Run, st.Checkpoint)
	}
}

// representedTasks returns the tasks that are done with a task: for a gang, all of them.
func representedTasks(id workload.TaskID, step *workload.StepSpec) []workload.TaskID {
	if !step.Gang {
		return []workload.TaskID{id}
	}
	var all []workload.TaskID
	for index := range step.Tasks {
		all = append(all, id.StepID().Task(index))
	}
	return all
}

// checkAttempts checks that no run of a task starts after as many failures that are taken note of as its
// queue allows.
func (s *sim) checkAttempts(id workload.TaskID, task *taskHistory) {
	limit := s.committed.Job(id.Job).Queue.MaxAttempts
	for _, start := range task.starts {
		failures := 0
		for _, failed := range task.failed {
			if failed.notedAt > 0 && failed.at < start.at {
				failures++
			}
		}
		if failures >= limit {
			s.addViolationOf(start.refusedBy != nil, "%v run %d started on %s boot %d at %v, after %d failures", id, start.run, start.worker, start.boot, start.at, failures)
		}
	}
}

// checkStartAfterEnd checks that no run of a task starts after a successful end that is taken note
// of, before or after that start.
func (s *sim) checkStartAfterEnd(id workload.TaskID, start pastStart, end *doneEnd) {
	if end.notedAt > 0 && start.at > end.at {
		s.addViolationOf(end.unreported || s.forgottenRefusal(id, start.refusedBy, end.run), "%v run %d started on %s boot %d at %v, after run %d was done on %s boot %d at %v, which was taken note of at %v",
			id, start.run, start.worker, start.boot, start.at, end.run, end.worker, end.boot, end.at, end.notedAt)
	}
}

// expireLeases ends the runs of workers whose lease has expired, before anything else happens.
func (s *sim) expireLeases() {
	for _, w := range s.workers {
		if w.up && w.leaseUntil > 0 && w.clock(s.now) > w.leaseUntil {
			w.lapsedEnd = w.lastEnd
			for _, task := range tasksOf(w) {
				r := w.runs[task]
				if r == nil {
					continue // a member of a gang that another one has ended
				}
				w.endRun(task, workload.EndLeaseExpired)
				if w.rules.gangLapseBreaks {
					s.endBrokenGang(task, r)
				}
			}
		}
	}
}

// place is a run with its worker.
type place struct {
	worker *fakeWorker
	run    *fakeRun
}

// checkInvariants checks the conditions that must hold at all times.
func (s *sim) checkInvariants() {
	s.checkPendingJobs()
	running := map[workload.TaskID][]place{}
	for _, w := range s.workers {
		for _, o := range w.overlaps {
			s.addViolationOf(s.conflictsWithRefused(o.task, o.former, o.later), "%v: run %d since %v and run %d since %v on %s boot %d", o.task, o.former.number, o.former.startedAt, o.later.number, o.later.startedAt, w.id, w.boot)
		}
		w.overlaps = nil
		if !w.up {
			continue
		}
		if used := w.used(); !used.Fits(w.capacity) {
			for _, r := range w.runs {
				if r.refusedBy != nil {
					used = used.Sub(r.size)
				}
			}
			s.addViolationOf(used.Fits(w.capacity), "%s boot %d uses %d of %d: %s", w.id, w.boot, w.used().MilliCPU, w.capacity.MilliCPU, describeRuns(w))
		}
		for task, r := range w.runs {
			running[task] = append(running[task], place{w, r})
		}
	}
	for task, places := range running {
		for i, a := range places {
			for _, b := range places[i+1:] {
				s.addViolationOf(s.conflictsWithRefused(task, a.run, b.run), "%v: run %d on %s boot %d since %v and run %d on %s boot %d since %v", task,
					a.run.number, a.worker.id, a.run.boot, a.run.startedAt, b.run.number, b.worker.id, b.run.boot, b.run.startedAt)
			}
		}
	}
}

// checkPendingJobs checks that each job of which no worker has begun a task counts as pending.
func (s *sim) checkPendingJobs() {
	waiting := map[string]int{}
	for _, id := range s.jobs {
		if job := s.committed.Job(id); job != nil && !job.State.Ended() && !s.begunJobs[id] {
			waiting[job.Queue.Name]++
		}
	}
	for queue, jobs := range waiting {
		if pending := s.committed.PendingJobs(queue); pending < jobs {
			s.addViolation("queue %s has %d pending jobs, but no worker has begun a task of %d", queue, pending, jobs)
		}
	}
}

// forgottenRefusal reports whether a late start that a former boot had refused conflicts with another
// run that was sent before the end of that boot was known (seeds 1188, 20246 and 50709).
func (s *sim) forgottenRefusal(id workload.TaskID, refusedBy *formerBoot, other workload.RunNumber) bool {
	return refusedBy != nil && (refusedBy.noticedAt == 0 || s.history.of(id).firstSent[other] <= refusedBy.noticedAt)
}

func (s *sim) conflictsWithRefused(id workload.TaskID, a, b *fakeRun) bool {
	return s.forgottenRefusal(id, a.refusedBy, b.number) || s.forgottenRefusal(id, b.refusedBy, a.number)
}

// addViolationOf records a violation, apart from the others if late calls to an unnoticed boot cause it.
func (s *sim) addViolationOf(unnoticedBoot bool, format string, args ...any) {
	if unnoticedBoot {
		if violation := fmt.Sprintf(format, args...); !s.reported[violation] {
			s.reported[violation] = true
			s.unnoticedViolations = append(s.unnoticedViolations, fmt.Sprintf("at %v: %s", s.now, violation))
		}
		return
	}
	s.addViolation(format, args...)
}

func tasksOf(w *fakeWorker) []workload.TaskID { return sortedKeys(w.runs) }

func sortedKeys[V any](m map[workload.TaskID]V) []workload.TaskID {
	ids := make([]workload.TaskID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, workload.CompareTaskIDs)
	return ids
}

func describeRuns(w *fakeWorker) string {
	var text strings.Builder
	for _, task := range tasksOf(w) {
		fmt.Fprintf(&text, "%s run %d since %v; ", task, w.runs[task].number, w.runs[task].startedAt)
	}
	return text.String()
}
