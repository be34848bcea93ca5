package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/testclock"
)

// countingClient counts the calls that are sent.
type countingClient struct{ holds, starts, stops int }

func (c *countingClient) Hold(context.Context, dispatch.Hold) dispatch.HoldReport {
	c.holds++
	return dispatch.HoldReport{}
}

func (c *countingClient) Start(context.Context, dispatch.Start) (dispatch.Outcome, int64) {
	c.starts++
	return dispatch.OutcomeOK, 0
}

func (c *countingClient) Stop(context.Context, dispatch.Stop) (dispatch.Outcome, int64) {
	c.stops++
	return dispatch.OutcomeOK, 0
}

// Guards against calls that were decided before the machine was suspended and are sent afterwards,
// when another replica may lead (platform rule TWICE).
func TestCallsDecidedBeforeASuspensionAreNotSent(t *testing.T) {
	for suspension, want := range map[time.Duration]countingClient{0: {1, 1, 1}, time.Minute: {0, 0, 0}} {
		client := &countingClient{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := &eventLoop{opts: Options{Workers: client, Metrics: metrics.New()}, results: make(chan callResult)}
		decided := testclock.StepWall(time.Now(), -suspension)
		l.term = &leaderTerm{ctx: ctx, cancel: cancel, leaderLease: lease.DeadlineIn(decided, 30*time.Second)}
		l.sendHold(dispatch.Hold{})
		<-l.results
		l.sendStart(dispatch.Start{Timeout: time.Second})
		<-l.results
		l.sendStop(dispatch.Stop{})
		<-l.results
		if *client != want {
			t.Errorf("calls %+v after a suspension of %v, want %+v", *client, suspension, want)
		}
	}
}
