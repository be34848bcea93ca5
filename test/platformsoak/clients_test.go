package platformsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Behavior of the stand-in clients.
const (
	clientCount       = 6
	clientJobInterval = 60 * time.Millisecond
	clientTimeout     = 3 * time.Second
	maxSubmitAttempts = 8
	cancelPercent     = 8
	longPercent       = 10 // tasks that may still run when their worker has been given up
)

// client is a stand-in client that submits jobs and cancels some of them. It reuses its connections.
type client struct {
	system          *system
	jobs            *jobRegistry
	httpClient      *http.Client
	random          *rand.Rand
	reportViolation func(format string, args ...any)
	team            int
	key             string // empty if calls need no key
}

// runClients starts clients that submit jobs until ctx is cancelled.
func runClients(ctx context.Context, s *system, jobs *jobRegistry, seed uint64, reportViolation func(string, ...any)) *sync.WaitGroup {
	var running sync.WaitGroup
	for i := range clientCount {
		c := &client{
			system: s, jobs: jobs, reportViolation: reportViolation, random: rand.New(rand.NewPCG(seed, uint64(100+i))),
			httpClient: &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		}
		if s.teams != nil {
			c.team, c.key = teamOfClient(i), teamKey(teamOfClient(i))
		}
		running.Go(func() {
			for ctx.Err() == nil {
				c.submitRandomJob()
				time.Sleep(clientJobInterval)
			}
		})
	}
	return &running
}

// call sends a request through a random entry process. Status 0 means that the response was incomplete
// or missing.
func (c *client) call(method, host, path, body string) (int, []byte) {
	entry := c.system.entryProxies[c.random.IntN(len(c.system.entryProxies))]
	request, err := http.NewRequest(method, "http://"+entry.address+path, strings.NewReader(body))
	if err != nil {
		c.reportViolation("client: %v", err)
		return 0, nil
	}
	request.Host = host
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	if c.key != "" {
		request.Header.Set("Authorization", "Token "+c.key)
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, content
}

// submitRandomJob submits a job with a random shape: a single step, a gang, or two steps of which the
// second depends on the first. It cancels some of the accepted jobs.
func (c *client) submitRandomJob() {
	id := fmt.Sprintf("%016x", c.random.Uint64())
	payload := taskPayload{DurationMs: 100 + c.random.IntN(900), MilliCPU: int64(500 * (1 + c.random.IntN(6)))}
	if c.random.IntN(100) < longPercent {
		payload.DurationMs = 1000 + c.random.IntN(int(longDuration.Milliseconds()))
	}
	host := "h"
	if c.random.IntN(2) == 0 {
		host = advisedHost
	}
	taskCount := 1 + c.random.IntN(4)
	step := fmt.Sprintf(`{"count":%d,"cpu":%d,"memMb":256,"estimateMs":%d`, taskCount, payload.MilliCPU, payload.DurationMs)
	steps := step + "}"
	switch c.random.IntN(4) {
	case 0:
		payload.GangSize = taskCount
		steps = step + `,"gang":true}`
	case 1:
		payload.DependsOn = "0"
		steps = step + "}," + step + `,"dependsOn":[0]}`
	}
	encoded, err := json.Marshal(payload)
	if err != nil {
		c.reportViolation("client: %v", err)
		return
	}
	c.jobs.update(id, func(job *submittedJob) {
		job.payload, job.firstStepTasks, job.host, job.team, job.key = string(encoded), taskCount, host, c.team, c.key
	})
	body := fmt.Sprintf(`{"spec":%q,"steps":[%s]}`, encoded, steps)
	if !c.submit(host, id, body) {
		return
	}
	if c.key != "" && c.random.IntN(100) < probePercent {
		c.probeKeys(id, host)
	}
	if c.random.IntN(100) < cancelPercent {
		if status, _ := c.call(http.MethodDelete, host, jobPath+id, ""); status == http.StatusOK || status == http.StatusGone {
			c.jobs.update(id, func(job *submittedJob) { job.cancelled = time.Now() })
		} else {
			c.jobs.update(id, func(job *submittedJob) { job.cancelUnknown = true })
		}
	}
}

// submit submits a job, with retries while the outcome is unknown, and reports whether the job was
// accepted. The job counts as rejected only if no earlier attempt can have been accepted.
func (c *client) submit(host, id, body string) bool {
	allAnswered := true
	for range maxSubmitAttempts {
		status, _ := c.call(http.MethodPost, host, jobPath+id, body)
		switch status {
		case http.StatusOK:
			c.jobs.update(id, func(job *submittedJob) { job.accepted = time.Now() })
			return true
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if allAnswered {
				c.jobs.update(id, func(job *submittedJob) { job.rejected = true })
			}
			return false
		case 0, http.StatusGatewayTimeout, http.StatusBadGateway:
			allAnswered = false
		default:
			c.reportViolation("unexpected status %d for a job submission", status)
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// waitForCompletion polls the accepted jobs that were not cancelled until all have completed or the
// timeout has passed, and returns those that have not completed.
func (c *client) waitForCompletion(timeout time.Duration, firstStepDone func(id string, job submittedJob) bool) []string {
	deadline := time.Now().Add(timeout)
	for {
		var pending []string
		for id, job := range c.jobs.all() {
			if job.accepted.IsZero() || !job.cancelled.IsZero() || job.cancelUnknown || job.state == "completed" {
				continue
			}
			c.key = job.key
			status, content := c.call(http.MethodGet, job.host, jobPath+id, "")
			var jobStatus struct {
				State string `json:"state"`
			}
			if status == http.StatusOK && json.Unmarshal(content, &jobStatus) == nil {
				c.jobs.update(id, func(job *submittedJob) { job.state = jobStatus.State })
			}
			switch {
			case status == http.StatusGone:
				c.reportViolation("LOST: %s was accepted and is unknown", id)
			case jobStatus.State == "failed" || jobStatus.State == "cancelled":
				c.reportViolation("LOST: %s is reported as %s", id, jobStatus.State)
			case jobStatus.State == "completed" && !firstStepDone(id, job):
				c.reportViolation("MIXED: %s is reported as completed before its tasks are done", id)
			case jobStatus.State != "completed":
				pending = append(pending, fmt.Sprintf("%s (status %d, %s)", id, status, jobStatus.State))
			}
		}
		if len(pending) == 0 || time.Now().After(deadline) {
			return pending
		}
		time.Sleep(200 * time.Millisecond)
	}
}
