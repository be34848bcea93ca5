// Command godwit-platform-entry runs an entry process on the users' platform.
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
		Name:        "godwit-platform-entry",
		Short:       "An entry process of a cell on the users' platform",
		NewSettings: func() settings.Checker { return &platformproc.EntrySettings{} },
		Run: func(stop, kill context.Context, s settings.Checker, _ io.Writer) error {
			return platformproc.RunEntry(stop, kill, s.(*platformproc.EntrySettings), os.Stdout)
		},
	}.Command())
}
