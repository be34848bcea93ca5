package routingbench

import (
	"testing"
	"time"
)

// Guards against routing that sends requests to full servers: the same run without home servers has
// 10 to 20 times as many refusals. The clock is virtual, so the figures do not depend on the
// machine.
func TestHomesAvoidRefusals(t *testing.T) {
	r := newRun(scenario{load: normalLoad}, methods()[0], 1)
	r.warmUp, r.length = time.Second, time.Second
	r.execute()
	if got := r.perThousand(r.refusals); got > 20 {
		t.Errorf("%.1f refusals per 1000 requests at load %.2f, want at most 20", got, normalLoad)
	}
	if r.answers+r.errors+r.notRun != r.arrivals {
		t.Errorf("%d arrivals, but %d answers, %d errors and %d not run", r.arrivals, r.answers, r.errors, r.notRun)
	}
}

// Guards against a queue that delays all requests under overload, and against admission that
// refuses requests while servers have free slots.
func TestOverloadKeepsGoodput(t *testing.T) {
	r := newRun(scenario{load: overload}, methods()[0], 1)
	r.warmUp, r.length = time.Second, time.Second
	r.execute()
	capacity := serverCount * slots / meanService.Seconds()
	if goodput := float64(r.answers) / r.length.Seconds(); goodput < 0.95*capacity {
		t.Errorf("%.0f answers per second, want at least 95%% of the capacity of %.0f", goodput, capacity)
	}
	if wait := r.percentile(0.99); wait > 4*meanService {
		t.Errorf("p99 of the waiting time is %v, want at most %v", wait, 4*meanService)
	}
}

// Guards against runs that are not reproducible: the choice of a server once depended on the
// iteration order of a map of unanswered requests.
func TestRunsAreReproducible(t *testing.T) {
	var answers, refusals [3]int
	for i := range answers {
		r := newRun(scenario{load: overload}, methods()[0], 1)
		r.warmUp, r.length = 300*time.Millisecond, 700*time.Millisecond
		r.execute()
		answers[i], refusals[i] = r.answers, r.refusals
	}
	if answers[0] != answers[1] || answers[1] != answers[2] || refusals[0] != refusals[1] || refusals[1] != refusals[2] {
		t.Errorf("runs with equal seeds have answers %v and refusals %v, want equal numbers", answers, refusals)
	}
}
