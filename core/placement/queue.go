package placement

import (
	"container/heap"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
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
	if j.reservation != nil {
		s.dropReservation(j.reservation)
	}
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
	if j.reservation != nil {
		s.dropReservation(j.reservation)
	}
	index := j.queued[0]
	j.queued = j.queued[1:]
	if len(j.queued) == 0 {
		j.queued = nil
		s.unlink(j)
	}
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

// park takes a class out until its team uses less.
func (s *Scheduler) park(c *class, reason Reason) {
	s.takeReady(c)
	c.wait = reason
	c.team.parked.add(c)
}

// block takes a class out until a worker of its scope gains room.
func (s *Scheduler) block(c *class, reason Reason) {
	s.takeReady(c)
	c.wait = reason
	sc := c.scope
	if len(sc.blocked.classes) == 0 {
		sc.minBlocked = c.key.size
	}
	sc.minBlocked = smallest(sc.minBlocked, c.key.size)
	sc.urgent = sc.urgent || c.urgent()
	sc.blocked.add(c)
	s.pace(c)
	if s.nextReview.IsZero() {
		s.nextReview = s.now.Add(reviewInterval)
	}
	if c.gang() && !c.considered {
		c.considered = true
		s.reviewSoon = true
	}
}

// pace keeps expensive searches for one class apart.
func (s *Scheduler) pace(c *class) {
	switch {
	case c.gang():
		c.retryAt = s.now.Add(gangRetryInterval)
	case c.urgent():
		c.retryAt = s.now.Add(urgentRetryInterval)
	}
}

// unpark makes the parked classes of a team ready again.
func (s *Scheduler) unpark(t *team) { s.readyAll(&t.parked) }

func (s *Scheduler) readyAll(l *classList) {
	for len(l.classes) > 0 {
		c := l.classes[len(l.classes)-1]
		l.remove(c)
		s.makeReady(c)
	}
}

// changed refreshes the index after a change of a worker and notes the room
// that it offers, for the classes that wait for some.
func (s *Scheduler) changed(w *worker) {
	if w.group == nil {
		return
	}
	w.closed = !w.health.open(s.now)
	w.group.index.place(w)
	if w.hold != nil {
		s.checkHold(w)
	}
	if len(w.claims) > 0 {
		s.checkClaims(w)
	}
}

// gained is changed for a worker that may have more room than before.
func (s *Scheduler) gained(w *worker) {
	s.changed(w)
	if w.group == nil || !w.usable() {
		return
	}
	room := w.available()
	if w.hold != nil {
		// Backfill may use what is held.
		room = room.Add(w.gangHold)
	}
	for _, sc := range w.group.scopes {
		if len(sc.blocked.classes) > 0 {
			sc.gain = largest(sc.gain, room)
			sc.gained = true
		}
	}
}

// wakeGained makes ready the blocked classes that may fit the room gained
// since the last call.
func (s *Scheduler) wakeGained() {
	for _, sc := range s.scopeList {
		if !sc.gained {
			continue
		}
		gain := sc.gain
		sc.gain, sc.gained = cell.Resources{}, false
		if sc.urgent || sc.minBlocked.Fits(gain) {
			s.wake(sc, gain)
		}
	}
}

func (s *Scheduler) wake(sc *scope, gain cell.Resources) {
	l := &sc.blocked
	for i := len(l.classes) - 1; i >= 0; i-- {
		c := l.classes[i]
		if !c.urgent() && !c.key.size.Fits(gain) {
			continue
		}
		if s.now.Before(c.retryAt) {
			s.retryLater(c)
			continue
		}
		l.remove(c)
		s.makeReady(c)
	}
	sc.refreshMin()
}

// retryLater makes a blocked class ready at its retryAt.
func (s *Scheduler) retryLater(c *class) {
	if !c.retrying {
		c.retrying = true
		s.startTimer(timer{at: c.retryAt.UnixNano(), class: c})
	}
}

func (sc *scope) refreshMin() {
	sc.urgent = false
	for i, c := range sc.blocked.classes {
		sc.urgent = sc.urgent || c.urgent()
		if i == 0 {
			sc.minBlocked = c.key.size
		}
		sc.minBlocked = smallest(sc.minBlocked, c.key.size)
	}
}

// wakeAll makes every waiting class ready, after a change of the rules.
func (s *Scheduler) wakeAll() {
	for _, t := range s.teamList {
		s.unpark(t)
	}
	for _, sc := range s.scopeList {
		s.readyAll(&sc.blocked)
	}
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
	if c.list == &c.scope.blocked {
		c.list.remove(c)
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

func smallest(a, b cell.Resources) cell.Resources {
	return cell.Resources{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  min(a.MemoryBytes, b.MemoryBytes),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

func largest(a, b cell.Resources) cell.Resources {
	return cell.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  max(a.MemoryBytes, b.MemoryBytes),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
