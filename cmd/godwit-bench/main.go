// Command godwit-bench runs the benchmarks of godwitlink on this machine.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/godwitlink/godwitlink/internal/bench/command"
	"github.com/godwitlink/godwitlink/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := command.Command(cli.Version).ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "godwit-bench:", err)
		os.Exit(1)
	}
}
