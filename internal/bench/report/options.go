package report

import (
	"time"

	"github.com/godwitlink/godwitlink/internal/bench/commitbench"
	"github.com/godwitlink/godwitlink/internal/bench/controlbench"
	"github.com/godwitlink/godwitlink/internal/bench/logbench"
	"github.com/godwitlink/godwitlink/internal/bench/placementbench"
	"github.com/godwitlink/godwitlink/internal/bench/policybench"
	"github.com/godwitlink/godwitlink/internal/bench/proxybench"
	"github.com/godwitlink/godwitlink/internal/bench/routingbench"
	"github.com/godwitlink/godwitlink/internal/bench/statebench"
)

// options are the sizes and times of all benchmarks.
type options struct {
	routing   routingbench.Options
	placement placementbench.Options
	log       logbench.Options
	control   controlbench.Options
	policy    policybench.Options
	commit    commitbench.Options
	proxy     proxybench.Settings
	state     []int // numbers of workers
}

// fullOptions returns the options of the published measurements. folder must be on the disk to
// measure.
func fullOptions(folder string) options {
	o := options{
		routing:   routingbench.DefaultOptions(),
		placement: placementbench.DefaultOptions(),
		log:       logbench.DefaultOptions(),
		control:   controlbench.DefaultOptions(),
		policy:    policybench.DefaultOptions(),
		commit:    commitbench.Options{Folder: folder, Duration: 2 * time.Second, Kills: 50},
		proxy:     proxybench.DefaultSettings(),
		state:     statebench.DefaultSizes(),
	}
	o.control.Folder = folder
	return o
}

// quickOptions returns options with which the whole report takes less than a minute.
func quickOptions(folder string) options {
	o := fullOptions(folder)
	o.routing.WarmUp, o.routing.Length = time.Second, time.Second
	o.placement.Workers, o.placement.Decisions, o.placement.QueuedTasks = []int{50, 200, 900}, 2000, 5000
	o.log.Period, o.log.Losses = 500*time.Millisecond, 10
	o.control.Workers, o.control.Duration, o.control.Changes = []int{20, 100}, 2*time.Second, 3
	o.policy.Workers, o.policy.Teams, o.policy.Jobs = 60, 20, 300
	o.policy.Length, o.policy.Seeds = 2*time.Hour, []uint64{1}
	o.commit.Duration, o.commit.Kills, o.commit.Jobs = 300*time.Millisecond, 3, 30
	o.proxy.MeasureTime, o.proxy.Rounds, o.proxy.IdleConnections = 50*time.Millisecond, 2, 200
	o.state = []int{50, 900}
	return o
}
