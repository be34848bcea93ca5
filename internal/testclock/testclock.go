// Package testclock makes clock readings for tests in which the wall clock and the monotonic clock
// do not advance together.
package testclock

import (
	"time"
	"unsafe"
)

// At returns a reading of both clocks at a wall clock time.
func At(wall time.Time) time.Time {
	now := time.Now()
	return now.Add(wall.Sub(now.Round(0)))
}

// StepWall returns a reading whose wall clock was set forward by d, or back if d is negative, while
// the monotonic clock stood still. A suspension of the machine looks like a step forward.
func StepWall(reading time.Time, d time.Duration) time.Time {
	stepped := reading.Add(d)
	// The second field of a time.Time with a monotonic reading is that reading in nanoseconds.
	(*struct {
		wall      uint64
		monotonic int64
		location  *time.Location
	})(unsafe.Pointer(&stepped)).monotonic -= int64(d)
	return stepped
}
