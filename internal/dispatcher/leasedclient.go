package dispatcher

import (
	"context"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/lease"
)

// leasedClient sends calls until the leader lease under which they were decided ends. The machine
// may have been suspended between the decision and the call.
type leasedClient struct {
	workers     WorkerClient
	leaderLease lease.Deadline
}

func (c leasedClient) Hold(ctx context.Context, hold dispatch.Hold) dispatch.HoldReport {
	if c.leaderLease.Passed(time.Now()) {
		return dispatch.HoldReport{Outcome: dispatch.OutcomeNotSent}
	}
	return c.workers.Hold(ctx, hold)
}

func (c leasedClient) Start(ctx context.Context, start dispatch.Start) (outcome dispatch.Outcome, clock int64) {
	if c.leaderLease.Passed(time.Now()) {
		return dispatch.OutcomeNotSent, 0
	}
	return c.workers.Start(ctx, start)
}

func (c leasedClient) Stop(ctx context.Context, stop dispatch.Stop) (outcome dispatch.Outcome, clock int64) {
	if c.leaderLease.Passed(time.Now()) {
		return dispatch.OutcomeNotSent, 0
	}
	return c.workers.Stop(ctx, stop)
}
