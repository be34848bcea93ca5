package placement

import (
	"container/heap"
	"slices"
	"time"
)

// enqueue adds a task to the waiting tasks of its job. A gang joins its class only when all of its
// tasks are queued.
func (s *Scheduler) enqueue(j *job, index int) {
	j.queued = append(j.queued, index)
	if j.class != nil {
		return
	}
	if s.gangIncomplete(j) {
		s.startTimer(timer{at: s.now.Add(gangCompletionWait).UnixNano(), job: j, index: gangTimerIndex})
		return
	}
	s.addToClass(j)
}

const (
	// gangCompletionWait is how long a gang waits for tasks that are neither queued nor placed.
	// After a change of leader, the number of its tasks that have succeeded is unknown.
	gangCompletionWait = time.Second
	// gangTimerIndex is the task index in the timer of an incomplete gang.
	gangTimerIndex = -1
)

// gangIncomplete reports whether more tasks of a gang have to be queued.
func (s *Scheduler) gangIncomplete(j *job) bool {
	if !j.gang {
		return false
	}
	return len(j.queued) < j.spec.Tasks-j.succeededTasks-j.activeTasks
}

// addToClass adds a job to its class, in the order of queuedAt.
func (s *Scheduler) addToClass(j *job) {
	c := s.classOf(j)
	j.class = c
	after := c.tail
	for after != nil && j.queuedAt.Before(after.queuedAt) {
		after = after.prev
	}
	j.prev = after
	if after == nil {
		j.next, c.head = c.head, j
	} else {
		j.next, after.next = after.next, j
	}
	if j.next == nil {
		c.tail = j
	} else {
		j.next.prev = j
	}
	s.updateClassOrder(c)
	if c.waitReason == ReasonNone {
		s.makeReady(c)
	}
}

// removeFromClass removes a job from its class, and the class if it is empty.
func (s *Scheduler) removeFromClass(j *job) {
	c := j.class
	if c == nil {
		return
	}
	s.dropReservations(c, func(r *reservation) bool { return r.job == j })
	c.reservationConsidered = false
	if j.prev == nil {
		c.head = j.next
	} else {
		j.prev.next = j.next
	}
	if j.next == nil {
		c.tail = j.prev
	} else {
		j.next.prev = j.prev
	}
	j.class, j.next, j.prev = nil, nil, nil
	if c.head == nil {
		s.removeReady(c)
		c.waitList.remove(c)
		c.scope.removeBlocked(c)
		s.dropReservations(c, func(*reservation) bool { return true })
		delete(s.classes, c.key)
		return
	}
	s.updateClassOrder(c)
}

// updateClassOrder updates orderTime and the heap position of a class after a change of its first
// job.
func (s *Scheduler) updateClassOrder(c *taskClass) {
	c.orderTime = c.head.queuedAt.UnixNano() + s.runTimePenalty(c.expectedRunTime)
	if c.heapIndex != noIndex {
		heap.Fix(&c.team.ready, c.heapIndex)
	}
	if c.blockedIn != nil {
		heap.Fix(&c.blockedIn.classes, c.waitIndex)
	}
}

// classOf returns the class for the tasks of a job and adds it if needed.
func (s *Scheduler) classOf(j *job) *taskClass {
	sc := s.scopeFor(j.spec.Policy, j.spec.Region)
	bucket := s.updateExpectedRunTime(j)
	key := classKey{
		team: j.spec.Team, policy: j.spec.Policy, region: j.spec.Region,
		priority: j.spec.Priority, size: j.spec.Size, runTime: bucket,
	}
	if j.gang {
		key.tasks = j.spec.Tasks
	}
	c := s.classes[key]
	if c == nil {
		c = &taskClass{key: key, team: j.team, scope: sc, heapIndex: noIndex}
		c.expectedRunTime = bucketRunTime(bucket)
		s.classes[key] = c
	}
	return c
}

// dequeueTask removes and returns the first waiting task of a class.
func (s *Scheduler) dequeueTask(c *taskClass) (*job, int) {
	j := c.head
	index := j.queued[0]
	j.queued = j.queued[1:]
	if len(j.queued) == 0 {
		j.queued = nil
		s.removeFromClass(j)
	}
	s.trimReservations(c)
	return j, index
}

// removeQueuedTask removes a waiting task that was placed without this scheduler.
func (s *Scheduler) removeQueuedTask(j *job, index int) {
	at := slices.Index(j.queued, index)
	if at < 0 {
		return
	}
	j.queued = slices.Delete(j.queued, at, at+1)
	if len(j.queued) == 0 {
		s.removeFromClass(j)
	}
}

func (s *Scheduler) makeReady(c *taskClass) {
	c.waitReason = ReasonTurn
	if c.heapIndex != noIndex {
		return
	}
	t := c.team
	heap.Push(&t.ready, c)
	if t.activeIndex == noIndex {
		t.activeIndex = len(s.active)
		s.active = append(s.active, t)
	}
}

func (s *Scheduler) removeReady(c *taskClass) {
	if c.heapIndex == noIndex {
		return
	}
	t := c.team
	heap.Remove(&t.ready, c.heapIndex)
	if len(t.ready) > 0 {
		return
	}
	last := s.active[len(s.active)-1]
	s.active[t.activeIndex] = last
	last.activeIndex = t.activeIndex
	s.active = s.active[:len(s.active)-1]
	t.activeIndex = noIndex
}

func (s *Scheduler) startTimer(t timer) { heap.Push(&s.timers, t) }

// runTimers runs all timers that are due.
func (s *Scheduler) runTimers() {
	for len(s.timers) > 0 && s.timers[0].at <= s.now.UnixNano() {
		t := heap.Pop(&s.timers).(timer)
		switch {
		case t.claims != nil:
			s.expireClaims(t.claims)
		case t.worker != nil:
			s.workerTimerDue(t.worker)
		case t.class != nil:
			s.classTimerDue(t.class)
		case !t.job.ended:
			s.taskTimerDue(t.job, t.index)
		}
	}
}

func (s *Scheduler) classTimerDue(c *taskClass) {
	c.retryTimerSet = false
	if c.blockedIn != nil {
		c.scope.removeBlocked(c)
		s.makeReady(c)
	}
}

func (s *Scheduler) taskTimerDue(j *job, index int) {
	if index != gangTimerIndex {
		j.backingOff--
		s.enqueue(j, index)
		return
	}
	if j.class == nil && len(j.queued) > 0 && j.backingOff == 0 {
		s.addToClass(j)
	}
}
