package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Numbers of the late order.
const (
	lateWorkers = 8 // one of them is cut off: 0.125, below the 0.17 of node_cut in the site file
	longTask    = 12 * time.Second
	// rebornAfter is the time from the cut of the worker to its restart, lateAfter the time from the
	// restart to the late order.
	rebornAfter = 500 * time.Millisecond
	lateAfter   = time.Second
	// The kind applied_late carries orders out 2 to 12 s after they were sent.
	minOrderDelay = 2 * time.Second
	maxOrderDelay = 12 * time.Second
	// cutTime is the length of the cut: for_s of node_cut in the site file.
	cutTime       = 5500 * time.Millisecond
	placedTimeout = 20 * time.Second
)

// lateScenario (review/3): the worker that is to begin a job's only task leaves the starts unanswered. When the task
// runs on another worker, the first one is cut off and starts again behind the cut, and the first of the
// unanswered starts is carried out there.
func lateScenario(c *cell) {
	if !c.begin(lateWorkers) {
		return
	}
	j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), spec: "spec", tasks: 1, taskTime: longTask}
	if c.trouble {
		c.leaveFirstWorkerUnanswered(j.id)
	}
	if !c.submit(j, 1000) {
		c.giveUp("the job was not accepted")
		return
	}
	task := j.id + ".0.0.0"
	if !c.waitForRun(task) {
		c.giveUp("the task did not begin")
		return
	}
	if c.trouble {
		c.carryOutLate(task)
	}
	time.Sleep(longTask + 4*time.Second)
	status, state := c.jobState(j.id, requestTimeout)
	c.log("job %s at the end: status %d, %s", j.id, status, state)
	fmt.Println("job at the end:", status, state)
}

// leaveFirstWorkerUnanswered makes all workers leave the starts of a job unanswered until one of them has
// got one. From then on only that worker does.
func (c *cell) leaveFirstWorkerUnanswered(id string) {
	for _, w := range c.workers {
		w.mu.Lock()
		w.lateJob = id
		w.mu.Unlock()
	}
	go func() {
		for !c.ended() {
			if first := c.lateWorker(); first != nil {
				for _, w := range c.workers {
					if w != first {
						w.mu.Lock()
						w.lateJob = ""
						w.mu.Unlock()
					}
				}
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
}

// lateWorker returns the worker that has left a start unanswered, or nil.
func (c *cell) lateWorker() *worker {
	for _, w := range c.workers {
		w.mu.Lock()
		found := len(w.unansweredStarts) > 0
		w.mu.Unlock()
		if found {
			return w
		}
	}
	return nil
}

// waitForRun waits until a worker has begun a task.
func (c *cell) waitForRun(task string) bool {
	for deadline := time.Now().Add(placedTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		c.mu.Lock()
		active := len(c.active[task]) > 0
		c.mu.Unlock()
		if active {
			return true
		}
	}
	return false
}

// carryOutLate cuts the worker with the unanswered starts off, starts it again and carries the first of
// these starts out.
func (c *cell) carryOutLate(task string) {
	w := c.lateWorker()
	if w == nil {
		c.giveUp("no start was left unanswered")
		return
	}
	w.mu.Lock()
	w.lateJob, w.cut = "", true
	call := w.unansweredStarts[0]
	sent := w.firstUnansweredAt
	w.mu.Unlock()
	c.log("%s is cut off", w.id)
	cutAt := time.Now()
	time.Sleep(rebornAfter)
	w.mu.Lock()
	w.restart()
	w.mu.Unlock()
	time.Sleep(max(lateAfter, time.Until(sent.Add(minOrderDelay))))
	if delay := time.Since(sent); delay > maxOrderDelay {
		c.giveUp("the order would be %v late", delay)
		return
	}
	w.mu.Lock()
	status, body := w.handle("/godwitlink/run-start", call)
	w.mu.Unlock()
	c.log("%s carries the start of run %d of %s out, %.1f s after it was sent: status %d %v", w.id, call.RunID, task, time.Since(sent).Seconds(), status, body)
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	w.mu.Lock()
	w.cut = false
	w.mu.Unlock()
	c.log("%s is no longer cut off", w.id)
}
