package routingbench

import (
	"testing"
	"time"
)

// Guards against routing that sends requests to full servers: without homes
// the same run has 10 to 20 times as many refusals. The clock is virtual, so
// the figures do not depend on the machine.
func TestHomesAvoidRefusals(t *testing.T) {
	r := newRun(scenario{load: normalLoad}, methods()[0], 1)
	r.warmUp, r.length = time.Second, time.Second
	r.execute()
	if got := r.perThousand(r.refusals); got > 20 {
		t.Errorf("%.1f refusals per 1000 requests at load %.2f, want at most 20", got, normalLoad)
	}
	if r.answers+r.errors+r.refused != r.arrivals {
		t.Errorf("%d arrivals, but %d answers, %d errors and %d not run", r.arrivals, r.answers, r.errors, r.refused)
	}
}

// Guards against a queue that delays all requests under overload and against
// admission that refuses more than it must.
func TestOverloadKeepsGoodput(t *testing.T) {
	r := newRun(scenario{load: overload}, methods()[0], 1)
	r.warmUp, r.length = time.Second, time.Second
	r.execute()
	capacity := serverCount * slots / meanService.Seconds()
	if goodput := float64(r.answers) / r.length.Seconds(); goodput < 0.95*capacity {
		t.Errorf("%.0f answers a second of %.0f", goodput, capacity)
	}
	if wait := r.percentile(0.99); wait > 4*meanService {
		t.Errorf("p99 wait %v", wait)
	}
}

// Guards against figures that cannot be reproduced: the choice once depended on
// the order of a map of unanswered requests.
func TestRunsAreReproducible(t *testing.T) {
	var answers, refusals [3]int
	for i := range answers {
		r := newRun(scenario{load: overload}, methods()[0], 1)
		r.warmUp, r.length = 300*time.Millisecond, 700*time.Millisecond
		r.execute()
		answers[i], refusals[i] = r.answers, r.refusals
	}
	if answers[0] != answers[1] || answers[1] != answers[2] || refusals[0] != refusals[1] || refusals[1] != refusals[2] {
		t.Errorf("answers %v and refusals %v of equal runs", answers, refusals)
	}
}
