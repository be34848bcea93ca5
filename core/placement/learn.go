package placement

import (
	"math"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// Buckets of run times are powers of two of a second.
const (
	serviceBucket = -1 // no expected end
	maxBucket     = 24 // about 194 days
)

// runTimeBucket returns the bucket of the run time that is expected of a job.
func (s *Scheduler) runTimeBucket(j *job) int {
	if s.scope(j.spec.Policy, j.spec.Region).policy.Kind == cell.KindService {
		return serviceBucket
	}
	return bucketOf(j.spec.RunTime)
}

func bucketOf(d time.Duration) int {
	if d <= time.Second {
		return 0
	}
	return min(int(math.Log2(d.Seconds())+0.5), maxBucket)
}

func bucketTime(bucket int) time.Duration {
	if bucket == serviceBucket {
		return 0
	}
	return time.Second << bucket
}

// headStart is the waiting time that an expected run time counts as, in
// nanoseconds.
func (s *Scheduler) headStart(expected time.Duration) int64 {
	weighted := time.Duration(float64(expected) * s.opts.RunTimeWeight)
	return int64(min(weighted, maxHeadStart))
}
