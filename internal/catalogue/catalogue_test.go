package catalogue

import (
	"os"
	"testing"
)

// docs/logs.md and docs/metrics.md must list every declared event and metric.
func TestDocsMatchTheCode(t *testing.T) {
	for file, want := range map[string]string{
		"../../docs/logs.md":    Logs(),
		"../../docs/metrics.md": Metrics(),
	} {
		content, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if string(content) != want {
			t.Errorf("%s differs from the code: run go run ./tools/catalogue", file)
		}
	}
}
