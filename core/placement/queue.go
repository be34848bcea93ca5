package placement

import (
	"container/heap"
	"slices"
	"time"
)

// enqueue lets a task wait in the class of its job. The tasks of a gang wait
// outside until all of them are there.
func (s *Scheduler) enqueue(j *job, index int) {
	j.queued = append(j.queued, index)
	if j.class != nil {
		return
	}
	if s.incomplete(j) {
		s.startTimer(timer{at: s.now.Add(gangSettleTime).UnixNano(), job: j, index: settleGang})
		return
	}
	s.link(j)
}

const (
	// gangSettleTime is how long a gang waits for tasks that are neither
	// queued nor placed. After a change of leader the number of tasks that
	// have already succeeded is not known.
	gangSettleTime = time.Second
	// settleGang marks the timer of a gang in place of a task index.
	settleGang = -1
)

// incomplete reports whether tasks of a gang are still to be queued.
func (s *Scheduler) incomplete(j *job) bool {
	if !j.gang {
		return false
	}
	return len(j.queued) < j.spec.Tasks-j.done-j.live
}

// link puts a job into its class, in the order of queuedAt.
func (s *Scheduler) link(j *job) {
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
	s.headChanged(c)
	if c.wait == ReasonNone {
		s.makeReady(c)
	}
}

// unlink takes a job out of its class, which is dropped when it is empty.
func (s *Scheduler) unlink(j *job) {
	c := j.class
	if c == nil {
		return
	}
	s.dropReservations(c, func(r *reservation) bool { return r.job == j })
	c.considered = false
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
		s.takeReady(c)
		c.list.remove(c)
		c.scope.remove(c)
		s.dropReservations(c, func(*reservation) bool { return true })
		delete(s.classes, c.key)
		return
	}
	s.headChanged(c)
}

// headChanged refreshes the place of a class in the order of its team.
func (s *Scheduler) headChanged(c *class) {
	c.order = c.head.queuedAt.UnixNano() + s.headStart(c.expected)
	if c.heapIndex != notReady {
		heap.Fix(&c.team.ready, c.heapIndex)
	}
	if c.bucket != nil {
		heap.Fix(&c.bucket.waiting, c.at)
	}
}

// classOf returns the class in which a job waits.
func (s *Scheduler) classOf(j *job) *class {
	sc := s.scope(j.spec.Policy, j.spec.Region)
	bucket := s.refreshExpected(j)
	key := classKey{
		team: j.spec.Team, policy: j.spec.Policy, region: j.spec.Region,
		priority: j.spec.Priority, size: j.spec.Size, runTime: bucket,
	}
	if j.gang {
		key.tasks = j.spec.Tasks
	}
	c := s.classes[key]
	if c == nil {
		c = &class{key: key, team: j.team, scope: sc, heapIndex: notReady}
		c.expected = bucketTime(bucket)
		s.classes[key] = c
	}
	return c
}

// takeTask removes the first waiting task of a class and returns it.
func (s *Scheduler) takeTask(c *class) (*job, int) {
	j := c.head
	index := j.queued[0]
	j.queued = j.queued[1:]
	if len(j.queued) == 0 {
		j.queued = nil
		s.unlink(j)
	}
	s.trimReservations(c)
	return j, index
}

// forgetQueued removes a task that was placed without this scheduler.
func (s *Scheduler) forgetQueued(j *job, index int) {
	at := slices.Index(j.queued, index)
	if at < 0 {
		return
	}
	j.queued = slices.Delete(j.queued, at, at+1)
	if len(j.queued) == 0 {
		s.unlink(j)
	}
}

func (s *Scheduler) makeReady(c *class) {
	c.wait = ReasonTurn
	if c.heapIndex != notReady {
		return
	}
	t := c.team
	heap.Push(&t.ready, c)
	if t.activeIndex == notReady {
		t.activeIndex = len(s.active)
		s.active = append(s.active, t)
	}
}

func (s *Scheduler) takeReady(c *class) {
	if c.heapIndex == notReady {
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
	t.activeIndex = notReady
}

func (s *Scheduler) startTimer(t timer) { heap.Push(&s.timers, t) }

// runTimers does what is due: queues tasks whose backoff is over, tries paced
// classes again, gives up claims.
func (s *Scheduler) runTimers() {
	for len(s.timers) > 0 && s.timers[0].at <= s.now.UnixNano() {
		t := heap.Pop(&s.timers).(timer)
		switch {
		case t.claims != nil:
			s.claimsDue(t.claims)
		case t.worker != nil:
			s.workerDue(t.worker)
		case t.class != nil:
			s.classDue(t.class)
		case !t.job.ended:
			s.taskDue(t.job, t.index)
		}
	}
}

func (s *Scheduler) classDue(c *class) {
	c.retrying = false
	if c.bucket != nil {
		c.scope.remove(c)
		s.makeReady(c)
	}
}

func (s *Scheduler) taskDue(j *job, index int) {
	if index != settleGang {
		j.backoff--
		s.enqueue(j, index)
		return
	}
	if j.class == nil && len(j.queued) > 0 && j.backoff == 0 {
		s.link(j)
	}
}
