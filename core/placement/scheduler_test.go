package placement_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/placement"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/bench/fakecell"
)

var start = time.Unix(1_800_000_000, 0)

// run is a scheduler on a fake cell with a clock that the test moves.
type run struct {
	now  time.Time
	s    *placement.Scheduler
	cell *fakecell.Cell
	log  strings.Builder
}

func newRun(l fakecell.Layout) *run {
	r := &run{now: start, s: placement.New(placement.DefaultOptions())}
	r.cell = fakecell.New(l, func(e state.Event) { r.s.Step(r.now, e) })
	return r
}

// plan makes and commits one plan.
func (r *run) plan(limit int) (state.CommitPlan, state.PlanResult) {
	plan := r.s.Plan(r.now, limit)
	result := r.cell.Apply(r.now, plan)
	r.s.PlanApplied(r.now, plan, result)
	return plan, result
}

func layout() fakecell.Layout {
	pools := []cell.Pool{"general", "accel"}
	general := pools[:1]
	return fakecell.Layout{
		Regions: []fakecell.Region{{Name: "east", Domains: []cell.FailureDomain{"e1", "e2"}}, {Name: "west", Domains: []cell.FailureDomain{"w1"}}},
		Pools:   pools,
		Policies: []fakecell.Policy{
			{Name: "service", Kind: cell.KindService, Pools: general, Spread: "failure-domain"},
			{Name: "batch", Kind: cell.KindBatch, Pools: general, Spread: "none", Preemptible: true},
			{Name: "fixed", Kind: cell.KindBatch, Pools: general, Spread: "none"},
			{Name: "accel", Kind: cell.KindBatch, Pools: pools[1:], Spread: "none"},
			{Name: "gang", Kind: cell.KindGang, Pools: general, Spread: "none"},
		},
		Teams: []fakecell.Team{
			{Name: "a", Share: 0.5, Cores: 1000, MemoryGiB: 4000, Accelerators: 8, UrgentCores: 16},
			{Name: "b", Share: 0.25, Cores: 1000, MemoryGiB: 4000, UrgentCores: 16},
			{Name: "small", Share: 0.25, Cores: 4, MemoryGiB: 16, UrgentCores: 2},
		},
		Backoff: 10 * time.Second,
	}
}

// TestPlacement runs the scenarios of testdata; each says what it guards
// against.
func TestPlacement(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		r := newRun(layout())
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			r.log.Reset()
			r.command(t, d)
			for _, v := range r.cell.Violations {
				t.Errorf("%s: %s", d.Pos, v)
			}
			r.cell.Violations = nil
			return r.log.String()
		})
	})
}

func (r *run) command(t *testing.T, d *datadriven.TestData) {
	switch d.Cmd {
	case "reset":
		*r = *newRun(layout())
	case "workers":
		r.addWorkers(t, d)
	case "remove":
		r.cell.RemoveWorker(r.now, cell.WorkerName(text(t, d, "name", "")))
	case "retire":
		l := layout()
		l.Retired = []cell.WorkerName{cell.WorkerName(text(t, d, "name", ""))}
		r.cell.Configure(l)
	case "submit":
		for range number(t, d, "times", 1) {
			fmt.Fprintf(&r.log, "job %d\n", r.cell.Submit(spec(t, d)))
		}
	case "cancel":
		r.cell.Cancel(cell.JobID(number(t, d, "job", 0)))
	case "sleep":
		r.sleep(t, d)
	case "plan":
		r.describe(number(t, d, "limit", 1000))
	case "drop":
		plan := r.s.Plan(r.now, 1000)
		fmt.Fprintf(&r.log, "%d placements lost\n", len(plan.Placements))
		r.s.PlanApplied(r.now, plan, state.PlanResult{})
	case "refuse":
		plan := r.s.Plan(r.now, 1000)
		result := state.PlanResult{}
		for range plan.Placements {
			result.Placements = append(result.Placements, state.Refusal(text(t, d, "reason", "")))
		}
		fmt.Fprintf(&r.log, "%d placements refused\n", len(plan.Placements))
		r.s.PlanApplied(r.now, plan, result)
	case "end":
		r.end(t, d)
	case "start":
		r.cell.Start(cell.AllocationID(number(t, d, "alloc", 0)))
	case "use":
		r.cell.Use(cell.AllocationID(number(t, d, "alloc", 0)), sizeOf(t, d))
	case "explain":
		e := r.s.Explain(r.now, cell.JobID(number(t, d, "job", 0)))
		fmt.Fprintf(&r.log, "%s\n", e)
	default:
		t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
	}
}

func (r *run) sleep(t *testing.T, d *datadriven.TestData) {
	pause, err := time.ParseDuration(text(t, d, "for", "1s"))
	if err != nil {
		t.Fatal(err)
	}
	r.now = r.now.Add(pause)
}

func (r *run) addWorkers(t *testing.T, d *datadriven.TestData) {
	pool := cell.Pool(text(t, d, "pool", "general"))
	for _, w := range layout().Machines(number(t, d, "n", 1), pool, sizeOf(t, d)) {
		if only := text(t, d, "domain", string(w.FailureDomain)); only == string(w.FailureDomain) {
			r.cell.AddWorker(w)
		}
	}
}

func (r *run) describe(limit int) {
	plan, result := r.plan(limit)
	for i, p := range plan.Placements {
		w := r.cell.Workers[p.Worker]
		fmt.Fprintf(&r.log, "task %d/%d on %s (%s %s) alloc %d %s\n", p.Task.Job, p.Task.Index, p.Worker,
			w.FailureDomain, w.Rack, result.Allocations[i], result.Placements[i])
	}
	for _, id := range plan.Preemptions {
		fmt.Fprintf(&r.log, "preempt alloc %d of job %d on %s\n", id, r.cell.Allocations[id].Task.Job, r.cell.Allocations[id].Worker)
	}
	if wake := r.s.NextWake(r.now); !wake.IsZero() {
		fmt.Fprintf(&r.log, "wake in %v\n", wake.Sub(r.now).Round(time.Millisecond))
	}
}

func (r *run) end(t *testing.T, d *datadriven.TestData) {
	for id := number(t, d, "alloc", 0); id <= number(t, d, "to", number(t, d, "alloc", 0)); id++ {
		r.cell.End(r.now, cell.AllocationID(id), state.TaskOutcome(text(t, d, "outcome", "succeeded")))
	}
}

func spec(t *testing.T, d *datadriven.TestData) cell.JobSpec {
	runTime, err := time.ParseDuration(text(t, d, "run", "1m"))
	if err != nil {
		t.Fatal(err)
	}
	return cell.JobSpec{
		Name: text(t, d, "name", "job"), Team: cell.Team(text(t, d, "team", "a")),
		Policy: cell.PolicyName(text(t, d, "policy", "batch")), Priority: cell.Priority(text(t, d, "priority", "normal")),
		Tasks: number(t, d, "tasks", 1), Size: sizeOf(t, d), RunTime: runTime,
		Region: cell.Region(text(t, d, "region", "")), Checkpoints: d.HasArg("checkpoints"),
	}
}

func sizeOf(t *testing.T, d *datadriven.TestData) cell.Resources {
	return fakecell.Size(number(t, d, "cores", 1), number(t, d, "gib", 1), number(t, d, "acc", 0))
}

func number(t *testing.T, d *datadriven.TestData, key string, value int) int {
	d.MaybeScanArgs(t, key, &value)
	return value
}

func text(t *testing.T, d *datadriven.TestData, key, value string) string {
	d.MaybeScanArgs(t, key, &value)
	return value
}
