package platformproc

import (
	"context"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/settings"
)

// writeSettings renders a template of deploy/ for a machine and writes the result over file.
func writeSettings(t *testing.T, template, file, ip string, seeds []string) {
	t.Helper()
	text, err := os.ReadFile(render(t, template))
	if err != nil {
		t.Fatal(err)
	}
	rendered := strings.NewReplacer(
		`"10.1.0.16:8166","10.2.0.33:8166"`, `"`+strings.Join(seeds, `","`)+`"`, "10.1.0.16:7720", ip+":7002", "10.1.0.16:", ip+":",
		"/data/c", filepath.Join(filepath.Dir(file), "data"), "bootstrap = true", "bootstrap = false",
	).Replace(string(text))
	if err := os.WriteFile(file, []byte(rendered), 0o600); err != nil {
		t.Fatal(err)
	}
}

// unusedAddress is the control address of a machine of this group that does not run.
func (g *testGroup) unusedAddress() string {
	return strings.Replace(g.members[0].settings.ListenControl, ".9.1:", ".9.250:", 1)
}

// hasJoined reports whether the leader has permitted the replica to join.
func (m *testMember) hasJoined() bool { return len(m.log.eventLines(1406)) > 0 }

// Guards against a replica that never joins because the seeds of its start are all gone, although the
// settings file names others later.
func TestReplicaUsesSeedsWrittenLater(t *testing.T) {
	g := startTestGroup(t)
	m := g.newMember()
	ip, _, _ := strings.Cut(m.settings.ListenControl, ":")
	file := filepath.Join(t.TempDir(), "node.conf")
	writeSettings(t, "control.toml.tmpl", file, ip, []string{g.unusedAddress()})
	if err := settings.Load(file, m.settings); err != nil {
		t.Fatal(err)
	}
	g.start(len(g.members) - 1)
	await(t, "request to join", func() bool { return len(m.log.eventLines(1405)) > 0 })
	writeSettings(t, "control.toml.tmpl", file, ip, controlAddressesOf(g.members[:1]))
	await(t, "permission to join", m.hasJoined)
}

// Guards against an entry process that finds no leader because the seeds of its start are all gone.
func TestEntryUsesSeedsWrittenLater(t *testing.T) {
	g := startTestGroup(t)
	await(t, "configuration", func() bool {
		return g.members[0].post(t, "Config.Replace", `{"version":1,"routes":[],"services":[{"name":"s"}]}`) == http.StatusOK
	})
	ip := strings.TrimSuffix(g.unusedAddress(), ".9.250:7001") + ".9.200"
	file := filepath.Join(t.TempDir(), "node.conf")
	writeSettings(t, "entry.toml.tmpl", file, ip, []string{g.unusedAddress()})
	var s EntrySettings
	if err := settings.Load(file, &s); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended, log := make(chan error, 1), &logBuffer{}
	go func() { ended <- RunEntry(context.Background(), ctx, &s, log) }()
	defer func() { cancel(); <-ended }()
	await(t, "start of the entry process", func() bool { return len(log.eventLines(4300)) > 0 })
	writeSettings(t, "entry.toml.tmpl", file, ip, controlAddressesOf(g.members[1:2]))
	client := &http.Client{}
	defer client.CloseIdleConnections()
	await(t, "readiness", func() bool {
		response, err := client.Get("http://" + s.ListenReady)
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// Guards against a process that drops its seeds because the settings file was read while it was
// written, and against one that does not use them because its receiver was busy once.
func TestSeedWatcher(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.conf")
	var applied [][]string
	var applyErr error
	log := &logBuffer{}
	logger, err := eventlog.New(log, "info", "test")
	if err != nil {
		t.Fatal(err)
	}
	w := &seedWatcher{
		file: file, parse: parseControlSeeds, logger: logger, metrics: metrics.New(), seeds: []string{"10.0.0.1:7001"},
		apply: func(_ context.Context, seeds []string) error {
			if applyErr == nil {
				applied = append(applied, seeds)
			}
			return applyErr
		},
	}
	pollWants := func(what string, refusals int, seeds ...[]string) {
		t.Helper()
		w.poll(t.Context())
		if !slices.EqualFunc(applied, seeds, slices.Equal) || len(log.eventLines(4315)) != refusals {
			t.Errorf("%s: applied %v, want %v; %d files refused, want %d", what, applied, seeds, len(log.eventLines(4315)), refusals)
		}
	}
	first, second := []string{"10.0.0.2:7001"}, []string{"10.0.0.3:7001"}
	pollWants("no file", 1)
	pollWants("still no file", 1)
	writeSettings(t, "control.toml.tmpl", file, "10.0.0.9", []string{"10.0.0.1:7001"})
	pollWants("seeds in use", 1)
	writeSettings(t, "control.toml.tmpl", file, "10.0.0.9", first)
	pollWants("other seeds", 1, first)
	if err := os.WriteFile(file, []byte("name = "), 0o600); err != nil {
		t.Fatal(err)
	}
	pollWants("half a file", 2, first)
	pollWants("still half a file", 2, first)
	writeSettings(t, "control.toml.tmpl", file, "10.0.0.9", second)
	applyErr = errors.New("busy")
	pollWants("busy receiver", 3, first)
	applyErr = nil
	pollWants("receiver ready", 3, first, second)
	pollWants("no change", 3, first, second)
}
