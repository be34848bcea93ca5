package placement

import (
	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/cellconfig"
)

const (
	// packCandidates is the number of fitting workers of a group that are
	// scored for a task that is packed. The index offers the tightest first.
	packCandidates = 32
	// spreadCandidates is the number for a task that is spread. It is larger
	// because the workers that already have a task of the job come first in
	// the order of the index.
	spreadCandidates = 64
	// groupLoadWeight is how much of a tight fit is given up for a group with a
	// lower load: a group that is filled first has no room left for work that
	// must run in its region, and none for gangs.
	groupLoadWeight = 8.0
	// imbalanceWeight is the cost of leaving processors and memory in different
	// shares, of which one is then of little use.
	imbalanceWeight = 1.5
	// halfWorkerWeight is the cost of leaving less than half of a worker where there
	// was half: large tasks wait longest in a full cell. With 900 workers it
	// cut the p99 wait of batch work by 12 to 62 % (docs/decisions/placement.md).
	halfWorkerWeight = 1.5
	// failureWeight exceeds any leftover.
	failureWeight = 10.0
)

// chooseWorker is the score phase for one task: it returns the best worker of the
// scope, or nil where none fits.
func (s *Scheduler) chooseWorker(j *job, sc *scope, size cell.Resources) *worker {
	if sc.policy.Kind == cell.KindService && sc.policy.SpreadBy != cellconfig.SpreadNone {
		return s.chooseSpread(j, sc, size)
	}
	return choosePacked(j, sc, size)
}

// choosePacked returns the worker that the task leaves fullest, with groups of
// low load preferred.
func choosePacked(j *job, sc *scope, size cell.Resources) *worker {
	var best *worker
	bestScore := 0.0
	for _, g := range sc.groups {
		seen := 0
		load := groupLoadWeight * g.load()
		g.visitFitting(size, func(w *worker) bool {
			score := load + leftoverScore(w, size) + failurePenalty(j, w)
			if best == nil || score < bestScore {
				best, bestScore = w, score
			}
			seen++
			return seen < packCandidates
		})
	}
	return best
}

// failurePenalty keeps the next attempt of a job from a worker on which it has
// failed, while others have room.
func failurePenalty(j *job, w *worker) float64 {
	if j.outcomes.failures == 0 {
		return 0
	}
	if here := w.health.byJob[j.id]; here != nil && here.failures > 0 {
		return failureWeight
	}
	return 0
}

// dropsBelowHalf reports whether a worker could hold a task of half its size
// before, and can not any more with left.
func dropsBelowHalf(w *worker, left cell.Resources) bool {
	half := cell.Resources{MilliCPU: w.Capacity.MilliCPU / 2, MemoryBytes: w.Capacity.MemoryBytes / 2}
	return !half.Fits(left) && half.Fits(w.available())
}

// leftoverScore is what stays available on a worker after a task, as the sum of the
// shares of its processors and memory. Accelerators left idle weigh as much.
func leftoverScore(w *worker, size cell.Resources) float64 {
	left := w.available().Sub(size)
	cpu, memory := fraction(left.MilliCPU, w.Capacity.MilliCPU), fraction(left.MemoryBytes, w.Capacity.MemoryBytes)
	sum := cpu + memory + imbalanceWeight*max(cpu-memory, memory-cpu)
	if dropsBelowHalf(w, left) {
		sum += halfWorkerWeight
	}
	return sum + fraction(left.Accelerators, w.Capacity.Accelerators)
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// spreadScore orders workers for a service; lower is better, field by field.
type spreadScore struct {
	domain, rack, worker int // tasks of the job that are there already
	leftover             float64
}

func (a spreadScore) less(b spreadScore) bool {
	if a.domain != b.domain {
		return a.domain < b.domain
	}
	if a.rack != b.rack {
		return a.rack < b.rack
	}
	if a.worker != b.worker {
		return a.worker < b.worker
	}
	return a.leftover < b.leftover
}

// chooseSpread returns the worker that spreads the tasks of a service best.
// Groups with fewer tasks of the job come first, so that the search ends with
// the first failure domain that has room.
func (s *Scheduler) chooseSpread(j *job, sc *scope, size cell.Resources) *worker {
	if j.spread == nil {
		j.spread = newSpreadCount()
	}
	byDomain := sc.policy.SpreadBy == cellconfig.SpreadFailureDomain
	groups := s.groupsBySpread(j, sc, byDomain)
	var best *worker
	var bestScore spreadScore
	for _, g := range groups {
		count := j.spread.domainCount(g, byDomain)
		if best != nil && count > bestScore.domain {
			break
		}
		seen := 0
		g.visitFitting(size, func(w *worker) bool {
			score := j.spread.score(j, w, count, size)
			if best == nil || score.less(bestScore) {
				best, bestScore = w, score
			}
			seen++
			return seen < spreadCandidates && (score.rack > 0 || score.worker > 0)
		})
	}
	return best
}

// groupsBySpread returns the groups of a scope, those with the fewest tasks of the
// job first. The slice is valid until the next call.
func (s *Scheduler) groupsBySpread(j *job, sc *scope, byDomain bool) []*group {
	groups := append(s.groupBuffer[:0], sc.groups...)
	s.groupBuffer = groups
	if !byDomain {
		return groups
	}
	for i := 1; i < len(groups); i++ {
		for k := i; k > 0 && j.spread.domains[groups[k].domain] < j.spread.domains[groups[k-1].domain]; k-- {
			groups[k], groups[k-1] = groups[k-1], groups[k]
		}
	}
	return groups
}

func (c *spreadCount) domainCount(g *group, byDomain bool) int {
	if !byDomain {
		return 0
	}
	return c.domains[g.domain]
}

func (c *spreadCount) score(j *job, w *worker, domain int, size cell.Resources) spreadScore {
	return spreadScore{
		domain:   domain,
		rack:     c.racks[rackKey{w.FailureDomain, w.Rack}],
		worker:   c.workers[w.Name],
		leftover: leftoverScore(w, size) + failurePenalty(j, w),
	}
}
