package placement

import (
	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/cellconfig"
)

const (
	// packCandidates is the number of fitting workers of a group that are scored for a task that is
	// packed. The index yields the tightest fit first.
	packCandidates = 32
	// spreadCandidates is the same for a task that is spread. It is larger because workers that
	// already have a task of the job come first in the index.
	spreadCandidates = 64
	// groupLoadWeight is the weight of the load of a group against a tight fit. A group that is
	// filled first has no resources left for work that must run in its region, nor for gangs.
	groupLoadWeight = 8.0
	// imbalanceWeight is the cost of leaving different fractions of processors and memory, because
	// the larger one is then hard to use.
	imbalanceWeight = 1.5
	// halfWorkerWeight is the cost of reducing the available resources of a worker from half of its
	// capacity or more to less than half: large tasks wait longest in a full cell. With 900 workers
	// it reduced the p99 wait of batch work by 12 to 62 % (docs/decisions/placement.md).
	halfWorkerWeight = 1.5
	// failureWeight is larger than any leftoverScore.
	failureWeight = 10.0
)

// chooseWorker is the score phase for one task: it returns the best worker of the scope, or nil if
// none fits.
func (s *Scheduler) chooseWorker(j *job, sc *scope, size cell.Resources) *worker {
	if sc.policy.Kind == cell.KindService && sc.policy.SpreadBy != cellconfig.SpreadNone {
		return s.chooseSpread(j, sc, size)
	}
	return choosePacked(j, sc, size)
}

// choosePacked returns the worker with the lowest leftoverScore; groups with a low load are
// preferred.
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

// failurePenalty makes the next attempt of a job avoid workers on which it has failed.
func failurePenalty(j *job, w *worker) float64 {
	if j.outcomes.failures == 0 {
		return 0
	}
	if here := w.health.byJob[j.id]; here != nil && here.failures > 0 {
		return failureWeight
	}
	return 0
}

// dropsBelowHalf reports whether a task of half the worker's capacity fits before a placement and
// no longer fits left, the resources available after it.
func dropsBelowHalf(w *worker, left cell.Resources) bool {
	half := cell.Resources{MilliCPU: w.Capacity.MilliCPU / 2, MemoryBytes: w.Capacity.MemoryBytes / 2}
	return !half.Fits(left) && half.Fits(w.available())
}

// leftoverScore scores the resources that stay available on a worker after a task; lower is better.
// It adds the fractions of processors, memory and accelerators with the costs of imbalance and of
// dropping below half.
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

// spreadScore ranks workers for a service; lower is better, field by field.
type spreadScore struct {
	domain, rack, worker int // tasks of the job that already run there
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

// chooseSpread returns the worker with the lowest spreadScore. It visits groups with fewer tasks of
// the job first, so that the search ends with the first failure domain that has a fitting worker.
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

// groupsBySpread returns the groups of a scope, ordered by the number of tasks of the job in their
// failure domain if byDomain is set. The slice is valid until the next call.
func (s *Scheduler) groupsBySpread(j *job, sc *scope, byDomain bool) []*workerGroup {
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

func (c *spreadCount) domainCount(g *workerGroup, byDomain bool) int {
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
