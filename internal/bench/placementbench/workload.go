package placementbench

import (
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/internal/bench/fakecell"
)

// randomJob returns a random job: 20% are services, 10% gangs, and the others batch jobs of one to
// four tasks, of which a few are urgent or of low priority.
func (d *driver) randomJob() cell.JobSpec {
	r := d.random
	cores := 1 << r.IntN(4)
	spec := cell.JobSpec{
		Name: "mix", Team: teamName(r.IntN(teams)), Policy: "batch", Priority: cell.PriorityNormal,
		Tasks: 1 + r.IntN(4), Size: fakecell.Size(cores, cores*(1+r.IntN(3)), 0),
		RunTime: time.Duration(1+r.IntN(60)) * time.Minute, Checkpoints: r.IntN(2) == 0,
	}
	switch p := r.IntN(100); {
	case p < 20:
		spec.Policy, spec.RunTime = "service", 0
	case p < 30:
		spec.Policy, spec.Tasks = "gang", 2+r.IntN(7)
	case p < 32:
		spec.Priority, spec.Tasks = cell.PriorityUrgent, 1
	case p < 40:
		spec.Priority = cell.PriorityLow
	}
	if r.IntN(4) == 0 {
		spec.Region = "north"
	}
	return spec
}

// smallJob returns a job of one small task.
func (d *driver) smallJob() cell.JobSpec {
	return cell.JobSpec{
		Name: "small", Team: teamName(d.random.IntN(teams)), Policy: "batch", Priority: cell.PriorityNormal,
		Tasks: 1, Size: fakecell.Size(1, 1, 0), RunTime: time.Minute,
	}
}
