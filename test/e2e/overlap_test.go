package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/agent"
	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/internal/workeragent"
)

// stopMargin is the worker_stop_margin of the cell files: how soon a worker ends its tasks once it
// finds that its lease has expired.
const stopMargin = 500 * time.Millisecond

// activeTime is the time during which a run of a task was active on a worker.
type activeTime struct {
	task     int
	worker   string
	from, to time.Time
}

// activeTimes returns the active times of the runs of a job on all running workers.
func (c *cluster) activeTimes(t *testing.T, id cell.JobID) []activeTime {
	t.Helper()
	var active []activeTime
	for _, w := range c.workers {
		if !w.alive() {
			continue
		}
		for _, run := range c.workerRuns(t, w) {
			if run.Job == id {
				to := activeUntil(run, w.pausedAt, w.resumedAt, time.Now())
				active = append(active, activeTime{run.Task, w.name, run.StartedAt, to})
			}
		}
	}
	return active
}

// activeUntil returns when a run stopped being active. A run that its worker stops within the margin
// after a pause was last active when the worker was paused.
func activeUntil(run workeragent.Run, pausedAt, resumedAt, now time.Time) time.Time {
	end := run.EndedAt
	if end.IsZero() {
		end = now
	}
	paused := run.Outcome == agent.OutcomeStopped && !resumedAt.IsZero() && run.StartedAt.Before(pausedAt) && end.After(resumedAt)
	if paused && end.Sub(resumedAt) <= stopMargin {
		return pausedAt
	}
	return end
}

// overlappingRuns describes two runs of one task that were active at the same time. It returns an
// empty string if there are none.
func overlappingRuns(runs []activeTime) string {
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.task == b.task && a.from.Before(b.to) && b.from.Before(a.to) {
				return fmt.Sprintf("task %d ran on %s and %s at the same time", a.task, a.worker, b.worker)
			}
		}
	}
	return ""
}

// Guards against a check that accepts two runs of a task at once if only one of them succeeds.
func TestOverlappingRunsAreFound(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	cases := map[string]struct {
		runs []activeTime
		want string
	}{
		"one after the other": {[]activeTime{{0, "a", at(1), at(3)}, {0, "b", at(3), at(5)}}, ""},
		"different tasks":     {[]activeTime{{0, "a", at(1), at(3)}, {1, "b", at(2), at(5)}}, ""},
		"partial overlap":     {[]activeTime{{0, "a", at(1), at(3)}, {0, "b", at(2), at(5)}}, "task 0 ran on a and b at the same time"},
		"one within another":  {[]activeTime{{0, "a", at(2), at(3)}, {0, "b", at(1), at(5)}}, "task 0 ran on a and b at the same time"},
		"same worker":         {[]activeTime{{4, "a", at(1), at(9)}, {4, "a", at(2), at(3)}}, "task 4 ran on a and a at the same time"},
	}
	for name, c := range cases {
		if got := overlappingRuns(c.runs); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

// Guards against an active time that includes a pause, or that excuses a run that goes on after it.
func TestActiveTimeOfAPausedWorker(t *testing.T) {
	at := func(millis int64) time.Time { return time.UnixMilli(millis) }
	cases := map[string]struct {
		started, ended, paused, resumed time.Time
		outcome                         agent.Outcome
		want                            time.Time
	}{
		"not paused":                {at(1000), at(6000), time.Time{}, time.Time{}, "stopped", at(6000)},
		"ended right after a pause": {at(1000), at(9400), at(2000), at(9000), "stopped", at(2000)},
		"succeeded after a pause":   {at(1000), at(9400), at(2000), at(9000), "succeeded", at(9400)},
		"went on after a pause":     {at(1000), at(9600), at(2000), at(9000), "stopped", at(9600)},
		"ended before the pause":    {at(1000), at(1500), at(2000), at(9000), "stopped", at(1500)},
		"started after the pause":   {at(9100), at(9300), at(2000), at(9000), "stopped", at(9300)},
		"not ended":                 {at(1000), time.Time{}, at(2000), at(9000), "running", at(20000)},
	}
	for name, c := range cases {
		run := workeragent.Run{StartedAt: c.started, EndedAt: c.ended, Outcome: c.outcome}
		if got := activeUntil(run, c.paused, c.resumed, at(20000)); !got.Equal(c.want) {
			t.Errorf("%s: active until %d, want %d", name, got.UnixMilli(), c.want.UnixMilli())
		}
	}
}
