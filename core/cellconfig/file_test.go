package cellconfig

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// Guards against examples that the program itself refuses.
func TestExamplesAreAccepted(t *testing.T) {
	for _, name := range []string{"turnos", "manuscript"} {
		if _, faults := Parse(readExample(t, name)); len(faults) > 0 {
			t.Errorf("%s: %v", name, faults)
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

// Guards against a fault that is accepted, reported without its line, or
// reported a second time by a check that depends on it. Each line of the input
// is "old => new", a change of the example file; the output is the answer to
// the operator. "diff" prints the changes instead.
func TestFaults(t *testing.T) {
	datadriven.RunTest(t, "testdata/faults", func(t *testing.T, d *datadriven.TestData) string {
		before := string(readExample(t, "turnos"))
		after := before
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			old, changed, _ := strings.Cut(line, " => ")
			if !strings.Contains(after, old) {
				t.Fatalf("%s: the example has no %q", d.Pos, old)
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

// BenchmarkParse shows whether the cost of a file grows faster than its size:
// compare the bytes per second. Every replica parses every file.
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

// Guards against a parser that panics or accepts a file that its own checks
// cannot describe.
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
