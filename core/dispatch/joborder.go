package dispatch

import (
	"cmp"
	"math/bits"
)

// The order of jobs that other rules leave in any order, under a load of 80 to 140 percent of what the
// workers can do. Every job is worth the same to its caller if it ends within its objective, and a fifth or
// nothing if it does not, so the jobs with the least work that is left are placed first, and the largest
// last: a job may overtake those of its priority that need four times as much or more. Among jobs of
// similar size, the one whose latest start comes first goes first. At 95 percent load 0.94 of the worth is
// served in this way and 0.88 in order of arrival (TestSmallJobsGoFirst).

// updateSizeClass calculates the size class of a job from the expected work of its remaining tasks in
// millicores times milliseconds. Sizes within a class differ by up to four times.
func (j *job) updateSizeClass() {
	work := uint64(0)
	for i := range j.steps {
		spec := &j.Spec.Steps[i]
		task := uint64(max(spec.Size.MilliCPU, 1)) * uint64(max(j.steps[i].expected.Milliseconds(), 1))
		work += uint64(max(j.Steps[i].RemainingTasks, 0)) * task
	}
	j.sizeClass = bits.Len64(work) / 2
}

// place holds what decides the order of a waiting step, computed once for each plan. A plan compares
// thousands of steps, and reading their jobs for each comparison takes longer than the comparison.
type place struct {
	rank       int64 // rules that come before the use of the teams: usefulness, priority, share
	timeliness timeliness
	sizeClass  int8
	gangWork   int64 // work of an overdue gang
	// latestStart is when the step must start for its job to end within its objective, in Unix nanoseconds.
	latestStart int64
	position    int // in order of arrival
}

const (
	// maxPriority bounds the part of the priority in a rank. Priorities above it count as equal.
	maxPriority = 1 << 30
	// noObjective is the size class of jobs without an objective. Under load they go after the others of
	// their priority, in order of arrival.
	noObjective = 127
)

func newReadyStep(j *job, index int, t timeliness, position int) readyStep {
	r := readyStep{job: j, index: index, timeliness: t}
	r.place = place{
		rank: int64(max(t, overdue))<<40 + int64(min(max(j.Queue.Priority, -maxPriority), maxPriority))<<1, timeliness: t,
		sizeClass: int8(j.sizeClass), gangWork: r.overdueGangWork(), position: position,
	}
	if j.BeyondShare {
		r.place.rank++
	}
	if j.objective > 0 {
		r.place.latestStart = j.localAcceptedAt.UnixNano() + int64(j.objective-j.steps[index].criticalPath)
	} else {
		r.place.sizeClass = noObjective
	}
	return r
}

func (p *place) compare(o *place) int {
	switch {
	case p.rank != o.rank:
		return cmp.Compare(p.rank, o.rank)
	case p.timeliness != o.timeliness:
		return cmp.Compare(p.timeliness, o.timeliness)
	case p.gangWork != o.gangWork:
		return cmp.Compare(p.gangWork, o.gangWork)
	case p.sizeClass != o.sizeClass:
		return cmp.Compare(p.sizeClass, o.sizeClass)
	case p.latestStart != o.latestStart:
		return cmp.Compare(p.latestStart, o.latestStart)
	}
	return cmp.Compare(p.position, o.position)
}
