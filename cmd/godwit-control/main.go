// Command godwit-control runs one replica of the control group.
package main

import (
	"context"
	"io"

	"github.com/godwitlink/godwitlink/internal/cli"
	"github.com/godwitlink/godwitlink/internal/controlproc"
	"github.com/godwitlink/godwitlink/internal/settings"
)

func main() {
	cli.Execute(cli.Daemon{
		Name:        "godwit-control",
		Short:       "One replica of the control group of a cell",
		NewSettings: func() settings.Checker { return &controlproc.Settings{} },
		Run: func(stop, kill context.Context, s settings.Checker, stderr io.Writer) error {
			return controlproc.Run(stop, kill, s.(*controlproc.Settings), stderr)
		},
	}.Command())
}
