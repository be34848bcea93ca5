package main

import (
	"fmt"
	"strings"
	"time"
)

// Bounds of the deployment.
const (
	finishTime = 14 * time.Second // finish_s
	idleTime   = 3 * time.Second  // LOST: for 3 s a job has nothing running
)

// playLostWorker hands in jobs for some seconds. At the end of the traffic the worker that began the
// latest task is lost for good.
func playLostWorker(o options, r *record) error {
	if err := configure(o, r, configTimeout); err != nil {
		return err
	}
	f, err := startFleet(o, r, 8)
	if err != nil {
		return err
	}
	defer f.stop()
	time.Sleep(2 * heartbeatInterval)
	var jobs []string
	for began := time.Now(); time.Since(began) < 6*time.Second; time.Sleep(100 * time.Millisecond) {
		id := newJobID()
		if err := submit(o, r, id, jobBody(2, 1500*time.Millisecond)); err != nil {
			return err
		}
		jobs = append(jobs, id)
	}
	// A quiet moment, in which nothing ends, before the last job.
	time.Sleep(3 * time.Second)
	last := newJobID()
	if err := submit(o, r, last, jobBody(2, 1500*time.Millisecond)); err != nil {
		return err
	}
	jobs = append(jobs, last)
	trafficEnd := time.Now()
	w, err := f.awaitStart(last, 2*time.Second)
	if err != nil {
		return err
	}
	time.Sleep(lossDelay)
	if o.trouble {
		r.log("worker %s is lost for good", w.id)
		f.lose(w)
	}
	judgeAt := trafficEnd.Add(finishTime)
	time.Sleep(time.Until(judgeAt.Add(idleTime)))
	idle := 0
	for _, id := range jobs {
		state := jobState(o, id)
		if state == "completed" {
			continue
		}
		since, running := f.idleSince(id)
		r.log("job %s is shown as %q; a task of it is running: %v; nothing running for %.3f s", id, state, running, time.Since(since).Seconds())
		if !running && since.Before(judgeAt) {
			idle++
		}
	}
	f.awaitRuns(r, jobs, 15*time.Second)
	if idle > 0 {
		return fmt.Errorf("%w: LOST: %d of %d accepted jobs had nothing running in the 3 s from %v after the end of the traffic, with 7 of 8 workers free", errBroken, idle, len(jobs), finishTime)
	}
	return nil
}

// lossDelay is the time from the start of the last task until its worker is lost.
const lossDelay = 50 * time.Millisecond

// awaitStart returns the worker that has begun the first task of a job.
func (f *fleet) awaitStart(job string, limit time.Duration) (*worker, error) {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(time.Millisecond) {
		f.mu.Lock()
		for _, run := range f.runs {
			if strings.HasPrefix(run.task, job) {
				f.mu.Unlock()
				return run.worker, nil
			}
		}
		f.mu.Unlock()
	}
	return nil, fmt.Errorf("no task of job %s began within %v", job, limit)
}

// idleSince returns since when no task of a job has been running, and whether one is running.
func (f *fleet) idleSince(job string) (since time.Time, running bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, run := range f.runs {
		if !strings.HasPrefix(run.task, job) {
			continue
		}
		if run.endedAt.IsZero() {
			return time.Time{}, true
		}
		if run.endedAt.After(since) {
			since = run.endedAt
		}
	}
	return since, false
}

// awaitRuns records when the jobs are done at last. It does not affect the verdict.
func (f *fleet) awaitRuns(r *record, jobs []string, limit time.Duration) {
	isDone := func(task string) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, run := range f.runs {
			if run.task == task && run.how == "done" {
				return true
			}
		}
		return false
	}
	for began := time.Now(); time.Since(began) < limit; time.Sleep(retryPause) {
		missing := 0
		for _, id := range jobs {
			for index := range 2 {
				if !isDone(fmt.Sprintf("%s.0.0.%d", id, index)) {
					missing++
				}
			}
		}
		if missing == 0 {
			r.log("all tasks are done %.3f s after the verdict", time.Since(began).Seconds())
			return
		}
	}
	r.log("some tasks are still not done %v after the verdict", limit)
}
