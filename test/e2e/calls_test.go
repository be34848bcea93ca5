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

// answer is a complete answer to a caller.
type answer struct {
	status  int
	outcome string
	reason  string
	body    []byte
}

// request sends one request to one entry process. An error means that no
// complete answer came.
func (c *cluster) request(e *entryProcess, method, path string, header map[string]string, body []byte) (answer, error) {
	request, err := http.NewRequest(method, c.scheme+"://"+e.callers+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	var conn httptrace.GotConnInfo
	var sentAt time.Time
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn, sentAt = info, time.Now() },
	}))
	response, err := c.http.Do(request)
	if err != nil {
		return answer{}, fmt.Errorf("%w (connection reused: %v, idle for %v, sent at %s, failed %v later)",
			err, conn.Reused, conn.IdleTime, sentAt.Format("05.000"), time.Since(sentAt))
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, err
	}
	return answer{
		status: response.StatusCode, body: content,
		outcome: response.Header.Get(api.HeaderOutcome), reason: response.Header.Get(api.HeaderReason),
	}, nil
}

// service returns the service under test and a team that may use it.
func (c *cluster) service() (cellconfig.Service, cell.Team) {
	service := c.file.Services[0]
	return service, service.Teams[0]
}

// submission returns a job of a batch policy, with its team.
func (c *cluster) submission(t *testing.T, command string, tasks int) api.JobSubmission {
	t.Helper()
	kinds := map[cell.PolicyName]cell.PolicyKind{}
	for _, policy := range c.file.Policies {
		if policy.Pools[0] == c.file.Pools[0].Name {
			kinds[policy.Name] = policy.Kind
		}
	}
	for _, team := range c.file.Teams {
		for _, policy := range team.Policies {
			if kinds[policy] == cell.KindBatch {
				return api.JobSubmission{
					Name: "check", Team: team.Name, Policy: policy, Priority: cell.PriorityNormal, Tasks: tasks,
					CPUs: 0.5, Memory: "64MiB", RunTime: "100ms", Command: command,
				}
			}
		}
	}
	t.Fatalf("%s has no team with a batch policy on its first pool", c.example)
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

// waitForJob waits until a job has the state.
func (c *cluster) waitForJob(t *testing.T, e *entryProcess, id cell.JobID, want cell.JobState) {
	t.Helper()
	eventually(t, fmt.Sprintf("job %d to be %s", id, want), func() error {
		job, err := c.job(e, id)
		if err == nil && job.State != want {
			err = fmt.Errorf("it is %s: %+v", job.State, job.Tasks)
		}
		return err
	})
}

// runs returns what ran on all workers.
func (c *cluster) runs(t *testing.T) []workeragent.Run {
	t.Helper()
	var all []workeragent.Run
	for _, w := range c.workers {
		if !w.alive() {
			continue
		}
		all = append(all, c.runsOf(t, w)...)
	}
	return all
}

func (c *cluster) runsOf(t *testing.T, w *workerProcess) []workeragent.Run {
	t.Helper()
	var runs []workeragent.Run
	if err := c.getJSON("http://"+w.debug+"/", &runs); err != nil {
		t.Fatalf("%s: %v", w.name, err)
	}
	return runs
}

// keyRuns sums the runs of each key over all backend servers.
func (c *cluster) keyRuns(t *testing.T) map[string]int {
	t.Helper()
	sum := map[string]int{}
	for _, b := range c.backends {
		if !b.alive() {
			continue
		}
		var runs backendserver.RunCounts
		if err := c.getJSON("http://"+b.debug+"/debug/runs", &runs); err != nil {
			t.Fatalf("%s: %v", b.name, err)
		}
		for key, count := range runs.Runs {
			sum[key] += count
		}
	}
	return sum
}

func (c *cluster) getJSON(url string, into any) error {
	response, err := c.http.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}

// balancer stands in for the platform's balancer: it sends to entry processes
// that are ready, in turn. A sticky one has not noticed yet that its entry
// process is not ready and stays with it until it accepts no connection.
type balancer struct {
	cluster *cluster
	next    int
	sticky  bool
}

// refused tells a sticky balancer that its entry process is gone.
func (b *balancer) refused() { b.sticky = false }

// pick returns a ready entry process; nil where there is none.
func (b *balancer) pick() *entryProcess {
	if b.sticky {
		return b.cluster.entries[b.next%len(b.cluster.entries)]
	}
	for range b.cluster.entries {
		b.next++
		e := b.cluster.entries[b.next%len(b.cluster.entries)]
		if b.cluster.getOK("http://"+e.metrics+"/readyz") == nil {
			return e
		}
	}
	return nil
}

// neverSent reports whether a request failed before a connection existed.
func neverSent(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// loadPause is the pause between two requests of one load generator.
const loadPause = 5 * time.Millisecond
