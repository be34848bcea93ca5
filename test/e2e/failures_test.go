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

// shortLease makes the lease of workers short, so that a test can outlast it.
var shortLeaseEdits = strings.NewReplacer(
	`worker_lease = "15s"`, `worker_lease = "3s"`,
	`worker_sync_interval = "2s"`, `worker_sync_interval = "500ms"`,
)

// variant writes a changed copy of the thin path's cell file.
func writeModifiedCellFile(t *testing.T, name string, edits *strings.Replacer) string {
	t.Helper()
	body, err := os.ReadFile(exampleCellFile)
	if err != nil {
		t.Fatal(err)
	}
	changed := edits.Replace(string(body))
	if changed == string(body) {
		t.Fatalf("%s: nothing was changed", name)
	}
	file := filepath.Join(t.TempDir(), name+".toml")
	if err := os.WriteFile(file, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// startCell starts the processes and applies the cell file.
func startCell(t *testing.T, example string, n clusterSize) *cluster {
	t.Helper()
	c := newCluster(t, example, n)
	c.demoApply(t, t.Logf)
	c.demoJob(t, t.Logf)
	return c
}

var smallCluster = clusterSize{controls: 3, entries: 2, workers: 4, backends: 3}

// Guards against commands that are lost or doubled when the leader of the
// control group dies in the middle of them, and against a group that does not
// take the replica back.
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
			return fmt.Errorf("at %d of %d, %v", own.CommitIndex, other.GetCommitIndex(), err)
		}
		return nil
	})
	c.stopAll(t)
}

// Guards against a fee that runs twice when its caller repeats it through
// another entry process after the first one died, and against a false not-run.
func TestEntryKilled(t *testing.T) {
	slow := smallCluster
	slow.backendDelay = 100 * time.Millisecond
	c := startCell(t, exampleCellFile, slow)
	load := c.startLoad(t, 2*loadCallers, loadDuration, true)
	time.Sleep(loadDuration / 3)
	c.entries[1].kill()
	total := load.wait(t)
	if len(total.rejected) > 0 {
		t.Errorf("refused for good: %v", total.rejected)
	}
	c.checkKeyedRequests(t, total)
	c.stopAll(t)
}

// Guards against an entry process that, after a pause longer than the
// announcement lease and the dispatch window, acts on what it knew before.
func TestEntryPaused(t *testing.T) {
	c := startCell(t, exampleCellFile, smallCluster)
	load := c.startLoad(t, loadCallers, 8*time.Second, true)
	time.Sleep(time.Second)
	c.entries[1].pause(t)
	time.Sleep(4 * time.Second)
	c.entries[1].resume(t)
	total := load.wait(t)
	if len(total.rejected) > 0 {
		t.Errorf("refused for good: %v", total.rejected)
	}
	c.checkKeyedRequests(t, total)
	c.stopAll(t)
}

// Guards against a task that runs in two places: a worker frozen for longer
// than its lease must not complete its tasks when it wakes up, because they
// were placed elsewhere.
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
	c.checkTasksRanOnce(t, accepted.ID, 12)
	c.stopAll(t)
}

// busiestWorker returns the worker with the most tasks of a job.
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

// Guards against two operators who both believe that their file is in force,
// and against a repeat that is refused after a lost answer.
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
				_, err := c.godwitctl("apply", file)
				results <- err
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
		t.Fatalf("an older file: %v", err)
	}
	c.stopAll(t)
}

// Guards against a replica that lost its disk and votes under its old id with
// an empty log, which could elect a leader without committed entries.
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
			t.Fatalf("exit status 0\n%s", lost.logTail())
		}
	case <-time.After(waitTimeout):
		t.Fatalf("the replica with an empty folder still runs\n%s", lost.logTail())
	}
	accepted, err := c.submit(c.entries[0], "after", c.batchSubmission(t, "sleep 10ms", 2))
	if err != nil {
		t.Fatal(err)
	}
	c.waitForJob(t, c.entries[1], accepted.ID, cell.JobSucceeded)
	c.stopAll(t)
}

// Guards against bad input that is taken in part, and against a refusal that
// does not say why.
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
			t.Errorf("%s is missing in: %v", want, err)
		}
	}
	response, err := c.request(c.entries[0], "POST", "/v1/jobs", nil, []byte("{}"))
	if err != nil || response.status != 400 || response.reason != "key-missing" {
		t.Errorf("no key: %+v, %v", response, err)
	}
	header := map[string]string{api.HeaderIdempotencyKey: "x"}
	response, err = c.request(c.entries[0], "POST", "/v1/jobs", header, []byte(`{"nonsense": 1}`))
	if err != nil || response.status != 400 || response.reason != "bad-request" {
		t.Errorf("unknown field: %+v, %v", response, err)
	}
	response, err = c.request(c.entries[0], "POST", "/v1/jobs", header, []byte(`{"name":"`+strings.Repeat("x", 2<<20)+`"}`))
	if err != nil || response.status != 413 || response.reason != "too-large" {
		t.Errorf("oversized: %+v, %v", response, err)
	}
	tooLarge := c.batchSubmission(t, "sleep 1s", 1)
	tooLarge.CPUs = 1000
	if _, err = c.submit(c.entries[0], "never", tooLarge); err == nil || !strings.Contains(err.Error(), "422") {
		t.Errorf("a job that can never run: %v", err)
	}
	out, err := c.godwitctl("get", "--output", "json")
	if err != nil || !strings.Contains(out, `"generation": 1`) {
		t.Errorf("%v\n%s", err, out)
	}
	c.stopAll(t)
}
