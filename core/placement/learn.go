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

const (
	// learnRate is the weight of one observation, so that about the last ten
	// count.
	learnRate = 0.2
	// minJobSamples is the number of run times of one job name, and
	// minPolicySamples that of a team and policy, from which they are
	// believed more than the declaration.
	minJobSamples    = 3
	minPolicySamples = 5
	// maxEstimates bounds the memory of the learner. Estimates that were not
	// used since that many others were made are forgotten.
	maxEstimates = 20000
	// unknownRunTime stands in where a batch job declares no run time and
	// nothing was learned.
	unknownRunTime = 10 * time.Minute
	// upperDeviations is the number of standard deviations above the mean
	// that about nine of ten run times stay below.
	upperDeviations = 1.3
	// maxOveruse bounds how far beyond its declared size a task is booked.
	maxOveruse = 2.0
)

// learnKey names what estimates are kept for: jobs of the same name of a team
// and policy, or with an empty name all of its jobs.
type learnKey struct {
	team   cell.Team
	policy cell.PolicyName
	name   string
}

// estimate is the logarithm of run times, relative to the declared ones, and
// of the measured memory relative to the declared size.
type estimate struct {
	samples  int
	mean     float64 // of ln(measured / declared run time)
	variance float64
	usage    float64 // measured memory / declared, 0 where not measured
}

func (e *estimate) observe(logRatio float64) {
	e.samples++
	rate := max(learnRate, 1/float64(e.samples))
	diff := logRatio - e.mean
	e.mean += rate * diff
	e.variance = (1 - rate) * (e.variance + rate*diff*diff)
}

// learner keeps estimates in two generations to bound its memory.
type learner struct{ recent, older map[learnKey]*estimate }

func newLearner() learner { return learner{recent: map[learnKey]*estimate{}} }

// find returns the estimate of a key, or nil.
func (l *learner) find(key learnKey) *estimate {
	if e := l.recent[key]; e != nil {
		return e
	}
	return l.older[key]
}

// keep returns the estimate of a key, which it adds where there is none.
func (l *learner) keep(key learnKey) *estimate {
	if e := l.recent[key]; e != nil {
		return e
	}
	if len(l.recent) >= maxEstimates {
		l.older, l.recent = l.recent, map[learnKey]*estimate{}
	}
	e := l.older[key]
	if e == nil {
		e = &estimate{}
	}
	l.recent[key] = e
	return e
}

func (j *job) learnKeys() [2]learnKey {
	byName := learnKey{j.spec.Team, j.spec.Policy, j.spec.Name}
	byPolicy := learnKey{team: j.spec.Team, policy: j.spec.Policy}
	return [2]learnKey{byName, byPolicy}
}

// declaredRunTime is what ratios of run times refer to.
func (j *job) declaredRunTime() time.Duration {
	if j.spec.RunTime <= 0 {
		return unknownRunTime
	}
	return j.spec.RunTime
}

// learnRunTime takes the run time of a task that succeeded. Tasks that were
// stopped or failed say nothing about it.
func (s *Scheduler) learnRunTime(a *allocation) {
	begin := a.startedAt
	if begin.IsZero() {
		begin = a.placedAt
	}
	run := max(s.now.Sub(begin), time.Millisecond)
	ratio := math.Log(run.Seconds() / a.job.declaredRunTime().Seconds())
	for _, key := range a.job.learnKeys() {
		s.learned.keep(key).observe(ratio)
	}
}

// learnUsage takes measured use.
func (s *Scheduler) learnUsage(a *allocation, used cell.Resources) {
	for _, key := range a.job.learnKeys() {
		e := s.learned.keep(key)
		e.usage = follow(e.usage, share(used.MemoryBytes, a.size.MemoryBytes))
	}
}

func follow(value, sample float64) float64 {
	if value == 0 {
		return sample
	}
	return value + learnRate*(sample-value)
}

// runTime returns the expected run time of a job's tasks and one that few of
// them exceed.
func (s *Scheduler) runTime(j *job) (expected, upper time.Duration) {
	declared := j.declaredRunTime()
	least := [2]int{minJobSamples, minPolicySamples}
	for i, key := range j.learnKeys() {
		if e := s.learned.find(key); e != nil && e.samples >= least[i] {
			expected = scaled(declared, e.mean)
			return expected, scaled(declared, e.mean+upperDeviations*math.Sqrt(e.variance))
		}
	}
	return declared, upperFactor * declared
}

func scaled(d time.Duration, logRatio float64) time.Duration {
	return time.Duration(min(float64(d)*math.Exp(logRatio), float64(neverEnds)))
}

// likelyUse returns what a task is booked at before it is measured: its
// declared size, with more memory where such tasks use more.
func (s *Scheduler) likelyUse(j *job) cell.Resources {
	size := j.spec.Size
	for _, key := range j.learnKeys() {
		e := s.learned.find(key)
		if e == nil || e.usage == 0 {
			continue
		}
		size.MemoryBytes = int64(float64(size.MemoryBytes) * max(1, min(e.usage, maxOveruse)))
		return size
	}
	return size
}

// refreshExpected updates what is expected of a job and returns the bucket of
// its expected run time.
func (s *Scheduler) refreshExpected(j *job) int {
	if s.scope(j.spec.Policy, j.spec.Region).policy.Kind == cell.KindService {
		j.expected, j.upper = 0, 0
		return serviceBucket
	}
	j.expected, j.upper = s.runTime(j)
	return bucketOf(j.expected)
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
