package workeragent

import (
	"context"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/agent"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/testclock"
)

// Guards against a task that starts, or counts as completed, although the machine was suspended past
// the end of the lease after the agent had decided the start.
func TestNoStartAfterASuspension(t *testing.T) {
	for suspension, want := range map[time.Duration]int{0: 1, time.Minute: 0} {
		w := New(Settings{}, Hooks{}, eventlog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.runner.run(ctx)
		decided := testclock.StepWall(time.Now(), -suspension)
		w.applyEffects(ctx, decided, agent.Effects{Lease: 30 * time.Second, Starts: []agent.Task{{Allocation: 7, Command: "sleep 1ms"}}})
		end := <-w.ended
		runs := make(chan []Run)
		w.runner.queries <- runs
		if got := <-runs; len(got) != want {
			t.Errorf("%d tasks started after a suspension of %v, want %d", len(got), suspension, want)
		}
		if completed := end.outcome == agent.OutcomeSucceeded; completed != (want == 1) || end.allocation != 7 {
			t.Errorf("end %+v after a suspension of %v", end, suspension)
		}
	}
}
