// Package jobmemory decides whether a new job finds room in the memory that the control processes have for jobs.
// An accepted job is kept until it has ended and for some time after, so a crowd of callers could otherwise fill the
// memory of all replicas with jobs inside the limits.
//
// The load that it handles: any number of callers that send jobs as fast as they are answered, of any legal size, to
// one queue or to many, while few jobs or none end. Callers need that what was accepted stays accepted, that a
// refusal comes at once with a time to come back, and that a queue or team that holds little is served beside
// those that hold much.
//
// The limit of a queue or team is a multiple of the free memory, so that one of them can use most of the memory while
// it is alone and there is always some left for the others. What is above that limit is paced: small jobs are
// accepted at a rate that falls with the free memory, so that an ordinary caller of a queue that a crowd fills
// is served soon after the crowd has gone, and now and then beside it.
package jobmemory

import "time"

const (
	// freeFactor is how many times the free memory a queue or team may hold without being paced: one that is
	// alone may hold four fifths of the memory.
	freeFactor = 4
	// pacedTime is how long it takes to accept paced jobs that fill 1 - 1/e of the free memory.
	pacedTime = 5 * time.Minute
	// maxPacedPart is the largest paced job as a part of the free memory, 1/maxPacedPart. A larger job would delay
	// the next one too long.
	maxPacedPart = 64
)

// Limits of the time after which a refused caller may come back.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Use is the memory that jobs take, in bytes, those that wait for the log included.
type Use struct {
	Total int64
	Queue int64 // of the jobs of the new job's queue
	Team  int64 // of the jobs of its team
	// NextRelease is when an ended job takes less memory at the latest; 0 if no job has ended.
	NextRelease time.Duration
}

// Job is what the decision needs to know of a new job.
type Job struct {
	Bytes   int64
	HasTeam bool
}

// Limiter limits the memory that jobs take. It is not safe for concurrent use.
type Limiter struct {
	bytes     int64
	nextPaced time.Time // when the next paced job may be accepted
}

// New returns a limiter for a number of bytes.
func New(bytes int64) *Limiter { return &Limiter{bytes: bytes} }

// Bytes returns the limit.
func (l *Limiter) Bytes() int64 { return l.bytes }

// Admit decides on a new job. A refused caller may come back after retryAfter.
func (l *Limiter) Admit(now time.Time, use Use, job Job) (retryAfter time.Duration, admitted bool) {
	free := l.bytes - use.Total - job.Bytes
	if free < 0 {
		return retryTime(use.NextRelease), false
	}
	limit := freeFactor * free
	if use.Queue+job.Bytes <= limit && (!job.HasTeam || use.Team+job.Bytes <= limit) {
		return 0, true
	}
	if job.Bytes*maxPacedPart > free {
		return retryTime(use.NextRelease), false
	}
	if now.Before(l.nextPaced) {
		return retryTime(l.nextPaced.Sub(now)), false
	}
	l.nextPaced = now.Add(time.Duration(float64(pacedTime) * float64(job.Bytes) / float64(free)))
	return 0, true
}

// retryTime returns when a caller may come back if memory is free after the given time; 0 means that this is not
// known.
func retryTime(wait time.Duration) time.Duration {
	if wait == 0 {
		return maxRetryAfter
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
