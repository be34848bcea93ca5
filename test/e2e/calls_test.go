package e2e

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/cellconfig"
	"github.com/godwitlink/godwitlink/internal/api"
	"github.com/godwitlink/godwitlink/internal/backendserver"
	"github.com/godwitlink/godwitlink/internal/workeragent"
)

// callerResponse is a complete response to a caller.
type callerResponse struct {
	status  int
	outcome string
	reason  string
	body    []byte
}

// request sends a request to an entry process. An error means that the response was incomplete or
// missing.
func (c *cluster) request(e *entryProcess, method, path string, header map[string]string, body []byte) (callerResponse, error) {
	request, err := http.NewRequest(method, c.callerScheme+"://"+e.callerAddress+path, bytes.NewReader(body))
	if err != nil {
		return callerResponse{}, err
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	var conn httptrace.GotConnInfo
	var sentAt time.Time
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn, sentAt = info, time.Now() },
	}))
	response, err := c.httpClient.Do(request)
	if err != nil {
		return callerResponse{}, fmt.Errorf("%w (connection reused: %v, idle for %v, sent at %s, failed %v later)",
			err, conn.Reused, conn.IdleTime, sentAt.Format("05.000"), time.Since(sentAt))
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return callerResponse{}, err
	}
	return callerResponse{
		status: response.StatusCode, body: content,
		outcome: response.Header.Get(api.HeaderOutcome), reason: response.Header.Get(api.HeaderReason),
	}, nil
}

// service returns the first service of the cell file and a team that may use it.
func (c *cluster) service() (cellconfig.Service, cell.Team) {
	service := c.config.Services[0]
	return service, service.Teams[0]
}

// batchSubmission returns a job under a batch policy, submitted by a team that may use the policy.
func (c *cluster) batchSubmission(t *testing.T, command string, tasks int) api.JobSubmission {
	t.Helper()
	kinds := map[cell.PolicyName]cell.PolicyKind{}
	for _, policy := range c.config.Policies {
		if policy.Pools[0] == c.config.Pools[0].Name {
			kinds[policy.Name] = policy.Kind
		}
	}
	for _, team := range c.config.Teams {
		for _, policy := range team.Policies {
			if kinds[policy] == cell.KindBatch {
				return api.JobSubmission{
					Name: "check", Team: team.Name, Policy: policy, Priority: cell.PriorityNormal, Tasks: tasks,
					CPUs: 0.5, Memory: "64MiB", RunTime: "100ms", Command: command,
				}
			}
		}
	}
	t.Fatalf("%s has no team with a batch policy on its first pool", c.cellFile)
	return api.JobSubmission{}
}

func (c *cluster) submit(e *entryProcess, key string, submission api.JobSubmission) (api.JobAccepted, error) {
	body, err := json.Marshal(submission)
	if err != nil {
		return api.JobAccepted{}, err
	}
	got, err := c.request(e, http.MethodPost, "/v1/jobs", map[string]string{api.HeaderIdempotencyKey: key}, body)
	if err != nil {
		return api.JobAccepted{}, err
	}
	if got.status != http.StatusAccepted {
		return api.JobAccepted{}, fmt.Errorf("status %d: %s", got.status, got.body)
	}
	var accepted api.JobAccepted
	return accepted, json.Unmarshal(got.body, &accepted)
}

func (c *cluster) job(e *entryProcess, id cell.JobID) (api.Job, error) {
	got, err := c.request(e, http.MethodGet, fmt.Sprintf("/v1/jobs/%d", id), nil, nil)
	if err != nil {
		return api.Job{}, err
	}
	if got.status != http.StatusOK {
		return api.Job{}, fmt.Errorf("status %d: %s", got.status, got.body)
	}
	var job api.Job
	return job, json.Unmarshal(got.body, &job)
}

// waitForJob waits until a job is in the given state.
func (c *cluster) waitForJob(t *testing.T, entry *entryProcess, id cell.JobID, want cell.JobState) {
	t.Helper()
	eventually(t, fmt.Sprintf("job %d to be %s", id, want), func() error {
		job, err := c.job(entry, id)
		if err == nil && job.State != want {
			err = fmt.Errorf("job is %s: %+v", job.State, job.Tasks)
		}
		return err
	})
}

// taskRuns returns the runs of tasks on all running workers.
func (c *cluster) taskRuns(t *testing.T) []workeragent.Run {
	t.Helper()
	var runs []workeragent.Run
	for _, w := range c.workers {
		if !w.alive() {
			continue
		}
		runs = append(runs, c.workerRuns(t, w)...)
	}
	return runs
}

func (c *cluster) workerRuns(t *testing.T, w *workerProcess) []workeragent.Run {
	t.Helper()
	var runs []workeragent.Run
	if err := c.getJSON("http://"+w.debugAddress+"/", &runs); err != nil {
		t.Fatalf("%s: %v", w.name, err)
	}
	return runs
}

// runsByKey returns, for each idempotency key, the number of runs on all running backend servers.
func (c *cluster) runsByKey(t *testing.T) map[string]int {
	t.Helper()
	total := map[string]int{}
	for _, b := range c.backends {
		if !b.alive() {
			continue
		}
		var runs backendserver.RunCounts
		if err := c.getJSON("http://"+b.debugAddress+"/debug/runs", &runs); err != nil {
			t.Fatalf("%s: %v", b.name, err)
		}
		for key, count := range runs.Runs {
			total[key] += count
		}
	}
	return total
}

func (c *cluster) getJSON(url string, into any) error {
	response, err := c.httpClient.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}

// loadBalancer is a stand-in for the load balancer in front of the entry processes. It picks the ready
// ones in turn. A sticky load balancer has outdated health checks: it picks the same entry process
// until that process refuses a connection.
type loadBalancer struct {
	cluster *cluster
	next    int
	sticky  bool
}

// connectionRefused reports to a sticky load balancer that its entry process refuses connections.
func (b *loadBalancer) connectionRefused() { b.sticky = false }

// pick returns a ready entry process, or nil if there is none.
func (b *loadBalancer) pick() *entryProcess {
	if b.sticky {
		return b.cluster.entries[b.next%len(b.cluster.entries)]
	}
	for range b.cluster.entries {
		b.next++
		e := b.cluster.entries[b.next%len(b.cluster.entries)]
		if b.cluster.getOK("http://"+e.metricsAddress+"/readyz") == nil {
			return e
		}
	}
	return nil
}

// isConnectionRefused reports whether a request failed before a connection was established.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// requestInterval is the pause between two requests of a caller.
const requestInterval = 5 * time.Millisecond
