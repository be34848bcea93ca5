package entry

import (
	"path/filepath"
	"testing"

	"github.com/godwitlink/godwitlink/internal/settings"
)

// Checks that the example settings are valid.
func TestExampleSettings(t *testing.T) {
	files, err := filepath.Glob("../../examples/processes/entry-*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("example files %v, error %v", files, err)
	}
	for _, file := range files {
		if err := settings.Load(file, &Settings{}); err != nil {
			t.Error(err)
		}
	}
}
