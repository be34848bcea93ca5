// Command godwit-worker simulates the platform's worker agent for tests and demonstrations.
package main

import (
	"context"
	"io"

	"github.com/godwitlink/godwitlink/internal/cli"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/settings"
	"github.com/godwitlink/godwitlink/internal/workeragent"
)

func main() {
	cli.Execute(cli.Daemon{
		Name:        "godwit-worker",
		Short:       "Stand-in for a worker agent (tests and demonstrations only)",
		NewSettings: func() settings.Checker { return &workeragent.Settings{} },
		Run:         run,
	}.Command())
}

func run(stop, kill context.Context, checked settings.Checker, stderr io.Writer) error {
	s := checked.(*workeragent.Settings)
	logger, err := eventlog.New(stderr, s.LogLevel, s.Name)
	if err != nil {
		return err
	}
	return workeragent.New(*s, workeragent.Hooks{}, logger).Run(stop, kill)
}
