package platformproc

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"

	"github.com/godwitlink/godwitlink/core/openfiles"
	"github.com/godwitlink/godwitlink/internal/codec"
	"github.com/godwitlink/godwitlink/internal/diskio"
	"github.com/godwitlink/godwitlink/internal/replica"
	"github.com/godwitlink/godwitlink/internal/settings"
	"github.com/godwitlink/godwitlink/internal/startup"
	"github.com/godwitlink/godwitlink/internal/storage"
)

// getStart returns the status and the answer of a process about its start, or 0 without an answer.
func getStart(t *testing.T, metricsAddress string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+metricsAddress+"/start", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// awaitBlocked waits until the start of a process waits for the given cause.
func awaitBlocked(t *testing.T, ended chan error, metricsAddress, cause string) {
	t.Helper()
	await(t, "start that waits for "+cause, func() bool {
		select {
		case err := <-ended:
			ended <- err
			t.Fatalf("the process ended: %v", err)
		default:
		}
		status, text := getStart(t, metricsAddress)
		return status == http.StatusServiceUnavailable && strings.Contains(text, "cause: "+cause+"\n")
	})
}

// Guards against a control process that ends at every start while its data folder cannot be used.
func TestStartWaitsForTheDataFolder(t *testing.T) {
	g := startTestGroup(t)
	g.commit(1, 20)
	m := g.members[1]
	g.kill(1)
	aside := m.settings.DataDir + ".aside"
	if err := os.Rename(m.settings.DataDir, aside); err != nil {
		t.Fatal(err)
	}
	writeFile(t, g.dir, filepath.Base(m.settings.DataDir), "")
	g.start(1)
	awaitBlocked(t, m.ended, m.settings.ListenMetrics, "data-folder")
	if lines := m.log.eventLines(4313); len(lines) != 1 || !strings.Contains(lines[0]["error"].(string), "not a directory") {
		t.Errorf("event 4313: %v", lines)
	}
	if err := os.Remove(m.settings.DataDir); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(aside, m.settings.DataDir); err != nil {
		t.Fatal(err)
	}
	g.kill(2)
	g.commit(2, 20)
	if status, text := getStart(t, m.settings.ListenMetrics); status != http.StatusOK {
		t.Errorf("status %d, %s", status, text)
	}
}

// Guards against a start that waits although only a person can help, and against one that asks for a person although
// the cause may pass.
func TestCausesOfAFailingStart(t *testing.T) {
	_, unknownVersion := codec.DecodeSnapshot([]byte{200})
	for _, c := range []struct {
		err  error
		want startup.Cause
	}{
		{merry.Wrap(ErrIdentity, merry.WithCause(unix.ENOSPC)), startup.CauseDiskFull},
		{merry.Wrap(ErrIdentity, merry.WithCause(unix.EIO)), startup.CauseDataFolder},
		{merry.Wrap(ErrIdentity, merry.WithCause(diskio.SyncError{Cause: unix.ENOSPC})), startup.CauseDataFolder},
		{errors.Join(diskio.ErrLocked), startup.CauseDataFolder},
		{merry.Wrap(&storage.DamageError{OtherVersion: true}), startup.CauseOtherVersion},
		{merry.Wrap(replica.ErrUnknownCommand, merry.WithCause(unknownVersion)), startup.CauseOtherVersion},
		{unknownVersion, startup.CauseOtherVersion},
		{merry.Wrap(replica.ErrNotInitialVoter), startup.CauseSettings},
	} {
		if got := causeOfDataFolder(c.err); got != c.want {
			t.Errorf("%v: cause %s, want %s", c.err, got, c.want)
		}
	}
}

// Guards against a process that ends at every start at a command that it cannot read, and against one that still
// takes requests after its replica has ended.
func TestReplicaThatCannotReadACommandStaysStopped(t *testing.T) {
	g := &testGroup{t: t, dir: t.TempDir()}
	m := g.newMember()
	b, err := newBaseProcess(m.log, "info", t.Name(), m.settings.MemoryMB, m.settings.OpenFiles)
	if err != nil {
		t.Fatal(err)
	}
	defer b.close()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	if _, err := b.serveMetrics(ctx, m.settings.ListenMetrics); err != nil {
		t.Fatal(err)
	}
	if err := b.serve(openfiles.UseProcesses, m.settings.ListenInternal, http.NotFoundHandler()); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		ended <- b.afterReplica(ctx, dataDir{}, identity{}, merry.Wrap(replica.ErrUnknownCommand, merry.AppendMessage("entry 7")))
	}()
	awaitBlocked(t, ended, m.settings.ListenMetrics, "other-version")
	if conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", m.settings.ListenInternal); err == nil {
		conn.Close()
		t.Error("the listener for other processes is open")
	}
	stop()
	if err := <-ended; err != nil {
		t.Errorf("error %v", err)
	}
}

