// Command godwitctl is the operators' command line: it submits cell files and reads back which file
// is in force.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/godwitlink/godwitlink/internal/cli"
	"github.com/godwitlink/godwitlink/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := ctl.Command(cli.Version).ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "godwitctl:", err)
	}
	os.Exit(ctl.ExitStatus(err))
}
