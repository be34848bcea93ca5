package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/internal/api"
)

// loadResult has the responses that callers received.
type loadResult struct {
	answered     int
	incomplete   []string // connections that ended before the response was complete
	rejected     []string // requests that were not run after all attempts
	outcomeByKey map[string]string
	jobByKey     map[string]cell.JobID
}

// loadRun is a group of callers that send requests concurrently.
type loadRun struct {
	results chan loadResult
	callers int
}

// startLoad starts callers that send requests without a key, requests with an idempotency key (fees)
// and jobs for the given duration.
func (c *cluster) startLoad(t *testing.T, callers int, duration time.Duration, retryBroken bool) *loadRun {
	t.Helper()
	run := &loadRun{results: make(chan loadResult, callers), callers: callers}
	deadline := time.Now().Add(duration)
	for callerIndex := range callers {
		submission := c.batchSubmission(t, "sleep 50ms", 1)
		go func() {
			caller := &caller{
				cluster: c, balancer: &loadBalancer{cluster: c, next: callerIndex, sticky: callerIndex%4 < 2}, name: fmt.Sprintf("user-%d", callerIndex),
				submission: submission, retryBroken: retryBroken,
				result: loadResult{outcomeByKey: map[string]string{}, jobByKey: map[string]cell.JobID{}},
			}
			for n := 0; time.Now().Before(deadline); n++ {
				caller.sendNext(n)
				time.Sleep(requestInterval)
			}
			run.results <- caller.result
		}()
	}
	return run
}

// wait waits for all callers and returns their combined results.
func (l *loadRun) wait(t *testing.T) loadResult {
	t.Helper()
	total := loadResult{outcomeByKey: map[string]string{}, jobByKey: map[string]cell.JobID{}}
	for range l.callers {
		part := <-l.results
		total.answered += part.answered
		total.incomplete = append(total.incomplete, part.incomplete...)
		total.rejected = append(total.rejected, part.rejected...)
		for key, outcome := range part.outcomeByKey {
			total.outcomeByKey[key] = outcome
		}
		for key, id := range part.jobByKey {
			total.jobByKey[key] = id
		}
	}
	return total
}

// caller sends one request after another.
type caller struct {
	cluster    *cluster
	balancer   *loadBalancer
	name       string
	submission api.JobSubmission
	// retryBroken retries requests whose connection broke, as callers do after an entry process
	// was killed. Fees are retried under the same key.
	retryBroken bool
	result      loadResult
}

// sendNext sends the n-th request: a job, a fee or a request without a key.
func (c *caller) sendNext(n int) {
	key := fmt.Sprintf("%s-%d", c.name, n)
	service, team := c.cluster.service()
	header := map[string]string{"Godwit-Team": string(team)}
	switch n % 10 {
	case 0:
		c.submitJob(key)
	case 1, 2, 3:
		header[api.HeaderIdempotencyKey] = key
		got, ok := c.send(http.MethodPost, service.PathPrefix+"fees/"+key, header, []byte(key))
		if ok {
			c.result.outcomeByKey[key] = got.outcome
		}
	default:
		c.send(http.MethodGet, service.PathPrefix+"rooms/"+key, header, nil)
	}
}

// maxAttempts bounds the retries of a request that was not run. They must outlast a change of leader,
// which takes less than 3 s.
const maxAttempts = 20

// send sends a request until it has run. A caller may retry a request that was reported as not run or
// whose connection was refused.
func (c *caller) send(method, path string, header map[string]string, body []byte) (callerResponse, bool) {
	var lastRejection string
	for range maxAttempts {
		entry := c.balancer.pick()
		if entry == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		got, err := c.cluster.request(entry, method, path, header, body)
		switch {
		case err != nil && (isConnectionRefused(err) || c.retryBroken):
			c.balancer.connectionRefused()
			time.Sleep(requestInterval)
			continue
		case err != nil:
			c.result.incomplete = append(c.result.incomplete, fmt.Sprintf("%s %s through %s: %v", method, path, entry.name, err))
			return callerResponse{}, false
		case got.outcome == "not-run" || got.outcome == "unknown" && got.reason != "key-unknown":
			// A retry under the same key is always safe.
			lastRejection = fmt.Sprintf("%s %s through %s: status %d, reason %s", method, path, entry.name, got.status, got.reason)
			time.Sleep(100 * time.Millisecond)
			continue
		case got.status == http.StatusOK && !strings.Contains(string(got.body), path):
			c.result.incomplete = append(c.result.incomplete, fmt.Sprintf("%s got the response %q", path, got.body))
			return got, false
		}
		c.result.answered++
		return got, true
	}
	c.result.rejected = append(c.result.rejected, lastRejection)
	return callerResponse{}, false
}

func (c *caller) submitJob(key string) {
	for range maxAttempts {
		entry := c.balancer.pick()
		if entry == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		accepted, err := c.cluster.submit(entry, key, c.submission)
		if err == nil {
			c.result.jobByKey[key] = accepted.ID
			return
		}
		if isConnectionRefused(err) {
			c.balancer.connectionRefused()
		}
		// Submissions are idempotent by key, so they can be retried after any error.
		time.Sleep(100 * time.Millisecond)
	}
	c.result.rejected = append(c.result.rejected, "job "+key)
}
