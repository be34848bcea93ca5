package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/internal/bootclock"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/testclock"
)

// countingClient counts the calls that are sent.
type countingClient struct{ holds, starts, stops int }

func (c *countingClient) Hold(context.Context, func() bool, dispatch.Hold) dispatch.HoldReport {
	c.holds++
	return dispatch.HoldReport{}
}

func (c *countingClient) Start(context.Context, func() bool, dispatch.Start) (dispatch.Outcome, int64) {
	c.starts++
	return dispatch.OutcomeOK, 0
}

func (c *countingClient) Stop(context.Context, func() bool, dispatch.Stop) (dispatch.Outcome, int64) {
	c.stops++
	return dispatch.OutcomeOK, 0
}

// Guards against calls that were decided before the machine was suspended and are sent afterwards,
// when another replica may lead (platform rule TWICE).
func TestCallsDecidedBeforeASuspensionAreNotSent(t *testing.T) {
	boot, err := bootclock.Now()
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		suspension  time.Duration
		wallSetBack bool
		want        countingClient
	}{
		"not suspended":               {0, false, countingClient{1, 1, 1}},
		"suspended":                   {time.Minute, false, countingClient{}},
		"suspended and wall set back": {time.Minute, true, countingClient{}},
	} {
		client := &countingClient{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := &eventLoop{opts: Options{Workers: client, Metrics: metrics.New()}, results: make(chan callResult)}
		decided := time.Now()
		if !c.wallSetBack {
			decided = testclock.StepWall(decided, -c.suspension)
		}
		l.term = &leaderTerm{ctx: ctx, cancel: cancel, leaderLease: lease.DeadlineIn(decided, 30*time.Second).OnBootClock(boot - c.suspension)}
		l.sendHold(dispatch.Hold{})
		<-l.results
		l.sendStart(dispatch.Start{Timeout: time.Second})
		<-l.results
		l.sendStop(dispatch.Stop{})
		<-l.results
		if *client != c.want {
			t.Errorf("%s: calls %+v, want %+v", name, *client, c.want)
		}
	}
}
