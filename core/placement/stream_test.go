package placement_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/bench/fakecell"
)

// TestLargeWorkStartsUnderStream guards against gangs and large tasks that starve or block each
// other. Small tasks that fit anywhere keep arriving and run four times as long as declared.
func TestLargeWorkStartsUnderStream(t *testing.T) {
	const declared, actual = 30 * time.Second, 120 * time.Second
	r := newHarness(layout())
	for _, w := range layout().Machines(8, "general", fakecell.Size(16, 64, 0)) {
		r.cell.AddWorker(w)
	}
	small := cell.JobSpec{
		Name: "small", Team: "a", Policy: "fixed", Priority: cell.PriorityNormal, Tasks: 3,
		Size: fakecell.Size(3, 4, 0), RunTime: declared,
	}
	large := cell.JobSpec{
		Name: "large", Team: "b", Policy: "gang", Priority: cell.PriorityNormal, Tasks: 5,
		Size: fakecell.Size(16, 16, 0), RunTime: declared,
	}
	single := large
	single.Policy, single.Tasks = "batch", 1
	var waiting []cell.JobID
	ends := map[cell.AllocationID]time.Time{}
	for second := range 3600 {
		r.now = r.now.Add(time.Second)
		r.cell.Submit(small)
		if second == 300 {
			waiting = append(waiting, r.cell.Submit(large), r.cell.Submit(large), r.cell.Submit(single))
		}
		for id, at := range ends {
			if r.now.After(at) {
				r.cell.End(r.now, id, state.ReportSucceeded)
				delete(ends, id)
			}
		}
		_, result := r.plan(100)
		for _, id := range result.Allocations {
			ends[id] = r.now.Add(actual)
		}
	}
	for _, id := range waiting {
		if r.cell.Jobs[id] != nil {
			t.Errorf("large job has not ended: %s", r.scheduler.Explain(r.now, id))
		}
	}
	if faults := append(r.cell.Violations, r.scheduler.Audit()...); len(faults) > 0 {
		t.Error(faults)
	}
}
