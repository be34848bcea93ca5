package jobmemory

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/godwitlink/godwitlink/internal/rapidseed"
)

const limit = 16 << 20

// cell simulates what queues hold of jobs that never end.
type cell struct {
	limiter *Limiter
	now     time.Time
	total   int64
	queues  map[string]int64
}

func newCell() *cell {
	return &cell{limiter: New(limit), now: time.Unix(0, 0), queues: map[string]int64{}}
}

func (c *cell) submit(queue string, bytes int64) (time.Duration, bool) {
	retryAfter, ok := c.limiter.Admit(c.now, Use{Total: c.total, Queue: c.queues[queue]}, Job{Bytes: bytes})
	if ok {
		c.total += bytes
		c.queues[queue] += bytes
	}
	return retryAfter, ok
}

const smallJob = 6 << 10

// Guards against a crowd on one queue that shuts out another queue.
func TestCrowdOnOneQueueLeavesRoomForOthers(t *testing.T) {
	for _, bytes := range []int64{smallJob, 300 << 10, 2 << 20} {
		c := newCell()
		for range 10_000 {
			c.submit("crowd", bytes)
			c.now = c.now.Add(time.Millisecond)
		}
		if c.queues["crowd"] < limit/2 {
			t.Errorf("jobs of %d bytes: a queue that is alone holds only %d of %d bytes", bytes, c.queues["crowd"], limit)
		}
		for range 100 {
			if retryAfter, ok := c.submit("ordinary", smallJob); !ok {
				t.Fatalf("jobs of %d bytes: an ordinary job is refused for %v with %d of %d bytes used", bytes, retryAfter, c.total, limit)
			}
		}
	}
}

// Guards against an ordinary caller who is not served on a queue that a crowd has filled, although the crowd has gone.
func TestOrdinaryCallerIsServedAfterCrowd(t *testing.T) {
	for _, bytes := range []int64{smallJob, 20 << 10, 300 << 10} {
		c := newCell()
		for range 30_000 {
			c.submit("q", bytes)
			c.now = c.now.Add(time.Millisecond)
		}
		retryAfter, ok := c.submit("q", smallJob)
		if !ok {
			c.now = c.now.Add(retryAfter)
			if _, ok = c.submit("q", smallJob); !ok {
				t.Errorf("crowd with jobs of %d bytes: an ordinary job is still refused after %v, with %d of %d bytes used", bytes, retryAfter, c.total, limit)
			}
		}
	}
}

// Guards against jobs that pass the limit in any order of sizes, queues and times, and against a refusal
// without a time to come back.
func TestRandomisedJobsStayBelowTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCell()
		for range rapid.IntRange(1, 300).Draw(t, "jobs") {
			queue := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "queue")
			retryAfter, ok := c.submit(queue, rapid.Int64Range(1, limit/4).Draw(t, "bytes"))
			if c.total > limit {
				t.Fatalf("%d of %d bytes used", c.total, limit)
			}
			if !ok && (retryAfter < minRetryAfter || retryAfter > maxRetryAfter) {
				t.Fatalf("refused for %v", retryAfter)
			}
			c.now = c.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
		}
	})
}

// Guards against a refusal that names no time although an ended job is about to make room.
func TestRetryAfterFollowsTheNextRelease(t *testing.T) {
	for _, c := range []struct{ release, want time.Duration }{{0, maxRetryAfter}, {7 * time.Second, 7 * time.Second}, {time.Millisecond, minRetryAfter}, {time.Hour, maxRetryAfter}} {
		if got, ok := New(limit).Admit(time.Unix(0, 0), Use{Total: limit, NextRelease: c.release}, Job{Bytes: 1}); ok || got != c.want {
			t.Errorf("release after %v: refused for %v, %v, want %v", c.release, got, !ok, c.want)
		}
	}
}
