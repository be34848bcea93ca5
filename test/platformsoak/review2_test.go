package platformsoak

import (
	"testing"
	"time"
)

// Guards against a start after an end that the leader has acknowledged being reported apart because of the
// boot on which the ended run began.
func TestStartAfterAListedEndOfALateRun(t *testing.T) {
	f := newTestFleet(t)
	late := startOfTestTask(1)
	late.late = true
	f.do(func() {
		w := f.workers[0]
		late.bootedAt = w.bootedAt
		f.crash(w)
		w.boot()
		w.answeredHoldAt = time.Now()
	})
	f.callTestWorker(0, "run-start", late)
	f.do(func() { f.finishRun(f.activeRun(runKey{"j.0.0.0", 1}), "done") })
	f.callTestWorker(0, "hold", workerCall{LeaseEndMs: 60000})
	f.callTestWorker(0, "hold", workerCall{LastSeen: 1, LeaseEndMs: 60000})
	f.callTestWorker(1, "run-start", startOfTestTask(2))
	f.do(func() {
		if len(f.violations) != 1 {
			t.Errorf("violations %v, by unnoticed boots %v, want one and none", f.violations, f.unnoticedBoots)
		}
	})
}
