package dispatcher

import (
	"context"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/internal/bootclock"
)

// leasedClient sends calls until the leader lease under which they were decided ends. The machine
// may have been suspended between the decision and the call.
type leasedClient struct {
	workers     WorkerClient
	leaderLease lease.Deadline
}

// isLeaseOver reports whether the leader lease has ended on any clock, or whether that is unknown.
func (c leasedClient) isLeaseOver() bool {
	boot, err := bootclock.Now()
	return err != nil || c.leaderLease.Passed(time.Now()) || c.leaderLease.PassedOnBootClock(boot)
}

// isLeaseValid is passed to each call, which asks again once it has a connection.
func (c leasedClient) isLeaseValid() bool { return !c.isLeaseOver() }

func (c leasedClient) Hold(ctx context.Context, hold dispatch.Hold) dispatch.HoldReport {
	if c.isLeaseOver() {
		return dispatch.HoldReport{Outcome: dispatch.OutcomeNotPermitted}
	}
	return c.workers.Hold(ctx, c.isLeaseValid, hold)
}

func (c leasedClient) Start(ctx context.Context, start dispatch.Start) (outcome dispatch.Outcome, clock int64) {
	if c.isLeaseOver() {
		return dispatch.OutcomeNotPermitted, 0
	}
	return c.workers.Start(ctx, c.isLeaseValid, start)
}

func (c leasedClient) Stop(ctx context.Context, stop dispatch.Stop) (outcome dispatch.Outcome, clock int64) {
	if c.isLeaseOver() {
		return dispatch.OutcomeNotPermitted, 0
	}
	return c.workers.Stop(ctx, c.isLeaseValid, stop)
}
