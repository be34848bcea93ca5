package commitbench

import (
	"errors"
	"fmt"
	"io"
	"time"
)

// Figures are the results of a run.
type Figures struct {
	Options    Options
	Commits    []CommitRow
	Placements []PlacementRow
	Pauses     []time.Duration // times from a kill of the leader to the next commit, ascending
}

// CommitRow is the measurement of one version at one number of commands in flight.
type CommitRow struct {
	Version   string
	InFlight  int
	PerSecond float64
	P50, P99  time.Duration // from the proposal to its result
}

// PlacementRow is the rate at which one version places tasks.
type PlacementRow struct {
	Version   string
	Tasks     int
	PerSecond float64
}

// Print writes a table for each measurement. It returns the errors of the writer.
func (f Figures) Print(out io.Writer) error {
	return errors.Join(f.printCommits(out), f.printPlacements(out), f.printPauses(out))
}

func (f Figures) printCommits(out io.Writer) error {
	fmt.Fprintf(out, "commits, %d replicas on loopback, synced files, %v each\n", groupSize, f.Options.Duration)
	fmt.Fprintf(out, "%-14s %10s %12s %10s %10s\n", "version", "in flight", "commits/s", "p50", "p99")
	rates := map[string]float64{}
	for _, r := range f.Commits {
		rates[r.Version] = r.PerSecond
		fmt.Fprintf(out, "%-14s %10d %12.0f %10s %10s\n", r.Version, r.InFlight, r.PerSecond, formatDuration(r.P50), formatDuration(r.P99))
	}
	_, err := fmt.Fprintf(out, "group commit over plain at %d in flight: %.1f times\n\n",
		inFlightSteps[len(inFlightSteps)-1], rates[variants[0].name]/rates[variants[1].name])
	return err
}

func (f Figures) printPlacements(out io.Writer) error {
	fmt.Fprintf(out, "placements, %d workers, jobs of %d tasks, %d submissions in flight\n", workers, tasksPerJob, submitInFlight)
	fmt.Fprintf(out, "%-14s %10s %12s\n", "version", "tasks", "placed/s")
	rates := map[string]float64{}
	for _, r := range f.Placements {
		rates[r.Version] = r.PerSecond
		fmt.Fprintf(out, "%-14s %10d %12.0f\n", r.Version, r.Tasks, r.PerSecond)
	}
	_, err := fmt.Fprintf(out, "group commit over plain: %.1f times\n\n", rates[variants[0].name]/rates[variants[1].name])
	return err
}

func (f Figures) printPauses(out io.Writer) error {
	fmt.Fprintf(out, "time from the kill of the leader to the next commit, %d kills\n", f.Options.Kills)
	if len(f.Pauses) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(out, "median %s, worst %s\n\n", formatDuration(f.Pauses[len(f.Pauses)/2]), formatDuration(f.Pauses[len(f.Pauses)-1]))
	return err
}

func formatDuration(d time.Duration) string { return d.Round(10 * time.Microsecond).String() }
