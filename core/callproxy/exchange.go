package callproxy

import (
	"time"

	"github.com/godwitlink/godwitlink/core/lease"
)

// driftPercent bounds the difference in rate of two clocks, in percent.
const driftPercent = 2

// maxLease limits what a damaged message can permit. A leader lease takes less than a second.
const maxLease = 10 * time.Second

// Clocks is a reading of the clocks of a process.
type Clocks struct {
	Now  time.Time     // monotonic and wall clock
	Boot time.Duration // clock that counts suspensions and is never set
}

// since returns the time since an earlier reading by the clock that has advanced most.
func (c Clocks) since(earlier Clocks) time.Duration {
	return max(lease.Elapsed(earlier.Now, c.Now), c.Boot-earlier.Boot)
}

// Exchange is a reading of the leader's boot clock that was made after the given reading of this process's
// own clocks.
type Exchange struct {
	Asked  Clocks        // before the question was sent
	Leader time.Duration // the leader's clock in the answer
}

// Deadline maps a time of the leader's clock to this process's clocks. The result is never later than the
// given time, as long as no clock is faster than another one by more than driftPercent.
func (e Exchange) Deadline(until time.Duration) lease.Deadline {
	return lease.DeadlineIn(e.Asked.Now, e.allowance(until)).OnBootClock(e.Asked.Boot)
}

// allowance returns the time from the question to a time of the leader's clock, less the drift.
func (e Exchange) allowance(until time.Duration) time.Duration {
	left := min(until-e.Leader, maxLease)
	if left <= 0 {
		return left
	}
	return left - left*driftPercent/100 - 1
}

// Permitted reports whether a deadline has not passed on any clock.
func (c Clocks) Permitted(until lease.Deadline) bool {
	return !until.Passed(c.Now) && !until.PassedOnBootClock(c.Boot)
}

// compareAhead is how far ahead the deadline lies by which two exchanges are compared: about one leader
// lease.
const compareAhead = 500 * time.Millisecond

// Better reports whether an exchange maps a deadline of the near future to a later time than another one.
// Both are valid; an older one loses by the drift, one with a slow answer by its delay.
func (e Exchange) Better(than Exchange, now Clocks) bool {
	until := max(e.Leader, than.Leader) + compareAhead
	return e.allowance(until)-now.since(e.Asked) > than.allowance(until)-now.since(than.Asked)
}
