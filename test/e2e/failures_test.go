package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/agent"
	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/internal/api"
)

// shortLeaseEdits shorten the worker lease of a cell file, so that a test can wait for its end.
var shortLeaseEdits = strings.NewReplacer(
	`worker_lease = "15s"`, `worker_lease = "3s"`,
	`worker_sync_interval = "2s"`, `worker_sync_interval = "500ms"`,
)

// writeModifiedCellFile writes a modified copy of the example cell file.
func writeModifiedCellFile(t *testing.T, name string, edits *strings.Replacer) string {
	t.Helper()
	body, err := os.ReadFile(exampleCellFile)
	if err != nil {
		t.Fatal(err)
	}
	changed := edits.Replace(string(body))
	if changed == string(body) {
		t.Fatalf("%s: the edits change nothing", name)
	}
	file := filepath.Join(t.TempDir(), name+".toml")
	if err := os.WriteFile(file, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// startCell starts the processes, applies the cell file and runs a job.
func startCell(t *testing.T, example string, n clusterSize) *cluster {
	t.Helper()
	c := newCluster(t, example, n)
	c.demoApply(t, t.Logf)
	c.demoJob(t, t.Logf)
	return c
}

var smallCluster = clusterSize{controls: 3, entries: 2, workers: 4, backends: 3}

// Guards against commands that are lost or executed twice when the leader of the control group is
// killed while it processes them, and against a group that the restarted replica cannot rejoin.
func TestLeaderKilled(t *testing.T) {
	c := startCell(t, exampleCellFile, smallCluster)
	load := c.startLoad(t, loadCallers, loadDuration, false)
	time.Sleep(loadDuration / 4)
	leader := c.leader(t)
	leader.kill()
	time.Sleep(loadDuration / 4)
	leader.process = c.startFile(t, leader.name+"-again", "godwit-control", leader.settingsFile)
	c.checkLoadResult(t, load.wait(t))
	eventually(t, "the restarted replica to catch up", func() error {
		own, err := c.replicaStatus(leader)
		if err != nil {
			return err
		}
		other, err := c.replicaStatus(c.leader(t))
		if err != nil || own.CommitIndex+50 < other.CommitIndex {
			return fmt.Errorf("commit index %d, leader at %d, %v", own.CommitIndex, other.GetCommitIndex(), err)
		}
		return nil
	})
	c.stopAll(t)
}

// Guards against a request that runs twice when its caller retries it under the same key through
// another entry process because the first one was killed, and against the outcome not-run for a
// request that did run.
func TestEntryKilled(t *testing.T) {
	slow := smallCluster
	slow.backendDelay = 100 * time.Millisecond
	c := startCell(t, exampleCellFile, slow)
	load := c.startLoad(t, 2*loadCallers, loadDuration, true)
	time.Sleep(loadDuration / 3)
	c.entries[1].kill()
	total := load.wait(t)
	if len(total.rejected) > 0 {
		t.Errorf("rejected requests: %v", total.rejected)
	}
	c.checkKeyedRequests(t, total)
	c.stopAll(t)
}

// Guards against an entry process that acts on outdated state after it was suspended for longer than
// the announcement lease and the dispatch window.
func TestEntryPaused(t *testing.T) {
	c := startCell(t, exampleCellFile, smallCluster)
	load := c.startLoad(t, loadCallers, 8*time.Second, true)
	time.Sleep(time.Second)
	c.entries[1].pause(t)
	time.Sleep(4 * time.Second)
	c.entries[1].resume(t)
	total := load.wait(t)
	if len(total.rejected) > 0 {
		t.Errorf("rejected requests: %v", total.rejected)
	}
	c.checkKeyedRequests(t, total)
	c.stopAll(t)
}

// Guards against a task that completes on two workers. The tasks of a worker that was suspended for
// longer than its lease have been placed elsewhere, so it must not complete them when it resumes.
func TestWorkerPaused(t *testing.T) {
	c := startCell(t, writeModifiedCellFile(t, "short-lease", shortLeaseEdits), smallCluster)
	accepted, err := c.submit(c.entries[0], "long", c.batchSubmission(t, "sleep 5s", 12))
	if err != nil {
		t.Fatal(err)
	}
	c.waitForJob(t, c.entries[0], accepted.ID, cell.JobRunning)
	time.Sleep(500 * time.Millisecond)
	paused := c.busiestWorker(t, accepted.ID)
	paused.pause(t)
	c.waitForJob(t, c.entries[0], accepted.ID, cell.JobSucceeded)
	paused.resume(t)
	time.Sleep(time.Second)
	c.checkTasksSucceededOnce(t, accepted.ID, 12)
	c.stopAll(t)
}

// busiestWorker returns the worker that runs the most tasks of a job.
func (c *cluster) busiestWorker(t *testing.T, id cell.JobID) *workerProcess {
	t.Helper()
	var busiest *workerProcess
	most := 0
	for _, w := range c.workers {
		tasks := 0
		for _, run := range c.workerRuns(t, w) {
			if run.Job == id && run.Outcome == agent.OutcomeRunning {
				tasks++
			}
		}
		if tasks > most {
			busiest, most = w, tasks
		}
	}
	if busiest == nil {
		t.Fatalf("no worker runs job %d", id)
	}
	return busiest
}

// Guards against two operators who submit different files of the same generation and are both told
// that theirs is in force, against a retry that is rejected although its first attempt was accepted but
// the response was lost, and against an older generation being accepted.
func TestOperatorsRace(t *testing.T) {
	c := startCell(t, exampleCellFile, smallCluster)
	rounds := 5
	for round := range rounds {
		generation := fmt.Sprintf("generation = %d\n", round+2)
		files := [2]string{
			writeModifiedCellFile(t, "ana", strings.NewReplacer("generation = 1\n", generation, `submitter = "carmen.ruiz"`, `submitter = "ana"`)),
			writeModifiedCellFile(t, "luis", strings.NewReplacer("generation = 1\n", generation, `submitter = "carmen.ruiz"`, `submitter = "luis"`)),
		}
		results := make(chan error, len(files))
		for _, file := range files {
			go func() {
				results <- c.applyUntilKnown(file)
			}()
		}
		accepted := 0
		for range files {
			err := <-results
			if err == nil {
				accepted++
			} else if !strings.Contains(err.Error(), "exit status 3") || !strings.Contains(err.Error(), "generation-used") {
				t.Fatal(err)
			}
		}
		if accepted != 1 {
			t.Fatalf("generation %d was accepted %d times", round+2, accepted)
		}
	}
	out, err := c.godwitctl("get", "--output", "json")
	if err != nil || !strings.Contains(out, fmt.Sprintf("\"generation\": %d", rounds+1)) {
		t.Fatalf("%v\n%s", err, out)
	}
	if _, err := c.godwitctl("apply", c.cellFile); err == nil || !strings.Contains(err.Error(), "generation-old") {
		t.Fatalf("response to a file of an older generation: %v", err)
	}
	c.stopAll(t)
}

// maxUnknownOutcomes is how often in a row a truthful godwitctl may report an unknown outcome.
const maxUnknownOutcomes = 10

// applyUntilKnown applies a file again while its outcome is unknown (exit status 5). The response to
// the repeated file tells whether it or another file is in force.
func (c *cluster) applyUntilKnown(file string) error {
	var err error
	for range maxUnknownOutcomes {
		if _, err = c.godwitctl("apply", file); err == nil || !strings.Contains(err.Error(), "exit status 5") {
			return err
		}
	}
	return err
}

// Guards against a replica that has lost its disk and votes under its old id with an empty log. Its
// vote could elect a leader that lacks committed entries.
func TestLostDisk(t *testing.T) {
	c := startCell(t, exampleCellFile, smallCluster)
	lost := c.controls[2]
	lost.kill()
	if err := os.RemoveAll(filepath.Join(c.dir, "data-3")); err != nil {
		t.Fatal(err)
	}
	lost.process = c.startFile(t, "control-3-empty", "godwit-control", lost.settingsFile)
	select {
	case err := <-lost.exited:
		lost.exited <- err
		if err == nil {
			t.Fatalf("the replica with an empty data folder exited with status 0\n%s", lost.logTail())
		}
	case <-time.After(waitTimeout):
		t.Fatalf("the replica with an empty data folder is still running\n%s", lost.logTail())
	}
	accepted, err := c.submit(c.entries[0], "after", c.batchSubmission(t, "sleep 10ms", 2))
	if err != nil {
		t.Fatal(err)
	}
	c.waitForJob(t, c.entries[1], accepted.ID, cell.JobSucceeded)
	c.stopAll(t)
}

// Guards against invalid input that is applied in part, and against a rejection without its reason.
func TestBadInput(t *testing.T) {
	c := startCell(t, exampleCellFile, smallCluster)
	bad := writeModifiedCellFile(t, "bad", strings.NewReplacer(
		"generation = 1\n", "generation = 2\ncolour = \"blue\"\n",
		`worker_lease = "15s"`, `worker_lease = 15`,
		"share = 0.5\n", "share = 0.9\n",
	))
	_, err := c.godwitctl("apply", bad)
	for _, want := range []string{"exit status 2", "colour", "worker_lease"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing in: %v", want, err)
		}
	}
	response, err := c.request(c.entries[0], "POST", "/v1/jobs", nil, []byte("{}"))
	if err != nil || response.status != 400 || response.reason != "key-missing" {
		t.Errorf("response to a submission without a key: %+v, %v", response, err)
	}
	header := map[string]string{api.HeaderIdempotencyKey: "x"}
	response, err = c.request(c.entries[0], "POST", "/v1/jobs", header, []byte(`{"nonsense": 1}`))
	if err != nil || response.status != 400 || response.reason != "bad-request" {
		t.Errorf("response to an unknown field: %+v, %v", response, err)
	}
	response, err = c.request(c.entries[0], "POST", "/v1/jobs", header, []byte(`{"name":"`+strings.Repeat("x", 2<<20)+`"}`))
	if err != nil || response.status != 413 || response.reason != "too-large" {
		t.Errorf("response to an oversized body: %+v, %v", response, err)
	}
	tooLarge := c.batchSubmission(t, "sleep 1s", 1)
	tooLarge.CPUs = 1000
	if _, err = c.submit(c.entries[0], "never", tooLarge); err == nil || !strings.Contains(err.Error(), "422") {
		t.Errorf("response to a job that fits on no worker: %v", err)
	}
	out, err := c.godwitctl("get", "--output", "json")
	if err != nil || !strings.Contains(out, `"generation": 1`) {
		t.Errorf("%v\n%s", err, out)
	}
	c.stopAll(t)
}
