package dispatch_test

import (
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// machines is the number of machines on which leaders run. Each leader runs on one of them.
const machines = 3

// maxLateness is the longest time after which a worker carries out a call without an answer.
const maxLateness = 12 * time.Second

// maxCut is the longest duration of a partition. It exceeds the time for which a start is in doubt.
const maxCut = 20 * time.Second

// lateness returns the time after which a late call is carried out, half of them in the last seconds.
func (s *sim) lateness() time.Duration {
	if s.rng.IntN(2) == 0 {
		return s.randomDuration(9*time.Second, maxLateness)
	}
	return s.randomDuration(time.Second, maxLateness)
}

// cut is a partition between a machine and a worker.
type cut struct {
	machine    int // -1 for all machines
	worker     workload.WorkerID
	until      time.Duration
	toWorker   bool // calls do not arrive
	fromWorker bool // answers do not arrive
}

// cutsBetween returns which directions between a machine and a worker are cut, and until when.
func (s *sim) cutsBetween(machine int, w *fakeWorker) cut {
	found := cut{}
	kept := s.cuts[:0]
	for _, c := range s.cuts {
		if c.until <= s.now {
			continue
		}
		kept = append(kept, c)
		if c.worker == w.id && (c.machine < 0 || c.machine == machine) {
			found.toWorker, found.fromWorker = found.toWorker || c.toWorker, found.fromWorker || c.fromWorker
			found.until = max(found.until, c.until)
		}
	}
	s.cuts = kept
	return found
}

// cutOff cuts a worker off from the current leader's machine, from the other machines or from all.
func (s *sim) cutOff(w *fakeWorker) {
	until := s.now + s.randomDuration(200*time.Millisecond, maxCut)
	c := cut{worker: w.id, until: until, toWorker: true, fromWorker: true}
	switch s.rng.IntN(3) {
	case 0:
		c.toWorker = false
	case 1:
		c.fromWorker = false
	}
	current := s.leader.machine
	switch s.rng.IntN(3) {
	case 0:
		c.machine = -1
		s.cuts = append(s.cuts, c)
	case 1:
		c.machine = current
		s.cuts = append(s.cuts, c)
	default:
		for machine := range machines {
			if c.machine = machine; machine != current {
				s.cuts = append(s.cuts, c)
			}
		}
	}
	if s.rng.IntN(3) == 0 {
		s.after(s.randomDuration(0, until-s.now), func() { s.crash(w) })
	}
}

// rebornBehindCut lets a worker start again at once and cuts it off before or after its new boot has
// been called.
func (s *sim) rebornBehindCut(w *fakeWorker) {
	if !w.up {
		return
	}
	s.restart(w, s.randomDuration(time.Millisecond, 100*time.Millisecond))
	s.after(s.randomDuration(0, 500*time.Millisecond), func() { s.cutOff(w) })
}

// registerLater registers a new boot, behind a cut at once or only after the cut.
func (s *sim) registerLater(w *fakeWorker) {
	afterCut := s.rng.IntN(2) == 0
	s.after(s.randomDuration(0, time.Second), func() {
		c := s.cutsBetween(s.leader.machine, w)
		if afterCut && (c.toWorker || c.fromWorker) {
			s.after(c.until-s.now, func() { s.register(w) })
			return
		}
		s.register(w)
	})
}

// delivery is a call on its way to a worker.
type delivery struct {
	leader  *leader
	to      dispatch.Call
	timeout time.Duration
	repeats bool // the call may be carried out twice
	// carryOut carries out the call and passes a function that delivers the answer to reply.
	carryOut func(w *fakeWorker, late bool, reply func(answer func()))
	failed   func(dispatch.Outcome)
}

// callWorker delivers a call to a worker. Some calls are carried out late or never, and some
// answers are lost.
func (s *sim) callWorker(d delivery) {
	w := s.worker(d.to.Worker)
	answered := false
	answer := func(do func()) {
		if answered {
			return
		}
		answered = true
		d.leader.answer(do)
	}
	s.after(d.timeout, func() { answer(func() { d.failed(dispatch.OutcomeNoAnswer) }) })
	noReply := func(func()) {}
	deliverLate := func(delay time.Duration) {
		s.after(delay, func() {
			if w.up {
				d.carryOut(w, true, noReply)
			}
		})
	}
	share := 0
	if s.now < faultsEnd {
		share = 20
		if s.now < w.slowUntil {
			share = 2
		}
	}
	path := s.cutsBetween(d.leader.machine, w)
	switch {
	case path.toWorker && path.fromWorker && s.rng.IntN(2) == 0:
		s.after(s.randomDuration(time.Millisecond, 20*time.Millisecond), func() { answer(func() { d.failed(dispatch.OutcomeNotSent) }) })
		return
	case path.toWorker:
		if s.rng.IntN(3) == 0 {
			deliverLate(min(path.until-s.now+s.randomDuration(time.Millisecond, time.Second), maxLateness))
		}
		return
	case share > 0 && s.rng.IntN(share) == 0:
		if s.rng.IntN(4) > 0 {
			deliverLate(s.lateness())
		}
		return
	}
	if d.repeats && share > 0 && s.rng.IntN(share) == 0 {
		deliverLate(s.randomDuration(10*time.Millisecond, maxLateness))
	}
	answerLost := share > 0 && s.rng.IntN(2*share) == 0
	s.after(s.randomDuration(time.Millisecond, 20*time.Millisecond), func() {
		if !w.up {
			answer(func() { d.failed(dispatch.OutcomeNotSent) })
			return
		}
		if s.now < w.rejectsUntil && s.rng.IntN(2) == 0 {
			s.after(s.randomDuration(time.Millisecond, 20*time.Millisecond), func() { answer(func() { d.failed(dispatch.OutcomeUnhealthy) }) })
			return
		}
		d.carryOut(w, false, func(do func()) {
			if answerLost || s.cutsBetween(d.leader.machine, w).fromWorker {
				return
			}
			s.after(s.randomDuration(time.Millisecond, 20*time.Millisecond), func() { answer(do) })
		})
	})
}

// sendCalls sends the calls of a leader.
func (s *sim) sendCalls(l *leader, e dispatch.Effects) {
	for _, h := range e.Holds {
		failed := func(outcome dispatch.Outcome) {
			l.core.HoldAnswered(l.clock(s), h.Call, dispatch.HoldReport{Outcome: outcome})
		}
		s.callWorker(delivery{l, h.Call, h.Timeout, true, func(w *fakeWorker, _ bool, reply func(func())) {
			s.hold(w, h, func(report dispatch.HoldReport) {
				reply(func() {
					if report.Boot > h.Boot {
						w.bootEnded(report.Boot-1, s.now)
					}
					l.core.HoldAnswered(l.clock(s), h.Call, report)
				})
			})
		}, failed})
	}
	for _, st := range e.Starts {
		s.trace(st.Task, "term %d sends the start of run %d to %s boot %d", l.term, st.Run, st.Worker, st.Boot)
		s.history.of(st.Task).sent(st.Run, s.now)
		failed := func(outcome dispatch.Outcome) { l.core.StartAnswered(l.clock(s), st, outcome, 0) }
		s.callWorker(delivery{l, st.Call, st.Timeout, false, func(w *fakeWorker, late bool, reply func(func())) {
			reply(s.start(l, w, st, late))
		}, failed})
	}
	for _, st := range e.Stops {
		s.trace(st.Task, "term %d sends the stop of run %d to %s boot %d", l.term, st.Run, st.Worker, st.Boot)
		failed := func(outcome dispatch.Outcome) { l.core.StopAnswered(l.clock(s), st, outcome, 0) }
		s.callWorker(delivery{l, st.Call, st.Timeout, true, func(w *fakeWorker, _ bool, reply func(func())) {
			outcome, clock := w.stop(st), w.clock(s.now)
			s.trace(st.Task, "stop of run %d for %s boot %d reaches boot %d: %v", st.Run, w.id, st.Boot, w.boot, outcome)
			reply(func() { l.core.StopAnswered(l.clock(s), st, outcome, clock) })
		}, failed})
	}
}

// hold carries out a hold. The answer waits for the end of a run if there is none to report.
func (s *sim) hold(w *fakeWorker, h dispatch.Hold, reply func(dispatch.HoldReport)) {
	report := w.hold(h, s.now)
	if report.Outcome != dispatch.OutcomeOK || len(report.Ends) > 0 || h.Wait == 0 {
		reply(report)
		return
	}
	boot, answered := w.boot, false
	answer := func() {
		if !answered && w.up && w.boot == boot {
			answered = true
			reply(w.report(s.now))
		}
	}
	w.waiting = append(w.waiting, answer)
	s.after(h.Wait, answer)
}
