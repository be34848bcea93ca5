package platformsoak

import (
	"fmt"
	"strings"
	"time"
)

// taskHistory has the runs of a task over all workers and boots.
type taskHistory struct {
	starts   []*taskRun
	notedEnd *taskRun // the first run whose end as done was acknowledged
	note     string   // how it was acknowledged
	// unnoticed is true if the leader did not know of that end.
	unnoticed bool
}

// reportViolationOf reports a violation, apart from the others if a boot that the leader had not noticed
// causes it.
func (f *fleet) reportViolationOf(unnoticedBoot bool, format string, args ...any) {
	if !unnoticedBoot {
		f.reportViolation(format, args...)
		return
	}
	f.unnoticedBoots = append(f.unnoticedBoots, fmt.Sprintf(format, args...))
}

// checkStartedOnce reports a violation if a task starts after a run has ended as done, once that end
// is acknowledged.
func (f *fleet) checkStartedOnce(r *taskRun) {
	history := f.histories[r.task]
	if history == nil {
		history = &taskHistory{}
		f.histories[r.task] = history
	}
	history.starts = append(history.starts, r)
	if history.notedEnd != nil {
		f.reportViolationOf(history.unnoticed || r.onUnnoticedBoot, "TWICE: %v starts after the end at %s of %v (%s)", r, history.notedEnd.doneAt.Format(timeFormat), history.notedEnd, history.note)
	}
}

// noteEnd records the acknowledgement of a run that ended as done, and reports a violation if the
// task has started between the end and the acknowledgement.
func (f *fleet) noteEnd(end finishedRun, call workerCall) {
	r, history := end.run, f.histories[end.run.task]
	unnoticed := !end.listed || r.onUnnoticedBoot
	for _, start := range history.starts {
		if start.received.After(r.doneAt) {
			f.reportViolationOf(unnoticed || start.onUnnoticedBoot, "TWICE: %v has started after the end at %s, acknowledged later, of %v", start, r.doneAt.Format(timeFormat), r)
		}
	}
	if history.notedEnd == nil {
		history.notedEnd, history.unnoticed = r, !end.listed
		history.note = fmt.Sprintf("end %d acknowledged at %s by a hold with lastSeen %d, called at boot %d, late: %v", end.number,
			time.Now().Format(timeFormat), call.LastSeen, call.bootedAt.UnixMilli(), call.late)
	}
}

// overlapsUnnoticed reports whether the run is a late start on a boot that the leader had not noticed,
// and the other run began while the run was still refused by a boot whose end could not be known then.
func (r *taskRun) overlapsUnnoticed(other *taskRun) bool {
	return r.onUnnoticedBoot && other.received.Before(r.refusedUntil)
}

// checkOverlaps reports a violation for each two runs of a task at the same time, on any workers.
func (f *fleet) checkOverlaps() {
	active := map[string][]*taskRun{}
	for _, w := range f.workers {
		for _, r := range w.runs {
			for _, other := range active[r.task] {
				if pair := [2]*taskRun{other, r}; !f.overlaps[pair] && !f.overlaps[[2]*taskRun{r, other}] {
					f.overlaps[pair] = true
					f.reportViolationOf(other.overlapsUnnoticed(r) || r.overlapsUnnoticed(other), "TWICE: %v and %v at the same time", other, r)
				}
			}
			active[r.task] = append(active[r.task], r)
		}
	}
}

// checkStart reports a violation if a start breaks a rule of the platform: a task runs within the
// capacity of the worker, for a job that was
// submitted and neither rejected nor cancelled, and after the tasks that it depends on. The time limit
// after a cancellation does not apply to a start that the worker executes late or that its link held back.
func (f *fleet) checkStart(w *fleetWorker, call workerCall, payload taskPayload, now time.Time) {
	jobID, _, _ := strings.Cut(call.Task, ".")
	milliCPU := payload.MilliCPU
	for _, r := range w.runs {
		milliCPU += r.payload.MilliCPU
	}
	if milliCPU > workerMilliCPU {
		f.reportViolation("LIMIT: %d of %d milli-CPU in use on %s with %s", milliCPU, workerMilliCPU, w.id, call.Task)
	}
	job := f.jobs.get(jobID)
	if job != nil {
		f.checkCap(*job, call.Task, payload.MilliCPU)
	}
	late := call.late || w.link != nil && now.UnixMilli()-w.link.releasedAt.Load() < releaseTime.Milliseconds()
	switch {
	case job == nil:
		f.reportViolation("UNASKED: %s was never submitted", call.Task)
	case job.rejected:
		f.reportViolation("REFUSED: %s starts although its job was rejected", call.Task)
	case !late && !job.cancelled.IsZero() && now.Sub(job.cancelled) > maxStartAfterCancel:
		f.reportViolation("UNASKED: %s starts %v after its job was cancelled", call.Task, now.Sub(job.cancelled))
	case job.payload != call.Spec:
		f.reportViolation("UNASKED: %s has a payload that differs from the submitted one", call.Task)
	}
	if job != nil && payload.DependsOn != "" && strings.HasPrefix(call.Task, jobID+".0.1.") {
		for i := range job.firstStepTasks {
			if name := fmt.Sprintf("%s.0.0.%d", jobID, i); !f.completed[name] {
				f.reportViolation("ORDER: %s starts before %s is done", call.Task, name)
			}
		}
	}
}

// firstStepDone reports whether all tasks of the first step of a job have ended as done.
func (f *fleet) firstStepDone(id string, job submittedJob) (done bool) {
	f.do(func() {
		done = true
		for i := range job.firstStepTasks {
			done = done && f.completed[fmt.Sprintf("%s.0.0.%d", id, i)]
		}
	})
	return done
}
