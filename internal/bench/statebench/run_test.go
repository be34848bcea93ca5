package statebench

import (
	"strings"
	"testing"
)

// Guards against a benchmark whose commands are refused by the state, so that it measures refusals.
func TestMeasure(t *testing.T) {
	r, err := measure(20, 100)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	printCommands(&out, []Report{r})
	printSnapshots(&out, []Report{r})
	printMemory(&out, []Report{r})
	for _, want := range []string{"commit plan", "expire worker", "running task", "request record"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the tables have no %q:\n%s", want, out.String())
		}
	}
}
