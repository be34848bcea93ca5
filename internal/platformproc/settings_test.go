package platformproc

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/settings"
)

// templateValues are example values that the platform inserts into the deployment templates.
var templateValues = map[string]string{
	"nodeName": "core-a-1", "region": "r", "zone": "a", "ip": "10.1.0.16", "bootstrap": "true", "dataDir": "/data/c",
	"portRange.0": "7720", "portRange.1": "7735", "listen.controlPlane": "10.1.0.16:8166",
	"listen.frontend": "10.1.0.16:8161", "listen.readiness": "10.1.0.16:8167", "advice": "10.200.1.9:8169",
	"limits.diskMb": "128", "limits.memoryMb": "280", "limits.maxFds": "4096", "faultTolerance.machines": "2", "bounds.holdMaxMs": "6000", "bounds.graceS": "6",
}

func render(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("../../deploy", name))
	if err != nil {
		t.Fatal(err)
	}
	out := strings.ReplaceAll(string(text), `{{#seeds}}"{{.}}"{{,}}{{/seeds}}`, `"10.1.0.16:8166","10.2.0.33:8166"`)
	for key, value := range templateValues {
		out = strings.ReplaceAll(out, "{{"+key+"}}", value)
	}
	if strings.Contains(out, "{{") {
		t.Fatalf("template has values without a replacement: %s", out)
	}
	path := filepath.Join(t.TempDir(), "node.conf")
	if err := os.WriteFile(path, []byte(out), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against a template that renders settings which the process rejects.
func TestTemplatesRenderValidSettings(t *testing.T) {
	if err := settings.Load(render(t, "control.toml.tmpl"), &ControlSettings{}); err != nil {
		t.Error(err)
	}
	if err := settings.Load(render(t, "entry.toml.tmpl"), &EntrySettings{}); err != nil {
		t.Error(err)
	}
}

// Guards against reporting only the first fault in the settings, or none.
func TestAllFaultsInSettingsAreReported(t *testing.T) {
	path := render(t, "control.toml.tmpl")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	faulty := strings.NewReplacer(`"10.2.0.33:8166"`, `"nowhere"`, "memory_mb = 280", "memory_mb = 1", "open_files = 4096", "open_files = 343", `"6000ms"`, `"0s"`).Replace(string(text))
	if err := os.WriteFile(path, []byte(faulty), 0o600); err != nil {
		t.Fatal(err)
	}
	err = settings.Load(path, &ControlSettings{})
	for _, key := range []string{"seeds", "memory_mb", "open_files", "at least 344", "worker_lease_max"} {
		if err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s is not among the reported faults: %v", key, err)
		}
	}
}

func controlSettings(t *testing.T, bootstrap bool, ip string) *ControlSettings {
	return &ControlSettings{
		Seeds: []string{"10.1.0.16:8166", "10.2.0.33:8166", "10.3.0.39:8166"}, Bootstrap: bootstrap,
		ListenInternal: ip + ":7720", DataDir: t.TempDir(),
	}
}

func loadIdentity(s *ControlSettings) (identity, error) {
	return testDataDir(s).loadIdentity()
}

func testDataDir(s *ControlSettings) dataDir {
	return dataDir{settings: s, logger: eventlog.Nop(), metrics: metrics.New()}
}

// Guards against founders that derive different ids for each other, and against a machine that is
// not a seed founding a group.
func TestSeedsFoundTheGroup(t *testing.T) {
	first, err := loadIdentity(controlSettings(t, true, "10.1.0.16"))
	if err != nil {
		t.Fatal(err)
	}
	second, err := loadIdentity(controlSettings(t, true, "10.2.0.33"))
	if err != nil {
		t.Fatal(err)
	}
	if first.Joined || len(first.Founders) != 3 || first.ID == second.ID || first.Founders[1] != second.Founders[1] {
		t.Errorf("first founder %+v, second founder %+v", first, second)
	}
	other, err := loadIdentity(controlSettings(t, true, "10.9.0.9"))
	if err != nil || !other.Joined || other.ID < firstJoinedID {
		t.Errorf("machine that is not a seed: identity %+v, error %v", other, err)
	}
}

// Guards against a replica that votes under its former id after it has lost its disk: it no longer
// knows how it has voted.
func TestLostDiskGetsANewIdentity(t *testing.T) {
	s := controlSettings(t, true, "10.1.0.16")
	before, err := loadIdentity(s)
	if err != nil {
		t.Fatal(err)
	}
	s.Bootstrap = false
	if kept, err := loadIdentity(s); err != nil || kept.ID != before.ID || kept.Joined {
		t.Errorf("with its disk: identity %+v, error %v", kept, err)
	}
	s.DataDir = t.TempDir()
	after, err := loadIdentity(s)
	if err != nil || after.ID == before.ID || !after.Joined {
		t.Errorf("without its disk: identity %+v, error %v", after, err)
	}
	if voters := after.initialVoters(); len(voters) > 0 {
		t.Errorf("it knows the ids %v from its settings, its own former one among them", voters)
	}
}
