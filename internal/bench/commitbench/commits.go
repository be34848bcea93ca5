package commitbench

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
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
	// The short retention of request records keeps the state small during the measurement.
	retention = time.Second
)

var inFlightSteps = []int{1, 16, 256}

func (f *Figures) measureCommits(ctx context.Context, folder string) error {
	for _, v := range append(slices.Clone(variants), acrossRegions) {
		err := withGroup(ctx, folder, v, cellFile, func(group *localgroup.Group) error {
			keys := &atomic.Uint64{}
			for _, inFlight := range inFlightSteps {
				row, err := measureCommitRate(ctx, group, keys, inFlight, f.Options.Duration)
				if err != nil {
					return err
				}
				row.Version = v.name
				f.Commits = append(f.Commits, row)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// measureCommitRate keeps inFlight commands in flight for the given duration.
func measureCommitRate(ctx context.Context, group *localgroup.Group, keys *atomic.Uint64, inFlight int, duration time.Duration) (CommitRow, error) {
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
				_, failures[i] = group.Client().Propose(ctx, beginRequest(keys.Add(1)))
				delays[i] = append(delays[i], time.Since(sent))
			}
		})
	}
	tasks.Wait()
	elapsed := time.Since(started)
	all := slices.Concat(delays...)
	slices.Sort(all)
	return CommitRow{
		InFlight:  inFlight,
		PerSecond: float64(len(all)) / elapsed.Seconds(),
		P50:       all[len(all)/2],
		P99:       all[len(all)*99/100],
	}, errors.Join(failures...)
}

// beginRequest returns the command that starts a non-idempotent request. It is the most frequent
// command caused by callers.
func beginRequest(key uint64) state.Command {
	return state.Command{BeginRequest: &state.BeginRequest{
		Key:   state.RequestKey{Service: "bench", Team: "bench", Key: fmt.Sprintf("key-%d", key)},
		Entry: benchEntry, Incarnation: 1, Attempt: 1, Retention: retention,
	}}
}
