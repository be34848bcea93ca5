package commitbench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/bench/localgroup"
	"github.com/godwitlink/godwitlink/internal/replica"
)

// Options of a run.
type Options struct {
	Folder   string        // data folders; on the disk that is measured
	Duration time.Duration // of each measurement of commits
	Kills    int           // of the leader
	Jobs     int           // to place, of 100 tasks each; 0 for 300
}

// Run measures and prints tables to out.
func Run(ctx context.Context, out io.Writer, opts Options) error {
	f, err := Measure(ctx, opts)
	return errors.Join(err, f.Print(out))
}

// Measure measures commits, placements and failovers. With an error it returns
// the figures that it has.
func Measure(ctx context.Context, opts Options) (Figures, error) {
	if opts.Jobs == 0 {
		opts.Jobs = defaultJobs
	}
	f := Figures{Options: opts}
	folder, err := os.MkdirTemp(opts.Folder, "commitbench-")
	if err != nil {
		return f, err
	}
	err = errors.Join(
		f.measureCommits(ctx, folder),
		f.measurePlacements(ctx, folder),
		f.measureFailovers(ctx, folder),
	)
	return f, errors.Join(err, os.RemoveAll(folder))
}

// variant is a version of the commit path.
type variant struct {
	name  string
	plain bool
	delay time.Duration // one way, between replicas
}

var variants = []variant{{name: "group commit"}, {name: "plain", plain: true}}

// betweenRegions has the one-way delay of docs/design.md, section 1.5.
var betweenRegions = variant{name: "across regions", delay: 8 * time.Millisecond}

func (v variant) tune(o *replica.Options) {
	if v.plain {
		o.DisableBatching = true
		o.Storage.EntriesPerSync = 1
	}
}

const groupSize = 3

// withGroup runs a measurement on a group with a cell file in force.
func withGroup(ctx context.Context, folder string, v variant, file []byte, measure func(*localgroup.Group) error) error {
	group, err := localgroup.Start(localgroup.Options{Folder: filepath.Join(folder, v.name), Size: groupSize, Tune: v.tune, Delay: v.delay})
	if err != nil {
		return err
	}
	err = prepare(ctx, group, file)
	if err == nil {
		err = measure(group)
	}
	return errors.Join(err, group.Close(), os.RemoveAll(filepath.Join(folder, v.name)))
}

func prepare(ctx context.Context, group *localgroup.Group, file []byte) error {
	result, err := group.Client().Propose(ctx, state.Command{ApplyFile: &state.ApplyFile{Body: file, From: "bench"}})
	if err != nil {
		return err
	}
	if result.Refusal != state.RefusalNone {
		return fmt.Errorf("cell file refused: %s %v", result.Refusal, result.File.Faults)
	}
	member := state.Member{Name: benchEntry, Incarnation: 1, Address: "127.0.0.1:1", Region: "r1", FailureDomain: "r1-a"}
	_, err = group.Client().Propose(ctx, state.Command{JoinMember: &state.JoinMember{Member: member}})
	return err
}
