package placement

import (
	"math"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/runtimes"
)

// Run time buckets: bucket n stands for 2^n seconds.
const (
	serviceRunTimeBucket = -1 // services, which have no expected end
	maxRunTimeBucket     = 24 // about 194 days
)

const (
	// estimateWeight is the weight of one observation in the moving averages: about the last ten
	// observations count.
	estimateWeight = 0.2
	// minJobSamples is the number of observed run times of a job name, and minPolicySamples that of
	// a team and policy, from which the estimate is used instead of the declared run time.
	minJobSamples    = 3
	minPolicySamples = 5
	// maxRecentEstimates bounds the memory of an estimateStore. An estimate is dropped if it is not
	// used while this many others are added.
	maxRecentEstimates = 20000
	// defaultRunTime is assumed for a batch job that declares no run time and has no estimate.
	defaultRunTime = 10 * time.Minute
	// About nine of ten run times are at most upperDeviations standard deviations above the mean.
	upperDeviations = 1.3
	// maxOveruse bounds the memory that is booked for a task before it is measured, as a multiple
	// of its declared memory.
	maxOveruse = 2.0
)

// estimateKey identifies an estimate: for the jobs of one name of a team and policy, or, if name is
// empty, for all jobs of the team and policy.
type estimateKey struct {
	team   cell.Team
	policy cell.PolicyName
	name   string
}

// estimate is the distribution of the run times and the mean ratio of measured to declared memory.
type estimate struct {
	runTime     runtimes.Moments
	memoryRatio float64 // measured / declared memory; 0 if not measured
}

// estimateStore holds the estimates.
type estimateStore = runtimes.Recent[estimateKey, estimate]

func newEstimateStore() estimateStore {
	return runtimes.NewRecent[estimateKey, estimate](maxRecentEstimates)
}

func (j *job) estimateKeys() [2]estimateKey {
	byName := estimateKey{j.spec.Team, j.spec.Policy, j.spec.Name}
	byPolicy := estimateKey{team: j.spec.Team, policy: j.spec.Policy}
	return [2]estimateKey{byName, byPolicy}
}

// declaredRunTime returns the run time to which measured run times are compared.
func (j *job) declaredRunTime() time.Duration {
	if j.spec.RunTime <= 0 {
		return defaultRunTime
	}
	return j.spec.RunTime
}

// recordRunTime updates the estimates with the run time of a task that succeeded. Tasks that were
// stopped or failed are not recorded, because they did not run to their end.
func (s *Scheduler) recordRunTime(a *allocation) {
	begin := a.startedAt
	if begin.IsZero() {
		begin = a.placedAt
	}
	run := max(s.now.Sub(begin), time.Millisecond)
	for _, key := range a.job.estimateKeys() {
		s.estimates.FindOrAdd(key).runTime.Observe(run, a.job.declaredRunTime(), estimateWeight)
	}
}

// recordUsage updates the estimates with the measured memory of a task.
func (s *Scheduler) recordUsage(a *allocation, used cell.Resources) {
	for _, key := range a.job.estimateKeys() {
		e := s.estimates.FindOrAdd(key)
		e.memoryRatio = movingAverage(e.memoryRatio, fraction(used.MemoryBytes, a.size.MemoryBytes))
	}
}

func movingAverage(value, sample float64) float64 {
	if value == 0 {
		return sample
	}
	return value + estimateWeight*(sample-value)
}

// estimateRunTime returns the expected run time of a job's tasks and an upper bound that few of
// them exceed.
func (s *Scheduler) estimateRunTime(j *job) (expected, upper time.Duration) {
	declared := j.declaredRunTime()
	least := [2]int{minJobSamples, minPolicySamples}
	for i, key := range j.estimateKeys() {
		if e := s.estimates.Find(key); e != nil && e.runTime.Samples >= least[i] {
			return e.runTime.RunTime(declared, 0, serviceRunTime), e.runTime.RunTime(declared, upperDeviations, serviceRunTime)
		}
	}
	return declared, upperFactor * declared
}

// expectedUsage returns the resources that are booked for a task before it is measured: its
// declared size, with more memory if earlier tasks of its kind have used more.
func (s *Scheduler) expectedUsage(j *job) cell.Resources {
	size := j.spec.Size
	for _, key := range j.estimateKeys() {
		e := s.estimates.Find(key)
		if e == nil || e.memoryRatio == 0 {
			continue
		}
		size.MemoryBytes = int64(float64(size.MemoryBytes) * max(1, min(e.memoryRatio, maxOveruse)))
		return size
	}
	return size
}

// updateExpectedRunTime updates the expected run time of a job and returns its bucket.
func (s *Scheduler) updateExpectedRunTime(j *job) int {
	if s.scopeFor(j.spec.Policy, j.spec.Region).policy.Kind == cell.KindService {
		j.expectedRunTime, j.upperRunTime = 0, 0
		return serviceRunTimeBucket
	}
	j.expectedRunTime, j.upperRunTime = s.estimateRunTime(j)
	return runTimeBucket(j.expectedRunTime)
}

func runTimeBucket(d time.Duration) int {
	if d <= time.Second {
		return 0
	}
	return min(int(math.Log2(d.Seconds())+0.5), maxRunTimeBucket)
}

func bucketRunTime(bucket int) time.Duration {
	if bucket == serviceRunTimeBucket {
		return 0
	}
	return time.Second << bucket
}

// runTimePenalty returns the time, in nanoseconds, by which the expected run time of a class moves
// it back in the order of its team.
func (s *Scheduler) runTimePenalty(expected time.Duration) int64 {
	weighted := time.Duration(float64(expected) * s.opts.RunTimeWeight)
	return int64(min(weighted, maxRunTimePenalty))
}
