// Command godwit-inspect checks and prints the data folder of a stopped
// control replica.
package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/godwitlink/godwitlink/internal/cli"
	"github.com/godwitlink/godwitlink/internal/inspect"
)

func main() {
	root := &cobra.Command{
		Use: "godwit-inspect", Short: "Check and print the data folder of a stopped control replica",
		Version: cli.Version, SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(
		&cobra.Command{
			Use: "verify FOLDER", Short: "Check every file, record and command", Args: cobra.ExactArgs(1),
			RunE: func(command *cobra.Command, args []string) error {
				s, err := inspect.Verify(args[0])
				if err != nil {
					return err
				}
				_, err = fmt.Fprintf(command.OutOrStdout(), "%s: ok, replica %d, term %d, snapshot at %d, entries to %d, torn record: %v\n",
					args[0], s.Replica, s.Term, s.SnapshotIndex, s.LastIndex, s.Torn)
				return err
			},
		},
		&cobra.Command{
			Use: "print FOLDER", Short: "Print the content as JSON", Args: cobra.ExactArgs(1),
			RunE: func(command *cobra.Command, args []string) error {
				return inspect.Print(command.OutOrStdout(), args[0])
			},
		},
	)
	cli.Execute(root)
}
