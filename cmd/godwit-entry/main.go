// Command godwit-entry is the entry process: it serves callers, operators,
// worker agents and backend servers.
package main

import (
	"context"
	"io"
	"runtime/debug"

	"github.com/godwitlink/godwitlink/internal/cli"
	"github.com/godwitlink/godwitlink/internal/connmemory"
	"github.com/godwitlink/godwitlink/internal/entry"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/settings"
)

func main() {
	cli.Execute(cli.Daemon{
		Name:        "godwit-entry",
		Short:       "Entry process of a godwitlink cell",
		NewSettings: func() settings.Checker { return &entry.Settings{} },
		Run:         run,
	}.Command())
}

func run(stop, kill context.Context, checked settings.Checker, stderr io.Writer) error {
	s := checked.(*entry.Settings)
	logger, err := eventlog.New(stderr, s.LogLevel, s.Name)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(connmemory.HeapBytes(s.MemoryLimitMB()))
	process, err := entry.New(*s, logger)
	if err != nil {
		return err
	}
	return process.Run(stop, kill)
}
