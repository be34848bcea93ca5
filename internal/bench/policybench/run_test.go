package policybench

import (
	"io"
	"testing"
	"time"
)

// Guards against placements that exceed a capacity or a quota or split a gang, and against a
// scheduler that delays urgent jobs on a cell with broken workers.
func TestSmallDayKeepsRules(t *testing.T) {
	o := Options{Workers: 60, Teams: 20, Jobs: 300, Length: 2 * time.Hour, Load: 1, Broken: 2}
	for _, p := range policies {
		s := newSimulation(o, 1, p.make())
		s.run()
		for _, v := range s.cell.Violations {
			t.Errorf("%s: %s", p.name, v)
		}
		if wait := seconds(s.waits["urgent"], 99); p.name == "godwitlink" && wait > 1.3 {
			t.Errorf("p99 of the waiting time of urgent tasks is %.2f s, want at most 1.3 s", wait)
		}
	}
	if err := Run(io.Discard, Options{}); err == nil {
		t.Error("Run accepts empty options")
	}
}
