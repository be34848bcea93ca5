package commitbench

import (
	"strings"
	"testing"
	"time"
)

// Guards against a benchmark that fails or prints no tables. It does not check the figures.
func TestRunPrintsAllTables(t *testing.T) {
	var out strings.Builder
	if err := Run(t.Context(), &out, Options{Folder: t.TempDir(), Duration: 50 * time.Millisecond, Kills: 1}); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	for _, want := range []string{"commits/s", "placed/s", "median"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in:\n%s", want, out.String())
		}
	}
	t.Log(out.String())
}
