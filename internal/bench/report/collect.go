package report

import (
	"context"
	"fmt"
	"io"

	"github.com/godwitlink/godwitlink/internal/bench/commitbench"
	"github.com/godwitlink/godwitlink/internal/bench/controlbench"
	"github.com/godwitlink/godwitlink/internal/bench/logbench"
	"github.com/godwitlink/godwitlink/internal/bench/placementbench"
	"github.com/godwitlink/godwitlink/internal/bench/policybench"
	"github.com/godwitlink/godwitlink/internal/bench/proxybench"
	"github.com/godwitlink/godwitlink/internal/bench/routingbench"
	"github.com/godwitlink/godwitlink/internal/bench/statebench"
)

// Figures are the results of all benchmarks.
type Figures struct {
	Routing   routingbench.Figures
	Placement placementbench.Figures
	Log       logbench.Figures
	Control   controlbench.Figures
	Policy    policybench.Figures
	Commit    commitbench.Figures
	Proxy     proxybench.Figures
	State     statebench.Figures
}

// collect runs the benchmarks one after the other, so that they do not disturb each other, and
// writes the name of each one to progress before it runs.
func collect(ctx context.Context, progress io.Writer, o options) (Figures, error) {
	var f Figures
	steps := []struct {
		name string
		run  func() error
	}{
		{"routing", func() error { f.Routing = routingbench.Measure(o.routing); return nil }},
		{"placement", func() (err error) { f.Placement, err = placementbench.Measure(o.placement); return err }},
		{"log", func() (err error) { f.Log, err = logbench.Measure(o.log); return err }},
		{"control", func() (err error) { f.Control, err = controlbench.Measure(ctx, o.control); return err }},
		{"policy", func() (err error) { f.Policy, err = policybench.Measure(o.policy); return err }},
		{"commit", func() (err error) { f.Commit, err = commitbench.Measure(ctx, o.commit); return err }},
		{"proxy", func() (err error) { f.Proxy, err = proxybench.Measure(ctx, o.proxy); return err }},
		{"state", func() (err error) { f.State, err = statebench.Measure(o.state); return err }},
	}
	for _, step := range steps {
		if err := ctx.Err(); err != nil {
			return f, err
		}
		fmt.Fprintln(progress, "measuring", step.name)
		if err := step.run(); err != nil {
			return f, fmt.Errorf("%s: %w", step.name, err)
		}
	}
	return f, nil
}
