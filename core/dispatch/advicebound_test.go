package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// newAdvisedBacklog returns a testbed with a queue of fast advice calls, 100 requesters and a number of jobs.
func newAdvisedBacklog(t *testing.T, requesters, jobs int) *testbed {
	b := newTestbed(t, append(registerWorkers(100), configureQueues(advisedQueue("fast", 0, 20*time.Millisecond)))...)
	b.tick(0)
	b.answerHolds(dispatch.HoldReport{})
	for i := range requesters {
		b.core.RequesterSeen(b.now, fmt.Sprint("requester", i))
	}
	for i := range jobs {
		b.core.Apply(b.now, b.now, 0, submitJobTo("fast", workload.JobID(fmt.Sprint("j", i)), oneTask))
	}
	return b
}

// Guards against hundreds of fast calls that wait at one requester: they are answered in the order in which
// they were made, after their tickets would have been of use.
func TestFastAdviceCallsWaitForABoundedTime(t *testing.T) {
	const requesters, jobs = 4, 1000
	b := newAdvisedBacklog(t, requesters, jobs)
	calls := map[string]int{}
	for range 10 {
		for _, call := range b.tick(10 * time.Millisecond).Advice {
			calls[call.Requester]++
		}
	}
	total := 0
	for requester, n := range calls {
		total += n
		// A call takes 28 ms or more. Those of 100 ms and 200 ms more are in flight at most.
		if n > 12 {
			t.Errorf("%d calls in flight at %s", n, requester)
		}
	}
	if total < requesters {
		t.Errorf("%d calls in flight at %d requesters", total, requesters)
	}
	if load := b.core.Load(); load.Bounds != 1 {
		t.Errorf("%d bounds are active, want that of advice calls", load.Bounds)
	}
}

// Guards against a requester that is slow to pass on answers and gets ever more calls because the adviser
// alone would be done with them. It must be used again as usual once it is fast.
func TestSlowRequesterGetsFewCalls(t *testing.T) {
	b := newAdvisedBacklog(t, 0, 1000)
	type waitingCall struct {
		id uint64
		at time.Time
	}
	var waiting []waitingCall
	play := func(delay, duration time.Duration) (most int) {
		for end := b.now.Add(duration); b.now.Before(end); {
			for len(waiting) > 0 && !b.now.Before(waiting[0].at) {
				b.core.AdviceAnswered(b.now, waiting[0].id, dispatch.Grant{OK: true, TicketTTL: time.Second})
				waiting = waiting[1:]
			}
			for _, call := range b.tick(5 * time.Millisecond).Advice {
				waiting = append(waiting, waitingCall{call.ID, b.now.Add(delay)})
			}
			most = max(most, len(waiting))
		}
		return most
	}
	play(600*time.Millisecond, 3*time.Second)
	if most := play(600*time.Millisecond, 2*time.Second); most > 2 {
		t.Errorf("%d calls in flight at a requester that takes 600 ms for each", most)
	}
	play(30*time.Millisecond, time.Second)
	if most := play(30*time.Millisecond, time.Second); most < 2 {
		t.Errorf("%d calls in flight at a requester that is fast again", most)
	}
}

// Guards against answers and reservations for jobs that have ended while the adviser was asked about them.
func TestAdviceCallsOfEndedJobsAreDropped(t *testing.T) {
	b := newAdvisedBacklog(t, 1, 1)
	calls := b.tick(replanDelay).Advice
	if len(calls) != 1 {
		t.Fatalf("advice calls %+v, want one", calls)
	}
	b.core.Apply(b.now, b.now, 0, workload.Command{Cancel: &workload.Cancel{ID: "j0"}})
	if dropped := b.tick(replanDelay).DroppedAdvice; len(dropped) != 1 || dropped[0] != calls[0].ID {
		t.Errorf("dropped calls %v, want %d", dropped, calls[0].ID)
	}
	if load := b.core.Load(); load.AdviceCalls != 0 {
		t.Errorf("%d calls in flight", load.AdviceCalls)
	}
	b.core.AdviceAnswered(b.now, calls[0].ID, dispatch.Grant{OK: true, TicketTTL: time.Second})
}

// Guards against a leader that avoids nearly all requesters because it read their answers too late: the
// calls of the whole cell would then wait at the few that are left.
func TestRequestersAreUsedAlthoughMostCallsWereLost(t *testing.T) {
	const requesters = 20
	b := newAdvisedBacklog(t, requesters, 1000)
	used := map[string]bool{}
	for range 300 {
		for i := range requesters {
			b.core.RequesterSeen(b.now, fmt.Sprint("requester", i))
		}
		for _, call := range b.tick(10 * time.Millisecond).Advice {
			if b.now.Sub(epoch) > 1500*time.Millisecond {
				used[call.Requester] = true
			}
		}
	}
	if len(used) < requesters/2 {
		t.Errorf("%d of %d requesters are used after their calls were lost", len(used), requesters)
	}
}
