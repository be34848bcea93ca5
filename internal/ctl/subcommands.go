package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/spf13/cobra"

	"github.com/godwitlink/godwitlink/core/cellconfig"
	"github.com/godwitlink/godwitlink/internal/api"
)

func (o *options) applyCommand() *cobra.Command {
	var wait bool
	command := &cobra.Command{
		Use:   "apply FILE",
		Short: "Submit a cell file; nothing changes unless the whole file is accepted",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(command.Context(), o.timeout)
			defer cancel()
			accepted, c, err := o.submit(ctx, applyPath, args[0])
			if err != nil {
				return err
			}
			out := command.OutOrStdout()
			err = o.print(out, accepted, func(out io.Writer) { printAccepted(out, accepted) })
			if err != nil || !wait {
				return err
			}
			return o.waitInForce(ctx, c, accepted, out)
		},
	}
	command.Flags().BoolVar(&wait, "wait", false, "wait until every entry process has the file in force")
	return command
}

func (o *options) submit(ctx context.Context, path, file string) (api.CellFileAccepted, *client, error) {
	var accepted api.CellFileAccepted
	body, _, err := readCellFile(file)
	if err != nil {
		return accepted, nil, err
	}
	c, err := o.client()
	if err != nil {
		return accepted, nil, err
	}
	return accepted, c, c.call(ctx, http.MethodPost, path, body, &accepted)
}

// progressPollInterval is the time between two requests for the progress of a file.
const progressPollInterval = 200 * time.Millisecond

// waitInForce prints the progress until the file is in force on every entry process.
func (o *options) waitInForce(ctx context.Context, c *client, accepted api.CellFileAccepted, out io.Writer) error {
	lastShown := -1
	for {
		var status api.Status
		if err := c.call(ctx, http.MethodGet, "/v1/status", nil, &status); err != nil && ctx.Err() == nil {
			return err
		}
		done := 0
		for _, entry := range status.Entries {
			if entry.Generation >= accepted.Generation {
				done++
			}
		}
		if done != lastShown && o.output == outputText {
			fmt.Fprintf(out, "in force on %d of %d entry processes\n", done, len(status.Entries))
			lastShown = done
		}
		if done == len(status.Entries) && done > 0 {
			return nil
		}
		select {
		case <-time.After(progressPollInterval):
		case <-ctx.Done():
			return ErrNotInForce
		}
	}
}

func (o *options) checkCommand() *cobra.Command {
	var offline bool
	command := &cobra.Command{
		Use:   "check FILE",
		Short: "List all faults of a cell file and what it would change; changes nothing",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			body, file, err := readCellFile(args[0])
			if err != nil {
				return err
			}
			accepted := api.CellFileAccepted{Generation: file.Generation, Digest: cellconfig.Digest(body)}
			if !offline {
				ctx, cancel := context.WithTimeout(command.Context(), o.timeout)
				defer cancel()
				if accepted, _, err = o.submit(ctx, checkPath, args[0]); err != nil {
					return err
				}
			}
			return o.print(command.OutOrStdout(), accepted, func(out io.Writer) {
				fmt.Fprintf(out, "%s: no faults; generation %d, digest %s\n", args[0], accepted.Generation, accepted.Digest)
				for _, change := range accepted.Changes {
					fmt.Fprintln(out, "  "+change)
				}
			})
		},
	}
	command.Flags().BoolVar(&offline, "offline", false, "check the file by itself, without the cell")
	return command
}

func (o *options) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff GENERATION GENERATION",
		Short: "List the settings that differ between two generations",
		Args:  cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(command.Context(), o.timeout)
			defer cancel()
			c, err := o.client()
			if err != nil {
				return err
			}
			var files [2]cellconfig.File
			for i, generation := range args {
				var config api.Config
				if err := c.call(ctx, http.MethodGet, "/v1/config/"+generation, nil, &config); err != nil {
					return err
				}
				files[i], _ = cellconfig.Parse([]byte(config.Text))
			}
			changes := cellconfig.Diff(files[0], files[1])
			return o.print(command.OutOrStdout(), changes, func(out io.Writer) {
				for _, change := range changes {
					fmt.Fprintln(out, change)
				}
			})
		},
	}
}

