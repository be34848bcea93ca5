package policybench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/internal/bench/fakecell"
)

// classes are the classes of work whose waiting times are reported.
var classes = []string{"urgent", "service", "batch", "low", "gang"}

// figures collects the measurements of a run.
type figures struct {
	waits                   map[string]*hdrhistogram.Histogram // milliseconds
	samples, waitingSamples float64                            // number of all samples, and of those with waiting work
	packingSum              float64                            // sum of the used share of the cell over the samples with waiting work
	lostWork, totalWork     float64                            // thousandths of a core times seconds
	failures, failedJobs    int
	unstarted               int
	shares                  map[cell.Team]*shareSum
	quarantinedSum          float64 // number of healthy workers in quarantine, summed over all samples
	capacity                cell.Resources
}

// shareSum compares the share of the cell that a team used with the share that it was entitled to,
// summed over the samples in which it had waiting work.
type shareSum struct {
	share          float64
	used, entitled float64
	samples        int
}

// minShareSamples is the number of samples with waiting work from which a team's share is
// evaluated. With fewer samples, only single tasks of the team were waiting.
const minShareSamples = 15

func newFigures(o Options) figures {
	f := figures{waits: map[string]*hdrhistogram.Histogram{}, shares: map[cell.Team]*shareSum{}}
	for _, class := range classes {
		f.waits[class] = hdrhistogram.New(1, int64(48*time.Hour/time.Millisecond), 3)
	}
	for _, t := range o.layout().Teams {
		f.shares[t.Name] = &shareSum{share: t.Share}
	}
	f.capacity = fakecell.Size(workerCores, workerGiB, 0).Scale(int64(o.Workers))
	return f
}

func (f *figures) recordWait(spec cell.JobSpec, wait time.Duration) {
	class := string(spec.Policy)
	switch {
	case spec.Priority == cell.PriorityUrgent:
		class = "urgent"
	case spec.Priority == cell.PriorityLow && spec.Policy == "batch":
		class = "low"
	}
	// RecordValue fails only above 48 hours, which is longer than any simulated day.
	_ = f.waits[class].RecordValue(max(1, wait.Milliseconds()))
}

// countUnstarted counts the tasks that never started and records their time until the end of the
// day as their waiting time.
func (s *simulation) countUnstarted() {
	for id, j := range s.jobs {
		if c := s.cell.Jobs[id]; c == nil || c.Ended {
			continue
		}
		for _, started := range j.started {
			if !started {
				s.unstarted++
				s.recordWait(j.spec, s.now.Sub(j.submitted))
			}
		}
	}
}

// sample records the use of the cell and of each team, and schedules the next sample.
func (s *simulation) sample() {
	s.after(sampleInterval, s.sample)
	var used cell.Resources
	byTeam, wanted := map[cell.Team]cell.Resources{}, map[cell.Team]cell.Resources{}
	minUnit := map[cell.Team]float64{} // smallest share of the cell that a waiting job of a team needs to start
	for _, a := range s.cell.Allocations {
		used = used.Add(a.Size)
		byTeam[a.Team] = byTeam[a.Team].Add(a.Size)
	}
	for id, j := range s.cell.Jobs {
		if s.now.Sub(s.jobs[id].submitted) < waitThreshold || j.Ended || s.jobs[id].alwaysFails {
			continue
		}
		for i, t := range j.Tasks {
			if t == cell.TaskQueued && j.Attempts[i] == 0 {
				wanted[j.Spec.Team] = wanted[j.Spec.Team].Add(j.Spec.Size)
				minUnit[j.Spec.Team] = s.minStartUnit(minUnit[j.Spec.Team], j.Spec)
			}
		}
	}
	s.totalWork += float64(used.MilliCPU) * sampleInterval.Seconds()
	s.samples++
	if q, ok := s.planner.(interface{ Quarantined() []cell.WorkerName }); ok {
		for _, name := range q.Quarantined() {
			if !s.broken[name] {
				s.quarantinedSum++
			}
		}
	}
	if len(wanted) > 0 {
		s.waitingSamples++
		s.packingSum += used.DominantShare(s.capacity)
	}
	for team, want := range wanted {
		sum := s.shares[team]
		usedShare := byTeam[team].DominantShare(s.capacity)
		entitledShare := min(sum.share, byTeam[team].Add(want).DominantShare(s.capacity))
		if usedShare+minUnit[team] > sum.share {
			entitledShare = min(entitledShare, usedShare) // no waiting task or gang fits into the remaining share
		}
		sum.used += min(entitledShare, usedShare)
		sum.entitled += entitledShare
		sum.samples++
	}
}

// minStartUnit returns the smaller of least, unless it is 0, and the share of the cell that a job
// needs to start: that of all tasks for a gang, and that of one task otherwise.
func (s *simulation) minStartUnit(least float64, spec cell.JobSpec) float64 {
	size := spec.Size
	if spec.Policy == "gang" {
		size = size.Scale(int64(spec.Tasks))
	}
	if unit := size.DominantShare(s.capacity); least == 0 || unit < least {
		return unit
	}
	return least
}

// lowestShare returns the smallest fraction of its entitled share that a team got.
func (f *figures) lowestShare() float64 {
	lowest := 1.0
	for _, sum := range f.shares {
		if sum.samples >= minShareSamples {
			lowest = min(lowest, sum.used/sum.entitled)
		}
	}
	return lowest
}
