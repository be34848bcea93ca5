package e2e

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/godwitlink/godwitlink/core/cell"
)

// Guards against a control group in which a replica on a lost VM cannot be replaced, and against one
// that becomes unavailable when a second replica is lost right after the replacement. The commands are
// those of docs/operations/replace-control-replica.md.
func TestReplaceControlReplica(t *testing.T) {
	const configuredReplicas = "control_replicas = [1, 2, 3, 4, 5]"
	before := writeModifiedCellFile(t, "before", strings.NewReplacer(configuredReplicas, "control_replicas = [1, 2, 3]"))
	after := writeModifiedCellFile(t, "after", strings.NewReplacer(configuredReplicas, "control_replicas = [1, 2, 4]", "generation = 1\n", "generation = 2\n"))
	c := startCell(t, before, smallCluster)
	c.controls[2].kill()
	if err := os.RemoveAll(filepath.Join(c.dir, "data-3")); err != nil {
		t.Fatal(err)
	}
	c.startControl(t, 3, "join", []int{0, 1})
	joined := c.controls[3]
	if out, err := exec.Command(filepath.Join(c.programDir, "godwit-control"), "check-settings", joined.settingsFile).CombinedOutput(); err != nil {
		t.Fatalf("check-settings: %v\n%s", err, out)
	}
	if _, err := c.godwitctl("apply", after); err != nil {
		t.Fatal(err)
	}
	for _, step := range []string{"add-learner", "promote", "remove"} {
		eventually(t, "the membership change "+step, func() error { return c.checkControlGroupStep(step) })
	}
	eventually(t, "replica 4 to be ready", func() error { return c.getOK("http://" + joined.metricsAddress + "/readyz") })
	c.controls[0].kill()
	accepted, err := c.submit(c.entries[0], "after", c.batchSubmission(t, "sleep 10ms", 2))
	if err != nil {
		t.Fatal(err)
	}
	c.waitForJob(t, c.entries[1], accepted.ID, cell.JobSucceeded)
	c.stopAll(t)
}

// checkControlGroupStep returns an error unless a running control replica has counted the given
// membership change in its metrics.
func (c *cluster) checkControlGroupStep(step string) error {
	for _, control := range c.controls {
		if !control.alive() {
			continue
		}
		response, err := c.httpClient.Get("http://" + control.metricsAddress + "/metrics")
		if err != nil {
			return err
		}
		text, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			return err
		}
		if strings.Contains(string(text), fmt.Sprintf("control_group_steps_total{reason=%q}", step)) {
			return nil
		}
	}
	return fmt.Errorf("no control replica has counted it")
}
