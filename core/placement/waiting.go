package placement

import (
	"slices"

	"github.com/godwitlink/godwitlink/core/cell"
)

// wakeLimit is the number of classes that one call wakes for one change. Each
// is tried, and the room of one worker serves few of them; the others are
// looked at again when these have been tried.
const wakeLimit = 16

// classList is an unordered set of classes that wait for the same change.
type classList struct{ classes []*class }

func (l *classList) add(c *class) {
	c.list, c.at = l, len(l.classes)
	l.classes = append(l.classes, c)
}

// remove takes c out. A nil list holds nothing.
func (l *classList) remove(c *class) {
	if l == nil {
		return
	}
	last := l.classes[len(l.classes)-1]
	l.classes[c.at], last.at = last, c.at
	l.classes[len(l.classes)-1] = nil
	l.classes = l.classes[:len(l.classes)-1]
	c.list = nil
}

// best adds to found the classes that pass ok, up to limit of them, those
// whose turn comes first.
func (l *classList) best(found []*class, limit int, ok func(*class) bool) []*class {
	for _, c := range l.classes {
		if len(found) == limit && !c.precedes(found[limit-1]) || !ok(c) {
			continue
		}
		at := len(found)
		for at > 0 && c.precedes(found[at-1]) {
			at--
		}
		found = slices.Insert(found, at, c)
		found = found[:min(len(found), limit)]
	}
	return found
}

// park takes a class out until its team uses less.
func (s *Scheduler) park(c *class, reason Reason) {
	s.takeReady(c)
	c.wait = reason
	c.team.parked.add(c)
}

// teamFreed notes that a team uses less than before.
func (s *Scheduler) teamFreed(t *team) {
	if !t.freed && len(t.parked.classes) > 0 {
		t.freed = true
		s.freedTeams = append(s.freedTeams, t)
	}
}

// wake makes ready what the changes since the last call may have made possible,
// and reports whether there is any.
func (s *Scheduler) wake() bool {
	freed := s.unpark()
	return s.wakeGained() || freed
}

// unpark makes ready some of what the quotas of the freed teams admit now.
func (s *Scheduler) unpark() bool {
	woken := false
	teams := s.freedTeams
	s.freedTeams = s.freedTeams[:0]
	for _, t := range teams {
		s.scratch = t.parked.best(s.scratch[:0], wakeLimit, func(c *class) bool {
			return c.admit(c.together()) == ReasonNone
		})
		for _, c := range s.scratch {
			c.list.remove(c)
			s.makeReady(c)
		}
		t.freed = len(s.scratch) == wakeLimit
		if t.freed {
			s.freedTeams = append(s.freedTeams, t)
		}
		woken = woken || len(s.scratch) > 0
	}
	return woken
}

// together is the number of tasks of the class that start together.
func (c *class) together() int {
	if c.gang() {
		return len(c.head.queued)
	}
	return 1
}

