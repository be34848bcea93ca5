package policybench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/internal/bench/fakecell"
)

// classes are the columns of waiting times.
var classes = []string{"urgent", "service", "batch", "low", "gang"}

// figures are what a run is judged by.
type figures struct {
	waits                               map[string]*hdrhistogram.Histogram // milliseconds
	samples, waitingSamples, packingSum float64                            // all; with waiting work; sum of use in these
	lostWork, totalWork                 float64                            // thousandths of a core times seconds
	failures, failedJobs                int
	unstarted                           int
	shares                              map[cell.Team]*shareSum
	quarantinedSum                      float64 // sum of good workers in quarantine over the samples
	capacity                            cell.Resources
}

// shareSum compares what a team got with what it was due, over the samples in
// which it had work waiting.
type shareSum struct {
	share    float64
	got, due float64
	samples  int
}

// minShareSamples is the number of samples with waiting work from which a
// team's share is judged: shorter waits are those of single tasks.
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
	// The histogram reaches beyond any day.
	_ = f.waits[class].RecordValue(max(1, wait.Milliseconds()))
}

// countUnstarted counts the tasks that never started with the time that they
// waited until the end of the day.
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

// sample looks at the cell at regular times.
func (s *simulation) sample() {
	s.after(sampleInterval, s.sample)
	var used cell.Resources
	byTeam, wanted := map[cell.Team]cell.Resources{}, map[cell.Team]cell.Resources{}
	minUnit := map[cell.Team]float64{} // smallest share that a team can start
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
		got := byTeam[team].DominantShare(s.capacity)
		due := min(sum.share, byTeam[team].Add(want).DominantShare(s.capacity))
		if got+minUnit[team] > sum.share {
			due = min(due, got) // a task or gang larger than what is left of the share
		}
		sum.got += min(due, got)
		sum.due += due
		sum.samples++
	}
}

// minStartUnit returns the smaller of least and what a job must start at once.
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

// lowestShare is the smallest part of its due that any team got.
func (f *figures) lowestShare() float64 {
	lowest := 1.0
	for _, sum := range f.shares {
		if sum.samples >= minShareSamples {
			lowest = min(lowest, sum.got/sum.due)
		}
	}
	return lowest
}
