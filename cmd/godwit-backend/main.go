// Command godwit-backend simulates a backend server of the platform for tests and demonstrations.
package main

import (
	"context"
	"io"
	"time"

	"github.com/godwitlink/godwitlink/internal/backendserver"
	"github.com/godwitlink/godwitlink/internal/cli"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/settings"
)

func main() {
	cli.Execute(cli.Daemon{
		Name:        "godwit-backend",
		Short:       "Stand-in for a backend server (tests and demonstrations only)",
		NewSettings: func() settings.Checker { return &backendserver.Settings{} },
		Run:         run,
	}.Command())
}

func run(stop, kill context.Context, checked settings.Checker, stderr io.Writer) error {
	s := checked.(*backendserver.Settings)
	logger, err := eventlog.New(stderr, s.LogLevel, s.Name)
	if err != nil {
		return err
	}
	// The incarnation has to grow at every start, so it is the start time.
	server, err := backendserver.New(*s, uint64(time.Now().UnixNano()), logger)
	if err != nil {
		return err
	}
	return server.Run(stop, kill)
}
