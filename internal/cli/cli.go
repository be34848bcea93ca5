// Package cli holds the parts that the command lines of all programs share: the subcommands "run"
// and "check-settings", the version, signal handling and exit statuses.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/settings"
)

// Version is the version of all programs.
const Version = "0.1.0"

// Exit statuses.
const (
	exitFailure = 1
	// A program whose settings file has faults exits with settings.ExitStatus.
)

// Daemon describes a program that runs until it is stopped.
type Daemon struct {
	Name  string
	Short string
	// NewSettings returns empty settings for Load to fill.
	NewSettings func() settings.Checker
	// Run runs the program. stop ends at the first SIGTERM or SIGINT and starts a planned
	// stop, which is a graceful shutdown; kill ends at the second signal.
	Run func(stop, kill context.Context, s settings.Checker, stderr io.Writer) error
}

// Command returns the program's command line.
func (d Daemon) Command() *cobra.Command {
	root := &cobra.Command{
		Use: d.Name, Short: d.Short, Version: Version,
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(d.runCommand(), d.checkCommand())
	return root
}

func (d Daemon) runCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "run --settings FILE",
		Short: "Run until SIGTERM or SIGINT; a second signal ends at once",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			loaded := d.NewSettings()
			if err := settings.Load(file, loaded); err != nil {
				return err
			}
			stop, kill, release := stopContexts()
			defer release()
			return d.Run(stop, kill, loaded, command.ErrOrStderr())
		},
	}
	command.Flags().StringVar(&file, "settings", "", "settings file (TOML)")
	if err := command.MarkFlagRequired("settings"); err != nil {
		panic(err) // cannot happen: the flag is defined above
	}
	return command
}

func (d Daemon) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check-settings FILE",
		Short: "Check a settings file and list all of its faults",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if err := settings.Load(args[0], d.NewSettings()); err != nil {
				return err
			}
			_, err := fmt.Fprintln(command.OutOrStdout(), args[0]+": ok")
			return err
		},
	}
}

// stopContexts returns contexts that end at the first and at the second signal.
func stopContexts() (stop, kill context.Context, release func()) {
	stop, cancelStop := context.WithCancel(context.Background())
	kill, cancelKill := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancelStop()
		<-signals
		cancelKill()
	}()
	return stop, kill, func() {
		signal.Stop(signals)
		cancelStop()
		cancelKill()
	}
}

// Execute runs a command line and exits the process.
func Execute(command *cobra.Command) {
	err := command.Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, eventlog.ErrorText(err))
	var fileError *settings.FileError
	if errors.As(err, &fileError) {
		os.Exit(settings.ExitStatus)
	}
	os.Exit(exitFailure)
}
