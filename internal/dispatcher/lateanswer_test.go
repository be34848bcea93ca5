package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/internal/bootclock"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// slowClient answers a hold after a time, or when its context ends.
type slowClient struct {
	countingClient
	after time.Duration
}

func (c *slowClient) Hold(ctx context.Context, _ dispatch.Hold) dispatch.HoldReport {
	select {
	case <-time.After(c.after):
		return dispatch.HoldReport{}
	case <-ctx.Done():
		return dispatch.HoldReport{Outcome: dispatch.OutcomeNoAnswer}
	}
}

// Guards against an answer to a hold that is discarded because it is read after the hold has timed out
// (platform rule TWICE).
func TestAnswerToAHoldIsDeliveredAfterItsTimeout(t *testing.T) {
	hold := dispatch.Hold{Wait: time.Second}
	timeout := hold.Wait + holdTimeoutMargin
	for name, c := range map[string]struct {
		after time.Duration
		want  []time.Duration
	}{
		"in time":  {timeout / 2, []time.Duration{timeout / 2}},
		"late":     {timeout + lateAnswerTime/2, []time.Duration{timeout, timeout + lateAnswerTime/2}},
		"too late": {timeout + 2*lateAnswerTime, []time.Duration{timeout}},
	} {
		synctest.Test(t, func(t *testing.T) {
			boot, err := bootclock.Now()
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			l := &eventLoop{opts: Options{Workers: &slowClient{after: c.after}, Metrics: metrics.New()}, results: make(chan callResult, 4)}
			l.term = &leaderTerm{ctx: ctx, cancel: cancel, leaderLease: lease.DeadlineIn(time.Now(), time.Minute).OnBootClock(boot)}
			started := time.Now()
			l.sendHold(hold)
			for _, want := range c.want {
				<-l.results
				if got := time.Since(started); got != want {
					t.Errorf("%s: a result after %v, want %v", name, got, want)
				}
			}
			time.Sleep(3 * lateAnswerTime)
			synctest.Wait()
			if len(l.results) > 0 {
				t.Errorf("%s: %d more results", name, len(l.results))
			}
			cancel()
		})
	}
}
