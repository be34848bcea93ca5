package dispatcher

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/bootclock"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// slowClient answers a hold after a time, or when its context ends.
type slowClient struct {
	countingClient
	after time.Duration
	ended atomic.Int64 // holds that ended without an answer
}

func (c *slowClient) Hold(ctx context.Context, _ func() bool, _ dispatch.Hold) dispatch.HoldReport {
	select {
	case <-time.After(c.after):
		return dispatch.HoldReport{}
	case <-ctx.Done():
		c.ended.Add(1)
		return dispatch.HoldReport{Outcome: dispatch.OutcomeNoAnswer}
	}
}

// leaderLoop returns an event loop with a valid leader lease.
func leaderLoop(t *testing.T, workers WorkerClient) *eventLoop {
	boot, err := bootclock.Now()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	l := &eventLoop{opts: Options{Workers: workers, Metrics: metrics.New()}, results: make(chan callResult, 4)}
	l.term = &leaderTerm{
		ctx: ctx, cancel: cancel, leaderLease: lease.DeadlineIn(time.Now(), time.Minute).OnBootClock(boot),
		core: dispatch.New(dispatch.Options{}, workload.New(), time.Now()), lateHolds: map[workload.WorkerID][]context.CancelFunc{},
	}
	return l
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
			l := leaderLoop(t, &slowClient{after: c.after})
			defer l.term.cancel()
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
		})
	}
}

// Guards against holds that occupy the connections of a worker after it has answered a later one.
func TestLateHoldEndsOnceALaterOneIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &slowClient{after: time.Hour}
		l := leaderLoop(t, client)
		defer l.term.cancel()
		hold := dispatch.Hold{Call: dispatch.Call{Worker: "w"}, Wait: time.Second}
		l.sendHold(hold)
		l.handleResult(<-l.results)
		l.opts.Workers = &slowClient{}
		l.sendHold(hold)
		l.handleResult(<-l.results)
		synctest.Wait()
		if got := client.ended.Load(); got != 1 {
			t.Errorf("%d holds have ended without an answer, want 1", got)
		}
	})
}
