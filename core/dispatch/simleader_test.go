package dispatch_test

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/testclock"
)

// leader is the leader of one term.
type leader struct {
	core      *dispatch.Core
	term      uint64
	machine   int  // the machine on which it runs
	deposed   bool // it receives no more commits, but its calls are still in flight
	stopped   bool // it sends no more calls and receives no more answers
	suspended bool // its clock stands still
	lateBy    time.Duration
	waiting   []func()      // answers that arrived while it was suspended
	leaseEnd  time.Duration // by the clock of the simulation
	timer     time.Duration
	// stalled are proposals that wait until the log goes on at stalledUntil.
	stalled      []dispatch.Proposal
	stalledUntil time.Duration
	stalledLease bool // the leader lease is not renewed meanwhile
}

// leaderEpoch is epoch by both clocks of a process.
var leaderEpoch = testclock.At(epoch)

// clock returns the time of the leader's process. After a suspension its monotonic clock is late, and
// its wall clock is right unless the lease is to end on one clock only.
func (l *leader) clock(s *sim) time.Time {
	reading := leaderEpoch.Add(s.now - l.lateBy)
	if s.leaseOnOneClock {
		return reading
	}
	return testclock.StepWall(reading, l.lateBy)
}

// elect starts a term with the committed state.
func (s *sim) elect() {
	s.term++
	restored, err := workload.Restore(s.committed.Snapshot())
	if err != nil {
		s.addViolation("restore: %v", err)
		return
	}
	l := &leader{term: s.term, machine: s.rng.IntN(machines)}
	l.core = dispatch.New(dispatch.Options{
		Term: s.term, Lease: workerLease, MaxLease: maxWorkerLease, HoldWait: time.Second, LateAnswerTime: lateAnswerTime, ClockLagPPM: 20_000, SelfAddress: "self",
	}, restored, l.clock(s))
	s.leader = l
	s.renewLeaderLease(l)
	s.advance(l, 0)
}

// advance advances the clocks of the log and of its leader, and does so again after an interval.
func (s *sim) advance(l *leader, step time.Duration) {
	if l.deposed {
		return
	}
	steadyClock := s.committed.SteadyClock() + step
	s.committed.Expire(s.now, steadyClock)
	l.core.Expire(s.now, steadyClock)
	s.after(workload.AdvanceInterval, func() { s.advance(l, workload.AdvanceInterval) })
}

func (s *sim) renewLeaderLease(l *leader) {
	if l.deposed {
		return
	}
	if !l.stalledLease || s.now >= l.stalledUntil {
		l.leaseEnd = s.now + leaderLease
		l.core.SetLeaderLease(l.clock(s), lease.DeadlineIn(l.clock(s), leaderLease))
	}
	s.after(100*time.Millisecond, func() { s.renewLeaderLease(l) })
}

// replaceLeader ends a term. The next one starts after the leader lease has expired, or at once if
// the leader transfers the leadership. Proposals in flight may be lost.
func (s *sim) replaceLeader() {
	former := s.leader
	if former.deposed {
		return
	}
	former.deposed = true
	electAfter := max(former.leaseEnd-s.now, 0) + s.randomDuration(0, time.Second)
	switch s.rng.IntN(4) {
	case 0:
		former.stopped = true
	case 1:
		former.stopped = true
		electAfter = s.randomDuration(0, 50*time.Millisecond)
	case 2:
		// The leader is cut off from the other replicas. It works on until its lease ends.
		s.formerLeaders = append(s.formerLeaders, former)
		s.after(electAfter, func() { former.stopped = true })
	case 3:
		former.suspended = true
		suspendedAt := s.now
		s.after(electAfter+s.randomDuration(0, 2*time.Second), func() { s.resume(former, suspendedAt) })
	}
	s.after(electAfter, s.elect)
}

// resume ends the suspension of a former leader, whose clock has stood still.
func (s *sim) resume(l *leader, suspendedAt time.Duration) {
	l.suspended = false
	l.lateBy = s.now - suspendedAt
	s.formerLeaders = append(s.formerLeaders, l)
	s.after(2*leaderLease, func() { l.stopped = true })
	for _, deliver := range l.waiting {
		deliver()
	}
	l.waiting = nil
}

// runLeaders calls run for the leader and the former ones that still work.
func (s *sim) runLeaders(run func(*leader)) {
	working := s.formerLeaders[:0]
	for _, l := range s.formerLeaders {
		if !l.stopped {
			working = append(working, l)
			run(l)
		}
	}
	s.formerLeaders = working
	if l := s.leader; l != nil && !l.deposed {
		run(l)
	}
}

// runLeader runs a leader's core and sends its effects.
func (s *sim) runLeader(l *leader) {
	l.core.Tick(l.clock(s))
	e := l.core.Effects()
	for _, p := range e.Proposals {
		if !l.deposed {
			s.after(s.randomDuration(5*time.Millisecond, 40*time.Millisecond), func() { s.commitProposal(l, p) })
		}
	}
	if calls := len(e.Holds) + len(e.Starts) + len(e.Stops); calls > 0 && l.deposed && s.now > l.leaseEnd && !s.leaseOnOneClock {
		s.addViolation("the leader of term %d sends %d calls after the end of its lease", l.term, calls)
	}
	s.sendCalls(l, e)
	for _, a := range e.Advice {
		s.after(s.randomDuration(20*time.Millisecond, 100*time.Millisecond), func() { s.advise(l, a) })
	}
	at := e.Deadline.Sub(l.clock(s)) + s.now
	if !e.Deadline.IsZero() && (l.timer <= s.now || at < l.timer) {
		l.timer = max(at, s.now+time.Millisecond)
		s.after(l.timer-s.now, func() {})
	}
}

// commitProposal commits a proposal. Those of a deposed leader are committed or lost at random.
func (s *sim) commitProposal(l *leader, p dispatch.Proposal) {
	if l != s.leader || l.deposed && s.rng.IntN(2) == 0 {
		return
	}
	if !l.deposed && s.now < faultsEnd && s.now >= l.stalledUntil && s.rng.IntN(400) == 0 {
		l.stalledUntil = s.now + s.randomDuration(100*time.Millisecond, maxStall)
		l.stalledLease = s.rng.IntN(2) == 0
		s.after(l.stalledUntil-s.now, func() { s.commitStalled(l) })
	}
	if s.now < l.stalledUntil {
		l.stalled = append(l.stalled, p)
		s.after(proposeTimeout, func() {
			if slices.ContainsFunc(l.stalled, func(stalled dispatch.Proposal) bool { return stalled.ID == p.ID }) {
				l.answer(func() { l.core.ProposalFailed(l.clock(s), p.ID) })
			}
		})
		return
	}
	s.commit(l, p.ID, p.Command)
}

// proposeTimeout is how long a leader waits for a commit. The command may be committed later.
const proposeTimeout = 5 * time.Second

// maxStall is the longest time for which the log stalls.
const maxStall = 7 * time.Second

// commitStalled commits the proposals of a log that has stalled, in the order in which they were made.
func (s *sim) commitStalled(l *leader) {
	slices.SortFunc(l.stalled, func(a, b dispatch.Proposal) int { return cmp.Compare(a.ID, b.ID) })
	stalled := l.stalled
	l.stalled = nil
	for _, p := range stalled {
		if l == s.leader && !(l.deposed && s.rng.IntN(2) == 0) {
			s.commit(l, p.ID, p.Command)
		}
	}
}

// answer delivers an answer to a leader.
func (l *leader) answer(do func()) {
	switch {
	case l.stopped:
	case l.suspended:
		l.waiting = append(l.waiting, do)
	default:
		do()
	}
}
