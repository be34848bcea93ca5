package controlproc

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/godwitlink/godwitlink/internal/settings"
)

const validSettings = `name = "control-1"
region = "quito-norte"
failure_domain = "quito-norte-1"
log_level = "info"
listen_internal = "127.0.0.1:7001"
listen_metrics = "127.0.0.1:7009"
replica_id = 1
start = "form"
data_dir = "/var/lib/godwit"
election_timeout_min = "400ms"
election_timeout_max = "800ms"
heartbeat_interval = "100ms"
max_clock_drift_ppm = 1000
snapshot_every_entries = 10000

[internal_tls]
mode = "plain"
certificate = ""
key = ""
authorities = ""

[[replica]]
id = 1
address = "127.0.0.1:7001"

[[replica]]
id = 2
address = "127.0.0.1:7002"
`

func checkSettings(t *testing.T, text string) error {
	t.Helper()
	return loadSettings(t, text, &Settings{})
}

func loadSettings(t *testing.T, text string, into *Settings) error {
	t.Helper()
	file := filepath.Join(t.TempDir(), "control.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return settings.Load(file, into)
}

// Settings with which a replica cannot run safely must be rejected, and the error must list every
// fault, not only the first one.
func TestSettingsFaults(t *testing.T) {
	if err := checkSettings(t, validSettings); err != nil {
		t.Fatal(err)
	}
	changes := map[string]string{
		`name = "control-1"`:                 `name = ""`,
		`log_level = "info"`:                 `log_level = "loud"`,
		`listen_metrics = "127.0.0.1:`:       `listen_metrics = "localhost:`,
		`replica_id = 1`:                     `replica_id = 9`,
		`election_timeout_min = "400ms"`:     `election_timeout_min = "250ms"`,
		`election_timeout_max = "800ms"`:     `election_timeout_max = "250ms"`,
		`max_clock_drift_ppm = 1000`:         `max_clock_drift_ppm = -1`,
		`snapshot_every_entries = 10000`:     `snapshot_every_entries = 0`,
		"id = 2\naddress = \"127.0.0.1:7002": "id = 1\naddress = \"127.0.0.1:7001",
	}
	text := validSettings
	for from, to := range changes {
		if !strings.Contains(text, from) {
			t.Fatalf("no %q in the settings", from)
		}
		text = strings.Replace(text, from, to, 1)
	}
	err := checkSettings(t, text)
	var fileError *settings.FileError
	if !errors.As(err, &fileError) {
		t.Fatalf("error %v, want a FileError", err)
	}
	want := []string{
		"name", "log_level", "listen_metrics", "replica_id", "election_timeout_min", "election_timeout_max",
		"max_clock_drift_ppm", "snapshot_every_entries", "replica[1].id", "replica[1].address",
	}
	for _, key := range want {
		if !strings.Contains(err.Error(), " "+key+": ") {
			t.Errorf("no fault of %s in:\n%v", key, err)
		}
	}
	if len(fileError.Faults) != len(want) {
		t.Errorf("%d faults, want %d:\n%v", len(fileError.Faults), len(want), err)
	}
}

// Faulty settings must not let a replica form a second group or join under the ID of an initial
// voter.
func TestStartSettings(t *testing.T) {
	for _, test := range []struct{ from, to, fault string }{
		{`start = "form"`, `start = "join"`, "replica_id"},
		{`start = "form"`, `start = "vote"`, "start"},
		{`start = "form"`, ``, "start"},
		{"replica_id = 1\nstart = \"form\"", "replica_id = 4\nstart = \"join\"", ""},
		{"replica_id = 1\nstart = \"form\"", "replica_id = 0\nstart = \"join\"", "replica_id"},
		{"replica_id = 1\nstart = \"form\"", "replica_id = 4\nstart = \"form\"", "replica_id"},
	} {
		err := checkSettings(t, strings.Replace(validSettings, test.from, test.to, 1))
		if test.fault == "" && err != nil || test.fault != "" && (err == nil || !strings.Contains(err.Error(), " "+test.fault+": ")) {
			t.Errorf("%q: error %v, want a fault of %q", test.to, err, test.fault)
		}
	}
}
