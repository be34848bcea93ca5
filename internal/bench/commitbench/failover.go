package commitbench

import (
	"context"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/internal/bench/localgroup"
)

// catchUpTime is the pause in which a restarted replica catches up before the next kill.
const catchUpTime = 500 * time.Millisecond

func (f *Figures) measureFailovers(ctx context.Context, folder string) error {
	return withGroup(ctx, folder, variants[0], cellFile, func(group *localgroup.Group) error {
		for kill := range f.Options.Kills {
			pause, err := measureFailover(ctx, group, uint64(2*kill+1))
			if err != nil {
				return err
			}
			f.Pauses = append(f.Pauses, pause)
		}
		slices.Sort(f.Pauses)
		return nil
	})
}

// measureFailover kills the leader, measures the time until the next commit, and restarts the
// killed replica.
func measureFailover(ctx context.Context, group *localgroup.Group, key uint64) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	if _, err := group.Client().Propose(ctx, beginRequest(key)); err != nil {
		return 0, err
	}
	leader, err := group.Leader(ctx)
	if err != nil {
		return 0, err
	}
	killed := time.Now()
	if err := group.Kill(leader); err != nil {
		return 0, err
	}
	if _, err := group.Client().Propose(ctx, beginRequest(key+1)); err != nil {
		return 0, err
	}
	pause := time.Since(killed)
	if err := group.Restart(leader); err != nil {
		return 0, err
	}
	time.Sleep(catchUpTime)
	return pause, nil
}