// block takes a class out until a worker of its scope gains room.
func (s *Scheduler) block(c *class, reason Reason) {
	s.takeReady(c)
	c.wait = reason
	c.triedGain = c.scope.gainCount
	c.scope.add(c)
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

// retryLater makes a blocked class ready at its retryAt.
func (s *Scheduler) retryLater(c *class) {
	if !c.retrying {
		c.retrying = true
		s.startTimer(timer{at: c.retryAt.UnixNano(), class: c})
	}
}

// changed refreshes the index after a change of a worker.
func (s *Scheduler) changed(w *worker) {
	if w.group == nil {
		return
	}
	w.closed = !w.health.open(s.now)
	w.group.index.place(w)
	w.count()
	if w.hold != nil {
		s.checkHold(w)
	}
	if len(w.claims) > 0 {
		s.checkClaims(w)
	}
}

// count refreshes what the worker contributes to the load of its group.
func (w *worker) count() {
	g := w.group
	g.capacity, g.used = g.capacity.Sub(w.counted), g.used.Sub(w.countedUsed)
	w.counted, w.countedUsed = cell.Resources{}, cell.Resources{}
	if w.usable() {
		w.counted, w.countedUsed = w.Capacity, w.used
	}
	g.capacity, g.used = g.capacity.Add(w.counted), g.used.Add(w.countedUsed)
}

// gained is changed for a worker that may have more room than before, which
// is noted for the classes that wait for some.
func (s *Scheduler) gained(w *worker) {
	s.changed(w)
	if w.group == nil || !w.usable() {
		return
	}
	room := w.available()
	held := w.hold != nil && s.now.Before(w.hold.window)
	for _, sc := range w.group.scopes {
		sc.gain = largest(sc.gain, room)
		sc.gainCount++
		sc.gained = true
		if held {
			sc.heldGain = largest(sc.heldGain, room.Add(w.gangHold))
			sc.heldGained = true
		}
	}
}

// offerHeld adds the room gained on reserved workers to what is offered. It is
// paced because most classes that fit there do not end in time.
func (s *Scheduler) offerHeld(sc *scope) {
	if !sc.heldGained || s.now.Before(sc.backfillAt) {
		return
	}
	sc.gain = largest(sc.gain, sc.heldGain)
	sc.gainCount++
	sc.gained = true
	sc.heldGain, sc.heldGained, sc.heldOffer = cell.Resources{}, false, true
	sc.backfillAt = s.now.Add(backfillInterval)
}

// wakeGained makes ready some of the blocked classes that may fit the room
// gained, and reports whether there are any.
func (s *Scheduler) wakeGained() bool {
	woken := false
	for _, sc := range s.scopeList {
		s.offerHeld(sc)
		if !sc.gained {
			continue
		}
		found := s.fittingClasses(sc)
		for _, c := range found {
			sc.remove(c)
			s.makeReady(c)
		}
		if len(found) < wakeLimit {
			sc.gain, sc.gained, sc.heldOffer = cell.Resources{}, false, false
		}
		woken = woken || len(found) > 0
	}
	return woken
}

// fittingClasses returns the classes to try for the room gained, at most
// wakeLimit, those whose turn comes first. The slice is valid until the next
// call.
func (s *Scheduler) fittingClasses(sc *scope) []*class {
	found := s.scratch[:0]
	clear(s.roomFor)
	for _, sh := range sc.shapes {
		if sh.tried == sc.gainCount || len(sh.buckets) == 0 || !sh.offered(sc) {
			continue
		}
		before := len(found)
		for _, b := range sh.buckets {
			found = s.addFitting(found, sc, b)
		}
		if len(found) == before {
			sh.tried = sc.gainCount
		}
	}
	s.scratch = found
	return found
}

// offered reports whether the room gained may suit any class of the shape.
// Urgent classes are offered any gain: it may complete what preemption frees.
func (sh *shape) offered(sc *scope) bool {
	return sh.urgent || (sh.least.Fits(sc.gain) && sc.hasRoom(sh.least))
}

// addFitting adds the first class of a bucket where it may fit. The others of
// the bucket have the same size and team and are behind it.
func (s *Scheduler) addFitting(found []*class, sc *scope, b *bucket) []*class {
	c := b.waiting[0]
	if !c.urgent() && !c.key.size.Fits(sc.gain) {
		return found
	}
	if len(found) == wakeLimit && !before(c, found[wakeLimit-1]) || !s.mayRetry(c) {
		return found
	}
	if !c.urgent() && !s.roomForSize(sc, c.key.size) {
		c.triedGain = sc.gainCount
		return found
	}
	at := len(found)
	for at > 0 && before(c, found[at-1]) {
		at--
	}
	found = slices.Insert(found, at, c)
	return found[:min(len(found), wakeLimit)]
}

// mayRetry reports whether a class has not been tried since the last gain and
// its pace allows another search.
func (s *Scheduler) mayRetry(c *class) bool {
	if c.triedGain == c.scope.gainCount {
		return false
	}
	if s.now.Before(c.retryAt) {
		s.retryLater(c)
		return false
	}
	return true
}

// roomForSize is hasRoom with a memory that lasts for one call of
// fittingClasses.
func (s *Scheduler) roomForSize(sc *scope, size cell.Resources) bool {
	room, known := s.roomFor[size]
	if !known {
		room = sc.hasRoom(size)
		s.roomFor[size] = room
	}
	return room
}

// hasRoom reports whether any worker has size available. While reserved
// workers are offered for backfill, they count.
func (sc *scope) hasRoom(size cell.Resources) bool {
	if sc.heldOffer && size.Fits(sc.gain) {
		return true
	}
	found := false
	for _, g := range sc.groups {
		g.fitting(size, func(*worker) bool {
			found = true
			return false
		})
		if found {
			return true
		}
	}
	return false
}

// wakeAll makes every waiting class ready, after a change of the rules.
func (s *Scheduler) wakeAll() {
	for _, t := range s.teamList {
		s.readyAll(&t.parked)
	}
	for _, sc := range s.scopeList {
		for _, c := range sc.classes() {
			sc.remove(c)
			s.makeReady(c)
		}
	}
}

func (s *Scheduler) readyAll(l *classList) {
	for len(l.classes) > 0 {
		c := l.classes[len(l.classes)-1]
		l.remove(c)
		s.makeReady(c)
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
