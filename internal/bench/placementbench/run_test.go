package placementbench

import (
	"io"
	"testing"
)

// Guards against a scheduler that overcommits a worker or a quota or places a gang in part under
// the load of the benchmark, and against a row that stops making decisions.
func TestRowsKeepPlacementRules(t *testing.T) {
	o := DefaultOptions()
	o.Workers, o.Decisions, o.QueuedTasks = []int{50}, 2000, 3000
	for _, r := range o.rows() {
		d := newDriver(r.workers, o.Seed)
		d.fillCell(r.fill)
		d.fillQueue(r.queue, o.QueuedTasks)
		d.resetMeasurement()
		for steps := 0; d.decisions < o.Decisions; steps++ {
			if steps > 100*o.Decisions {
				t.Fatalf("%s: %d decisions in %d steps", r.label(), d.decisions, steps)
			}
			d.step(r)
		}
		for _, v := range d.cell.Violations {
			t.Errorf("%s: %s", r.label(), v)
		}
	}
	if err := Run(io.Discard, Options{}); err == nil {
		t.Error("Run accepts empty options")
	}
}
