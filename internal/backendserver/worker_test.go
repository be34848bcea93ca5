package backendserver

import (
	"strings"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/internal/settings"
)

// Other tests rely on the run counts: the slot limit must be enforced, a refused request must not
// count as a run, and runs must be counted per idempotency key.
func TestRunCounts(t *testing.T) {
	w := newRunTracker(2, Faults{})
	outcomes := []outcome{w.begin("k").outcome, w.begin("k").outcome, w.begin("k").outcome}
	if outcomes[0] != outcomeRun || outcomes[1] != outcomeRun || outcomes[2] != outcomeRefuse {
		t.Errorf("outcomes %v with 2 slots", outcomes)
	}
	reply := make(chan int, 1)
	w.handle(endRun{reply: reply})
	if left := <-reply; left != 1 {
		t.Errorf("%d requests in flight after one of two has ended, want 1", left)
	}
	w.begin("")
	counts := w.copyCounts()
	if counts.Runs["k"] != 2 || counts.Total != 3 || counts.Refused != 1 || len(counts.Runs) != 1 {
		t.Errorf("counts %+v", counts)
	}
	idle := make(chan struct{})
	w.handle(startDraining{idle: idle})
	if got := w.begin("k").outcome; got != outcomeDraining {
		t.Errorf("outcome %v after the leave, want outcomeDraining", got)
	}
}

// The injected failures must occur at the configured rates.
func TestFaultRates(t *testing.T) {
	w := newRunTracker(10000, Faults{FailureRate: 0.1, ResetRate: 0.2, LateRate: 0.5, LateDelay: time.Second, Seed: 1})
	got := map[outcome]int{}
	late := 0
	for range 1000 {
		d := w.begin("")
		got[d.outcome]++
		if d.delay > 0 {
			late++
		}
	}
	for _, c := range []struct{ got, want int }{{got[outcomeFail], 100}, {got[outcomeReset], 200}, {late, 500}} {
		if c.got < c.want-60 || c.got > c.want+60 {
			t.Errorf("%d, want about %d; all %v", c.got, c.want, got)
		}
	}
}

// Settings that would fail at run time must be rejected at startup.
func TestSettingsCheck(t *testing.T) {
	good := Settings{
		Common:  settings.Common{Name: "b", Region: "r", FailureDomain: "d", LogLevel: "info"},
		Service: "s",
		Listen:  "127.0.0.1:1", ListenDebug: "127.0.0.1:2", Entries: []string{"127.0.0.1:3"},
		Slots: 1, Connections: 1, AnnounceInterval: time.Second, AnnounceLease: time.Second,
	}
	if faults := good.Check(); len(faults) != 0 {
		t.Errorf("good settings: %v", faults)
	}
	bad := Settings{Listen: "x", Entries: []string{"y"}, Faults: Faults{LateRate: 2}}
	text := bad.Check().Error()
	for _, key := range []string{
		"name", "region", "failure_domain", "service", "log_level", "listen", "listen_debug",
		"entries[0]", "slots", "connections", "announce_interval", "announce_lease", "faults.late_rate",
	} {
		if !strings.Contains(text, key+":") {
			t.Errorf("no fault for %s in %s", key, text)
		}
	}
}
