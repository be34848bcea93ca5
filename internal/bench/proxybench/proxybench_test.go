package proxybench

import (
	"strings"
	"testing"
	"time"
)

// Guards against a benchmark whose requests fail, so that it measures failures.
func TestRunWithoutFailures(t *testing.T) {
	var out strings.Builder
	settings := Settings{MeasureTime: 50 * time.Millisecond, Rounds: 1, ThroughputCallers: 4, DelayCallers: 1, IdleConnections: 10}
	if err := Run(t.Context(), &out, settings); err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(out.String(), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 8 && fields[3] != "0" {
			t.Errorf("failed requests: %s", line)
		}
	}
	if !strings.Contains(out.String(), "gateway GET") {
		t.Errorf("no table: %s", out.String())
	}
}
