// Command godwit-platform-control runs a control replica on the users' platform.
package main

import (
	"context"
	"io"
	"os"

	"github.com/godwitlink/godwitlink/internal/cli"
	"github.com/godwitlink/godwitlink/internal/platformproc"
	"github.com/godwitlink/godwitlink/internal/settings"
)

func main() {
	cli.Execute(cli.Daemon{
		Name:        "godwit-platform-control",
		Short:       "One control replica of a cell on the users' platform",
		NewSettings: func() settings.Checker { return &platformproc.ControlSettings{} },
		Run: func(stop, kill context.Context, s settings.Checker, _ io.Writer) error {
			return platformproc.RunControl(stop, kill, s.(*platformproc.ControlSettings), os.Stdout)
		},
	}.Command())
}
