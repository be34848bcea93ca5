package entry

import (
	"path/filepath"
	"testing"

	"github.com/godwitlink/godwitlink/internal/settings"
)

// Guards against example settings that a change of the settings has made
// invalid.
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