func (o *options) getCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "get [GENERATION]",
		Short: "Read back the file in force, or an earlier generation",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			path := "/v1/config"
			if len(args) == 1 {
				path += "/" + args[0]
			}
			var config api.Config
			if err := o.read(command, path, &config); err != nil {
				return err
			}
			return o.print(command.OutOrStdout(), config, func(out io.Writer) {
				fmt.Fprintf(out, "# generation %d, digest %s\n# submitted by %s from %s at %s\n",
					config.Generation, config.Digest, config.Submitter, config.From, config.At.Format(time.RFC3339))
				printEntries(out, "# ", config.Entries, uint64(config.Generation))
				fmt.Fprint(out, config.Text)
			})
		},
	}
}

func (o *options) read(command *cobra.Command, path string, into any) error {
	ctx, cancel := context.WithTimeout(command.Context(), o.timeout)
	defer cancel()
	c, err := o.client()
	if err != nil {
		return err
	}
	return c.call(ctx, http.MethodGet, path, nil, into)
}

func (o *options) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show a summary of the cell",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var status api.Status
			if err := o.read(command, "/v1/status", &status); err != nil {
				return err
			}
			return o.print(command.OutOrStdout(), status, func(out io.Writer) { printStatus(out, status) })
		},
	}
}

func printStatus(out io.Writer, status api.Status) {
	fmt.Fprintf(out, "generation   %d (%s)\n", status.Generation, status.Digest)
	fmt.Fprintf(out, "workers      %d, capacity %s\n", status.Workers, status.Capacity)
	fmt.Fprintf(out, "allocations  %d, reserved %s\n", status.Allocations, status.Reserved)
	states := make([]string, 0, len(status.Jobs))
	for state := range status.Jobs {
		states = append(states, string(state))
	}
	sort.Strings(states)
	for _, state := range states {
		for known, count := range status.Jobs {
			if string(known) == state {
				fmt.Fprintf(out, "jobs         %d %s\n", count, state)
			}
		}
	}
	printEntries(out, "", status.Entries, uint64(status.Generation))
}

func printEntries(out io.Writer, prefix string, entries []api.EntryGeneration, inForce uint64) {
	for _, entry := range entries {
		note := "in force"
		if uint64(entry.Generation) < inForce {
			note = "not yet"
		}
		fmt.Fprintf(out, "%sentry %s: generation %d, %s, last heard %d ms ago\n",
			prefix, entry.Name, entry.Generation, note, entry.AgeMillis)
	}
}

func (o *options) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain JOB",
		Short: "Say why a job waits",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			var explanation api.Explanation
			if err := o.read(command, "/v1/explain/job/"+args[0], &explanation); err != nil {
				return err
			}
			return o.print(command.OutOrStdout(), explanation, func(out io.Writer) {
				fmt.Fprintf(out, "job %d is %s\n", explanation.Job, explanation.State)
				for _, line := range explanation.Lines {
					fmt.Fprintln(out, "  "+line)
				}
			})
		},
	}
}

func (o *options) watchCommand() *cobra.Command {
	var interval time.Duration
	command := &cobra.Command{
		Use:   "watch",
		Short: "Show the summary of the cell again and again until interrupted",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			for {
				var status api.Status
				if err := o.read(command, "/v1/status", &status); err != nil {
					return err
				}
				err := o.print(command.OutOrStdout(), status, func(out io.Writer) {
					fmt.Fprintln(out, time.Now().Format(time.RFC3339))
					printStatus(out, status)
				})
				if err != nil {
					return err
				}
				select {
				case <-time.After(interval):
				case <-command.Context().Done():
					return nil
				}
			}
		},
	}
	command.Flags().DurationVar(&interval, "interval", 2*time.Second, "time between two looks")
	return command
}
