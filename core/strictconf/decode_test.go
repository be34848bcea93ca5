package strictconf

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

type sampleTeam struct {
	Name  string   `toml:"name"`
	Share float64  `toml:"share"`
	Tags  []string `toml:"tags"`
}

type sampleFile struct {
	Generation uint64        `toml:"generation"`
	Lease      time.Duration `toml:"lease"`
	Limit      Bytes         `toml:"limit"`
	Cell       struct {
		Name   string `toml:"name"`
		Reason string `toml:"reason,optional"`
	} `toml:"cell"`
	Teams []sampleTeam `toml:"team"`
}

// A file with an absent, unknown or malformed setting must not be accepted, and each fault must be
// reported with its line.
func TestDecode(t *testing.T) {
	datadriven.RunTest(t, "testdata/decode", func(t *testing.T, d *datadriven.TestData) string {
		var file sampleFile
		if faults := Decode([]byte(d.Input), &file); len(faults) > 0 {
			return faults.Error() + "\n"
		}
		return fmt.Sprintf("%+v\n", file)
	})
}

// The decoder must not panic on untrusted input, and each fault must describe its problem.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("generation = 1\n[[team]]\nname = \"a\"\n[team.x]\n"))
	f.Add([]byte("cell.name = 'a'\nteam = [{name='x'}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var file sampleFile
		faults := Decode(data, &file)
		for _, fault := range faults {
			if strings.TrimSpace(fault.Problem) == "" {
				t.Fatalf("fault %+v has no problem text", fault)
			}
		}
		Lines(data)
	})
}
