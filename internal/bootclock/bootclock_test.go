package bootclock

import (
	"testing"
	"time"
)

// Guards against a clock in another unit, or one that stands still.
func TestClockAdvancesWithTime(t *testing.T) {
	const pause = 20 * time.Millisecond
	startedAt := time.Now()
	before, err := Now()
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(pause)
	after, err := Now()
	if err != nil {
		t.Fatal(err)
	}
	if elapsed, limit := after-before, time.Since(startedAt); elapsed < pause || elapsed > limit {
		t.Errorf("the clock has advanced by %v in %v to %v", elapsed, pause, limit)
	}
}
