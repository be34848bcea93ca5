// Command catalogue generates docs/logs.md and docs/metrics.md from the code.
package main

import (
	"fmt"
	"os"

	"github.com/godwitlink/godwitlink/internal/catalogue"
)

func main() {
	files := map[string]string{
		"docs/logs.md":    catalogue.Logs(),
		"docs/metrics.md": catalogue.Metrics(),
	}
	for name, content := range files {
		if err := os.WriteFile(name, []byte(content), 0o644); err != nil {
			fmt.Fprintln(os.Stderr, "catalogue:", err)
			os.Exit(1)
		}
	}
}
