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
	Jobs    int           // submitted during Length, without services
	Length  time.Duration // virtual time of a run
	Load    float64       // mean demand as a share of the processors
	Broken  int           // number of workers on which every task fails
	Seeds   []uint64      // one synthetic day for each
	Only    []string      // names of the policies to run; empty for all
}

// DefaultOptions returns the planned size of docs/design.md, section 1.5, with a quarter of a day
// and a quarter of its jobs.
func DefaultOptions() Options {
	return Options{
		Only:    []string{"godwitlink", "first-fit", "best-fit"},
		Workers: 900, Teams: 190, Jobs: 11000 / 4, Length: 6 * time.Hour, Load: 1.0, Seeds: []uint64{1, 2},
	}
}

// ErrOptions is returned for options without workers, teams, jobs or length.
var ErrOptions = merry.Sentinel("policybench: options out of range")

// policies are the compared scheduling policies.
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

// Measure runs each selected policy with each seed. It returns ErrOptions if a size is not positive.
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
