package policybench

import (
	"io"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/godwitlink/godwitlink/core/placement"
)

// Options are the flags of the comparison.
type Options struct {
	Workers int
	Teams   int
	Jobs    int           // in Length
	Length  time.Duration // of the virtual day
	Load    float64       // mean demand as a share of the processors
	Broken  int           // workers that fail every task
	Seeds   []uint64
	Only    []string // names of policies; empty for all
}

// DefaultOptions is the planned size of docs/design.md, section 1.5, with the
// day and its jobs compressed to a quarter.
func DefaultOptions() Options {
	return Options{
		Only:    []string{"godwitlink", "first-fit", "best-fit"},
		Workers: 900, Teams: 190, Jobs: 11000 / 4, Length: 6 * time.Hour, Load: 1.0, Seeds: []uint64{1, 2},
	}
}

// ErrOptions says that the options make no comparison.
var ErrOptions = merry.Sentinel("policybench: options out of range")

// policies are the planners that are compared.
var policies = []struct {
	name string
	make func() planner
}{
	{"godwitlink", func() planner { return placement.New(placement.DefaultOptions()) }},
	{"count-quarantine", func() planner { return withQuarantine(placement.QuarantineByCount) }},
	{"no-quarantine", func() planner { return withQuarantine(placement.QuarantineNever) }},
	{"first-fit", func() planner { return newBaseline(false) }},
	{"best-fit", func() planner { return newBaseline(true) }},
}

func withQuarantine(rule placement.QuarantineRule) planner {
	o := placement.DefaultOptions()
	o.Quarantine = rule
	return placement.New(o)
}

// Run prints one line for each policy and seed to out.
func Run(out io.Writer, o Options) error {
	f, err := Measure(o)
	if err != nil {
		return err
	}
	return f.Print(out)
}

// Measure runs each policy with each seed. It returns ErrOptions where there
// is nothing to compare.
func Measure(o Options) (Figures, error) {
	if o.Workers <= 0 || o.Teams <= 0 || o.Jobs <= 0 || o.Length <= 0 {
		return nil, merry.Wrap(ErrOptions)
	}
	var f Figures
	for _, seed := range o.Seeds {
		for _, p := range policies {
			if !o.selects(p.name) {
				continue
			}
			s := newSimulation(o, seed, p.make())
			s.run()
			f = append(f, s.row(p.name, seed))
		}
	}
	return f, nil
}

func (o Options) selects(name string) bool {
	for _, only := range o.Only {
		if only == name {
			return true
		}
	}
	return len(o.Only) == 0
}