// Guards against an end of the process whose last log line does not name the cause.
func TestEndNamesItsCause(t *testing.T) {
	g := startTestGroup(t)
	g.commit(1, 20)
	m := g.members[2]
	g.kill(2)
	if err := os.RemoveAll(filepath.Join(m.settings.DataDir, "log")); err != nil {
		t.Fatal(err)
	}
	g.start(2)
	err := <-m.ended
	m.ended <- err
	lines := m.log.eventLines(4312)
	if !errors.Is(err, replica.ErrMustJoin) || len(lines) != 1 || !strings.Contains(lines[0]["error"].(string), replica.ErrMustJoin.Error()) {
		t.Errorf("error %v, event 4312: %v", err, lines)
	}
}

// Guards against a process that ends at every start while one of its addresses is in use.
func TestStartWaitsForAnAddress(t *testing.T) {
	g := startTestGroup(t)
	g.commit(1, 20)
	m := g.members[1]
	g.kill(1)
	listen := func(address string) net.Listener {
		var config net.ListenConfig
		var taken net.Listener
		await(t, "free address", func() (ok bool) {
			var err error
			taken, err = config.Listen(t.Context(), "tcp", address)
			return err == nil
		})
		return taken
	}
	taken := listen(m.settings.ListenControl)
	g.start(1)
	awaitBlocked(t, m.ended, m.settings.ListenMetrics, "address")
	taken.Close()
	g.kill(2)
	g.commit(2, 20)

	ip := strings.TrimSuffix(g.unusedAddress(), ":7001")
	s := &EntrySettings{
		Common:        settings.Common{Name: "entry", Region: "r", FailureDomain: "z", LogLevel: "info"},
		ListenClients: ip + ":7101", ListenReady: ip + ":7102", ListenInternal: ip + ":7002", ListenMetrics: ip + ":7103",
		MemoryMB: 184, OpenFiles: 4096, Seeds: controlAddressesOf(g.members), StopGrace: time.Second,
	}
	taken = listen(s.ListenClients)
	defer taken.Close()
	stop, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- RunEntry(stop, t.Context(), s, &logBuffer{}) }()
	awaitBlocked(t, ended, s.ListenMetrics, "address")
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("planned stop of a process whose start waits: %v", err)
	}
}

// Guards against a control process that ends at every start because a later version has written its data, and
// against the loss of that data.
func TestStartWithDataOfAnotherVersionAsksForTheOperator(t *testing.T) {
	g := startTestGroup(t)
	g.commit(1, 20)
	m := g.members[1]
	g.kill(1)
	folder := filepath.Join(m.settings.DataDir, "log")
	identity, err := os.ReadFile(filepath.Join(folder, "identity"))
	if err != nil {
		t.Fatal(err)
	}
	const versionOffset = 8
	identity[versionOffset]++
	writeFile(t, folder, "identity", string(identity))
	before := readFolder(t, folder)
	g.start(1)
	awaitBlocked(t, m.ended, m.settings.ListenMetrics, "other-version")
	after := readFolder(t, folder)
	for name, content := range before {
		if after[name] != content {
			t.Errorf("%s was changed", name)
		}
	}
	if got := m.metric(t, "start_blocked"); got != "2" {
		t.Errorf("start_blocked %s", got)
	}
	m.stop()
	if err := <-m.ended; err != nil {
		t.Errorf("planned stop of a process whose start waits: %v", err)
	}
	m.ended <- nil
}
