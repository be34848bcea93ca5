package gateway

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/internal/backendapi"
	"github.com/godwitlink/godwitlink/internal/backendserver"
)

// callResult is one request of sendRequests and its answer.
type callResult struct {
	key  string
	path string
	post bool
	answer
}

// sendRequests sends n requests from several concurrent callers through all entry
// processes. Every second one is a keyed POST. midway is called after a third of
// them has been started.
func (c *testCell) sendRequests(n, callers int, deadlineMS string, midway func()) []callResult {
	work := make(chan int)
	results := make([]callResult, n)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for i := range work {
				r := callResult{key: fmt.Sprintf("key-%d", i), path: fmt.Sprintf("/turnos/item-%d", i), post: i%2 == 0}
				method, body := "GET", ""
				if r.post {
					method, body = "POST", "body of "+r.key
				}
				entry := c.entries[i%len(c.entries)]
				r.answer = entry.call(method, r.path, body,
					backendapi.HeaderIdempotencyKey, r.key, backendapi.HeaderDeadline, deadlineMS)
				results[i] = r
			}
		})
	}
	for i := range n {
		if i == n/3 && midway != nil {
			midway()
		}
		work <- i
	}
	close(work)
	group.Wait()
	return results
}

// checkOutcomes compares the outcomes that callers were told with the runs that the backend
// servers counted. It returns the number of requests that were answered as done.
func (c *testCell) checkOutcomes(results []callResult) (done int) {
	c.t.Helper()
	runs := map[string]int{}
	for _, s := range c.servers {
		for key, n := range s.finalCounts().Runs {
			runs[key] += n
		}
	}
	for _, r := range results {
		if r.post && runs[r.key] > 1 {
			c.t.Errorf("%s ran %d times", r.key, runs[r.key])
		}
		if r.outcome == "not-run" && runs[r.key] > 0 {
			c.t.Errorf("%s was answered not-run (%s) and ran %d times", r.key, r.reason, runs[r.key])
		}
		if r.outcome == "done" && r.err == nil {
			done++
			c.checkDone(r)
		}
		if r.outcome == "" && r.err == nil {
			c.t.Errorf("%s was answered without an outcome: %+v", r.key, r.answer)
		}
	}
	for _, e := range c.entries {
		if strings.Contains(e.metrics.Text(), "gateway_violations_total") {
			c.t.Errorf("a check failed at %s", e.opts.Entry)
		}
	}
	return done
}

// checkDone checks that an answer belongs to its request and is complete.
func (c *testCell) checkDone(r callResult) {
	c.t.Helper()
	if r.status == 500 {
		return // injected by the stand-in backend server
	}
	complete := strings.Contains(r.body, r.path+" run") && (!r.post || strings.HasSuffix(r.body, "body of "+r.key))
	if r.status != 200 || !complete {
		c.t.Errorf("%s got the answer %d %q", r.key, r.status, r.body)
	}
}

// finalCounts waits for the requests in flight and returns the counts.
func (s *testServer) finalCounts() backendserver.RunCounts {
	for range 500 {
		if s.Counts().InFlight == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return s.Counts()
}

// Checks the outcomes that callers are told under failures: a request with a key runs
// at most once, not-run means that nothing ran, and an answer is complete and belongs
// to its request.
func TestOutcomesUnderFailures(t *testing.T) {
	cases := []struct {
		name     string
		faults   backendserver.Faults
		callers  int
		deadline string
		midway   func(c *testCell)
		minDone  int // of 300 requests
	}{
		{name: "reset", faults: backendserver.Faults{ResetRate: 0.2}, minDone: 100},
		{name: "truncated", faults: backendserver.Faults{TruncateRate: 0.2}, minDone: 100},
		{name: "foreign answer", faults: backendserver.Faults{ForeignRate: 0.2}, minDone: 100},
		{name: "server error", faults: backendserver.Faults{FailureRate: 0.2}, minDone: 100},
		{name: "late", faults: backendserver.Faults{LateRate: 0.2, LateDelay: time.Second}, deadline: "300", minDone: 50},
		{name: "refusals", faults: backendserver.Faults{Delay: 20 * time.Millisecond}, callers: 80, minDone: 100},
		{name: "server killed", faults: backendserver.Faults{Delay: 5 * time.Millisecond}, minDone: 200,
			midway: func(c *testCell) { _ = c.servers[0].Kill() }},
		{name: "control group lost", minDone: 150, midway: func(c *testCell) { c.control.setDown(true) }},
		{name: "everything", callers: 40, deadline: "500",
			faults: backendserver.Faults{ResetRate: 0.05, TruncateRate: 0.05, ForeignRate: 0.05, LateRate: 0.05, LateDelay: time.Second},
			midway: func(c *testCell) { _ = c.servers[1].Kill() }, minDone: 50},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newCell(t, 3)
			for i := range 3 {
				test.faults.Seed = uint64(i)
				c.addServer(test.faults)
			}
			c.awaitBackends(3)
			if test.deadline == "" {
				test.deadline = "5000"
			}
			midway := func() {
				if test.midway != nil {
					test.midway(c)
				}
			}
			results := c.sendRequests(300, max(test.callers, 12), test.deadline, midway)
			done := c.checkOutcomes(results)
			t.Logf("%d of %d done", done, len(results))
			if done < test.minDone {
				t.Errorf("%d of %d done, want %d: the gateway refuses too many requests", done, len(results), test.minDone)
			}
		})
	}
}
