package policybench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/internal/bench/fakecell"
)

const (
	workerCores, workerGiB = 64, 128
	serviceLoad            = 0.15 // share of the processors that services use
	failingJobShare        = 0.005
)

// arrival is a job of the synthetic day with its actual behaviour.
type arrival struct {
	at            time.Duration
	spec          cell.JobSpec
	runTimeFactor float64 // actual run time divided by the declared one
	usageFactor   float64 // measured use divided by the declared size
	alwaysFails   bool    // every attempt of a task fails
}

// layout returns the cell. Team i has a share in proportion to 1/(i+5), so a few teams are large.
func (o Options) layout() fakecell.Layout {
	pools := []cell.Pool{"general"}
	l := fakecell.Layout{
		Regions: []fakecell.Region{
			{Name: "north", Domains: []cell.FailureDomain{"n1", "n2", "n3"}},
			{Name: "south", Domains: []cell.FailureDomain{"s1", "s2"}},
		},
		Pools: pools,
		Policies: []fakecell.Policy{
			{Name: "service", Kind: cell.KindService, Pools: pools, Spread: "failure-domain"},
			{Name: "batch", Kind: cell.KindBatch, Pools: pools, Spread: "none", Preemptible: true},
			{Name: "gang", Kind: cell.KindGang, Pools: pools, Spread: "none"},
		},
		Backoff: 10 * time.Second,
	}
	total := 0.0
	for i := range o.Teams {
		total += 1 / float64(i+5)
	}
	for i := range o.Teams {
		l.Teams = append(l.Teams, fakecell.Team{
			Name: o.teamName(i), Share: 0.999 / float64(i+5) / total,
			Cores: o.Workers * workerCores, MemoryGiB: o.Workers * workerGiB, UrgentCores: 64,
		})
	}
	return l
}

func (o Options) teamName(i int) cell.Team { return cell.Team(fmt.Sprintf("team-%03d", i)) }

// randomDay returns the jobs of a day. All services are submitted at its start; the other jobs
// arrive 1.5 times as often in the middle of the day as on average.
func (o Options) randomDay(r *rand.Rand) []arrival {
	var jobs []arrival
	capacity := float64(o.Workers * workerCores)
	for cores := 0.0; cores < serviceLoad*capacity; {
		a := o.randomJob(r, 0, "service")
		cores += float64(a.spec.Tasks) * float64(a.spec.Size.MilliCPU) / 1000
		jobs = append(jobs, a)
	}
	first, work := len(jobs), 0.0
	for range o.Jobs {
		position := r.Float64()
		if r.IntN(2) == 0 {
			position = (position + r.Float64()) / 2
		}
		a := o.randomJob(r, time.Duration(position*float64(o.Length)), "")
		work += float64(a.spec.Tasks) * float64(a.spec.Size.MilliCPU) / 1000 * a.spec.RunTime.Seconds() * a.runTimeFactor
		jobs = append(jobs, a)
	}
	scale := (o.Load - serviceLoad) * capacity * o.Length.Seconds() / work
	for i := range jobs[first:] {
		spec := &jobs[first+i].spec
		spec.RunTime = time.Duration(float64(spec.RunTime) * scale)
	}
	return jobs
}

func (o Options) randomJob(r *rand.Rand, at time.Duration, policy cell.PolicyName) arrival {
	cores := []int{1, 2, 2, 4, 4, 4, 8, 8, 8, 8, 16, 16, 16, 32}[r.IntN(14)]
	// The low-numbered teams, which have large shares, submit a smaller part of the jobs than their
	// share.
	team := int(float64(o.Teams) * math.Pow(r.Float64(), 1.7))
	kind := r.IntN(20)
	a := arrival{at: at, runTimeFactor: math.Exp(0.3 * r.NormFloat64()), usageFactor: 0.3 + 0.8*r.Float64(), alwaysFails: r.Float64() < failingJobShare}
	a.spec = cell.JobSpec{
		Name: fmt.Sprintf("job-%d", kind), Team: o.teamName(team), Policy: "batch", Priority: cell.PriorityNormal,
		Tasks: 1 + int(8*r.ExpFloat64()), Size: fakecell.Size(cores, cores*(1+r.IntN(3)), 0),
		RunTime: time.Duration(math.Exp(0.8*r.NormFloat64()) * 2000 * float64(time.Second)), Checkpoints: r.IntN(2) == 0,
	}
	// The declared run times of all jobs of one team and kind are wrong by the same factor.
	a.runTimeFactor *= math.Exp(float64((team*7+kind*3)%9-4) / 3)
	switch p := r.IntN(100); {
	case policy == "service":
		a.spec.Policy, a.spec.RunTime, a.alwaysFails = "service", 0, false
	case p < 5:
		a.spec.Policy, a.spec.Tasks = "gang", 2+r.IntN(15)
		a.spec.Size = fakecell.Size(min(cores, 16), min(cores, 16)*(1+r.IntN(3)), 0)
	case p < 8:
		a.spec.Priority, a.spec.Tasks = cell.PriorityUrgent, 1+r.IntN(3)
		a.spec.Size = fakecell.Size(1+r.IntN(8), 4, 0)
	case p < 18:
		a.spec.Priority = cell.PriorityLow
	}
	if r.IntN(10) == 0 {
		a.spec.Region = "north"
	}
	return a
}
