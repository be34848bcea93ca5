// Package command defines the command line of godwit-bench, the benchmark tool. Each subcommand
// prints the tables of one benchmark; report runs all of them and writes a page.
package command

import (
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/godwitlink/godwitlink/internal/bench/commitbench"
	"github.com/godwitlink/godwitlink/internal/bench/controlbench"
	"github.com/godwitlink/godwitlink/internal/bench/logbench"
	"github.com/godwitlink/godwitlink/internal/bench/placementbench"
	"github.com/godwitlink/godwitlink/internal/bench/policybench"
	"github.com/godwitlink/godwitlink/internal/bench/proxybench"
	"github.com/godwitlink/godwitlink/internal/bench/report"
	"github.com/godwitlink/godwitlink/internal/bench/routingbench"
	"github.com/godwitlink/godwitlink/internal/bench/statebench"
)

// Command returns the root command of godwit-bench.
func Command(version string) *cobra.Command {
	root := &cobra.Command{
		Use: "godwit-bench", Short: "Measure the parts of godwitlink on this machine", Version: version,
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(commitCommand(), controlCommand(), logCommand(), placementCommand(), policyCommand(),
		proxyCommand(), reportCommand(), routingCommand(), stateCommand())
	return root
}

func commitCommand() *cobra.Command {
	o := commitbench.Options{}
	command := &cobra.Command{
		Use: "commit", Short: "Commits, placements and failover of three replicas with synced files", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return commitbench.Run(command.Context(), command.OutOrStdout(), o)
		},
	}
	command.Flags().StringVar(&o.Folder, "folder", os.TempDir(), "folder on the disk to measure")
	command.Flags().DurationVar(&o.Duration, "duration", 2*time.Second, "duration of each measurement")
	command.Flags().IntVar(&o.Kills, "kills", 50, "number of times the leader is killed")
	return command
}

func controlCommand() *cobra.Command {
	o := controlbench.DefaultOptions()
	command := &cobra.Command{
		Use: "control", Short: "Control cost per worker, and propagation time of a cell file", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return controlbench.Run(command.Context(), command.OutOrStdout(), o)
		},
	}
	command.Flags().StringVar(&o.Folder, "folder", os.TempDir(), "folder on the disk to measure")
	command.Flags().IntSliceVar(&o.Workers, "workers", o.Workers, "numbers of workers to measure, ascending")
	command.Flags().DurationVar(&o.Duration, "duration", o.Duration, "duration of each measurement of an idle cell")
	return command
}

func logCommand() *cobra.Command {
	return &cobra.Command{
		Use: "log", Short: "Commits and failover of the replicated log on a virtual clock", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return logbench.Run(command.OutOrStdout())
		},
	}
}

func policyCommand() *cobra.Command {
	o := policybench.DefaultOptions()
	command := &cobra.Command{
		Use: "policy", Short: "A synthetic day under several scheduling policies on a virtual clock", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return policybench.Run(command.OutOrStdout(), o)
		},
	}
	command.Flags().StringSliceVar(&o.Only, "only", o.Only, "policies to run; empty for all")
	return command
}

func placementCommand() *cobra.Command {
	o := placementbench.DefaultOptions()
	command := &cobra.Command{
		Use: "placement", Short: "Decision times of the scheduler at several cell sizes", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return placementbench.Run(command.OutOrStdout(), o)
		},
	}
	command.Flags().IntSliceVar(&o.Workers, "workers", o.Workers, "numbers of workers to measure")
	command.Flags().Uint64Var(&o.Seed, "seed", o.Seed, "random seed of the workload")
	return command
}

func proxyCommand() *cobra.Command {
	return &cobra.Command{
		Use: "proxy", Short: "Throughput and added delay of requests through the gateway", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return proxybench.Run(command.Context(), command.OutOrStdout(), proxybench.DefaultSettings())
		},
	}
}

func reportCommand() *cobra.Command {
	o := report.Options{Command: strings.Join(os.Args, " ")}
	command := &cobra.Command{
		Use: "report", Short: "Run all benchmarks and write an HTML page with charts, and CSV files", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return report.Run(command.Context(), command.OutOrStdout(), o)
		},
	}
	command.Flags().StringVar(&o.Out, "out", "", "folder of the report")
	command.Flags().StringVar(&o.Folder, "folder", os.TempDir(), "folder on the disk to measure")
	command.Flags().BoolVar(&o.Quick, "quick", false, "smaller sizes and shorter times, less than a minute")
	// MarkFlagRequired fails only for an unknown flag.
	_ = command.MarkFlagRequired("out")
	return command
}

func routingCommand() *cobra.Command {
	var seed uint64
	command := &cobra.Command{
		Use: "routing", Short: "Waiting time of routing policies on a virtual clock", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return routingbench.Run(command.OutOrStdout(), seed)
		},
	}
	command.Flags().Uint64Var(&seed, "seed", 1, "random seed of the arrivals")
	return command
}

func stateCommand() *cobra.Command {
	return &cobra.Command{
		Use: "state", Short: "Cost of commands, snapshots and memory of the replicated state", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return statebench.Run(command.OutOrStdout())
		},
	}
}
