// Package catalogue renders the lists of log events and metrics of all
// packages. docs/logs.md and docs/metrics.md hold its output.
package catalogue

import (
	"fmt"
	"strings"

	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"

	// Imported for the events and metrics that these packages declare.
	_ "github.com/godwitlink/godwitlink/internal/backendserver"
	_ "github.com/godwitlink/godwitlink/internal/controlclient"
	_ "github.com/godwitlink/godwitlink/internal/controlproc"
	_ "github.com/godwitlink/godwitlink/internal/entry"
	_ "github.com/godwitlink/godwitlink/internal/platformproc"
	_ "github.com/godwitlink/godwitlink/internal/replica"
	_ "github.com/godwitlink/godwitlink/internal/workeragent"
)

// Logs renders docs/logs.md.
func Logs() string {
	var b strings.Builder
	b.WriteString("# Log events\n\n" +
		"Logs are JSON lines, on standard output for the processes of the platform and on standard error for the others. Every line has `event`, the number below. Numbers 1000 to 1999 belong to\n" +
		"the control replica, 2000 to 2999 to the entry process, 3000 to 3999 to its gateway, 4000 to 4999 to jobs of steps and the\n" +
		"platform, 5000 to 5999 to the stand-ins.\n" +
		"Written by `go run ./tools/catalogue`; a test compares it with the code.\n\n" +
		"| event | level | text |\n| --- | --- | --- |\n")
	for _, event := range eventlog.Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s |\n", event.Number, event.Level, event.Text)
	}
	return b.String()
}

// Metrics renders docs/metrics.md.
func Metrics() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\n" +
		"Served as text at `/metrics` of each process's `listen_metrics`. A name ends in its unit. Counters of refusals and\n" +
		"retries have the label `reason`. Written by `go run ./tools/catalogue`; a test compares it with the code.\n\n" +
		"| metric | kind | meaning |\n| --- | --- | --- |\n")
	for _, metric := range metrics.Catalogue() {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", metric.Name, metric.Kind, metric.Help)
	}
	return b.String()
}
