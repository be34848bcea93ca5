package cellconfig

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// The example files must be accepted.
func TestExamplesAreAccepted(t *testing.T) {
	for _, name := range []string{"turnos", "manuscript"} {
		if _, faults := Parse(readExample(t, name)); len(faults) > 0 {
			t.Errorf("example %s is refused: %v", name, faults)
		}
	}
}

func readExample(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("../../examples/" + name + ".toml")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// A faulty file must not be accepted. Each fault must be reported with its line, and only once, even if
// other checks depend on the faulty setting. Each input line is a replacement "old => new" in the example
// file. The output lists the faults that the operator gets or, for the command "diff", the changes.
func TestFaults(t *testing.T) {
	datadriven.RunTest(t, "testdata/faults", func(t *testing.T, d *datadriven.TestData) string {
		before := string(readExample(t, "turnos"))
		after := before
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			old, changed, _ := strings.Cut(line, " => ")
			if !strings.Contains(after, old) {
				t.Fatalf("%s: the example does not contain %q", d.Pos, old)
			}
			after = strings.Replace(after, old, strings.ReplaceAll(changed, `\n`, "\n"), 1)
		}
		file, faults := Parse([]byte(after))
		if len(faults) > 0 {
			return faults.Error() + "\n"
		}
		if d.Cmd == "diff" {
			old, _ := Parse([]byte(before))
			return strings.Join(Diff(old, file), "\n") + "\n"
		}
		return fmt.Sprintf("accepted, generation %d\n", file.Generation)
	})
}

// BenchmarkParse parses files of different sizes. Their throughput in bytes per second shows whether the
// cost grows faster than the size of the file, which every replica has to parse.
func BenchmarkParse(b *testing.B) {
	head, err := os.ReadFile("../../examples/turnos.toml")
	if err != nil {
		b.Fatal(err)
	}
	for _, regions := range []int{100, 1000, 8000} {
		data := bytes.Clone(head)
		for i := range regions {
			data = fmt.Appendf(data, "[[region]]\nname = \"extra-%d\"\nfailure_domains = [\"extra-domain-%d\"]\nreason = \"benchmark\"\n", i, i)
		}
		b.Run(fmt.Sprint(regions), func(b *testing.B) {
			b.SetBytes(int64(len(data)))
			for b.Loop() {
				if _, faults := Parse(data); len(faults) > 0 {
					b.Fatal(faults)
				}
			}
		})
	}
}

// The parser must not panic, and the diff of an accepted file with itself must be empty.
func FuzzParse(f *testing.F) {
	f.Add([]byte("generation = 1\n[cell]\nname = \"a\"\n[[team]]\nshare = nan\n"))
	f.Add([]byte("[[service]]\npath_prefix = \"/v1/x/\"\n[[pool]]\nregions = [\"\"]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, faults := Parse(data)
		if len(faults) == 0 && len(Diff(file, file)) > 0 {
			t.Fatalf("a file differs from itself: %v", Diff(file, file))
		}
	})
}
