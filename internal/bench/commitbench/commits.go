package commitbench

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/bench/localgroup"
)

//go:embed cell.toml
var cellFile []byte

const (
	benchEntry = "entry-1"
	// retention keeps the state small while commands are added to it.
	retention = time.Second
)

var inFlightSteps = []int{1, 16, 256}

// commitFigures are the results of one measurement.
type commitFigures struct {
	perSecond float64
	p50, p99  time.Duration
}

func runCommits(ctx context.Context, out io.Writer, folder string, opts Options) error {
	fmt.Fprintf(out, "commits, %d replicas on loopback, synced files, %v each\n", groupSize, opts.Duration)
	fmt.Fprintf(out, "%-14s %10s %12s %10s %10s\n", "version", "in flight", "commits/s", "p50", "p99")
	best := map[string]float64{}
	for _, v := range append(slices.Clone(variants), betweenRegions) {
		err := withGroup(ctx, folder, v, cellFile, func(group *localgroup.Group) error {
			keys := &atomic.Uint64{}
			for _, inFlight := range inFlightSteps {
				figures, err := measureCommits(ctx, group, keys, inFlight, opts.Duration)
				if err != nil {
					return err
				}
				best[v.name] = figures.perSecond
				fmt.Fprintf(out, "%-14s %10d %12.0f %10s %10s\n", v.name, inFlight, figures.perSecond, short(figures.p50), short(figures.p99))
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "group commit over plain at %d in flight: %.1f times\n\n",
		inFlightSteps[len(inFlightSteps)-1], best[variants[0].name]/best[variants[1].name])
	return nil
}

// measureCommits keeps inFlight commands on the way for a while.
func measureCommits(ctx context.Context, group *localgroup.Group, keys *atomic.Uint64, inFlight int, duration time.Duration) (commitFigures, error) {
	ctx, cancel := context.WithTimeout(ctx, duration+time.Minute)
	defer cancel()
	delays := make([][]time.Duration, inFlight)
	failures := make([]error, inFlight)
	started := time.Now()
	var tasks sync.WaitGroup
	for i := range inFlight {
		tasks.Go(func() {
			for time.Since(started) < duration && failures[i] == nil {
				sent := time.Now()
				_, failures[i] = group.Client().Propose(ctx, begin(keys.Add(1)))
				delays[i] = append(delays[i], time.Since(sent))
			}
		})
	}
	tasks.Wait()
	elapsed := time.Since(started)
	all := slices.Concat(delays...)
	slices.Sort(all)
	return commitFigures{
		perSecond: float64(len(all)) / elapsed.Seconds(),
		p50:       all[len(all)/2],
		p99:       all[len(all)*99/100],
	}, errors.Join(failures...)
}

// begin is the command of a non-idempotent request, the most frequent one of
// callers.
func begin(key uint64) state.Command {
	return state.Command{BeginRequest: &state.BeginRequest{
		Key:   state.RequestKey{Service: "bench", Team: "bench", Key: fmt.Sprintf("key-%d", key)},
		Entry: benchEntry, Incarnation: 1, Attempt: 1, Retention: retention,
	}}
}

func short(d time.Duration) string { return d.Round(10 * time.Microsecond).String() }
