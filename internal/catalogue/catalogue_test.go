package catalogue

import (
	"os"
	"testing"
)

// Guards against an event or a metric that an operator cannot look up.
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
